#include "audit/auditor.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace brookrelay::audit {
namespace {

constexpr std::size_t kSuspicionsKept = 20000;  // the rest is only counted
constexpr std::size_t kTraced = 200;            // findings whose invocations are shown in full
constexpr double kToldOfStart = 2.0 / 3.0;      // of the push, by nodes that knew of the start: rule 4
constexpr double kColdMisses = 1.0 / 3.0;       // of what stopped the origin: rule 4
constexpr double kLateShareMost = 0.02;         // of the day; beyond it nothing of it can be relied upon
constexpr double kTen = 10;                     // s of the worst window

std::string seconds_text(double t) {
    char room[32];
    std::snprintf(room, sizeof room, "%.4f s", t);
    return room;
}

std::size_t index(int i) { return static_cast<std::size_t>(i); }

const char* word(Reply r) {
    switch (r) {
        case Reply::succeeded:
            return "succeeded";
        case Reply::throttled:
            return "throttled";
        case Reply::errored:
            return "errored";
        case Reply::cut:
            return "cut off";
    }
    return "?";
}

const char* word(Outcome o) {
    switch (o) {
        case Outcome::done:
            return "done";
        case Outcome::miss:
            return "miss";
        case Outcome::busy:
            return "busy, never ran";
        case Outcome::errored:
            return "errored";
        case Outcome::none:
            return "no answer";
    }
    return "?";
}

}  // namespace

Auditor::Auditor(Terms terms)
    : terms_(std::move(terms)),
      servers_(terms_.server_names.size()),
      told_(index(terms_.nodes), std::vector<Drain>(terms_.server_names.size())),
      stopped_until_(index(terms_.nodes), -1),
      node_killed_at_(index(terms_.nodes), -1),
      tenant_asks_(terms_.tenants.size()) {
    for (Server& s : servers_) s.told_start.assign(index(terms_.nodes), false);
}

// ---- clients --------------------------------------------------------------------------------------------

void Auditor::asked(double now, int inv, const Ask& ask) {
    if (invocations_.size() <= index(inv)) invocations_.resize(index(inv) + 1);
    Invocation& v = invocations_[index(inv)];
    v.ask = ask;
    v.asked_at = now;
    if (ask.counts) ++verdict_.invocations;
    if (users_.size() <= index(ask.user)) users_.resize(index(ask.user) + 1);
    User& u = users_[index(ask.user)];
    if (ask.attempt > 0) return;
    u.operation = ask.operation;
    u.tenant = ask.tenant;
    u.first_asked = now;
    if (!ask.counts) return;
    ++verdict_.users;
    u.worth = terms_.operations[index(ask.operation)].priority_weight;
    if (ask.tenant < 0) return;
    // What goes beyond a tenant's share in its second is worth less.
    std::vector<double>& asks = tenant_asks_[index(ask.tenant)];
    const std::size_t second = static_cast<std::size_t>(std::max(0.0, now));
    if (asks.size() <= second) asks.resize(second + 1);
    const double quota = terms_.tenants[index(ask.tenant)].quota;
    if (++asks[second] > quota && quota > 0) u.worth *= terms_.beyond_share_part;
}

void Auditor::close(int inv, double now, Close how) {
    Invocation& v = invocations_[index(inv)];
    v.close = how;
    v.closed_at = now;
}

