#include "upstream/upstream_pool.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "protocol/http1.h"
#include "protocol/origin_http.h"

namespace brookrelay {
namespace {

constexpr std::size_t kInMost =
    kWholeMost + 16 * 1024;  // a whole value and its head, or a window of a long one
constexpr std::size_t kUnsizedMost =
    kValueMost + 16 * 1024;           // where no length is told, it has to be held whole
constexpr double kStandstill = 10.0;  // s in which a server gives nothing more of a value that it has begun
constexpr double kHttpRest = 0.04;  // s after an answer over HTTP in which a second copy of it may still come
constexpr double kIdlePart = 0.8;   // of the idle time told; later the peer may be about to close
constexpr double kAgeEvery = 1.0;

}  // namespace

Pool::Pool(Timers& timers, Log& log, const Deployment& d, std::size_t most, std::size_t bytes, Tell tell,
           Up up, Taker taker)
    : timers_(timers),
      log_(log),
      most_ever_(most),
      most_(most),
      bytes_ever_(bytes),
      budget_{bytes},
      tell_(std::move(tell)),
      up_(std::move(up)),
      taker_(std::move(taker)) {
    settle_in(d);
    age();
}

void Pool::settle_in(const Deployment& d) {
    connect_timeout_ = d.connect_timeout > 0 ? d.connect_timeout : 1.0;
    idle_most_ = d.connection_idle > 0 ? kIdlePart * d.connection_idle : 1e9;
}

void Pool::keep_to(double part) {
    most_ = static_cast<std::size_t>(part * static_cast<double>(most_ever_));
    budget_.most = static_cast<std::size_t>(part * static_cast<double>(bytes_ever_));
    while (live_ > most_ && make_room()) continue;
}

void Pool::know(int cache, const std::string& name, const std::string& address, bool origin) {
    if (cache >= static_cast<int>(servers_.size())) servers_.resize(static_cast<std::size_t>(cache) + 1);
    Server& s = server(cache);
    if (s.address != address) release(cache);  // the old address may be another's by now
    s.name = name;
    s.address = address;
    s.origin = origin;
}

bool Pool::in_use(int cache) const {
    return std::any_of(connections_.begin(), connections_.end(),
                       [cache](const Connection& c) { return c.cache == cache && !c.stream->closed(); });
}

void Pool::forget(int cache) { server(cache) = {}; }

Topic Pool::topic(int cache) const {
    return servers_[static_cast<std::size_t>(cache)].origin ? Topic::origin : Topic::cache;
}

std::uint64_t Pool::mark(int inv, int forward) {
    return (static_cast<std::uint64_t>(static_cast<std::uint32_t>(inv)) << 32U) |
           static_cast<std::uint32_t>(forward);
}

void Pool::forward(int inv, int forward, int cache, const Command& command, double limit,
                   double begin_within) {
    const Server& s = server(cache);
    if (!has_place(cache)) {
        log_.line(topic(cache), "no_place_left",
                  s.name + ": this node's part of the fleet's connections is in use, forward not sent");
        tell_({inv, forward, cache, Ending::not_sent, 0, {}, 0, 0});
        return;
    }
    Connection* c = connection_to(cache);
    if (c == nullptr) {
        log_.line(topic(cache), "no_connection_left",
                  s.name + ": no connection is left in the budget, forward not sent");
        tell_({inv, forward, cache, Ending::refused, 0, {}, 0, 0});
        return;
    }
    c->read = command.kind == Command::Kind::read;
    c->id = command.id;
    start(*c, inv, forward, limit, begin_within,
          s.origin ? origin_request(command, limit, s.address) : command_text(command, limit));
}

void Pool::probe(int cache, double limit) {
    Connection* c = connection_to(cache);
    const int number = probes_++;
    if (c == nullptr) {
        tell_({kProbe, number, cache, Ending::refused, 0, {}, 0, 0});
        return;
    }
    c->read = false;
    c->id.clear();
    const Server& s = server(cache);
    start(*c, kProbe, number, limit, 0,
          s.origin ? http_request("GET", "/alive", s.address, {}, {}) : "mn\r\n");
}

void Pool::start(Connection& c, int inv, int forward, double limit, double begin_within, std::string bytes) {
    c.busy = true;
    c.inv = inv;
    c.forward = forward;
    c.sent = monotonic();
    out_.emplace(mark(inv, forward), &c);
    c.due = c.sent + limit;
    c.limit = timers_.at(c.due, [this, &c] {
        c.limit = {};
        broken(c, Ending::timed_out);
    });
    if (begin_within > 0) {
        c.begin_by = timers_.at(c.sent + begin_within, [this, &c] {
            c.begin_by = {};
            if (!sent_whole(c) || c.stream->unacknowledged()) broken(c, Ending::timed_out);
        });
    }
    c.unsent = std::move(bytes);
    if (!c.stream->up()) return;
    // A second copy of the last answer may come some milliseconds late. Another connection in the meantime
    // would be one more of the few that a server holds.
    const double rested = server(c.cache).origin && c.used > 0 ? c.used + kHttpRest : 0;
    if (rested <= c.sent) return send_off(c);
    c.rest_by = timers_.at(rested, [this, &c] {
        c.rest_by = {};
        c.inv == kProbe ? send_off(c) : up_(c.inv, c.forward);
    });
}

// Its connection turned out, while it rested, to be good for nobody: the forward has not begun, and takes
// another.
void Pool::move_on(Connection& c) {
    log_.line(topic(c.cache), "second_answer",
              server(c.cache).name + ": closed or answered again while it rested, not used any more");
    const double now = monotonic();
    const int inv = c.inv, number = c.forward, cache = c.cache;
    const bool read = c.read;
    const double limit = c.due - now,
                 begin_within = c.begin_by.second != 0 ? std::max(c.begin_by.first - now, 1e-6) : 0;
    std::string id = std::move(c.id), bytes = std::exchange(c.unsent, {});
    out_.erase(mark(inv, number));
    c.busy = false;
    drop(c);
    Connection* next = connection_to(cache);
    if (next == nullptr) return tell_({inv, number, cache, Ending::refused, now - c.sent, {}, 0, 0});
    next->read = read;
    next->id = std::move(id);
    start(*next, inv, number, limit, begin_within, std::move(bytes));
}

// Given to the stream before it is up, the bytes would go the moment it comes up: also past their time, to a
// server that drains by then, or for a client that has left, if the loop hears of the connection before it
// hears of those.
void Pool::send_off(Connection& c) { c.stream->write(std::exchange(c.unsent, {})); }

void Pool::begin(int inv, int forward) {
    const auto at = out_.find(mark(inv, forward));
    if (at == out_.end()) return;  // its end is already on the way
    Connection& c = *at->second;
    const bool too_late = c.begin_by.second != 0 && monotonic() >= c.begin_by.first;
    if (too_late || monotonic() >= c.due) return broken(c, Ending::timed_out);
    if (c.stream->up()) send_off(c);
}

void Pool::decline(int inv, int forward) {
    const auto at = out_.find(mark(inv, forward));
    if (at == out_.end()) return;
    Connection& c = *at->second;
    end(c, Ending::not_sent);
    rest_or_drop(c, true);
}

// What is at work and what is idle together stay within it, so that a new one is opened in the place of none.
bool Pool::has_place(int cache) {
    Server& s = server(cache);
    if (!places_ || s.origin) return true;
    const int at_work = s.open - static_cast<int>(s.idle.size());
    const int most = places_(cache, at_work + 1);
    return at_work < most && (!s.idle.empty() || s.open < most);
}

void Pool::keep_places() {
    for (std::size_t i = 0; places_ && i < servers_.size(); ++i) {
        Server& s = servers_[i];
        if (s.origin || s.idle.empty()) continue;
        const int most = places_(static_cast<int>(i), 0);
        while (!s.idle.empty() && s.open > most) drop(*s.idle.front());
    }
}

// The idle one used last, or a new one; none when the budget is spent. What has come on an idle one belongs
// to no forward: HTTP names none, so a second copy of the last answer would pass for the next one's.
Pool::Connection* Pool::connection_to(int cache) {
    auto& idle = server(cache).idle;
    while (!idle.empty() && !idle.back()->stream->rests()) drop(*idle.back());
    if (idle.empty() || monotonic() - idle.back()->used >= idle_most_) return open(cache);
    Connection* c = idle.back();
    idle.pop_back();
    return c;
}

Pool::Connection* Pool::open(int cache) {
    if (live_ >= most_ && !make_room()) return nullptr;
    Connection& c = connections_.emplace_back();
    ++live_;
    ++server(cache).open;
    c.cache = cache;
    c.stream = std::make_unique<Stream>(server(cache).address, kInMost, budget_,
                                        [this, &c](Stream::News what) { news(c, what); });
    c.connect = timers_.at(monotonic() + connect_timeout_, [this, &c] {
        c.connect = {};
        broken(c, Ending::timed_out);
    });
    return &c;
}

// At the budget the connection that has been idle for longest goes.
bool Pool::make_room() {
    Connection* oldest = nullptr;
    for (const Server& s : servers_) {
        if (!s.idle.empty() && (oldest == nullptr || s.idle.front()->used < oldest->used))
            oldest = s.idle.front();
    }
    if (oldest != nullptr) drop(*oldest);
    return oldest != nullptr;
}

void Pool::cancel(int inv, int forward) {
    const auto at = out_.find(mark(inv, forward));
    if (at == out_.end()) return;  // its end is already on the way
    Connection& c = *at->second;
    end(c, Ending::cancelled);
    drop(c);
}

void Pool::release(int cache) {
    auto& idle = server(cache).idle;
    while (!idle.empty()) drop(*idle.back());
}

void Pool::news(Connection& c, Stream::News what) {
    if (c.rest_by.second != 0 && what != Stream::News::drained) return move_on(c);
    switch (what) {
        case Stream::News::up:
            // After a standstill the loop may hear of this before its timer, which is due all the same.
            if (c.connect.first <= monotonic()) return broken(c, Ending::timed_out);
            timers_.call_off(c.connect);
            if (!c.busy) break;
            c.inv == kProbe ? send_off(c) : up_(c.inv, c.forward);
            break;
        case Stream::News::input:
            read_answer(c);
            break;
        case Stream::News::drained:
            break;
        case Stream::News::ended:
            if (c.relay != 0) {
                pass_on(c);  // what had come before the end may be all of it
            } else if (c.busy && c.stream->ended_in_order() && !c.stream->input().empty()) {
                read_answer(c, true);
            } else if (c.busy) {
                broken(c, Ending::reset);
            } else {
                drop(c);
            }
            break;
    }
}

std::size_t Pool::parse(const Connection& c, Answer& answer, bool ended) {
    const std::string_view in = c.stream->input();
    if (servers_[static_cast<std::size_t>(c.cache)].origin) return read_origin_answer(in, answer, ended);
    Reply reply;
    const std::size_t taken = read_reply(in, reply);
    switch (reply.kind) {
        case Reply::Kind::value:
        case Reply::Kind::receipt:
            answer.sound = reply.id == c.id && (reply.kind == Reply::Kind::value) == c.read;
            answer.ending = Ending::succeeded;
            break;
        case Reply::Kind::miss:
            answer.sound = reply.id == c.id;
            answer.ending = Ending::miss;
            break;
        case Reply::Kind::hello:
            answer.sound = c.inv == kProbe;
            answer.ending = Ending::succeeded;
            break;
        case Reply::Kind::busy:
            answer.sound = true;
            answer.ending = Ending::busy;
            break;
        case Reply::Kind::errored:
            answer.sound = true;
            answer.ending = Ending::errored;
            break;
        case Reply::Kind::nonsense:
            break;
    }
    answer.body = std::move(reply.body);
    return taken;
}

// Only a head in which nothing is wrong is passed on: after it no other answer can take this one's place.
bool Pool::begin_relay(Connection& c) {
    if (!c.busy || !c.read || !sent_whole(c)) return false;
    const bool origin = server(c.cache).origin;
    LongValue value = origin ? long_origin_answer(c.stream->input()) : long_reply(c.stream->input());
    if (value.head == 0 || (!origin && value.id != c.id)) return false;
    c.stream->take(value.head);
    timers_.call_off(c.limit);
    out_.erase(mark(c.inv, c.forward));
    c.relay = ++last_relay_;
    c.rest = std::move(value);
    relays_.emplace(c.relay, &c);
    c.used = monotonic();
    watch_standstill(c);
    tell_({c.inv, c.forward, c.cache, Ending::succeeded, c.used - c.sent, {}, c.relay, c.rest.length});
    return true;
}

void Pool::pass_on(Connection& c) {
    if (c.passing) return;  // the loop below goes on with what there is room for by then
    while (c.rest.length > 0) {
        const std::string_view in = c.stream->input();
        std::size_t bytes = std::min(in.size(), c.rest.length);
        if (bytes == c.rest.length && c.rest.behind > 0) {
            // A value that does not end where its head said must not look whole to the client.
            const std::string_view behind = in.substr(bytes);
            if (behind.size() < c.rest.behind) {
                --bytes;
            } else if (!behind.starts_with("\r\n")) {
                log_.line(topic(c.cache), "nonsense",
                          server(c.cache).name + ": a long value does not end where it should");
                return end_relay(c, false);
            }
        }
        const std::size_t room = taker_.room(c.relay);
        bytes = std::min(bytes, room);
        if (bytes == 0) {
            if (!c.stream->up() && room > 0) end_relay(c, false);
            return;
        }
        c.passing = true;
        taker_.piece(c.relay, in.substr(0, bytes));
        c.passing = false;
        if (c.relay == 0) return;
        c.rest.length -= bytes;
        c.stream->take(bytes);
    }
    c.stream->take(c.rest.behind);
    end_relay(c, true);
}

// Time does not run while what has come waits for its client.
void Pool::watch_standstill(Connection& c) {
    c.limit = timers_.at(c.used + kStandstill, [this, &c] {
        c.limit = {};
        if (!c.stream->input().empty()) c.used = monotonic();
        if (monotonic() - c.used < kStandstill) return watch_standstill(c);
        log_.line(topic(c.cache), "value_broken_off",
                  server(c.cache).name + ": nothing more of a value that it had begun");
        end_relay(c, false);
    });
}

void Pool::end_relay(Connection& c, bool whole) {
    timers_.call_off(c.limit);
    const std::uint64_t relay = std::exchange(c.relay, 0);
    relays_.erase(relay);
    c.busy = false;
    rest_or_drop(c, whole && c.rest.reusable);
    taker_.end(relay, whole);
}

void Pool::pull(std::uint64_t relay) {
    const auto at = relays_.find(relay);
    if (at != relays_.end()) pass_on(*at->second);
}

void Pool::give_up(std::uint64_t relay) {
    const auto at = relays_.find(relay);
    if (at == relays_.end()) return;
    Connection& c = *at->second;
    relays_.erase(at);
    c.relay = 0;
    c.busy = false;
    drop(c);
}

void Pool::rest_or_drop(Connection& c, bool reusable) {
    if (!reusable || !c.stream->up() || !c.stream->all_written() || !c.stream->input().empty())
        return drop(c);
    Server& s = server(c.cache);
    if (places_ && !s.origin && s.open > places_(c.cache, 0))
        return drop(c);  // its part has become less meanwhile
    c.used = monotonic();
    c.stream->hold_at_most(kInMost);
    s.idle.push_back(&c);
}

void Pool::read_answer(Connection& c, bool ended) {
    if (c.relay != 0) {
        c.used = monotonic();
        return pass_on(c);
    }
    if (begin_relay(c)) return;
    Answer answer;
    std::size_t taken = 0;
    if (c.busy) taken = parse(c, answer, ended);
    if (c.busy && taken == 0 && ended) return broken(c, Ending::reset);  // it ended before its end
    if (taken == 0 && c.stream->full() && answer.unsized) c.stream->hold_at_most(kUnsizedMost);
    if (c.busy && taken == 0 && !c.stream->full()) {
        if (!budget_.over() || c.stream->input().size() <= kLineMost) return;
        log_.line(topic(c.cache), "no_memory",
                  server(c.cache).name + ": no memory for its answer, forward given up");
        return broken(c, Ending::errored);
    }
    // An answer that comes before the forward is written whole was made for another, if for any.
    if (c.busy && (answer.ending == Ending::succeeded || answer.ending == Ending::miss))
        answer.sound = answer.sound && sent_whole(c);
    // A receipt becomes part of a line to the client, which it must not be able to end.
    if (c.busy && answer.ending == Ending::succeeded && !c.read && c.inv != kProbe)
        answer.sound = answer.sound && is_word(answer.body);
    if (!c.busy || !answer.sound) {
        // Whose answer the next bytes would be is not known any more.
        const std::string_view in = c.stream->input();
        log_.line(topic(c.cache), "nonsense",
                  server(c.cache).name + ": nonsense, connection closed: " + std::string(in.substr(0, 80)));
        // It has answered, so it is neither silent nor full: only this forward fails, which may have run.
        if (c.busy) return broken(c, Ending::errored);
        return drop(c);
    }
    c.stream->take(taken);
    end(c, answer.ending, std::move(answer.body));
    rest_or_drop(c, answer.reusable);
}

// What is not connected by the time that a drain is told would begin after it: it is taken back unsent.
void Pool::withdraw(int cache) {
    release(cache);
    for (Connection& c : connections_) {
        if (c.cache == cache && c.busy && !c.unsent.empty()) broken(c, Ending::refused);
    }
}

// What a lost connection proves hangs on one thing: whether the forward's last byte had been written.
void Pool::broken(Connection& c, Ending if_written) {
    end(c, sent_whole(c) ? if_written : Ending::refused);
    drop(c);
}

void Pool::end(Connection& c, Ending ending, std::string body) {
    c.busy = false;
    c.unsent.clear();
    timers_.call_off(c.limit);
    timers_.call_off(c.begin_by);
    timers_.call_off(c.rest_by);
    out_.erase(mark(c.inv, c.forward));
    const double took = monotonic() - c.sent;
    const char* failure = ending == Ending::refused     ? "refused"
                          : ending == Ending::reset     ? "reset"
                          : ending == Ending::timed_out ? "timed out"
                                                        : nullptr;
    if (failure != nullptr) {
        char text[64];
        std::snprintf(text, sizeof text, ": forward %s after %.3f s", failure, took);
        log_.line(topic(c.cache), "forward_failed", server(c.cache).name + text);
    }
    tell_({c.inv, c.forward, c.cache, ending, took, std::move(body), 0, 0});
}

void Pool::drop(Connection& c) {
    if (c.stream->closed()) return;
    std::erase(server(c.cache).idle, &c);
    timers_.call_off(c.limit);
    timers_.call_off(c.connect);
    timers_.call_off(c.begin_by);
    timers_.call_off(c.rest_by);
    c.stream->unacknowledged() ? c.stream->abort() : c.stream->close();
    --live_;
    --server(c.cache).open;
    dropped_ = true;
}

void Pool::sweep() {
    if (!dropped_) return;
    dropped_ = false;
    connections_.remove_if([](const Connection& c) { return c.stream->closed(); });
}

void Pool::age() {
    const double now = monotonic();
    for (Server& s : servers_) {
        while (!s.idle.empty() && now - s.idle.front()->used >= idle_most_) drop(*s.idle.front());
    }
    timers_.at(now + kAgeEvery, [this] { age(); });
}

}  // namespace brookrelay
