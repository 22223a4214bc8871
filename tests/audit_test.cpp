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

enum OperationIndex { kRead, kDeduplicated, kNonIdempotent };
// Servers A and B are in one zone, C is in another.
constexpr int kServerA = 0, kServerB = 1, kServerC = 2, kOrigin = 3;

Terms make_terms() {
    Terms terms;
    Operation read, deduplicated, non_idempotent;
    read.client_timeout = deduplicated.client_timeout = non_idempotent.client_timeout = 1;
    read.latency_objective = deduplicated.latency_objective = non_idempotent.latency_objective = 0.5;
    deduplicated.idempotency = Idempotency::idempotency_key;
    deduplicated.deduplication_scope = DeduplicationScope::zone;
    deduplicated.deduplication_window = 2;
    non_idempotent.idempotency = Idempotency::none;
    terms.operations = {read, deduplicated, non_idempotent};
    terms.operation_names = {"read", "dedup", "once"};
    terms.tenants = {{0}, {2}};
    terms.tenant_names = {"free", "small"};
    terms.server_names = {"A", "B", "C", "origin"};
    terms.server_zones = {0, 0, 1, 0};
    terms.server_cells = {0, 1, 2, 0};
    terms.origin = kOrigin;
    terms.nodes = 2;
    terms.answer_grace = 0.02;
    terms.drain_grace = 0.3;
    terms.overload_window = 2;
    terms.over_quota_value_ratio = 0.1;
    terms.duration = 20;
    return terms;
}

// One run with its auditor, and the usual steps of a history.
struct RunHistory {
    Auditor auditor{make_terms()};
    int attempts = 0;
    int requests = 0;

    // Closes the clients that still wait, so that no case breaks rule 1 just because its history ends.
    Verdict end() {
        for (int i = 0; i < requests; ++i) auditor.on_client_closed(1.9, i);
        return auditor.finish(10);
    }
    void send_request(double at, int request, OperationIndex operation, int node = 0, int user = -1,
                      int retry_number = 0) {
        RequestInfo info;
        info.operation = operation;
        info.node = node;
        info.user = user < 0 ? request : user;
        info.retry_number = retry_number;
        info.timeout = 1;
        auditor.on_request(at, request, info);
        requests = std::max(requests, request + 1);
    }
    int send_attempt(double at, int request, int server, double work = 0.01) {
        auditor.on_attempt(at, at, attempts, request, server, work);
        return attempts++;
    }
    void finish(double at, int attempt) { auditor.on_attempt_finished(at, attempt, Outcome::done); }
    void finish_with_effect(double at, int attempt) {
        auditor.on_effect(at, attempt);
        finish(at, attempt);
    }
    void answer_busy(double at, int attempt) { auditor.on_attempt_finished(at, attempt, Outcome::busy); }
    // A read that succeeds.
    void run_successful_read(double at, int request, int server = kServerA, int node = 0) {
        send_request(at, request, kRead, node);
        const int f = send_attempt(at + 0.001, request, server);
        finish(at + 0.002, f);
        auditor.on_response(at + 0.003, request, Reply::succeeded, f);
    }
};

struct Case {
    const char* name;
    int rule;          // the broken rule; 0: none
    const char* text;  // part of the violation's text
    std::function<void(RunHistory&)> record;
};

void send_reads(RunHistory& run, int server, int node, int first, int count, double from = 1) {
    for (int i = 0; i < count; ++i) {
        run.send_request(from + 0.01 * i, first + i, kRead, node);
        run.send_attempt(from + 0.01 * i, first + i, server);
        run.auditor.on_client_closed(from + 0.01 * i + 0.005, first + i);
    }
}

// A hundred reads that miss at server A and are then sent to the origin.
void send_misses(RunHistory& run) {
    for (int i = 0; i < 100; ++i) {
        const double at = 1 + 0.0099 * i;
        run.send_request(at, i, kRead);
        run.auditor.on_attempt_finished(at + 0.001, run.send_attempt(at, i, kServerA), Outcome::miss);
        run.send_attempt(at + 0.002, i, kOrigin);
        run.auditor.on_client_closed(at + 0.005, i);
    }
}

