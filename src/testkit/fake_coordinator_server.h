// The stand-in coordinator on a port: carries the bytes between connections and the Coordinator, and brings
// about what can go wrong with such a service. It owns the connections and the one timer of the sessions'
// ends.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "testkit/connection.h"
#include "testkit/fake_coordinator.h"

namespace brookrelay::testkit {

class CoordinatorServer {
  public:
    CoordinatorServer(Io& io, const Clock& clock, const std::string& host);
    std::string address() const { return listener_.address(); }
    Coordinator& service() { return service_; }
    void changed() { arm(); }  // after a session was opened or touched from here
    std::size_t connections() const { return conns_.size(); }

    // Troubles.
    void silence(bool on);      // hears and says nothing; new connections do not come up
    void unreachable(bool on);  // connections are reset and refused
    void garble();  // each connection gets half a frame, or a length that cannot be, and is closed

  private:
    void accept(Tcp::socket socket);
    void input(std::uint64_t id);
    void arm();

    Io& io_;
    const Clock& clock_;
    std::map<std::uint64_t, Conn::Ptr> conns_;
    std::uint64_t last_ = 0;
    bool silent_ = false;
    Coordinator service_;
    boost::asio::steady_timer timer_;
    Listener listener_;
};

}  // namespace brookrelay::testkit
