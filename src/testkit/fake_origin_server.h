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
    void slow(double factor) { slowdown_ = factor; }
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
        Connection::Ptr connection;
        std::deque<std::pair<int, std::string>> responses;
    };
    struct Job {
        std::uint64_t peer = 0;
        int request_number = -1;
        std::uint64_t key = 0;
        int operation = 0;
        bool write = false;
        std::uint64_t idempotency_key = 0;
    };

    void accept(Tcp::socket socket);
    void input(std::uint64_t peer);
    void start_attempt(std::uint64_t peer, Peer& p, const Request& request, double first_byte);
    void finish_job(int attempt);
    void send_response(std::uint64_t peer, int attempt, std::string text);
    void on_peer_closed(std::uint64_t peer);
    void arm_timer();
    void check_overload();

    TestEnvironment& environment_;
    const int number_;
    WorkQueue work_queue_;
    DeduplicationWindow deduplication_window_;
    OverloadDetector overload_detector_;
    boost::asio::steady_timer timer_;
    double timer_expiry_ = kNever;
    std::map<std::uint64_t, Peer> peers_;
    std::uint64_t last_peer_ = 0;
    std::unordered_map<int, Job> jobs_;
    double slowdown_ = 1;
    double halted_until_ = -1;
    Counts counts_;
    std::uint64_t reset_random_ = 0;
    Listener listener_;
};

}  // namespace brookrelay::testkit
