// The client side of the proxy: accepts connections, parses commands and writes responses in command order.
//
// ClientConnections owns the listening socket, every client connection and its buffers. A connection is
// closed in close() and its memory is freed in destroy_closed(), which the owner calls once per iteration of
// the main loop. Connections of clients that are silent, idle or do not read their responses are closed. Each
// request is passed on through OnCommand and answered once, through respond() or a stream. Only `mn` and
// malformed or incomplete commands, and input shed for lack of memory, are answered here.
//
// Times are seconds on the clock of monotonic_now(), sizes are bytes. A connection error closes the
// connection and is reported through OnClientClosed for each request that has no response. Everything runs on
// the thread of the GLib main loop.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "downstream/arrival_times.h"
#include "downstream/connection_slots.h"
#include "downstream/long_write_memory.h"
#include "downstream/turn_budget.h"
#include "downstream/value_skipper.h"
#include "guard/close_guard.h"
#include "guard/send_guard.h"
#include "guard/violations.h"
#include "io/listener.h"
#include "io/log.h"
#include "io/tcp_connection.h"
#include "io/timer_queue.h"
#include "protocol/memcache_text.h"

namespace brookrelay {

/// Accepts client connections and serves pipelined commands on each of them.
class ClientConnections {
  public:
    /// Identifies a command by its connection and its sequence number on that connection. A handle remains
    /// safe to use after the connection has closed.
    struct RequestHandle {
        std::uint64_t connection = 0;
        std::uint64_t command = 0;
        bool operator==(const RequestHandle&) const = default;
    };
    static constexpr int kNoRequest = -1;
    /// Returns the id of the request started for the command, or kNoRequest if the command is answered
    /// immediately. `received_at` is when the last byte of the command arrived, which may be earlier than
    /// when it was read.
    using OnCommand = std::function<int(RequestHandle, Command&&, double received_at)>;
    /// Called after a client connection has closed, once for each of its requests that has no response.
    using OnClientClosed = std::function<void(RequestHandle, int request)>;
    /// What is asked and told about a client whose close could not be seen. `is_unsent`: whether something of
    /// the request may still be sent to a server. `on_hidden`: called repeatedly once the close has been
    /// hidden for longer than kMaxCloseHidden, for each request without a response; what of it has not
    /// arrived at a server must not arrive any more.
    struct HiddenCloseCallbacks {
        std::function<bool(int request)> is_unsent;
        std::function<void(RequestHandle, int request)> on_hidden;
    };
    /// Events of streamed responses. `on_writable`: more of the body may be written. `on_abandoned`: the rest
    /// of the body is no longer needed.
    struct StreamCallbacks {
        std::function<void(std::uint64_t stream)> on_writable;
        std::function<void(std::uint64_t stream)> on_abandoned;
    };

    /// What all clients together may occupy. Each client may have `read_limit` bytes of input received;
    /// beyond that, memory for the value that it writes has to be reserved.
    struct Limits {
        std::size_t connections;
        std::size_t bytes;  // of input, of values of unanswered writes, and of responses
        std::size_t read_limit;
    };
    /// `timers`, `log` and `violations` must outlive this object.
    ClientConnections(TimerQueue& timers, Log& log, ViolationCounter& violations, const Limits& limits,
                      OnCommand on_command, OnClientClosed on_client_closed,
                      HiddenCloseCallbacks hidden_close_callbacks, StreamCallbacks stream_callbacks);
    ClientConnections(const ClientConnections&) = delete;
    ClientConnections& operator=(const ClientConnections&) = delete;

