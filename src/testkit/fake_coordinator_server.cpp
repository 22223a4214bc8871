#include "testkit/fake_coordinator_server.h"

#include <cmath>

#include "coordination/jute.h"

namespace brookrelay::testkit {

FakeCoordinatorServer::FakeCoordinatorServer(Io& io, const Clock& clock, const std::string& host)
    : io_(io),
      clock_(clock),
      service_({[this](std::uint64_t id, const std::string& frame) {
                    const auto found = conns_.find(id);
                    if (found != conns_.end() && !silent_) found->second->write(frame);
                },
                [this](std::uint64_t id) {
                    const auto found = conns_.find(id);
                    if (found == conns_.end()) return;
                    found->second->close();
                    conns_.erase(found);
                }}),
      timer_(io),
      listener_(io, host, [this](Tcp::socket s) { accept(std::move(s)); }) {}

void FakeCoordinatorServer::accept(Tcp::socket socket) {
    const std::uint64_t id = ++last_;
    conns_[id] = Connection::accepted(std::move(socket), clock_,
                                      {nullptr, [this, id](Connection&) { input(id); },
                                       [this, id](Connection&) {
                                           conns_.erase(id);
                                           service_.ended(id);
                                       }});
}

void FakeCoordinatorServer::input(std::uint64_t id) {
    while (!silent_) {
        const auto found = conns_.find(id);
        if (found == conns_.end()) return;
        const Connection::Ptr conn = found->second;
        std::string_view payload;
        bool sound = true;
        const std::size_t taken = read_frame(conn->input(), payload, sound);
        if (!sound) {
            conn->close();
            conns_.erase(id);
            service_.ended(id);
            return;
        }
        if (taken == 0) break;
        const std::string whole(payload);
        conn->take(taken);
        service_.received(clock_.now(), id, whole);
    }
    arm();
}

void FakeCoordinatorServer::arm() {
    const double next = service_.next_at();
    timer_.cancel();
    if (!std::isfinite(next)) return;
    timer_.expires_at(clock_.at(next));
    timer_.async_wait([this](const Code& bad) {
        if (bad) return;
        service_.tick(clock_.now());
        arm();
    });
}

void FakeCoordinatorServer::silence(bool on) {
    if (silent_ == on) return;
    silent_ = on;
    if (on) return listener_.make_unresponsive();
    listener_.open();
    const auto conns = conns_;
    for (const auto& [id, conn] : conns) input(id);
}

void FakeCoordinatorServer::unreachable(bool on) {
    if (!on) return listener_.open();
    listener_.close();
    for (const auto& [id, conn] : std::exchange(conns_, {})) {
        conn->reset();
        service_.ended(id);
    }
}

void FakeCoordinatorServer::garble() {
    for (const auto& [id, conn] : std::exchange(conns_, {})) {
        conn->write(id % 2 == 0 ? std::string("\x7f\xff\xff\xff", 4) : std::string("\0\0\0\x40half", 8));
        conn->close();
        service_.ended(id);
    }
}

}  // namespace brookrelay::testkit
