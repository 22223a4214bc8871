// The part of ClientConnections that keeps the close of a client visible. A close follows all that the client
// has sent before it. While requests may still be sent to servers for the client, its input is therefore
// received, and the commands for which there is no space are refused.
#include <algorithm>
#include <utility>

#include "downstream/client_connections.h"

namespace brookrelay {
namespace {

// Limits the refused commands whose responses wait for those of earlier commands, for one client.
constexpr std::size_t kMaxWaitingRefusals = 100'000;

}  // namespace

double ClientConnections::close_hidden_for(const RequestHandle& handle) const {
    const auto entry = clients_.find(handle.connection);
    return entry == clients_.end() ? 0 : close_hidden_for(entry->second, monotonic_now());
}

double ClientConnections::close_hidden_for(const Client& client, double now) {
    const double since = client.connection->close_hidden_since();
    return since == 0 ? 0 : now - since;
}

// Returns whether bytes may still be sent to servers for a client that may have gone.
bool ClientConnections::must_see_close(const Client& client) const {
    if (client.pause_reason == PauseReason::close_hidden) return true;
    return std::any_of(client.pending.begin(), client.pending.end(), [this](const auto& response) {
        return is_open_request(response) && hidden_close_callbacks_.is_unsent(response.request);
    });
}

// Refuses commands at the start of the input while more input waits than there is space for. The commands
// that were read earlier are served.
void ClientConnections::refuse_commands_without_space(std::uint64_t id, Client& client) {
    const bool is_paused = client.pause_reason != PauseReason::none &&
                           client.pause_reason != PauseReason::turn_used &&
                           client.pause_reason != PauseReason::value_memory_limit &&
                           client.pause_reason != PauseReason::connection_limit;
    if (!is_paused || !client.connection->is_read_buffer_full() || !must_see_close(client)) return;
    while (client.connection->is_read_buffer_full() && client.connection->has_unreceived_input()) {
        if (!turn_.has_time(monotonic_now())) return wait_for_turn(id, client);
        if (!refuse_next_command(id, client)) return;
    }
}

// Refuses the request at the start of the input. Returns false if there is none, or too many are refused.
bool ClientConnections::refuse_next_command(std::uint64_t id, Client& client) {
    const bool must_keep_refusal = !client.pending.empty();  // until the responses before it are written
    if (must_keep_refusal && (client.waiting_refusals >= kMaxWaitingRefusals || budget_.exceeded()))
        return false;
    const std::string_view input = client.connection->input();
    Command command;
    ValuePosition value;
    const std::size_t command_bytes = parse_command(input, command, value);
    if (command_bytes == 0) {
        if (parse_write_header(input).length == 0) return false;
        refuse_long_write(client);
        return skip_value(id, client);
    }
    if (!is_request(command)) return false;
    log_.line(Topic::client, "command_without_space",
              "command rejected: its client has sent more behind open requests than can be received");
    refuse_received_command(client, command_bytes);
    return true;
}

// Removes the complete request at the start of the input, and answers it as rejected.
void ClientConnections::refuse_received_command(Client& client, std::size_t command_bytes) {
    ++commands_read_;
    last_command_at_ = monotonic_now();
    client.connection->consume(command_bytes);
    (void)take_arrival_time(client, client.arrival_times.on_consumed(command_bytes));
    if (client.reserved_bytes > 0) client.connection->set_read_limit(limits_.read_limit);
    release_reservation(client);
    refuse_command(client);
}

// Answers the command that was just removed from the input as rejected.
void ClientConnections::refuse_command(Client& client) {
    if (client.pending.empty()) {
        finish_response(client.pending.emplace_back(), refusal_line());
        ++unanswered_commands_;
        return;
    }
    ++client.pending.back().refused_behind;
    ++client.waiting_refusals;
    budget_.used += refusal_line().size();
}

// Appends the responses to the commands that were refused behind the command of `response`.
void ClientConnections::append_refusals(const PendingResponse& response, std::string& text) {
    for (std::size_t i = 0; i < response.refused_behind; ++i) text += refusal_line();
}

void ClientConnections::release_refusals(Client& client, PendingResponse& response) {
    const std::size_t refused = std::exchange(response.refused_behind, 0);
    client.waiting_refusals -= refused;
    budget_.used -= refused * refusal_line().size();
}

// Returns how many commands of the client are read and not answered.
std::size_t ClientConnections::unanswered_commands(const Client& client) {
    return client.pending.size() + client.waiting_refusals;
}

// Reports the requests for which nothing more may arrive at a server. Also keeps the time since which a close
// is hidden up to date while reading is paused.
void ClientConnections::report_hidden_close(std::uint64_t id, const Client& client, double now) {
    if (close_hidden_for(client, now) <= kMaxCloseHidden) return;
    for (std::size_t i = 0; i < client.pending.size(); ++i) {
        if (is_open_request(client.pending[i]))
            hidden_close_callbacks_.on_hidden({id, client.first_command + i}, client.pending[i].request);
    }
}

const std::string& ClientConnections::refusal_line() {
    static const std::string line = format_busy(0);
    return line;
}

}  // namespace brookrelay
