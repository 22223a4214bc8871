// The ordinary path: ownership, minimal remapping, zones, and the load bounds above which a cache is skipped,
// on either side.
#include <gtest/gtest.h>

#include <cstdint>
#include <map>

#include "host.h"

using namespace brookrelay;

namespace {

std::vector<int> owners(Fleet& fleet, int keys) {
    std::vector<int> all;
    for (int k = 0; k < keys; ++k) all.push_back(fleet.owner(static_cast<std::uint64_t>(k) * 7919));
    return all;
}

TEST(Ring, AKeyKeepsItsOwnerAndEveryCacheOwnsAShare) {
    Fleet fleet(6);
    fleet.start();
    const auto first = owners(fleet, 600);
    EXPECT_EQ(first, owners(fleet, 600));
    std::map<int, int> share;
    for (int c : first) ++share[c];
    EXPECT_EQ(share.size(), 6U);
    EXPECT_FALSE(share.contains(kOrigin));
    for (const auto& [cache, n] : share) {
        EXPECT_GT(n, 50);
        EXPECT_LT(n, 170);
    }
}

TEST(Ring, EveryNodeComputesTheSameOwners) {
    Fleet a(6), b(6);
    b.deployment.node_index = 1;
    a.start();
    b.start();
    EXPECT_EQ(owners(a, 300), owners(b, 300));
}

TEST(Ring, ALeavingCacheMovesOnlyItsOwnKeys) {
    for (EndpointState standing : {EndpointState::draining, EndpointState::removed}) {
        SCOPED_TRACE(standing == EndpointState::draining ? "draining" : "gone");
        Fleet fleet(6);
        fleet.start();
        const auto before = owners(fleet, 400);
        fleet.list[3].state = standing;
        fleet.tell(UpdateKind::delta);
        const auto after = owners(fleet, 400);
        for (std::size_t k = 0; k < before.size(); ++k) {
            EXPECT_NE(after[k], 3);
            if (before[k] != 3) {
                EXPECT_EQ(after[k], before[k]);
            }
        }
        fleet.list[3].state = EndpointState::ready;
        fleet.tell(UpdateKind::full);
        EXPECT_EQ(owners(fleet, 400), before);
    }
}

TEST(Ring, RequestsStayInTheLocalZoneUntilItIsEmpty) {
    Fleet fleet(6, 2);
    fleet.start();
    for (int c : owners(fleet, 200)) EXPECT_EQ(c % 2, 1);
    for (Endpoint& l : fleet.list) {
        if (l.server != kOrigin && l.zone == 0) l.state = EndpointState::removed;
    }
    fleet.tell(UpdateKind::delta);
    for (int c : owners(fleet, 200)) {
        EXPECT_EQ(c % 2, 0);
        EXPECT_NE(c, kOrigin);
    }
}

TEST(Ring, ACacheIsSkippedOnlyAboveBothLoadBounds) {
    // Attempts out at the key's owner and at each of the five others; skipped or not.
    struct Case {
        int own, others;
        bool over;
    };
    Fleet oracle(6);
    oracle.start();
    const std::vector<int> owner = owners(oracle, 600);
    for (const Case& c : {Case{6, 0, false}, Case{7, 0, true}, Case{10, 2, false}, Case{11, 2, true}}) {
        SCOPED_TRACE(testing::Message()
                     << c.own << " attempts at the owner, " << c.others << " at each other");
        Fleet fleet(6);
        fleet.start();
        const int full = owner[0];
        std::map<int, int> out;
        for (std::size_t k = 1; k < owner.size(); ++k) {
            if (owner[k] == full || out[owner[k]] >= c.others) continue;
            ++out[owner[k]];
            fleet.arrive(k * 7919);
        }
        for (int n = 0; n < c.own; ++n) fleet.arrive(0);
        EXPECT_EQ(fleet.host.sent.back().cache, full);
        fleet.arrive(0);
        EXPECT_EQ(fleet.host.sent.back().cache != full, c.over);
    }
}

TEST(Ring, OnlyAHotKeyIsSplitAndOnlyWhileItIsHot) {
    struct Case {
        int of_ten;  // of ten requests, so many ask for the one key
        std::size_t most;
    };
    for (const Case& c : {Case{1, 1}, Case{3, 2}, Case{6, 5}}) {
        SCOPED_TRACE(testing::Message() << c.of_ten << " of ten requests");
        Fleet fleet(8);
        fleet.start();
        const int home = fleet.owner(77);
        std::map<int, int> used;
        std::uint64_t key = 1000;
        for (int n = 0; n < 600; ++n) {
            const int at = fleet.owner(n % 10 < c.of_ten ? 77 : ++key);
            if (n % 10 < c.of_ten && n > 300) ++used[at];
        }
        EXPECT_LE(used.size(), c.most);
        EXPECT_EQ(c.most == 1, used.size() == 1);
        for (int n = 0; n < 300; ++n) fleet.owner(++key);
        EXPECT_EQ(fleet.owner(77), home);
    }
}

TEST(Ring, AnOverloadedServerKindTakesFewerKeysAndOnlyThen) {
    struct Case {
        double took;
        int least, most;  // of 400 keys that are at home on the kind
    };
    for (const Case& c : {Case{0.05, 400, 400}, Case{0.25, 100, 200}}) {
        SCOPED_TRACE(testing::Message() << "took " << c.took);
        Fleet fleet(6);
        for (Endpoint& l : fleet.list) l.kind = l.server == kOrigin ? 1 : l.server % 2 * 2;
        fleet.start();
        std::vector<std::uint64_t> at_home;
        for (std::uint64_t key = 0; at_home.size() < 400; ++key) {
            if (fleet.owner(key) % 2 == 1) at_home.push_back(key);
        }
        for (int n = 0; n < 400; ++n) {
            fleet.now += 0.5;
            const int inv = fleet.arrive(static_cast<std::uint64_t>(n));
            const bool slow = fleet.host.sent.back().cache % 2 == 1;
            if (fleet.finals(inv) == 0)
                fleet.end(inv, 0, AttemptOutcome::succeeded, slow ? c.took : 0.05, true);
        }
        int stay = 0;
        for (std::uint64_t key : at_home) stay += fleet.owner(key) % 2 == 1;
        EXPECT_GE(stay, c.least);
        EXPECT_LE(stay, c.most);
    }
}

TEST(Ring, PointsFollowTheListedSizeOfTheServerKind) {
    struct Case {
        EndpointWeights sizes;
        double small, big;   // listed sizes of the odd and the even caches
        double least, most;  // share of keys on the odd ones
    };
    for (const Case& c :
         {Case{EndpointWeights::absent, 0.5, 4, 0.4, 0.6}, Case{EndpointWeights::fixed, 1, 1, 0.4, 0.6},
          Case{EndpointWeights::fixed, 1, 3, 0.18, 0.33},
          Case{EndpointWeights::load_adjusted, 0.5, 4, 0.05, 0.18}}) {
        SCOPED_TRACE(testing::Message()
                     << "sizes " << static_cast<int>(c.sizes) << ", " << c.small << " and " << c.big);
        Fleet fleet(6);
        fleet.deployment.endpoint_weights = c.sizes;
        for (Endpoint& l : fleet.list) {
            if (l.server == kOrigin) continue;
            l.kind = l.server % 2 * 2;
            l.weight = l.server % 2 == 1 ? c.small : c.big;
        }
        fleet.start();
        const auto before = owners(fleet, 600);
        double small = 0;
        for (int at : before) small += at % 2;
        EXPECT_GE(small / 600, c.least);
        EXPECT_LE(small / 600, c.most);
        // Load lowers what is listed; a point that moved with it would tear keys from their copies.
        for (Endpoint& l : fleet.list) l.weight *= 0.7;
        fleet.tell(UpdateKind::delta);
        EXPECT_EQ(owners(fleet, 600), before);
    }
}

TEST(Ring, ACacheListedAsOverloadedGivesUpKeysUntilItRecovers) {
    for (bool live : {true, false}) {
        SCOPED_TRACE(live ? "live sizes" : "fixed sizes");
        Fleet fleet(6);
        fleet.deployment.endpoint_weights = live ? EndpointWeights::load_adjusted : EndpointWeights::fixed;
        for (Endpoint& l : fleet.list) l.weight = 2;
        fleet.start();
        const auto kept = [&fleet] {
            int n = 0;
            for (int k = 0; k < 600; ++k) n += fleet.owner(static_cast<std::uint64_t>(k) * 7919) == 1;
            return n;
        };
        const int home = kept();
        fleet.list[1].weight = 0.2;  // nine held a core
        for (int n = 0; n < 8; ++n) fleet.tell(UpdateKind::delta);
        if (live) {
            EXPECT_LT(kept(), home / 3);
        } else {
            EXPECT_EQ(kept(), home);
        }
        fleet.list[1].weight = 2;
        for (int n = 0; n < 12; ++n) fleet.tell(UpdateKind::delta);
        EXPECT_EQ(kept(), home);
    }
}

// In a fleet of thousands each change costs what it changes, counted by what is looked at: a node's sockets
// wait meanwhile.
constexpr int kLargeFleet = 3200;
constexpr std::uint64_t kPointsOfAServer = 100;

TEST(LargeFleet, AChangeOfOneServerTouchesItsPointsAlone) {
    Fleet fleet(kLargeFleet, 3);
    fleet.start();
    const std::uint64_t before = fleet.node->work().ring_points;
    Endpoint one = fleet.list[7];
    one.state = EndpointState::draining;
    fleet.node->on_endpoints(fleet.now, UpdateKind::delta, {one});
    // Its points, and what lies beside each of them.
    EXPECT_LT(fleet.node->work().ring_points - before, 300 * kPointsOfAServer);
}

TEST(LargeFleet, AFullListThatChangesNothingTouchesNoPoint) {
    Fleet fleet(kLargeFleet, 3);
    fleet.start();
    const std::uint64_t before = fleet.node->work().ring_points;
    fleet.tell(UpdateKind::full);
    EXPECT_LT(fleet.node->work().ring_points - before, kPointsOfAServer);
}

// A configuration without a change of zones leaves the rings as they are.
TEST(LargeFleet, AReloadTouchesNoPointAndMovesNoKey) {
    Fleet fleet(kLargeFleet, 3);
    fleet.start();
    const auto before = owners(fleet, 200);
    const std::uint64_t touched = fleet.node->work().ring_points;
    fleet.node->on_configuration(fleet.now, fleet.deployment);
    fleet.tell(UpdateKind::full);
    EXPECT_LT(fleet.node->work().ring_points - touched, kPointsOfAServer);
    EXPECT_EQ(owners(fleet, 200), before);
}

TEST(LargeFleet, ARequestBeforeColdServersLooksAtEachServerAFewTimesAtMost) {
    Fleet fleet(kLargeFleet, 3);
    fleet.deployment.node_count = 300;
    for (Endpoint& endpoint : fleet.list) {
        if (endpoint.server != kOrigin) endpoint.started_at = fleet.now;
    }
    fleet.start();
    constexpr int kRequests = 20;
    const std::uint64_t before = fleet.node->work().servers;
    for (int i = 0; i < kRequests; ++i) {
        fleet.now += 0.02;
        fleet.arrive(static_cast<std::uint64_t>(i) * 7919);
    }
    EXPECT_LT(fleet.node->work().servers - before, std::uint64_t{kRequests} * 4 * kLargeFleet);
}

}  // namespace
