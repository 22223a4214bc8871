#include "audit/auditor.h"

#include <algorithm>
#include <cmath>

#include "audit/accounting.h"
#include "audit/trace.h"

namespace brookrelay::audit {
namespace {

constexpr std::size_t kMaxPendingViolations = 20000;  // further ones are only counted
constexpr std::size_t kMaxTracedViolations = 200;     // further ones are counted but not listed
constexpr double kMaxWatcherDelayRatio = 0.02;        // of the run; a run with more is void

}  // namespace

Auditor::Auditor(Terms terms)
    : history_{std::move(terms), 0, {}, {}, {}, {}},
      endpoint_states_(index(history_.terms.nodes),
                       std::vector<AnnouncedState>(history_.terms.server_names.size())),
      node_paused_until_(index(history_.terms.nodes), -1),
      node_killed_at_(index(history_.terms.nodes), -1),
      tenant_requests_(history_.terms.tenants.size()) {
    history_.servers.resize(history_.terms.server_names.size());
    for (ServerRecord& server : history_.servers)
        server.start_is_known.assign(index(history_.terms.nodes), false);
}

// ---- clients --------------------------------------------------------------------------------------------

void Auditor::on_request(double now, int request, const RequestInfo& info) {
    if (history_.requests.size() <= index(request)) history_.requests.resize(index(request) + 1);
    RequestRecord& record = history_.requests[index(request)];
    record.info = info;
    record.begun_connecting_at = record.received_at = now;
    record.is_registered = true;
    if (info.is_counted) ++verdict_.requests;
    if (history_.users.size() <= index(info.user)) history_.users.resize(index(info.user) + 1);
    if (info.retry_number > 0) return;
    UserRecord& user = history_.users[index(info.user)];
    user.operation = info.operation;
    user.tenant = info.tenant;
    user.first_request_at = now;
    if (!info.is_counted) return;
    ++verdict_.users;
    user.offered = offered_value(now, info);
}

// A request beyond its tenant's quota of the second is worth less.
double Auditor::offered_value(double now, const RequestInfo& info) {
    const double value = history_.terms.operations[index(info.operation)].priority_weight;
    if (info.tenant < 0) return value;
    std::vector<double>& requests = tenant_requests_[index(info.tenant)];
    const auto second = static_cast<std::size_t>(std::max(0.0, now));
    if (requests.size() <= second) requests.resize(second + 1);
    ++requests[second];
    const double quota = history_.terms.tenants[index(info.tenant)].quota;
    const bool is_over_quota = quota > 0 && requests[second] > quota;
    return is_over_quota ? value * history_.terms.over_quota_value_ratio : value;
}

void Auditor::on_request_written(double now, int request) {
    RequestRecord& record = history_.requests[index(request)];
    if (record.end == RequestEnd::open) record.received_at = now;
}

void Auditor::on_response(double now, int request, Reply reply, int attempt) {
    RequestRecord& record = history_.requests[index(request)];
    if (record.end == RequestEnd::responded) {
        report(1, request, now, record.received_at,
               "a second final answer (" + std::string(reply_text(reply)) + ") after one at " +
                   time_text(history_, record.ended_at),
               false);
        return;
    }
    if (record.end != RequestEnd::open) return;  // The node may still write to a client that has closed.
    record.reply = reply;
    end_request(request, now, RequestEnd::responded);
    count_reply(reply);
    const double answered_at = record.begun_at >= 0 ? record.begun_at : now;
    if (answered_at > deadline(record) + history_.terms.slack && !is_lost_with_node(record)) {
        report(1, request, now, deadline(record),
               "its final answer (" + std::string(reply_text(reply)) + ") came " +
                   duration_text(answered_at - deadline(record)) + " after the client timeout");
    }
    if (reply == Reply::succeeded) check_response(now, request, attempt);
    if (reply == Reply::rejected) check_rejection(now, request);
}

void Auditor::count_reply(Reply reply) {
    switch (reply) {
        case Reply::succeeded:
            ++verdict_.succeeded;
            break;
        case Reply::rejected:
            ++verdict_.rejected;
            break;
        case Reply::failed:
            ++verdict_.failed;
            break;
        case Reply::truncated:
            ++verdict_.truncated;
            break;
    }
}

void Auditor::on_response_begun(double now, int request) {
    RequestRecord& record = history_.requests[index(request)];
    if (record.end == RequestEnd::open && record.begun_at < 0) record.begun_at = now;
}

void Auditor::on_client_closed(double now, int request) {
    const RequestRecord& record = history_.requests[index(request)];
    if (record.end != RequestEnd::open) return;
    end_request(request, now, RequestEnd::client_closed);
    if (record.info.is_counted) ++verdict_.left;
}

void Auditor::on_unreachable(double now, int request) {
    if (history_.requests[index(request)].end == RequestEnd::open)
        end_request(request, now, RequestEnd::unreachable);
}

void Auditor::on_connection_closed(double now, int request) {
    const RequestRecord& record = history_.requests[index(request)];
    if (record.end != RequestEnd::open) return;
    if (is_lost_with_node(record)) {
        end_request(request, now, RequestEnd::lost_with_node);
        ++verdict_.lost_with_node;
        return;
    }
    end_request(request, now, RequestEnd::connection_lost);
    ++verdict_.unanswered;
    // Dated from the request: a delayed watcher may have left a new connection silent until the node's own
    // timeout closed it.
    report(1, request, now, record.received_at, "the node closed the connection without a complete response");
}

void Auditor::on_client_timeout(double now, int request) {
    const RequestRecord& record = history_.requests[index(request)];
    if (record.end != RequestEnd::open) return;
    if (is_lost_with_node(record)) {
        end_request(request, now, RequestEnd::lost_with_node);
        ++verdict_.lost_with_node;
        return;
    }
    if (record.begun_at >= 0) return on_response(now, request, Reply::truncated, -1);
    // Before the deadline no response is owed.
    if (now < deadline(record) + history_.terms.slack) return on_client_closed(now, request);
    end_request(request, now, RequestEnd::timed_out);
    ++verdict_.unanswered;
    report(1, request, now, deadline(record),
           "no final answer until " + duration_text(now - deadline(record)) + " after the client timeout");
}

double Auditor::deadline(const RequestRecord& request) const {
    return request.received_at + request.info.timeout + history_.terms.answer_grace;
}

bool Auditor::is_lost_with_node(const RequestRecord& request) const {
    const std::size_t node = index(request.info.node);
    return std::max(node_killed_at_[node], node_paused_until_[node]) >= request.begun_connecting_at;
}

void Auditor::end_request(int request, double now, RequestEnd end) {
    RequestRecord& record = history_.requests[index(request)];
    record.end = end;
    record.ended_at = now;
}

// ---- servers --------------------------------------------------------------------------------------------

void Auditor::on_attempt(double first_byte, double last_byte, int attempt, int request, int server,
                         double work, bool seen_promptly) {
    const Terms& terms = history_.terms;
    if (history_.attempts.size() <= index(attempt)) history_.attempts.resize(index(attempt) + 1);
    AttemptRecord record;
    record.request = request;
    record.server = server;
    record.work = work;
    record.first_byte = first_byte;
    record.last_byte = last_byte;
    history_.attempts[index(attempt)] = record;
    ++verdict_.attempts;
    ServerRecord& receiver = history_.servers[index(server)];
    receiver.recent_attempts.push_back(attempt);
    const double oldest_kept = last_byte - std::max(terms.overload_window, kMinOverloadWindow);
    while (!receiver.recent_attempts.empty() &&
           history_.attempts[index(receiver.recent_attempts.front())].last_byte < oldest_kept) {
        receiver.recent_attempts.pop_front();
    }
    if (request < 0 || index(request) >= history_.requests.size()) {
        report(1, -1, last_byte, last_byte,
               "an attempt to " + server_name(terms, server) + " names no request that a client sent", false);
        return;
    }
    check_retry(attempt);
    if (seen_promptly) check_attempt_time(attempt);
    history_.requests[index(request)].attempts.push_back(attempt);
    const bool is_limited =
        server == terms.origin ? terms.origin_limit > 0 : terms.cold_limit > 0 && receiver.is_cold;
    if (is_limited) check_fleet_limit(last_byte, server);
}

void Auditor::on_effect(double now, int attempt) {
    AttemptRecord& record = history_.attempts[index(attempt)];
    record.effect_at = now;
    ++verdict_.effects;
    if (record.request < 0) return;
    check_effects(history_.requests[index(record.request)].info.user, attempt);
}

void Auditor::on_duplicate_dropped(double, int attempt) {
    history_.attempts[index(attempt)].is_dropped_duplicate = true;
    ++verdict_.dropped_duplicates;
}

void Auditor::on_attempt_finished(double now, int attempt, Outcome outcome) {
    AttemptRecord& record = history_.attempts[index(attempt)];
    if (record.finished_at >= 0) return;
    record.finished_at = now;
    record.outcome = outcome;
    record.missed_cold = outcome == Outcome::miss && history_.servers[index(record.server)].is_cold;
}

void Auditor::on_server_started(double now, int server, bool is_cold) {
    ServerRecord& record = history_.servers[index(server)];
    record.is_cold = is_cold;
    record.started_at = now;
    record.start_is_known.assign(index(history_.terms.nodes), false);
}

void Auditor::on_server_warm(double, int server) { history_.servers[index(server)].is_cold = false; }

void Auditor::on_server_overloaded(double now, int server) { check_server_overload(now, server); }

// ---- discovery, nodes, and the watcher itself ------------------------------------------------------------

void Auditor::on_endpoint_state(double now, int node, int server, EndpointState state, bool is_fresh_start) {
    AnnouncedState& announced = endpoint_states_[index(node)][index(server)];
    // The grace runs from the first notification: a repeated one, or one from draining to removed, does not
    // start it again.
    if (announced.state == EndpointState::ready || state == EndpointState::ready) announced.since = now;
    announced.state = state;
    if (is_fresh_start) history_.servers[index(server)].start_is_known[index(node)] = true;
}

// A new process starts from its own endpoint list; notifications to the previous process do not bind it.
void Auditor::on_node_started(double, int node) {
    endpoint_states_[index(node)].assign(history_.terms.server_names.size(), {});
}

void Auditor::on_node_killed(double now, int node) { node_killed_at_[index(node)] = now; }

void Auditor::on_watcher_delay(double now, double delay) {
    max_watcher_delay_ = std::max(max_watcher_delay_, delay);
    if (delay < history_.terms.min_counted_watcher_delay) return;
    const double from =
        watcher_delays_.empty() ? now - delay : std::max(now - delay, watcher_delays_.back().second);
    if (now > from) total_watcher_delay_ += now - from;
    watcher_delays_.emplace_back(now - delay, now);
}

// An observation made after a delay is dated late, so a limit that seems exceeded shortly after a delay may
// have been kept.
bool Auditor::is_reliable(double from, double until) const {
    const double slack = history_.terms.slack;
    // NOLINTNEXTLINE(modernize-loop-convert): backwards, and Clang 14 has no std::views
    for (auto delay = watcher_delays_.rbegin(); delay != watcher_delays_.rend(); ++delay) {
        if (delay->second < from - slack) return true;
        if (delay->first <= until + slack) return false;
    }
    return true;
}

double Auditor::watcher_delay_between(double from, double until) const {
    double late = 0;
    for (const auto& [begun, ended] : watcher_delays_)
        late += std::max(0.0, std::min(ended, until) - std::max(begun, from));
    return late;
}

// ---- the verdict ----------------------------------------------------------------------------------------

// Delays of the watcher are reported after the fact, so violations stay pending until finish().
void Auditor::report(int rule, int request, double at, double from, std::string what, bool depends_on_clock) {
    if (pending_violations_.size() >= kMaxPendingViolations) {
        ++unrecorded_violations_[index(rule)];
        return;
    }
    pending_violations_.push_back({{rule, request, at - history_.run_started_at, std::move(what), {}},
                                   std::min(from, at),
                                   depends_on_clock});
}

void Auditor::classify_pending_violations(Verdict& verdict) {
    for (PendingViolation& pending : pending_violations_) {
        Violation& violation = pending.violation;
        const bool is_set_aside =
            pending.depends_on_clock && !is_reliable(pending.from, violation.at + history_.run_started_at);
        std::vector<Violation>& destination = is_set_aside ? verdict.set_aside : verdict.violations;
        if (!is_set_aside) ++verdict.violations_by_rule[index(violation.rule)];
        if (destination.size() >= kMaxTracedViolations) continue;
        violation.trace = trace_request(history_, violation.request);
        destination.push_back(std::move(violation));
    }
    // Violations beyond kMaxPendingViolations were not checked against the delays; they count only if another
    // violation of the same rule was not set aside.
    for (std::size_t rule = 0; rule < verdict.violations_by_rule.size(); ++rule) {
        if (verdict.violations_by_rule[rule] > 0)
            verdict.violations_by_rule[rule] += unrecorded_violations_[rule];
    }
    std::stable_sort(verdict.violations.begin(), verdict.violations.end(),
                     [](const Violation& left, const Violation& right) { return left.at < right.at; });
}

Verdict Auditor::finish(double now) {
    for (std::size_t request = 0; request < history_.requests.size(); ++request) {
        if (history_.requests[request].is_registered) on_client_timeout(now, static_cast<int>(request));
    }
    Verdict verdict = verdict_;
    classify_pending_violations(verdict);
    verdict.max_watcher_delay = max_watcher_delay_;
    const double run_time = now - history_.run_started_at;
    verdict.watcher_delay_ratio = run_time > 0 ? total_watcher_delay_ / run_time : 0;
    if (verdict.violations.empty() && !verdict.set_aside.empty()) {
        verdict.is_void = true;
        verdict.void_reason = "the watcher was delayed when " + std::to_string(verdict.set_aside.size()) +
                              " limits seemed to be exceeded";
    } else if (verdict.watcher_delay_ratio > kMaxWatcherDelayRatio) {
        verdict.is_void = true;
        verdict.void_reason = "the watcher was delayed for " +
                              std::to_string(std::lround(100 * verdict.watcher_delay_ratio)) + "% of the run";
    }
    add_service_totals(history_, verdict);
    return verdict;
}

}  // namespace brookrelay::audit
