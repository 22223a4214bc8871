// A non-blocking TCP connection on GLib's main loop, with an input and an output buffer.
//
// TcpConnection owns its socket, its event sources and its buffers; all are released in close(). It stops
// reading at its read limit, while the output buffer is limited only by what the owner writes. Sizes are
// bytes. Errors are reported as Event::closed, from the main loop and never from inside a call by the owner.
// Everything runs on the thread of the main loop.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "io/glib_handles.h"

namespace brookrelay {

/// Counts the bytes buffered by a group of connections. Each connection has its own read limit, but many full
/// buffers together could exceed the node's memory. The owner checks exceeded() and closes connections;
/// nothing is enforced here.
struct ByteBudget {
    std::size_t limit = 0;
    std::size_t used = 0;
    bool exceeded() const { return used > limit; }
};

/// One accepted or outgoing connection. It may be closed, but not destroyed, inside its event handler.
class TcpConnection {
  public:
    /// connected: an outgoing connection is established. readable: input() has grown. drained: output that
    /// had to be buffered is written. closed: the peer closed or the connection failed; input() is still
    /// available.
    enum class Event { connected, readable, drained, closed };
    using EventHandler = std::function<void(Event)>;

    /// Takes ownership of an accepted connection. `budget` must outlive it. `priority` is the GLib priority
    /// of its sources.
    TcpConnection(SocketRef accepted, std::size_t read_limit, ByteBudget& budget, EventHandler on_event,
                  int priority = G_PRIORITY_DEFAULT);
    /// Starts to connect to a numeric `HOST:PORT`. Any failure, including a malformed address, is reported as
    /// Event::closed. `budget` must outlive the connection. `priority` is the GLib priority of its sources.
    TcpConnection(const std::string& address, std::size_t read_limit, ByteBudget& budget,
                  EventHandler on_event, int priority = G_PRIORITY_DEFAULT);
    ~TcpConnection() { close(); }
    TcpConnection(const TcpConnection&) = delete;
    TcpConnection& operator=(const TcpConnection&) = delete;

    /// Writes as much as the kernel accepts and buffers the rest. While connecting, buffers everything.
    void write(std::string_view bytes);
    bool all_written() const { return output_.empty() && state_ == State::connected; }
    std::size_t unwritten_bytes() const { return output_.size(); }
    /// Returns what is received but not consumed. Valid until the next call that changes the connection.
    std::string_view input() const { return std::string_view(input_).substr(consumed_); }
    /// Removes bytes from the front of input().
    void consume(std::size_t bytes);
    /// Receives everything that the kernel holds in one iteration of the main loop, with one event per chunk.
    /// By default one chunk is received per iteration.
    void read_until_empty() { reads_until_empty_ = true; }
    /// Changes the read limit. Input that is already received is kept.
    void set_read_limit(std::size_t bytes);
    /// Releases the socket and the buffers. No event follows.
    void close();
    /// Closes with a reset, so that undelivered output is no longer sent.
    void abort();
    /// Shuts down the write side once all output is written. The owner must consume and ignore further input.
    void shutdown_write();
    /// Returns whether input is buffered here or in the kernel.
    bool has_unread_input() const;
    /// Returns whether input is buffered in the kernel, because it is not yet received or reading is paused.
    bool has_unreceived_input() const;
    /// Returns when the input received last arrived, in seconds on the monotonic clock. For input that may
    /// have waited in the kernel while reading was paused at the read limit, this is the earliest possible
    /// time.
    double received_at() const { return received_at_; }
    /// Returns whether the connection is established and neither input nor the peer's close has arrived.
    bool is_idle() const;
    /// Returns whether the peer closed and all its data was received. False after a reset.
    bool ended_cleanly() const { return ended_cleanly_; }
    /// Returns whether the peer's host has not yet acknowledged all output that was written to the kernel.
    bool has_unacknowledged_output() const;
    /// Returns whether the peer has closed or reset the connection, even if unread input precedes the close.
    bool peer_has_closed() const;
    bool is_read_buffer_full() const { return input_.size() - consumed_ >= read_limit_; }
    bool is_connected() const { return state_ == State::connected; }
    bool is_closed() const { return state_ == State::closed; }

  private:
    enum class State { connecting, connected, broken, closed };
    using OnSocket = gboolean (*)(GSocket*, GIOCondition, gpointer);

    void watch(GSourceRef& source, GIOCondition condition, OnSocket on_ready);
    void watch_input();
    void flush();
    std::size_t send_some(std::string_view bytes);
    void update_budget();
    void on_error();
    void on_connected();
    void receive();
    bool receive_chunk();
    void on_end();
    double arrival_time_of_input(std::size_t bytes);
    void update_held_input(std::size_t bytes, double now);

    template <void (TcpConnection::*Method)()>
    static gboolean on_socket(GSocket*, GIOCondition, gpointer self) {
        (static_cast<TcpConnection*>(self)->*Method)();
        return G_SOURCE_CONTINUE;  // a source that is no longer needed is already destroyed
    }

    SocketRef socket_;
    GSourceRef input_source_;
    GSourceRef output_source_;
    State state_ = State::connecting;
    std::size_t read_limit_;
    ByteBudget& budget_;
    std::size_t budgeted_bytes_ = 0;  // bytes of both buffers that are counted in budget_
    std::string input_;
    std::size_t consumed_ = 0;  // bytes at the front of input_ that are consumed but not yet erased
    std::string output_;
    bool is_shutting_down_write_ = false;
    bool ended_cleanly_ = false;
    double received_at_ = 0;
    // When reading paused at the read limit; 0 once all input that was sent during the pause is received.
    // Input received meanwhile counts as arrived at this time.
    double reading_paused_at_ = 0;
    // What has been received since reading paused.
    struct HeldInput {
        double started_at = 0;  // when counting of `bytes` began
        double resumed_at = 0;  // when reading last resumed
        std::size_t bytes = 0;
    };
    HeldInput held_input_;
    EventHandler on_event_;
    bool is_accepted_unread_ = false;  // accepted, and nothing is received yet
    bool reads_until_empty_ = false;
    int priority_ = G_PRIORITY_DEFAULT;
};

}  // namespace brookrelay