    /// Starts to accept connections on `listener`.
    void listen(SocketRef listener);
    /// Closes this process's descriptor of the listener. A sibling process may continue to accept on its own.
    void stop_accepting();
    /// Answers a command with `text`, which includes its line end. Does nothing if the command is already
    /// answered or the client connection has closed. If the byte budget is exceeded, an error line replaces a
    /// long response.
    void respond(const RequestHandle& handle, std::string text);
    /// Controls the buffering of a streamed response when further commands of its client are already read: if
    /// the stream broke off after its first byte, the connection would close and their responses would be
    /// lost. So none of it is written until it is complete, and it is received only once there is memory for
    /// all of it. If it is incomplete at `give_up_at`, an error line replaces it.
    struct StreamTerms {
        std::size_t length = 0;    // bytes that follow in chunks
        double give_up_at = 0;     // s, monotonic
        bool is_received = false;  // the whole body is received, so that it cannot break off
    };
    /// Begins a streamed response with its header. The chunks follow, each within stream_capacity().
    void begin_stream(const RequestHandle& handle, std::string header, std::uint64_t stream,
                      const StreamTerms& terms);
    /// Returns how many bytes of the streamed response may be written now.
    std::size_t stream_capacity(const RequestHandle& handle) const;
    /// Appends `bytes` to a streamed response.
    void write_chunk(const RequestHandle& handle, std::string_view bytes);
    /// Ends a streamed response. If it is incomplete, `line` is sent in its place, unless a part of it has
    /// already been written: then the connection is closed.
    void end_stream(const RequestHandle& handle, bool complete, std::string_view line);
    /// Closes each connection as soon as it has no unanswered command. With `at_once`, idle connections are
    /// closed without lingering, because another process of this node needs their descriptors.
    void begin_shutdown(bool at_once);
    /// Returns whether the client has closed its connection, even if unread input precedes the close. If so,
    /// closes the connection on this side.
    bool close_if_client_closed(const RequestHandle& handle);
    /// Returns for how long, in seconds, a close by the client could not have been seen, because input before
    /// it is not received.
    double close_hidden_for(const RequestHandle& handle) const;
    bool empty() const { return slots_.open() == 0; }
    /// Returns how many connections were closed for `reason`.
    std::uint64_t closed_count(CloseReason reason) const {
        return closed_counts_[static_cast<std::size_t>(reason)];
    }
    int open_count() const { return static_cast<int>(slots_.open()); }
    /// Begins a turn of the event loop. The time for clients' commands is bounded in each turn.
    void begin_turn() { turn_.begin_turn(); }
    /// Returns the total number of commands read since the start, malformed ones included.
    std::uint64_t commands_read() const { return commands_read_; }
    /// Returns how often a client's commands were left for a later turn.
    std::uint64_t turns_waited() const { return turns_waited_; }
    /// Returns how many commands were refused because all connections were in use.
    std::uint64_t refused_in_reserve() const { return refused_in_reserve_; }
    /// Limits this object to shares (0 to 1) of its connections and bytes. A sibling process uses the rest.
    void set_budget_shares(double connections, double bytes);
    /// Returns how many bytes are occupied, of those that Limits::bytes bounds.
    std::size_t used_bytes() const { return budget_.used; }
    /// Returns whether no command has arrived since `time` and none is unanswered or unread.
    bool idle_since(double time) const;
    /// Returns whether a command is unanswered, or a response is not yet delivered. A connection that is
    /// being closed counts until its client's host has acknowledged everything, or the linger time has
    /// passed.
    bool has_undelivered_responses() const;
    /// Frees the connections closed since the last call. Must not be called from a callback of this object.
    void destroy_closed();

  private:
    // File descriptors are scarce, so clients that send nothing for this time before their first command or
    // inside any command are closed. The time runs from the last byte received, so a slow client that makes
    // progress is served.
    static constexpr double kSilenceTimeoutSeconds = 2.5;
    static constexpr const char* kOutOfMemoryLine = "SERVER_ERROR out of memory";

