// The pool of connections to the memcache servers and to the HTTP origin, and the attempts in flight on them.
//
// UpstreamPool owns every connection, its buffers and its timers. A connection is closed in close() and its
// memory is freed in destroy_closed(), which the owner calls once per iteration of the main loop. A
// connection carries one attempt at a time, because cancelling an attempt closes its connection, and with
// pipelining a fast response would wait behind a slow one. The pool neither chooses servers nor retries.
//
// Times are seconds on the clock of monotonic_now(), sizes are bytes. Failures are reported as the
// AttemptOutcome of an AttemptResult, never as exceptions. Everything runs on the thread of the GLib main
// loop; callbacks may call back into the pool.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "io/log.h"
#include "io/tcp_connection.h"
#include "io/timer_queue.h"
#include "protocol/attempt_response.h"
#include "protocol/memcache_text.h"
#include "upstream/body_collector.h"

namespace brookrelay {

/// Pools connections to each server and runs at most one attempt at a time on each connection.
class UpstreamPool {
  public:
    /// The result of one attempt, or of a health check if `request` is kHealthCheck.
    struct AttemptResult {
        int request;
        int attempt;
        int server;
        AttemptOutcome outcome;
        double latency;  // seconds since the attempt was started
        std::string body;
        // If not 0, `body` is empty and the body follows in chunks through the BodySink under this stream id.
        std::uint64_t stream = 0;
        std::size_t stream_length = 0;    // total bytes of the streamed body
        bool written = false;             // at least a part of the request was written
        bool stream_is_received = false;  // the whole streamed body is received, so it cannot break off
    };
    /// Receives the bodies of streamed responses. `capacity` returns how many bytes may be written now; after
    /// it has returned 0, the owner of the sink calls resume() when there is capacity again. `end` is called
    /// once per stream, with `complete` false if the body was truncated, but not after abandon_stream().
    struct BodySink {
        std::function<std::size_t(std::uint64_t stream)> capacity;
        std::function<void(std::uint64_t stream, std::string_view chunk)> write;
        std::function<void(std::uint64_t stream, bool complete)> end;
    };
    using OnFinished = std::function<void(AttemptResult&&)>;
    /// Called when the connection of an attempt is ready to send and nothing is sent yet. The owner then
    /// calls send() or abandon().
    using OnConnected = std::function<void(int request, int attempt, int server)>;
    /// Called immediately before the request of an attempt is written. `time_left` is the remaining time, in
    /// seconds, that the request gives to its server.
    using OnWrite = std::function<void(int request, int attempt, int server, double time_left)>;
    /// Returns the number of connections that may be open to a server, given how many of them would be busy.
    using ConnectionLimit = std::function<int(int server_id, int busy)>;
    static constexpr int kHealthCheck = -1;  ///< the request id of health checks

    /// What the connections to all servers together may occupy.
    struct Limits {
        std::size_t connections;
        std::size_t bytes;              // of input, of collected bodies, and of output
        std::size_t stream_read_limit;  // bytes of input of a connection whose response is streamed
        std::size_t queued_bytes;       // of bodies that are reported in one iteration and not yet taken
    };
    /// `timers` and `log` must outlive the pool.
    UpstreamPool(TimerQueue& timers, Log& log, const Deployment& deployment, const Limits& limits,
                 OnFinished on_finished, OnConnected on_connected, OnWrite on_write, BodySink body_sink);