void Auditor::replied(double now, int inv, Reply reply, int forward) {
    Invocation& v = invocations_[index(inv)];
    if (v.close == Close::replied) {
        find(1, inv, now, v.asked_at,
             "a second final answer (" + std::string(word(reply)) + ") after one at " + stamp(v.closed_at),
             false);
        return;
    }
    if (v.close != Close::open) return;  // a client that has gone may still be written to
    v.reply = reply;
    close(inv, now, Close::replied);
    switch (reply) {
        case Reply::succeeded:
            ++verdict_.succeeded;
            break;
        case Reply::throttled:
            ++verdict_.throttled;
            break;
        case Reply::errored:
            ++verdict_.errored;
            break;
        case Reply::cut:
            ++verdict_.cut;
            break;
    }
    if (now > due(v) + terms_.slack && !lost_with(v)) {
        find(1, inv, now, due(v),
             "its final answer (" + std::string(word(reply)) + ") came " + seconds_text(now - due(v)) +
                 " after the client timeout");
    }
    const Operation& op = terms_.operations[index(v.ask.operation)];
    if (reply == Reply::succeeded) {
        const bool made =
            forward >= 0 && index(forward) < forwards_.size() && forwards_[index(forward)].inv == inv &&
            (forwards_[index(forward)].outcome == Outcome::done || forwards_[index(forward)].dropped);
        if (!made) {
            find(1, inv, now, now, "succeeded with an answer that no server made for this invocation", false);
            return;
        }
        User& u = users_[index(v.ask.user)];
        const double took = now - u.first_asked;
        const double part = took <= op.latency_objective ? 1 : op.late_value_ratio;
        u.earned = std::max(u.earned, u.worth * part);
    }
    if (reply == Reply::throttled && op.idempotency == Idempotency::none) {
        for (const int f : v.forwards) {
            if (!may_have_run(f, now)) continue;
            find(2, inv, now, forwards_[index(f)].last_byte,
                 "non-idempotent and throttled, which invites a repeat, though forward " + std::to_string(f) +
                     " to " + server_name(forwards_[index(f)].server) + " may have run",
                 false);
            break;
        }
    }
}

bool Auditor::lost_with(const Invocation& v) const {
    return std::max(node_killed_at_[index(v.ask.node)], stopped_until_[index(v.ask.node)]) >= v.asked_at;
}

void Auditor::client_left(double now, int inv) {
    if (invocations_[index(inv)].close != Close::open) return;
    close(inv, now, Close::left);
    if (invocations_[index(inv)].ask.counts) ++verdict_.left;
}

void Auditor::unreachable(double now, int inv) {
    if (invocations_[index(inv)].close == Close::open) close(inv, now, Close::unreachable);
}

void Auditor::connection_ended(double now, int inv) {
    Invocation& v = invocations_[index(inv)];
    if (v.close != Close::open) return;
    if (lost_with(v)) {
        close(inv, now, Close::lost_with_node);
        ++verdict_.lost_with_node;
        return;
    }
    close(inv, now, Close::lost);
    ++verdict_.unanswered;
    // A watcher that is late may have left a new connection without a word until the node let it go.
    find(1, inv, now, v.asked_at, "the node ended the connection with no whole answer");
}

void Auditor::gave_up(double now, int inv) {
    Invocation& v = invocations_[index(inv)];
    if (v.close != Close::open) return;
    if (lost_with(v)) {
        close(inv, now, Close::lost_with_node);
        ++verdict_.lost_with_node;
        return;
    }
    if (now < due(v) + terms_.slack) return client_left(now, inv);  // nothing was owed yet
    close(inv, now, Close::gave_up);
    ++verdict_.unanswered;
    find(1, inv, now, due(v),
         "no final answer until " + seconds_text(now - due(v)) + " after the client timeout");
}

// ---- servers --------------------------------------------------------------------------------------------

// Whether a forward that reached its server may have had its effect by `at`, or may still have it.
bool Auditor::may_have_run(int forward, double at) const {
    const Forward& f = forwards_[index(forward)];
    return !(f.outcome == Outcome::busy && f.over_at >= 0 && f.over_at <= at);
}

bool Auditor::drops_repeats(DeduplicationScope scope, int first_server, int server) const {
    if (server == first_server) return true;
    if (server == terms_.origin || first_server == terms_.origin) return false;
    switch (scope) {
        case DeduplicationScope::all:
            return true;
        case DeduplicationScope::zone:
            return terms_.server_zones[index(server)] == terms_.server_zones[index(first_server)];
        case DeduplicationScope::cell:
            return terms_.server_cells[index(server)] == terms_.server_cells[index(first_server)];
    }
    return false;
}

