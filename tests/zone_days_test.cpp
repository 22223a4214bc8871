// Tests zone failures with several processes, mostly twelve daemons in three zones. Cache servers are lost,
// partitioned, lost one after another and returned cold, and daemons are killed, frozen and partitioned
// meanwhile. The tests check the zone states that each node reports at its management address, the requests
// that the simulated servers counted per second, and the verdict of the audit.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <set>

#include "days.h"
#include "testkit/fleet_views.h"

namespace brookrelay::testkit {
namespace {

constexpr int kZones = 3;
// Seconds within which all nodes that use a failed zone drain it: 1 s was measured, plus the 0.25 s between
// views.
constexpr double kDrainTimeout = 2.5;
// Seconds within which all nodes use a zone fully again after it responds.
constexpr double kRecoveryTimeout = 11;
// Probes per second that the whole fleet may send to a drained zone.
constexpr double kMaxProbesPerSecond = 4;

NodePredicate in_zone(int zone) {
    return [zone](int n) { return n % kZones == zone; };
}

std::vector<std::string> servers_of(const Scenario& scenario, int zone) {
    std::vector<std::string> names;
    for (int server = zone; server < scenario.kinds[0].count;
         server += static_cast<int>(scenario.zones.size()))
        names.push_back("box-" + std::to_string(server + 1));
    return names;
}
std::vector<std::string> nodes_of(const Scenario& scenario, int zone) {
    std::vector<std::string> names;
    for (int n = zone; n < scenario.nodes; n += static_cast<int>(scenario.zones.size()))
        names.push_back("n" + std::to_string(n));
    return names;
}
void add_server_loss(Scenario& scenario, std::vector<std::string> servers, double at, double duration,
                     bool returns_cold = true) {
    Trouble t = make_trouble(TroubleKind::silent, at, duration);
    t.who = std::move(servers);
    scenario.troubles.push_back(t);
    if (!returns_cold) return;
    t.kind = TroubleKind::cold_return;
    t.at = at + duration;
    t.lasts = 0;
    scenario.troubles.push_back(t);
}

ViewPredicate is_drained(int zone) {
    return [zone](const FleetView& view) { return view.parts[static_cast<std::size_t>(zone)] <= 0; };
}
ViewPredicate is_fully_used(int zone) {
    return [zone](const FleetView& view) { return view.parts[static_cast<std::size_t>(zone)] >= 1; };
}
double attempts(const ScenarioOutcome& run, int zone, int second) {
    return attempts_to_zone(run.result, zone, static_cast<int>(run.plan.scenario.zones.size()), second);
}
double max_attempts(const ScenarioOutcome& run, int zone, int from, int until) {
    double maximum = 0;
    for (int t = from; t < until; ++t) maximum = std::max(maximum, attempts(run, zone, t));
    return maximum;
}
// Checks that in each view of a node between `from` and `until` its weight of zone 1 is at most two steps
// ahead of the largest weight at the other nodes. Returns the number of views in which it could have been
// further ahead.
int check_views(const ScenarioOutcome& run, int node, double from, double until,
                const std::vector<int>& others) {
    std::map<int, double> newest;
    int meaningful = 0;
    for (const FleetView& view : run.result.views) {
        newest[view.node] = view.parts[1];
        if (view.node != node || view.time < from || view.time > until) continue;
        double maximum = 0;
        for (const int n : others) maximum = std::max(maximum, newest[n]);
        EXPECT_LE(newest[node], 4 * maximum) << "more than two steps ahead at " << view.time;
        meaningful += 4 * maximum < 1;
    }
    return meaningful;
}

TEST(ZoneDays, ASuddenLossIsDrainedTogetherProbedByAFewAndRecoveredInSteps) {
    for (const int nodes : {3, 12}) {
        Scenario scenario = fleet_scenario(nodes, kZones, 24);
        if (nodes == 3) scenario.length = 16;
        add_server_loss(scenario, servers_of(scenario, 1), 5, 6);
        const ScenarioOutcome run = run_scenario(scenario);
        const double drained_at = first_time_all(run.result, 5, in_zone(1), is_drained(1)),
                     recovered_at = first_time_all(run.result, 11, in_zone(1), is_fully_used(1));
        std::printf(
            "[ measured ] %d daemons: drained after %.2f s, in full use %.2f s after the zone responded; "
            "at most %.1f attempts per second there meanwhile; peak use of the origin's capacity %.2f\n",
            nodes, drained_at - 5, recovered_at - 11, max_attempts(run, 1, 8, 11),
            max_origin_utilization(run.result));
        EXPECT_LE(max_attempts(run, 1, 8, 11), kMaxProbesPerSecond);
        EXPECT_LT(max_origin_utilization(run.result), 1);
        EXPECT_TRUE(holds_throughout(run.result, in_zone(0), is_fully_used(0)));
        // With one node per zone no other node can confirm a loss, so each decides alone.
        if (nodes == 3) continue;
        ASSERT_GT(drained_at, 5) << run.summary;
        EXPECT_LE(drained_at, 5 + kDrainTimeout);
        ASSERT_GT(recovered_at, 11) << run.summary;
        EXPECT_LE(recovered_at, 11 + kRecoveryTimeout);
        std::set<double> steps;
        for (const FleetView& view : run.result.views) {
            if (view.node == 1 && view.time > 11) steps.insert(view.parts[1]);
        }
        EXPECT_GE(steps.size(), 4U) << "the zone returns in steps and not at once";
    }
}

TEST(ZoneDays, AGradualLossIsDrainedOnceNoServerResponds) {
    Scenario scenario = fleet_scenario(12, kZones, 22);
    const std::vector<std::string> servers = servers_of(scenario, 1);
    for (std::size_t c = 0; c < servers.size(); ++c)
        add_server_loss(scenario, {servers[c]}, 4 + 5.0 / 3 * static_cast<double>(c),
                        13 - 4 - 5.0 / 3 * static_cast<double>(c), false);
    const ScenarioOutcome run = run_scenario(scenario);
    EXPECT_TRUE(holds_throughout(run.result, in_zone(1), is_fully_used(1), 0, 8.9))
        << "one server of the zone still responds";
    const double drained_at = first_time_all(run.result, 9, in_zone(1), is_drained(1));
    ASSERT_GT(drained_at, 9) << run.summary;
    EXPECT_LE(drained_at, 9 + kDrainTimeout + 1);
    EXPECT_GT(first_time_all(run.result, 13, in_zone(1), is_fully_used(1)), 13);
}

// Nodes in the first zone use servers in the second because their own drain. Then only these nodes
// lose their connection to the second zone.
TEST(ZoneDays, APartitionBetweenTwoZonesAffectsThatPairAlone) {
    Scenario scenario = fleet_scenario(12, kZones, 22);
    Trouble drain = make_trouble(TroubleKind::drain, 1, 0);
    drain.who = servers_of(scenario, 0);
    scenario.troubles = {drain,
                         link_fault(TroubleKind::cut, 6, 7, nodes_of(scenario, 0), servers_of(scenario, 1))};
    const ScenarioOutcome run = run_scenario(scenario);
    const double drained_at = first_time_all(run.result, 6, in_zone(0), is_drained(1));
    std::printf("[ measured ] a partition between two zones: drained for that pair after %.2f s\n",
                drained_at - 6);
    ASSERT_GT(drained_at, 6) << run.summary;
    EXPECT_LE(drained_at, 6 + kDrainTimeout + 0.25)
        << "views are taken four times per second, so a state may be seen 0.25 s late";
    EXPECT_TRUE(holds_throughout(run.result, in_zone(1), is_fully_used(1)));
    EXPECT_TRUE(holds_throughout(run.result, in_zone(2), is_fully_used(1)));
    EXPECT_TRUE(holds_throughout(run.result, in_zone(0), is_fully_used(2)))
        << "the third zone now serves the first zone's nodes too";
    EXPECT_GT(attempts(run, 1, 11), 10) << "the zone's own nodes use it";
    EXPECT_GT(first_time_all(run.result, 13, in_zone(0), is_fully_used(1)), 13);
}

TEST(ZoneDays, AZonePartitionedWithItsNodesKeepsServingThem) {
    Scenario scenario = fleet_scenario(12, kZones, 18);
    scenario.troubles = {link_fault(TroubleKind::cut, 5, 7, {"room-b"})};
    const ScenarioOutcome run = run_scenario(scenario);
    EXPECT_TRUE(holds_throughout(run.result, in_zone(1), is_fully_used(1))) << run.summary;
    EXPECT_TRUE(holds_throughout(run.result, in_zone(0), is_fully_used(0)));
    for (int t = 7; t < 12; ++t) EXPECT_GT(attempts(run, 1, t), 10) << t;
}

TEST(ZoneDays, AOneWayPartitionCountsAsASilentZone) {
    Scenario scenario = fleet_scenario(12, kZones, 24);
    Trouble cut = link_fault(TroubleKind::cut, 5, 6, nodes_of(scenario, 1), servers_of(scenario, 1));
    cut.one_way = true;
    scenario.troubles = {cut};
    const ScenarioOutcome run = run_scenario(scenario);
    const double drained_at = first_time_all(run.result, 5, in_zone(1), is_drained(1));
    ASSERT_GT(drained_at, 5) << run.summary;
    EXPECT_LE(drained_at, 5 + kDrainTimeout);
    EXPECT_GT(first_time_all(run.result, 11, in_zone(1), is_fully_used(1)), 11);
}

// In the other tests the endpoint list shows a lost zone as healthy; here it drains a healthy zone.
TEST(ZoneDays, AZoneDrainedByTheListIsNotAFailure) {
    Scenario scenario = fleet_scenario(12, kZones, 13);
    Trouble drain = make_trouble(TroubleKind::drain, 4, 4);
    drain.who = servers_of(scenario, 1);
    scenario.troubles = {drain};
    const ScenarioOutcome run = run_scenario(scenario);
    EXPECT_TRUE(holds_throughout(run.result, in_zone(1), is_fully_used(1))) << run.summary;
    EXPECT_EQ(max_attempts(run, 1, 6, 8), 0);
    EXPECT_GT(attempts(run, 1, 11), 10);
}

TEST(ZoneDays, ReturnsColdWhileTheOriginIsSlow) {
    Scenario scenario = fleet_scenario(12, kZones, 26);
    add_server_loss(scenario, servers_of(scenario, 1), 5, 5);
    Trouble slow_origin = make_trouble(TroubleKind::origin_slow, 9, 8);
    slow_origin.factor = 3;
    scenario.troubles.push_back(slow_origin);
    const ScenarioOutcome run = run_scenario(scenario);
    EXPECT_EQ(run.result.origin_halts, 0U);
    EXPECT_GT(first_time_all(run.result, 10, in_zone(1), is_fully_used(1)), 10) << run.summary;
}

TEST(ZoneDays, AZoneThatFailsRepeatedlyIsRecoveredAfterGrowingDelays) {
    Scenario scenario = fleet_scenario(12, kZones, 60);
    for (const double at : {4.0, 10.5, 17.0})
        add_server_loss(scenario, servers_of(scenario, 1), at, 3, false);
    const ScenarioOutcome run = run_scenario(scenario);
    std::vector<double> attempts_while_up;
    for (const int from : {7, 14}) {
        double n = 0;
        for (int t = from; t < from + 3; ++t) n += attempts(run, 1, t);
        attempts_while_up.push_back(n);
    }
    const double recovered_at = first_time_all(run.result, 20, in_zone(1), is_fully_used(1));
    std::printf(
        "[ measured ] attempts in the three seconds that it was up: %.0f, then %.0f of about 144; in "
        "full use %.1f s after the last failure\n",
        attempts_while_up[0], attempts_while_up[1], recovered_at - 20);
    EXPECT_LE(attempts_while_up[1], 36);
    ASSERT_GT(recovered_at, 20) << run.summary;
    EXPECT_LT(max_origin_utilization(run.result), 1);
}

TEST(ZoneDays, NodesStartedDuringARecoveryAdoptThePeersStep) {
    Scenario scenario = fleet_scenario(12, kZones, 34);
    scenario.warm_within = 16;  // s; each step of the recovery takes two seconds
    add_server_loss(scenario, servers_of(scenario, 1), 4, 5);
    Trouble kill_one = make_trouble(TroubleKind::node_kill, 11, 0.3),
            kill_most = make_trouble(TroubleKind::node_kill, 14.2, 0.5);
    kill_one.nodes = {4};
    kill_most.nodes = {0, 1, 2, 3, 4, 5, 6, 8};
    scenario.troubles.push_back(kill_one);
    scenario.troubles.push_back(kill_most);
    const ScenarioOutcome run = run_scenario(scenario);
    EXPECT_GE(check_views(run, 4, 13, 14.1, {7, 10}), 1) << "two seconds after the node started";
    EXPECT_GT(first_time_all(run.result, 17, in_zone(1), is_fully_used(1)), 17) << run.summary;
}

TEST(ZoneDays, ANodeFrozenBeforeTheLossResumesAtThePeersStep) {
    Scenario scenario = fleet_scenario(12, kZones, 30);
    scenario.warm_within = 16;
    add_server_loss(scenario, servers_of(scenario, 1), 5, 6.5);
    Trouble freeze = make_trouble(TroubleKind::freeze, 4, 9);
    freeze.nodes = {1};
    scenario.troubles.push_back(freeze);
    const ScenarioOutcome run = run_scenario(scenario);
    EXPECT_GE(check_views(run, 1, 15.2, 16, {4, 7, 10}), 1) << "two seconds after the node resumed";
    EXPECT_GT(first_time_all(run.result, 15, in_zone(1), is_fully_used(1)), 15) << run.summary;
}

TEST(ZoneDays, TwoOfThreeZonesAreLost) {
    Scenario scenario = fleet_scenario(12, kZones, 24);
    add_server_loss(scenario, servers_of(scenario, 1), 5, 6);
    add_server_loss(scenario, servers_of(scenario, 2), 5, 6);
    const ScenarioOutcome run = run_scenario(scenario);
    EXPECT_GT(first_time_all(run.result, 5, in_zone(1), is_drained(1)), 5) << run.summary;
    EXPECT_GT(first_time_all(run.result, 5, in_zone(2), is_drained(2)), 5);
    EXPECT_TRUE(holds_throughout(run.result, in_zone(0), is_fully_used(0)));
    EXPECT_LE(max_attempts(run, 1, 9, 11), 2 * kMaxProbesPerSecond);
    EXPECT_GT(first_time_all(run.result, 11, in_zone(1), is_fully_used(1)), 11);
    EXPECT_GT(first_time_all(run.result, 11, in_zone(2), is_fully_used(2)), 11);
}

TEST(ZoneDays, AHealthyZoneReportedLostByAFifthIsKept) {
    Scenario scenario = fleet_scenario(10, 2, 14);
    scenario.troubles = {link_fault(TroubleKind::cut, 4, 8, {"n1", "n3"}, servers_of(scenario, 1))};
    const ScenarioOutcome run = run_scenario(scenario);
    EXPECT_TRUE(holds_throughout(
        run.result, [](int n) { return n != 1 && n != 3; }, is_fully_used(1)))
        << run.summary;
    bool was_reported = false;
    for (const FleetView& view : run.result.views) was_reported = was_reported || view.zones[1] == "doubted";
    EXPECT_TRUE(was_reported) << "the loss was reported and not confirmed";
}

// Drains a zone with the program's command line at one node, which is killed meanwhile and restarts as the
// same node.
TEST(ZoneDays, AnAdministrativeDrainSurvivesARestartAndEndsInSteps) {
    Scenario scenario = fleet_scenario(6, 2, 20);
    Trouble kill = make_trouble(TroubleKind::node_kill, 4, 0.5);
    kill.nodes = {1};
    scenario.troubles = {kill};
    std::string address;
    const auto run_fleet_zones = [&address](const std::string& what) {
        return std::system((std::string(BROOKRELAY_PROGRAM) + " fleet zones --address " + address + " " +
                            what + " > /dev/null")
                               .c_str());
    };
    const ScenarioOutcome run = run_scenario(
        scenario, 1,
        [&](const std::vector<std::string>&, const std::vector<std::string>& managements) {
            address = managements[1];
            EXPECT_NE(run_fleet_zones("--leave room-x"), 0) << "the zone does not exist";
            EXPECT_EQ(run_fleet_zones("--leave room-b"), 0);
        },
        [&](double now, const std::string&) {
            if (now >= 9 && now < 10) {
                EXPECT_EQ(run_fleet_zones("--take-back room-b"), 0);
            }
        });
    const NodePredicate restarted_node = [](int n) { return n == 1; },
                        other_nodes = [](int n) { return n != 1; };
    EXPECT_TRUE(holds_throughout(run.result, other_nodes, is_fully_used(1)))
        << "the operator drained the zone at one node only";
    std::set<double> steps;
    for (const FleetView& view : run.result.views) {
        if (view.node != 1) continue;
        if (view.time > 1 && view.time < 9) {
            EXPECT_EQ(view.parts[1], 0) << view.time;
        }
        if (view.time > 9.5) steps.insert(view.parts[1]);
    }
    EXPECT_GE(steps.size(), 3U);
    EXPECT_GT(first_time_all(run.result, 10, restarted_node, is_fully_used(1)), 10) << run.summary;
}

TEST(ZoneDays, AnAdministrativeDrainIsRefusedWhereZoneFailoverIsOff) {
    Scenario scenario = fleet_scenario(2, 2, 3);
    scenario.talk_zones = false;
    run_scenario(
        scenario, 1, [](const std::vector<std::string>&, const std::vector<std::string>& managements) {
            const std::string command =
                std::string(BROOKRELAY_PROGRAM) + " fleet zones --address " + managements[1];
            EXPECT_EQ(WEXITSTATUS(std::system((command + " --leave room-b 2> /dev/null").c_str())), 1);
            EXPECT_EQ(WEXITSTATUS(std::system((command + " > /dev/null").c_str())), 0)
                << "the status is shown";
        });
}

TEST(ZoneDays, TheOriginsZoneIsLost) {
    Scenario scenario = fleet_scenario(12, kZones, 24);
    std::vector<std::string> servers = servers_of(scenario, 0);
    add_server_loss(scenario, servers, 5, 6);
    Trouble stop = make_trouble(TroubleKind::origin_stop, 5, 6);
    scenario.troubles.push_back(stop);
    const ScenarioOutcome run = run_scenario(scenario);
    EXPECT_GT(first_time_all(run.result, 5, in_zone(0), is_drained(0)), 5) << run.summary;
    EXPECT_TRUE(holds_throughout(run.result, in_zone(1), is_fully_used(1)));
    EXPECT_GT(first_time_all(run.result, 11, in_zone(0), is_fully_used(0)), 11);
}

}  // namespace
}  // namespace brookrelay::testkit
