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

Management::Management(Timers& timers, Log& log, Asked asked)
    : timers_(timers), log_(log), asked_(std::move(asked)) {}

Management::~Management() { watch_listener(false); }

bool Management::listen(const std::string& address, std::string& complaint) {
    listener_ = listen_on(address, complaint);
    if (listener_ == nullptr) return false;
    watch_listener(true);
    return true;
}

void Management::watch_listener(bool on) {
    if (on == (accepting_ != nullptr)) return;
    if (!on) {
        g_source_destroy(accepting_);
        g_source_unref(accepting_);
        accepting_ = nullptr;
        return;
    }
    accepting_ = g_socket_create_source(listener_.get(), G_IO_IN, nullptr);
    g_source_set_priority(accepting_, G_PRIORITY_HIGH);
    const GSocketSourceFunc ready = [](GSocket*, GIOCondition, gpointer self) -> gboolean {
        static_cast<Management*>(self)->accept_ready();
        return G_SOURCE_CONTINUE;
    };
    g_source_set_callback(accepting_, G_SOURCE_FUNC(ready), this, nullptr);
    g_source_attach(accepting_, nullptr);
}

void Management::accept_ready() {
    for (int n = 0; n < kAcceptsATurn; ++n) {
        if (live_ >= kPlaces) make_room();
        SocketRef socket(g_socket_accept(listener_.get(), nullptr, nullptr));
        if (socket == nullptr) break;
        const std::uint64_t id = ++last_id_;
        Caller& c = callers_[id];
        ++live_;
        c.limit = timers_.at(monotonic() + kCallMost, [this, id, &c] {
            c.limit = {};
            if (c.answered) return drop(id, c);
            c.asked = true;
            answer(id, 408, "no whole call in time");
        });
        c.stream = std::make_unique<Stream>(
            std::move(socket), kInMost, budget_, [this, id, &c](Stream::News what) { news(id, c, what); },
            G_PRIORITY_HIGH);
    }
    watch_listener(false);
    accept_again_ = timers_.at(monotonic() + kAcceptPause, [this] {
        accept_again_ = {};
        watch_listener(true);
    });
}

// Whoever is here longest without a whole call gives way; those who wait for their answer have it within a
// turn.
void Management::make_room() {
    std::pair<const std::uint64_t, Caller>* first = nullptr;
    for (auto& entry : callers_) {
        if (entry.second.stream->closed()) continue;
        if (first == nullptr) first = &entry;
        if (!entry.second.asked) return drop(entry.first, entry.second);
    }
    if (first != nullptr) drop(first->first, first->second);
}

void Management::news(std::uint64_t id, Caller& c, Stream::News what) {
    if (what == Stream::News::ended) return drop(id, c);
    if (what != Stream::News::input) return;
    if (c.asked) return c.stream->take(c.stream->input().size());  // a body, or more than one call
    HttpRequest call;
    if (read_request(c.stream->input(), call) == 0 && !c.stream->full()) return;
    c.asked = true;
    c.stream->take(c.stream->input().size());
    if (call.sound) return asked_(id, call);
    answer(id, 400, "no call of HTTP/1.1");
}

void Management::answer(std::uint64_t caller, int status, std::string_view text) {
    const auto at = callers_.find(caller);
    if (at == callers_.end() || at->second.stream->closed() || at->second.answered) return;
    Caller& c = at->second;
    c.answered = true;
    std::string said = "HTTP/1.1 " + std::to_string(status) + " " + reason(status);
    said += "\r\nContent-Type: text/plain\r\nContent-Length: " + std::to_string(text.size() + 1);
    said.append("\r\nConnection: close\r\n\r\n").append(text).append("\n");
    c.stream->write(said);
    c.stream->finish();
    timers_.call_off(c.limit);
    c.limit = timers_.at(monotonic() + kLinger, [this, caller, &c] {
        c.limit = {};
        drop(caller, c);
    });
}

void Management::drop(std::uint64_t id, Caller& c) {
    if (c.stream->closed()) return;
    timers_.call_off(c.limit);
    c.stream->close();
    --live_;
    dropped_.push_back(id);
}

void Management::sweep() {
    for (const std::uint64_t id : dropped_) callers_.erase(id);
    dropped_.clear();
}

}  // namespace brookrelay
