// A non-blocking TCP connection on GLib's main loop, with an input and an output buffer.
//
// TcpConnection owns its socket, its event sources and its buffers; all are released in close(). It stops
// reading at its read limit, while the output buffer is bounded only by what the owner writes. Sizes are
// bytes. Errors are reported as Event::closed, from the main loop and never from inside a call of the owner.
// Everything runs on the thread of the main loop.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "io/glib_handles.h"

namespace brookrelay {

/// Counts the bytes buffered by a group of connections. Each connection has its own limit, but many full
/// buffers together could exceed the node's memory. The owner checks exceeded() and closes connections;
/// nothing is enforced here.
struct ByteBudget {
    std::size_t limit = 0;
    std::size_t used = 0;
    bool exceeded() const { return used > limit; }
};

/// One connection, accepted or connecting. It may be closed, but not destroyed, inside its event handler.
class TcpConnection {
  public:
    /// connected: an outgoing connection is established. readable: input() has grown. drained: output that
    /// could not be written at once is written. closed: the peer closed or the connection failed; input() is
    /// still there.
    enum class Event { connected, readable, drained, closed };
    using EventHandler = std::function<void(Event)>;

    /// Takes an accepted connection. `budget` must outlive it. `priority` is the GLib priority of its
    /// sources.
    TcpConnection(SocketRef accepted, std::size_t read_limit, ByteBudget& budget, EventHandler on_event,
                  int priority = G_PRIORITY_DEFAULT);
    /// Begins to connect to a numeric `HOST:PORT`. A failure, also of parsing it, is reported as
    /// Event::closed. `priority` is the GLib priority of its sources.
    TcpConnection(const std::string& address, std::size_t read_limit, ByteBudget& budget,
                  EventHandler on_event, int priority = G_PRIORITY_DEFAULT);
    ~TcpConnection() { close(); }
    TcpConnection(const TcpConnection&) = delete;
    TcpConnection& operator=(const TcpConnection&) = delete;

    /// Writes as much as the kernel takes and buffers the rest, or all of it while connecting.
    void write(std::string_view bytes);
    bool all_written() const { return output_.empty() && state_ == State::connected; }
    std::size_t unwritten_bytes() const { return output_.size(); }
    /// What was received and not consumed; valid until the next call that changes the connection.
    std::string_view input() const { return std::string_view(input_).substr(consumed_); }
    /// Removes bytes from the front of input().
    void consume(std::size_t bytes);
    /// From now on all that the kernel holds is received at once, with an event for each chunk, in place of
    /// one chunk an iteration of the main loop.
    void read_until_empty() { reads_until_empty_ = true; }
    /// Bounds input() from now on; what is already received is kept.
    void set_read_limit(std::size_t bytes);
    /// Releases the socket and the buffers. No event follows.
    void close();
    /// Closes with a reset, so that output not yet delivered is not sent any more.
    void abort();
    /// Shuts down the write side once all output is written. The owner must consume and ignore further input.
    void shutdown_write();
    /// Whether input is buffered here or in the kernel.
    bool has_unread_input() const;
    /// Whether input waits in the kernel, because it is not received yet or reading is paused.
    bool has_unreceived_input() const;
    /// When the input received last had arrived, in seconds on the monotonic clock; the earliest possible
    /// time where it waited in the kernel while reading was paused at the read limit.
    double received_at() const { return received_at_; }
    /// Whether it is connected and neither input nor the peer's close has arrived.
    bool is_idle() const;
    /// Whether the peer closed after all its data was received; false after a reset.
    bool ended_cleanly() const { return ended_cleanly_; }
    /// Whether the peer's host has not acknowledged all that was written to the kernel.
    bool has_unacknowledged_output() const;
    /// Whether the peer has closed or reset, even if its data is not read yet.
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
    double arrival_of_received(bool all_received);

    template <void (TcpConnection::*Method)()>
    static gboolean on_socket(GSocket*, GIOCondition, gpointer self) {
        (static_cast<TcpConnection*>(self)->*Method)();
        return G_SOURCE_CONTINUE;  // a source no longer needed is already destroyed
    }

    SocketRef socket_;
    GSourceRef input_source_;
    GSourceRef output_source_;
    State state_ = State::connecting;
    std::size_t read_limit_;
    ByteBudget& budget_;
    std::size_t budgeted_bytes_ = 0;  // what of both buffers is counted in budget_
    std::string input_;
    std::size_t consumed_ = 0;
    std::string output_;
    bool shutting_down_write_ = false;
    bool ended_cleanly_ = false;
    double received_at_ = 0;
    double reading_paused_at_ = 0;  // 0: all that the kernel held since the last pause is received
    EventHandler on_event_;
    bool is_accepted_unread_ = false;  // accepted, and nothing is received yet
    bool reads_until_empty_ = false;
    int priority_ = G_PRIORITY_DEFAULT;
};

}  // namespace brookrelay
