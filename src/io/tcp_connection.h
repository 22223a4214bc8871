// A non-blocking TCP connection on GLib's main loop, with an input and an output buffer.
//
// TcpConnection owns its socket, its event sources and its buffers; all are released in close(). It stops
// reading at its read limit, while its output is limited only by what the owner writes. Sizes are
// bytes. Errors are reported as Event::closed, from the main loop and never from inside a call by the owner.
// Everything runs on the thread of the main loop.
#pragma once

#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "io/close_visibility.h"
#include "io/glib_handles.h"
#include "util/shared_bytes.h"

namespace brookrelay {

/// Counts the bytes buffered by a group of connections. Each connection has its own read limit, but many full
/// buffers together could exceed the node's memory. The owner checks exceeded() and closes connections;
/// nothing is enforced here.
struct ByteBudget {
    std::size_t limit = 0;
    std::size_t used = 0;
    // Bytes that the owner has taken from its connections in this iteration of the main loop and handles
    // before the next one. Above the limit, receiving waits for the next iteration.
    std::size_t queued = 0;
    std::size_t queued_limit = std::numeric_limits<std::size_t>::max();
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
    /// The same, but what the kernel does not accept is held, not copied. The owner counts its memory.
    void write(const SharedBytes& bytes);
    bool all_written() const { return unwritten_bytes_ == 0 && state_ == State::connected; }
    std::size_t unwritten_bytes() const { return unwritten_bytes_; }
    /// Returns what is received but not consumed. Valid until the next call that changes the connection.
    std::string_view input() const { return std::string_view(input_).substr(consumed_); }
    /// Removes bytes from the front of input().
    void consume(std::size_t bytes);
    /// Receives everything that the kernel holds in one iteration of the main loop, with one event per chunk.
    /// By default one chunk is received per iteration.
    void read_until_empty() { chunks_per_iteration_ = std::numeric_limits<std::size_t>::max(); }
    /// Limits what is received in one iteration of the main loop, in chunks of 64 KiB.
    void set_chunks_per_iteration(std::size_t chunks) { chunks_per_iteration_ = chunks; }
    /// Removes `bytes` from the front of input() and returns `length` of them, from the position `begin` on.
    /// A long part is moved, not copied.
    std::string take(std::size_t bytes, std::size_t begin, std::size_t length);
    /// Changes the read limit. Input that is already received is kept.
    void set_read_limit(std::size_t bytes);
    std::size_t read_limit() const { return read_limit_; }
    /// Allocates memory for as much input as the read limit allows, which avoids copies of a long value.
    void reserve_input();
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
    /// Returns how much of the output that was written to the kernel the peer's host has not yet
    /// acknowledged.
    std::size_t unacknowledged_bytes() const;
    bool has_unacknowledged_output() const { return unacknowledged_bytes() > 0; }
    /// Returns whether the peer has closed or reset the connection, even if unread input precedes the close.
    /// Not all closes are visible: see close_hidden_since().
    bool peer_has_closed() const;
    /// Returns the time, in seconds on the monotonic clock, since which a close by the peer could be hidden
    /// behind input that this host has no space for, or 0 if peer_has_closed() would report it.
    double close_hidden_since();
    bool is_read_buffer_full() const { return input_.size() - consumed_ >= read_limit_; }
    bool is_connected() const { return state_ == State::connected; }
    bool is_closed() const { return state_ == State::closed; }

  private:
    enum class State { connecting, connected, broken, closed };
    using OnSocket = gboolean (*)(GSocket*, GIOCondition, gpointer);

    void watch(GSourceRef& source, GIOCondition condition, OnSocket on_ready);
    void watch_input();
    void on_reading_paused(double now);
    void on_reading_resumed(double now);
    void flush();
    void compact_output();
    void append_output(std::string_view bytes);
    std::size_t send_some(std::string_view bytes);
    void make_space(std::size_t bytes);
    void update_budget();
    void on_error();
    void on_connected();
    void receive();
    bool receive_chunk();
    void on_end();
    double arrival_time_of_input(std::size_t bytes, bool may_have_more);
    void update_held_input(std::size_t bytes, bool may_have_more, double now);

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
    // A part of the output: bytes of its own, or shared ones.
    struct OutputSegment {
        std::string own;
        SharedBytes shared;
        std::string_view view() const { return shared.empty() ? std::string_view(own) : shared.view(); }
    };
    std::vector<OutputSegment> output_;
    std::size_t written_of_front_ = 0;  // bytes of the first segment that are written
    std::size_t unwritten_bytes_ = 0;   // of all segments
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
    std::size_t chunks_per_iteration_ = 1;
    CloseVisibility close_visibility_;
    int priority_ = G_PRIORITY_DEFAULT;
};

}  // namespace brookrelay
