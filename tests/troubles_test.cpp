// Regression tests of the balancer. Each test reproduces a failure that was found in scenario runs, on the
// balancer alone.
#include <gtest/gtest.h>

#include <algorithm>

#include "host.h"

using namespace brookrelay;

namespace {

// Returns how many of 400 reads are rejected at once.
int count_rejected_reads(Fleet& fleet) {
    const std::size_t before = fleet.host.throttled.size();
    for (int n = 0; n < 400; ++n) fleet.owner(static_cast<std::uint64_t>(n) * 7919);
    return static_cast<int>(fleet.host.throttled.size() - before);
}

// Guards against overload at full fleet size: the caches of a list with live weights held 7 to 28 requests a
// core, which no node could prevent by itself.
TEST(LoadShedding, RejectsReadsWhileTheListShowsAllCachesOverloaded) {
    Fleet fleet(6);
    fleet.deployment.endpoint_weights = EndpointWeights::load_adjusted;
    for (Endpoint& endpoint : fleet.list) endpoint.weight = 2;
    fleet.start();
    EXPECT_EQ(count_rejected_reads(fleet), 0);
    for (Endpoint& endpoint : fleet.list) endpoint.weight = 0.1;
    for (int n = 0; n < 4; ++n) fleet.tell(UpdateKind::delta);
    EXPECT_GT(count_rejected_reads(fleet), 150);
    const int write = fleet.send_request(5, 1, true);
    EXPECT_EQ(fleet.count_final_errors(write), 0);
    for (Endpoint& endpoint : fleet.list) endpoint.weight = 2;
    for (int n = 0; n < 12; ++n) fleet.tell(UpdateKind::delta);
    EXPECT_EQ(count_rejected_reads(fleet), 0);
}

TEST(LoadShedding, RejectsReadsWhileAttemptsTakeTooLong) {
    struct Case {
        double took;
        int least, most;
    };
    for (const Case& c : {Case{0.1, 0, 0}, Case{0.7, 40, 400}}) {
        SCOPED_TRACE(testing::Message() << "took " << c.took);
        Fleet fleet(6);
        fleet.start();
        for (int n = 0; n < 400; ++n) {
            fleet.now += 0.05;
            const std::size_t before = fleet.host.sent.size();
            const int request = fleet.send_request(static_cast<std::uint64_t>(n) * 7919);
            if (fleet.host.sent.size() > before)
                fleet.end(request, 0, AttemptOutcome::succeeded, c.took, true);
        }
        const int n = static_cast<int>(fleet.host.throttled.size());
        EXPECT_GE(n, c.least);
        EXPECT_LE(n, c.most);
    }
}

// A pending request keeps the operation that it arrived with when the configuration changes, and an ejected
// cache stays ejected.
TEST(Reconfiguration, LeavesOpenRequestsAndEjectedCachesAsTheyAre) {
    Fleet fleet(6);
    fleet.start();
    // Idempotent at its arrival: may be retried although it may have run.
    const int request = fleet.send_request(77);
    const int owner = fleet.host.sent.back().server;
    Deployment other = fleet.deployment;
    std::swap(other.operations[0], other.operations[2]);
    other.endpoint_weights = EndpointWeights::load_adjusted;
    for (int round = 0; round < 2; ++round) {
        SCOPED_TRACE(round);
        fleet.node->on_configuration(fleet.now, round == 0 ? other : fleet.deployment);
        fleet.tell(UpdateKind::full);
        if (round == 0) {
            fleet.end(request, 0, AttemptOutcome::timed_out, 0.4);
            EXPECT_EQ(fleet.host.sent.back().request, request);
            EXPECT_NE(fleet.host.sent.back().server, owner);
            const int later = fleet.send_request(78);  // non-idempotent under the new configuration
            fleet.end(later, 0, AttemptOutcome::timed_out, 0.4);
            EXPECT_EQ(fleet.host.errored, std::vector<int>{later});
        }
    }
    fleet.end(request, 1, AttemptOutcome::succeeded, 0.05, true);
    EXPECT_EQ(fleet.count_final_errors(request), 0);
    for (int n = 0; n < 3; ++n) {
        const int lost = fleet.send_request(77, 1);
        fleet.now += 0.4;
        if (fleet.host.sent.back().server == owner) fleet.end(lost, 0, AttemptOutcome::timed_out, 0.4);
    }
    fleet.now += 0.1;
    const int without = fleet.owner(77);
    fleet.node->on_configuration(fleet.now, other);
    fleet.tell(UpdateKind::full);
    EXPECT_NE(without, owner);
    EXPECT_EQ(fleet.owner(77), without);
}

TEST(Ejection, OfAnUnresponsiveCacheIsEndedByATrial) {
    Fleet fleet(4);
    fleet.start();
    const int owner = fleet.owner(77);
    int failures = 0;
    for (int round = 0; round < 100 && failures < 3; ++round) {
        const int request = fleet.send_request(77);
        fleet.now += 0.4;
        if (fleet.host.sent.back().request != request || fleet.host.sent.back().server != owner) continue;
        fleet.end(request, 0, AttemptOutcome::timed_out, 0.4);
        ++failures;
    }
    EXPECT_EQ(failures, 3);
    fleet.now += 0.3;  // the pause of its concurrency limit is over, so only the ejection keeps it out
    EXPECT_NE(fleet.owner(77), owner);
    bool back = false;
    for (int n = 0; n < 50; ++n) {
        fleet.now += 0.4;
        back = back || fleet.owner(77) == owner;
    }
    EXPECT_TRUE(back);
}

TEST(Ejection, CancelsTheAttemptsAnUnresponsiveCacheHolds) {
    Fleet fleet(4);
    fleet.start();
    const int owner = fleet.owner(77);
    const int held = fleet.send_request(77);
    const int other = fleet.send_request(77, 2);  // non-idempotent: it may have run, so it is not cancelled
    fleet.now += 0.5;
    EXPECT_NE(fleet.owner(77), owner);
    EXPECT_EQ(fleet.host.cancelled, std::vector<int>{held});
    fleet.end(held, 0, AttemptOutcome::cancelled);
    EXPECT_EQ(fleet.host.sent.back().request, held);
    EXPECT_NE(fleet.host.sent.back().server, owner);
    EXPECT_EQ(fleet.count_final_errors(other), 0);
}

TEST(LoadShedding, MovesAKeyByOneCacheAndThenRejects) {
    Fleet fleet(6);
    fleet.deployment.max_attempts = 1;
    fleet.start();
    std::vector<int> used;
    for (int round = 0; round < 12; ++round) {
        SCOPED_TRACE(round);
        // Each cache that gets the key responds busy until its concurrency limit pauses.
        fleet.now += 0.01;
        const std::size_t before = fleet.host.sent.size();
        const int request = fleet.send_request(5);
        if (fleet.host.sent.size() == before) {
            EXPECT_EQ(fleet.count_final_errors(request), 1);
            continue;
        }
        const int at = fleet.host.sent.back().server;
        if (std::find(used.begin(), used.end(), at) == used.end()) used.push_back(at);
        for (int n = 0; n < 6; ++n) {
            fleet.now += 0.11;
            const int more = fleet.send_request(5);
            if (fleet.count_final_errors(more) == 0) fleet.end(more, 0, AttemptOutcome::busy);
        }
        fleet.end(request, 0, AttemptOutcome::busy);
    }
    EXPECT_FALSE(used.empty());
    EXPECT_LE(used.size(), 2U);
}

TEST(OriginFetches, AreSharedByMissesOfOneKey) {
    Fleet fleet(4);
    fleet.start();
    const int first = fleet.send_request(9);
    const int second = fleet.send_request(9);
    fleet.end(first, 0, AttemptOutcome::miss);
    fleet.end(second, 0, AttemptOutcome::miss);
    int fetches = 0;
    for (const StartedAttempt& s : fleet.host.sent) fetches += s.server == kOrigin;
    EXPECT_EQ(fetches, 1);
    fleet.end(first, 1, AttemptOutcome::succeeded, 0.1, true);
    EXPECT_EQ(fleet.host.sent.back().request, second);
    EXPECT_NE(fleet.host.sent.back().server, kOrigin);
}

TEST(IdleConnections, AreClosedSoonerAfterFullConnectionTables) {
    struct Case {
        int refusals;
        double took, idle;
        bool closed;
    };
    for (const Case& c : {Case{0, 0, 50, false}, Case{8, 0.01, 20, true}, Case{8, 0.25, 20, false}}) {
        SCOPED_TRACE(testing::Message() << c.refusals << " refusals in " << c.took << ", idle " << c.idle);
        Fleet fleet(4);
        fleet.deployment.max_attempts = 1;
        fleet.deployment.connect_timeout = 0.25;
        fleet.deployment.connection_idle_timeout = 60;
        fleet.start();
        const int owner = fleet.owner(77);
        std::uint64_t other = 1;
        while (fleet.owner(other) == owner) ++other;
        for (int n = 0; n < c.refusals; ++n)
            fleet.end(fleet.send_request(other), 0, AttemptOutcome::refused, c.took);
        fleet.now += c.idle;
        fleet.owner(other);
        const auto& closed = fleet.host.released;
        EXPECT_EQ(std::find(closed.begin(), closed.end(), owner) != closed.end(), c.closed);
    }
}

TEST(TenantQuota, IsExceededOnlyByMoreThanChance) {
    struct Case {
        int requests;
        bool rejected;
    };
    // With a hundred nodes, a tenant's share at this node is one request in two seconds.
    for (const Case& c : {Case{5, false}, Case{9, false}, Case{60, true}}) {
        SCOPED_TRACE(testing::Message() << c.requests << " requests");
        Fleet fleet(4);
        fleet.deployment.node_count = 100;
        fleet.deployment.tenants = {{50}, {50}};
        fleet.start();
        // Slow responses everywhere: the shedding pressure reaches its maximum.
        for (int n = 0; n < 40; ++n) {
            fleet.now += 0.26;
            const int request = fleet.send_request(static_cast<std::uint64_t>(n));
            if (fleet.count_final_errors(request) == 0)
                fleet.end(request, 0, AttemptOutcome::succeeded, 0.25, true);
        }
        fleet.now += 9;  // no concurrency limit is paused any more; the pressure falls by one step per check
        bool rejected = false;
        for (int n = 0; n < c.requests; ++n) {
            const int request = fleet.send_request(1, 0, false, 1.2, false, 1);
            rejected = rejected || fleet.count_final_errors(request) > 0;
            if (fleet.count_final_errors(request) == 0)
                fleet.end(request, 0, AttemptOutcome::succeeded, 0.05, true);
        }
        EXPECT_EQ(rejected, c.rejected);
    }
}

TEST(LoadShedding, TellsOverloadFromChanceAtFewCompletionsASecond) {
    struct Case {
        int strained_of_ten;
        bool shed;
    };
    // At two completions a second, a single second shows all of them strained or none.
    for (const Case& c : {Case{0, false}, Case{1, false}, Case{2, true}, Case{5, true}}) {
        SCOPED_TRACE(testing::Message() << c.strained_of_ten << " of ten strained");
        Fleet fleet(4);
        fleet.deployment.node_count = 100;
        fleet.deployment.tenants = {{50}, {50}};
        fleet.start();
        for (int n = 0; n < 100; ++n) {
            fleet.now += 0.5;
            const int request = fleet.send_request(static_cast<std::uint64_t>(n));
            const bool strained = n * c.strained_of_ten % 10 < c.strained_of_ten;
            if (fleet.count_final_errors(request) == 0)
                fleet.end(request, 0, AttemptOutcome::succeeded, strained ? 0.25 : 0.05, true);
        }
        std::size_t shed = fleet.host.throttled.size();
        for (int n = 0; n < 60; ++n) {
            const int request = fleet.send_request(1, 0, false, 1.2, false, 1);
            if (fleet.count_final_errors(request) == 0)
                fleet.end(request, 0, AttemptOutcome::succeeded, 0.05, true);
        }
        shed = fleet.host.throttled.size() - shed;
        if (c.shed) {
            EXPECT_GE(shed, 40U);
        } else {
            EXPECT_EQ(shed, 0U);
        }
    }
}

TEST(OriginFetches, OfAllNodesTogetherStartAtALowConcurrency) {
    struct Case {
        int nodes, fetches;
    };
    for (const Case& c : {Case{1, 4}, Case{4, 4}, Case{8, 2}, Case{16, 1}, Case{700, 1}}) {
        SCOPED_TRACE(testing::Message() << c.nodes << " nodes");
        Fleet fleet(4);
        fleet.deployment.node_count = c.nodes;
        fleet.start();
        for (std::uint64_t key = 0; key < 6; ++key)
            fleet.end(fleet.send_request(key), 0, AttemptOutcome::miss);
        const auto& sent = fleet.host.sent;
        EXPECT_EQ(std::count_if(sent.begin(), sent.end(),
                                [](const StartedAttempt& s) { return s.server == kOrigin; }),
                  c.fetches);
    }
}

TEST(RetryBudget, IsSavedUpByAllNodesTogether) {
    struct Case {
        int nodes, again;
    };
    // Each of twelve requests gets a busy response; `again` of them are retried.
    for (const Case& c : {Case{1, 12}, Case{5, 12}, Case{700, 3}}) {
        SCOPED_TRACE(testing::Message() << c.nodes << " nodes");
        Fleet fleet(200);
        fleet.deployment.node_count = c.nodes;
        fleet.start();
        for (std::uint64_t key = 0; key < 12; ++key)
            fleet.end(fleet.send_request(key), 0, AttemptOutcome::busy);
        EXPECT_EQ(static_cast<int>(fleet.host.sent.size()), 12 + c.again);
    }
}

TEST(RetryBudget, AllowsNoRetryUnderCongestion) {
    struct Case {
        int full_of_ten;
        bool again;
    };
    for (const Case& c : {Case{0, true}, Case{4, true}, Case{8, false}, Case{10, false}}) {
        SCOPED_TRACE(testing::Message() << c.full_of_ten << " of ten full");
        Fleet fleet(200);
        fleet.start();
        for (int n = 0; n < 20; ++n) {
            fleet.now += 0.1;
            const int request = fleet.send_request(static_cast<std::uint64_t>(n));
            const bool full = n % 10 < c.full_of_ten;
            fleet.end(request, 0, full ? AttemptOutcome::busy : AttemptOutcome::succeeded, 0.05, true);
        }
        fleet.now += 0.1;
        const int request = fleet.send_request(1000);
        fleet.end(request, 0, AttemptOutcome::busy);
        EXPECT_EQ(fleet.count_final_errors(request) == 0, c.again);
    }
}

// Guards against an ejection for connections that become unresponsive one by one while the server answers on
// all others. Each one halved the concurrency limit and, at the origin, paused it: in a scenario run the
// origin was idle while most misses and writes were rejected.
TEST(Ejection, IsNotCausedByLostConnectionsOfAServerThatAnswers) {
    struct Case {
        bool answers;  // the server answers others in the meantime
        AttemptOutcome outcome;
        double out;  // s for which the lost attempts were pending
        bool trusted;
    };
    for (const Case& c :
         {Case{true, AttemptOutcome::timed_out, 1, true}, Case{true, AttemptOutcome::reset, 1, true},
          Case{true, AttemptOutcome::reset, 0, true}, Case{true, AttemptOutcome::refused, 1, false},
          Case{false, AttemptOutcome::timed_out, 1, false}, Case{false, AttemptOutcome::reset, 0, false}}) {
        for (const bool write : {true, false}) {  // at the origin, and at the owner of a key
            SCOPED_TRACE(testing::Message() << (c.answers ? "answers others, " : "answers none, ")
                                            << "outcome " << static_cast<int>(c.outcome) << ", out " << c.out
                                            << (write ? ", origin" : ", cache"));
            Fleet fleet(3);
            fleet.start();
            std::vector<int> lost;
            const auto send = [&] {
                for (int n = 0; n < 3; ++n) lost.push_back(fleet.send_request(5, 0, write));
            };
            if (c.out > 0) send();
            for (int n = 0; n < 20; ++n) {
                fleet.now += 0.05;
                if (c.answers)
                    fleet.end(fleet.send_request(5, 0, write), 0, AttemptOutcome::succeeded, 0.01, true);
            }
            if (c.out == 0) send();
            const int at = fleet.host.sent.back().server;
            for (int request : lost) fleet.end(request, 0, c.outcome, c.out, true);
            const std::size_t before = fleet.host.sent.size();
            fleet.send_request(5, 0, write);
            const bool trusted = fleet.host.sent.size() > before && fleet.host.sent.back().server == at;
            EXPECT_EQ(trusted, c.trusted);
        }
    }
}

TEST(ServerListRequests, AreSpreadOutAndRepeatedAfterAFailure) {
    // Nodes that start together spread out their first request and the one after a failure.
    struct Case {
        int nodes;
        // Bounds in s of the latest request of twenty nodes. The one after a failure comes within 4 s,
        // because an entry that discovery has counts as known to the node 6 s later.
        double first_least, first_most, again_least, again_most;
    };
    for (const Case& c : {Case{1, 0, 0.2, 0, 0.3}, Case{48, 2, 5, 3, 4}, Case{1000, 2, 5, 3, 4}}) {
        SCOPED_TRACE(testing::Message() << c.nodes << " nodes");
        double first = 0, again = 0;
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            Fleet fleet(2);
            fleet.deployment.polls_endpoints = true;
            fleet.deployment.node_count = c.nodes;
            fleet.node = make_balancer(fleet.deployment, seed, fleet.host);
            fleet.tell(UpdateKind::cached_on_disk);
            EXPECT_EQ(fleet.host.watches, 0);
            ASSERT_EQ(fleet.host.timers.size(), 1U);
            fleet.node->on_timer(fleet.now + 5, fleet.host.timers[0].token);
            EXPECT_EQ(fleet.host.watches, 1);
            fleet.node->on_poll_failed(fleet.now + 7);
            ASSERT_EQ(fleet.host.timers.size(), 2U);
            fleet.node->on_timer(fleet.now + 13, fleet.host.timers[1].token);
            EXPECT_EQ(fleet.host.watches, 2);
            first = std::max(first, fleet.host.timers[0].after);
            again = std::max(again, fleet.host.timers[1].after);
        }
        EXPECT_GE(first, c.first_least);
        EXPECT_LE(first, c.first_most);
        EXPECT_GE(again, c.again_least);
        EXPECT_LE(again, c.again_most);
    }
}

