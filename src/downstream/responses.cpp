// The part of ClientConnections that writes responses in command order: complete ones, streamed ones, and
// streamed ones that are buffered until they are complete.
#include <algorithm>
#include <utility>

#include "downstream/client_connections.h"

namespace brookrelay {
namespace {

// Limits the bytes of a stream that are written to its connection but not yet taken by the kernel.
constexpr std::size_t kStreamWindowBytes = std::size_t{64} * 1024;
// The same while the byte budget is exceeded.
constexpr std::size_t kMinStreamWindowBytes = std::size_t{4} * 1024;
constexpr std::size_t kLineEndBytes = 2;
constexpr const char* kFailedLine = "SERVER_ERROR failed\r\n";

}  // namespace

void ClientConnections::respond(const RequestHandle& handle, std::string text) {
    const auto entry = clients_.find(handle.connection);
    if (entry == clients_.end() || entry->second.connection->is_closed()) return;
    Client& client = entry->second;
    const std::uint64_t index = handle.command - client.first_command;
    if (index >= client.pending.size() || client.pending[index].is_ready || client.pending[index].stream != 0)
        return;
    // Responses to clients that read slowly must not exceed the byte budget.
    const bool out_of_memory = budget_.exceeded() && text.size() > kMaxLineBytes;
    if (out_of_memory)
        log_.line(Topic::client, "answer_dropped", "response dropped: the byte budget is exceeded");
    finish_response(client.pending[index],
                    out_of_memory ? std::string(kOutOfMemoryLine) + "\r\n" : std::move(text));
    write_responses(client);
    read_commands(handle.connection, client);  // reading may have been paused until this response
    close_if_done(handle.connection, client);
}

ClientConnections::Client* ClientConnections::find(const RequestHandle& handle) {
    const auto entry = clients_.find(handle.connection);
    if (entry == clients_.end() || entry->second.connection->is_closed()) return nullptr;
    return handle.command - entry->second.first_command < entry->second.pending.size() ? &entry->second
                                                                                       : nullptr;
}

ClientConnections::PendingResponse& ClientConnections::response_to(Client& client,
                                                                   const RequestHandle& handle) {
    return client.pending[handle.command - client.first_command];
}

void ClientConnections::begin_stream(const RequestHandle& handle, std::string header, std::uint64_t stream,
                                     const StreamTerms& terms) {
    Client* client = find(handle);
    if (client == nullptr) return stream_callbacks_.on_abandoned(stream);
    PendingResponse& response = response_to(*client, handle);
    budget_.used += header.size();
    response.text = std::move(header);
    response.stream = stream;
    const bool is_last = handle.command + 1 == client->first_command + client->pending.size();
    const bool is_nothing_behind = is_last && client->connection->input().empty();
    if (terms.is_received || is_nothing_behind) return write_responses(*client);
    response.is_buffered = true;
    response.awaited_memory = terms.length;
    timers_.schedule(terms.give_up_at, [this, handle] { fail_buffered_response(handle); });
    if (reserve_buffer(response)) stream_callbacks_.on_writable(stream);
}

// Reserves memory for the body that a buffered response waits for. Returns false if it has to wait.
bool ClientConnections::reserve_buffer(PendingResponse& response) {
    if (budget_.used + response.awaited_memory > budget_.limit) return false;
    response.unfilled_bytes = std::exchange(response.awaited_memory, 0);
    budget_.used += response.unfilled_bytes;
    response.text.reserve(response.text.size() + response.unfilled_bytes + kLineEndBytes);
    return true;
}

// Gives back all memory that is counted or reserved for a response and for its command.
void ClientConnections::release_memory(PendingResponse& response) {
    budget_.used -= response.text.size();
    budget_.used -= std::exchange(response.unfilled_bytes, 0);
    budget_.used -= std::exchange(response.command_bytes, 0);
    response.text = {};
    long_write_memory_.release(std::exchange(response.reserved_bytes, 0));
}

void ClientConnections::resume_buffered_streams() {
    std::vector<std::uint64_t> resumed;
    for (auto& [id, client] : clients_) {
        for (PendingResponse& response : client.pending) {
            if (response.awaited_memory > 0 && reserve_buffer(response)) resumed.push_back(response.stream);
        }
    }
    for (const std::uint64_t stream : resumed) stream_callbacks_.on_writable(stream);
}

// Fails a buffered response that is not complete in time. None of it is written yet, so an error line can
// replace it before the client times out.
void ClientConnections::fail_buffered_response(const RequestHandle& handle) {
    Client* client = find(handle);
    if (client == nullptr || !response_to(*client, handle).is_buffered) return;
    PendingResponse& response = response_to(*client, handle);
    log_.line(Topic::client, "value_given_up",
              "long value abandoned: it was not complete in time while further commands of its client were "
              "pending");
    response.is_buffered = false;
    response.awaited_memory = 0;
    release_memory(response);
    stream_callbacks_.on_abandoned(std::exchange(response.stream, 0));
    finish_response(response, kFailedLine);
    write_responses(*client);
    read_commands(handle.connection, *client);
    close_if_done(handle.connection, *client);
}

// Responses are written in command order: a stream that is not first gets no capacity unless it is buffered,
// and its data remains on the server's connection.
std::size_t ClientConnections::stream_capacity(const RequestHandle& handle) const {
    const auto entry = clients_.find(handle.connection);
    if (entry == clients_.end() || entry->second.connection->is_closed()) return 0;
    const std::uint64_t index = handle.command - entry->second.first_command;
    if (index < entry->second.pending.size() && entry->second.pending[index].is_buffered)
        return entry->second.pending[index].awaited_memory > 0 ? 0 : kStreamWindowBytes;
    if (index != 0) return 0;
    const std::size_t unwritten = entry->second.connection->unwritten_bytes();
    const std::size_t window = budget_.exceeded() ? kMinStreamWindowBytes : kStreamWindowBytes;
    return unwritten < window ? window - unwritten : 0;
}

void ClientConnections::write_chunk(const RequestHandle& handle, std::string_view bytes) {
    Client* client = find(handle);
    if (client == nullptr) return;
    client->last_used = monotonic_now();
    PendingResponse& response = response_to(*client, handle);
    if (!response.is_buffered) return client->connection->write(bytes);
    response.text += bytes;
    response.unfilled_bytes -= bytes.size();
}

void ClientConnections::end_stream(const RequestHandle& handle, bool complete, std::string_view line) {
    Client* client = find(handle);
    if (client == nullptr) return;
    PendingResponse& response = response_to(*client, handle);
    response.stream = 0;
    response.is_buffered = false;
    response.awaited_memory = 0;
    budget_.used -= response.text.size() + std::exchange(response.unfilled_bytes, 0);
    std::string text = std::exchange(response.text, {});
    if (!complete && response.is_partly_written) {
        log_.line(Topic::client, "value_broken_off",
                  "client connection closed: the rest of a partly sent value is not available");
        // Earlier responses are still sent. The client detects the truncated value by the early end of the
        // connection.
        response.is_ready = true;
        stop_reading(*client, CloseReason::broken_value);
        report_lost_commands(handle.connection, *client, CloseReason::broken_value,
                             unanswered_commands(*client) - 1);
        abandon_pending(handle.connection, *client);
        return close_if_done(handle.connection, *client);
    }
    finish_response(response, complete ? std::move(text.append("\r\n")) : std::string(line));
    write_responses(*client);
    read_commands(handle.connection, *client);
    close_if_done(handle.connection, *client);
}

void ClientConnections::write_responses(Client& client) {
    std::string text;
    while (!client.pending.empty() &&
           (client.pending.front().is_ready ||
            (!client.pending.front().text.empty() && !client.pending.front().is_buffered))) {
        std::string& response_text = client.pending.front().text;
        budget_.used -= response_text.size();
        if (text.empty()) {
            text = std::move(response_text);
        } else {
            text += response_text;
        }
        if (!client.pending.front().is_ready) {  // streamed response, whose chunks follow
            response_text.clear();
            client.pending.front().is_partly_written = true;
            break;
        }
        response_text.clear();
        append_refusals(client.pending.front(), text);
        release_refusals(client, client.pending.front());
        release_memory(client.pending.front());
        client.pending.pop_front();
        ++client.first_command;
        --unanswered_commands_;
    }
    if (text.empty()) return;
    schedule_resume();
    schedule_reserve();
    client.last_used = monotonic_now();
    client.connection->write(text);
    if (!client.pending.empty() && client.pending.front().stream != 0)
        stream_callbacks_.on_writable(client.pending.front().stream);
}

}  // namespace brookrelay
