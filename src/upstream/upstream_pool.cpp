#include "upstream/upstream_pool.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "protocol/http1.h"
#include "protocol/origin_http.h"

namespace brookrelay {
namespace {

constexpr std::size_t kInMost =
    kMaxBufferedValueBytes + 16 * 1024;  // a whole value and its head, or a window of a long one
constexpr std::size_t kUnsizedMost =
    kMaxValueBytes + 16 * 1024;       // where no length is told, it has to be held whole
constexpr double kStandstill = 10.0;  // s in which a server gives nothing more of a value that it has begun
constexpr double kHttpRest = 0.04;  // s after an answer over HTTP in which a second copy of it may still come
constexpr double kIdlePart = 0.8;   // of the idle time told; later the peer may be about to close
constexpr double kAgeEvery = 1.0;

}  // namespace

UpstreamPool::UpstreamPool(TimerQueue& timers, Log& log, const Deployment& d, std::size_t most,
                           std::size_t bytes, OnFinished tell, OnConnected up, BodySink taker)
    : timers_(timers),
      log_(log),
      max_connections_(most),
      connection_limit_(most),
      max_bytes_(bytes),
      budget_{bytes},
      on_finished_(std::move(tell)),
      on_connected_(std::move(up)),
      body_sink_(std::move(taker)) {
    apply_configuration(d);
    close_expired();
}

void UpstreamPool::apply_configuration(const Deployment& d) {
    connect_timeout_ = d.connect_timeout > 0 ? d.connect_timeout : 1.0;
    idle_timeout_ = d.connection_idle_timeout > 0 ? kIdlePart * d.connection_idle_timeout : 1e9;
}

void UpstreamPool::set_budget_share(double part) {
    connection_limit_ = static_cast<std::size_t>(part * static_cast<double>(max_connections_));
    budget_.limit = static_cast<std::size_t>(part * static_cast<double>(max_bytes_));
    while (open_count_ > connection_limit_ && evict_idle()) continue;
}

void UpstreamPool::add_server(int cache, const std::string& name, const std::string& address, bool origin) {
    if (cache >= static_cast<int>(servers_.size())) servers_.resize(static_cast<std::size_t>(cache) + 1);
    Server& s = server(cache);
    if (s.address != address) close_idle(cache);  // the old address may be another's by now
    s.name = name;
    s.address = address;
    s.origin = origin;
}

bool UpstreamPool::in_use(int cache) const {
    return std::any_of(connections_.begin(), connections_.end(),
                       [cache](const Connection& c) { return c.server == cache && !c.socket->is_closed(); });
}

void UpstreamPool::remove_server(int cache) { server(cache) = {}; }

Topic UpstreamPool::topic(int cache) const {
    return servers_[static_cast<std::size_t>(cache)].origin ? Topic::origin : Topic::cache;
}

std::uint64_t UpstreamPool::attempt_key(int inv, int forward) {
    return (static_cast<std::uint64_t>(static_cast<std::uint32_t>(inv)) << 32U) |
           static_cast<std::uint32_t>(forward);
}

void UpstreamPool::start_attempt(int inv, int forward, int cache, const Command& command, double limit,
                                 double begin_within) {
    const Server& s = server(cache);
    if (!has_capacity(cache)) {
        log_.line(topic(cache), "no_place_left",
                  s.name + ": this node's part of the fleet's connections is in use, forward not sent");
        on_finished_({inv, forward, cache, AttemptOutcome::not_sent, 0, {}, 0, 0});
        return;
    }
    Connection* c = connection_to(cache);
    if (c == nullptr) {
        log_.line(topic(cache), "no_connection_left",
                  s.name + ": no connection is left in the budget, forward not sent");
        on_finished_({inv, forward, cache, AttemptOutcome::refused, 0, {}, 0, 0});
        return;
    }
    c->is_read = command.kind == Command::Kind::read;
    c->request_id = command.id;
    begin_attempt(
        *c, inv, forward, limit, begin_within,
        s.origin ? format_origin_request(command, limit, s.address) : format_command(command, limit));
}

void UpstreamPool::check_health(int cache, double limit) {
    Connection* c = connection_to(cache);
    const int number = health_checks_++;
    if (c == nullptr) {
        on_finished_({kHealthCheck, number, cache, AttemptOutcome::refused, 0, {}, 0, 0});
        return;
    }
    c->is_read = false;
    c->request_id.clear();
    const Server& s = server(cache);
    begin_attempt(*c, kHealthCheck, number, limit, 0,
                  s.origin ? format_http_request("GET", "/alive", s.address, {}, {}) : "mn\r\n");
}

void UpstreamPool::begin_attempt(Connection& c, int inv, int forward, double limit, double begin_within,
                                 std::string bytes) {
    c.busy = true;
    c.request = inv;
    c.attempt = forward;
    c.sent_at = monotonic_now();
    in_flight_.emplace(attempt_key(inv, forward), &c);
    c.deadline = c.sent_at + limit;
    c.attempt_timer = timers_.schedule(c.deadline, [this, &c] {
        c.attempt_timer = {};
        on_broken(c, AttemptOutcome::timed_out);
    });
    if (begin_within > 0) {
        c.send_timer = timers_.schedule(c.sent_at + begin_within, [this, &c] {
            c.send_timer = {};
            if (!is_fully_sent(c) || c.socket->has_unacknowledged_output())
                on_broken(c, AttemptOutcome::timed_out);
        });
    }
    c.unsent = std::move(bytes);
    if (!c.socket->is_connected()) return;
    // A second copy of the last answer may come some milliseconds late. Another connection in the meantime
    // would be one more of the few that a server holds.
    const double rested = server(c.server).origin && c.last_used > 0 ? c.last_used + kHttpRest : 0;
    if (rested <= c.sent_at) return write_request(c);
    c.idle_timer = timers_.schedule(rested, [this, &c] {
        c.idle_timer = {};
        c.request == kHealthCheck ? write_request(c) : on_connected_(c.request, c.attempt);
    });
}

// Its connection turned out, while it rested, to be good for nobody: the forward has not begun, and takes
// another.
void UpstreamPool::continue_attempt(Connection& c) {
    log_.line(topic(c.server), "second_answer",
              server(c.server).name + ": closed or answered again while it rested, not used any more");
    const double now = monotonic_now();
    const int inv = c.request, number = c.attempt, cache = c.server;
    const bool read = c.is_read;
    const double limit = c.deadline - now,
                 begin_within = c.send_timer.second != 0 ? std::max(c.send_timer.first - now, 1e-6) : 0;
    std::string id = std::move(c.request_id), bytes = std::exchange(c.unsent, {});
    in_flight_.erase(attempt_key(inv, number));
    c.busy = false;
    close(c);
    Connection* next = connection_to(cache);
    if (next == nullptr)
        return on_finished_({inv, number, cache, AttemptOutcome::refused, now - c.sent_at, {}, 0, 0});
    next->is_read = read;
    next->request_id = std::move(id);
    begin_attempt(*next, inv, number, limit, begin_within, std::move(bytes));
}

// Given to the stream before it is up, the bytes would go the moment it comes up: also past their time, to a
// server that drains by then, or for a client that has left, if the loop hears of the connection before it
// hears of those.
void UpstreamPool::write_request(Connection& c) { c.socket->write(std::exchange(c.unsent, {})); }

void UpstreamPool::send(int inv, int forward) {
    const auto at = in_flight_.find(attempt_key(inv, forward));
    if (at == in_flight_.end()) return;  // its end is already on the way
    Connection& c = *at->second;
    const bool too_late = c.send_timer.second != 0 && monotonic_now() >= c.send_timer.first;
    if (too_late || monotonic_now() >= c.deadline) return on_broken(c, AttemptOutcome::timed_out);
    if (c.socket->is_connected()) write_request(c);
}

void UpstreamPool::abandon(int inv, int forward) {
    const auto at = in_flight_.find(attempt_key(inv, forward));
    if (at == in_flight_.end()) return;
    Connection& c = *at->second;
    finish_attempt(c, AttemptOutcome::not_sent);
    keep_or_close(c, true);
}

// What is at work and what is idle together stay within it, so that a new one is opened in the place of none.
bool UpstreamPool::has_capacity(int cache) {
    Server& s = server(cache);
    if (!server_connection_limit_ || s.origin) return true;
    const int at_work = s.open - static_cast<int>(s.idle.size());
    const int most = server_connection_limit_(cache, at_work + 1);
    return at_work < most && (!s.idle.empty() || s.open < most);
}

void UpstreamPool::enforce_connection_limit() {
    for (std::size_t i = 0; server_connection_limit_ && i < servers_.size(); ++i) {
        Server& s = servers_[i];
        if (s.origin || s.idle.empty()) continue;
        const int most = server_connection_limit_(static_cast<int>(i), 0);
        while (!s.idle.empty() && s.open > most) close(*s.idle.front());
    }
}

// The idle one used last, or a new one; none when the budget is spent. What has come on an idle one belongs
// to no forward: HTTP names none, so a second copy of the last answer would pass for the next one's.
UpstreamPool::Connection* UpstreamPool::connection_to(int cache) {
    auto& idle = server(cache).idle;
    while (!idle.empty() && !idle.back()->socket->is_idle()) close(*idle.back());
    if (idle.empty() || monotonic_now() - idle.back()->last_used >= idle_timeout_) return open(cache);
    Connection* c = idle.back();
    idle.pop_back();
    return c;
}

UpstreamPool::Connection* UpstreamPool::open(int cache) {
    if (open_count_ >= connection_limit_ && !evict_idle()) return nullptr;
    Connection& c = connections_.emplace_back();
    ++open_count_;
    ++server(cache).open;
    c.server = cache;
    c.socket = std::make_unique<TcpConnection>(server(cache).address, kInMost, budget_,
                                               [this, &c](TcpConnection::Event what) { on_event(c, what); });
    c.connect_timer = timers_.schedule(monotonic_now() + connect_timeout_, [this, &c] {
        c.connect_timer = {};
        on_broken(c, AttemptOutcome::timed_out);
    });
    return &c;
}

// At the budget the connection that has been idle for longest goes.
bool UpstreamPool::evict_idle() {
    Connection* oldest = nullptr;
    for (const Server& s : servers_) {
        if (!s.idle.empty() && (oldest == nullptr || s.idle.front()->last_used < oldest->last_used))
            oldest = s.idle.front();
    }
    if (oldest != nullptr) close(*oldest);
    return oldest != nullptr;
}

void UpstreamPool::cancel(int inv, int forward) {
    const auto at = in_flight_.find(attempt_key(inv, forward));
    if (at == in_flight_.end()) return;  // its end is already on the way
    Connection& c = *at->second;
    finish_attempt(c, AttemptOutcome::cancelled);
    close(c);
}

void UpstreamPool::close_idle(int cache) {
    auto& idle = server(cache).idle;
    while (!idle.empty()) close(*idle.back());
}

void UpstreamPool::on_event(Connection& c, TcpConnection::Event what) {
    if (c.idle_timer.second != 0 && what != TcpConnection::Event::drained) return continue_attempt(c);
    switch (what) {
        case TcpConnection::Event::connected:
            // After a standstill the loop may hear of this before its timer, which is due all the same.
            if (c.connect_timer.first <= monotonic_now()) return on_broken(c, AttemptOutcome::timed_out);
            timers_.cancel(c.connect_timer);
            if (!c.busy) break;
            c.request == kHealthCheck ? write_request(c) : on_connected_(c.request, c.attempt);
            break;
        case TcpConnection::Event::readable:
            read_response(c);
            break;
        case TcpConnection::Event::drained:
            break;
        case TcpConnection::Event::closed:
            if (c.stream != 0) {
                forward_chunks(c);  // what had come before the end may be all of it
            } else if (c.busy && c.socket->ended_cleanly() && !c.socket->input().empty()) {
                read_response(c, true);
            } else if (c.busy) {
                on_broken(c, AttemptOutcome::reset);
            } else {
                close(c);
            }
            break;
    }
}

std::size_t UpstreamPool::parse(const Connection& c, AttemptResponse& answer, bool ended) {
    const std::string_view in = c.socket->input();
    if (servers_[static_cast<std::size_t>(c.server)].origin) return parse_origin_response(in, answer, ended);
    Reply reply;
    const std::size_t taken = parse_reply(in, reply);
    switch (reply.kind) {
        case Reply::Kind::value:
        case Reply::Kind::receipt:
            answer.valid = reply.id == c.request_id && (reply.kind == Reply::Kind::value) == c.is_read;
            answer.outcome = AttemptOutcome::succeeded;
            break;
        case Reply::Kind::miss:
            answer.valid = reply.id == c.request_id;
            answer.outcome = AttemptOutcome::miss;
            break;
        case Reply::Kind::hello:
            answer.valid = c.request == kHealthCheck;
            answer.outcome = AttemptOutcome::succeeded;
            break;
        case Reply::Kind::busy:
            answer.valid = true;
            answer.outcome = AttemptOutcome::busy;
            break;
        case Reply::Kind::failed:
            answer.valid = true;
            answer.outcome = AttemptOutcome::failed;
            break;
        case Reply::Kind::malformed:
            break;
    }
    answer.body = std::move(reply.body);
    return taken;
}

// Only a head in which nothing is wrong is passed on: after it no other answer can take this one's place.
bool UpstreamPool::begin_stream(Connection& c) {
    if (!c.busy || !c.is_read || !is_fully_sent(c)) return false;
    const bool origin = server(c.server).origin;
    StreamedValue value =
        origin ? parse_streamed_origin_response(c.socket->input()) : parse_streamed_reply(c.socket->input());
    if (value.header_bytes == 0 || (!origin && value.id != c.request_id)) return false;
    c.socket->consume(value.header_bytes);
    timers_.cancel(c.attempt_timer);
    in_flight_.erase(attempt_key(c.request, c.attempt));
    c.stream = ++last_stream_;
    c.remaining = std::move(value);
    streams_.emplace(c.stream, &c);
    c.last_used = monotonic_now();
    restart_stall_timer(c);
    on_finished_({c.request,
                  c.attempt,
                  c.server,
                  AttemptOutcome::succeeded,
                  c.last_used - c.sent_at,
                  {},
                  c.stream,
                  c.remaining.length});
    return true;
}

void UpstreamPool::forward_chunks(Connection& c) {
    if (c.writing_chunk) return;  // the loop below goes on with what there is room for by then
    while (c.remaining.length > 0) {
        const std::string_view in = c.socket->input();
        std::size_t bytes = std::min(in.size(), c.remaining.length);
        if (bytes == c.remaining.length && c.remaining.trailer_bytes > 0) {
            // A value that does not end where its head said must not look whole to the client.
            const std::string_view behind = in.substr(bytes);
            if (behind.size() < c.remaining.trailer_bytes) {
                --bytes;
            } else if (!behind.starts_with("\r\n")) {
                log_.line(topic(c.server), "nonsense",
                          server(c.server).name + ": a long value does not end where it should");
                return end_stream(c, false);
            }
        }
        const std::size_t room = body_sink_.capacity(c.stream);
        bytes = std::min(bytes, room);
        if (bytes == 0) {
            if (!c.socket->is_connected() && room > 0) end_stream(c, false);
            return;
        }
        c.writing_chunk = true;
        body_sink_.write(c.stream, in.substr(0, bytes));
        c.writing_chunk = false;
        if (c.stream == 0) return;
        c.remaining.length -= bytes;
        c.socket->consume(bytes);
    }
    c.socket->consume(c.remaining.trailer_bytes);
    end_stream(c, true);
}

// Time does not run while what has come waits for its client.
void UpstreamPool::restart_stall_timer(Connection& c) {
    c.attempt_timer = timers_.schedule(c.last_used + kStandstill, [this, &c] {
        c.attempt_timer = {};
        if (!c.socket->input().empty()) c.last_used = monotonic_now();
        if (monotonic_now() - c.last_used < kStandstill) return restart_stall_timer(c);
        log_.line(topic(c.server), "value_broken_off",
                  server(c.server).name + ": nothing more of a value that it had begun");
        end_stream(c, false);
    });
}

void UpstreamPool::end_stream(Connection& c, bool whole) {
    timers_.cancel(c.attempt_timer);
    const std::uint64_t relay = std::exchange(c.stream, 0);
    streams_.erase(relay);
    c.busy = false;
    keep_or_close(c, whole && c.remaining.reusable);
    body_sink_.end(relay, whole);
}

void UpstreamPool::resume(std::uint64_t relay) {
    const auto at = streams_.find(relay);
    if (at != streams_.end()) forward_chunks(*at->second);
}

void UpstreamPool::abandon_stream(std::uint64_t relay) {
    const auto at = streams_.find(relay);
    if (at == streams_.end()) return;
    Connection& c = *at->second;
    streams_.erase(at);
    c.stream = 0;
    c.busy = false;
    close(c);
}

void UpstreamPool::keep_or_close(Connection& c, bool reusable) {
    if (!reusable || !c.socket->is_connected() || !c.socket->all_written() || !c.socket->input().empty())
        return close(c);
    Server& s = server(c.server);
    if (server_connection_limit_ && !s.origin && s.open > server_connection_limit_(c.server, 0))
        return close(c);  // its part has become less meanwhile
    c.last_used = monotonic_now();
    c.socket->set_read_limit(kInMost);
    s.idle.push_back(&c);
}

void UpstreamPool::read_response(Connection& c, bool ended) {
    if (c.stream != 0) {
        c.last_used = monotonic_now();
        return forward_chunks(c);
    }
    if (begin_stream(c)) return;
    AttemptResponse answer;
    std::size_t taken = 0;
    if (c.busy) taken = parse(c, answer, ended);
    if (c.busy && taken == 0 && ended) return on_broken(c, AttemptOutcome::reset);  // it ended before its end
    if (taken == 0 && c.socket->is_read_buffer_full() && answer.unknown_length)
        c.socket->set_read_limit(kUnsizedMost);
    if (c.busy && taken == 0 && !c.socket->is_read_buffer_full()) {
        if (!budget_.exceeded() || c.socket->input().size() <= kMaxLineBytes) return;
        log_.line(topic(c.server), "no_memory",
                  server(c.server).name + ": no memory for its answer, forward given up");
        return on_broken(c, AttemptOutcome::failed);
    }
    // An answer that comes before the forward is written whole was made for another, if for any.
    if (c.busy && (answer.outcome == AttemptOutcome::succeeded || answer.outcome == AttemptOutcome::miss))
        answer.valid = answer.valid && is_fully_sent(c);
    // A receipt becomes part of a line to the client, which it must not be able to end.
    if (c.busy && answer.outcome == AttemptOutcome::succeeded && !c.is_read && c.request != kHealthCheck)
        answer.valid = answer.valid && is_printable_word(answer.body);
    if (!c.busy || !answer.valid) {
        // Whose answer the next bytes would be is not known any more.
        const std::string_view in = c.socket->input();
        log_.line(topic(c.server), "nonsense",
                  server(c.server).name + ": nonsense, connection closed: " + std::string(in.substr(0, 80)));
        // It has answered, so it is neither silent nor full: only this forward fails, which may have run.
        if (c.busy) return on_broken(c, AttemptOutcome::failed);
        return close(c);
    }
    c.socket->consume(taken);
    finish_attempt(c, answer.outcome, std::move(answer.body));
    keep_or_close(c, answer.reusable);
}

// What is not connected by the time that a drain is told would begin after it: it is taken back unsent.
void UpstreamPool::close_unstarted(int cache) {
    close_idle(cache);
    for (Connection& c : connections_) {
        if (c.server == cache && c.busy && !c.unsent.empty()) on_broken(c, AttemptOutcome::refused);
    }
}

// What a lost connection proves hangs on one thing: whether the forward's last byte had been written.
void UpstreamPool::on_broken(Connection& c, AttemptOutcome if_written) {
    finish_attempt(c, is_fully_sent(c) ? if_written : AttemptOutcome::refused);
    close(c);
}

void UpstreamPool::finish_attempt(Connection& c, AttemptOutcome ending, std::string body) {
    c.busy = false;
    c.unsent.clear();
    timers_.cancel(c.attempt_timer);
    timers_.cancel(c.send_timer);
    timers_.cancel(c.idle_timer);
    in_flight_.erase(attempt_key(c.request, c.attempt));
    const double took = monotonic_now() - c.sent_at;
    const char* failure = ending == AttemptOutcome::refused     ? "refused"
                          : ending == AttemptOutcome::reset     ? "reset"
                          : ending == AttemptOutcome::timed_out ? "timed out"
                                                                : nullptr;
    if (failure != nullptr) {
        char text[64];
        std::snprintf(text, sizeof text, ": forward %s after %.3f s", failure, took);
        log_.line(topic(c.server), "forward_failed", server(c.server).name + text);
    }
    on_finished_({c.request, c.attempt, c.server, ending, took, std::move(body), 0, 0});
}

void UpstreamPool::close(Connection& c) {
    if (c.socket->is_closed()) return;
    std::erase(server(c.server).idle, &c);
    timers_.cancel(c.attempt_timer);
    timers_.cancel(c.connect_timer);
    timers_.cancel(c.send_timer);
    timers_.cancel(c.idle_timer);
    c.socket->has_unacknowledged_output() ? c.socket->abort() : c.socket->close();
    --open_count_;
    --server(c.server).open;
    has_closed_ = true;
}

void UpstreamPool::destroy_closed() {
    if (!has_closed_) return;
    has_closed_ = false;
    connections_.remove_if([](const Connection& c) { return c.socket->is_closed(); });
}

void UpstreamPool::close_expired() {
    const double now = monotonic_now();
    for (Server& s : servers_) {
        while (!s.idle.empty() && now - s.idle.front()->last_used >= idle_timeout_) close(*s.idle.front());
    }
    timers_.schedule(now + kAgeEvery, [this] { close_expired(); });
}

}  // namespace brookrelay
