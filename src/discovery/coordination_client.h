// The connection to a coordination service that holds the endpoints as ephemeral registrations.
//
// It owns one connection at a time, to the addresses of the ensemble in random order, and the timers:
// reconnects back off exponentially with jitter. CoordinationSession implements the protocol, and
// ServiceRegistrations converts the views to endpoint changes. A loss of the service never removes an
// endpoint. Failures are logged under the topic `discovery` and retried; none is reported to the owner. Times
// are seconds on the monotonic clock.
#pragma once

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "coordination/coordination_session.h"
#include "coordination/service_registrations.h"
#include "io/log.h"
#include "io/tcp_connection.h"
#include "io/timer_queue.h"

namespace brookrelay {

// Follows one path of the service and reports the changes of its registrations.
class CoordinationClient {
  public:
    // Called with at least one change, in the order in which they are to be applied.
    using OnChanges = std::function<void(std::vector<RegistrationChange>&&)>;

    // `session_timeout` is the timeout in seconds that the session requests from the service; `seed`
    // determines the order of addresses and the jitter; `decode` decodes the data of one registration.
    // `addresses` must not be empty.
    CoordinationClient(TimerQueue& timers, Log& log, std::vector<std::string> addresses, std::string path,
                       double session_timeout, std::uint64_t seed, CoordinationSession::Decode decode,
                       OnChanges on_changes);
    // Opens the first connection.
    void start();
    // Seconds since the endpoint list was last known to be current; 0 while connected.
    double age() const { return registrations_.age(monotonic_now()); }

  private:
    void connect();
    void on_event(TcpConnection::Event event);
    void read_frames();
    void on_failure(const std::string& reason);
    // Called after every event: schedules a reconnect if one is due, reports changes and sets the next timer.
    void process_changes();

    TimerQueue& timers_;
    Log& log_;
    std::vector<std::string> addresses_;
    std::size_t next_address_ = 0;
    std::ranlux24_base random_;
    OnChanges on_changes_;
    ServiceRegistrations registrations_;
    CoordinationSession session_;
    ByteBudget budget_;
    std::unique_ptr<TcpConnection> connection_;
    TimerQueue::Handle session_timer_, reconnect_timer_;
    double reconnect_delay_;
    bool disconnected_ = false;
};

}  // namespace brookrelay
