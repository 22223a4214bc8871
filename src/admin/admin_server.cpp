#include "admin/admin_server.h"

#include <utility>

namespace brookrelay {
namespace {

constexpr std::size_t kMaxRequestSize = 4096;
constexpr int kMaxAcceptsPerIteration = 4;
// Seconds between two batches of accepts: an event source of higher priority that is always ready would
// starve the clients.
constexpr double kAcceptPause = 0.005;
constexpr double kRequestTimeout =
    5.0;  // s from the accept until the request has to be complete and answered
// Seconds between the response and the close. Closing a socket with unread input would reset the connection
// before the caller has read the response.
constexpr double kLingerTime = 0.5;

const char* reason_phrase(int status) {
    switch (status) {
        case 200:
            return "OK";
        case 400:
            return "Bad Request";
        case 404:
            return "Not Found";
        case 405:
            return "Method Not Allowed";
        case 408:
            return "Request Timeout";
        case 409:
            return "Conflict";
        case 503:
            return "Service Unavailable";
        default:
            return "Error";
    }
}

}  // namespace

AdminServer::AdminServer(TimerQueue& timers, Log& log, OnRequest on_request)
    : timers_(timers),
      log_(log),
      on_request_(std::move(on_request)),
      listener_(timers, G_PRIORITY_HIGH, [this] { accept_connections(); }) {}

bool AdminServer::listen(const std::string& address, std::string& error) {
    SocketRef socket = listen_on(address, error);
    if (socket == nullptr) return false;
    listener_.open(std::move(socket));
    return true;
}

void AdminServer::accept_connections() {
    for (int n = 0; n < kMaxAcceptsPerIteration; ++n) {
        SocketRef socket = listener_.accept().socket;
        if (socket == nullptr) break;
        if (open_count_ >= kMaxCallers) evict_oldest();
        const std::uint64_t id = ++last_id_;
        Caller& caller = callers_[id];
        ++open_count_;
        caller.timeout = timers_.schedule(monotonic_now() + kRequestTimeout, [this, id, &caller] {
            caller.timeout = {};
            if (caller.responded) return close(id, caller);
            caller.request_read = true;
            respond(id, 408, "no whole call in time");
        });
        caller.connection = std::make_unique<TcpConnection>(
            std::move(socket), kMaxRequestSize, budget_,
            [this, id, &caller](TcpConnection::Event event) { on_event(id, caller, event); },
            G_PRIORITY_HIGH);
    }
    listener_.pause(kAcceptPause);
}

// Closes the oldest connection that has its response, or else the oldest one without a complete request. A
// caller with a complete request gets its response within one iteration of the event loop.
void AdminServer::evict_oldest() {
    std::pair<const std::uint64_t, Caller>* incomplete = nullptr;
    for (auto& entry : callers_) {
        Caller& caller = entry.second;
        if (caller.connection->is_closed()) continue;
        if (caller.responded && caller.connection->unwritten_bytes() == 0) return close(entry.first, caller);
        if (!caller.request_read && incomplete == nullptr) incomplete = &entry;
    }
    if (incomplete != nullptr) close(incomplete->first, incomplete->second);
}

void AdminServer::on_event(std::uint64_t id, Caller& caller, TcpConnection::Event event) {
    if (event == TcpConnection::Event::closed) return close(id, caller);
    if (event != TcpConnection::Event::readable) return;
    TcpConnection& connection = *caller.connection;
    HttpRequest request;
    if (parse_http_request(connection.input(), request) == 0 && !connection.is_read_buffer_full()) return;
    caller.request_read = true;
    // Input after the request head (a body or a second request) stays with the kernel: reading it, at this
    // priority, could keep the loop from all clients.
    connection.set_read_limit(0);
    if (request.valid) return on_request_(id, request);
    respond(id, 400, "no call of HTTP/1.1");
}

void AdminServer::respond(std::uint64_t id, int status, std::string_view text) {
    const auto found = callers_.find(id);
    if (found == callers_.end() || found->second.connection->is_closed() || found->second.responded) return;
    Caller& caller = found->second;
    caller.responded = true;
    std::string response = "HTTP/1.1 " + std::to_string(status) + " " + reason_phrase(status);
    response += "\r\nContent-Type: text/plain\r\nContent-Length: " + std::to_string(text.size() + 1);
    response.append("\r\nConnection: close\r\n\r\n").append(text).append("\n");
    caller.connection->write(response);
    caller.connection->shutdown_write();
    timers_.cancel(caller.timeout);
    caller.timeout = timers_.schedule(monotonic_now() + kLingerTime, [this, id, &caller] {
        caller.timeout = {};
        close(id, caller);
    });
}

void AdminServer::close(std::uint64_t id, Caller& caller) {
    if (caller.connection->is_closed()) return;
    timers_.cancel(caller.timeout);
    caller.connection->close();
    --open_count_;
    closed_.push_back(id);
}

void AdminServer::destroy_closed() {
    for (const std::uint64_t id : closed_) callers_.erase(id);
    closed_.clear();
}

}  // namespace brookrelay
