// The part of UpstreamPool that handles HTTP responses without a length. Their bodies are collected, because
// the client's protocol states a value's length before the value.
#include <algorithm>
#include <utility>

#include "upstream/upstream_pool.h"

namespace brookrelay {
namespace {

// The collected bodies may use this share of the byte budget together.
constexpr double kCollectedShare = 0.75;
// Below this total, all bodies are received at the same time.
constexpr std::size_t kMinCollectedBytes = std::size_t{256} * 1024;
// A body of which nothing has arrived for this time does not keep others waiting.
constexpr double kCollectingStallSeconds = 0.25;
constexpr double kCollectingCheckSeconds = 0.05;

}  // namespace

// Starts to collect the body of a response if its head is complete and states no length. Returns whether the
// body is being collected.
bool UpstreamPool::begin_collecting(Connection& connection) {
    if (!connection.is_busy || !server_at(connection.server).is_origin || !is_fully_sent(connection))
        return false;
    const UnsizedResponse head = parse_unsized_origin_response(connection.socket->input());
    if (head.header_bytes == 0) return false;
    connection.socket->consume(head.header_bytes);
    connection.collector.emplace(head, kMaxValueBytes);
    return true;
}

void UpstreamPool::collect_body(Connection& connection, bool ended) {
    const BodyCollector::Progress progress = connection.collector->add(connection.socket->input(), ended);
    connection.socket->consume(progress.bytes);
    count_collected(connection);
    switch (progress.status) {
        case BodyCollector::Status::malformed:
            return on_unexpected_input(connection);
        case BodyCollector::Status::complete:
            return finish_collecting(connection);
        case BodyCollector::Status::incomplete:
            break;
    }
    if (ended) return fail_connection(connection, AttemptOutcome::reset);  // closed inside the body
    if (shed_collected(connection)) balance_collecting();
}

// Ends the attempt with the collected body. A long value stays here and is forwarded as its client reads, so
// that no second copy of it waits elsewhere.
void UpstreamPool::finish_collecting(Connection& connection) {
    const bool reusable = connection.collector->reusable();
    const std::size_t length = connection.collector->size();
    if (connection.is_read && length > kMaxBufferedValueBytes) {
        start_stream(connection, {0, length, 0, {}, reusable});
        return balance_collecting();
    }
    const bool is_receipt = !connection.is_read && connection.request != kHealthCheck;
    std::string body = connection.collector->take();
    drop_collected(connection);
    body.shrink_to_fit();
    if (is_receipt && !is_printable_word(body)) return on_unexpected_input(connection);
    finish_attempt(connection, AttemptOutcome::succeeded, std::move(body));
    keep_or_close(connection, reusable);
}

void UpstreamPool::count_collected(Connection& connection) {
    const std::size_t added = connection.collector->size() - connection.collected_bytes;
    connection.last_used = monotonic_now();
    connection.collected_bytes += added;
    collected_bytes_ += added;
    budget_.used += added;
}

void UpstreamPool::drop_collected(Connection& connection) {
    if (!connection.collector) return;
    connection.collector.reset();
    connection.is_paused = false;
    connection.socket->set_read_limit(kFirstReadLimitBytes);
    collected_bytes_ -= connection.collected_bytes;
    budget_.used -= std::exchange(connection.collected_bytes, 0);
    balance_collecting();
}

// Fails attempts while the byte budget is exceeded, first those that have received the least of a body
// without a length. Returns whether the attempt on `current` goes on.
bool UpstreamPool::shed_collected(const Connection& current) {
    while (budget_.exceeded()) {
        Connection* smallest = nullptr;
        for (Connection& connection : connections_) {
            if (!is_collecting(connection) || connection.collected_bytes <= kMaxLineBytes) continue;
            if (smallest == nullptr || connection.collected_bytes < smallest->collected_bytes)
                smallest = &connection;
        }
        if (smallest == nullptr) break;
        log_.line(topic(smallest->server), "no_memory",
                  server_at(smallest->server).name + ": attempt failed: the byte budget is exceeded");
        fail_connection(*smallest, AttemptOutcome::failed);
    }
    return !current.socket->is_closed();
}

bool UpstreamPool::is_collecting(const Connection& connection) {
    return connection.collector && connection.stream == 0 && !connection.socket->is_closed();
}

// Once the collected bodies use their share of the memory, only one of them is received at a time, so that
// each can become complete. The others wait, and their data remains on their servers' connections.
void UpstreamPool::balance_collecting() {
    const auto share = static_cast<std::size_t>(kCollectedShare * static_cast<double>(budget_.limit));
    const std::size_t hard_limit = std::max(share, kMaxValueBytes);
    const std::size_t soft_limit = std::max(hard_limit - kMaxValueBytes, kMinCollectedBytes);
    const bool is_limited = collected_bytes_ >= soft_limit;
    if (!is_limited && !is_collecting_limited_) return;
    const Connection* leader = collected_bytes_ < hard_limit ? find_collecting_leader() : nullptr;
    for (Connection& connection : connections_) {
        if (!is_collecting(connection)) continue;
        const bool is_paused = is_limited && &connection != leader;
        if (is_paused == connection.is_paused) continue;
        connection.is_paused = is_paused;
        connection.socket->set_read_limit(is_paused ? 0 : kFirstReadLimitBytes);
    }
    is_collecting_limited_ = is_limited;
    if (!is_limited || collecting_timer_.second != 0) return;
    collecting_timer_ = timers_.schedule(monotonic_now() + kCollectingCheckSeconds, [this] {
        collecting_timer_ = {};
        balance_collecting();
    });
}

// Returns the connection that has received the most of its body and makes progress, or nullptr.
const UpstreamPool::Connection* UpstreamPool::find_collecting_leader() const {
    const double now = monotonic_now();
    const Connection* leader = nullptr;
    for (const Connection& connection : connections_) {
        if (!is_collecting(connection)) continue;
        if (leader != nullptr && connection.collected_bytes <= leader->collected_bytes) continue;
        const bool was_just_read =
            !connection.is_paused && now - connection.last_used < kCollectingStallSeconds;
        if (was_just_read || connection.socket->has_unreceived_input() ||
            connection.socket->peer_has_closed())
            leader = &connection;
    }
    return leader;
}

// Returns the received bytes of a streamed response that are not yet forwarded.
std::string_view UpstreamPool::stream_source(const Connection& connection) const {
    return connection.collector ? connection.collector->remaining() : connection.socket->input();
}

void UpstreamPool::consume_stream_source(Connection& connection, std::size_t bytes) {
    if (connection.collector) return connection.collector->consume(bytes);
    connection.socket->consume(bytes);
}

}  // namespace brookrelay
