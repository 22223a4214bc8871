// Tests the normal routing path: key ownership, minimal remapping, zones, and both sides of the load bounds
// above which a server is skipped.
#include <gtest/gtest.h>

#include <cstdint>
#include <map>

#include "host.h"

using namespace brookrelay;

namespace {

std::vector<int> owners(Fleet& fleet, int key_count) {
    std::vector<int> result;
    for (int key = 0; key < key_count; ++key)
        result.push_back(fleet.owner(static_cast<std::uint64_t>(key) * 7919));
    return result;
}

TEST(Ring, AKeyKeepsItsOwnerAndEveryServerOwnsAShare) {
    Fleet fleet(6);
    fleet.start();
    const auto first = owners(fleet, 600);
    EXPECT_EQ(first, owners(fleet, 600));
    std::map<int, int> keys_per_server;
    for (int server : first) ++keys_per_server[server];
    EXPECT_EQ(keys_per_server.size(), 6U);
    EXPECT_FALSE(keys_per_server.contains(kOrigin));
    for (const auto& [server, keys] : keys_per_server) {
        EXPECT_GT(keys, 50);
        EXPECT_LT(keys, 170);
    }
}

TEST(Ring, EveryNodeComputesTheSameOwners) {
    Fleet a(6), b(6);
    b.deployment.node_index = 1;
    a.start();
    b.start();
    EXPECT_EQ(owners(a, 300), owners(b, 300));
}

TEST(Ring, ALeavingServerMovesOnlyItsOwnKeys) {
    for (EndpointState state : {EndpointState::draining, EndpointState::removed}) {
        SCOPED_TRACE(state == EndpointState::draining ? "draining" : "removed");
        Fleet fleet(6);
        fleet.start();
        const auto before = owners(fleet, 400);
        fleet.list[3].state = state;
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
    for (int server : owners(fleet, 200)) EXPECT_EQ(server % 2, 1);
    for (Endpoint& endpoint : fleet.list) {
        if (endpoint.server != kOrigin && endpoint.zone == 0) endpoint.state = EndpointState::removed;
    }
    fleet.tell(UpdateKind::delta);
    for (int server : owners(fleet, 200)) {
        EXPECT_EQ(server % 2, 0);
        EXPECT_NE(server, kOrigin);
    }
}

TEST(Ring, AServerIsSkippedOnlyAboveBothLoadBounds) {
    // Attempts in flight at the key's owner and at each of the five other servers, and whether the owner is
    // skipped.
    struct Case {
        int owner_attempts, other_attempts;
        bool is_skipped;
    };
    Fleet idle_fleet(6);
    idle_fleet.start();
    const std::vector<int> owners_by_key = owners(idle_fleet, 600);
    for (const Case& c : {Case{6, 0, false}, Case{7, 0, true}, Case{10, 2, false}, Case{11, 2, true}}) {
        SCOPED_TRACE(testing::Message() << c.owner_attempts << " attempts at the owner, " << c.other_attempts
                                        << " at each other");
        Fleet fleet(6);
        fleet.start();
        const int key_owner = owners_by_key[0];
        std::map<int, int> in_flight;
        for (std::size_t k = 1; k < owners_by_key.size(); ++k) {
            if (owners_by_key[k] == key_owner || in_flight[owners_by_key[k]] >= c.other_attempts) continue;
            ++in_flight[owners_by_key[k]];
            fleet.send_request(k * 7919);
        }
        for (int n = 0; n < c.owner_attempts; ++n) fleet.send_request(0);
        EXPECT_EQ(fleet.host.sent.back().server, key_owner);
        fleet.send_request(0);
        EXPECT_EQ(fleet.host.sent.back().server != key_owner, c.is_skipped);
    }
}

TEST(Ring, OnlyAHotKeyIsSplitAndOnlyWhileItIsHot) {
    struct Case {
        int hot_requests_of_ten;  // number of requests for the key among ten
        std::size_t max_servers;
    };
    for (const Case& c : {Case{1, 1}, Case{3, 2}, Case{6, 5}}) {
        SCOPED_TRACE(testing::Message() << c.hot_requests_of_ten << " of ten requests");
        Fleet fleet(8);
        fleet.start();
        const int owner = fleet.owner(77);
        std::map<int, int> attempts_per_server;
        std::uint64_t key = 1000;
        for (int n = 0; n < 600; ++n) {
            const int server = fleet.owner(n % 10 < c.hot_requests_of_ten ? 77 : ++key);
            if (n % 10 < c.hot_requests_of_ten && n > 300) ++attempts_per_server[server];
        }
        EXPECT_LE(attempts_per_server.size(), c.max_servers);
        EXPECT_EQ(c.max_servers == 1, attempts_per_server.size() == 1);
        for (int n = 0; n < 300; ++n) fleet.owner(++key);
        EXPECT_EQ(fleet.owner(77), owner);
    }
}

TEST(Ring, AMachineKindTakesFewerKeysOnlyWhileItIsSlow) {
    struct Case {
        double latency;          // s, of responses of the slow kind
        int min_keys, max_keys;  // bounds on how many of the kind's 400 keys stay there
    };
    for (const Case& c : {Case{0.05, 400, 400}, Case{0.25, 100, 200}}) {
        SCOPED_TRACE(testing::Message() << "latency " << c.latency);
        Fleet fleet(6);
        for (Endpoint& endpoint : fleet.list)
            endpoint.kind = endpoint.server == kOrigin ? 1 : endpoint.server % 2 * 2;
        fleet.start();
        std::vector<std::uint64_t> owned_keys;
        for (std::uint64_t key = 0; owned_keys.size() < 400; ++key) {
            if (fleet.owner(key) % 2 == 1) owned_keys.push_back(key);
        }
        for (int n = 0; n < 400; ++n) {
            fleet.now += 0.5;
            const int request = fleet.send_request(static_cast<std::uint64_t>(n));
            const bool is_slow_kind = fleet.host.sent.back().server % 2 == 1;
            if (fleet.count_final_errors(request) == 0)
                fleet.end(request, 0, AttemptOutcome::succeeded, is_slow_kind ? c.latency : 0.05, true);
        }
        int kept_keys = 0;
        for (std::uint64_t key : owned_keys) kept_keys += fleet.owner(key) % 2 == 1;
        EXPECT_GE(kept_keys, c.min_keys);
        EXPECT_LE(kept_keys, c.max_keys);
    }
}

TEST(Ring, PointsFollowTheListedWeightOfTheMachineKind) {
    struct Case {
        EndpointWeights weight_mode;
        double small_weight, big_weight;  // listed weights of the odd and the even servers
        double min_share, max_share;      // bounds on the odd servers' share of the keys
    };
    for (const Case& c :
         {Case{EndpointWeights::absent, 0.5, 4, 0.4, 0.6}, Case{EndpointWeights::fixed, 1, 1, 0.4, 0.6},
          Case{EndpointWeights::fixed, 1, 3, 0.18, 0.33},
          Case{EndpointWeights::load_adjusted, 0.5, 4, 0.05, 0.18}}) {
        SCOPED_TRACE(testing::Message() << "weights " << static_cast<int>(c.weight_mode) << ", "
                                        << c.small_weight << " and " << c.big_weight);
        Fleet fleet(6);
        fleet.deployment.endpoint_weights = c.weight_mode;
        for (Endpoint& endpoint : fleet.list) {
            if (endpoint.server == kOrigin) continue;
            endpoint.kind = endpoint.server % 2 * 2;
            endpoint.weight = endpoint.server % 2 == 1 ? c.small_weight : c.big_weight;
        }
        fleet.start();
        const auto before = owners(fleet, 600);
        double keys_on_small = 0;
        for (int server : before) keys_on_small += server % 2;
        EXPECT_GE(keys_on_small / 600, c.min_share);
        EXPECT_LE(keys_on_small / 600, c.max_share);
        // Load lowers listed weights. Points must not follow it, or keys would move away from their copies.
        for (Endpoint& endpoint : fleet.list) endpoint.weight *= 0.7;
        fleet.tell(UpdateKind::delta);
        EXPECT_EQ(owners(fleet, 600), before);
    }
}

TEST(Ring, AServerListedAsOverloadedLosesKeysUntilItRecovers) {
    for (bool is_load_adjusted : {true, false}) {
        SCOPED_TRACE(is_load_adjusted ? "load-adjusted weights" : "fixed weights");
        Fleet fleet(6);
        fleet.deployment.endpoint_weights =
            is_load_adjusted ? EndpointWeights::load_adjusted : EndpointWeights::fixed;
        for (Endpoint& endpoint : fleet.list) endpoint.weight = 2;
        fleet.start();
        const auto count_keys = [&fleet] {
            int n = 0;
            for (int k = 0; k < 600; ++k) n += fleet.owner(static_cast<std::uint64_t>(k) * 7919) == 1;
            return n;
        };
        const int initial_keys = count_keys();
        fleet.list[1].weight = 0.2;  // the listed weight implies nine requests per core
        for (int n = 0; n < 8; ++n) fleet.tell(UpdateKind::delta);
        if (is_load_adjusted) {
            EXPECT_LT(count_keys(), initial_keys / 3);
        } else {
            EXPECT_EQ(count_keys(), initial_keys);
        }
        fleet.list[1].weight = 2;
        for (int n = 0; n < 12; ++n) fleet.tell(UpdateKind::delta);
        EXPECT_EQ(count_keys(), initial_keys);
    }
}

// In a fleet of thousands of servers the cost of an update must depend only on what it changes, because the
// node's sockets wait during the update. The cost is the number of ring points and server entries accessed.
constexpr int kLargeFleetServers = 3200;
constexpr std::uint64_t kPointsPerServer = 100;

TEST(LargeFleet, AChangeOfOneServerTouchesItsPointsAlone) {
    Fleet fleet(kLargeFleetServers, 3);
    fleet.start();
    const std::uint64_t before = fleet.node->work().ring_points;
    Endpoint changed = fleet.list[7];
    changed.state = EndpointState::draining;
    fleet.node->on_endpoints(fleet.now, UpdateKind::delta, {changed});
    // The update accesses the server's own points and the points in the same arcs.
    EXPECT_LT(fleet.node->work().ring_points - before, 300 * kPointsPerServer);
}

TEST(LargeFleet, AFullListThatChangesNothingTouchesNoPoint) {
    Fleet fleet(kLargeFleetServers, 3);
    fleet.start();
    const std::uint64_t before = fleet.node->work().ring_points;
    fleet.tell(UpdateKind::full);
    EXPECT_LT(fleet.node->work().ring_points - before, kPointsPerServer);
}

// A reload that does not change the zones leaves the rings as they are.
TEST(LargeFleet, AReloadTouchesNoPointAndMovesNoKey) {
    Fleet fleet(kLargeFleetServers, 3);
    fleet.start();
    const auto before = owners(fleet, 200);
    const std::uint64_t touched = fleet.node->work().ring_points;
    fleet.node->on_configuration(fleet.now, fleet.deployment);
    fleet.tell(UpdateKind::full);
    EXPECT_LT(fleet.node->work().ring_points - touched, kPointsPerServer);
    EXPECT_EQ(owners(fleet, 200), before);
}

TEST(LargeFleet, ARequestToColdServersAccessesEachServerAFewTimesAtMost) {
    Fleet fleet(kLargeFleetServers, 3);
    fleet.deployment.node_count = 300;
    for (Endpoint& endpoint : fleet.list) {
        if (endpoint.server != kOrigin) endpoint.started_at = fleet.now;
    }
    fleet.start();
    constexpr int kRequests = 20;
    const std::uint64_t before = fleet.node->work().servers;
    for (int i = 0; i < kRequests; ++i) {
        fleet.now += 0.02;
        fleet.send_request(static_cast<std::uint64_t>(i) * 7919);
    }
    EXPECT_LT(fleet.node->work().servers - before, std::uint64_t{kRequests} * 4 * kLargeFleetServers);
}

}  // namespace