// A process that replaces another one restores its snapshot and avoids an unresponsive cache from the first
// request. Values out of range are clamped.
TEST(LearnedState, OfAnotherProcessHoldsFromTheFirstRequest) {
    Fleet old(4);
    old.start();
    const std::uint64_t key = 5;
    const int silent = old.owner(key);
    old.now += 1;
    const int first = old.send_request(key);
    for (int k = 1; k < 3; ++k) old.send_request(key);
    old.now += 1.2;
    for (int k = 0; k < 3; ++k) old.end(first + k, 0, AttemptOutcome::timed_out, 1.2, true);
    const WarmStartSnapshot learned = old.node->snapshot(old.now);
    EXPECT_EQ(learned.servers.size(), 4U);
    int ejected = 0;
    for (const WarmStartSnapshot::ServerSnapshot& c : learned.servers) {
        ejected += c.ejected;
        EXPECT_EQ(c.ejected, c.server == silent);
    }
    EXPECT_EQ(ejected, 1);
    Fleet fresh(4);
    fresh.start();
    EXPECT_EQ(fresh.owner(key), silent);
    Fleet next(4);
    next.start();
    next.node->restore(next.now, learned);
    EXPECT_GT(next.owner(key), 0);
    EXPECT_NE(next.owner(key), silent);
    WarmStartSnapshot out_of_range{7, -3, 0, 1e9, -1, {50, -50}, {{silent, -9, 1e9, false}}};
    Fleet bounded(4);
    bounded.start();
    bounded.node->restore(bounded.now, out_of_range);
    const WarmStartSnapshot restored = bounded.node->snapshot(bounded.now);
    EXPECT_EQ(restored.spillover_ratio, 1);
    EXPECT_EQ(restored.shedding_ratio, 0);
    EXPECT_GT(restored.admission_ratio, 0);
    EXPECT_LT(restored.origin_concurrency_limit, 100);
    EXPECT_EQ(restored.origin_latency, 0);
    for (const WarmStartSnapshot::ServerSnapshot& c : restored.servers) {
        EXPECT_GE(c.concurrency_limit, 1);
        EXPECT_LT(c.backoff_remaining, 10);
    }
}