const Case kCases[] = {
    {"a request that succeeds", 0, "", [](RunHistory& run) { run.run_successful_read(1, 0); }},
    // ---- rule 1
    {"no response", 1, "no final answer",
     [](RunHistory& run) {
         run.send_request(1, 0, kRead);
         run.auditor.on_client_timeout(2.2, 0);
     }},
    {"no response yet, before the deadline", 0, "",
     [](RunHistory& run) {
         run.send_request(1, 0, kRead);
         run.auditor.on_client_timeout(2.05, 0);
     }},
    {"a response after the deadline", 1, "after the client timeout",
     [](RunHistory& run) {
         run.send_request(1, 0, kRead);
         run.auditor.on_response(2.08, 0, Reply::rejected, -1);
     }},
    {"a response after the deadline that counts from the last byte", 1, "after the client timeout",
     [](RunHistory& run) {
         run.send_request(1, 0, kRead);
         run.auditor.on_request_written(1.2, 0);
         run.auditor.on_response(2.28, 0, Reply::rejected, -1);
     }},
    {"a response within the grace that counts from the last byte", 0, "",
     [](RunHistory& run) {
         run.send_request(1, 0, kRead);
         run.auditor.on_request_written(1.2, 0);
         run.auditor.on_response(2.26, 0, Reply::rejected, -1);
     }},
    {"a node that is killed while a client connects to it", 0, "",
     [](RunHistory& run) {
         run.send_request(1, 0, kRead);
         run.auditor.on_node_killed(1.001, 0);
         run.auditor.on_request_written(1.002, 0);
         run.auditor.on_connection_closed(1.003, 0);
     }},
    {"a node that was killed before a client began to connect", 1, "closed the connection",
     [](RunHistory& run) {
         run.auditor.on_node_killed(0.999, 0);
         run.send_request(1, 0, kRead);
         run.auditor.on_request_written(1.002, 0);
         run.auditor.on_connection_closed(1.003, 0);
     }},
    {"a response within the grace", 0, "",
     [](RunHistory& run) {
         run.send_request(1, 0, kRead);
         run.auditor.on_response(2.06, 0, Reply::rejected, -1);
     }},
    {"two responses", 1, "second final answer",
     [](RunHistory& run) {
         run.run_successful_read(1, 0);
         run.auditor.on_response(1.5, 0, Reply::failed, -1);
     }},
    {"a response to a client that has closed", 0, "",
     [](RunHistory& run) {
         run.send_request(1, 0, kRead);
         run.auditor.on_client_closed(1.1, 0);
         run.auditor.on_response(1.2, 0, Reply::failed, -1);
     }},
    {"the connection is closed without a response", 1, "closed the connection",
     [](RunHistory& run) {
         run.send_request(1, 0, kRead);
         run.auditor.on_connection_closed(1.2, 0);
     }},
    {"it is closed because the node was killed", 0, "",
     [](RunHistory& run) {
         run.send_request(1, 0, kRead);
         run.auditor.on_node_killed(1.1, 0);
         run.auditor.on_connection_closed(1.2, 0);
     }},
    {"it is closed by one node when another was killed", 1, "closed the connection",
     [](RunHistory& run) {
         run.send_request(1, 0, kRead);
         run.auditor.on_node_killed(1.1, 1);
         run.auditor.on_connection_closed(1.2, 0);
     }},
    {"the node was killed before the request", 1, "closed the connection",
     [](RunHistory& run) {
         run.auditor.on_node_killed(0.5, 0);
         run.send_request(1, 0, kRead);
         run.auditor.on_connection_closed(1.2, 0);
     }},
    {"the node was unreachable", 0, "",
     [](RunHistory& run) {
         run.send_request(1, 0, kRead);
         run.auditor.on_unreachable(1.1, 0);
     }},
    {"an attempt after the response", 1, "after the final answer",
     [](RunHistory& run) {
         run.run_successful_read(1, 0);
         run.send_attempt(1.1, 0, kServerB);
     }},
    {"an attempt in transit when the response was given", 0, "",
     [](RunHistory& run) {
         run.run_successful_read(1, 0);
         run.send_attempt(1.04, 0, kServerB);
     }},
    {"a success that no server made", 1, "no server made",
     [](RunHistory& run) {
         run.send_request(1, 0, kRead);
         run.auditor.on_response(1.1, 0, Reply::succeeded, -1);
     }},
    {"a success that a server made for another request", 1, "no server made",
     [](RunHistory& run) {
         run.run_successful_read(1, 0);
         run.send_request(2, 1, kRead);
         run.auditor.on_response(2.1, 1, Reply::succeeded, 0);
     }},
    {"a success by an attempt that had no response", 1, "no server made",
     [](RunHistory& run) {
         run.send_request(1, 0, kRead);
         const int f = run.send_attempt(1.01, 0, kServerA);
         run.auditor.on_response(1.1, 0, Reply::succeeded, f);
     }},
    {"a success by a dropped duplicate", 0, "",
     [](RunHistory& run) {
         run.send_request(1, 0, kDeduplicated);
         const int f = run.send_attempt(1.01, 0, kOrigin);
         run.auditor.on_duplicate_dropped(1.02, f);
         run.finish(1.02, f);
         run.auditor.on_response(1.1, 0, Reply::succeeded, f);
     }},
    {"an attempt that names no request", 1, "names no request",
     [](RunHistory& run) { run.send_attempt(1, -1, kServerA); }},
    // ---- rule 2, non-idempotent
    {"non-idempotent, retried without a response", 2, "non-idempotent",
     [](RunHistory& run) {
         run.send_request(1, 0, kNonIdempotent);
         run.send_attempt(1.01, 0, kOrigin);
         run.send_attempt(1.3, 0, kOrigin);
     }},
    {"non-idempotent, retried after an error", 2, "non-idempotent",
     [](RunHistory& run) {
         run.send_request(1, 0, kNonIdempotent);
         run.auditor.on_attempt_finished(1.02, run.send_attempt(1.01, 0, kOrigin), Outcome::failed);
         run.send_attempt(1.3, 0, kOrigin);
     }},
    {"non-idempotent, retried after busy", 0, "",
     [](RunHistory& run) {
         run.send_request(1, 0, kNonIdempotent);
         run.answer_busy(1.02, run.send_attempt(1.01, 0, kOrigin));
         run.finish_with_effect(1.4, run.send_attempt(1.3, 0, kOrigin));
     }},
    {"non-idempotent, retried just before busy arrived", 2, "non-idempotent",
     [](RunHistory& run) {
         run.send_request(1, 0, kNonIdempotent);
         const int f = run.send_attempt(1.01, 0, kOrigin);
         run.send_attempt(1.3, 0, kOrigin);
         run.answer_busy(1.31, f);
     }},
    {"non-idempotent, throttled with an open attempt", 2, "throttled",
     [](RunHistory& run) {
         run.send_request(1, 0, kNonIdempotent);
         run.send_attempt(1.01, 0, kOrigin);
         run.auditor.on_response(1.5, 0, Reply::rejected, -1);
     }},
    {"non-idempotent, errored with an open attempt", 0, "",
     [](RunHistory& run) {
         run.send_request(1, 0, kNonIdempotent);
         run.send_attempt(1.01, 0, kOrigin);
         run.auditor.on_response(1.5, 0, Reply::failed, -1);
     }},
    {"non-idempotent, throttled before any attempt", 0, "",
     [](RunHistory& run) {
         run.send_request(1, 0, kNonIdempotent);
         run.auditor.on_response(1.5, 0, Reply::rejected, -1);
     }},
    {"non-idempotent, throttled after busy", 0, "",
     [](RunHistory& run) {
         run.send_request(1, 0, kNonIdempotent);
         run.answer_busy(1.02, run.send_attempt(1.01, 0, kOrigin));
         run.auditor.on_response(1.5, 0, Reply::rejected, -1);
     }},
    {"an effect that happens twice over a request and its retry", 2, "happened twice",
     [](RunHistory& run) {
         run.send_request(1, 0, kNonIdempotent, 0, 0, 0);
         const int first = run.send_attempt(1.01, 0, kOrigin);
         run.answer_busy(1.02, first);  // busy says that it never ran, but it runs later
         run.finish_with_effect(1.03, first);
         run.auditor.on_response(1.04, 0, Reply::rejected, -1);
         run.send_request(1.2, 1, kNonIdempotent, 1, 0, 1);
         run.finish_with_effect(1.25, run.send_attempt(1.21, 1, kOrigin));
     }},
    {"two users with one effect each", 0, "",
     [](RunHistory& run) {
         run.send_request(1, 0, kNonIdempotent);
         run.finish_with_effect(1.02, run.send_attempt(1.01, 0, kOrigin));
         run.send_request(1, 1, kNonIdempotent);
         run.finish_with_effect(1.04, run.send_attempt(1.03, 1, kOrigin));
     }},
    {"an idempotent effect that happens twice", 0, "",
     [](RunHistory& run) {
         run.send_request(1, 0, kRead);
         run.finish_with_effect(1.02, run.send_attempt(1.01, 0, kServerA));
         run.finish_with_effect(1.04, run.send_attempt(1.03, 0, kServerB));
     }},
    // ---- rule 2, deduplicated
    {"deduplicated, retried in its group and window", 0, "",
     [](RunHistory& run) {
         run.send_request(1, 0, kDeduplicated);
         run.send_attempt(1.01, 0, kServerA);
         run.send_attempt(1.3, 0, kServerB);
     }},
    {"deduplicated, retried outside its group", 2, "outside the group",
     [](RunHistory& run) {
         run.send_request(1, 0, kDeduplicated);
         run.send_attempt(1.01, 0, kServerA);
         run.send_attempt(1.3, 0, kServerC);
     }},
    {"deduplicated, retried outside its group after busy", 0, "",
     [](RunHistory& run) {
         run.send_request(1, 0, kDeduplicated);
         run.answer_busy(1.02, run.send_attempt(1.01, 0, kServerA));
         run.send_attempt(1.3, 0, kServerC);
     }},
    {"deduplicated, at a cache server and then at the origin", 2, "outside the group",
     [](RunHistory& run) {
         run.send_request(1, 0, kDeduplicated);
         run.send_attempt(1.01, 0, kServerA);
         run.send_attempt(1.3, 0, kOrigin);
     }},
    {"deduplicated, after its idempotency key is forgotten", 2, "forgotten",
     [](RunHistory& run) {
         run.send_request(1, 0, kDeduplicated);
         run.send_attempt(1.01, 0, kOrigin);
         run.send_attempt(3.07, 0, kOrigin);
     }},
    {"deduplicated, just before its idempotency key is forgotten", 0, "",
     [](RunHistory& run) {
         run.send_request(1, 0, kDeduplicated);
         run.send_attempt(1.01, 0, kOrigin);
         run.send_attempt(3.05, 0, kOrigin);
     }},
    {"deduplicated, throttled with an open attempt", 0, "",
     [](RunHistory& run) {
         run.send_request(1, 0, kDeduplicated);
         run.send_attempt(1.01, 0, kOrigin);
         run.auditor.on_response(1.5, 0, Reply::rejected, -1);
     }},
    {"deduplicated, but the effect happens twice", 2, "happened twice",
     [](RunHistory& run) {
         run.send_request(1, 0, kDeduplicated);
         run.finish_with_effect(1.02, run.send_attempt(1.01, 0, kServerA));
         run.finish_with_effect(1.4, run.send_attempt(1.3, 0, kServerB));
     }},
    {"twice, because the server lost its deduplication state in a restart", 0, "",
     [](RunHistory& run) {
         run.send_request(1, 0, kDeduplicated);
         run.finish_with_effect(1.02, run.send_attempt(1.01, 0, kServerA));
         run.auditor.on_server_started(1.2, kServerB, false);
         run.finish_with_effect(1.4, run.send_attempt(1.3, 0, kServerB));
     }},
    // ---- rule 3
    {"an attempt to a draining server after the grace", 3, "drains",
     [](RunHistory& run) {
         run.auditor.on_endpoint_state(1, 0, kServerA, EndpointState::draining, false);
         run.run_successful_read(1.36, 0);
     }},
    {"an attempt to a draining server within the grace", 0, "",
     [](RunHistory& run) {
         run.auditor.on_endpoint_state(1, 0, kServerA, EndpointState::draining, false);
         run.run_successful_read(1.34, 0);
     }},
    {"another node was notified", 0, "",
     [](RunHistory& run) {
         run.auditor.on_endpoint_state(1, 1, kServerA, EndpointState::draining, false);
         run.run_successful_read(1.5, 0);
     }},
    {"notified again, the grace runs from the first notification", 3, "is removed",
     [](RunHistory& run) {
         run.auditor.on_endpoint_state(1, 0, kServerA, EndpointState::draining, false);
         run.auditor.on_endpoint_state(1.3, 0, kServerA, EndpointState::removed, false);
         run.run_successful_read(1.4, 0);
     }},
    {"it is ready again", 0, "",
     [](RunHistory& run) {
         run.auditor.on_endpoint_state(1, 0, kServerA, EndpointState::draining, false);
         run.auditor.on_endpoint_state(1.3, 0, kServerA, EndpointState::ready, false);
         run.run_successful_read(2, 0);
     }},
    {"the node has restarted since the notification", 0, "",
     [](RunHistory& run) {
         run.auditor.on_endpoint_state(1, 0, kServerA, EndpointState::removed, false);
         run.auditor.on_node_started(1.3, 0);
         run.run_successful_read(2, 0);
     }},
    // ---- rule 4
    {"a cold server overloaded by nodes that knew of its start", 4, "pushed over",
     [](RunHistory& run) {
         run.auditor.on_server_started(0.5, kServerA, true);
         run.auditor.on_endpoint_state(0.8, 0, kServerA, EndpointState::ready, true);
         send_reads(run, kServerA, 0, 0, 100);
         run.auditor.on_server_overloaded(2, kServerA);
     }},
    {"overloaded by nodes that did not know of its start", 0, "",
     [](RunHistory& run) {
         run.auditor.on_server_started(0.5, kServerA, true);
         send_reads(run, kServerA, 0, 0, 100);
         run.auditor.on_server_overloaded(2, kServerA);
     }},
    {"by two nodes, less than two thirds by the one that knew", 0, "",
     [](RunHistory& run) {
         run.auditor.on_server_started(0.5, kServerA, true);
         run.auditor.on_endpoint_state(0.8, 0, kServerA, EndpointState::ready, true);
         send_reads(run, kServerA, 0, 0, 60);
         send_reads(run, kServerA, 1, 60, 40);
         run.auditor.on_server_overloaded(2, kServerA);
     }},
    {"it was warm by then", 0, "",
     [](RunHistory& run) {
         run.auditor.on_server_started(0.5, kServerA, true);
         run.auditor.on_endpoint_state(0.8, 0, kServerA, EndpointState::ready, true);
         run.auditor.on_server_warm(0.9, kServerA);
         send_reads(run, kServerA, 0, 0, 100);
         run.auditor.on_server_overloaded(2, kServerA);
     }},
    {"it restarted, and no node was notified of that", 0, "",
     [](RunHistory& run) {
         run.auditor.on_server_started(0.3, kServerA, true);
         run.auditor.on_endpoint_state(0.4, 0, kServerA, EndpointState::ready, true);
         run.auditor.on_server_started(0.5, kServerA, true);
         send_reads(run, kServerA, 0, 0, 100);
         run.auditor.on_server_overloaded(2, kServerA);
     }},
    {"the origin overloaded by cold misses", 4, "origin was overloaded",
     [](RunHistory& run) {
         run.auditor.on_server_started(0.5, kServerA, true);
         for (int i = 0; i < 100; ++i) {
             const double at = 1 + 0.01 * i;
             run.send_request(at, i, kRead);
             if (i % 2 == 0)
                 run.auditor.on_attempt_finished(at + 0.001, run.send_attempt(at, i, kServerA),
                                                 Outcome::miss);
             run.send_attempt(at + 0.002, i, kOrigin);
             run.auditor.on_client_closed(at + 0.005, i);
         }
         run.auditor.on_server_overloaded(2, kOrigin);
     }},
    {"the origin overloaded by misses at a server that has become warm since", 4, "origin was overloaded",
     [](RunHistory& run) {
         run.auditor.on_server_started(0.5, kServerA, true);
         send_misses(run);
         run.auditor.on_server_warm(1.99, kServerA);
         run.auditor.on_server_overloaded(2, kOrigin);
     }},
    {"the origin overloaded by misses at a server that became cold only after them", 0, "",
     [](RunHistory& run) {
         send_misses(run);
         run.auditor.on_server_started(1.995, kServerA, true);
         run.auditor.on_server_overloaded(2, kOrigin);
     }},
    {"the origin overloaded by misses at warm servers", 0, "",
     [](RunHistory& run) {
         send_misses(run);
         run.auditor.on_server_overloaded(2, kOrigin);
     }},
};

