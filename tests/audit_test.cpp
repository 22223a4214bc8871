// The auditor against hand-written histories: each way to break a rule, and next to it the closest case that
// does not break it. There are no sockets and no clock.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <string>

#include "audit/auditor.h"

namespace {

using namespace brookrelay;
using namespace brookrelay::audit;

enum Op { kRead, kDedup, kOnce };
constexpr int kBoxA = 0, kBoxB = 1, kBoxC = 2, kOrigin = 3;  // A and B are in one zone, C is in another.

Terms terms() {
    Terms t;
    Operation read, dedup, once;
    read.client_timeout = dedup.client_timeout = once.client_timeout = 1;
    read.latency_objective = dedup.latency_objective = once.latency_objective = 0.5;
    dedup.idempotency = Idempotency::idempotency_key;
    dedup.deduplication_scope = DeduplicationScope::zone;
    dedup.deduplication_window = 2;
    once.idempotency = Idempotency::none;
    t.operations = {read, dedup, once};
    t.operation_names = {"read", "dedup", "once"};
    t.tenants = {{0}, {2}};
    t.tenant_names = {"free", "small"};
    t.server_names = {"A", "B", "C", "origin"};
    t.server_zones = {0, 0, 1, 0};
    t.server_cells = {0, 1, 2, 0};
    t.origin = kOrigin;
    t.nodes = 2;
    t.answer_grace = 0.02;
    t.drain_grace = 0.3;
    t.overload_window = 2;
    t.over_quota_value_ratio = 0.1;
    t.duration = 20;
    return t;
}

// One run with its auditor, and the usual steps of a history.
struct Day {
    Auditor judge{terms()};
    int forwards = 0;
    int asked = 0;

