#include "downstream/client_connections.h"

#include <algorithm>
#include <utility>

namespace brookrelay {
namespace {

// Half of the byte budget may be reserved for the long values that clients write.
constexpr std::size_t kReservedShareDivisor = 2;
// In a shutdown, a new client is not closed before it has had this time to send its first command.
constexpr double kFirstCommandGraceSeconds = 0.5;
// A connection that is idle for this time between two commands is closed.
constexpr double kIdleTimeoutSeconds = 30.0;
// Clients that send one command and stay connected could occupy all connections. When the idle connections
// exceed this fraction of the connection limit, the longest idle ones are closed.
constexpr double kMaxIdleFraction = 0.1;
// A connection that has been idle for less is not closed, because its next command may be on its way.
constexpr double kMinIdleSeconds = 0.05;
// A client that reads none of its pending responses for this time is closed.
constexpr double kUnreadResponseTimeoutSeconds = 10.0;
constexpr double kTimeoutCheckIntervalSeconds = 0.05;
// Closing a socket with unread input resets the connection and loses responses that are not yet delivered.
// Therefore the write side is shut down first, and further input is read and discarded for this time.
constexpr double kLingerSeconds = 1.0;

}  // namespace

ClientConnections::ClientConnections(TimerQueue& timers, Log& log, ViolationCounter& violations,
                                     const Limits& limits, OnCommand on_command,
                                     OnClientClosed on_client_closed,
                                     HiddenCloseCallbacks hidden_close_callbacks,
                                     StreamCallbacks stream_callbacks)
    : timers_(timers),
      log_(log),
      violations_(violations),
      limits_(limits),
      budget_{limits.bytes},
      on_command_(std::move(on_command)),
      on_client_closed_(std::move(on_client_closed)),
      hidden_close_callbacks_(std::move(hidden_close_callbacks)),
      stream_callbacks_(std::move(stream_callbacks)),
      long_write_memory_(limits.bytes / kReservedShareDivisor),
      listener_(timers, G_PRIORITY_DEFAULT, [this] { accept_connections(); }),
      slots_(limits.connections) {
    check_clients();
}

void ClientConnections::listen(SocketRef listener) { listener_.open(std::move(listener)); }

void ClientConnections::set_budget_shares(double connections, double bytes) {
    slots_.set_limit(static_cast<std::size_t>(connections * static_cast<double>(limits_.connections)));
    budget_.limit = static_cast<std::size_t>(bytes * static_cast<double>(limits_.bytes));
    long_write_memory_.set_limit(budget_.limit / kReservedShareDivisor);
}

void ClientConnections::stop_accepting() { listener_.close(); }

void ClientConnections::on_event(std::uint64_t id, Client& client, TcpConnection::Event event) {
    if (event == TcpConnection::Event::closed) return close(id, client, CloseReason::peer_closed);
    if (event == TcpConnection::Event::readable) {
        client.arrival_times.on_received(client.connection->input().size(), client.connection->received_at());
        client.last_received = monotonic_now();
        if (!client.is_closing) client.last_used = client.last_received;
    }
    if (event == TcpConnection::Event::drained && client.is_closing) start_lingering_close(id, client);
    if (client.pause_reason == PauseReason::turn_used) {
        update_read_ahead(client);
    } else {
        read_commands(id, client);
    }
    if (event == TcpConnection::Event::drained && !client.pending.empty() &&
        client.pending.front().stream != 0)
        stream_callbacks_.on_writable(client.pending.front().stream);
    if (budget_.exceeded() && client.reserved_bytes == 0 && client.connection->input().size() > kMaxLineBytes)
        return shed_input(id, client);
    close_if_done(id, client);
}

double ClientConnections::consume(Client& client, std::size_t bytes) {
    client.connection->consume(bytes);
    return client.arrival_times.on_consumed(bytes);
}

void ClientConnections::discard_input(Client& client) {
    (void)consume(client, client.connection->input().size());
}

// Handles the commands in the input, but only as many as the client may have handled in this turn.
void ClientConnections::read_commands(std::uint64_t id, Client& client) {
    client.pause_reason = PauseReason::none;
    for (int handled = 0; !client.is_reading_stopped; ++handled) {
        if (client.skipped_value && !skip_value(id, client)) break;
        if (client.connection->input().empty()) break;
        const PauseReason reason = find_pause_reason(client);
        if (reason != PauseReason::none) {
            record_pause_reason(id, client, reason);
            break;
        }
        if (handled == TurnBudget::kMaxCommandsPerClient || !turn_.has_time(monotonic_now())) {
            wait_for_turn(id, client);
            break;
        }
        const ReserveDecision decision = decide_in_reserve(client);
        if (decision == ReserveDecision::wait) break;
        if (decision == ReserveDecision::handle && !read_command(id, client)) break;
    }
    if (client.is_reading_stopped) discard_input(client);
    update_read_ahead(client);
    refuse_commands_without_space(id, client);
    write_responses(client);
}

// Handles the command at the start of the input. Returns false if it is not complete.
bool ClientConnections::read_command(std::uint64_t id, Client& client) {
    Command command;
    ValuePosition value;
    const std::size_t parsed_bytes = parse_command(client.connection->input(), command, value);
    if (parsed_bytes == 0) {
        if (reserve_long_value(client)) return false;
        if (is_waiting_too_long(client)) {
            refuse_long_write(client);
            return true;
        }
        client.pause_reason = PauseReason::value_memory_limit;
        return false;
    }
    if (is_request(command) && close_hidden_for(client, monotonic_now()) > kMaxCloseHidden) {
        client.pause_reason = PauseReason::close_hidden;
        return false;
    }
    const std::size_t command_bytes = memory_of(command) + value.length;
    const bool is_accepted = has_memory_for(client, command_bytes);
    if (is_accepted) {
        command.value = SharedBytes(client.connection->take(parsed_bytes, value.begin, value.length));
    } else {
        client.connection->consume(parsed_bytes);
    }
    const double received_at = take_arrival_time(client, client.arrival_times.on_consumed(parsed_bytes));
    if (is_accepted) {
        handle_command(id, client, std::move(command), command_bytes, received_at);
    } else {
        log_.line(Topic::client, "command_refused", "command rejected: the byte budget is used up");
        refuse_command(client);
    }
    return true;
}

void ClientConnections::handle_command(std::uint64_t id, Client& client, Command&& command,
                                       std::size_t command_bytes, double received_at) {
    last_command_at_ = monotonic_now();
    ++commands_read_;
    PendingResponse& response = client.pending.emplace_back();
    if (client.reserved_bytes > 0) client.connection->set_read_limit(limits_.read_limit);
    response.reserved_bytes = std::exchange(client.reserved_bytes, 0);
    response.command_bytes = command_bytes;
    budget_.used += command_bytes;
    ++unanswered_commands_;
    if (is_request(command)) {
        response.request = on_command_({id, client.first_command + client.pending.size() - 1},
                                       std::move(command), received_at);
        return;
    }
    if (command.kind == Command::Kind::hello) {
        finish_response(response, "MN\r\n");
    } else {
        const std::string error = command.error;
        log_.line(Topic::client, error.empty() ? "unknown_command" : "malformed",
                  error.empty() ? "unknown command" : "malformed: " + error);
        finish_response(response, error.empty() ? "ERROR\r\n" : "CLIENT_ERROR " + error + "\r\n");
        if (command.framing_lost) stop_reading(client, CloseReason::rejected);
    }
}

void ClientConnections::finish_response(PendingResponse& response, std::string text) {
    budget_.used += text.size();
    response.is_ready = true;
    response.text = std::move(text);
}

// Sends an error line after the pending responses and discards all further input.
void ClientConnections::reject_connection(std::uint64_t id, Client& client, const char* line) {
    log_.line(Topic::client, "turned_away", std::string("client connection rejected: ") + line);
    finish_response(client.pending.emplace_back(), std::string(line) + "\r\n");
    ++unanswered_commands_;
    stop_reading(client, CloseReason::rejected);
    release_reservation(client);
    discard_input(client);
    write_responses(client);
    close_if_done(id, client);
}

// Frees the memory of an incomplete command. A write is rejected, and the rest of its value is discarded as
// it arrives; any other long incomplete command is rejected together with its connection. Complete commands
// stay in the input, which is bounded: an answer to each at once would occupy more than they do.
void ClientConnections::shed_input(std::uint64_t id, Client& client) {
    Command command;
    ValuePosition value;
    if (parse_command(client.connection->input(), command, value) > 0) return close_if_done(id, client);
    const WriteHeader header = parse_write_header(client.connection->input());
    if (header.header_bytes == 0 || header.length > kMaxValueBytes)
        return reject_connection(id, client, kOutOfMemoryLine);
    refuse_long_write(client);
    read_commands(id, client);
    close_if_done(id, client);
}

void ClientConnections::check_clients() {
    const double now = monotonic_now();
    revoke_stalled_reservations(now);
    for (auto& [id, client] : clients_) {
        const bool is_waiting = client.pause_reason == PauseReason::value_memory_limit ||
                                client.pause_reason == PauseReason::close_hidden;
        if (!client.connection->is_closed() && is_waiting) read_commands(id, client);
        if (!client.connection->is_closed()) report_hidden_close(id, client, now);
        if (!client.connection->is_closed()) check_timeouts(id, client, now);
        if (is_shutting_down_ && !client.connection->is_closed()) close_if_done(id, client);
    }
    resume_buffered_streams();
    close_longest_idle(now);
    timers_.schedule(now + kTimeoutCheckIntervalSeconds, [this] { check_clients(); });
}

void ClientConnections::close_longest_idle(double now) {
    const auto max_idle = static_cast<std::size_t>(kMaxIdleFraction * static_cast<double>(slots_.limit()));
    if (slots_.open() <= max_idle)
        return;  // avoids the loop below, which makes a system call for each client
    std::vector<std::pair<double, std::uint64_t>> idle;
    for (const auto& [id, client] : clients_) {
        const bool is_answered = client.first_command > 0 && client.connection->unwritten_bytes() == 0 &&
                                 !client.is_reading_stopped;
        if (is_answered && is_between_commands(client, kFirstCommandGraceSeconds))
            idle.emplace_back(client.last_used, id);
    }
    std::sort(idle.begin(), idle.end());
    for (std::size_t i = 0; i + max_idle < idle.size() && now - idle[i].first >= kMinIdleSeconds; ++i)
        close_gracefully(idle[i].second, clients_.at(idle[i].second), CloseReason::too_many_idle);
}

// Counts the response bytes that the client has not taken. While the connection is open, those in the kernel
// are not counted: they do not occupy this node's memory.
std::size_t ClientConnections::unread_response_bytes(const Client& client) {
    const std::size_t unwritten = client.connection->unwritten_bytes();
    return client.is_closing ? unwritten + client.connection->unacknowledged_bytes() : unwritten;
}

void ClientConnections::check_timeouts(std::uint64_t id, Client& client, double now) {
    if (const std::size_t unread = unread_response_bytes(client); unread != client.unread_response_bytes) {
        client.unread_response_bytes = unread;
        client.unread_since = now;
    }
    // A client is not silent while this node has paused reading its input or has not yet received it.
    const bool is_read = !client.is_reading_stopped && client.pause_reason == PauseReason::none &&
                         !client.connection->has_unreceived_input();
    const bool is_in_command = !client.connection->input().empty() || client.skipped_value;
    const bool is_stalled_in_command =
        is_read && is_in_command && now - client.last_received >= kSilenceTimeoutSeconds;
    const bool is_silent = is_read && !is_in_command && now - client.last_used >= kSilenceTimeoutSeconds;
    if (client.unread_response_bytes > 0) {
        const double limit = is_stalled_in_command ? kSilenceTimeoutSeconds : kUnreadResponseTimeoutSeconds;
        if (now - client.unread_since >= limit) close(id, client, CloseReason::unread_responses);
    } else if (is_stalled_in_command && client.skipped_value) {
        stop_reading(client, CloseReason::rejected);  // its command is already answered
        close_if_done(id, client);
    } else if (is_stalled_in_command) {
        reject_connection(id, client, "CLIENT_ERROR incomplete command");
    } else if (is_silent && client.pending.empty() &&
               (client.first_command == 0 || now - client.last_used >= kIdleTimeoutSeconds)) {
        close(id, client, client.first_command == 0 ? CloseReason::first_command_late : CloseReason::idle);
    }
}

void ClientConnections::close_if_done(std::uint64_t id, Client& client) {
    const bool is_done = client.is_reading_stopped
                             ? client.pending.empty()
                             : is_shutting_down_ && is_between_commands(client, kFirstCommandGraceSeconds);
    if (!is_done || client.is_closing) return;
    const bool is_idle = client.connection->unwritten_bytes() == 0 &&
                         !client.connection->has_unacknowledged_output() &&
                         monotonic_now() - client.last_used >= kMinIdleSeconds;
    const CloseReason reason = client.is_reading_stopped ? client.close_reason : CloseReason::shutdown;
    if (close_idle_at_once_ && !client.is_reading_stopped && is_idle) return close(id, client, reason);
    close_gracefully(id, client, reason);
}

CloseFacts ClientConnections::close_facts(const Client& client) const {
    return {client.pending.size(), client.connection->has_unread_input()};
}

void ClientConnections::stop_reading(Client& client, CloseReason reason) {
    client.is_reading_stopped = true;
    client.close_reason = reason;
}

void ClientConnections::report_lost_commands(std::uint64_t id, const Client& client, CloseReason reason,
                                             std::size_t unanswered) {
    if (!loses_commands(reason, {unanswered, false})) return;
    violations_.report(Violation::commands_lost,
                       "connection " + std::to_string(id) + " closed with reason " +
                           std::string(name_of(reason)) + ": " + std::to_string(unanswered) + " of " +
                           std::to_string(client.first_command + client.pending.size()) +
                           " commands unanswered");
}

void ClientConnections::close_gracefully(std::uint64_t id, Client& client, CloseReason reason) {
    if (!may_close(reason, close_facts(client))) return;
    stop_reading(client, reason);
    client.is_closing = true;
    client.connection->shutdown_write();
    start_lingering_close(id, client);
}

// Starts or restarts the linger time, which counts from when the client has taken all output, so that a slow
// client can still read its last response completely.
void ClientConnections::start_lingering_close(std::uint64_t id, Client& client) {
    timers_.cancel(client.linger_timer);
    client.linger_timer = timers_.schedule(monotonic_now() + kLingerSeconds, [this, id, &client] {
        client.linger_timer = {};
        if (unread_response_bytes(client) > 0) {
            start_lingering_close(id, client);
        } else {
            close(id, client, client.close_reason);
        }
    });
}

void ClientConnections::begin_shutdown(bool at_once) {
    is_shutting_down_ = true;
    close_idle_at_once_ = at_once;
    for (auto& [id, client] : clients_) {
        if (!client.connection->is_closed()) close_if_done(id, client);
    }
}

// Depends on commands rather than connections, because some clients connect and never send a command.
bool ClientConnections::idle_since(double time) const {
    return last_command_at_ < time && std::all_of(clients_.begin(), clients_.end(), [](const auto& entry) {
               const Client& client = entry.second;
               return client.connection->is_closed() ||
                      (client.pending.empty() && client.connection->unwritten_bytes() == 0 &&
                       !client.connection->has_unread_input());
           });
}

bool ClientConnections::has_undelivered_responses() const {
    return std::any_of(clients_.begin(), clients_.end(), [](const auto& entry) {
        const Client& client = entry.second;
        if (client.connection->is_closed()) return false;
        return !client.pending.empty() || unread_response_bytes(client) > 0;
    });
}

void ClientConnections::close(std::uint64_t id, Client& client, CloseReason reason) {
    if (client.connection->is_closed()) return;
    if (!client.is_closing && !may_close(reason, close_facts(client)))
        violations_.report(
            Violation::closed_while_in_use,
            "connection " + std::to_string(id) + " closed with reason " + std::string(name_of(reason)));
    report_lost_commands(id, client, reason, unanswered_commands(client));
    ++closed_counts_[static_cast<std::size_t>(reason)];
    timers_.cancel(client.linger_timer);
    client.connection->close();
    slots_.close_one(client.is_in_reserve);
    client.is_in_reserve = false;
    schedule_reserve();
    closed_.push_back(id);
    abandon_pending(id, client);
}

bool ClientConnections::close_if_client_closed(const RequestHandle& handle) {
    const auto entry = clients_.find(handle.connection);
    if (entry == clients_.end() || entry->second.connection->is_closed()) return true;
    if (!entry->second.connection->peer_has_closed()) return false;
    close(handle.connection, entry->second, CloseReason::peer_closed);
    return true;
}

void ClientConnections::abandon_pending(std::uint64_t id, Client& client) {
    unanswered_commands_ -= client.pending.size();
    release_reservation(client);
    for (std::size_t i = 0; i < client.pending.size(); ++i) {
        release_memory(client.pending[i]);
        release_refusals(client, client.pending[i]);
        if (client.pending[i].stream != 0) {
            stream_callbacks_.on_abandoned(client.pending[i].stream);
        } else if (is_open_request(client.pending[i])) {
            on_client_closed_({id, client.first_command + i}, client.pending[i].request);
        }
    }
    client.first_command += client.pending.size();
    client.pending.clear();
    schedule_resume();
}

void ClientConnections::destroy_closed() {
    for (std::uint64_t id : closed_) clients_.erase(id);
    closed_.clear();
}

}  // namespace brookrelay