// Guards against a lost zone staying in use. In a fleet of hundreds a node meets each cache of a lost zone
// once, so no cache was ejected by itself: over half of the attempts failed, which was taken for congestion,
// and the refusals for full connection tables.
TEST(ZoneEjection, OfALostZoneIsOfTheWholeZone) {
    struct Case {
        int answered_before;  // in a row; then `refused` and `answered` repeat in turn
        int refused, answered;
        bool doubted;
    };
    // A zone that refuses three in a row by chance, as with full connection tables, is not lost.
    for (const Case& c :
         {Case{20, 3, 0, true}, Case{20, 2, 0, false}, Case{0, 3, 1, false}, Case{0, 8, 5, false}}) {
        SCOPED_TRACE(testing::Message() << c.answered_before << " answered before, then " << c.refused
                                        << " refused and " << c.answered << " answered");
        Fleet fleet(96, 2);
        fleet.deployment.node_count = 300;
        fleet.deployment.max_attempts = 2;
        fleet.deployment.connection_idle_timeout = 15;
        fleet.deployment.connect_timeout = 0.25;
        fleet.start();
        std::uint64_t key = 0;
        // Sends a request, ends it with the outcome and returns its zone, or -1 if it was not sent. The
        // node's own zone is 0.
        const auto next = [&](AttemptOutcome outcome) {
            // The whole case stays within one check interval; else spillover moves keys too.
            fleet.now += 0.002;
            const std::size_t before = fleet.host.sent.size();
            const int request = fleet.send_request(++key * 7919);
            if (fleet.host.sent.size() == before) return -1;
            const int zone = (fleet.host.sent.back().server - 1) % 2;
            fleet.end(request, 0, outcome, 0.001, true);
            return zone;
        };
        for (int n = 0; n < c.answered_before; ++n) EXPECT_EQ(next(AttemptOutcome::succeeded), 0);
        for (int round = 0; round < (c.answered > 0 ? 6 : 1); ++round) {
            for (int n = 0; n < c.refused; ++n) EXPECT_EQ(next(AttemptOutcome::refused), 0);
            for (int n = 0; n < c.answered; ++n) EXPECT_EQ(next(AttemptOutcome::succeeded), 0);
        }
        EXPECT_EQ(next(AttemptOutcome::succeeded), c.doubted ? 1 : 0);
        if (!c.doubted) continue;
        // Its refusals no longer count as full connection tables: connections stay idle as long as before.
        fleet.now += 5;
        EXPECT_EQ(next(AttemptOutcome::refused), 0);
        EXPECT_TRUE(fleet.host.released.empty());
        // A failed trial is retried in the other zone, whatever the retry budget and the strain of the other
        // servers; a successful one ends the zone's ejection.
        int trials = 0, in_zone = 0;
        for (int n = 0; n < 200; ++n) {
            fleet.now += 0.02;
            const std::size_t before = fleet.host.sent.size();
            const int request = fleet.send_request(++key * 7919);
            if (fleet.host.sent.size() == before) continue;
            if ((fleet.host.sent.back().server - 1) % 2 == 1) {
                fleet.end(request, 0, AttemptOutcome::succeeded, n % 3 == 0 ? 0.05 : 0.3, true);
                continue;
            }
            ++trials;
            fleet.end(request, 0, AttemptOutcome::refused, 0.25);
            EXPECT_EQ(fleet.host.sent.back().request, request);
            EXPECT_EQ((fleet.host.sent.back().server - 1) % 2, 1);
            fleet.end(request, 1, AttemptOutcome::succeeded, 0.05, true);
        }
        EXPECT_GE(trials, 2);
        EXPECT_LE(trials, 10);
        fleet.now += 5;
        for (int n = 0; n < 200; ++n) in_zone += next(AttemptOutcome::succeeded) == 0;
        EXPECT_GT(in_zone, 80);
    }
}