void Auditor::forwarded(double first_byte, double last_byte, int forward, int inv, int server, double work) {
    if (forwards_.size() <= index(forward)) forwards_.resize(index(forward) + 1);
    forwards_[index(forward)] = {inv, server,        work, first_byte, last_byte,
                                 -1,  Outcome::none, -1,   false,      false};
    ++verdict_.forwards;
    Server& s = servers_[index(server)];
    s.lately.push_back(forward);
    while (!s.lately.empty() &&
           forwards_[index(s.lately.front())].last_byte < last_byte - std::max(terms_.fall_time, 1.0)) {
        s.lately.pop_front();
    }
    if (inv < 0 || index(inv) >= invocations_.size()) {
        find(1, -1, last_byte, last_byte,
             "a forward to " + server_name(server) + " names no invocation that was asked", false);
        return;
    }
    judge_forward(forward);
    invocations_[index(inv)].forwards.push_back(forward);
    if (server == terms_.origin ? terms_.origin_limit > 0 : terms_.cold_limit > 0 && s.cold)
        judge_limit(last_byte, server);
}

// What all nodes together sent in the last second. Beyond the limit there may be what was saved up: a quarter
// of a second's, and one forward at each node. To a cold server only those that knew of its start are held.
void Auditor::judge_limit(double now, int server) {
    Server& s = servers_[index(server)];
    const double limit = server == terms_.origin ? terms_.origin_limit : terms_.cold_limit;
    double sent = 0, from = now;
    int last = -1;
    for (auto f = s.lately.rbegin(); f != s.lately.rend() && forwards_[index(*f)].last_byte > now - 1; ++f) {
        last = forwards_[index(*f)].inv;
        if (last < 0 || (server != terms_.origin && !s.told_start[index(invocations_[index(last)].ask.node)]))
            continue;
        ++sent;
        from = forwards_[index(*f)].last_byte;
    }
    if (sent <= limit * 1.25 + terms_.nodes || now - s.over_limit_at < 1) return;
    s.over_limit_at = now;
    char text[160];
    std::snprintf(text, sizeof text,
                  "%s got %.0f forwards within a second, of %.4g a second that all nodes together may send",
                  server_name(server).c_str(), sent, limit);
    find(5, last, now, from, text);
}

void Auditor::judge_forward(int forward) {
    const Forward& f = forwards_[index(forward)];
    const Invocation& v = invocations_[index(f.inv)];
    const Operation& op = terms_.operations[index(v.ask.operation)];
    // Every forward comes by here, and hardly any has anything to be said of it.
    const auto to = [&] { return "forward " + std::to_string(forward) + " to " + server_name(f.server); };
    if (v.close == Close::replied && f.first_byte > v.closed_at + terms_.slack) {
        find(1, f.inv, f.first_byte, v.closed_at,
             to() + " was sent " + seconds_text(f.first_byte - v.closed_at) + " after the final answer");
    }
    const Drain& drain = told_[index(v.ask.node)][index(f.server)];
    if (drain.standing != EndpointState::ready &&
        f.first_byte > drain.since + terms_.drain_grace + terms_.slack) {
        find(3, f.inv, f.first_byte, drain.since,
             to() + " began " + seconds_text(f.first_byte - drain.since) + " after node " +
                 std::to_string(v.ask.node) + " was told that it " +
                 (drain.standing == EndpointState::removed ? "is gone" : "drains") + " (grace " +
                 seconds_text(terms_.drain_grace) + ")");
    }
    if (op.idempotency == Idempotency::idempotent || v.forwards.empty()) return;
    for (const int earlier : v.forwards) {
        if (!may_have_run(earlier, f.first_byte)) continue;
        const Forward& e = forwards_[index(earlier)];
        const auto after = [&] {
            return " though forward " + std::to_string(earlier) + " to " + server_name(e.server) +
                   " may have run";
        };
        if (op.idempotency == Idempotency::none) {
            find(2, f.inv, f.first_byte, e.last_byte, "non-idempotent: " + to() + " was sent" + after(),
                 false);
            return;
        }
        if (!drops_repeats(op.deduplication_scope, e.server, f.server)) {
            find(2, f.inv, f.first_byte, e.last_byte,
                 "deduplicated: " + to() + " is outside the group that drops its repeats," + after(), false);
            return;
        }
        if (f.last_byte > e.last_byte + op.deduplication_window + terms_.slack) {
            find(2, f.inv, f.first_byte, e.last_byte,
                 "deduplicated: " + to() + " came " + seconds_text(f.last_byte - e.last_byte) +
                     " later, when its mark is forgotten (" + seconds_text(op.deduplication_window) + ")," +
                     after());
            return;
        }
    }
}

