// The pool of connections to the memcache servers and to the HTTP origin, and the attempts in flight on them.
//
// UpstreamPool owns every connection, its buffers and its timers; a connection is closed in close() and its
// memory freed in destroy_closed(), which the owner calls once per iteration of the main loop. A connection
// carries one attempt at a time: cancelling an attempt closes its connection, and pipelining would make a
// quick response wait behind a slow one. The pool neither chooses servers nor retries.
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

/// Keeps reusable connections to each server and runs one attempt at a time on each of them.
class UpstreamPool {
  public:
    /// How one attempt (or health check, with request == kHealthCheck) ended.
    struct AttemptResult {
        int request;
        int attempt;
        int server;
        AttemptOutcome outcome;
        double latency;  // seconds since the attempt was started
        std::string body;
        // If not 0, the body follows in chunks through the BodySink under this stream id, `stream_length`
        // bytes in all, and `body` is empty.
        std::uint64_t stream = 0;
        std::size_t stream_length = 0;
        bool written = false;  // at least a part of the request was
    };
    /// Receives the bodies of streamed responses. `capacity` says how many bytes may be written now; after it
    /// has returned 0, the sink calls resume() once there is room. `end` is called once per stream, with
    /// `complete` false if the body was cut short, but not after abandon_stream().
    struct BodySink {
        std::function<std::size_t(std::uint64_t stream)> capacity;
        std::function<void(std::uint64_t stream, std::string_view chunk)> write;
        std::function<void(std::uint64_t stream, bool complete)> end;
    };
    using OnFinished = std::function<void(AttemptResult&&)>;
    /// The attempt's connection may carry it now and nothing is sent yet: the owner calls send() or
    /// abandon().
    using OnConnected = std::function<void(int request, int attempt, int server)>;
    /// Called immediately before the request of an attempt is written, `time_left` being what its server is
    /// told.
    using OnWrite = std::function<void(int request, int attempt, int server, double time_left)>;
    /// The number of connections that may be open to a server, given how many of them would be busy.
    using ConnectionLimit = std::function<int(int server_id, int busy)>;
    static constexpr int kHealthCheck = -1;  ///< stands in place of a request id

    /// `timers` and `log` must outlive the pool. `max_connections` and `max_bytes` bound the connections and
    /// the buffered bytes of all servers together.
    UpstreamPool(TimerQueue& timers, Log& log, const Deployment& deployment, std::size_t max_connections,
                 std::size_t max_bytes, OnFinished on_finished, OnConnected on_connected, OnWrite on_write,
                 BodySink body_sink);

    /// Takes the connect and idle timeouts; connects already in progress keep their timeout.
    void apply_configuration(const Deployment& deployment);
    /// Without a limit per server only `max_connections` counts. Connections above it are closed by
    /// enforce_connection_limit(), or when they become idle.
    void set_connection_limit(ConnectionLimit limit) { server_connection_limit_ = std::move(limit); }
    void enforce_connection_limit();
    void add_server(int server_id, const std::string& name, const std::string& address, bool origin);
    /// Whether any connection to the server is still open.
    bool in_use(int server_id) const;
    /// Forgets a server that is not in use; its id may then be given to another server.
    void remove_server(int server_id);
    /// Starts an attempt that times out after `timeout` seconds. Unless `send_timeout` is 0, the request must
    /// also be sent and acknowledged within that many seconds, or the attempt ends as timed out. The result
    /// is reported through OnFinished, at once if there is no connection to be had.
    void start_attempt(int request, int attempt, int server_id, const Command& command, double timeout,
                       double send_timeout);
    /// Like start_attempt(), for the server's health check; the request id of its result is kHealthCheck.
    void check_health(int server_id, double timeout);
    /// Sends the request of an attempt announced by OnConnected; its server is told the time left now. An
    /// attempt whose deadline or send timeout has passed ends as timed out.
    void send(int request, int attempt, const Command& command);
    /// Ends an attempt announced by OnConnected without sending it; its connection becomes idle.
    void abandon(int request, int attempt);
    /// Ends an attempt and closes its connection. No effect if the attempt has already ended.
    void cancel(int request, int attempt);
    /// Cancels an attempt of which a part is written, so that it does not begin later. One that is written
    /// whole and only not acknowledged may have begun: it is cancelled if `may_cancel`. No effect on others.
    void cancel_half_sent(int request, int attempt, bool may_cancel);
    /// Continues a stream whose sink had no capacity.
    void resume(std::uint64_t stream);
    /// Closes the connection of a stream whose remaining body is not wanted; BodySink::end is not called.
    void abandon_stream(std::uint64_t stream);
    void close_idle(int server_id);
    /// Closes the server's idle connections and refuses its attempts that are not sent yet.
    void close_unstarted(int server_id);
    int open_count() const { return static_cast<int>(open_count_); }
    /// Connections that searches have passed so far; only grows.
    std::uint64_t searched_connections() const { return searched_connections_; }
    double connect_timeout() const { return connect_timeout_; }
    /// Limits the pool to this share (0 to 1) of its connections and bytes; a sibling process uses the rest.
    void set_budget_share(double share);
    /// Frees the connections closed since the last call; never called from inside a callback of the pool.
    void destroy_closed();

