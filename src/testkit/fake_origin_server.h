// The slow origin (an activation master), as the protocol's page has it: HTTP/1.1 on a port of its own, with
// a capacity, a queue, marks of repeats, and a stop when it is asked for far more than it can do. It owns the
// versions' growth: a write that ran drops all copies, a read that ran is stored where it had missed.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <unordered_map>

#include "testkit/server_model.h"
#include "testkit/test_environment.h"
#include "testkit/wire.h"

namespace brookrelay::testkit {

class OriginServer {
  public:
    OriginServer(World& world, int number);

    std::string address() const { return listener_.address(); }

    // Troubles.
    void slow(double factor) { factor_ = factor; }
    void halt(double seconds);  // answers nothing for so long; what it holds is lost

    struct Counts {
        std::uint64_t reads = 0, writes = 0, busy = 0, halts = 0;
    };
    const Counts& counts() const { return counts_; }
    double capacity() const;  // work a second, now
    double asked() const;     // work a second it was asked for, over the last half second
    bool halted() const { return world_.now() < halted_until_; }

  private:
    struct Peer {
        Conn::Ptr conn;
        std::deque<std::pair<int, std::string>> answers;
    };
    struct Job {
        std::uint64_t peer = 0;
        int inv = -1;
        std::uint64_t key = 0;
        int operation = 0;
        bool write = false;
        std::uint64_t mark = 0;
    };

    void accept(Tcp::socket socket);
    void input(std::uint64_t peer);
    void begin(std::uint64_t peer, Peer& p, const Request& request, double first_byte);
    void finish(int forward);
    void answer(std::uint64_t peer, int forward, std::string text);
    void peer_gone(std::uint64_t peer);
    void arm();
    void look();

    World& world_;
    const int number_;
    Workbench bench_;
    DedupWindow marks_;
    PushMeter meter_;
    boost::asio::steady_timer timer_;
    double armed_for_ = kNever;
    std::map<std::uint64_t, Peer> peers_;
    std::uint64_t last_peer_ = 0;
    std::unordered_map<int, Job> jobs_;
    double factor_ = 1;
    double halted_until_ = -1;
    Counts counts_;
    Listener listener_;
};

}  // namespace brookrelay::testkit
