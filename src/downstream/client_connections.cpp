#include "downstream/client_connections.h"

#include <algorithm>
#include <utility>

namespace brookrelay {
namespace {

constexpr std::size_t kInMost = kMaxBufferedValueBytes + 2 * kMaxLineBytes;
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

ClientConnections::ClientConnections(TimerQueue& timers, Log& log, std::size_t most, std::size_t bytes,
                                     OnCommand asked, OnClientClosed left, StreamCallbacks relayed)
    : timers_(timers),
      log_(log),
      max_connections_(most),
      connection_limit_(most),
      max_bytes_(bytes),
      budget_{bytes},
      on_command_(std::move(asked)),
      on_client_closed_(std::move(left)),
      stream_callbacks_(std::move(relayed)),
      reserved_limit_(bytes / kReservedPart) {
    age();
}

ClientConnections::~ClientConnections() { watch_listener(false); }

void ClientConnections::listen(SocketRef listener) {
    listener_ = std::move(listener);
    watch_listener(true);
}

void ClientConnections::set_budget_share(double part) {
    connection_limit_ = static_cast<std::size_t>(part * static_cast<double>(max_connections_));
    budget_.limit = static_cast<std::size_t>(part * static_cast<double>(max_bytes_));
    reserved_limit_ = budget_.limit / kReservedPart;
}

void ClientConnections::stop_accepting() {
    timers_.cancel(accept_retry_timer_);
    watch_listener(false);
    listener_.reset();
}

void ClientConnections::watch_listener(bool on) {
    if (on == (accept_source_ != nullptr)) return;
    if (!on) {
        g_source_destroy(accept_source_);
        g_source_unref(accept_source_);
        accept_source_ = nullptr;
        return;
    }
    accept_source_ = g_socket_create_source(listener_.get(), G_IO_IN, nullptr);
    const GSocketSourceFunc ready = [](GSocket*, GIOCondition, gpointer self) -> gboolean {
        static_cast<ClientConnections*>(self)->accept_connections();
        return G_SOURCE_CONTINUE;
    };
    g_source_set_callback(accept_source_, G_SOURCE_FUNC(ready), this, nullptr);
    g_source_attach(accept_source_, nullptr);
}

void ClientConnections::accept_connections() {
    for (int n = 0; n < kAcceptsATurn; ++n) {
        GError* error = nullptr;
        const bool room = open_count_ < connection_limit_ || evict_idle();
        SocketRef socket(room ? g_socket_accept(listener_.get(), nullptr, &error) : nullptr);
        const ErrorRef why(error);
        if (socket == nullptr) {
            if (room && g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) return;
            log_.line(Topic::client, "accepting_waits",
                      std::string("accepting waits: ") +
                          (room ? why->message : "all client connections are in use"));
            watch_listener(false);
            timers_.cancel(accept_retry_timer_);
            accept_retry_timer_ = timers_.schedule(monotonic_now() + kAcceptPause, [this] {
                accept_retry_timer_ = {};
                watch_listener(true);
            });
            return;
        }
        const std::uint64_t id = ++last_id_;
        Client& c = clients_[id];
        ++open_count_;
        c.last_used = monotonic_now();
        c.connection = std::make_unique<TcpConnection>(
            std::move(socket), kInMost, budget_,
            [this, id, &c](TcpConnection::Event what) { on_event(id, c, what); });
    }
}

// A client may only be parted with between commands: what it has written to an accepted connection counts as
// taken even while it is unread, and one that has just connected did so to write.
bool ClientConnections::between_commands(const Client& c) {
    const bool new_here = c.first_command == 0 && monotonic_now() - c.last_used < kFirstBytes;
    return !c.connection->is_closed() && c.pending.empty() && !new_here && !c.connection->has_unread_input();
}

// At the budget the one idle for longest goes.
bool ClientConnections::evict_idle() {
    Client* oldest = nullptr;
    std::uint64_t oldest_id = 0;
    for (auto& [id, c] : clients_) {
        const bool is_closing = c.closing && !c.connection->is_closed();
        if ((oldest != nullptr && c.last_used >= oldest->last_used) || c.connection->unwritten_bytes() > 0)
            continue;
        if (!is_closing && !between_commands(c)) continue;
        oldest = &c;
        oldest_id = id;
    }
    if (oldest != nullptr) close(oldest_id, *oldest);
    return oldest != nullptr;
}

void ClientConnections::on_event(std::uint64_t id, Client& c, TcpConnection::Event what) {
    if (what == TcpConnection::Event::closed) return close(id, c);
    if (what == TcpConnection::Event::readable && !c.closing) c.last_used = monotonic_now();
    if (what == TcpConnection::Event::drained && c.closing) start_lingering_close(id, c);
    read_commands(id, c);
    if (what == TcpConnection::Event::drained && !c.pending.empty() && c.pending.front().stream != 0)
        stream_callbacks_.on_writable(c.pending.front().stream);
    if (budget_.exceeded() && c.reserved == 0 && c.connection->input().size() > kMaxLineBytes)
        return reject_connection(id, c, kNoMemory);
    close_if_done(id, c);
}

void ClientConnections::read_commands(std::uint64_t id, Client& c) {
    if (c.reading_stopped) {
        c.connection->consume(c.connection->input().size());
        return;
    }
    while (!c.reading_stopped && may_accept_command(c)) {
        Command command;
        const std::size_t taken = parse_command(c.connection->input(), command);
        if (taken == 0 && !may_continue_reading(c)) c.last_used = monotonic_now();
        if (taken == 0) break;
        c.connection->consume(taken);
        last_command_at_ = monotonic_now();
        PendingResponse& p = c.pending.emplace_back();
        if (c.reserved > 0) c.connection->set_read_limit(kInMost);
        p.reserved = std::exchange(c.reserved, 0);
        ++unanswered_commands_;
        if (command.kind == Command::Kind::hello) {
            complete(p, "MN\r\n");
        } else if (command.kind == Command::Kind::malformed) {
            const std::string complaint = command.error;
            log_.line(Topic::client, complaint.empty() ? "unknown_command" : "malformed",
                      complaint.empty() ? "unknown command" : "malformed: " + complaint);
            complete(p, complaint.empty() ? "ERROR\r\n" : "CLIENT_ERROR " + complaint + "\r\n");
            c.reading_stopped = command.framing_lost;
        } else {
            p.request = on_command_({id, c.first_command + c.pending.size() - 1}, std::move(command));
            continue;
        }
        write_responses(c);
    }
}

// Long values are read by a few at a time, each with room for all of its own: the others are not read from,
// and nobody is cut off half-way for those.
bool ClientConnections::may_continue_reading(Client& c) {
    if (c.reserved > 0) return true;
    const std::size_t length = streamed_write_length(c.connection->input());
    c.waiting_for_memory = length > 0 && reserved_ > 0 && reserved_ + length > reserved_limit_;
    if (length == 0 || c.waiting_for_memory) return !c.waiting_for_memory;
    c.reserved = length;
    reserved_ += length;
    c.connection->set_read_limit(length + 2 * kMaxLineBytes);
    return true;
}

// A command may hold a value of the greatest size, and its answer another: all clients together may not
// pipeline more than fits. Each may always have one.
bool ClientConnections::may_accept_command(const Client& c) const {
    // A client that does not take its answers is not read from either.
    if (c.connection->unwritten_bytes() > 0 || c.pending.size() >= kPipelined) return false;
    return c.pending.empty() ||
           static_cast<double>(unanswered_commands_) < kAheadPart * static_cast<double>(connection_limit_);
}

void ClientConnections::complete(PendingResponse& p, std::string text) {
    budget_.used += text.size();
    p.ready = true;
    p.text = std::move(text);
}

// One error line behind what is still owed, and no more is read.
void ClientConnections::reject_connection(std::uint64_t id, Client& c, const char* line) {
    log_.line(Topic::client, "turned_away", std::string("turned away: ") + line);
    complete(c.pending.emplace_back(), std::string(line) + "\r\n");
    ++unanswered_commands_;
    c.reading_stopped = true;
    c.connection->consume(c.connection->input().size());
    write_responses(c);
    close_if_done(id, c);
}

void ClientConnections::age() {
    const double now = monotonic_now();
    for (auto& [id, c] : clients_) {
        if (!c.connection->is_closed() && c.waiting_for_memory) read_commands(id, c);
        if (!c.connection->is_closed()) age(id, c, now);
        if (shutting_down_ && !c.connection->is_closed()) close_if_done(id, c);
    }
    close_longest_idle(now);
    timers_.schedule(now + kAgeEvery, [this] { age(); });
}

void ClientConnections::close_longest_idle(double now) {
    const auto kept = static_cast<std::size_t>(kIdlePart * static_cast<double>(connection_limit_));
    if (open_count_ <= kept) return;  // each look below asks the kernel once a client
    std::vector<std::pair<double, std::uint64_t>> idle;
    for (const auto& [id, c] : clients_) {
        const bool answered =
            c.first_command > 0 && c.connection->unwritten_bytes() == 0 && !c.reading_stopped;
        if (answered && between_commands(c)) idle.emplace_back(c.last_used, id);
    }
    std::sort(idle.begin(), idle.end());
    for (std::size_t i = 0; i + kept < idle.size() && now - idle[i].first >= kIdleLeast; ++i)
        close_gracefully(idle[i].second, clients_.at(idle[i].second));
}

void ClientConnections::age(std::uint64_t id, Client& c, double now) {
    if (c.connection->unwritten_bytes() != c.unread_response_bytes) {
        c.unread_response_bytes = c.connection->unwritten_bytes();
        c.unread_since = now;
    }
    if (c.unread_response_bytes > 0) {
        if (now - c.unread_since >= kUntaken) close(id, c);
    } else if (c.reading_stopped || now - c.last_used < (c.reserved > 0 ? kSilentLong : kSilent) ||
               !may_accept_command(c)) {
        return;  // it is being closed, has just been heard, or is not read from
    } else if (!c.connection->input().empty()) {
        reject_connection(id, c, "CLIENT_ERROR incomplete command");
    } else if (c.pending.empty() && !c.connection->has_unread_input() &&
               (c.first_command == 0 || now - c.last_used >= kIdle)) {
        close(id, c);
    }
}

void ClientConnections::respond(const RequestHandle& asker, std::string text) {
    const auto at = clients_.find(asker.connection);
    if (at == clients_.end() || at->second.connection->is_closed()) return;
    Client& c = at->second;
    const std::uint64_t place = asker.command - c.first_command;
    if (place >= c.pending.size() || c.pending[place].ready || c.pending[place].stream != 0) return;
    // Clients that take their answers slowly may not hold more of them than there is memory.
    const bool too_much = budget_.exceeded() && text.size() > kMaxLineBytes;
    if (too_much) log_.line(Topic::client, "answer_dropped", "an answer is not passed on: no memory");
    complete(c.pending[place], too_much ? std::string(kNoMemory) + "\r\n" : std::move(text));
    write_responses(c);
    read_commands(asker.connection, c);  // there may be commands that waited for room
    close_if_done(asker.connection, c);
}

ClientConnections::Client* ClientConnections::find(const RequestHandle& asker) {
    const auto at = clients_.find(asker.connection);
    if (at == clients_.end() || at->second.connection->is_closed()) return nullptr;
    return asker.command - at->second.first_command < at->second.pending.size() ? &at->second : nullptr;
}

void ClientConnections::begin_stream(const RequestHandle& asker, std::string head, std::uint64_t relay) {
    Client* c = find(asker);
    if (c == nullptr) return stream_callbacks_.on_abandoned(relay);
    PendingResponse& p = c->pending[asker.command - c->first_command];
    budget_.used += head.size();
    p.text = std::move(head);
    p.stream = relay;
    write_responses(*c);
}

// Answers go in the order of the commands: what stands behind another waits at its server.
std::size_t ClientConnections::stream_capacity(const RequestHandle& asker) const {
    const auto at = clients_.find(asker.connection);
    if (at == clients_.end() || at->second.connection->is_closed() ||
        asker.command != at->second.first_command)
        return 0;
    const std::size_t unwritten = at->second.connection->unwritten_bytes();
    return unwritten < kWindow ? kWindow - unwritten : 0;
}

void ClientConnections::write_chunk(const RequestHandle& asker, std::string_view bytes) {
    Client* c = find(asker);
    if (c == nullptr) return;
    c->last_used = monotonic_now();
    c->connection->write(bytes);
}

void ClientConnections::end_stream(const RequestHandle& asker, bool whole, std::string_view line) {
    Client* c = find(asker);
    if (c == nullptr) return;
    PendingResponse& p = c->pending[asker.command - c->first_command];
    p.stream = 0;
    budget_.used -= p.text.size();
    p.text.clear();
    if (!whole && p.started) {
        log_.line(Topic::client, "value_broken_off",
                  "closed: the rest of a value that was begun is not to be had");
        // What was answered before it still goes out; then the end comes too early, by which the client can
        // tell.
        p.ready = true;
        c->reading_stopped = true;
        abandon_pending(asker.connection, *c);
        return close_if_done(asker.connection, *c);
    }
    complete(p, whole ? "\r\n" : std::string(line));
    write_responses(*c);
    read_commands(asker.connection, *c);
    close_if_done(asker.connection, *c);
}

void ClientConnections::write_responses(Client& c) {
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
            c.pending.front().started = true;
            break;
        }
        reserved_ -= c.pending.front().reserved;
        c.pending.pop_front();
        ++c.first_command;
        --unanswered_commands_;
    }
    if (text.empty()) return;
    c.last_used = monotonic_now();
    c.connection->write(text);
    if (!c.pending.empty() && c.pending.front().stream != 0)
        stream_callbacks_.on_writable(c.pending.front().stream);
}

