#include "testkit/fake_coordinator_server.h"

#include <cmath>

#include "coordination/jute.h"

namespace brookrelay::testkit {

FakeCoordinatorServer::FakeCoordinatorServer(Io& io, const Clock& clock, const std::string& host)
    : io_(io),
      clock_(clock),
      service_({[this](std::uint64_t id, const std::string& frame) {
                    const auto found = connections_.find(id);
                    if (found != connections_.end() && !is_silent_) found->second->write(frame);
                },
                [this](std::uint64_t id) {
                    const auto found = connections_.find(id);
                    if (found == connections_.end()) return;
                    found->second->close();
                    connections_.erase(found);
                }}),
      timer_(io),
      listener_(io, host, [this](Tcp::socket s) { accept(std::move(s)); }) {}

void FakeCoordinatorServer::accept(Tcp::socket socket) {
    const std::uint64_t id = ++last_id_;
    connections_[id] = Connection::accepted(std::move(socket), clock_,
                                            {nullptr, [this, id](Connection&) { input(id); },
                                             [this, id](Connection&) {
                                                 connections_.erase(id);
                                                 service_.ended(id);
                                             }});
}

void FakeCoordinatorServer::input(std::uint64_t id) {
    while (!is_silent_) {
        const auto found = connections_.find(id);
        if (found == connections_.end()) return;
        const Connection::Ptr connection = found->second;
        std::string_view payload;
        bool is_valid = true;
        const std::size_t consumed = read_frame(connection->input(), payload, is_valid);
        if (!is_valid) {
            connection->close();
            connections_.erase(id);
            service_.ended(id);
            return;
        }
        if (consumed == 0) break;
        const std::string message(payload);
        connection->take(consumed);
        service_.received(clock_.now(), id, message);
    }
    arm_timer();
}

void FakeCoordinatorServer::arm_timer() {
    const double expires_at = service_.next_at();
    timer_.cancel();
    if (!std::isfinite(expires_at)) return;
    timer_.expires_at(clock_.at(expires_at));
    timer_.async_wait([this](const Code& error) {
        if (error) return;
        service_.tick(clock_.now());
        arm_timer();
    });
}

void FakeCoordinatorServer::silence(bool on) {
    if (is_silent_ == on) return;
    is_silent_ = on;
    if (on) return listener_.make_unresponsive();
    listener_.open();
    const auto open_connections = connections_;
    for (const auto& [id, connection] : open_connections) input(id);
}

void FakeCoordinatorServer::unreachable(bool on) {
    if (!on) return listener_.open();
    listener_.close();
    for (const auto& [id, connection] : std::exchange(connections_, {})) {
        connection->reset();
        service_.ended(id);
    }
}

void FakeCoordinatorServer::garble() {
    for (const auto& [id, connection] : std::exchange(connections_, {})) {
        connection->write(id % 2 == 0 ? std::string("\x7f\xff\xff\xff", 4)
                                      : std::string("\0\0\0\x40half", 8));
        connection->close();
        service_.ended(id);
    }
}

}  // namespace brookrelay::testkit