// Guards against a missing retry bound: a node that reaches no server was bound only by the maximum number of
// attempts per request.
TEST(RetryBudget, BoundsRetriesWhenEveryZoneIsLost) {
    Fleet fleet(96, 2);
    fleet.deployment.node_count = 300;
    fleet.deployment.max_attempts = 2;
    fleet.start();
    std::uint64_t key = 0;
    const auto next = [&](AttemptOutcome outcome) {
        fleet.now += 0.002;
        const int request = fleet.send_request(++key * 7919);
        for (int n = 0; n < 2 && fleet.count_final_errors(request) == 0; ++n)
            fleet.end(request, n, outcome, 0.001, outcome == AttemptOutcome::succeeded);
    };
    for (int n = 0; n < 20; ++n) next(AttemptOutcome::succeeded);
    for (int n = 0; n < 10; ++n) next(AttemptOutcome::refused);
    const std::size_t before = fleet.host.sent.size();
    for (int n = 0; n < 40; ++n) next(AttemptOutcome::refused);
    const int further = static_cast<int>(fleet.host.sent.size() - before) - 40;
    EXPECT_GE(further, 0);
    EXPECT_LE(further, 2 + 8);  // a fifth of the 40 requests, and the rest of the saved budget
}

// A finding of other nodes ejects a cache here, with few trials. Recent quick responses to this node take
// precedence, and a slow response to a trial does not end the ejection.
TEST(Ejection, ByOtherNodesFindingsYieldsToOwnAnswers) {
    struct Case {
        bool answered_here;  // quickly, a moment ago
        AttemptOutcome trial;
        double took;
        bool stays;
    };
    for (const Case& c : {Case{true, AttemptOutcome::succeeded, 0, false},
                          Case{false, AttemptOutcome::succeeded, 0.05, false},
                          Case{false, AttemptOutcome::succeeded, 0.5, true},
                          Case{false, AttemptOutcome::timed_out, 0.6, true}}) {
        SCOPED_TRACE(testing::Message()
                     << (c.answered_here ? "answered here" : "not answered here") << ", trial's outcome "
                     << static_cast<int>(c.trial) << ", took " << c.took);
        Fleet fleet(4);
        fleet.start();
        // Uses many keys of one cache, as a single key would become hot and get several points.
        const int bad = fleet.owner(5);
        std::vector<std::uint64_t> keys;
        for (std::uint64_t k = 6; keys.size() < 40; ++k) {
            if (fleet.owner(k) == bad) keys.push_back(k);
        }
        if (!c.answered_here) fleet.now += 5;
        fleet.node->on_outlier_verdict(fleet.now, bad, true, 10);
        const auto tell = [&] { fleet.node->on_outlier_verdict(fleet.now, bad, true, 10); };
        if (c.answered_here) {
            EXPECT_EQ(fleet.owner(keys[0]), bad);
            continue;
        }
        int trials = 0;
        bool ended = false;
        for (int n = 0; n < 400 && !ended; ++n) {  // 40 s
            fleet.now += 0.1;
            if (!(trials > 0 && !c.stays)) tell();
            const int request = fleet.send_request(keys[static_cast<std::size_t>(n) % keys.size()]);
            if (fleet.host.sent.back().request != request) continue;
            if (fleet.host.sent.back().server != bad) {
                fleet.end(request, 0, AttemptOutcome::succeeded, 0.05, true);
                continue;
            }
            ++trials;
            ended = trials > 20;
            fleet.end(request, 0, c.trial, c.took, true);
        }
        if (c.stays) {
            EXPECT_GE(trials, 2);
            EXPECT_LE(trials, 6);
        } else {
            EXPECT_GT(trials, 20);
        }
        // When the finding ends, the cache is used again as one that may have restarted in the meantime.
        fleet.node->on_outlier_verdict(fleet.now, bad, false, 0);
        fleet.now += fleet.deployment.slow_start_duration + 1;
        if (c.trial == AttemptOutcome::succeeded) {
            EXPECT_EQ(fleet.owner(keys[0]), bad);
        }
    }
}

