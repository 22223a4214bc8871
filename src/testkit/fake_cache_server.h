// A fake cache server that follows the protocol specification: slots, a queue, a bounded store, a cold start,
// a connection limit and deduplication, with fault injection. It reports each attempt that it sees to the
// auditor.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <unordered_map>

#include "testkit/server_model.h"
#include "testkit/test_environment.h"
#include "testkit/wire.h"

namespace brookrelay::testkit {

class FakeCacheServer {
  public:
    FakeCacheServer(TestEnvironment& environment, int number, const ServerKind& kind);

    std::string address() const { return listener_.address(); }
    int number() const { return number_; }
    double started() const { return started_; }  // time of the last cold start; -1: before the run
    bool has_failed_from_overload() const { return has_failed_from_overload_; }
    bool running() const { return is_running_; }

    void store(std::uint64_t key, std::uint32_t version) { store_.put(key, version); }
    void drop(std::uint64_t key) { store_.drop(key); }
    void drop_part(double ratio, std::uint64_t seed);

    // Faults.
    void silence(bool on);  // no output and no new connections; resets all connections when it ends
    void stop();            // as if the process had died: resets connections and refuses new ones
    void start_cold();      // restarts with an empty store
    void slow(double factor) { slowdown_ = factor; }
    void corrupt_responses(double ratio) { corruption_ratio_ = ratio; }

    // For reports.
    struct Counts {
        std::uint64_t forwards = 0, hits = 0, misses = 0, busy = 0, connections = 0, refused = 0;
    };
    const Counts& counts() const { return counts_; }
    double capacity() const;  // current, in work per second
    int open_connections() const { return static_cast<int>(peers_.size()); }
    int most_connections();  // maximum since the last call
    int open_work() const { return work_queue_.open_jobs(); }

  private:
    struct Peer {
        Connection::Ptr connection;
        std::deque<std::pair<int, std::string>>
            responses;         // attempt and its response, in command order; an empty response is pending
        double handshake = 0;  // work of the connection setup, charged to the first command
    };
    struct Job {
        std::uint64_t peer = 0;
        int request_number = -1;
        std::uint64_t key = 0;
        int operation = 0;
        bool write = false;
        std::string id;
        std::uint64_t idempotency_key = 0;
    };

    double work_rate(double now) const;
    double capacity_ratio(double now) const;
    void accept(Tcp::socket socket);
    void input(std::uint64_t peer);
    void start_attempt(std::uint64_t peer, Peer& p, const Command& command, double first_byte);
    void finish_job(int attempt);
    void send_response(std::uint64_t peer, int attempt, std::string text);
    void on_peer_closed(std::uint64_t peer);
    void arm_timer();
    void check_overload();
    void reset_all();
    bool is_reading_promptly(double now) const;

    TestEnvironment& environment_;
    const int number_;
    const ServerKind kind_;
    WorkQueue work_queue_;
    Store store_;
    DeduplicationWindow deduplication_window_;
    OverloadDetector overload_detector_;
    boost::asio::steady_timer timer_;
    double timer_expiry_ = kNever;
    std::map<std::uint64_t, Peer> peers_;
    std::uint64_t last_peer_ = 0;
    int max_peers_ = 0;
    std::unordered_map<int, Job> jobs_;
    double started_ = -1;
    double silence_ended_at_ = -1e9;  // when the last silence ended
    bool is_running_ = true, is_silent_ = false, has_failed_from_overload_ = false, is_cold_ = false;
    double slowdown_ = 1, corruption_ratio_ = 0;
    std::uint64_t corruption_random_ = 0;
    Counts counts_;
    Listener listener_;
};

}  // namespace brookrelay::testkit
