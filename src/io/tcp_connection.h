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

struct Unref {
    void operator()(void* object) const { g_object_unref(object); }
};
using SocketRef = std::unique_ptr<GSocket, Unref>;

struct Freed {
    void operator()(GError* error) const { g_error_free(error); }
};
using ErrorRef = std::unique_ptr<GError, Freed>;

SocketRef listen_on(const std::string& address, std::string& complaint);
// A listening socket that this process was given and may share: it is never bound, and never shut down.
SocketRef inherited_listener(int descriptor, std::string& complaint);

// What the buffers of one side's connections hold together, and may: each is bounded by itself, but many that
// are full at once would be more than the node's memory. Its owner looks, and parts with what is too much.
struct ByteBudget {
    std::size_t most = 0;
    std::size_t used = 0;
    bool over() const { return used > most; }
};

class Stream {
  public:
    enum class News { up, input, drained, ended };
    using Told = std::function<void(News)>;

    Stream(SocketRef accepted, std::size_t in_most, ByteBudget& budget, Told told,
           int priority = G_PRIORITY_DEFAULT);
    Stream(const std::string& address, std::size_t in_most, ByteBudget& budget, Told told);  // connects
    ~Stream() { close(); }
    Stream(const Stream&) = delete;
    Stream& operator=(const Stream&) = delete;

    void write(std::string_view bytes);
    bool all_written() const { return out_.empty() && state_ == State::up; }
    std::size_t unwritten() const { return out_.size(); }
    std::string_view input() const { return std::string_view(in_).substr(taken_); }
    void take(std::size_t bytes);
    void hold_at_most(std::size_t bytes);  // from now on, of what has come
    void close();
    void abort();   // what the system still holds back is not sent after it
    void finish();  // sends no more once all is written; what still comes is the owner's to throw away
    bool has_unread() const;  // here, or still with the kernel
    bool rests() const;       // nothing has come, not even its end
    bool ended_in_order() const {
        return ended_in_order_;
    }  // all that the peer sent has come; after a reset, not
    bool unacknowledged()
        const;  // some of what was written has not reached the peer's machine, for all that is known
    bool peer_gone()
        const;  // it has closed or reset, also where its end lies behind bytes that are not read yet
    bool full() const { return in_.size() - taken_ >= in_most_; }
    bool up() const { return state_ == State::up; }
    bool closed() const { return state_ == State::closed; }

  private:
    enum class State { connecting, up, broken, closed };
    using OnSocket = gboolean (*)(GSocket*, GIOCondition, gpointer);

    void watch(GSource*& source, GIOCondition condition, OnSocket on_ready);
    static void unwatch(GSource*& source);
    void watch_input();
    void flush();
    std::size_t send_some(std::string_view bytes);
    void count();
    void broke();
    void came_up();
    void receive();
    void ended();

    template <void (Stream::*method)()>
    static gboolean on_socket(GSocket*, GIOCondition, gpointer self) {
        (static_cast<Stream*>(self)->*method)();
        return G_SOURCE_CONTINUE;  // a source that is not wanted any more has been destroyed by then
    }

    SocketRef socket_;
    GSource* in_source_ = nullptr;
    GSource* out_source_ = nullptr;
    State state_ = State::connecting;
    std::size_t in_most_;
    ByteBudget& budget_;
    std::size_t counted_ = 0;  // in the budget
    std::string in_;
    std::size_t taken_ = 0;
    std::string out_;
    bool finishing_ = false;
    bool ended_in_order_ = false;
    Told told_;
    int priority_ = G_PRIORITY_DEFAULT;
};

}  // namespace brookrelay
