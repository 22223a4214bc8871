// The part of UpstreamPool that forwards long values in chunks, as they arrive and as their clients read.
#include <algorithm>
#include <utility>

#include "protocol/origin_http.h"
#include "upstream/upstream_pool.h"

namespace brookrelay {
namespace {

// A streamed response that makes no progress for this time is ended as incomplete.
constexpr double kStallTimeoutSeconds = 10.0;

}  // namespace

// Starts to stream a long value if its header is complete and valid. Once the header is forwarded, no other
// response can replace this one. Returns whether streaming has started.
bool UpstreamPool::begin_stream(Connection& connection) {
    if (!connection.is_busy || !connection.is_read || !is_fully_sent(connection)) return false;
    const bool is_origin = server_at(connection.server).is_origin;
    StreamedValue value = is_origin ? parse_streamed_origin_response(connection.socket->input())
                                    : parse_streamed_reply(connection.socket->input());
    if (value.header_bytes == 0 || (!is_origin && value.id != connection.request_id)) return false;
    connection.socket->consume(value.header_bytes);
    start_stream(connection, std::move(value));
    return true;
}

void UpstreamPool::start_stream(Connection& connection, StreamedValue&& value) {
    timers_.cancel(connection.attempt_timer);
    timers_.cancel(connection.send_timer);
    in_flight_.erase(attempt_key(connection.request, connection.attempt));
    connection.stream = ++last_stream_;
    connection.remaining = std::move(value);
    streams_.emplace(connection.stream, &connection);
    connection.last_used = monotonic_now();
    connection.socket->set_read_limit(limits_.stream_read_limit);
    restart_stall_timer(connection);
    on_finished_({connection.request,
                  connection.attempt,
                  connection.server,
                  AttemptOutcome::succeeded,
                  connection.last_used - connection.started_at,
                  {},
                  connection.stream,
                  connection.remaining.length,
                  true,
                  connection.collector.has_value()});
}

void UpstreamPool::forward_chunks(Connection& connection) {
    if (connection.is_writing_chunk) return;  // reentered through resume(): the outer call continues its loop
    while (connection.remaining.length > 0) {
        const std::string_view input = stream_source(connection);
        std::size_t bytes = std::min(input.size(), connection.remaining.length);
        if (bytes == connection.remaining.length && connection.remaining.trailer_bytes > 0) {
            // A value that is not followed by its trailer must not look complete to the client, so the last
            // byte is only forwarded once the trailer has arrived.
            const std::string_view trailer = input.substr(bytes);
            if (trailer.size() < connection.remaining.trailer_bytes) {
                --bytes;
            } else if (!trailer.starts_with("\r\n")) {
                log_.line(topic(connection.server), "nonsense",
                          server_at(connection.server).name +
                              ": protocol error: no line end after a streamed value of the stated length");
                return end_stream(connection, false);
            }
        }
        const std::size_t capacity = body_sink_.capacity(connection.stream);
        bytes = std::min(bytes, capacity);
        if (bytes == 0) {
            if (!connection.socket->is_connected() && capacity > 0) end_stream(connection, false);
            return;
        }
        connection.is_writing_chunk = true;
        body_sink_.write(connection.stream, input.substr(0, bytes));
        connection.is_writing_chunk = false;
        if (connection.stream == 0) return;
        connection.remaining.length -= bytes;
        consume_stream_source(connection, bytes);
    }
    connection.socket->consume(connection.remaining.trailer_bytes);
    end_stream(connection, true);
}

// Starts the timer that ends a stalled stream. Time during which received input waits for the client to read
// does not count as a stall.
void UpstreamPool::restart_stall_timer(Connection& connection) {
    connection.attempt_timer =
        timers_.schedule(connection.last_used + kStallTimeoutSeconds, [this, &connection] {
            connection.attempt_timer = {};
            if (!stream_source(connection).empty()) connection.last_used = monotonic_now();
            if (monotonic_now() - connection.last_used < kStallTimeoutSeconds)
                return restart_stall_timer(connection);
            log_.line(topic(connection.server), "value_broken_off",
                      server_at(connection.server).name + ": streamed value stalled, connection closed");
            end_stream(connection, false);
        });
}

void UpstreamPool::end_stream(Connection& connection, bool complete) {
    timers_.cancel(connection.attempt_timer);
    const std::uint64_t stream = std::exchange(connection.stream, 0);
    streams_.erase(stream);
    connection.is_busy = false;
    drop_collected(connection);
    keep_or_close(connection, complete && connection.remaining.reusable);
    body_sink_.end(stream, complete);
}

void UpstreamPool::resume(std::uint64_t stream) {
    const auto entry = streams_.find(stream);
    if (entry != streams_.end()) forward_chunks(*entry->second);
}

void UpstreamPool::abandon_stream(std::uint64_t stream) {
    const auto entry = streams_.find(stream);
    if (entry == streams_.end()) return;
    Connection& connection = *entry->second;
    streams_.erase(entry);
    connection.stream = 0;
    connection.is_busy = false;
    close(connection);
}

}  // namespace brookrelay
