// The rules of the auditor: each check reports the violations that one recorded event shows.
#include <algorithm>
#include <cmath>
#include <cstdio>

#include "audit/auditor.h"
#include "audit/trace.h"

namespace brookrelay::audit {
namespace {

// Rule 4: the least ratio of an overload that comes from nodes that knew of the server's start.
constexpr double kMinNotifiedWork = 2.0 / 3.0;
// Rule 4: the least ratio of the origin's overload that comes from misses at cold servers.
constexpr double kMinColdMissWork = 1.0 / 3.0;
// Rule 1: s after its client closed until which the last byte of an attempt may arrive.
constexpr double kClientGoneGrace = 0.1;
constexpr double kServerDeadlineSlack = 0.15;  // rule 1: s by which the sent timeout may exceed the time left
constexpr double kLimitBurst = 1.25;           // rule 5: the limit, with the saved tokens of a quarter second
constexpr double kLimitWindow = 1.0;           // rule 5: seconds

// The work of a server's recent attempts, by what caused them.
struct RecentWork {
    double total = 0;
    double notified = 0;  // from nodes that knew of the server's start
    double cold_misses = 0;
    std::vector<double> by_node;
    int last_request = -1;

    std::string percent(double part) const { return std::to_string(std::lround(100 * part / total)) + "%"; }
    std::string node_shares() const {
        std::string text;
        for (std::size_t node = 0; node < by_node.size(); ++node) {
            text += (node == 0 ? "" : ", ") + std::string("node ") + std::to_string(node) + ": " +
                    percent(by_node[node]);
        }
        return text;
    }
};

bool has_cold_miss(const History& history, const RequestRecord& request) {
    return std::any_of(request.attempts.begin(), request.attempts.end(),
                       [&](int attempt) { return history.attempts[index(attempt)].missed_cold; });
}

RecentWork recent_work(const History& history, const ServerRecord& server, double from) {
    RecentWork work;
    work.by_node.assign(index(history.terms.nodes), 0);
    for (const int number : server.recent_attempts) {
        const AttemptRecord& attempt = history.attempts[index(number)];
        if (attempt.last_byte < from || attempt.request < 0) continue;
        const RequestRecord& request = history.requests[index(attempt.request)];
        const std::size_t node = index(request.info.node);
        work.total += attempt.work;
        work.last_request = attempt.request;
        work.by_node[node] += attempt.work;
        if (server.start_is_known[node]) work.notified += attempt.work;
        if (has_cold_miss(history, request)) work.cold_misses += attempt.work;
    }
    return work;
}

}  // namespace

// ---- rule 1: one response, made by a server --------------------------------------------------------------

void Auditor::check_response(double now, int request, int attempt) {
    const RequestRecord& record = history_.requests[index(request)];
    const bool is_known = attempt >= 0 && index(attempt) < history_.attempts.size();
    const AttemptRecord source = is_known ? history_.attempts[index(attempt)] : AttemptRecord{};
    const bool is_made_by_server = is_known && source.request == request &&
                                   (source.outcome == Outcome::done || source.is_dropped_duplicate);
    if (!is_made_by_server) {
        report(1, request, now, now, "succeeded with an answer that no server made for this request", false);
        return;
    }
    const Operation& operation = history_.terms.operations[index(record.info.operation)];
    UserRecord& user = history_.users[index(record.info.user)];
    const double latency = now - user.first_request_at;
    const double value_ratio = latency <= operation.latency_objective ? 1 : operation.late_value_ratio;
    user.earned = std::max(user.earned, user.offered * value_ratio);
}

void Auditor::check_attempt_time(int attempt) {
    const AttemptRecord& record = history_.attempts[index(attempt)];
    const RequestRecord& request = history_.requests[index(record.request)];
    if (request.end == RequestEnd::responded && record.first_byte > request.ended_at + history_.terms.slack) {
        report(1, record.request, record.first_byte, request.ended_at,
               attempt_text(attempt) + " was sent " + duration_text(record.first_byte - request.ended_at) +
                   " after the final answer");
    }
    check_client_presence(attempt);
    check_endpoint_state(attempt);
}

// Checks that nothing is sent for a client that has closed. Uncounted hostile clients are recorded as closed
// from the start, because no response is owed to them, and are not checked.
void Auditor::check_client_presence(int attempt) {
    const AttemptRecord& record = history_.attempts[index(attempt)];
    const RequestRecord& request = history_.requests[index(record.request)];
    if (request.end != RequestEnd::client_closed || !request.info.is_counted) return;
    const double late = record.last_byte - request.ended_at;
    if (late <= kClientGoneGrace + history_.terms.slack || is_lost_with_node(request)) return;
    report(1, record.request, record.last_byte, request.ended_at,
           attempt_text(attempt) + " began " + duration_text(late) +
               " after its client had closed the connection");
}

void Auditor::on_told_deadline(int attempt, double seconds) {
    const AttemptRecord& record = history_.attempts[index(attempt)];
    if (record.request < 0 || index(record.request) >= history_.requests.size()) return;
    const RequestRecord& request = history_.requests[index(record.request)];
    const double left = request.received_at + request.info.timeout - record.first_byte;
    if (seconds <= left + kServerDeadlineSlack + history_.terms.slack) return;
    report(1, record.request, record.first_byte, request.received_at,
           attempt_text(attempt) + " sent its server a timeout of " + duration_text(seconds) +
               ", but its client had " + duration_text(left) + " left");
}

// ---- rule 2: no effect twice -----------------------------------------------------------------------------

// Whether an attempt that reached its server may have had its effect by `at`, or may still have it.
bool Auditor::may_have_run(int attempt, double at) const {
    const AttemptRecord& record = history_.attempts[index(attempt)];
    const bool is_finished = record.finished_at >= 0 && record.finished_at <= at;
    return !(record.outcome == Outcome::busy && is_finished);
}

// Whether `server` drops duplicates of what `first_server` has run.
bool Auditor::shares_deduplication(DeduplicationScope scope, int first_server, int server) const {
    const Terms& terms = history_.terms;
    if (server == first_server) return true;
    if (server == terms.origin || first_server == terms.origin) return false;
    switch (scope) {
        case DeduplicationScope::all:
            return true;
        case DeduplicationScope::zone:
            return terms.server_zones[index(server)] == terms.server_zones[index(first_server)];
        case DeduplicationScope::cell:
            return terms.server_cells[index(server)] == terms.server_cells[index(first_server)];
    }
    return false;
}

std::string Auditor::attempt_text(int attempt) const {
    return "attempt " + std::to_string(attempt) + " to " +
           server_name(history_.terms, history_.attempts[index(attempt)].server);
}

// Checks a rejection, which invites the client to retry the request.
void Auditor::check_rejection(double now, int request) {
    const RequestRecord& record = history_.requests[index(request)];
    const Operation& operation = history_.terms.operations[index(record.info.operation)];
    if (operation.idempotency != Idempotency::none) return;
    const auto attempt = std::find_if(record.attempts.begin(), record.attempts.end(),
                                      [&](int earlier) { return may_have_run(earlier, now); });
    if (attempt == record.attempts.end()) return;
    report(2, request, now, history_.attempts[index(*attempt)].last_byte,
           "non-idempotent and throttled, which invites a retry, although " + attempt_text(*attempt) +
               " may have run",
           false);
}

void Auditor::check_retry(int attempt) {
    const AttemptRecord& record = history_.attempts[index(attempt)];
    const RequestRecord& request = history_.requests[index(record.request)];
    const Operation& operation = history_.terms.operations[index(request.info.operation)];
    if (operation.idempotency == Idempotency::idempotent) return;
    for (const int earlier : request.attempts) {
        if (may_have_run(earlier, record.first_byte) && !check_retry_after(attempt, earlier)) return;
    }
}

// Checks a retry after one earlier attempt that may have run; false if it was a violation.
bool Auditor::check_retry_after(int attempt, int earlier_attempt) {
    const AttemptRecord& retry = history_.attempts[index(attempt)];
    const AttemptRecord& earlier = history_.attempts[index(earlier_attempt)];
    const RequestRecord& request = history_.requests[index(retry.request)];
    const Operation& operation = history_.terms.operations[index(request.info.operation)];
    const auto although_it_ran = [&] {
        return " although " + attempt_text(earlier_attempt) + " may have run";
    };
    if (operation.idempotency == Idempotency::none) {
        report(2, retry.request, retry.first_byte, earlier.last_byte,
               "non-idempotent: " + attempt_text(attempt) + " was sent" + although_it_ran(), false);
        return false;
    }
    if (!shares_deduplication(operation.deduplication_scope, earlier.server, retry.server)) {
        report(2, retry.request, retry.first_byte, earlier.last_byte,
               "deduplicated: " + attempt_text(attempt) + " is outside the group that drops its duplicates," +
                   although_it_ran(),
               false);
        return false;
    }
    if (retry.last_byte > earlier.last_byte + operation.deduplication_window + history_.terms.slack) {
        report(2, retry.request, retry.first_byte, earlier.last_byte,
               "deduplicated: " + attempt_text(attempt) + " came " +
                   duration_text(retry.last_byte - earlier.last_byte) +
                   " later, when its idempotency key is forgotten (" +
                   duration_text(operation.deduplication_window) + ")," + although_it_ran());
        return false;
    }
    return true;
}

// Checks that a request, with its retries, has one effect. If a client retried because of a wrong response,
// the checks above report that response too, but only this one detects the second effect.
void Auditor::check_effects(int user, int attempt) {
    UserRecord& record = history_.users[index(user)];
    const Operation& operation = history_.terms.operations[index(record.operation)];
    if (operation.idempotency == Idempotency::idempotent) return;
    if (record.first_effect < 0) {
        record.first_effect = attempt;
        return;
    }
    const AttemptRecord& first = history_.attempts[index(record.first_effect)];
    const AttemptRecord& second = history_.attempts[index(attempt)];
    // A server that lost its deduplication state in a restart is the cause, not the node.
    const double restarted_at = history_.servers[index(second.server)].started_at;
    if (operation.idempotency == Idempotency::idempotency_key && restarted_at > first.last_byte) return;
    report(2, second.request, second.effect_at, second.effect_at,
           "its effect happened twice: attempt " + std::to_string(record.first_effect) + " (request " +
               std::to_string(first.request) + ") at " + time_text(history_, first.effect_at) +
               " and attempt " + std::to_string(attempt) + " at " + time_text(history_, second.effect_at),
           false);
}

// ---- rule 3: nothing to draining or removed servers ------------------------------------------------------

void Auditor::check_endpoint_state(int attempt) {
    const Terms& terms = history_.terms;
    const AttemptRecord& record = history_.attempts[index(attempt)];
    const int node = history_.requests[index(record.request)].info.node;
    const AnnouncedState& announced = endpoint_states_[index(node)][index(record.server)];
    if (announced.state == EndpointState::ready) return;
    if (record.first_byte <= announced.since + terms.drain_grace + terms.slack) return;
    report(3, record.request, record.first_byte, announced.since,
           attempt_text(attempt) + " began " + duration_text(record.first_byte - announced.since) +
               " after node " + std::to_string(node) + " was notified that it " +
               (announced.state == EndpointState::removed ? "is removed" : "drains") + " (grace " +
               duration_text(terms.drain_grace) + ")");
}

// ---- rule 4: no overload through cold servers ------------------------------------------------------------

void Auditor::check_server_overload(double now, int server) {
    const Terms& terms = history_.terms;
    const ServerRecord& record = history_.servers[index(server)];
    const RecentWork work =
        recent_work(history_, record, now - std::max(terms.overload_window, kMinOverloadWindow));
    if (work.total == 0) return;
    const std::string amount = std::to_string(record.recent_attempts.size()) + " attempts in " +
                               duration_text(terms.overload_window) + ", ";
    if (server == terms.origin) {
        if (work.cold_misses < kMinColdMissWork * work.total) return;
        report(4, work.last_request, now, now,
               "the origin was overloaded by " + amount + work.percent(work.cold_misses) +
                   " of them for misses at cold servers (" + work.node_shares() + ")");
        return;
    }
    if (!record.is_cold || work.notified < kMinNotifiedWork * work.total) return;
    report(4, work.last_request, now, now,
           "the cold server " + server_name(terms, server) + " was pushed over by " + amount +
               work.percent(work.notified) + " of them from nodes that knew of its start (" +
               work.node_shares() + ")");
}

// ---- rule 5: strict limits of the whole fleet ------------------------------------------------------------

// Counts the attempts of all nodes within the last second. The bound is the limit, the tokens that may have
// been saved, and one attempt of each node. For a cold server, only the nodes that knew of its start count.
void Auditor::check_fleet_limit(double now, int server) {
    const Terms& terms = history_.terms;
    ServerRecord& record = history_.servers[index(server)];
    const bool is_origin = server == terms.origin;
    const double limit = is_origin ? terms.origin_limit : terms.cold_limit;
    double sent = 0;
    double from = now;
    int first_request = -1;
    for (auto number = record.recent_attempts.rbegin(); number != record.recent_attempts.rend(); ++number) {
        const AttemptRecord& attempt = history_.attempts[index(*number)];
        if (attempt.last_byte <= now - kLimitWindow) break;
        first_request = attempt.request;
        if (attempt.request < 0) continue;
        const int node = history_.requests[index(attempt.request)].info.node;
        if (!is_origin && !record.start_is_known[index(node)]) continue;
        ++sent;
        from = attempt.last_byte;
    }
    if (sent <= limit * kLimitBurst + terms.nodes || now - record.over_limit_at < kLimitWindow) return;
    record.over_limit_at = now;
    char text[160];
    std::snprintf(text, sizeof text,
                  "%s got %.0f attempts within a second; all nodes together may send %.4g per second",
                  server_name(terms, server).c_str(), sent, limit);
    report(5, first_request, now, from, text);
}

}  // namespace brookrelay::audit