    /// Sets the connect and idle timeouts from `deployment`. Connects already in progress keep their timeout.
    void apply_configuration(const Deployment& deployment);
    /// Sets the connection limit per cache server; without one only `max_connections` applies. Connections
    /// above the limit are closed by enforce_connection_limit(), or when they become idle.
    void set_connection_limit(ConnectionLimit limit) { server_connection_limit_ = std::move(limit); }
    /// Closes the idle connections that exceed the limit of their server.
    void enforce_connection_limit();
    /// The process that is a server at present. Another address or start is another process.
    struct ServerProcess {
        std::string address;
        double started_at = 0;  // Unix time in seconds; 0: long ago
        bool operator==(const ServerProcess&) const = default;
    };
    /// Adds a server, or changes its name and process. Connections to its previous process carry no further
    /// attempt.
    void add_server(int server_id, const std::string& name, const ServerProcess& process, bool is_origin);
    /// Returns whether any connection to the server is open.
    bool in_use(int server_id) const;
    /// Removes a server that is not in use. Its id may then be given to another server.
    void remove_server(int server_id);
    /// Starts an attempt that times out after `timeout` seconds. Unless `send_timeout` is 0, the request must
    /// also be sent and acknowledged within that many seconds, or the attempt ends as timed out. The result
    /// is reported through OnFinished, immediately if no connection is available.
    void start_attempt(int request, int attempt, int server_id, const Command& command, double timeout,
                       double send_timeout);
    /// Starts a health check of the server, like start_attempt(). The request id of its result is
    /// kHealthCheck.
    void check_health(int server_id, double timeout);
    /// Sends the request of an attempt announced by OnConnected, with the time that remains now. An attempt
    /// whose deadline or send timeout has passed ends as timed out.
    void send(int request, int attempt, const Command& command);
    /// Ends an attempt announced by OnConnected without sending it. Its connection becomes idle.
    void abandon(int request, int attempt);
    /// Ends an attempt and closes its connection. Does nothing if the attempt has already ended.
    void cancel(int request, int attempt);
    /// Returns whether the attempt waits for its connection, is only partly written to it, or is written and
    /// more than `tolerated_bytes` of it are not acknowledged.
    bool is_unsent(int request, int attempt, std::size_t tolerated_bytes) const;
    /// Cancels an attempt whose request is only partly written, so that it cannot execute later. A request
    /// that is fully written but not acknowledged may be executing: it is cancelled only if `may_cancel`, and
    /// if more than `tolerated_bytes` of it are not acknowledged. Does nothing to other attempts.
    void cancel_partially_sent(int request, int attempt, bool may_cancel, std::size_t tolerated_bytes = 0);
    /// Continues a stream whose sink had no capacity.
    void resume(std::uint64_t stream);
    /// Closes the connection of a stream whose remaining body is not needed. BodySink::end is not called.
    void abandon_stream(std::uint64_t stream);
    /// Closes the idle connections to the server.
    void close_idle(int server_id);
    /// Closes the server's idle connections and refuses its attempts that are not yet sent. Called when a
    /// server no longer accepts attempts (draining, drained or removed). Affects only the present attempts;
    /// the owner must not start new ones.
    void refuse_unsent_attempts(int server_id);
    int open_count() const { return static_cast<int>(open_count_); }
    /// Returns the total number of connections visited by linear searches since the start.
    std::uint64_t searched_connections() const { return searched_connections_; }
    double connect_timeout() const { return connect_timeout_; }
    /// Tells the pool that the owner has taken the bodies of all results that were reported before.
    void on_results_handled() { budget_.queued = 0; }
    /// Limits the pool to shares (0 to 1) of its connections and bytes. A sibling process uses the rest.
    void set_budget_shares(double connections, double bytes);
    /// Returns how many bytes are occupied, of those that Limits::bytes bounds.
    std::size_t used_bytes() const { return budget_.used; }
    /// Frees the connections closed since the last call. Must not be called from a callback of the pool.
    void destroy_closed();

  private:
    static constexpr std::size_t kMaxHeaderBytes = std::size_t{16} * 1024;
    // Limits the input buffer to one buffered value with its header, or to a window of a streamed value.
    static constexpr std::size_t kUpstreamReadLimitBytes = kMaxBufferedValueBytes + kMaxHeaderBytes;
    // Read limit of a connection until the response is known to be longer.
    static constexpr std::size_t kFirstReadLimitBytes = kMaxHeaderBytes;
    // Longer values of writes are written without a copy.
    static constexpr std::size_t kMaxCopiedValueBytes = std::size_t{4} * 1024;

