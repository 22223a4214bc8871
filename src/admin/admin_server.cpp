#include "admin/admin_server.h"

#include <utility>

namespace brookrelay {
namespace {

constexpr std::size_t kInMost = 4096;
constexpr int kAcceptsATurn = 4;
// Sources of a higher priority that are always ready would leave the clients no turn.
constexpr double kAcceptPause = 0.005;
constexpr double kCallMost = 5.0;  // s that a caller may take for its call, and then for its answer
constexpr double kLinger = 0.5;    // closing with bytes unread would reset the answer on its way

const char* reason(int status) {
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

AdminServer::AdminServer(TimerQueue& timers, Log& log, OnRequest asked)
    : timers_(timers),
      log_(log),
      on_request_(std::move(asked)),
      listener_(timers, G_PRIORITY_HIGH, [this] { accept_connections(); }) {}

bool AdminServer::listen(const std::string& address, std::string& complaint) {
    SocketRef socket = listen_on(address, complaint);
    if (socket == nullptr) return false;
    listener_.open(std::move(socket));
    return true;
}

void AdminServer::accept_connections() {
    for (int n = 0; n < kAcceptsATurn; ++n) {
        if (open_count_ >= kMaxCallers) evict_oldest();
        SocketRef socket = listener_.accept().socket;
        if (socket == nullptr) break;
        const std::uint64_t id = ++last_id_;
        Caller& c = callers_[id];
        ++open_count_;
        c.timeout = timers_.schedule(monotonic_now() + kCallMost, [this, id, &c] {
            c.timeout = {};
            if (c.responded) return close(id, c);
            c.request_read = true;
            respond(id, 408, "no whole call in time");
        });
        c.connection = std::make_unique<TcpConnection>(
            std::move(socket), kInMost, budget_,
            [this, id, &c](TcpConnection::Event what) { on_event(id, c, what); }, G_PRIORITY_HIGH);
    }
    listener_.pause(kAcceptPause);
}

// Whoever is here longest without a whole call gives way; those who wait for their answer have it within a
// turn.
void AdminServer::evict_oldest() {
    std::pair<const std::uint64_t, Caller>* first = nullptr;
    for (auto& entry : callers_) {
        if (entry.second.connection->is_closed()) continue;
        if (first == nullptr) first = &entry;
        if (!entry.second.request_read) return close(entry.first, entry.second);
    }
    if (first != nullptr) close(first->first, first->second);
}

void AdminServer::on_event(std::uint64_t id, Caller& c, TcpConnection::Event what) {
    if (what == TcpConnection::Event::closed) return close(id, c);
    if (what != TcpConnection::Event::readable) return;
    if (c.request_read)
        return c.connection->consume(c.connection->input().size());  // a body, or more than one call
    HttpRequest call;
    if (parse_http_request(c.connection->input(), call) == 0 && !c.connection->is_read_buffer_full()) return;
    c.request_read = true;
    c.connection->consume(c.connection->input().size());
    if (call.valid) return on_request_(id, call);
    respond(id, 400, "no call of HTTP/1.1");
}

void AdminServer::respond(std::uint64_t caller, int status, std::string_view text) {
    const auto at = callers_.find(caller);
    if (at == callers_.end() || at->second.connection->is_closed() || at->second.responded) return;
    Caller& c = at->second;
    c.responded = true;
    std::string said = "HTTP/1.1 " + std::to_string(status) + " " + reason(status);
    said += "\r\nContent-Type: text/plain\r\nContent-Length: " + std::to_string(text.size() + 1);
    said.append("\r\nConnection: close\r\n\r\n").append(text).append("\n");
    c.connection->write(said);
    c.connection->shutdown_write();
    timers_.cancel(c.timeout);
    c.timeout = timers_.schedule(monotonic_now() + kLinger, [this, caller, &c] {
        c.timeout = {};
        close(caller, c);
    });
}

void AdminServer::close(std::uint64_t id, Caller& c) {
    if (c.connection->is_closed()) return;
    timers_.cancel(c.timeout);
    c.connection->close();
    --open_count_;
    closed_.push_back(id);
}

void AdminServer::destroy_closed() {
    for (const std::uint64_t id : closed_) callers_.erase(id);
    closed_.clear();
}

}  // namespace brookrelay