void Auditor::ran(double now, int forward) {
    Forward& f = forwards_[index(forward)];
    f.ran_at = now;
    ++verdict_.effects;
    if (f.inv < 0) return;
    judge_effects(invocations_[index(f.inv)].ask.user, forward);
}

// Two effects for one thing that a user wanted. Where a client tried again by what the rules let it believe,
// the node that told it so is at fault; the earlier checks name that too, but only this one sees the harm.
void Auditor::judge_effects(int user, int forward) {
    User& u = users_[index(user)];
    const Operation& op = terms_.operations[index(u.operation)];
    if (op.idempotency == Idempotency::idempotent) return;
    if (u.first_effect < 0) {
        u.first_effect = forward;
        return;
    }
    const Forward& first = forwards_[index(u.first_effect)];
    const Forward& second = forwards_[index(forward)];
    // A server that forgot its marks with a restart did this, not the node.
    const double restarted = servers_[index(second.server)].started;
    if (op.idempotency == Idempotency::idempotency_key && restarted > first.last_byte) return;
    find(2, second.inv, second.ran_at, second.ran_at,
         "its effect happened twice: forward " + std::to_string(u.first_effect) + " (invocation " +
             std::to_string(first.inv) + ") at " + stamp(first.ran_at) + " and forward " +
             std::to_string(forward) + " at " + stamp(second.ran_at),
         false);
}

void Auditor::dropped_repeat(double, int forward) {
    forwards_[index(forward)].dropped = true;
    ++verdict_.dropped_repeats;
}

void Auditor::ended(double now, int forward, Outcome outcome) {
    Forward& f = forwards_[index(forward)];
    if (f.over_at >= 0) return;
    f.over_at = now;
    f.outcome = outcome;
    f.missed_cold = outcome == Outcome::miss && servers_[index(f.server)].cold;
}

void Auditor::started(double now, int server, bool cold) {
    Server& s = servers_[index(server)];
    s.cold = cold;
    s.started = now;
    s.told_start.assign(index(terms_.nodes), false);
}

void Auditor::warm(double, int server) { servers_[index(server)].cold = false; }

void Auditor::pushed_over(double now, int server) { judge_push(now, server); }

void Auditor::judge_push(double now, int server) {
    const Server& s = servers_[index(server)];
    double all = 0, told = 0, cold_misses = 0;
    std::vector<double> by_node(index(terms_.nodes), 0);
    int last = -1;
    for (const int i : s.lately) {
        const Forward& f = forwards_[index(i)];
        if (f.last_byte < now - std::max(terms_.fall_time, 1.0) || f.inv < 0) continue;
        const Invocation& v = invocations_[index(f.inv)];
        all += f.work;
        last = f.inv;
        by_node[index(v.ask.node)] += f.work;
        if (s.told_start[index(v.ask.node)]) told += f.work;
        for (const int earlier : v.forwards) {
            if (!forwards_[index(earlier)].missed_cold) continue;
            cold_misses += f.work;
            break;
        }
    }
    if (all == 0) return;
    const auto percent = [all](double part) { return std::to_string(std::lround(100 * part / all)) + "%"; };
    std::string shares;
    for (std::size_t n = 0; n < by_node.size(); ++n) {
        shares +=
            (n == 0 ? "" : ", ") + std::string("node ") + std::to_string(n) + ": " + percent(by_node[n]);
    }
    if (server == terms_.origin) {
        if (cold_misses < kColdMisses * all) return;
        find(4, last, now, now,
             "the origin was stopped by " + std::to_string(s.lately.size()) + " forwards in " +
                 seconds_text(terms_.fall_time) + ", " + percent(cold_misses) +
                 " of them for misses at cold servers (" + shares + ")");
        return;
    }
    if (!s.cold || told < kToldOfStart * all) return;
    find(4, last, now, now,
         "the cold server " + server_name(server) + " was pushed over by " + std::to_string(s.lately.size()) +
             " forwards in " + seconds_text(terms_.fall_time) + ", " + percent(told) +
             " of them from nodes that knew of its start (" + shares + ")");
}

