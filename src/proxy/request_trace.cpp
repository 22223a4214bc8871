#include "proxy/request_trace.h"

#include <algorithm>
#include <cstdio>

namespace brookrelay {
namespace {

constexpr std::array<const char*, 6> kEventNames{"received",        "attempt_started", "attempt_written",
                                                 "attempt_refused", "attempt_ended",   "ended"};

// Copies `from`, truncated to the array's size; the last character always stays 0.
template <std::size_t kSize>
void copy(std::array<char, kSize>& to, std::string_view from) {
    to.fill(0);
    std::copy_n(from.data(), std::min(from.size(), kSize - 1), to.data());
}

}  // namespace

void RequestTrace::record(double now, TraceEvent event, std::string_view id, int attempt,
                          std::string_view server, std::string_view detail) {
    if (entries_.size() < kCapacity) entries_.emplace_back();
    Entry& entry = entries_[next_];
    next_ = (next_ + 1) % kCapacity;
    entry.at = now;
    entry.event = event;
    entry.attempt = attempt;
    copy(entry.id, id);
    copy(entry.server, server);
    entry.detail = detail;
}

std::string RequestTrace::text(double now) const {
    std::string lines;
    const std::size_t first = entries_.size() < kCapacity ? 0 : next_;
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        const Entry& entry = entries_[(first + i) % entries_.size()];
        std::array<char, 200> line{};
        std::snprintf(line.data(), line.size(), "%.3f s ago, request %s: %s", now - entry.at, entry.id.data(),
                      kEventNames[static_cast<std::size_t>(entry.event)]);
        lines += line.data();
        if (entry.attempt != kNoAttempt)
            lines.append(" ")
                .append(std::to_string(entry.attempt))
                .append(" at ")
                .append(entry.server.data());
        if (!entry.detail.empty()) lines.append(", ").append(entry.detail);
        lines += "\n";
    }
    return lines;
}

}  // namespace brookrelay
