#include "downstream/client_connections.h"

#include <algorithm>
#include <utility>

namespace brookrelay {
namespace {

constexpr std::size_t kInMost = kWholeMost + 2 * kLineMost;
constexpr std::size_t kWindow = 64 * 1024;  // of a long value, written and not taken yet
constexpr std::size_t kReservedPart = 2;    // of the clients' bytes: for long values that they write
constexpr std::size_t kPipelined = 32;
constexpr double kAheadPart = 0.25;  // of the connections: commands held at once before each has just one
constexpr int kAcceptsATurn = 64;
constexpr double kAcceptPause = 0.05;
constexpr double kFirstBytes = 0.5;  // s in which a new client has not yet had the time to write
// Descriptors are few, and a client that says nothing or stops halfway keeps one for nothing. Time runs from
// the last byte: whoever is slow but goes on is served.
constexpr double kSilent = 2.5;  // s that a new client may say nothing, and any may stop within a command
constexpr double kSilentLong = 10.0;  // and within a long value
constexpr double kIdle = 30.0;        // s between two commands
// Clients may hold only so many connections. Those who ask once and stay would hold them all, and nobody
// could ask any more: the longest idle go beyond a part of the places, unless the next command may already be
// on its way.
constexpr double kIdlePart = 0.1;
constexpr double kIdleLeast = 0.05;
constexpr double kUntaken = 10.0;  // s in which a client takes no byte of its answers
constexpr double kAgeEvery = 0.05;
constexpr const char* kNoMemory = "SERVER_ERROR out of memory";
// A close over bytes that are not read resets the connection, and what is still on its way out goes with it.
// So the end of sending comes first, and what the client sends behind it is read and thrown away for so long,
// s.
constexpr double kLinger = 1.0;

}  // namespace

Clients::Clients(Timers& timers, Log& log, std::size_t most, std::size_t bytes, Asked asked, Left left,
                 Relayed relayed)
    : timers_(timers),
      log_(log),
      most_ever_(most),
      most_(most),
      bytes_ever_(bytes),
      budget_{bytes},
      asked_(std::move(asked)),
      left_(std::move(left)),
      relayed_(std::move(relayed)),
      reserved_most_(bytes / kReservedPart) {
    age();
}

Clients::~Clients() { watch_listener(false); }

void Clients::listen(SocketRef listener) {
    listener_ = std::move(listener);
    watch_listener(true);
}

void Clients::keep_to(double part) {
    most_ = static_cast<std::size_t>(part * static_cast<double>(most_ever_));
    budget_.most = static_cast<std::size_t>(part * static_cast<double>(bytes_ever_));
    reserved_most_ = budget_.most / kReservedPart;
}

void Clients::stop_accepting() {
    timers_.call_off(accept_again_);
    watch_listener(false);
    listener_.reset();
}

void Clients::watch_listener(bool on) {
    if (on == (accepting_ != nullptr)) return;
    if (!on) {
        g_source_destroy(accepting_);
        g_source_unref(accepting_);
        accepting_ = nullptr;
        return;
    }
    accepting_ = g_socket_create_source(listener_.get(), G_IO_IN, nullptr);
    const GSocketSourceFunc ready = [](GSocket*, GIOCondition, gpointer self) -> gboolean {
        static_cast<Clients*>(self)->accept_ready();
        return G_SOURCE_CONTINUE;
    };
    g_source_set_callback(accepting_, G_SOURCE_FUNC(ready), this, nullptr);
    g_source_attach(accepting_, nullptr);
}

void Clients::accept_ready() {
    for (int n = 0; n < kAcceptsATurn; ++n) {
        GError* error = nullptr;
        const bool room = live_ < most_ || make_room();
        SocketRef socket(room ? g_socket_accept(listener_.get(), nullptr, &error) : nullptr);
        const ErrorRef why(error);
        if (socket == nullptr) {
            if (room && g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) return;
            log_.line(Topic::client, "accepting_waits",
                      std::string("accepting waits: ") +
                          (room ? why->message : "all client connections are in use"));
            watch_listener(false);
            timers_.call_off(accept_again_);
            accept_again_ = timers_.at(monotonic() + kAcceptPause, [this] {
                accept_again_ = {};
                watch_listener(true);
            });
            return;
        }
        const std::uint64_t id = ++last_id_;
        Client& c = clients_[id];
        ++live_;
        c.used = monotonic();
        c.stream = std::make_unique<Stream>(std::move(socket), kInMost, budget_,
                                            [this, id, &c](Stream::News what) { news(id, c, what); });
    }
}

// A client may only be parted with between commands: what it has written to an accepted connection counts as
// taken even while it is unread, and one that has just connected did so to write.
bool Clients::between_commands(const Client& c) {
    const bool new_here = c.first == 0 && monotonic() - c.used < kFirstBytes;
    return !c.stream->closed() && c.pending.empty() && !new_here && !c.stream->has_unread();
}

// At the budget the one idle for longest goes.
bool Clients::make_room() {
    Client* oldest = nullptr;
    std::uint64_t oldest_id = 0;
    for (auto& [id, c] : clients_) {
        const bool is_closing = c.finishing && !c.stream->closed();
        if ((oldest != nullptr && c.used >= oldest->used) || c.stream->unwritten() > 0) continue;
        if (!is_closing && !between_commands(c)) continue;
        oldest = &c;
        oldest_id = id;
    }
    if (oldest != nullptr) drop(oldest_id, *oldest);
    return oldest != nullptr;
}

void Clients::news(std::uint64_t id, Client& c, Stream::News what) {
    if (what == Stream::News::ended) return drop(id, c);
    if (what == Stream::News::input && !c.finishing) c.used = monotonic();
    if (what == Stream::News::drained && c.finishing) linger(id, c);
    read_commands(id, c);
    if (what == Stream::News::drained && !c.pending.empty() && c.pending.front().relay != 0)
        relayed_.room(c.pending.front().relay);
    if (budget_.over() && c.reserved == 0 && c.stream->input().size() > kLineMost)
        return turn_away(id, c, kNoMemory);
    close_if_done(id, c);
}

void Clients::read_commands(std::uint64_t id, Client& c) {
    if (c.last) {
        c.stream->take(c.stream->input().size());
        return;
    }
    while (!c.last && may_hold_another(c)) {
        Command command;
        const std::size_t taken = read_command(c.stream->input(), command);
        if (taken == 0 && !may_go_on_reading(c)) c.used = monotonic();
        if (taken == 0) break;
        c.stream->take(taken);
        last_command_ = monotonic();
        Pending& p = c.pending.emplace_back();
        if (c.reserved > 0) c.stream->hold_at_most(kInMost);
        p.reserved = std::exchange(c.reserved, 0);
        ++held_;
        if (command.kind == Command::Kind::hello) {
            say(p, "MN\r\n");
        } else if (command.kind == Command::Kind::malformed) {
            const std::string complaint = command.complaint;
            log_.line(Topic::client, complaint.empty() ? "unknown_command" : "malformed",
                      complaint.empty() ? "unknown command" : "malformed: " + complaint);
            say(p, complaint.empty() ? "ERROR\r\n" : "CLIENT_ERROR " + complaint + "\r\n");
            c.last = command.framing_lost;
        } else {
            p.inv = asked_({id, c.first + c.pending.size() - 1}, std::move(command));
            continue;
        }
        write_answers(c);
    }
}

// Long values are read by a few at a time, each with room for all of its own: the others are not read from,
// and nobody is cut off half-way for those.
bool Clients::may_go_on_reading(Client& c) {
    if (c.reserved > 0) return true;
    const std::size_t length = long_write(c.stream->input());
    c.waits = length > 0 && reserved_ > 0 && reserved_ + length > reserved_most_;
    if (length == 0 || c.waits) return !c.waits;
    c.reserved = length;
    reserved_ += length;
    c.stream->hold_at_most(length + 2 * kLineMost);
    return true;
}

// A command may hold a value of the greatest size, and its answer another: all clients together may not
// pipeline more than fits. Each may always have one.
bool Clients::may_hold_another(const Client& c) const {
    // A client that does not take its answers is not read from either.
    if (c.stream->unwritten() > 0 || c.pending.size() >= kPipelined) return false;
    return c.pending.empty() || static_cast<double>(held_) < kAheadPart * static_cast<double>(most_);
}

void Clients::say(Pending& p, std::string text) {
    budget_.used += text.size();
    p.ready = true;
    p.text = std::move(text);
}

// One error line behind what is still owed, and no more is read.
void Clients::turn_away(std::uint64_t id, Client& c, const char* line) {
    log_.line(Topic::client, "turned_away", std::string("turned away: ") + line);
    say(c.pending.emplace_back(), std::string(line) + "\r\n");
    ++held_;
    c.last = true;
    c.stream->take(c.stream->input().size());
    write_answers(c);
    close_if_done(id, c);
}

void Clients::age() {
    const double now = monotonic();
    for (auto& [id, c] : clients_) {
        if (!c.stream->closed() && c.waits) read_commands(id, c);
        if (!c.stream->closed()) age(id, c, now);
        if (shutting_down_ && !c.stream->closed()) close_if_done(id, c);
    }
    close_longest_idle(now);
    timers_.at(now + kAgeEvery, [this] { age(); });
}

void Clients::close_longest_idle(double now) {
    const auto kept = static_cast<std::size_t>(kIdlePart * static_cast<double>(most_));
    if (live_ <= kept) return;  // each look below asks the kernel once a client
    std::vector<std::pair<double, std::uint64_t>> idle;
    for (const auto& [id, c] : clients_) {
        const bool answered = c.first > 0 && c.stream->unwritten() == 0 && !c.last;
        if (answered && between_commands(c)) idle.emplace_back(c.used, id);
    }
    std::sort(idle.begin(), idle.end());
    for (std::size_t i = 0; i + kept < idle.size() && now - idle[i].first >= kIdleLeast; ++i)
        close_gracefully(idle[i].second, clients_.at(idle[i].second));
}

void Clients::age(std::uint64_t id, Client& c, double now) {
    if (c.stream->unwritten() != c.untaken) {
        c.untaken = c.stream->unwritten();
        c.untaken_since = now;
    }
    if (c.untaken > 0) {
        if (now - c.untaken_since >= kUntaken) drop(id, c);
    } else if (c.last || now - c.used < (c.reserved > 0 ? kSilentLong : kSilent) || !may_hold_another(c)) {
        return;  // it is being closed, has just been heard, or is not read from
    } else if (!c.stream->input().empty()) {
        turn_away(id, c, "CLIENT_ERROR incomplete command");
    } else if (c.pending.empty() && !c.stream->has_unread() && (c.first == 0 || now - c.used >= kIdle)) {
        drop(id, c);
    }
}

void Clients::answer(const Asker& asker, std::string text) {
    const auto at = clients_.find(asker.connection);
    if (at == clients_.end() || at->second.stream->closed()) return;
    Client& c = at->second;
    const std::uint64_t place = asker.command - c.first;
    if (place >= c.pending.size() || c.pending[place].ready || c.pending[place].relay != 0) return;
    // Clients that take their answers slowly may not hold more of them than there is memory.
    const bool too_much = budget_.over() && text.size() > kLineMost;
    if (too_much) log_.line(Topic::client, "answer_dropped", "an answer is not passed on: no memory");
    say(c.pending[place], too_much ? std::string(kNoMemory) + "\r\n" : std::move(text));
    write_answers(c);
    read_commands(asker.connection, c);  // there may be commands that waited for room
    close_if_done(asker.connection, c);
}

Clients::Client* Clients::whose(const Asker& asker) {
    const auto at = clients_.find(asker.connection);
    if (at == clients_.end() || at->second.stream->closed()) return nullptr;
    return asker.command - at->second.first < at->second.pending.size() ? &at->second : nullptr;
}

void Clients::begin_long(const Asker& asker, std::string head, std::uint64_t relay) {
    Client* c = whose(asker);
    if (c == nullptr) return relayed_.left(relay);
    Pending& p = c->pending[asker.command - c->first];
    budget_.used += head.size();
    p.text = std::move(head);
    p.relay = relay;
    write_answers(*c);
}

// Answers go in the order of the commands: what stands behind another waits at its server.
std::size_t Clients::room(const Asker& asker) const {
    const auto at = clients_.find(asker.connection);
    if (at == clients_.end() || at->second.stream->closed() || asker.command != at->second.first) return 0;
    const std::size_t unwritten = at->second.stream->unwritten();
    return unwritten < kWindow ? kWindow - unwritten : 0;
}

void Clients::piece(const Asker& asker, std::string_view bytes) {
    Client* c = whose(asker);
    if (c == nullptr) return;
    c->used = monotonic();
    c->stream->write(bytes);
}

void Clients::end_long(const Asker& asker, bool whole, std::string_view line) {
    Client* c = whose(asker);
    if (c == nullptr) return;
    Pending& p = c->pending[asker.command - c->first];
    p.relay = 0;
    budget_.used -= p.text.size();
    p.text.clear();
    if (!whole && p.begun) {
        log_.line(Topic::client, "value_broken_off",
                  "closed: the rest of a value that was begun is not to be had");
        // What was answered before it still goes out; then the end comes too early, by which the client can
        // tell.
        p.ready = true;
        c->last = true;
        forget_pending(asker.connection, *c);
        return close_if_done(asker.connection, *c);
    }
    say(p, whole ? "\r\n" : std::string(line));
    write_answers(*c);
    read_commands(asker.connection, *c);
    close_if_done(asker.connection, *c);
}

void Clients::write_answers(Client& c) {
    std::string text;
    while (!c.pending.empty() && (c.pending.front().ready || !c.pending.front().text.empty())) {
        std::string& said = c.pending.front().text;
        budget_.used -= said.size();
        if (text.empty()) {
            text = std::move(said);
        } else {
            text += said;
        }
        if (!c.pending.front().ready) {  // a long one: the rest comes in pieces
            said.clear();
            c.pending.front().begun = true;
            break;
        }
        reserved_ -= c.pending.front().reserved;
        c.pending.pop_front();
        ++c.first;
        --held_;
    }
    if (text.empty()) return;
    c.used = monotonic();
    c.stream->write(text);
    if (!c.pending.empty() && c.pending.front().relay != 0) relayed_.room(c.pending.front().relay);
}

void Clients::close_if_done(std::uint64_t id, Client& c) {
    const bool done = c.last ? c.pending.empty() : shutting_down_ && between_commands(c);
    if (!done || c.finishing) return;
    const bool rested = c.stream->unwritten() == 0 && monotonic() - c.used >= kIdleLeast;
    if (at_once_ && !c.last && rested) return drop(id, c);
    close_gracefully(id, c);
}

void Clients::close_gracefully(std::uint64_t id, Client& c) {
    c.last = c.finishing = true;
    c.stream->finish();
    linger(id, c);
}

// Time runs from when all is written: a slow client still takes the whole of its last answer.
void Clients::linger(std::uint64_t id, Client& c) {
    timers_.call_off(c.linger);
    c.linger = timers_.at(monotonic() + kLinger, [this, id, &c] {
        c.linger = {};
        if (c.stream->unwritten() > 0) {
            linger(id, c);
        } else {
            drop(id, c);
        }
    });
}

void Clients::begin_shutdown(bool at_once) {
    shutting_down_ = true;
    at_once_ = at_once;
    for (auto& [id, c] : clients_) {
        if (!c.stream->closed()) close_if_done(id, c);
    }
}

// Commands count, not connections: some come and say nothing for as long as there is a node.
bool Clients::quiet_since(double time) const {
    return last_command_ < time && std::all_of(clients_.begin(), clients_.end(), [](const auto& entry) {
               const Client& c = entry.second;
               return c.stream->closed() ||
                      (c.pending.empty() && c.stream->unwritten() == 0 && !c.stream->has_unread());
           });
}

void Clients::drop(std::uint64_t id, Client& c) {
    if (c.stream->closed()) return;
    timers_.call_off(c.linger);
    c.stream->close();
    --live_;
    dropped_.push_back(id);
    forget_pending(id, c);
}

bool Clients::has_gone(const Asker& asker) {
    const auto at = clients_.find(asker.connection);
    if (at == clients_.end() || at->second.stream->closed()) return true;
    if (!at->second.stream->peer_gone()) return false;
    drop(asker.connection, at->second);
    return true;
}

void Clients::forget_pending(std::uint64_t id, Client& c) {
    held_ -= c.pending.size();
    reserved_ -= std::exchange(c.reserved, 0);
    for (std::size_t i = 0; i < c.pending.size(); ++i) {
        budget_.used -= c.pending[i].text.size();
        reserved_ -= c.pending[i].reserved;
        if (c.pending[i].relay != 0) {
            relayed_.left(c.pending[i].relay);
        } else if (!c.pending[i].ready && c.pending[i].inv != kNoInvocation) {
            left_({id, c.first + i}, c.pending[i].inv);
        }
    }
    c.first += c.pending.size();
    c.pending.clear();
}

void Clients::sweep() {
    for (std::uint64_t id : dropped_) clients_.erase(id);
    dropped_.clear();
}

}  // namespace brookrelay
