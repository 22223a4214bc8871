// Tests fleet-wide limits with several processes: demand that moves between daemons, and daemons that are
// killed, frozen, partitioned and restarted while quota leases are outstanding. Attempts are counted per
// second at the server that the limit protects, mostly the origin.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdio>

#include "days.h"
#include "testkit/greedy_peer.h"

namespace brookrelay::testkit {
namespace {

constexpr double kOriginLimit = 60;  // attempts per second of all daemons together

// Six daemons with mostly writes, which all go to the origin, at over twice the origin's limit.
Scenario write_scenario(double length) {
    Scenario s = fleet_scenario(6, 1, length);
    s.talk_origin = kOriginLimit;
    s.operations[0].share = 1;
    s.operations[1].share = 9;
    s.clients.rate = 150;
    s.clients.retries = 0;
    return s;
}
void assign_tenant_to(Scenario& scenario, std::vector<std::string> nodes,
                      std::vector<std::string> later_nodes = {}, double moves_at = 0) {
    scenario.tenants = {{"acme", 1, 0, std::move(nodes), std::move(later_nodes), moves_at}};
}
double origin_rate(const ScenarioOutcome& run, int from, int until, bool maximum) {
    double sum = 0, peak = 0;
    const std::vector<double>& forwards = run.result.series.forwards.back();
    for (int second = from; second < until; ++second) {
        sum += forwards[static_cast<std::size_t>(second)];
        peak = std::max(peak, forwards[static_cast<std::size_t>(second)]);
    }
    return maximum ? peak : sum / (until - from);
}

// Burst above the limit in one second: tokens saved for at most a quarter of a second, and one attempt per
// node.
constexpr double kBurstAllowance = kOriginLimit / 4 + 6;

struct Case {
    const char* name;
    std::vector<Trouble> troubles;
    std::vector<std::string> nodes, later_nodes;
    double moves_at;
    double min_used;  // minimum share of the limit in use from `used_from` on
    int length = 15, used_from = 7;
};

Trouble with_nodes(TroubleKind kind, double at, double lasts, std::vector<int> nodes) {
    Trouble t = make_trouble(kind, at, lasts);
    t.nodes = std::move(nodes);
    return t;
}

std::vector<Case> cases() {
    Trouble lossy = link_fault(TroubleKind::lossy, 2, 11, {"room-a"}, {"room-a"}),
            doubled = link_fault(TroubleKind::doubled, 2, 11, {"room-a"}, {"room-a"}),
            reordered = link_fault(TroubleKind::reordered, 2, 11, {"room-a"}, {"room-a"});
    lossy.part = doubled.part = reordered.part = 0.3;
    reordered.delay = 0.5;
    Trouble one_way_loss = link_fault(TroubleKind::lossy, 3, 9, {"n0"}, {"n1", "n2"});
    one_way_loss.one_way = true;
    const std::vector<std::string> half{"n0", "n1", "n2"}, rest{"n3", "n4", "n5"};
    std::vector<Case> all;
    all.push_back({"all demand at one node, then at another", {}, {"n0"}, {"n4"}, 3, 0.75});
    all.push_back({"even demand; 30% of messages lost, duplicated and reordered",
                   {lossy, doubled, reordered},
                   {},
                   {},
                   0,
                   0.9});
    all.push_back({"all demand at one node; 30% of messages lost, duplicated and reordered",
                   {lossy, doubled, reordered},
                   {"n0"},
                   {},
                   0,
                   0.8});
    all.push_back({"two lenders killed while their leases are outstanding",
                   {with_nodes(TroubleKind::node_kill, 5, 0.4, {3, 4})},
                   {"n0"},
                   {},
                   0,
                   0.7});
    all.push_back({"half of the fleet killed at the same time",
                   {with_nodes(TroubleKind::node_kill, 5, 0.4, {0, 1, 2})},
                   {"n0", "n5"},
                   {},
                   0,
                   0.6});
    all.push_back({"the node with the largest share frozen for 10 s",
                   {with_nodes(TroubleKind::freeze, 5, 10, {0})},
                   {"n0"},
                   {"n5"},
                   5,
                   0.5,
                   20});
    all.push_back({"fleet partitioned in two halves for 30 s",
                   {link_fault(TroubleKind::cut, 4, 30, half, rest)},
                   {"n0"},
                   {},
                   0,
                   0.35,
                   34});
    all.push_back({"fleet partitioned in two halves for 10 s, then rejoined",
                   {link_fault(TroubleKind::cut, 4, 10, half, rest)},
                   {"n0"},
                   {},
                   0,
                   0.75,
                   26,
                   19});
    all.push_back({"one-way loss from one node", {one_way_loss}, {"n0"}, {}, 0, 0.6});
    all.push_back({"one node restarts while it is partitioned",
                   {link_fault(TroubleKind::cut, 2, 8, {"n5"}, {"n0", "n1", "n2", "n3", "n4"}),
                    with_nodes(TroubleKind::node_kill, 4, 1, {5})},
                   {"n0", "n5"},
                   {},
                   0,
                   0.6});
    all.push_back({"all nodes restarted at the same time",
                   {with_nodes(TroubleKind::node_kill, 5, 0.4, {0, 1, 2, 3, 4, 5})},
                   {"n0", "n5"},
                   {},
                   0,
                   0.4});
    return all;
}

class StrictLimit : public testing::TestWithParam<std::size_t> {};

TEST_P(StrictLimit, HoldsThroughTheFaultAndIsUsedWhereTheDemandIs) {
    const Case c = cases()[GetParam()];
    Scenario scenario = write_scenario(c.length);
    if (!c.nodes.empty()) assign_tenant_to(scenario, c.nodes, c.later_nodes, c.moves_at);
    scenario.troubles = c.troubles;
    const ScenarioOutcome run = run_scenario(scenario);
    const double max_rate = origin_rate(run, 0, c.length - 1, true),
                 used_share = origin_rate(run, c.used_from, c.length - 1, false) / kOriginLimit;
    std::printf("[ measured ] %-56s maximum per second %.0f of %.0f; share in use %.2f\n", c.name, max_rate,
                kOriginLimit, used_share);
    EXPECT_LE(max_rate, kOriginLimit + kBurstAllowance) << c.name << run.summary;
    EXPECT_GE(used_share, c.min_used) << c.name;
}
INSTANTIATE_TEST_SUITE_P(LimitDays, StrictLimit, testing::Range<std::size_t>(0, 11));

// Guards against leases that depend on wall clocks. The borrower's clock jumps an hour ahead and a lender's
// an hour back, and a third node restarts with its clock set back, so that its incarnation would be lower
// than its previous one. Leases must use the monotonic clock only.
TEST(LimitDays, JumpingWallClocksDoNotChangeLeases) {
    Scenario scenario = write_scenario(15);
    assign_tenant_to(scenario, {"n0"});
    scenario.troubles = {with_nodes(TroubleKind::node_kill, 8, 0.4, {2})};
    const double jump_at =
        std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count() + 7;
    const ScenarioOutcome run = run_scenario(scenario, 1, nullptr, nullptr, [jump_at](int node) {
        const char* offset = node == 0 ? "3600" : node == 1 || node == 2 ? "-3600" : "0";
        return std::vector<std::string>{"LD_PRELOAD=" CLOCK_JUMP_LIBRARY,
                                        "CLOCK_JUMP_AT=" + std::to_string(jump_at),
                                        std::string("CLOCK_JUMP_BY=") + offset};
    });
    const double max_rate = origin_rate(run, 0, 14, true),
                 used_share = origin_rate(run, 9, 14, false) / kOriginLimit;
    std::printf(
        "[ measured ] wall clocks set an hour ahead and back: maximum per second %.0f of %.0f; share in use "
        "%.2f\n",
        max_rate, kOriginLimit, used_share);
    EXPECT_LE(max_rate, kOriginLimit + kBurstAllowance);
    EXPECT_GE(used_share, 0.6);
    std::uint32_t first_incarnation = 0, last_incarnation = 0;
    for (const FleetView& view : run.result.views) {
        if (view.node != 2) continue;
        if (first_incarnation == 0) first_incarnation = view.starts[2];
        last_incarnation = view.starts[2];
    }
    EXPECT_GT(last_incarnation, first_incarnation)
        << "the incarnation exceeds the previous one, which peers remember";
}

TEST(LimitDays, APeerThatClaimsTheWholeQuotaLendsOnlyOneNodesShare) {
    Scenario scenario = write_scenario(15);
    assign_tenant_to(scenario, {"n0"});
    scenario.troubles = {with_nodes(TroubleKind::node_kill, 2, 20, {3})};
    std::string address;
    bool is_started = false;
    GreedyPeer claimer(3);
    const ScenarioOutcome run = run_scenario(
        scenario, 1,
        [&](const std::vector<std::string>& listens, const std::vector<std::string>&) {
            address = listens[3];
        },
        [&](double now, const std::string&) {
            if (now >= 3 && !std::exchange(is_started, true)) claimer.start(address);
        });
    const double max_rate = origin_rate(run, 0, 14, true);
    std::printf(
        "[ measured ] a peer that claimed the whole quota %d times: maximum per second %.0f of %.0f\n",
        claimer.claims(), max_rate, kOriginLimit);
    EXPECT_GT(claimer.claims(), 5);
    EXPECT_LE(max_rate, kOriginLimit + kBurstAllowance)
        << "a node requests no more than it needs, and accepts no more than one node may lend";
}

// Lowers the limit at half of the daemons first and then at the rest. No second may exceed the higher limit,
// and the lower one holds once all daemons use it.
TEST(LimitDays, ALimitLoweredAtSomeNodesFirstHoldsAtAllTimes) {
    Scenario scenario = write_scenario(16);
    Trouble first_half = with_nodes(TroubleKind::limits, 7, 0, {0, 1, 2}),
            second_half = with_nodes(TroubleKind::limits, 10, 0, {3, 4, 5});
    first_half.origin = second_half.origin = 30;
    scenario.troubles = {first_half, second_half};
    const ScenarioOutcome run = run_scenario(scenario);
    const double mean_before = origin_rate(run, 5, 7, false), max_between = origin_rate(run, 8, 10, true),
                 max_after = origin_rate(run, 11, 15, true);
    std::printf(
        "[ measured ] limit of %.0f, then 30 at half of the nodes, then at all: mean %.0f per second, then "
        "at most %.0f and %.0f\n",
        kOriginLimit, mean_before, max_between, max_after);
    EXPECT_GE(mean_before, 0.8 * kOriginLimit);
    EXPECT_LE(max_between, kOriginLimit + kBurstAllowance);
    EXPECT_LE(max_after, 30 + 30.0 / 4 + 6);
    EXPECT_GE(origin_rate(run, 11, 15, false), 0.8 * 30);
}

// A server returns cold while all demand is at one of six daemons, which without a fleet limit would send it
// several times the limit of all daemons together.
TEST(LimitDays, AColdServerStaysWithinTheFleetLimitWhereverTheDemandIs) {
    double max_rate[2] = {}, mean_rate[2] = {};
    for (const bool is_limited : {false, true}) {
        Scenario scenario = fleet_scenario(6, 1, 15);
        scenario.talk_cold = is_limited ? 8 : 0;
        scenario.kinds[0].count = 4;
        scenario.clients.rate = 240;
        scenario.operations[1].share = 0;
        scenario.operations[0].work = 2e-3;
        scenario.origin.slots = 32;
        assign_tenant_to(scenario, {"n0"});
        Trouble cold_return = make_trouble(TroubleKind::cold_return, 3, 0);
        cold_return.who = {"box-2"};
        scenario.troubles = {cold_return};
        const ScenarioOutcome run = run_scenario(scenario);
        for (int second = 4; second < 10; ++second) {
            const double rate = run.result.series.forwards[1][static_cast<std::size_t>(second)];
            max_rate[is_limited] = std::max(max_rate[is_limited], rate);
            mean_rate[is_limited] += rate / 6;
        }
        EXPECT_GT(run.result.series.forwards[1][13], 25) << "after slow start it receives as much as before";
    }
    std::printf(
        "[ measured ] attempts per second to a cold server, all demand at one of six nodes: %.1f (maximum "
        "%.0f) without a limit, %.1f (maximum %.0f) with a limit of 8\n",
        mean_rate[0], max_rate[0], mean_rate[1], max_rate[1]);
    EXPECT_GT(mean_rate[0], 12);
    EXPECT_LE(max_rate[1], 8 + 8.0 / 4 + 6);
    EXPECT_GE(mean_rate[1], 4) << "the node borrows the other nodes' shares";
}

// Each server accepts 24 connections and refuses further ones. Most of the demand is at one daemon and then
// moves to another.
TEST(LimitDays, ServersWithFewConnectionsAreNotOverfilled) {
    double refused[2] = {};
    for (const bool is_limited : {false, true}) {
        Scenario scenario = fleet_scenario(6, 1, 14);
        scenario.talk_connections = is_limited ? 24 : 0;
        scenario.kinds[0].count = 4;
        scenario.kinds[0].slots = 24;
        scenario.kinds[0].connections = 24;
        scenario.operations[0].work = 80e-3;
        scenario.operations[1].share = 0;
        scenario.clients.rate = 900;
        scenario.clients.retries = 0;
        scenario.tenants = {{"acme", 6, 0, {"n0"}, {"n3"}, 7}, {"bolt", 4, 0, {}, {}, 0}};
        const ScenarioOutcome run = run_scenario(scenario);
        int max_connections = 0;
        for (const std::vector<int>& server : run.result.series.connections)
            max_connections = std::max(max_connections, *std::max_element(server.begin(), server.end()));
        refused[is_limited] = static_cast<double>(run.result.refused_connections);
        std::printf(
            "[ measured ] %s: at most %d connections open to one server, %.0f refused, %.4f of the value "
            "lost\n",
            is_limited ? "fleet limit of 24 connections" : "no fleet limit", max_connections,
            refused[is_limited], 1 - run.result.verdict.total.ratio());
        EXPECT_LE(max_connections, 24);
    }
    EXPECT_LE(refused[1], refused[0] / 10);
}

// Guards against a burst of list requests. Where nodes poll for the endpoint list, all daemons are killed and
// start together. The rate of their first polls must not grow with the fleet, and rejected nodes must retry
// later.
TEST(LimitDays, ListRequestsOfNodesThatStartTogetherDoNotGrowWithTheFleet) {
    for (const int nodes : {6, 24}) {
        Scenario scenario = fleet_scenario(nodes, 1, 14);
        scenario.talk = false;
        scenario.discovery_asked = true;
        scenario.discovery_calls = 10;
        scenario.clients.rate = 40;
        Trouble kill_all = make_trouble(TroubleKind::node_kill, 3, 0.4);
        for (int n = 0; n < nodes; ++n) kill_all.nodes.push_back(n);
        scenario.troubles = {kill_all};
        const ScenarioOutcome run = run_scenario(scenario);
        double max_rate = 0, list_requests = 0;
        for (std::size_t second = 3; second < 8; ++second) {
            max_rate = std::max(max_rate, run.result.series.list_calls[second]);
            list_requests += run.result.series.list_calls[second];
        }
        std::printf(
            "[ measured ] %d nodes start together: at most %.0f list requests in a second, %.0f in five "
            "seconds, %llu rejected\n",
            nodes, max_rate, list_requests,
            static_cast<unsigned long long>(run.result.rejected_list_requests));
        EXPECT_GE(list_requests, nodes) << "every node has requested the list";
        EXPECT_LE(max_rate, 17) << "mean 8.3, plus three standard deviations";
    }
}

// Guards against throttling a tenant within its quota. The tenant's requests all go to one of eight daemons
// and then to another. The other tenants use all daemons evenly, one of them exceeds its quota, and the
// servers are overloaded.
TEST(LimitDays, ATenantWithinItsQuotaIsNotThrottledWhereverItsRequestsArrive) {
    double lost_share[2] = {};
    for (const bool uses_leases : {false, true}) {
        Scenario scenario = fleet_scenario(8, 1, 20);
        scenario.talk_tenants = uses_leases;
        scenario.kinds[0].slots = 1;
        scenario.operations[0].work = 50e-3;
        scenario.clients.rate = 260;
        scenario.clients.retries = 0;
        scenario.tenants = {{"acme", 2, 60, {"n0"}, {"n5"}, 10},
                            {"bolt", 6, 90, {}, {}, 0},
                            {"crane", 2, 120, {}, {}, 0},
                            {"dune", 2, 120, {}, {}, 0}};
        const ScenarioOutcome run = run_scenario(scenario);
        lost_share[uses_leases] = 1 - run.result.verdict.tenants[0].ratio();
        std::printf(
            "[ measured ] quota shares %s: value lost of the tenant that uses one node %.4f, of all tenants "
            "%.4f\n",
            uses_leases ? "leased by demand" : "estimated by each node", lost_share[uses_leases],
            1 - run.result.verdict.total.ratio());
    }
    EXPECT_LT(lost_share[1], lost_share[0] / 2);
}

}  // namespace
}  // namespace brookrelay::testkit