  private:
    struct Connection {
        int server = 0;
        std::unique_ptr<TcpConnection> socket;
        bool busy = false;
        bool is_read = false;  // the request in flight is a read, which only a value answers
        int request = 0;
        int attempt = 0;
        std::string request_id;
        bool written = false;  // the request is written, at least to the socket's buffer
        double sent_at = 0;
        double deadline = 0;  // of the attempt
        double last_used = 0;
        TimerQueue::Handle attempt_timer;
        TimerQueue::Handle connect_timer;
        TimerQueue::Handle send_timer;
        TimerQueue::Handle idle_timer;
        std::uint64_t stream = 0;    // id of the response being streamed, or 0
        StreamedValue remaining;     // the part of the streamed response not forwarded yet
        bool writing_chunk = false;  // inside BodySink::write, which may call resume()
    };
    struct Server {
        std::string name, address;
        bool origin = false;
        std::vector<Connection*> idle;  // the most recently used last
        int open = 0;                   // connections, including idle ones
    };

    Server& server_at(int server_id) { return servers_[static_cast<std::size_t>(server_id)]; }
    Topic topic(int server_id) const;
    static std::uint64_t attempt_key(int request, int attempt);
    Connection* connection_to(int server_id);
    Connection* open(int server_id);
    bool has_capacity(int server_id);
    bool evict_idle();
    bool begin_attempt(Connection& connection, int request, int attempt, double timeout, double send_timeout);
    void continue_attempt(Connection& connection);
    void on_ready(Connection& connection);
    void write_command(Connection& connection, const Command& command);
    void write_health_check(Connection& connection);
    void on_event(Connection& connection, TcpConnection::Event event);
    // `ended`: the peer has closed cleanly, so the input is all there is.
    void read_response(Connection& connection, bool ended = false);
    void on_unexpected_input(Connection& connection);
    bool begin_stream(Connection& connection);
    void forward_chunks(Connection& connection);
    void restart_stall_timer(Connection& connection);
    void end_stream(Connection& connection, bool complete);
    void keep_or_close(Connection& connection, bool reusable);
    static bool is_fully_sent(const Connection& connection) {
        return connection.written && connection.socket->unwritten_bytes() == 0;
    }
    std::size_t parse(const Connection& connection, AttemptResponse& response, bool ended);
    void on_broken(Connection& connection, AttemptOutcome outcome_if_sent);
    void finish_attempt(Connection& connection, AttemptOutcome outcome, std::string body = {});
    void close(Connection& connection);
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
    OnWrite on_write_;
    BodySink body_sink_;
    ConnectionLimit server_connection_limit_;
    std::uint64_t last_stream_ = 0;
    std::unordered_map<std::uint64_t, Connection*> streams_;
    std::vector<Server> servers_;
    std::list<Connection> connections_;
    std::size_t open_count_ = 0;
    std::uint64_t searched_connections_ = 0;
    bool has_closed_ = false;
    int next_health_check_ = 0;
    std::unordered_map<std::uint64_t, Connection*> in_flight_;
};

}  // namespace brookrelay