    struct PendingResponse {
        bool is_ready = false;  // `text` is complete, or holds the end of a streamed response
        int request = kNoRequest;
        std::string text;
        std::uint64_t stream = 0;        // id of the streamed response, or 0
        bool is_partly_written = false;  // a part of the streamed response is written
        bool is_buffered = false;        // the streamed response is buffered in `text` until it is complete
        // Bytes that a buffered response waits for memory for before it is received, or 0.
        std::size_t awaited_memory = 0;
        std::size_t unfilled_bytes = 0;  // bytes counted in the budget that a buffered response still lacks
        std::size_t reserved_bytes = 0;  // bytes reserved for the command's value
        std::size_t command_bytes = 0;   // bytes of the command, counted in the budget
        std::size_t refused_behind = 0;  // refused commands between this one and the next one
    };
    /// Whether attempts may still be made for the command.
    static bool is_open_request(const PendingResponse& response) {
        return !response.is_ready && response.stream == 0 && response.request != kNoRequest;
    }
    /// Why reading is paused although the input may hold a complete command, and what resumes it.
    enum class PauseReason {
        none,
        unread_responses,      // the client has unread responses; resumed by Event::drained
        client_command_limit,  // the client's pipeline is full or has a stream; resumed by a response
        // all clients together have too many unanswered commands; resumed by resume_paused_clients()
        total_command_limit,
        turn_used,  // others come first; resumed by give_turns()
        // no memory is left for its long value; resumed by check_clients(), which refuses the command in time
        value_memory_limit,
        // its connection is in the reserve; resumed by serve_reserve(), which refuses the command in time
        connection_limit,
        // its close could not have been seen for too long; resumed by further input or by check_clients()
        close_hidden,
    };
    /// How long the command at the start of the input has waited for memory.
    struct MemoryWait {
        double began_at = 0;       // when it first waited; 0: it has not waited
        double waiting_since = 0;  // 0: it is not waiting now
        double waited = 0;         // seconds, over all waits that have ended
    };
    struct Client {
        std::unique_ptr<TcpConnection> connection;
        ArrivalTimes arrival_times;
        std::deque<PendingResponse> pending;
        std::uint64_t first_command = 0;        // sequence number of pending.front()
        double last_used = 0;                   // when bytes were last received, written or resumed
        double last_received = 0;               // when bytes were last received or reading last resumed
        std::size_t unread_response_bytes = 0;  // as counted at the last check_timeouts()
        double unread_since = 0;                // when check_timeouts() last saw that number change
        bool is_reading_stopped = false;        // further input is discarded
        bool is_closing = false;                // all commands are answered and the write side is shut down
        CloseReason close_reason = CloseReason::count;  // set once `is_closing` or `is_reading_stopped` is
        TimerQueue::Handle linger_timer;
        std::size_t reserved_bytes = 0;  // bytes reserved for the long value being received
        MemoryWait memory_wait;
        std::size_t waiting_refusals = 0;           // the sum of all PendingResponse::refused_behind
        std::optional<ValueSkipper> skipped_value;  // of a refused command, while it is being received
        PauseReason pause_reason = PauseReason::none;
        bool is_queued_for_turn = false;  // in clients_waiting_for_turn_
        bool is_in_reserve = false;       // its connection is not a regular one
        double in_reserve_since = 0;
        // Arrival of the request that waits for a regular connection, or 0, and when it is refused.
        double waiting_in_reserve_since = 0, give_up_at = 0;
        bool must_leave_reserve = false;  // its requests are refused without a further wait
    };

    PauseReason find_pause_reason(const Client& client) const;
    bool is_total_command_limit_reached() const;
    void record_pause_reason(std::uint64_t id, Client& client, PauseReason reason);
    void update_read_ahead(Client& client);
    void schedule_resume();
    void resume_paused_clients();
    void wait_for_turn(std::uint64_t id, Client& client);
    void schedule_turns();
    void give_turns();
    using ClientMap = std::map<std::uint64_t, Client>;
    /// What happens to the command at the start of a client's input while all connections are in use.
    enum class ReserveDecision { handle, wait, refused };