// ---- discovery, nodes, and the watcher itself ------------------------------------------------------------

void Auditor::told(double now, int node, int server, EndpointState standing, bool fresh_start) {
    Drain& d = told_[index(node)][index(server)];
    // Said again, it is no news: the grace runs from the first word.
    const bool news = d.standing == EndpointState::ready || standing == EndpointState::ready;
    if (news) d = {standing, now};
    d.standing = standing;
    if (fresh_start) servers_[index(server)].told_start[index(node)] = true;
}

// It starts from nothing but its list, so what its former self was told does not bind it.
void Auditor::node_up(double, int node) { told_[index(node)].assign(terms_.server_names.size(), {}); }

void Auditor::node_killed(double now, int node) { node_killed_at_[index(node)] = now; }

void Auditor::late(double now, double by) {
    late_worst_ = std::max(late_worst_, by);
    if (by < terms_.late_most) return;
    const double from = late_.empty() ? now - by : std::max(now - by, late_.back().second);
    if (now > from) late_sum_ += now - from;
    late_.emplace_back(now - by, now);
}

bool Auditor::watched_well(double from, double until) const {
    // What was seen late is dated late: a limit that was passed shortly after such a time cannot be told from
    // one that was kept.
    for (auto at = late_.rbegin(); at != late_.rend(); ++at) {
        if (at->second < from - terms_.slack) return true;
        if (at->first <= until + terms_.slack) return false;
    }
    return true;
}

// Whether the machine ran well is known only at the end, as lateness is told after the fact; so all are kept
// until finish().
void Auditor::find(int rule, int inv, double at, double from, std::string what, bool by_clock) {
    if (suspicions_.size() >= kSuspicionsKept) {
        ++beyond_kept_[index(rule)];
        return;
    }
    suspicions_.push_back({{rule, inv, at - begin_, std::move(what), {}}, std::min(from, at), by_clock});
}

std::string Auditor::stamp(double time) const { return seconds_text(time - begin_); }

std::string Auditor::server_name(int server) const {
    return index(server) < terms_.server_names.size() ? terms_.server_names[index(server)] : "?";
}

std::string Auditor::operation_name(int operation) const {
    return index(operation) < terms_.operation_names.size() ? terms_.operation_names[index(operation)]
                                                            : std::to_string(operation);
}

