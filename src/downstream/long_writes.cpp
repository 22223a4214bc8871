// The part of ClientConnections that bounds the memory of values that clients write: reservations for long
// values, how long a command waits for one, and the rejection of commands for which there is no memory.
#include <algorithm>
#include <utility>

#include "downstream/client_connections.h"

namespace brookrelay {
namespace {

// A client that has sent nothing for this time inside a long value keeps memory only for what it has sent, if
// others wait for memory.
constexpr double kReservationStallSeconds = 0.25;
// A long write waits for memory for this fraction of its time, so that its client can still try elsewhere.
constexpr double kMaxMemoryWaitFraction = 0.5;
// A long write waits no longer than this while earlier requests of its client are not yet sent, because a
// close behind its value cannot be seen, and they would be refused.
constexpr double kMaxMemoryWaitBehindRequestsSeconds = 0.03;
// Shorter commands are accepted while the byte budget is exceeded. Their number is limited.
constexpr std::size_t kMaxSmallCommandBytes = 512;

}  // namespace

// Reserves memory for the whole long value at the start of the input, once the client has sent more of it
// than the ordinary read limit holds. Other clients with long values wait, so that no client has to be closed
// in the middle of its value. Returns false if this client has to wait.
bool ClientConnections::reserve_long_value(Client& client) {
    const bool has_reservation = client.reserved_bytes > 0 && !client.connection->is_read_buffer_full();
    // More than the ordinary limit may have been received behind open commands.
    if (has_reservation || client.connection->input().size() < limits_.read_limit) return true;
    const std::size_t length = parse_write_header(client.connection->input()).length;
    if (length == 0 || length > kMaxValueBytes) return true;  // rejected by the parser
    if (!long_write_memory_.try_reserve(client.reserved_bytes, length)) return false;
    client.reserved_bytes = length;
    MemoryWait& wait = client.memory_wait;
    if (wait.waiting_since > 0) {
        const double now = monotonic_now();
        wait.waited += now - std::exchange(wait.waiting_since, 0);
        // Input that waited in the kernel does not make the client silent.
        if (client.connection->has_unreceived_input()) client.last_used = client.last_received = now;
    }
    client.connection->set_read_limit(length + 2 * kMaxLineBytes);
    client.connection->reserve_input();
    return true;
}

void ClientConnections::release_reservation(Client& client) {
    long_write_memory_.release(std::exchange(client.reserved_bytes, 0));
}

// A client that stops inside a long value must not keep other long values waiting until it times out. If it
// continues, it reserves memory for the rest again.
void ClientConnections::revoke_stalled_reservations(double now) {
    const bool is_any_waiting = std::any_of(clients_.begin(), clients_.end(), [](const auto& entry) {
        return !entry.second.connection->is_closed() &&
               entry.second.pause_reason == PauseReason::value_memory_limit;
    });
    if (!is_any_waiting) return;
    for (auto& [id, client] : clients_) {
        const std::size_t received = client.connection->input().size();
        if (client.connection->is_closed() || client.reserved_bytes <= received) continue;
        if (now - client.last_received < kReservationStallSeconds) continue;
        if (client.connection->has_unreceived_input()) continue;
        long_write_memory_.release(client.reserved_bytes - received);
        client.reserved_bytes = received;
        client.connection->set_read_limit(received + 1);
    }
}

// Begins or continues the wait of the long write at the start of the input. Returns whether it has waited for
// as long as it may, by the time that its first line states.
bool ClientConnections::is_waiting_too_long(Client& client) {
    MemoryWait& wait = client.memory_wait;
    if (wait.waiting_since == 0) {
        wait.waiting_since = std::min(monotonic_now(), client.connection->received_at());
        if (wait.began_at == 0) wait.began_at = wait.waiting_since;
    }
    const WriteHeader header = parse_write_header(client.connection->input());
    const double max_wait =
        header.time_remaining > 0 ? kMaxMemoryWaitFraction * header.time_remaining : kSilenceTimeoutSeconds;
    const double now = monotonic_now();
    if (close_hidden_for(client, now) >= kMaxMemoryWaitBehindRequestsSeconds && must_see_close(client))
        return true;
    const double waited = wait.waited + now - wait.waiting_since;
    return waited >= std::min(max_wait, kSilenceTimeoutSeconds);
}

// Answers the long write at the start of the input as rejected and discards its value, of which nothing has
// been passed on. The connection remains usable.
void ClientConnections::refuse_long_write(Client& client) {
    log_.line(Topic::client, "long_write_refused",
              "long write rejected: no memory was available for its value in time");
    const WriteHeader header = parse_write_header(client.connection->input());
    (void)consume(client, header.header_bytes);
    client.skipped_value.emplace(header.length);
    client.memory_wait = {};
    release_reservation(client);
    client.connection->set_read_limit(limits_.read_limit);
    refuse_command(client);
}

// Returns what a command occupies apart from its value.
std::size_t ClientConnections::memory_of(const Command& command) {
    return command.key.size() + command.id.size() + command.attributes.text.size() +
           command.attributes.operation.size() + command.attributes.tenant.size();
}

// A command is kept until it is answered. Returns whether there is memory for it. For a long value it is
// reserved already.
bool ClientConnections::has_memory_for(const Client& client, std::size_t command_bytes) const {
    return command_bytes <= kMaxSmallCommandBytes || client.reserved_bytes > 0 ||
           budget_.used + command_bytes <= budget_.limit;
}

// Discards the received part of a refused command's value. Returns whether the value has ended.
bool ClientConnections::skip_value(std::uint64_t id, Client& client) {
    const ValueSkipper::Progress progress = client.skipped_value->skip(client.connection->input());
    (void)consume(client, progress.bytes);
    if (progress.status == ValueSkipper::Status::incomplete) return false;
    client.skipped_value.reset();
    if (progress.status == ValueSkipper::Status::complete) return true;
    reject_connection(id, client, "CLIENT_ERROR bad data chunk");
    return false;
}

// Returns when the command just consumed arrived at the earliest. While it waited for memory, its sender
// could not send the rest, so its last byte may have been sent earlier by the time of that wait.
double ClientConnections::take_arrival_time(Client& client, double received_at) {
    const MemoryWait wait = std::exchange(client.memory_wait, {});
    if (wait.waited == 0) return received_at;
    return std::min(received_at, std::max(wait.began_at, received_at - wait.waited));
}

}  // namespace brookrelay
