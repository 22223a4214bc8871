// The connections to the caches and to the origin, and the forwards that are out on them. It owns each
// connection and its time limits and gives both back in drop(). A connection carries one forward at a time:
// giving one up closes it, and behind a slow answer a quick one would wait. It chooses no server, sends
// nothing twice, and tells of an end only from the loop or through the node's inbox.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "io/log.h"
#include "io/tcp_connection.h"
#include "io/timer_queue.h"
#include "protocol/attempt_response.h"
#include "protocol/memcache_text.h"

namespace brookrelay {

class UpstreamPool {
  public:
    struct AttemptResult {
        int request;
        int attempt;
        int server;
        AttemptOutcome outcome;
        double latency;
        std::string body;
        // A long value follows in pieces, `length` bytes of it, to whom this number stands for; 0: all is
        // told.
        std::uint64_t stream = 0;
        std::size_t stream_length = 0;
    };
    // Who takes the pieces of long values: how many bytes it has room for, some of them, and their end. Where
    // there is no room it pulls once there is.
    struct BodySink {
        std::function<std::size_t(std::uint64_t relay)> capacity;
        std::function<void(std::uint64_t relay, std::string_view piece)> write;
        std::function<void(std::uint64_t relay, bool whole)> end;
    };
    using OnFinished = std::function<void(AttemptResult&&)>;
    // A forward's connection has come up, and nothing of it is sent: it waits for begin() or decline().
    using OnConnected = std::function<void(int inv, int forward)>;
    // How many connections to a server may be open, of which so many would be at work.
    using ConnectionLimit = std::function<int(int cache, int wanted)>;
    static constexpr int kHealthCheck = -1;  // in the place of an invocation

    UpstreamPool(TimerQueue& timers, Log& log, const Deployment& deployment, std::size_t most,
                 std::size_t bytes, OnFinished tell, OnConnected up, BodySink taker);

    void apply_configuration(const Deployment& deployment);  // for connections from now on
    // Without: only the budget says. What is open beyond it is closed by keep_places(), or as it falls idle.
    void set_connection_limit(ConnectionLimit places) { server_connection_limit_ = std::move(places); }
    void enforce_connection_limit();
    void add_server(int cache, const std::string& name, const std::string& address, bool origin);
    bool in_use(int cache) const;   // something of it is still open
    void remove_server(int cache);  // only what is not in use: its number may then stand for another server
    // `begin_within`: s in which its last byte has to be handed on, or it is not sent; 0: its limit alone
    // counts.
    void start_attempt(int inv, int forward, int cache, const Command& command, double limit,
                       double begin_within);
    void check_health(int cache, double limit);
    void send(int inv, int forward);
    void abandon(int inv, int forward);  // nobody wants it any more: it is not sent, and its connection rests
    void cancel(int inv, int forward);
    void resume(std::uint64_t relay);
    void abandon_stream(std::uint64_t relay);  // nobody wants the rest
    void close_idle(int cache);                // closes the idle ones
    void close_unstarted(int cache);  // and those that have not begun to carry what they were opened for
    int open_count() const { return static_cast<int>(open_count_); }
    double connect_timeout() const { return connect_timeout_; }
    void set_budget_share(double part);  // of its connections and bytes: the rest is another process's
    void destroy_closed();               // takes away what was closed in this turn

  private:
    struct Connection {
        int server = 0;
        std::unique_ptr<TcpConnection> socket;
        bool busy = false;
        bool is_read = false;  // what is out is a read: only a value answers it
        int request = 0;
        int attempt = 0;
        std::string request_id;
        std::string unsent;  // the forward's bytes, until its connection is up and it is still wanted then
        double sent_at = 0;
        double deadline = 0;  // when it is given up
        double last_used = 0;
        TimerQueue::Handle attempt_timer;
        TimerQueue::Handle connect_timer;
        TimerQueue::Handle send_timer;
        TimerQueue::Handle idle_timer;
        std::uint64_t stream = 0;    // its long value is being passed on
        StreamedValue remaining;     // what of it has not been
        bool writing_chunk = false;  // a piece, whose taker may pull from inside
    };
    struct Server {
        std::string name, address;
        bool origin = false;
        std::vector<Connection*> idle;  // the last used at the end
        int open = 0;                   // idle ones among them
    };

    Server& server(int cache) { return servers_[static_cast<std::size_t>(cache)]; }
    Topic topic(int cache) const;
    static std::uint64_t attempt_key(int inv, int forward);
    Connection* connection_to(int cache);
    Connection* open(int cache);
    bool has_capacity(int cache);
    bool evict_idle();
    void begin_attempt(Connection& c, int inv, int forward, double limit, double begin_within,
                       std::string bytes);
    void continue_attempt(Connection& c);
    void write_request(Connection& c);
    void on_event(Connection& c, TcpConnection::Event news);
    void read_response(Connection& c, bool ended = false);  // `ended`: by an orderly end behind what has come
    bool begin_stream(Connection& c);
    void forward_chunks(Connection& c);
    void restart_stall_timer(Connection& c);
    void end_stream(Connection& c, bool whole);
    void keep_or_close(Connection& c, bool reusable);
    static bool is_fully_sent(const Connection& c) {
        return c.unsent.empty() && c.socket->unwritten_bytes() == 0;
    }
    std::size_t parse(const Connection& c, AttemptResponse& answer, bool ended);
    void on_broken(Connection& c, AttemptOutcome if_written);
    void finish_attempt(Connection& c, AttemptOutcome ending, std::string body = {});
    void close(Connection& c);
    void close_expired();

    TimerQueue& timers_;
    Log& log_;
    double connect_timeout_ = 0;
    double idle_timeout_ = 0;
    const std::size_t max_connections_;
    std::size_t connection_limit_;
    const std::size_t max_bytes_;
    ByteBudget budget_;
    OnFinished on_finished_;
    OnConnected on_connected_;
    BodySink body_sink_;
    ConnectionLimit server_connection_limit_;
    std::uint64_t last_stream_ = 0;
    std::unordered_map<std::uint64_t, Connection*> streams_;
    std::vector<Server> servers_;
    std::list<Connection> connections_;
    std::size_t open_count_ = 0;
    bool has_closed_ = false;
    int health_checks_ = 0;
    std::unordered_map<std::uint64_t, Connection*> in_flight_;
};

}  // namespace brookrelay
