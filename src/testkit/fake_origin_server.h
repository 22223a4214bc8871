// A fake origin server that follows the protocol specification: HTTP/1.1 with a limited capacity, a queue,
// deduplication, and a halt on overload. It increments the versions of the values: an executed write
// invalidates all cached copies, and an executed read fills the caches at which its request had missed.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <unordered_map>

#include "testkit/server_model.h"
#include "testkit/test_environment.h"
#include "testkit/wire.h"

namespace brookrelay::testkit {

class FakeOriginServer {
  public:
    FakeOriginServer(TestEnvironment& environment, int number);

    std::string address() const { return listener_.address(); }

    // Faults.
    void slow(double factor) { factor_ = factor; }
    void halt(double seconds);  // sends no response for this long and drops pending requests

    struct Counts {
        std::uint64_t reads = 0, writes = 0, busy = 0, halts = 0;
    };
    const Counts& counts() const { return counts_; }
    double capacity() const;  // current, in work per second
    double asked() const;     // offered work per second, over the last half second
    bool halted() const { return environment_.now() < halted_until_; }

  private:
    struct Peer {
        Connection::Ptr conn;
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

    TestEnvironment& environment_;
    const int number_;
    WorkQueue bench_;
    DeduplicationWindow marks_;
    OverloadDetector meter_;
    boost::asio::steady_timer timer_;
    double armed_for_ = kNever;
    std::map<std::uint64_t, Peer> peers_;
    std::uint64_t last_peer_ = 0;
    std::unordered_map<int, Job> jobs_;
    double factor_ = 1;
    double halted_until_ = -1;
    Counts counts_;
    std::uint64_t reset_draw_ = 0;
    Listener listener_;
};

}  // namespace brookrelay::testkit