// Follows the fleet's weight of a zone. When the zone is left, pending attempts there are cancelled at once,
// trials are rare, and one response does not end the ejection. On the way back every node sends the same part
// of the keys there.
TEST(ZoneEjection, FollowsTheFleetsDecisionsOutAndBack) {
    Fleet fleet(16, 2);
    fleet.deployment.may_cancel = true;
    fleet.start();
    std::vector<std::uint64_t> keys;
    for (std::uint64_t k = 1; k <= 400; ++k) keys.push_back(k * 7919);
    const auto in_zone = [&](int request) {
        return (fleet.host.sent.back().request == request) && (fleet.host.sent.back().server - 1) % 2 == 0;
    };
    const auto ratio_in_zone = [&](double interval) {
        int there = 0;
        for (const std::uint64_t key : keys) {
            fleet.now += interval;
            const int request = fleet.send_request(key);
            there += in_zone(request);
            fleet.end(request, 0, AttemptOutcome::succeeded, 0.01, true);
        }
        return there / static_cast<double>(keys.size());
    };
    EXPECT_EQ(ratio_in_zone(0.01), 1);
    const int out = fleet.send_request(keys[0]);
    EXPECT_TRUE(in_zone(out));
    fleet.now += 0.05;
    const std::size_t cancelled = fleet.host.cancelled.size();
    fleet.node->set_zone_weight(fleet.now, 0, 0, 1.0);
    EXPECT_EQ(fleet.host.cancelled.size(), cancelled + 1);
    fleet.end(out, 0, AttemptOutcome::cancelled, 0.05);
    EXPECT_EQ(fleet.host.sent.back().request, out);
    EXPECT_FALSE(in_zone(out));
    fleet.end(out, 1, AttemptOutcome::succeeded, 0.01, true);
    const double tried = ratio_in_zone(0.02) * static_cast<double>(keys.size());
    EXPECT_GE(tried, 5);
    EXPECT_LE(tried, 12);  // 8 s, one a second, each answered
    fleet.node->set_zone_weight(fleet.now, 0, 0, 1e6);
    EXPECT_EQ(ratio_in_zone(0.01), 0);
    for (const double part : {0.0625, 0.25, 0.5}) {
        SCOPED_TRACE(part);
        fleet.node->set_zone_weight(fleet.now, 0, part, 0);
        const double there = ratio_in_zone(0.01);
        EXPECT_GT(there, part * 0.6);
        EXPECT_LT(there, part * 1.5);
    }
    fleet.node->set_zone_weight(fleet.now, 0, 1, 0);
    EXPECT_EQ(ratio_in_zone(0.01), 1);
}

