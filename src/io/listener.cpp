#include "io/listener.h"

#include <sys/socket.h>

#include <utility>

#include "io/socket_address.h"

namespace brookrelay {
namespace {

// Clients see a connection in the backlog as established and may already send commands on it.
constexpr int kListenBacklog = 1024;
// Creating a socket is attempted this often in total, at intervals of kSocketRetryMicroseconds.
constexpr int kSocketAttempts = 40;
constexpr gulong kSocketRetryMicroseconds = 50'000;

}  // namespace

SocketRef bind_to(const std::string& text, std::string& error) {
    const SocketAddressRef address = parse_socket_address(text);
    if (address == nullptr) {
        error = "'" + text + "' is not an address and port";
        return nullptr;
    }
    SocketRef socket = create_socket(address.get());
    // The system may be short of descriptors or buffers temporarily.
    for (int attempt = 1; socket == nullptr && attempt < kSocketAttempts; ++attempt) {
        g_usleep(kSocketRetryMicroseconds);
        socket = create_socket(address.get());
    }
    GError* cause = nullptr;
    if (socket != nullptr) {
        g_socket_set_blocking(socket.get(), FALSE);
        g_socket_set_listen_backlog(socket.get(), kListenBacklog);
        if (g_socket_bind(socket.get(), address.get(), TRUE, &cause)) return socket;
    }
    const ErrorRef cause_owner(cause);
    error =
        "cannot listen on " + text + ": " + (cause != nullptr ? cause->message : "cannot create a socket");
    return nullptr;
}

bool start_listening(GSocket* socket, std::string& error) {
    GError* cause = nullptr;
    if (g_socket_listen(socket, &cause)) return true;
    const ErrorRef cause_owner(cause);
    error = std::string("cannot listen: ") + cause->message;
    return false;
}

SocketRef listen_on(const std::string& text, std::string& error) {
    SocketRef socket = bind_to(text, error);
    if (socket != nullptr && !start_listening(socket.get(), error)) socket.reset();
    return socket;
}

SocketRef adopt_listener(int descriptor, std::string& error) {
    int is_listening = 0;
    socklen_t size = sizeof is_listening;
    GError* cause = nullptr;
    SocketRef socket;
    // Checked first, because a failed adoption must leave the descriptor open and a GSocket would close it.
    if (getsockopt(descriptor, SOL_SOCKET, SO_ACCEPTCONN, &is_listening, &size) == 0 && is_listening != 0)
        socket.reset(g_socket_new_from_fd(descriptor, &cause));
    const ErrorRef cause_owner(cause);
    if (socket == nullptr) {
        error = "descriptor " + std::to_string(descriptor) + " is no listening socket" +
                (cause != nullptr ? std::string(": ") + cause->message : "");
        return nullptr;
    }
    g_socket_set_blocking(socket.get(), FALSE);
    return socket;
}

Listener::Listener(TimerQueue& timers, int priority, OnReadable on_readable)
    : timers_(timers), priority_(priority), on_readable_(std::move(on_readable)) {}

void Listener::open(SocketRef socket) {
    socket_ = std::move(socket);
    watch();
}

void Listener::close() {
    timers_.cancel(resume_timer_);
    source_.reset();
    socket_.reset();
}

Listener::AcceptResult Listener::accept() {
    GError* error = nullptr;
    SocketRef socket(g_socket_accept(socket_.get(), nullptr, &error));
    return {std::move(socket), ErrorRef(error)};
}

bool Listener::has_waiting() const {
    return (g_socket_condition_check(socket_.get(), G_IO_IN) & (G_IO_IN | G_IO_ERR | G_IO_HUP)) != 0;
}

void Listener::resume() {
    timers_.cancel(resume_timer_);
    if (socket_ != nullptr) watch();
}

void Listener::pause(double seconds) {
    source_.reset();
    timers_.cancel(resume_timer_);
    resume_timer_ = timers_.schedule(monotonic_now() + seconds, [this] {
        resume_timer_ = {};
        watch();
    });
}

void Listener::watch() {
    if (source_ != nullptr) return;
    source_.reset(g_socket_create_source(socket_.get(), G_IO_IN, nullptr));
    g_source_set_priority(source_.get(), priority_);
    const GSocketSourceFunc on_readable = [](GSocket*, GIOCondition, gpointer self) -> gboolean {
        static_cast<Listener*>(self)->on_readable_();
        return G_SOURCE_CONTINUE;
    };
    g_source_set_callback(source_.get(), G_SOURCE_FUNC(on_readable), this, nullptr);
    g_source_attach(source_.get(), nullptr);
}

}  // namespace brookrelay
