// A cache server that only stores, as the protocol's page has it: on a port of its own, with slots, a queue,
// a bounded store, a cold start, a table of connections, and marks of repeats; and with what can go wrong
// with one. It tells the judge what it sees, and judges nothing.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <unordered_map>

#include "testkit/server_model.h"
#include "testkit/test_environment.h"
#include "testkit/wire.h"

namespace brookrelay::testkit {

class CacheServer {
  public:
    CacheServer(World& world, int number, const ServerKind& kind);

    std::string address() const { return listener_.address(); }
    int number() const { return number_; }
    double started() const { return started_; }  // -1: long ago
    bool fallen() const { return fallen_; }
    bool running() const { return running_; }

    void store(std::uint64_t key, std::uint32_t version) { store_.put(key, version); }
    void drop(std::uint64_t key) { store_.drop(key); }
    void drop_part(double part, std::uint64_t chance);

    // Troubles.
    void silence(bool on);  // nothing goes out or comes up any more; at its end connections are reset
    void stop();            // the process is gone: connections are reset, new ones refused
    void start_cold();      // it runs again and has forgotten everything
    void slow(double factor) { factor_ = factor; }
    void spoil(double part) { spoilt_ = part; }

    // For reports.
    struct Counts {
        std::uint64_t forwards = 0, hits = 0, misses = 0, busy = 0, connections = 0, refused = 0;
    };
    const Counts& counts() const { return counts_; }
    double capacity() const;  // work a second, now
    int open_connections() const { return static_cast<int>(peers_.size()); }
    int most_connections();  // at a time, since this was asked last
    int open_work() const { return bench_.open(); }

  private:
    struct Peer {
        Conn::Ptr conn;
        std::deque<std::pair<int, std::string>>
            answers;           // by forward, in the commands' order; empty: not yet
        double handshake = 0;  // work owed by the first command
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

    World& world_;
    const int number_;
    const ServerKind kind_;
    Workbench bench_;
    Store store_;
    DedupWindow marks_;
    PushMeter meter_;
    boost::asio::steady_timer timer_;
    double armed_for_ = kNever;
    std::map<std::uint64_t, Peer> peers_;
    std::uint64_t last_peer_ = 0;
    int most_peers_ = 0;
    std::unordered_map<int, Job> jobs_;
    double started_ = -1;
    bool running_ = true, silent_ = false, fallen_ = false, cold_ = false;
    double factor_ = 1, spoilt_ = 0;
    std::uint64_t spoil_draw_ = 0;
    Counts counts_;
    Listener listener_;
};

}  // namespace brookrelay::testkit