// A node that has used up its part of the fleet's origin quota sends nothing to the origin: the request is
// rejected at once, and the retry budget is kept for attempts that failed.
TEST(OriginQuota, ARequestNotSentBecauseOfItIsAnsweredAtOnce) {
    for (const AttemptOutcome outcome : {AttemptOutcome::not_sent, AttemptOutcome::failed}) {
        SCOPED_TRACE(outcome == AttemptOutcome::not_sent ? "not sent" : "failed");
        Fleet fleet(4);
        fleet.start();
        for (int n = 0; n < 40; ++n) {  // these earn retry budget
            fleet.now += 0.01;
            fleet.end(fleet.send_request(static_cast<std::uint64_t>(n) * 7919), 0, AttemptOutcome::succeeded,
                      0.01, true);
        }
        const int write = fleet.send_request(5, 1, true);
        const std::size_t sent = fleet.host.sent.size();
        fleet.end(write, 0, outcome, 0);
        EXPECT_EQ(fleet.count_final_errors(write), outcome == AttemptOutcome::not_sent ? 1 : 0);
        EXPECT_EQ(fleet.host.sent.size(), sent + (outcome == AttemptOutcome::not_sent ? 0 : 1));
    }
}

// A tenant within its quota whose requests all arrive at one node seems to exceed it there. The quota share
// that other nodes leave to this node shows that it does not.
TEST(TenantQuota, OfOneNodeIsWhatOtherNodesLeaveToIt) {
    for (const bool has_quota_share : {false, true}) {
        SCOPED_TRACE(has_quota_share ? "with a quota share" : "without a quota share");
        Fleet fleet(4);
        fleet.deployment.node_count = 12;
        fleet.deployment.tenants = {{60}, {60}, {60}};
        fleet.start();
        int rejected = 0, arrived = 0;
        for (int n = 0; n < 600; ++n) {  // 12 s: tenant 0 sends 40 a second, the others 5 each
            fleet.now += 0.02;
            const int tenant = n % 5 == 4 ? 1 + n / 5 % 2 : 0;
            if (has_quota_share && n % 12 == 0) fleet.node->set_tenant_quota_share(fleet.now, 0, 0.8);
            const int request =
                fleet.send_request(static_cast<std::uint64_t>(n) * 7919, 0, false, 1.2, false, tenant);
            arrived += tenant == 0 && n > 300;
            if (fleet.count_final_errors(request) > 0) {
                rejected += tenant == 0 && n > 300;
                continue;
            }
            fleet.end(request, 0, AttemptOutcome::succeeded, n % 4 == 0 ? 0.25 : 0.05,
                      true);  // the caches are strained
        }
        if (has_quota_share) {
            EXPECT_EQ(rejected, 0);
        } else {
            EXPECT_GT(rejected, arrived / 4);
        }
    }
}

}  // namespace
