// Serves FakeCoordinator on a TCP port, with fault injection. It owns the connections and the timer for
// session timeouts.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "testkit/connection.h"
#include "testkit/fake_coordinator.h"

namespace brookrelay::testkit {

class FakeCoordinatorServer {
  public:
    FakeCoordinatorServer(Io& io, const Clock& clock, const std::string& host);
    std::string address() const { return listener_.address(); }
    FakeCoordinator& service() { return service_; }
    void changed() { arm_timer(); }  // call after a session was opened or touched through service()
    std::size_t connections() const { return connections_.size(); }

    // Faults.
    void silence(bool on);      // reads and writes nothing; new connections are not established
    void unreachable(bool on);  // connections are reset and refused
    void garble();              // sends half a frame or an invalid length on each connection and closes it

  private:
    void accept(Tcp::socket socket);
    void input(std::uint64_t id);
    void arm_timer();

    Io& io_;
    const Clock& clock_;
    std::map<std::uint64_t, Connection::Ptr> connections_;
    std::uint64_t last_id_ = 0;
    bool is_silent_ = false;
    FakeCoordinator service_;
    boost::asio::steady_timer timer_;
    Listener listener_;
};

}  // namespace brookrelay::testkit