TEST(Auditor, ReportsEachWayToBreakARule) {
    for (const Case& c : kCases) {
        SCOPED_TRACE(c.name);
        RunHistory run;
        c.record(run);
        const Verdict verdict = run.end();
        EXPECT_FALSE(verdict.is_void);
        int violations = 0;
        for (const int n : verdict.violations_by_rule) violations += n;
        if (c.rule == 0) {
            EXPECT_EQ(violations, 0) << (verdict.violations.empty() ? "" : verdict.violations.front().what);
            continue;
        }
        EXPECT_EQ(violations, 1);
        EXPECT_EQ(verdict.violations_by_rule[static_cast<std::size_t>(c.rule)], 1);
        ASSERT_EQ(verdict.violations.size(), 1U);
        EXPECT_NE(verdict.violations.front().what.find(c.text), std::string::npos)
            << verdict.violations.front().what;
        // A violation about a request has the trace of that request.
        EXPECT_EQ(verdict.violations.front().trace.empty(), verdict.violations.front().request < 0);
    }
}

// With a limit of ten per second and two nodes, 14 attempts may arrive within a second: the limit, the tokens
// of a quarter of a second, and one attempt of each node.
TEST(Auditor, ChecksTheStrictLimitsOfAllNodesTogether) {
    struct Row {
        const char* name;
        int server, node, attempts;
        double seconds;             // seconds over which the attempts are spread
        bool is_cold, is_notified;  // the server is cold; the node was notified of its start
        int violations;
    };
    for (const Row& row :
         {Row{"as many as allowed", kOrigin, 0, 14, 0.5, false, false, 0},
          Row{"one more than allowed", kOrigin, 0, 15, 0.5, false, false, 1},
          Row{"more, spread over two seconds", kOrigin, 0, 20, 2, false, false, 0},
          Row{"for three seconds, reported once per second", kOrigin, 1, 60, 3, false, false, 3},
          Row{"a warm server has no limit", kServerA, 0, 40, 0.5, false, false, 0},
          Row{"a cold server has a limit", kServerA, 0, 15, 0.5, true, true, 1},
          Row{"not for a node that was not notified", kServerA, 1, 40, 0.5, true, false, 0}}) {
        Terms terms = make_terms();
        terms.origin_limit = terms.cold_limit = 10;
        RunHistory run{Auditor(terms)};
        if (row.is_cold) run.auditor.on_server_started(0.5, row.server, true);
        if (row.is_notified)
            run.auditor.on_endpoint_state(0.6, row.node, row.server, EndpointState::ready, true);
        for (int i = 0; i < row.attempts; ++i) {
            const double at = 1 + row.seconds * i / row.attempts;
            run.send_request(at, i, kRead, row.node);
            run.finish(at + 0.001, run.send_attempt(at, i, row.server));
            run.auditor.on_client_closed(at + 0.002, i);
        }
        EXPECT_EQ(run.auditor.finish(10).violations_by_rule[5], row.violations) << row.name;
    }
}

