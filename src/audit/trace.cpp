#include "audit/trace.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace brookrelay::audit {
namespace {

// A user's requests have close numbers, so only this many before and after one are searched.
constexpr int kSearchDistance = 20000;

using TimedLines = std::vector<std::pair<double, std::string>>;

const char* outcome_text(Outcome outcome) {
    switch (outcome) {
        case Outcome::done:
            return "done";
        case Outcome::miss:
            return "miss";
        case Outcome::busy:
            return "busy, never ran";
        case Outcome::failed:
            return "errored";
        case Outcome::none:
            return "no response";
    }
    return "?";
}

const char* end_text(const RequestRecord& request) {
    switch (request.end) {
        case RequestEnd::responded:
            return reply_text(request.reply);
        case RequestEnd::client_closed:
            return "closed by its client";
        case RequestEnd::connection_lost:
            return "connection closed by the node";
        case RequestEnd::timed_out:
            return "its client timed out";
        case RequestEnd::lost_with_node:
            return "lost with its node";
        case RequestEnd::open:
        case RequestEnd::unreachable:
            return "node unreachable";
    }
    return "?";
}

std::string operation_name(const Terms& terms, int operation) {
    return index(operation) < terms.operation_names.size() ? terms.operation_names[index(operation)]
                                                           : std::to_string(operation);
}

void add_attempt(const History& history, int number, TimedLines& lines) {
    const AttemptRecord& attempt = history.attempts[index(number)];
    const std::string name = "  attempt " + std::to_string(number);
    lines.emplace_back(attempt.last_byte, name + " reached " + server_name(history.terms, attempt.server));
    if (attempt.effect_at >= 0) lines.emplace_back(attempt.effect_at, name + " took effect");
    if (attempt.finished_at >= 0) {
        lines.emplace_back(attempt.finished_at,
                           name + " ended: " + outcome_text(attempt.outcome) +
                               (attempt.is_dropped_duplicate ? " (a duplicate, dropped)" : ""));
    }
}

void add_request(const History& history, int number, TimedLines& lines) {
    const RequestRecord& request = history.requests[index(number)];
    const RequestInfo& info = request.info;
    const std::string name = "request " + std::to_string(number);
    lines.emplace_back(request.received_at, name + " (try " + std::to_string(info.retry_number + 1) + ", " +
                                                operation_name(history.terms, info.operation) + ", node " +
                                                std::to_string(info.node) + ") sent, timeout " +
                                                duration_text(info.timeout));
    for (const int attempt : request.attempts) add_attempt(history, attempt, lines);
    if (request.ended_at >= 0) lines.emplace_back(request.ended_at, name + ": " + end_text(request));
}

}  // namespace

const char* reply_text(Reply reply) {
    switch (reply) {
        case Reply::succeeded:
            return "succeeded";
        case Reply::rejected:
            return "throttled";
        case Reply::failed:
            return "errored";
        case Reply::truncated:
            return "cut off";
    }
    return "?";
}

std::string duration_text(double seconds) {
    char buffer[32];
    std::snprintf(buffer, sizeof buffer, "%.4f s", seconds);
    return buffer;
}

std::string time_text(const History& history, double time) {
    return duration_text(time - history.run_started_at);
}

std::string server_name(const Terms& terms, int server) {
    return index(server) < terms.server_names.size() ? terms.server_names[index(server)] : "?";
}

std::vector<std::string> trace_request(const History& history, int request) {
    if (request < 0 || index(request) >= history.requests.size()) return {};
    TimedLines lines;
    const int user = history.requests[index(request)].info.user;
    const int from = std::max(0, request - kSearchDistance);
    const int until = std::min(static_cast<int>(history.requests.size()), request + kSearchDistance);
    for (int number = from; number < until; ++number) {
        if (history.requests[index(number)].info.user == user) add_request(history, number, lines);
    }
    std::stable_sort(lines.begin(), lines.end(),
                     [](const auto& left, const auto& right) { return left.first < right.first; });
    std::vector<std::string> texts;
    for (const auto& [at, text] : lines) texts.push_back(time_text(history, at) + "  " + text);
    return texts;
}

}  // namespace brookrelay::audit