    // Closes the clients that still wait, so that no case breaks rule 1 just because its history ends.
    Verdict end() {
        for (int i = 0; i < asked; ++i) judge.on_client_closed(1.9, i);
        return judge.finish(10);
    }
    void ask(double at, int inv, Op op, int node = 0, int user = -1, int attempt = 0) {
        RequestInfo a;
        a.operation = op;
        a.node = node;
        a.user = user < 0 ? inv : user;
        a.retry_number = attempt;
        a.timeout = 1;
        judge.on_request(at, inv, a);
        asked = std::max(asked, inv + 1);
    }
    int send(double at, int inv, int server, double work = 0.01) {
        judge.on_attempt(at, at, forwards, inv, server, work);
        return forwards++;
    }
    void done(double at, int forward) { judge.on_attempt_finished(at, forward, Outcome::done); }
    void ran(double at, int forward) {
        judge.on_effect(at, forward);
        done(at, forward);
    }
    void busy(double at, int forward) { judge.on_attempt_finished(at, forward, Outcome::busy); }
    // A read that succeeds.
    void fine(double at, int inv, int server = kBoxA, int node = 0) {
        ask(at, inv, kRead, node);
        const int f = send(at + 0.001, inv, server);
        done(at + 0.002, f);
        judge.on_response(at + 0.003, inv, Reply::succeeded, f);
    }
};

struct Case {
    const char* name;
    int rule;          // the broken rule; 0: none
    const char* said;  // part of the violation's text
    std::function<void(Day&)> play;
};

void push(Day& d, int server, int node, int first, int count, double from = 1) {
    for (int i = 0; i < count; ++i) {
        d.ask(from + 0.01 * i, first + i, kRead, node);
        d.send(from + 0.01 * i, first + i, server);
        d.judge.on_client_closed(from + 0.01 * i + 0.005, first + i);
    }
}

// A hundred reads that miss at server A and are then sent to the origin.
void push_misses(Day& d) {
    for (int i = 0; i < 100; ++i) {
        const double at = 1 + 0.0099 * i;
        d.ask(at, i, kRead);
        d.judge.on_attempt_finished(at + 0.001, d.send(at, i, kBoxA), Outcome::miss);
        d.send(at + 0.002, i, kOrigin);
        d.judge.on_client_closed(at + 0.005, i);
    }
}

const Case kCases[] = {
    {"a request that succeeds", 0, "", [](Day& d) { d.fine(1, 0); }},
    // ---- rule 1
    {"no response", 1, "no final answer",
     [](Day& d) {
         d.ask(1, 0, kRead);
         d.judge.on_client_timeout(2.2, 0);
     }},
    {"no response yet, before the deadline", 0, "",
     [](Day& d) {
         d.ask(1, 0, kRead);
         d.judge.on_client_timeout(2.05, 0);
     }},
    {"a response after the deadline", 1, "after the client timeout",
     [](Day& d) {
         d.ask(1, 0, kRead);
         d.judge.on_response(2.08, 0, Reply::rejected, -1);
     }},
    {"a response within the grace", 0, "",
     [](Day& d) {
         d.ask(1, 0, kRead);
         d.judge.on_response(2.06, 0, Reply::rejected, -1);
     }},
    {"two responses", 1, "second final answer",
     [](Day& d) {
         d.fine(1, 0);
         d.judge.on_response(1.5, 0, Reply::failed, -1);
     }},
    {"a response to a client that has closed", 0, "",
     [](Day& d) {
         d.ask(1, 0, kRead);
         d.judge.on_client_closed(1.1, 0);
         d.judge.on_response(1.2, 0, Reply::failed, -1);
     }},
    {"the connection is closed without a response", 1, "closed the connection",
     [](Day& d) {
         d.ask(1, 0, kRead);
         d.judge.on_connection_closed(1.2, 0);
     }},
    {"it is closed because the node was killed", 0, "",
     [](Day& d) {
         d.ask(1, 0, kRead);
         d.judge.on_node_killed(1.1, 0);
         d.judge.on_connection_closed(1.2, 0);
     }},
    {"it is closed by one node when another was killed", 1, "closed the connection",
     [](Day& d) {
         d.ask(1, 0, kRead);
         d.judge.on_node_killed(1.1, 1);
         d.judge.on_connection_closed(1.2, 0);
     }},
    {"the node was killed before the request", 1, "closed the connection",
     [](Day& d) {
         d.judge.on_node_killed(0.5, 0);
         d.ask(1, 0, kRead);
         d.judge.on_connection_closed(1.2, 0);
     }},
    {"the node was unreachable", 0, "",
     [](Day& d) {
         d.ask(1, 0, kRead);
         d.judge.on_unreachable(1.1, 0);
     }},
    {"an attempt after the response", 1, "after the final answer",
     [](Day& d) {
         d.fine(1, 0);
         d.send(1.1, 0, kBoxB);
     }},
    {"an attempt in transit when the response was given", 0, "",
     [](Day& d) {
         d.fine(1, 0);
         d.send(1.04, 0, kBoxB);
     }},
    {"a success that no server made", 1, "no server made",
     [](Day& d) {
         d.ask(1, 0, kRead);
         d.judge.on_response(1.1, 0, Reply::succeeded, -1);
     }},
    {"a success that a server made for another request", 1, "no server made",
     [](Day& d) {
         d.fine(1, 0);
         d.ask(2, 1, kRead);
         d.judge.on_response(2.1, 1, Reply::succeeded, 0);
     }},
    {"a success by an attempt that had no response", 1, "no server made",
     [](Day& d) {
         d.ask(1, 0, kRead);
         const int f = d.send(1.01, 0, kBoxA);
         d.judge.on_response(1.1, 0, Reply::succeeded, f);
     }},
    {"a success by a dropped duplicate", 0, "",
     [](Day& d) {
         d.ask(1, 0, kDedup);
         const int f = d.send(1.01, 0, kOrigin);
         d.judge.on_duplicate_dropped(1.02, f);
         d.done(1.02, f);
         d.judge.on_response(1.1, 0, Reply::succeeded, f);
     }},
    {"an attempt that names no request", 1, "names no request", [](Day& d) { d.send(1, -1, kBoxA); }},
    // ---- rule 2, non-idempotent
    {"non-idempotent, retried without a response", 2, "non-idempotent",
     [](Day& d) {
         d.ask(1, 0, kOnce);
         d.send(1.01, 0, kOrigin);
         d.send(1.3, 0, kOrigin);
     }},
    {"non-idempotent, retried after an error", 2, "non-idempotent",
     [](Day& d) {
         d.ask(1, 0, kOnce);
         d.judge.on_attempt_finished(1.02, d.send(1.01, 0, kOrigin), Outcome::failed);
         d.send(1.3, 0, kOrigin);
     }},
    {"non-idempotent, retried after busy", 0, "",
     [](Day& d) {
         d.ask(1, 0, kOnce);
         d.busy(1.02, d.send(1.01, 0, kOrigin));
         d.ran(1.4, d.send(1.3, 0, kOrigin));
     }},
    {"non-idempotent, retried just before busy arrived", 2, "non-idempotent",
     [](Day& d) {
         d.ask(1, 0, kOnce);
         const int f = d.send(1.01, 0, kOrigin);
         d.send(1.3, 0, kOrigin);
         d.busy(1.31, f);
     }},
    {"non-idempotent, throttled with an open attempt", 2, "throttled",
     [](Day& d) {
         d.ask(1, 0, kOnce);
         d.send(1.01, 0, kOrigin);
         d.judge.on_response(1.5, 0, Reply::rejected, -1);
     }},
    {"non-idempotent, errored with an open attempt", 0, "",
     [](Day& d) {
         d.ask(1, 0, kOnce);
         d.send(1.01, 0, kOrigin);
         d.judge.on_response(1.5, 0, Reply::failed, -1);
     }},
    {"non-idempotent, throttled before any attempt", 0, "",
     [](Day& d) {
         d.ask(1, 0, kOnce);
         d.judge.on_response(1.5, 0, Reply::rejected, -1);
     }},
    {"non-idempotent, throttled after busy", 0, "",
     [](Day& d) {
         d.ask(1, 0, kOnce);
         d.busy(1.02, d.send(1.01, 0, kOrigin));
         d.judge.on_response(1.5, 0, Reply::rejected, -1);
     }},
    {"an effect that happens twice over a request and its retry", 2, "happened twice",
     [](Day& d) {
         d.ask(1, 0, kOnce, 0, 0, 0);
         const int first = d.send(1.01, 0, kOrigin);
         d.busy(1.02, first);  // busy says that it never ran, but it runs later
         d.ran(1.03, first);
         d.judge.on_response(1.04, 0, Reply::rejected, -1);
         d.ask(1.2, 1, kOnce, 1, 0, 1);
         d.ran(1.25, d.send(1.21, 1, kOrigin));
     }},
    {"two users with one effect each", 0, "",
     [](Day& d) {
         d.ask(1, 0, kOnce);
         d.ran(1.02, d.send(1.01, 0, kOrigin));
         d.ask(1, 1, kOnce);
         d.ran(1.04, d.send(1.03, 1, kOrigin));
     }},
    {"an idempotent effect that happens twice", 0, "",
     [](Day& d) {
         d.ask(1, 0, kRead);
         d.ran(1.02, d.send(1.01, 0, kBoxA));
         d.ran(1.04, d.send(1.03, 0, kBoxB));
     }},
    // ---- rule 2, deduplicated
    {"deduplicated, retried in its group and window", 0, "",
     [](Day& d) {
         d.ask(1, 0, kDedup);
         d.send(1.01, 0, kBoxA);
         d.send(1.3, 0, kBoxB);
     }},
    {"deduplicated, retried outside its group", 2, "outside the group",
     [](Day& d) {
         d.ask(1, 0, kDedup);
         d.send(1.01, 0, kBoxA);
         d.send(1.3, 0, kBoxC);
     }},
    {"deduplicated, retried outside its group after busy", 0, "",
     [](Day& d) {
         d.ask(1, 0, kDedup);
         d.busy(1.02, d.send(1.01, 0, kBoxA));
         d.send(1.3, 0, kBoxC);
     }},
    {"deduplicated, at a cache server and then at the origin", 2, "outside the group",
     [](Day& d) {
         d.ask(1, 0, kDedup);
         d.send(1.01, 0, kBoxA);
         d.send(1.3, 0, kOrigin);
     }},
    {"deduplicated, after its idempotency key is forgotten", 2, "forgotten",
     [](Day& d) {
         d.ask(1, 0, kDedup);
         d.send(1.01, 0, kOrigin);
         d.send(3.07, 0, kOrigin);
     }},
    {"deduplicated, just before its idempotency key is forgotten", 0, "",
     [](Day& d) {
         d.ask(1, 0, kDedup);
         d.send(1.01, 0, kOrigin);
         d.send(3.05, 0, kOrigin);
     }},
    {"deduplicated, throttled with an open attempt", 0, "",
     [](Day& d) {
         d.ask(1, 0, kDedup);
         d.send(1.01, 0, kOrigin);
         d.judge.on_response(1.5, 0, Reply::rejected, -1);
     }},
    {"deduplicated, but the effect happens twice", 2, "happened twice",
     [](Day& d) {
         d.ask(1, 0, kDedup);
         d.ran(1.02, d.send(1.01, 0, kBoxA));
         d.ran(1.4, d.send(1.3, 0, kBoxB));
     }},
    {"twice, because the server lost its deduplication state in a restart", 0, "",
     [](Day& d) {
         d.ask(1, 0, kDedup);
         d.ran(1.02, d.send(1.01, 0, kBoxA));
         d.judge.on_server_started(1.2, kBoxB, false);
         d.ran(1.4, d.send(1.3, 0, kBoxB));
     }},
    // ---- rule 3
    {"an attempt to a draining server after the grace", 3, "drains",
     [](Day& d) {
         d.judge.on_endpoint_state(1, 0, kBoxA, EndpointState::draining, false);
         d.fine(1.36, 0);
     }},
    {"an attempt to a draining server within the grace", 0, "",
     [](Day& d) {
         d.judge.on_endpoint_state(1, 0, kBoxA, EndpointState::draining, false);
         d.fine(1.34, 0);
     }},
    {"another node was notified", 0, "",
     [](Day& d) {
         d.judge.on_endpoint_state(1, 1, kBoxA, EndpointState::draining, false);
         d.fine(1.5, 0);
     }},
    {"notified again, the grace runs from the first notification", 3, "is removed",
     [](Day& d) {
         d.judge.on_endpoint_state(1, 0, kBoxA, EndpointState::draining, false);
         d.judge.on_endpoint_state(1.3, 0, kBoxA, EndpointState::removed, false);
         d.fine(1.4, 0);
     }},
    {"it is ready again", 0, "",
     [](Day& d) {
         d.judge.on_endpoint_state(1, 0, kBoxA, EndpointState::draining, false);
         d.judge.on_endpoint_state(1.3, 0, kBoxA, EndpointState::ready, false);
         d.fine(2, 0);
     }},
    {"the node has restarted since the notification", 0, "",
     [](Day& d) {
         d.judge.on_endpoint_state(1, 0, kBoxA, EndpointState::removed, false);
         d.judge.on_node_started(1.3, 0);
         d.fine(2, 0);
     }},
    // ---- rule 4
    {"a cold server overloaded by nodes that knew of its start", 4, "pushed over",
     [](Day& d) {
         d.judge.on_server_started(0.5, kBoxA, true);
         d.judge.on_endpoint_state(0.8, 0, kBoxA, EndpointState::ready, true);
         push(d, kBoxA, 0, 0, 100);
         d.judge.on_server_overloaded(2, kBoxA);
     }},
    {"overloaded by nodes that did not know of its start", 0, "",
     [](Day& d) {
         d.judge.on_server_started(0.5, kBoxA, true);
         push(d, kBoxA, 0, 0, 100);
         d.judge.on_server_overloaded(2, kBoxA);
     }},
    {"by two nodes, less than two thirds by the one that knew", 0, "",
     [](Day& d) {
         d.judge.on_server_started(0.5, kBoxA, true);
         d.judge.on_endpoint_state(0.8, 0, kBoxA, EndpointState::ready, true);
         push(d, kBoxA, 0, 0, 60);
         push(d, kBoxA, 1, 60, 40);
         d.judge.on_server_overloaded(2, kBoxA);
     }},
    {"it was warm by then", 0, "",
     [](Day& d) {
         d.judge.on_server_started(0.5, kBoxA, true);
         d.judge.on_endpoint_state(0.8, 0, kBoxA, EndpointState::ready, true);
         d.judge.on_server_warm(0.9, kBoxA);
         push(d, kBoxA, 0, 0, 100);
         d.judge.on_server_overloaded(2, kBoxA);
     }},
    {"it restarted, and no node was notified of that", 0, "",
     [](Day& d) {
         d.judge.on_server_started(0.3, kBoxA, true);
         d.judge.on_endpoint_state(0.4, 0, kBoxA, EndpointState::ready, true);
         d.judge.on_server_started(0.5, kBoxA, true);
         push(d, kBoxA, 0, 0, 100);
         d.judge.on_server_overloaded(2, kBoxA);
     }},
    {"the origin overloaded by cold misses", 4, "origin was overloaded",
     [](Day& d) {
         d.judge.on_server_started(0.5, kBoxA, true);
         for (int i = 0; i < 100; ++i) {
             const double at = 1 + 0.01 * i;
             d.ask(at, i, kRead);
             if (i % 2 == 0) d.judge.on_attempt_finished(at + 0.001, d.send(at, i, kBoxA), Outcome::miss);
             d.send(at + 0.002, i, kOrigin);
             d.judge.on_client_closed(at + 0.005, i);
         }
         d.judge.on_server_overloaded(2, kOrigin);
     }},
    {"the origin overloaded by misses at a server that has become warm since", 4, "origin was overloaded",
     [](Day& d) {
         d.judge.on_server_started(0.5, kBoxA, true);
         push_misses(d);
         d.judge.on_server_warm(1.99, kBoxA);
         d.judge.on_server_overloaded(2, kOrigin);
     }},
    {"the origin overloaded by misses at a server that became cold only after them", 0, "",
     [](Day& d) {
         push_misses(d);
         d.judge.on_server_started(1.995, kBoxA, true);
         d.judge.on_server_overloaded(2, kOrigin);
     }},
    {"the origin overloaded by misses at warm servers", 0, "",
     [](Day& d) {
         push_misses(d);
         d.judge.on_server_overloaded(2, kOrigin);
     }},
};

TEST(Auditor, JudgesEachWay) {
    for (const Case& c : kCases) {
        SCOPED_TRACE(c.name);
        Day day;
        c.play(day);
        const Verdict v = day.end();
        EXPECT_FALSE(v.is_void);
        int broken = 0;
        for (const int n : v.violations_by_rule) broken += n;
        if (c.rule == 0) {
            EXPECT_EQ(broken, 0) << (v.violations.empty() ? "" : v.violations.front().what);
            continue;
        }
        EXPECT_EQ(broken, 1);
        EXPECT_EQ(v.violations_by_rule[static_cast<std::size_t>(c.rule)], 1);
        ASSERT_EQ(v.violations.size(), 1U);
        EXPECT_NE(v.violations.front().what.find(c.said), std::string::npos) << v.violations.front().what;
        // A violation about a request has the trace of that request.
        EXPECT_EQ(v.violations.front().trace.empty(), v.violations.front().request < 0);
    }
}

// With a limit of ten per second and two nodes, 14 attempts may arrive within a second: the limit, the tokens
// of a quarter of a second, and one attempt of each node.
TEST(Auditor, HoldsTheStrictLimitsOfAllNodesTogether) {
    struct Row {
        const char* name;
        int server, node, sends;
        double over;      // seconds over which the attempts are spread
        bool cold, told;  // the server is cold; the node was notified of its start
        int broken;
    };
    for (const Row& row :
         {Row{"as many as allowed", kOrigin, 0, 14, 0.5, false, false, 0},
          Row{"one more than allowed", kOrigin, 0, 15, 0.5, false, false, 1},
          Row{"more, spread over two seconds", kOrigin, 0, 20, 2, false, false, 0},
          Row{"for three seconds, reported once per second", kOrigin, 1, 60, 3, false, false, 3},
          Row{"a warm server has no limit", kBoxA, 0, 40, 0.5, false, false, 0},
          Row{"a cold server has a limit", kBoxA, 0, 15, 0.5, true, true, 1},
          Row{"not for a node that was not notified", kBoxA, 1, 40, 0.5, true, false, 0}}) {
        Terms t = terms();
        t.origin_limit = t.cold_limit = 10;
        Day d{Auditor(t)};
        if (row.cold) d.judge.on_server_started(0.5, row.server, true);
        if (row.told) d.judge.on_endpoint_state(0.6, row.node, row.server, EndpointState::ready, true);
        for (int i = 0; i < row.sends; ++i) {
            const double at = 1 + row.over * i / row.sends;
            d.ask(at, i, kRead, row.node);
            d.done(at + 0.001, d.send(at, i, row.server));
            d.judge.on_client_closed(at + 0.002, i);
        }
        EXPECT_EQ(d.judge.finish(10).violations_by_rule[5], row.broken) << row.name;
    }
}

// Observations during a delay of the watcher are dated late, so what they show may be no violation.
TEST(Auditor, ItsOwnLatenessMakesADayVoidAndNotBroken) {
    const struct {
        const char* name;
        double late_until, late_by;
        bool is_void;
    } cases[] = {{"during the violation", 2.1, 0.06, true},
                 {"shortly before the deadline", 2.05, 0.03, true},
                 {"long before the deadline", 1.5, 0.06, false},
                 {"long after the violation", 9, 0.06, false},
                 {"too short to count", 2.1, 0.01, false}};
    for (const auto& c : cases) {
        SCOPED_TRACE(c.name);
        Day day;
        day.ask(1, 0, kRead);
        day.judge.on_watcher_delay(c.late_until, c.late_by);
        day.judge.on_response(2.1, 0, Reply::failed, -1);
        const Verdict v = day.judge.finish(10);
        EXPECT_EQ(v.is_void, c.is_void);
        EXPECT_EQ(v.violations.size(), c.is_void ? 0U : 1U);
        EXPECT_EQ(v.set_aside.size(), c.is_void ? 1U : 0U);
    }
    // A node closes a connection that is silent for long, here because the watcher was delayed.
    Day unsaid;
    unsaid.ask(1, 0, kRead);
    unsaid.judge.on_watcher_delay(3.5, 2.4);
    unsaid.judge.on_connection_closed(3.5, 0);
    EXPECT_TRUE(unsaid.judge.finish(1000).is_void);
    // More violations than the auditor keeps, all during a delay: none of them counts as broken.
    Day many;
    for (int i = 0; i < 30000; ++i) many.ask(1, i, kRead);
    many.judge.on_watcher_delay(3, 2.5);
    for (int i = 0; i < 30000; ++i) many.judge.on_response(3, i, Reply::failed, -1);
    const Verdict all_late = many.judge.finish(1000);
    EXPECT_TRUE(all_late.is_void);
    EXPECT_EQ(all_late.violations_by_rule[1], 0);
    // A violation that does not depend on a clock still counts.
    Day twice;
    twice.fine(1, 0);
    twice.judge.on_watcher_delay(1.6, 0.3);
    twice.judge.on_response(1.6, 0, Reply::failed, -1);
    EXPECT_EQ(twice.judge.finish(100).violations.size(), 1U);
    // A run in which the watcher was delayed for a long time is void.
    Day slow;
    slow.fine(1, 0);
    slow.judge.on_watcher_delay(5, 1);
    EXPECT_TRUE(slow.judge.finish(10).is_void);
}

TEST(Auditor, AccountsBilledService) {
    Day day;
    day.judge.start_run(100);
    const auto ask = [&](double at, int inv, int tenant, int user, int attempt) {
        RequestInfo a;
        a.tenant = tenant;
        a.user = user;
        a.retry_number = attempt;
        a.timeout = 1;
        day.judge.on_request(at, inv, a);
    };
    const auto serve = [&](double at, int inv) {
        const int f = day.send(at - 0.01, inv, kBoxA);
        day.done(at - 0.005, f);
        day.judge.on_response(at, inv, Reply::succeeded, f);
    };
    ask(100, 0, 0, 0, 0);
    serve(100.4, 0);  // in time: earns 1 of 1
    ask(100, 1, 0, 1, 0);
    serve(100.6, 1);  // late: earns 0 of 1
    ask(101, 2, 0, 2, 0);
    day.judge.on_response(101.1, 2, Reply::rejected, -1);
    ask(101.2, 3, 0, 2, 1);
    serve(101.4, 3);  // the retry is in time counted from the first request: earns 1 of 1
    for (int i = 0; i < 4; ++i) ask(102.1, 4 + i, 1, 3 + i, 0);  // two are beyond the quota: 2 + 2 x 0.1
    serve(102.2, 4);
    serve(102.2, 7);  // one within the quota, one beyond it
    const Verdict v = day.judge.finish(110);
    EXPECT_NEAR(v.total.offered, 3 + 2.2, 1e-9);
    EXPECT_NEAR(v.total.earned, 2 + 1.1, 1e-9);
    EXPECT_NEAR(v.tenants[1].ratio(), 1.1 / 2.2, 1e-9);
    EXPECT_NEAR(v.seconds[0].ratio(), 0.5, 1e-9);
    EXPECT_EQ(v.users, 7U);
    EXPECT_EQ(v.requests, 8U);
}

}  // namespace
