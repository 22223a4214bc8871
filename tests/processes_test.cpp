// Several processes of the program with faults between them: which outlier verdicts the nodes reach by
// gossip, drop again, and do not believe. Each scenario runs on loopback in real time. The tests check each
// node's own fleet view from its management address, the counts of the stand-in servers, and the audit's
// verdict.
#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <set>
#include <sstream>

#include "days.h"
#include "gossip/messages.h"
#include "testkit/connection.h"

namespace brookrelay::testkit {
namespace {

using NodeFilter = std::function<bool(int node)>;
bool all_nodes(int) { return true; }

// Returns how many nodes of `which` have a verdict on `server` in their newest view within [from, until), and
// how many of them have a view at all.
std::pair<int, int> count_holding(const ScenarioOutcome& p, const std::string& server, double from,
                                  double until, const NodeFilter& which = all_nodes) {
    std::map<int, bool> last;
    for (const FleetView& v : p.result.views) {
        if (v.time < from || v.time >= until || !which(v.node)) continue;
        last[v.node] = std::count(v.found.begin(), v.found.end(), server) > 0;
    }
    int holding_nodes = 0;
    for (const auto& [node, is_held] : last) holding_nodes += is_held;
    return {holding_nodes, static_cast<int>(last.size())};
}
bool was_ever_found(const ScenarioOutcome& p, const std::string& server,
                    const NodeFilter& which = all_nodes) {
    return std::any_of(p.result.views.begin(), p.result.views.end(), [&](const FleetView& v) {
        return which(v.node) && std::count(v.found.begin(), v.found.end(), server) > 0;
    });
}
// Returns the first time from `from` on at which all nodes of `which` have the verdict, or none has; -1:
// never.
double first_time(const ScenarioOutcome& p, const std::string& server, double from, bool all_must_hold,
                  const NodeFilter& which = all_nodes) {
    std::set<double> times;
    for (const FleetView& v : p.result.views) times.insert(v.time);
    for (const double t : times) {
        if (t < from) continue;
        const auto [holding_nodes, views] = count_holding(p, server, t - 0.6, t + 0.01, which);
        if (views > 0 && holding_nodes == (all_must_hold ? views : 0)) return t;
    }
    return -1;
}
// Lists, for a failure message, how the views of the nodes of `which` changed: who has a verdict on `server`,
// and which state each has of the others.
std::string describe_verdicts(const ScenarioOutcome& p, const std::string& server, const NodeFilter& which) {
    std::ostringstream text;
    std::map<int, std::string> last_views;
    for (const FleetView& v : p.result.views) {
        if (!which(v.node)) continue;
        std::string view =
            std::count(v.found.begin(), v.found.end(), server) > 0 ? "holds " : "does not hold ";
        view += server + (v.doubts_itself ? ", doubts itself" : "") + ", nodes:";
        for (const std::string& state : v.states) view += ' ' + state;
        if (std::exchange(last_views[v.node], view) != view)
            text << "t " << v.time << ", n" << v.node << ' ' << view << '\n';
    }
    return text.str();
}
bool was_any_server_found(const ScenarioOutcome& p) {
    return std::any_of(p.result.views.begin(), p.result.views.end(),
                       [](const FleetView& v) { return !v.found.empty(); });
}

// Upper bounds, in seconds, of the time until all nodes have the verdict, and until all have dropped it:
// docs/fleet.md has the distribution.
constexpr double kMaxSecondsToFind = 8;
constexpr double kMaxSecondsToRecover = 10;

// Nodes without gossip, and servers with cold caches: each node's share of the slow-start budget is less
// than one attempt, and all nodes request the same popular keys. The stand-in servers collapse at exactly the
// overload that the settings allow.
struct ColdCachesCase {
    const char* name;
    int nodes;
    bool uneven, restarted;
};
class ColdCaches : public testing::TestWithParam<ColdCachesCase> {};

TEST_P(ColdCaches, SurviveTheCombinedLoadOfAllProcesses) {
    const ColdCachesCase& c = GetParam();
    Scenario s = fleet_scenario(c.nodes, 1, 18);
    s.talk = false;
    s.clients.rate = 60;
    s.kinds[0].slots = 1;
    s.kinds[0].queue = 200;
    s.operations[0].work = 0.12;  // a server handles 8 requests per second, a cold one a third of that
    s.operations[0].promised.client_timeout = 2;
    s.operations[0].promised.latency_objective = 1;
    s.fall_multiple = 2.5;
    s.fall_time = 1;
    s.keys.skew = 1.3;
    if (c.uneven) {
        TenantPlan few{"few", 1, 0, {"n0", "n1", "n2"}};
        TenantPlan many{"many", 1};
        s.tenants = {few, many};
    }
    Trouble cold = make_trouble(TroubleKind::cold_return, 6, 0);
    cold.who = {"box-2", "box-3", "box-5", "box-7", "box-8", "box-11"};
    Trouble hot = make_trouble(TroubleKind::hot_key, 4, 12);
    hot.part = 0.35;
    s.troubles = {cold, hot};
    if (c.restarted) {
        Trouble killed = make_trouble(TroubleKind::node_kill, 6.5, 0.5);
        for (int n = 0; n < c.nodes; ++n) killed.nodes.push_back(n);
        s.troubles.push_back(killed);
    }
    const ScenarioOutcome p = run_scenario(s);
    EXPECT_GT(p.result.verdict.attempts, 300) << p.summary;
}

INSTANTIATE_TEST_SUITE_P(Days, ColdCaches,
                         testing::Values(ColdCachesCase{"thirty_uneven", 30, true, false},
                                         ColdCachesCase{"thirty_restarted", 30, false, true}),
                         [](const auto& c) { return c.param.name; });

TEST(Processes, FindASlowServerAndItsRecovery) {
    Scenario s = fleet_scenario(8, 1, 22);
    s.troubles = {slow_server("box-5", 3, 9)};
    const ScenarioOutcome p = run_scenario(s);
    const double found_at = first_time(p, "box-5", 3, true);
    const double recovered_at = first_time(p, "box-5", 12, false);
    std::printf("[ measured ] all of 8 found it after %.2f s, dropped it %.2f s after its recovery\n",
                found_at - 3, recovered_at - 12);
    ASSERT_GT(found_at, 3) << p.summary;
    EXPECT_LE(found_at, 3 + kMaxSecondsToFind);
    EXPECT_LE(recovered_at, 12 + kMaxSecondsToRecover);
    for (int other = 1; other <= 12; ++other) {
        if (other == 5) continue;
        EXPECT_FALSE(was_ever_found(p, "box-" + std::to_string(other))) << other;
    }
    // While it is found bad, the whole fleet sends few probes, however often each node would probe by itself.
    double attempts = 0;
    for (std::size_t second = 8; second < 12; ++second) attempts += p.result.series.forwards[4][second];
    EXPECT_LE(attempts / 4, 8) << "attempts per second to it";
    EXPECT_GE(p.result.series.forwards[4].back(), 1) << "the server is in use again";
}

TEST(Processes, ANodeThatIsCutOffChangesNoVerdict) {
    Scenario s = fleet_scenario(8, 1, 14);
    s.troubles = {link_fault(TroubleKind::cut, 3, 8, {"n2"})};
    const ScenarioOutcome p = run_scenario(s);
    EXPECT_FALSE(was_any_server_found(p)) << "a node without connectivity was believed";
    bool is_dead = false;
    for (const FleetView& v : p.result.views)
        is_dead = is_dead || (v.time > 9 && v.time < 11 && v.node == 0 && v.states[2] == "gone");
    EXPECT_TRUE(is_dead) << "the node that is cut off is dead to the others";
    // It is known to be alive again soon after the cut.
    const auto last = std::find_if(p.result.views.rbegin(), p.result.views.rend(),
                                   [](const FleetView& v) { return v.node == 0; });
    ASSERT_NE(last, p.result.views.rend());
    EXPECT_EQ(last->states[2], "fresh");
}

// Both zones use the servers of the first, since those of the second drain; then one of them becomes
// unreachable from the second zone.
TEST(Processes, AServerBadForOneZoneIsEjectedByThatZoneOnly) {
    Scenario s = fleet_scenario(8, 2, 16);
    Trouble drain = make_trouble(TroubleKind::drain, 1, 0);
    drain.who = {"box-2", "box-4", "box-6", "box-8", "box-10", "box-12"};
    s.troubles = {drain, link_fault(TroubleKind::cut, 4, 11, {"n1", "n3", "n5", "n7"}, {"box-5"})};
    const ScenarioOutcome p = run_scenario(s);
    const NodeFilter first = [](int n) { return n % 2 == 0; }, second = [](int n) { return n % 2 != 0; };
    EXPECT_GT(first_time(p, "box-5", 4, true, second), 4)
        << p.summary << describe_verdicts(p, "box-5", second);
    EXPECT_FALSE(was_ever_found(p, "box-5", first));
    EXPECT_GT(p.result.series.forwards[4][14], 1) << "the first zone still uses it";
}

// A peer of another version, or one whose datagrams are all corrupted, counts as silent to the others.
TEST(Processes, AnUndecodablePeerIsIgnored) {
    Scenario s = fleet_scenario(6, 1, 16);
    Trouble other = link_fault(TroubleKind::garbled, 0, 15, {"n3"});
    other.one_way = true;
    s.troubles = {other, slow_server("box-5", 3, 12)};
    const ScenarioOutcome p = run_scenario(s);
    const NodeFilter other_nodes = [](int n) { return n != 3; };
    EXPECT_GT(first_time(p, "box-5", 3, true, other_nodes), 3) << p.summary;
    double unsound = 0;
    for (const FleetView& v : p.result.views) unsound = std::max(unsound, v.unsound);
    EXPECT_GT(unsound, 3);
}

TEST(Processes, AgreeDespiteLossDuplicationAndReordering) {
    Scenario s = fleet_scenario(8, 1, 16);
    for (const TroubleKind kind :
         {TroubleKind::lossy, TroubleKind::doubled, TroubleKind::reordered, TroubleKind::garbled}) {
        Trouble t = link_fault(kind, 1, 14, {"room-a"}, {"room-a"});
        t.part = kind == TroubleKind::garbled ? 0.05 : 0.3;
        t.delay = 0.4;
        s.troubles.push_back(t);
    }
    s.troubles.push_back(slow_server("box-5", 3, 12));
    const ScenarioOutcome p = run_scenario(s);
    const double found_at = first_time(p, "box-5", 3, true);
    std::printf("[ measured ] 3 in 10 lost, duplicated, reordered: all of 8 found it after %.2f s\n",
                found_at - 3);
    EXPECT_GT(found_at, 3) << p.summary;
    double unsound = 0;
    for (const FleetView& v : p.result.views) unsound = std::max(unsound, v.unsound);
    EXPECT_GT(unsound, 0) << "corrupted datagrams arrived and were discarded";
}

TEST(Processes, OneWayLossLeavesNoNodeDead) {
    Scenario s = fleet_scenario(6, 1, 12);
    Trouble deaf =
        link_fault(TroubleKind::lossy, 1, 10, {"n0"}, {"n1"});  // n1 does not receive from n0, but n0 from n1
    deaf.one_way = true;
    s.troubles = {deaf};
    const ScenarioOutcome p = run_scenario(s);
    for (const FleetView& v : p.result.views) {
        if (v.time <= 4) continue;
        EXPECT_NE(v.states[0], "gone") << "at n" << v.node << ", " << v.time;
    }
}

TEST(Processes, MostNodesKilledAndRestartedAreKnownAgain) {
    Scenario s = fleet_scenario(8, 1, 18);
    Trouble kill = make_trouble(TroubleKind::node_kill, 3, 2);
    kill.nodes = {0, 1, 2, 3, 4};
    s.troubles = {kill, slow_server("box-5", 6, 10)};
    const ScenarioOutcome p = run_scenario(s);
    EXPECT_GT(first_time(p, "box-5", 6, true), 6) << p.summary;
    std::set<std::uint64_t> incarnations;
    for (const FleetView& v : p.result.views) {
        if (v.node == 7 && v.starts[0] != 0) incarnations.insert(v.starts[0]);
    }
    EXPECT_EQ(incarnations.size(), 2U) << "n7 has seen two incarnations of n0";
}

TEST(Processes, AResumedNodeDropsItsOldVerdicts) {
    Scenario s = fleet_scenario(6, 1, 22);
    Trouble frozen = make_trouble(TroubleKind::freeze, 8, 7);
    frozen.nodes = {2};
    s.troubles = {slow_server("box-5", 2, 7), frozen};
    const ScenarioOutcome p = run_scenario(s);
    EXPECT_GT(first_time(p, "box-5", 2, true), 2) << p.summary;
    const NodeFilter is_resumed_node = [](int n) { return n == 2; };
    bool has_resumed = false;
    for (const FleetView& v : p.result.views) {
        if (v.node != 2 || v.time < 15.3) continue;
        has_resumed = true;
        EXPECT_TRUE(v.found.empty()) << "the resumed node still has its old verdict at " << v.time;
    }
    EXPECT_TRUE(has_resumed);
    EXPECT_TRUE(std::any_of(p.result.views.begin(), p.result.views.end(),
                            [](const FleetView& v) { return v.node == 2 && v.doubts_itself; }));
}

TEST(Processes, AStarvedNodeChangesNoVerdict) {
    Scenario s = fleet_scenario(6, 1, 14);
    Trouble starved = make_trouble(TroubleKind::starved, 2, 9);
    starved.nodes = {1};
    starved.part = 0.8;
    s.troubles = {starved};
    EXPECT_FALSE(was_any_server_found(run_scenario(s)));
}

// A sender at an unknown address forges valid datagrams in which many owners find all servers bad.
TEST(Processes, DatagramsFromUnknownAddressesAreIgnored) {
    Scenario s = fleet_scenario(4, 1, 8);
    Io io;
    using Udp = boost::asio::ip::udp;
    Udp::socket unknown_sender(io, Udp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    const ScenarioOutcome p =
        run_scenario(s, 1, [&](const std::vector<std::string>& listens, const std::vector<std::string>&) {
            for (int i = 0; i < 50; ++i) {
                for (const std::string& listen : listens) {
                    gossip::Datagram d;
                    d.node = i % 4;
                    d.stamp = {4'000'000'000U, 1000U + static_cast<std::uint32_t>(i)};
                    for (int c = 1; c <= 8; ++c)
                        d.verdicts.push_back(
                            {gossip::server_key("box-" + std::to_string(c)), (i + 1) % 4, d.stamp, 1, 9, 0});
                    const std::size_t colon = listen.find(':');
                    unknown_sender.send_to(
                        boost::asio::buffer(gossip::encode(d)),
                        Udp::endpoint(boost::asio::ip::make_address(listen.substr(0, colon)),
                                      static_cast<unsigned short>(std::stoul(listen.substr(colon + 1)))));
                }
            }
        });
    EXPECT_FALSE(was_any_server_found(p));
    for (int n = 0; n < 4; ++n) {
        EXPECT_TRUE(std::any_of(p.result.views.begin(), p.result.views.end(), [n](const FleetView& v) {
            return v.node == n && v.strangers == 50;
        })) << n;
    }
}

TEST(Processes, WithAllDatagramsLostNoVerdictStands) {
    Scenario s = fleet_scenario(6, 1, 24);
    s.troubles = {slow_server("box-5", 2, 21), link_fault(TroubleKind::lossy, 8, 15, {"room-a"}, {"room-a"})};
    const ScenarioOutcome p = run_scenario(s);
    EXPECT_GT(first_time(p, "box-5", 2, true), 2) << p.summary;
    // Without datagrams all verdicts must expire. The check is stricter than the bound: 14.5 s after the
    // loss, where kMaxEvidenceAge of src/gossip (16 s) bounds the age of evidence that may still count.
    for (const FleetView& v : p.result.views) {
        if (v.time <= 8 + 14 + 0.5) continue;
        EXPECT_TRUE(v.found.empty()) << "n" << v.node << " at " << v.time;
    }
}

// A change of the endpoint list reaches some nodes late; the auditor checks each node's own drains.
TEST(Processes, ALateEndpointListBreaksNoDrain) {
    Scenario s = fleet_scenario(4, 1, 8);
    Trouble late = make_trouble(TroubleKind::list_late, 2, 3);
    late.nodes = {0, 1};
    Trouble drain = make_trouble(TroubleKind::drain, 2.5, 0);
    drain.who = {"box-5"};
    s.troubles = {late, drain};
    const ScenarioOutcome p = run_scenario(s);
    EXPECT_EQ(p.result.series.forwards[4].back(), 0) << p.summary;
    EXPECT_GT(p.result.series.forwards[4][3], 0) << "nodes with the old list still used it";
}

}  // namespace
}  // namespace brookrelay::testkit
