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
#include "io/log.h"
#include "coordination/service_registrations.h"
#include "io/tcp_connection.h"
#include "io/timer_queue.h"

namespace brookrelay {

class Registry {
  public:
    using Told = std::function<void(std::vector<RegistrationChange>&&)>;

    Registry(Timers& timers, Log& log, std::vector<std::string> addresses, std::string path,
             double session_timeout, std::uint64_t seed, Follower::Read read, Told told);
    void start();
    double age() const { return registrations_.age(monotonic()); }

  private:
    void connect();
    void news(Stream::News what);
    void read_frames();
    void failed(const std::string& why);
    void after();  // whatever happened: tells the changes, and sets the next time

    Timers& timers_;
    Log& log_;
    std::vector<std::string> addresses_;
    std::size_t next_address_ = 0;
    std::ranlux24_base chance_;
    Told told_;
    Registrations registrations_;
    Follower follower_;
    ByteBudget budget_;
    std::unique_ptr<Stream> stream_;
    Timers::Handle due_, again_;
    double pause_;
    bool hung_up_ = false;
};

}  // namespace brookrelay