void ClientConnections::close_if_done(std::uint64_t id, Client& c) {
    const bool done = c.reading_stopped ? c.pending.empty() : shutting_down_ && between_commands(c);
    if (!done || c.closing) return;
    const bool rested = c.connection->unwritten_bytes() == 0 && monotonic_now() - c.last_used >= kIdleLeast;
    if (close_idle_at_once_ && !c.reading_stopped && rested) return close(id, c);
    close_gracefully(id, c);
}

void ClientConnections::close_gracefully(std::uint64_t id, Client& c) {
    c.reading_stopped = c.closing = true;
    c.connection->shutdown_write();
    start_lingering_close(id, c);
}

// Time runs from when all is written: a slow client still takes the whole of its last answer.
void ClientConnections::start_lingering_close(std::uint64_t id, Client& c) {
    timers_.cancel(c.linger_timer);
    c.linger_timer = timers_.schedule(monotonic_now() + kLinger, [this, id, &c] {
        c.linger_timer = {};
        if (c.connection->unwritten_bytes() > 0) {
            start_lingering_close(id, c);
        } else {
            close(id, c);
        }
    });
}

void ClientConnections::begin_shutdown(bool at_once) {
    shutting_down_ = true;
    close_idle_at_once_ = at_once;
    for (auto& [id, c] : clients_) {
        if (!c.connection->is_closed()) close_if_done(id, c);
    }
}