    static bool is_between_commands(const Client& client, double first_command_grace);
    void accept_connections();
    void pause_accepting(const char* cause);
    void accept_client(SocketRef socket);
    bool has_room();
    ClientMap::iterator find_longest_idle(bool is_reserve_included);
    ClientMap::iterator find_longest_stalled();
    bool evict_idle();
    bool claim_regular_connection(Client& client);
    ReserveDecision decide_in_reserve(Client& client);
    void begin_wait_in_reserve(Client& client, const Command& command);
    void refuse_in_reserve(Client& client, std::size_t command_bytes);
    bool clear_reserve_connection();
    void give_way(std::uint64_t id, Client& client);
    void schedule_reserve();
    void serve_reserve();
    void on_event(std::uint64_t id, Client& client, TcpConnection::Event event);
    void read_commands(std::uint64_t id, Client& client);
    bool read_command(std::uint64_t id, Client& client);
    void handle_command(std::uint64_t id, Client& client, Command&& command, std::size_t command_bytes,
                        double received_at);
    static double consume(Client& client, std::size_t bytes);
    void discard_input(Client& client);
    bool reserve_long_value(Client& client);
    void release_reservation(Client& client);
    void revoke_stalled_reservations(double now);
    bool is_waiting_too_long(Client& client);
    void refuse_long_write(Client& client);
    static std::size_t memory_of(const Command& command);
    bool has_memory_for(const Client& client, std::size_t command_bytes) const;
    void refuse_command(Client& client);
    bool skip_value(std::uint64_t id, Client& client);
    static double take_arrival_time(Client& client, double received_at);
    void shed_input(std::uint64_t id, Client& client);
    Client* find(const RequestHandle& handle);
    void finish_response(PendingResponse& response, std::string text);
    PendingResponse& response_to(Client& client, const RequestHandle& handle);
    bool reserve_buffer(PendingResponse& response);
    void release_memory(PendingResponse& response);
    void resume_buffered_streams();
    void fail_buffered_response(const RequestHandle& handle);
    void write_responses(Client& client);
    void reject_connection(std::uint64_t id, Client& client, const char* line);
    void check_clients();
    void close_longest_idle(double now);
    static std::size_t unread_response_bytes(const Client& client);
    void check_timeouts(std::uint64_t id, Client& client, double now);
    void close_if_done(std::uint64_t id, Client& client);
    CloseFacts close_facts(const Client& client) const;
    static void stop_reading(Client& client, CloseReason reason);
    static double close_hidden_for(const Client& client, double now);
    void report_hidden_close(std::uint64_t id, const Client& client, double now);
    bool must_see_close(const Client& client) const;
    void refuse_commands_without_space(std::uint64_t id, Client& client);
    bool refuse_next_command(std::uint64_t id, Client& client);
    void refuse_received_command(Client& client, std::size_t command_bytes);
    static void append_refusals(const PendingResponse& response, std::string& text);
    void release_refusals(Client& client, PendingResponse& response);
    static std::size_t unanswered_commands(const Client& client);
    static const std::string& refusal_line();
    static bool is_request(const Command& command) {
        return command.kind == Command::Kind::read || command.kind == Command::Kind::write;
    }
    void report_lost_commands(std::uint64_t id, const Client& client, CloseReason reason,
                              std::size_t unanswered);
    void close_gracefully(std::uint64_t id, Client& client, CloseReason reason);
    void start_lingering_close(std::uint64_t id, Client& client);
    void abandon_pending(std::uint64_t id, Client& client);
    void close(std::uint64_t id, Client& client, CloseReason reason);

    TimerQueue& timers_;
    Log& log_;
    ViolationCounter& violations_;
    const Limits limits_;
    ByteBudget budget_;
    OnCommand on_command_;
    OnClientClosed on_client_closed_;
    HiddenCloseCallbacks hidden_close_callbacks_;
    StreamCallbacks stream_callbacks_;
    LongWriteMemory long_write_memory_;
    Listener listener_;
    ClientMap clients_;
    std::vector<std::uint64_t> closed_;
    std::array<std::uint64_t, static_cast<std::size_t>(CloseReason::count)> closed_counts_{};
    ConnectionSlots slots_;
    bool is_accepting_paused_ = false;  // until a connection may be free
    TimerQueue::Handle reserve_timer_;
    std::uint64_t refused_in_reserve_ = 0;
    std::size_t unanswered_commands_ = 0;  // commands whose response is not completely written
    // Connections paused for total_command_limit, the longest waiting first.
    std::deque<std::uint64_t> paused_clients_;
    TimerQueue::Handle resume_timer_;
    TurnBudget turn_;
    std::deque<std::uint64_t> clients_waiting_for_turn_;  // the longest waiting first
    TimerQueue::Handle turn_timer_;
    std::uint64_t turns_waited_ = 0;
    std::uint64_t commands_read_ = 0;
    std::uint64_t last_id_ = 0;
    double last_command_at_ = 0;
    bool is_shutting_down_ = false;
    bool close_idle_at_once_ = false;
};

}  // namespace brookrelay