// Observations during a delay of the watcher are dated late, so what they show may be no violation.
TEST(Auditor, ADelayOfTheWatcherMakesARunVoidAndNotBroken) {
    const struct {
        const char* name;
        double delay_end, delay;
        bool is_void;
    } cases[] = {{"during the violation", 2.1, 0.06, true},
                 {"shortly before the deadline", 2.05, 0.03, true},
                 {"long before the deadline", 1.5, 0.06, false},
                 {"long after the violation", 9, 0.06, false},
                 {"too short to count", 2.1, 0.01, false}};
    for (const auto& c : cases) {
        SCOPED_TRACE(c.name);
        RunHistory run;
        run.send_request(1, 0, kRead);
        run.auditor.on_watcher_delay(c.delay_end, c.delay);
        run.auditor.on_response(2.1, 0, Reply::failed, -1);
        const Verdict verdict = run.auditor.finish(10);
        EXPECT_EQ(verdict.is_void, c.is_void);
        EXPECT_EQ(verdict.violations.size(), c.is_void ? 0U : 1U);
        EXPECT_EQ(verdict.set_aside.size(), c.is_void ? 1U : 0U);
    }
    // A node closes a connection that is silent for long, here because the watcher was delayed.
    RunHistory silent;
    silent.send_request(1, 0, kRead);
    silent.auditor.on_watcher_delay(3.5, 2.4);
    silent.auditor.on_connection_closed(3.5, 0);
    EXPECT_TRUE(silent.auditor.finish(1000).is_void);
    // More violations than the auditor keeps, all during a delay: none of them counts as broken.
    RunHistory many_violations;
    for (int i = 0; i < 30000; ++i) many_violations.send_request(1, i, kRead);
    many_violations.auditor.on_watcher_delay(3, 2.5);
    for (int i = 0; i < 30000; ++i) many_violations.auditor.on_response(3, i, Reply::failed, -1);
    const Verdict all_late = many_violations.auditor.finish(1000);
    EXPECT_TRUE(all_late.is_void);
    EXPECT_EQ(all_late.violations_by_rule[1], 0);
    // A violation that does not depend on a clock still counts.
    RunHistory twice;
    twice.run_successful_read(1, 0);
    twice.auditor.on_watcher_delay(1.6, 0.3);
    twice.auditor.on_response(1.6, 0, Reply::failed, -1);
    EXPECT_EQ(twice.auditor.finish(100).violations.size(), 1U);
    // A run in which the watcher was delayed for a long time is void.
    RunHistory long_delay;
    long_delay.run_successful_read(1, 0);
    long_delay.auditor.on_watcher_delay(5, 1);
    EXPECT_TRUE(long_delay.auditor.finish(10).is_void);
}

