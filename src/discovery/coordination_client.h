// The connection to a coordination service: one at a time, to the addresses of its ensemble in an order drawn
// by chance, with pauses that grow and are jittered. It owns the socket and the times; the follower knows the
// protocol, and Registrations what its news means. It never ends anything because the service is away.
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

class CoordinationClient {
  public:
    using OnChanges = std::function<void(std::vector<RegistrationChange>&&)>;

    CoordinationClient(TimerQueue& timers, Log& log, std::vector<std::string> addresses, std::string path,
                       double session_timeout, std::uint64_t seed, CoordinationSession::Read read,
                       OnChanges told);
    void start();
    double age() const { return registrations_.age(monotonic_now()); }

  private:
    void connect();
    void on_event(TcpConnection::Event what);
    void read_frames();
    void on_failure(const std::string& why);
    void process_changes();  // whatever happened: tells the changes, and sets the next time

    TimerQueue& timers_;
    Log& log_;
    std::vector<std::string> addresses_;
    std::size_t next_address_ = 0;
    std::ranlux24_base chance_;
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