// Commands count, not connections: some come and say nothing for as long as there is a node.
bool ClientConnections::idle_since(double time) const {
    return last_command_at_ < time && std::all_of(clients_.begin(), clients_.end(), [](const auto& entry) {
               const Client& c = entry.second;
               return c.connection->is_closed() ||
                      (c.pending.empty() && c.connection->unwritten_bytes() == 0 &&
                       !c.connection->has_unread_input());
           });
}

void ClientConnections::close(std::uint64_t id, Client& c) {
    if (c.connection->is_closed()) return;
    timers_.cancel(c.linger_timer);
    c.connection->close();
    --open_count_;
    closed_.push_back(id);
    abandon_pending(id, c);
}

bool ClientConnections::has_closed(const RequestHandle& asker) {
    const auto at = clients_.find(asker.connection);
    if (at == clients_.end() || at->second.connection->is_closed()) return true;
    if (!at->second.connection->peer_has_closed()) return false;
    close(asker.connection, at->second);
    return true;
}

void ClientConnections::abandon_pending(std::uint64_t id, Client& c) {
    unanswered_commands_ -= c.pending.size();
    reserved_ -= std::exchange(c.reserved, 0);
    for (std::size_t i = 0; i < c.pending.size(); ++i) {
        budget_.used -= c.pending[i].text.size();
        reserved_ -= c.pending[i].reserved;
        if (c.pending[i].stream != 0) {
            stream_callbacks_.on_abandoned(c.pending[i].stream);
        } else if (!c.pending[i].ready && c.pending[i].request != kNoRequest) {
            on_client_closed_({id, c.first_command + i}, c.pending[i].request);
        }
    }
    c.first_command += c.pending.size();
    c.pending.clear();
}

void ClientConnections::destroy_closed() {
    for (std::uint64_t id : closed_) clients_.erase(id);
    closed_.clear();
}

}  // namespace brookrelay
