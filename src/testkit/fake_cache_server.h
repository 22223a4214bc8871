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
    bool fallen() const { return fallen_; }
    bool running() const { return running_; }

    void store(std::uint64_t key, std::uint32_t version) { store_.put(key, version); }
    void drop(std::uint64_t key) { store_.drop(key); }
    void drop_part(double part, std::uint64_t chance);

    // Faults.
    void silence(bool on);  // no output and no new connections; resets all connections when it ends
    void stop();            // as if the process had died: resets connections and refuses new ones
    void start_cold();      // restarts with an empty store
    void slow(double factor) { factor_ = factor; }
    void spoil(double part) { spoilt_ = part; }

    // For reports.
    struct Counts {
        std::uint64_t forwards = 0, hits = 0, misses = 0, busy = 0, connections = 0, refused = 0;
    };
    const Counts& counts() const { return counts_; }
    double capacity() const;  // current, in work per second
    int open_connections() const { return static_cast<int>(peers_.size()); }
    int most_connections();  // maximum since the last call
    int open_work() const { return bench_.open(); }

  private:
    struct Peer {
        Connection::Ptr conn;
        std::deque<std::pair<int, std::string>>
            answers;           // attempt and its response, in command order; an empty response is pending
        double handshake = 0;  // work of the connection setup, charged to the first command
    };
    struct Job {
        std::uint64_t peer = 0;
        int inv = -1;
        std::uint64_t key = 0;
        int operation = 0;
        bool write = false;
        std::string id;
        std::uint64_t mark = 0;
    };

    double pace(double now) const;
    double part(double now) const;
    void accept(Tcp::socket socket);
    void input(std::uint64_t peer);
    void begin(std::uint64_t peer, Peer& p, const Command& command, double first_byte);
    void finish(int forward);
    void answer(std::uint64_t peer, int forward, std::string text);
    void peer_gone(std::uint64_t peer);
    void arm();
    void look();
    void reset_all();
    bool reads_promptly(double now) const;

    TestEnvironment& environment_;
    const int number_;
    const ServerKind kind_;
    WorkQueue bench_;
    Store store_;
    DeduplicationWindow marks_;
    OverloadDetector meter_;
    boost::asio::steady_timer timer_;
    double armed_for_ = kNever;
    std::map<std::uint64_t, Peer> peers_;
    std::uint64_t last_peer_ = 0;
    int most_peers_ = 0;
    std::unordered_map<int, Job> jobs_;
    double started_ = -1;
    double silent_until_ = -1e9;  // when the last silence ended
    bool running_ = true, silent_ = false, fallen_ = false, cold_ = false;
    double factor_ = 1, spoilt_ = 0;
    std::uint64_t spoil_draw_ = 0;
    Counts counts_;
    Listener listener_;
};

}  // namespace brookrelay::testkit
