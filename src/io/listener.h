// Listening sockets: creating or adopting one, and accepting connections on GLib's main loop.
//
// A Listener owns its socket, the event source that watches it and the timer of a pause; all are released in
// close(). Its owner decides how many connections to accept and when to pause. Times are seconds. Everything
// runs on the thread of the main loop. Only bind_to() and listen_on() may block, for up to two seconds, while
// the system cannot create a socket.
#pragma once

#include <functional>
#include <string>

#include "io/glib_handles.h"
#include "io/timer_queue.h"

namespace brookrelay {

/// Binds a socket to a numeric `HOST:PORT`. Peers cannot connect before start_listening(). Returns nullptr on
/// failure and describes it in `error`.
SocketRef bind_to(const std::string& address, std::string& error);
/// Lets peers connect to a bound socket. Returns false on failure and describes it in `error`.
bool start_listening(GSocket* socket, std::string& error);
/// Binds a socket and starts to listen on it. Returns nullptr on failure and describes it in `error`.
SocketRef listen_on(const std::string& address, std::string& error);
/// Takes ownership of a listening socket inherited from another process, which may share it; it is neither
/// bound nor shut down here. If it is not a listening socket, returns nullptr, leaves the descriptor open and
/// describes the failure in `error`.
SocketRef adopt_listener(int descriptor, std::string& error);

/// Watches a listening socket and calls back when connections are waiting to be accepted.
class Listener {
  public:
    using OnReadable = std::function<void()>;
    struct AcceptResult {
        SocketRef socket;  // nullptr if no connection was accepted
        ErrorRef error;    // set if `socket` is nullptr
        bool would_block() const {
            return g_error_matches(error.get(), G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != FALSE;
        }
    };

    /// `timers` must outlive the listener. `priority` is the GLib priority of the event source.
    Listener(TimerQueue& timers, int priority, OnReadable on_readable);
    ~Listener() { close(); }
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    /// Takes ownership of a listening socket and starts to watch it.
    void open(SocketRef socket);
    /// Closes this process's descriptor. A socket that is shared with another process remains open there.
    void close();
    /// Accepts one connection without blocking. The listener must be open.
    AcceptResult accept();
    /// Returns whether a connection, or an error, is waiting to be accepted. The listener must be open.
    bool has_waiting() const;
    /// Stops watching for `seconds`. New connections wait in the backlog during that time.
    void pause(double seconds);
    /// Ends a pause. Does nothing if the listener is closed.
    void resume();

  private:
    void watch();

    TimerQueue& timers_;
    int priority_;
    OnReadable on_readable_;
    SocketRef socket_;
    GSourceRef source_;
    TimerQueue::Handle resume_timer_;
};

}  // namespace brookrelay