std::vector<std::string> Auditor::trace(int inv) const {
    if (inv < 0 || index(inv) >= invocations_.size()) return {};
    std::vector<std::pair<double, std::string>> lines;
    const int user = invocations_[index(inv)].ask.user;
    const auto add = [&](int which) {
        const Invocation& v = invocations_[index(which)];
        lines.emplace_back(
            v.asked_at, "invocation " + std::to_string(which) + " (try " + std::to_string(v.ask.attempt + 1) +
                            ", " + operation_name(v.ask.operation) + ", node " + std::to_string(v.ask.node) +
                            ") asked, waits " + seconds_text(v.ask.time_left));
        for (const int i : v.forwards) {
            const Forward& f = forwards_[index(i)];
            lines.emplace_back(f.last_byte,
                               "  forward " + std::to_string(i) + " reached " + server_name(f.server));
            if (f.ran_at >= 0)
                lines.emplace_back(f.ran_at, "  forward " + std::to_string(i) + " took effect");
            if (f.over_at >= 0) {
                lines.emplace_back(f.over_at, "  forward " + std::to_string(i) +
                                                  " ended: " + word(f.outcome) +
                                                  (f.dropped ? " (a repeat, dropped)" : ""));
            }
        }
        if (v.closed_at < 0) return;
        const char* how = v.close == Close::replied          ? word(v.reply)
                          : v.close == Close::left           ? "its client left"
                          : v.close == Close::lost           ? "connection ended by the node"
                          : v.close == Close::gave_up        ? "its client gave up"
                          : v.close == Close::lost_with_node ? "lost with its node"
                                                             : "node out of reach";
        lines.emplace_back(v.closed_at, "invocation " + std::to_string(which) + ": " + how);
    };
    // A user's tries are close together, so they are looked for nearby; a whole day would be long to search.
    constexpr int kNearby = 20000;
    const int from = std::max(0, inv - kNearby);
    const int until = std::min(static_cast<int>(invocations_.size()), inv + kNearby);
    for (int i = from; i < until; ++i) {
        if (invocations_[index(i)].ask.user == user) add(i);
    }
    std::stable_sort(lines.begin(), lines.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    std::vector<std::string> out;
    for (const auto& [at, text] : lines) out.push_back(stamp(at) + "  " + text);
    return out;
}

// ---- the end --------------------------------------------------------------------------------------------

void Auditor::account(Verdict& v) {
    v.operations.resize(terms_.operations.size());
    v.tenants.resize(terms_.tenants.size());
    const double day = terms_.day;
    v.seconds.resize(static_cast<std::size_t>(std::ceil(std::max(0.0, day))));
    for (const User& u : users_) {
        const double asked_at = u.first_asked - begin_;
        if (u.worth <= 0 || asked_at >= day) continue;
        const auto add = [&](Account& a) {
            a.asked += u.worth;
            a.earned += u.earned;
        };
        const auto second = static_cast<std::size_t>(std::max(0.0, asked_at));
        if (second < v.seconds.size()) add(v.seconds[second]);
        if (asked_at < terms_.count_from) continue;
        add(v.whole);
        add(v.operations[index(u.operation)]);
        if (u.tenant >= 0) add(v.tenants[index(u.tenant)]);
    }
    const auto first = static_cast<std::size_t>(terms_.count_from);
    const auto length = static_cast<std::size_t>(kTen);
    v.worst_ten = v.whole.part();
    v.worst_ten_from = terms_.count_from;
    for (std::size_t s = first; s + length <= v.seconds.size(); ++s) {
        Account window;
        for (std::size_t i = s; i < s + length; ++i) {
            window.asked += v.seconds[i].asked;
            window.earned += v.seconds[i].earned;
        }
        if (window.asked > 0 && window.part() < v.worst_ten) {
            v.worst_ten = window.part();
            v.worst_ten_from = static_cast<double>(s);
        }
    }
}

Verdict Auditor::finish(double now) {
    for (std::size_t i = 0; i < invocations_.size(); ++i) gave_up(now, static_cast<int>(i));
    Verdict v = verdict_;
    for (Suspicion& s : suspicions_) {
        const bool aside = s.by_clock && !watched_well(s.from, s.finding.at + begin_);
        std::vector<Finding>& where = aside ? v.set_aside : v.findings;
        if (!aside) ++v.broken[index(s.finding.rule)];
        if (where.size() >= kTraced) continue;
        s.finding.trace = trace(s.finding.inv);
        where.push_back(std::move(s.finding));
    }
    // Those beyond were not weighed; they count only where others of their rule stood.
    for (std::size_t rule = 0; rule < v.broken.size(); ++rule) {
        if (v.broken[rule] > 0) v.broken[rule] += beyond_kept_[rule];
    }
    std::stable_sort(v.findings.begin(), v.findings.end(),
                     [](const Finding& a, const Finding& b) { return a.at < b.at; });
    v.late_worst = late_worst_;
    v.late_share = now > begin_ ? late_sum_ / (now - begin_) : 0;
    if (v.findings.empty() && !v.set_aside.empty()) {
        v.void_run = true;
        v.void_why = "the watcher was late just when " + std::to_string(v.set_aside.size()) +
                     " limits seemed to be passed";
    } else if (v.late_share > kLateShareMost) {
        v.void_run = true;
        v.void_why =
            "the watcher was late for " + std::to_string(std::lround(100 * v.late_share)) + "% of the day";
    }
    account(v);
    return v;
}

}  // namespace brookrelay::audit
