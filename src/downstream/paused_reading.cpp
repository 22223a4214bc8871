// The part of ClientConnections that decides when a client's commands are left unread, and resumes reading.
#include <algorithm>
#include <utility>

#include "downstream/client_connections.h"

namespace brookrelay {
namespace {

// Limits the unanswered commands of one client.
constexpr std::size_t kMaxPipelinedCommands = 32;
// Clients may pipeline while the unanswered commands of all clients are fewer than this fraction of the
// connection limit.
constexpr double kPipelinedCommandsFraction = 0.25;
// Limits the input that is received behind the open commands of one client.
constexpr std::size_t kMaxReadAheadBytes = std::size_t{4} * 1024 * 1024;
// The part of the byte budget that the input behind the open commands of one client may occupy.
constexpr std::size_t kReadAheadDivisor = 4;
// The part of the byte budget up to which more than the ordinary input is received.
constexpr std::size_t kTotalReadAheadDivisor = 2;

}  // namespace

// A command and its response can each hold a value of the maximum size, so the number of commands pipelined
// by all clients is limited. The limit does not apply to the first unanswered command of a client.
bool ClientConnections::is_total_command_limit_reached() const {
    return static_cast<double>(unanswered_commands_) >=
           kPipelinedCommandsFraction * static_cast<double>(slots_.limit());
}

ClientConnections::PauseReason ClientConnections::find_pause_reason(const Client& client) const {
    // Commands are not read from a client that does not read its responses.
    if (client.connection->unwritten_bytes() > 0) return PauseReason::unread_responses;
    if (client.pending.size() >= kMaxPipelinedCommands) return PauseReason::client_command_limit;
    // A streamed response that breaks off closes the connection, and commands read after it would be lost.
    const bool has_stream = std::any_of(client.pending.begin(), client.pending.end(),
                                        [](const PendingResponse& response) { return response.stream != 0; });
    if (has_stream) return PauseReason::client_command_limit;
    return !client.pending.empty() && is_total_command_limit_reached() ? PauseReason::total_command_limit
                                                                       : PauseReason::none;
}

// Marks the client as paused only if its next command is complete or only waits for memory. A client that has
// stopped inside a command counts as silent even if another reason to pause applies.
void ClientConnections::record_pause_reason(std::uint64_t id, Client& client, PauseReason reason) {
    const std::string_view input = client.connection->input();
    Command command;
    ValuePosition value;
    const bool is_command_available =
        (input.size() >= limits_.read_limit && parse_write_header(input).length > 0) ||
        parse_command(input, command, value) > 0;
    if (!is_command_available) return;
    client.pause_reason = reason;
    if (reason != PauseReason::total_command_limit) return;
    if (std::find(paused_clients_.begin(), paused_clients_.end(), id) == paused_clients_.end())
        paused_clients_.push_back(id);
}

// Receives more input while commands of the client are open, so that its close, which follows the input, is
// noticed before another attempt is made for them. The kernel reports a close only once it has received all
// input before it. What does not fit stays there, and hides a close: SendRefusal::close_hidden.
void ClientConnections::update_read_ahead(Client& client) {
    const bool is_behind_open_commands = client.pause_reason != PauseReason::none &&
                                         client.pause_reason != PauseReason::value_memory_limit &&
                                         !client.pending.empty();
    const bool has_command_waiting =
        is_behind_open_commands || client.pause_reason == PauseReason::close_hidden;
    if (client.skipped_value || client.connection->is_closed()) return;
    if (client.reserved_bytes > 0 && !has_command_waiting) return;  // reserve_long_value() has set the limit
    const bool has_memory = budget_.used < budget_.limit / kTotalReadAheadDivisor;
    const std::size_t read_ahead = std::min(kMaxReadAheadBytes, budget_.limit / kReadAheadDivisor);
    const std::size_t ordinary_limit =
        client.reserved_bytes > 0 ? client.reserved_bytes + 2 * kMaxLineBytes : limits_.read_limit;
    const std::size_t limit = ordinary_limit + (has_command_waiting && has_memory ? read_ahead : 0);
    if (client.connection->read_limit() != limit) client.connection->set_read_limit(limit);
}

// Called wherever commands are answered. Reading starts new requests, so it is deferred to the next iteration
// of the main loop.
void ClientConnections::schedule_resume() {
    if (paused_clients_.empty() || resume_timer_.second != 0) return;
    resume_timer_ = timers_.schedule(monotonic_now(), [this] {
        resume_timer_ = {};
        resume_paused_clients();
    });
}

void ClientConnections::wait_for_turn(std::uint64_t id, Client& client) {
    client.pause_reason = PauseReason::turn_used;
    ++turns_waited_;
    // A client that was resumed for another reason may still be in the queue.
    if (!std::exchange(client.is_queued_for_turn, true)) clients_waiting_for_turn_.push_back(id);
    schedule_turns();
}

void ClientConnections::schedule_turns() {
    if (clients_waiting_for_turn_.empty() || turn_timer_.second != 0) return;
    turn_timer_ = timers_.schedule(monotonic_now(), [this] {
        turn_timer_ = {};
        give_turns();
    });
}

// Continues with the commands of the clients that wait for a turn, the longest waiting first. Each may come
// to the end of the queue again.
void ClientConnections::give_turns() {
    for (std::size_t left = clients_waiting_for_turn_.size(); left > 0; --left) {
        const std::uint64_t id = clients_waiting_for_turn_.front();
        if (!turn_.has_time(monotonic_now())) break;
        clients_waiting_for_turn_.pop_front();
        const auto entry = clients_.find(id);
        if (entry == clients_.end()) continue;
        Client& client = entry->second;
        client.is_queued_for_turn = false;
        if (client.connection->is_closed() || client.pause_reason != PauseReason::turn_used) continue;
        read_commands(id, client);
        close_if_done(id, client);
    }
    schedule_turns();
}

void ClientConnections::resume_paused_clients() {
    for (std::size_t left = paused_clients_.size(); left > 0 && !is_total_command_limit_reached(); --left) {
        const std::uint64_t id = paused_clients_.front();
        paused_clients_.pop_front();
        const auto entry = clients_.find(id);
        if (entry == clients_.end() || entry->second.connection->is_closed()) continue;
        Client& client = entry->second;
        if (client.pause_reason != PauseReason::total_command_limit) continue;  // reading has already resumed
        client.last_used = client.last_received = monotonic_now();
        read_commands(id, client);
        close_if_done(id, client);
    }
}

}  // namespace brookrelay
