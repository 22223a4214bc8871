// Listening sockets: binding or inheriting one, and accepting connections from GLib's main loop.
//
// A Listener owns its socket, the event source that watches it and the timer of a pause; all are released in
// close(). How many connections to accept, and when to pause, is its owner's decision. Times are seconds.
// Everything runs on the thread of the main loop and nothing blocks.
#pragma once

#include <functional>
#include <string>

#include "io/glib_handles.h"
#include "io/timer_queue.h"

namespace brookrelay {

/// Binds to a numeric `HOST:PORT`. Nobody can connect before start_listening(). Returns nullptr on failure
/// and describes it in `error`.
SocketRef bind_to(const std::string& address, std::string& error);
/// Lets peers connect to a bound socket. Returns whether that worked, and else describes the failure.
bool start_listening(GSocket* socket, std::string& error);
/// Both of these in one step.
SocketRef listen_on(const std::string& address, std::string& error);
/// Takes over a listening socket inherited from another process, which may share it: it is neither bound nor
/// shut down here. Returns nullptr and leaves the descriptor open if it is not a listening socket.
SocketRef adopt_listener(int descriptor, std::string& error);

/// Calls back when connections wait to be accepted on a listening socket.
class Listener {
  public:
    using OnReadable = std::function<void()>;
    struct AcceptResult {
        SocketRef socket;  // nullptr if no connection was accepted
        ErrorRef error;    // and then the reason
        bool would_block() const {
            return g_error_matches(error.get(), G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != FALSE;
        }
    };

    /// `timers` must outlive the listener. `priority` is the GLib priority of the event source.
    Listener(TimerQueue& timers, int priority, OnReadable on_readable);
    ~Listener() { close(); }
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    /// Takes a listening socket and starts to watch it.
    void open(SocketRef socket);
    /// Closes this process's descriptor. A socket shared with another process stays open there.
    void close();
    /// Accepts one connection without blocking. The listener must be open.
    AcceptResult accept();
    /// Stops watching for `seconds`. Connections wait in the backlog meanwhile.
    void pause(double seconds);

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
