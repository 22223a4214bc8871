// The clients' side: the listener, each client's connection, and its answers in the order of its commands. It
// owns the connections and gives them back in drop(), also those of clients that keep one for nothing. It
// never decides an answer: each command that the node is asked is answered by the node, once; only what is no
// command at all, or no whole one in time, gets its error line here.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "io/log.h"
#include "io/tcp_connection.h"
#include "io/timer_queue.h"
#include "protocol/memcache_text.h"

namespace brookrelay {

class ClientConnections {
  public:
    struct RequestHandle {
        std::uint64_t connection = 0;
        std::uint64_t command = 0;
        bool operator==(const RequestHandle&) const = default;
    };
    static constexpr int kNoRequest = -1;
    using OnCommand =
        std::function<int(RequestHandle, Command&&)>;  // which invocation the command is, if it is one
    using OnClientClosed =
        std::function<void(RequestHandle, int inv)>;  // one call for each invocation without its answer
    // For long values: there is room for more of it, or nobody wants the rest any more.
    struct StreamCallbacks {
        std::function<void(std::uint64_t relay)> on_writable;
        std::function<void(std::uint64_t relay)> on_abandoned;
    };

    ClientConnections(TimerQueue& timers, Log& log, std::size_t most, std::size_t bytes, OnCommand asked,
                      OnClientClosed left, StreamCallbacks relayed);
    ~ClientConnections();
    ClientConnections(const ClientConnections&) = delete;
    ClientConnections& operator=(const ClientConnections&) = delete;

    void listen(SocketRef listener);
    void stop_accepting();  // the listener may be another process's too, which goes on
    void respond(const RequestHandle& asker, std::string text);
    // An answer in pieces, which follow while there is room. Not whole at its end, the client is let go,
    // unless nothing of it has been written: then it gets the line instead.
    void begin_stream(const RequestHandle& asker, std::string head, std::uint64_t relay);
    std::size_t stream_capacity(const RequestHandle& asker) const;
    void write_chunk(const RequestHandle& asker, std::string_view bytes);
    void end_stream(const RequestHandle& asker, bool whole, std::string_view line);
    // From now on each connection is closed once it has nothing to be answered. `at_once`: those that rest
    // give back their descriptor in the same moment, which another process of this node needs.
    void begin_shutdown(bool at_once);
    // Whether whoever asked has closed its connection; if so it is dropped, though its end may not be read
    // yet.
    bool has_closed(const RequestHandle& asker);
    bool empty() const { return open_count_ == 0; }
    int open_count() const { return static_cast<int>(open_count_); }
    void set_budget_share(double part);  // of its connections and bytes: the rest is another process's
    bool idle_since(double time) const;  // nothing is owed to anyone, and nobody has asked
    void destroy_closed();

  private:
    struct PendingResponse {
        bool ready = false;
        int request = kNoRequest;
        std::string text;
        std::uint64_t stream = 0;  // the rest of it comes in pieces
        bool started = false;      // and some of it is written
        std::size_t reserved = 0;  // for the value that the command brought
    };
    struct Client {
        std::unique_ptr<TcpConnection> connection;
        std::deque<PendingResponse> pending;
        std::uint64_t first_command = 0;  // the number of the command in front
        double last_used = 0;
        std::size_t unread_response_bytes =
            0;  // bytes of answers that it had not taken at the last look that saw a change
        double unread_since = 0;
        bool reading_stopped = false;  // nothing more is read from it
        bool closing = false;          // all is answered, and the client has been told that it was the last
        TimerQueue::Handle linger_timer;
        std::size_t reserved = 0;         // for the long value that is being read
        bool waiting_for_memory = false;  // for such a place
    };

    bool may_accept_command(const Client& c) const;
    static bool between_commands(const Client& c);
    void watch_listener(bool on);
    void accept_connections();
    bool evict_idle();
    void on_event(std::uint64_t id, Client& c, TcpConnection::Event what);
    void read_commands(std::uint64_t id, Client& c);
    bool may_continue_reading(Client& c);
    Client* find(const RequestHandle& asker);
    void complete(PendingResponse& p, std::string text);
    void write_responses(Client& c);
    void reject_connection(std::uint64_t id, Client& c, const char* line);
    void age();
    void close_longest_idle(double now);
    void age(std::uint64_t id, Client& c, double now);
    void close_if_done(std::uint64_t id, Client& c);
    void close_gracefully(std::uint64_t id, Client& c);
    void start_lingering_close(std::uint64_t id, Client& c);
    void abandon_pending(std::uint64_t id, Client& c);
    void close(std::uint64_t id, Client& c);

    TimerQueue& timers_;
    Log& log_;
    const std::size_t max_connections_;
    std::size_t connection_limit_;
    const std::size_t max_bytes_;
    ByteBudget budget_;
    OnCommand on_command_;
    OnClientClosed on_client_closed_;
    StreamCallbacks stream_callbacks_;
    std::size_t reserved_limit_;
    std::size_t reserved_ = 0;  // bytes of long values that clients write
    SocketRef listener_;
    GSource* accept_source_ = nullptr;
    TimerQueue::Handle accept_retry_timer_;
    std::map<std::uint64_t, Client> clients_;
    std::vector<std::uint64_t> closed_;
    std::size_t open_count_ = 0;
    std::size_t unanswered_commands_ = 0;  // commands without their answer written
    std::uint64_t last_id_ = 0;
    double last_command_at_ = 0;
    bool shutting_down_ = false;
    bool close_idle_at_once_ = false;
};

}  // namespace brookrelay