    struct Connection {
        int server = 0;
        ServerProcess process;  // of the server when the connection was opened
        std::unique_ptr<TcpConnection> socket;
        bool is_busy = false;
        bool is_read = false;  // the request in flight is a read, whose response must be a value
        int request = 0;
        int attempt = 0;
        std::string request_id;
        bool is_written = false;  // the request is written, at least to the output buffer of `socket`
        double started_at = 0;    // when the attempt was started
        double deadline = 0;      // of the attempt
        double last_used = 0;     // when it last became idle or received a part of a stream; 0: never
        TimerQueue::Handle attempt_timer;
        TimerQueue::Handle connect_timer;
        TimerQueue::Handle send_timer;
        TimerQueue::Handle idle_timer;
        std::optional<BodyCollector> collector;  // of a response without a length, until it is forwarded
        std::size_t collected_bytes = 0;         // of its body that are counted in the budget
        bool is_paused = false;                  // its body waits for memory
        std::uint64_t stream = 0;                // id of the response being streamed, or 0
        StreamedValue remaining;        // the part of the streamed response that is not yet forwarded
        bool is_writing_chunk = false;  // BodySink::write is being called, which may call resume()
    };
    struct Server {
        std::string name;
        ServerProcess process;
        bool is_origin = false;
        std::vector<Connection*> idle;  // in ascending order of last use
        int open_connections = 0;       // number of open connections, including idle ones
    };

    Server& server_at(int server_id) { return servers_[static_cast<std::size_t>(server_id)]; }
    Topic topic(int server_id) const;
    static std::uint64_t attempt_key(int request, int attempt);
    Connection* acquire_connection(int server_id);
    Connection* open(int server_id);
    bool has_capacity(int server_id);
    bool evict_idle();
    bool begin_attempt(Connection& connection, int request, int attempt, double timeout, double send_timeout);
    void reassign_attempt(Connection& connection);
    void on_ready(Connection& connection);
    void write_command(Connection& connection, const Command& command);
    void write_request(Connection& connection, std::string head, const SharedBytes& value,
                       std::string_view end);
    void write_health_check(Connection& connection);
    void on_event(Connection& connection, TcpConnection::Event event);
    // `ended`: the peer has closed cleanly, so no more input follows.
    void read_response(Connection& connection, bool ended = false);
    bool receive_more(Connection& connection);
    void on_unexpected_input(Connection& connection);
    bool begin_stream(Connection& connection);
    void start_stream(Connection& connection, StreamedValue&& value);
    bool begin_collecting(Connection& connection);
    void collect_body(Connection& connection, bool ended);
    void finish_collecting(Connection& connection);
    void count_collected(Connection& connection);
    void drop_collected(Connection& connection);
    bool shed_collected(const Connection& current);
    static bool is_collecting(const Connection& connection);
    void balance_collecting();
    const Connection* find_collecting_leader() const;
    std::string_view stream_source(const Connection& connection) const;
    void consume_stream_source(Connection& connection, std::size_t bytes);
    void forward_chunks(Connection& connection);
    void restart_stall_timer(Connection& connection);
    void end_stream(Connection& connection, bool complete);
    void keep_or_close(Connection& connection, bool reusable);
    static bool is_fully_sent(const Connection& connection) {
        return connection.is_written && connection.socket->unwritten_bytes() == 0;
    }
    std::size_t parse_response(const Connection& connection, AttemptResponse& response, bool ended);
    void fail_connection(Connection& connection, AttemptOutcome outcome_if_sent);
    void finish_attempt(Connection& connection, AttemptOutcome outcome, std::string body = {});
    void close(Connection& connection);
    void close_expired();

    TimerQueue& timers_;
    Log& log_;
    double connect_timeout_ = 0;
    double idle_timeout_ = 0;
    const Limits limits_;
    std::size_t connection_limit_;  // the present share of limits_.connections
    ByteBudget budget_;
    OnFinished on_finished_;
    OnConnected on_connected_;
    OnWrite on_write_;
    BodySink body_sink_;
    ConnectionLimit server_connection_limit_;
    std::uint64_t last_stream_ = 0;
    std::unordered_map<std::uint64_t, Connection*> streams_;
    std::size_t collected_bytes_ = 0;  // over all connections
    bool is_collecting_limited_ = false;
    TimerQueue::Handle collecting_timer_;
    std::vector<Server> servers_;
    std::list<Connection> connections_;
    std::size_t open_count_ = 0;
    std::uint64_t searched_connections_ = 0;
    bool has_closed_connections_ = false;
    int next_health_check_ = 0;
    std::unordered_map<std::uint64_t, Connection*> in_flight_;
};

}  // namespace brookrelay
