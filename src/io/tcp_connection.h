// One TCP connection on GLib's main loop: a GSocket, its sources and its two buffers, all given back in
// close() and nowhere else. It never blocks, never reads past its bound, and never says that it ended from
// inside a call of its owner, only from the loop.
#pragma once

#include <gio/gio.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace brookrelay {

struct GObjectUnref {
    void operator()(void* object) const { g_object_unref(object); }
};
using SocketRef = std::unique_ptr<GSocket, GObjectUnref>;

struct GErrorFree {
    void operator()(GError* error) const { g_error_free(error); }
};
using ErrorRef = std::unique_ptr<GError, GErrorFree>;

SocketRef listen_on(const std::string& address, std::string& complaint);
// A listening socket that this process was given and may share: it is never bound, and never shut down.
SocketRef adopt_listener(int descriptor, std::string& complaint);

// What the buffers of one side's connections hold together, and may: each is bounded by itself, but many that
// are full at once would be more than the node's memory. Its owner looks, and parts with what is too much.
struct ByteBudget {
    std::size_t limit = 0;
    std::size_t used = 0;
    bool exceeded() const { return used > limit; }
};

class TcpConnection {
  public:
    enum class Event { connected, readable, drained, closed };
    using EventHandler = std::function<void(Event)>;

    TcpConnection(SocketRef accepted, std::size_t in_most, ByteBudget& budget, EventHandler told,
                  int priority = G_PRIORITY_DEFAULT);
    TcpConnection(const std::string& address, std::size_t in_most, ByteBudget& budget,
                  EventHandler told);  // connects
    ~TcpConnection() { close(); }
    TcpConnection(const TcpConnection&) = delete;
    TcpConnection& operator=(const TcpConnection&) = delete;

    void write(std::string_view bytes);
    bool all_written() const { return output_.empty() && state_ == State::connected; }
    std::size_t unwritten_bytes() const { return output_.size(); }
    std::string_view input() const { return std::string_view(input_).substr(consumed_); }
    void consume(std::size_t bytes);
    void set_read_limit(std::size_t bytes);  // from now on, of what has come
    void close();
    void abort();  // what the system still holds back is not sent after it
    void
    shutdown_write();  // sends no more once all is written; what still comes is the owner's to throw away
    bool has_unread_input() const;  // here, or still with the kernel
    bool is_idle() const;           // nothing has come, not even its end
    bool ended_cleanly() const {
        return ended_cleanly_;
    }  // all that the peer sent has come; after a reset, not
    bool has_unacknowledged_output()
        const;  // some of what was written has not reached the peer's machine, for all that is known
    bool peer_has_closed()
        const;  // it has closed or reset, also where its end lies behind bytes that are not read yet
    bool is_read_buffer_full() const { return input_.size() - consumed_ >= read_limit_; }
    bool is_connected() const { return state_ == State::connected; }
    bool is_closed() const { return state_ == State::closed; }

  private:
    enum class State { connecting, connected, broken, closed };
    using OnSocket = gboolean (*)(GSocket*, GIOCondition, gpointer);

    void watch(GSource*& source, GIOCondition condition, OnSocket on_ready);
    static void unwatch(GSource*& source);
    void watch_input();
    void flush();
    std::size_t send_some(std::string_view bytes);
    void update_budget();
    void on_error();
    void on_connected();
    void receive();
    void on_end();

    template <void (TcpConnection::*method)()>
    static gboolean on_socket(GSocket*, GIOCondition, gpointer self) {
        (static_cast<TcpConnection*>(self)->*method)();
        return G_SOURCE_CONTINUE;  // a source that is not wanted any more has been destroyed by then
    }

    SocketRef socket_;
    GSource* input_source_ = nullptr;
    GSource* output_source_ = nullptr;
    State state_ = State::connecting;
    std::size_t read_limit_;
    ByteBudget& budget_;
    std::size_t budgeted_bytes_ = 0;  // in the budget
    std::string input_;
    std::size_t consumed_ = 0;
    std::string output_;
    bool shutting_down_write_ = false;
    bool ended_cleanly_ = false;
    EventHandler on_event_;
    int priority_ = G_PRIORITY_DEFAULT;
};

}  // namespace brookrelay
