// The part of ClientConnections that accepts connections, and that decides what gives way while all of them
// are in use. A command that waits in the listener's queue can't be answered, so a reserve of connections is
// kept for reading it. A request that is read there waits for a regular connection, for a part of its time at
// the most.
#include <algorithm>
#include <utility>

#include "downstream/client_connections.h"

namespace brookrelay {
namespace {

constexpr int kMaxAcceptsPerIteration = 64;
// Limits what is received of one client before the others have their turn.
constexpr std::size_t kMaxChunksPerIteration = 16;
// Failed accepts of one iteration after which accepting is paused. A failure may concern only the connection
// that was to be accepted.
constexpr int kMaxAcceptFailures = 4;
// Pause of the listener after failed accepts, or while all connections are in use and none gives way.
constexpr double kAcceptRetrySeconds = 0.01;
// While others wait to be accepted, a new client is evicted only after it has had this time to send its first
// command.
constexpr double kCrowdedFirstCommandGraceSeconds = 0.1;
// A request waits in the reserve for this fraction of its time, so that its client can still try elsewhere.
constexpr double kMaxReserveWaitFraction = 0.5;
// While others wait to be accepted, a request is refused after this time in the reserve.
constexpr double kCrowdedReserveWaitSeconds = 0.05;
// While others wait to be accepted, a client of the reserve has this time to complete a command, or to take
// its responses.
constexpr double kCrowdedCommandSeconds = 0.01;
// A client that has sent nothing for this time inside a command gives its regular connection to a request
// that waits for one.
constexpr double kCrowdedStallSeconds = 1.0;
constexpr const char* kBusyLine = "SERVER_ERROR busy";

}  // namespace

void ClientConnections::accept_connections() {
    int failures = 0;
    for (int accepted = 0; accepted < kMaxAcceptsPerIteration && listener_.has_waiting(); ++accepted) {
        if (!has_room()) return pause_accepting("all client connections are in use");
        Listener::AcceptResult result = listener_.accept();
        if (result.socket != nullptr) {
            accept_client(std::move(result.socket));
            continue;
        }
        if (result.would_block()) return;
        if (++failures == kMaxAcceptFailures) return pause_accepting(result.error->message);
    }
}

void ClientConnections::pause_accepting(const char* cause) {
    log_.line(Topic::client, "accepting_waits", std::string("accepting connections is paused: ") + cause);
    is_accepting_paused_ = true;
    listener_.pause(kAcceptRetrySeconds);
}

void ClientConnections::accept_client(SocketRef socket) {
    const std::uint64_t id = ++last_id_;
    Client& client = clients_[id];
    client.is_in_reserve = !slots_.has_regular();
    slots_.open_one(client.is_in_reserve);
    if (client.is_in_reserve)
        log_.line(Topic::client, "reserve_used",
                  "all client connections are in use: a new one is in the reserve");
    client.last_used = client.last_received = client.in_reserve_since = monotonic_now();
    client.connection = std::make_unique<TcpConnection>(
        std::move(socket), limits_.read_limit, budget_,
        [this, id, &client](TcpConnection::Event event) { on_event(id, client, event); });
    client.connection->set_chunks_per_iteration(kMaxChunksPerIteration);
}

// Returns whether another connection may be accepted. If necessary, closes one that gives way.
bool ClientConnections::has_room() {
    if (slots_.has_regular() || evict_idle() || slots_.has_any()) return true;
    return clear_reserve_connection() && evict_idle();
}

// Returns whether the client can be closed without losing a command. A command sent on an accepted connection
// counts as accepted even while it is unread, and a client that has just connected is about to send one.
bool ClientConnections::is_between_commands(const Client& client, double first_command_grace) {
    const bool just_connected =
        client.first_command == 0 && monotonic_now() - client.last_used < first_command_grace;
    return !client.connection->is_closed() && client.pending.empty() && !just_connected &&
           !client.skipped_value && !client.connection->has_unread_input();
}

// Returns the client that has been idle the longest and can be closed, or the end.
ClientConnections::ClientMap::iterator ClientConnections::find_longest_idle(bool is_reserve_included) {
    auto oldest = clients_.end();
    for (auto entry = clients_.begin(); entry != clients_.end(); ++entry) {
        const Client& client = entry->second;
        if (client.is_in_reserve && !is_reserve_included) continue;
        if (oldest != clients_.end() && client.last_used >= oldest->second.last_used) continue;
        if (client.connection->unwritten_bytes() > 0) continue;
        const bool is_lingering = client.is_closing && !client.connection->is_closed();
        if (is_lingering || is_between_commands(client, kCrowdedFirstCommandGraceSeconds)) oldest = entry;
    }
    return oldest;
}

// Closes the connection that has been idle the longest. Returns false if none can be closed.
bool ClientConnections::evict_idle() {
    const auto idle = find_longest_idle(true);
    if (idle == clients_.end()) return false;
    close(idle->first, idle->second, CloseReason::evicted);
    return true;
}

// Returns the client with a regular connection that has been silent inside a command for the longest time, or
// the end.
ClientConnections::ClientMap::iterator ClientConnections::find_longest_stalled() {
    const double stalled_before = monotonic_now() - kCrowdedStallSeconds;
    auto oldest = clients_.end();
    for (auto entry = clients_.begin(); entry != clients_.end(); ++entry) {
        const Client& client = entry->second;
        if (client.is_in_reserve || client.is_reading_stopped || client.connection->is_closed()) continue;
        if (!client.pending.empty() || client.connection->unwritten_bytes() > 0) continue;
        if (client.pause_reason != PauseReason::none || client.last_received > stalled_before) continue;
        if (client.connection->input().empty() && !client.skipped_value) continue;
        if (client.connection->has_unreceived_input()) continue;
        if (oldest == clients_.end() || client.last_received < oldest->second.last_received) oldest = entry;
    }
    return oldest;
}

// Makes the client's connection a regular one, if one is free or belongs to a client that is idle or has
// stopped inside a command, which then has the one in the reserve.
bool ClientConnections::claim_regular_connection(Client& client) {
    if (!slots_.has_regular()) {
        auto other = find_longest_idle(false);
        if (other == clients_.end()) other = find_longest_stalled();
        if (other == clients_.end()) return false;
        other->second.is_in_reserve = true;
        other->second.in_reserve_since = monotonic_now();
        slots_.enter_reserve();
    }
    client.is_in_reserve = false;
    slots_.leave_reserve();
    return true;
}

// Decides about the command at the start of the input of a client in the reserve. Only requests need a
// regular connection. Others, and commands that are incomplete, are handled like those of any client.
ClientConnections::ReserveDecision ClientConnections::decide_in_reserve(Client& client) {
    if (!client.is_in_reserve) return ReserveDecision::handle;
    Command command;
    ValuePosition value;
    const std::size_t command_bytes = parse_command(client.connection->input(), command, value);
    if (command_bytes == 0 || !is_request(command)) return ReserveDecision::handle;
    if (client.waiting_in_reserve_since == 0) begin_wait_in_reserve(client, command);
    if (!client.must_leave_reserve && claim_regular_connection(client)) {
        client.waiting_in_reserve_since = 0;
        return ReserveDecision::handle;
    }
    if (client.must_leave_reserve || monotonic_now() >= client.give_up_at) {
        client.waiting_in_reserve_since = 0;
        refuse_in_reserve(client, command_bytes);
        return ReserveDecision::refused;
    }
    client.pause_reason = PauseReason::connection_limit;
    return ReserveDecision::wait;
}

void ClientConnections::begin_wait_in_reserve(Client& client, const Command& command) {
    client.waiting_in_reserve_since = std::min(monotonic_now(), client.connection->received_at());
    client.give_up_at =
        client.waiting_in_reserve_since + kMaxReserveWaitFraction * command.attributes.time_remaining;
    timers_.schedule(client.give_up_at, [this] { serve_reserve(); });
}

void ClientConnections::refuse_in_reserve(Client& client, std::size_t command_bytes) {
    log_.line(Topic::client, "refused_in_reserve", "request rejected: all client connections are in use");
    ++refused_in_reserve_;
    refuse_received_command(client, command_bytes);
}

// Makes the longest waiting client of the reserve give way, if one has had its time: its requests are
// refused, or its incomplete command is. Returns false if there is none.
bool ClientConnections::clear_reserve_connection() {
    const double now = monotonic_now();
    auto oldest = clients_.end();
    for (auto entry = clients_.begin(); entry != clients_.end(); ++entry) {
        const Client& client = entry->second;
        if (!client.is_in_reserve || client.is_reading_stopped || client.connection->is_closed()) continue;
        const bool is_waiting = client.pause_reason == PauseReason::connection_limit;
        const bool is_silent = !client.connection->has_unread_input() && !client.skipped_value &&
                               client.connection->unwritten_bytes() == 0;
        if (is_silent) continue;  // evict_idle() closes it in time
        const bool is_unread = client.last_received <= client.in_reserve_since;
        if (is_unread && client.connection->has_unreceived_input()) continue;  // it is read in this iteration
        const double since = is_waiting ? client.waiting_in_reserve_since : client.in_reserve_since;
        if (now - since < (is_waiting ? kCrowdedReserveWaitSeconds : kCrowdedCommandSeconds)) continue;
        if (oldest == clients_.end() || client.in_reserve_since < oldest->second.in_reserve_since)
            oldest = entry;
    }
    if (oldest == clients_.end()) return false;
    give_way(oldest->first, oldest->second);
    return true;
}

void ClientConnections::give_way(std::uint64_t id, Client& client) {
    if (client.pause_reason == PauseReason::connection_limit) {
        client.must_leave_reserve = true;
        read_commands(id, client);
        client.must_leave_reserve = false;
        return close_if_done(id, client);
    }
    if (client.connection->unwritten_bytes() > 0) return close(id, client, CloseReason::unread_responses);
    reject_connection(id, client, kBusyLine);
}

// Called wherever a connection may have become free. Reading starts new requests, so it is deferred to the
// next iteration of the main loop.
void ClientConnections::schedule_reserve() {
    const bool is_anyone_waiting = slots_.in_reserve() > 0 || is_accepting_paused_;
    if (!is_anyone_waiting || reserve_timer_.second != 0) return;
    reserve_timer_ = timers_.schedule(monotonic_now(), [this] {
        reserve_timer_ = {};
        serve_reserve();
        if (std::exchange(is_accepting_paused_, false)) listener_.resume();
    });
}

// Continues with the requests that wait in the reserve, the longest waiting first: each is served, refused,
// or waits on.
void ClientConnections::serve_reserve() {
    std::vector<std::pair<double, std::uint64_t>> waiting;
    for (const auto& [id, client] : clients_) {
        if (client.is_in_reserve && client.pause_reason == PauseReason::connection_limit)
            waiting.emplace_back(client.waiting_in_reserve_since, id);
    }
    std::sort(waiting.begin(), waiting.end());
    bool is_none_free = false;
    for (const auto& [since, id] : waiting) {
        Client& client = clients_.at(id);
        if (client.connection->is_closed()) continue;
        if (is_none_free && monotonic_now() < client.give_up_at) continue;
        client.last_used = client.last_received = monotonic_now();
        read_commands(id, client);
        is_none_free = is_none_free || client.pause_reason == PauseReason::connection_limit;
        close_if_done(id, client);
    }
}

}  // namespace brookrelay