TEST(Auditor, AccountsBilledValue) {
    RunHistory run;
    run.auditor.start_run(100);
    const auto send_request = [&](double at, int request, int tenant, int user, int retry_number) {
        RequestInfo info;
        info.tenant = tenant;
        info.user = user;
        info.retry_number = retry_number;
        info.timeout = 1;
        run.auditor.on_request(at, request, info);
    };
    const auto serve = [&](double at, int request) {
        const int f = run.send_attempt(at - 0.01, request, kServerA);
        run.finish(at - 0.005, f);
        run.auditor.on_response(at, request, Reply::succeeded, f);
    };
    send_request(100, 0, 0, 0, 0);
    serve(100.4, 0);  // in time: earns 1 of 1
    send_request(100, 1, 0, 1, 0);
    serve(100.6, 1);  // late: earns 0 of 1
    send_request(101, 2, 0, 2, 0);
    run.auditor.on_response(101.1, 2, Reply::rejected, -1);
    send_request(101.2, 3, 0, 2, 1);
    serve(101.4, 3);  // the retry is in time counted from the first request: earns 1 of 1
    // Two of the four are beyond the quota: 2 + 2 x 0.1 are offered.
    for (int i = 0; i < 4; ++i) send_request(102.1, 4 + i, 1, 3 + i, 0);
    serve(102.2, 4);
    serve(102.2, 7);  // one within the quota, one beyond it
    const Verdict verdict = run.auditor.finish(110);
    EXPECT_NEAR(verdict.total.offered, 3 + 2.2, 1e-9);
    EXPECT_NEAR(verdict.total.earned, 2 + 1.1, 1e-9);
    EXPECT_NEAR(verdict.tenants[1].ratio(), 1.1 / 2.2, 1e-9);
    EXPECT_NEAR(verdict.seconds[0].ratio(), 0.5, 1e-9);
    EXPECT_EQ(verdict.users, 7U);
    EXPECT_EQ(verdict.requests, 8U);
}

}  // namespace
