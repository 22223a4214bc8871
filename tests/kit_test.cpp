// Tests of the test kit: its parts without sockets, and scenario runs over sockets. Each injected fault must
// reach the daemon, each faulty daemon must be reported, and no run may leave a process behind. Runs are
// short and seeded; the checks use counts and rules, not the speed of the machine.
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <set>
#include <string>
#include <thread>

#include "testkit/experiment.h"
#include "testkit/fault_schedule.h"
#include "testkit/histogram.h"
#include "testkit/network_fault_proxy.h"
#include "testkit/rehearsal.h"
#include "testkit/report.h"
#include "testkit/scripted_peer.h"
#include "testkit/server_model.h"
#include "testkit/wire.h"

namespace {

using namespace brookrelay;
using namespace brookrelay::testkit;

// ---- parts ----------------------------------------------------------------------------------------------

TEST(WorkQueue, ServesInOrderOnItsSlots) {
    WorkQueue queue(2, 2, [](double) { return 2.0; });
    EXPECT_TRUE(queue.enqueue(0, 1, 4));  // runs until 2 s
    EXPECT_TRUE(queue.enqueue(0, 2, 2));  // runs until 1 s
    EXPECT_TRUE(queue.enqueue(0, 3, 2));  // runs from 1 s until 2 s
    EXPECT_TRUE(queue.enqueue(0, 4, 2));
    EXPECT_FALSE(queue.enqueue(0, 5, 2));  // the queue is full
    queue.drop_queued(3);
    EXPECT_EQ(queue.open_jobs(), 3);
    EXPECT_EQ(queue.pop_finished(0.5), std::nullopt);
    EXPECT_EQ(queue.pop_finished(5), 2);
    // The fourth job starts when the second ends, not when pop_finished() is called.
    EXPECT_EQ(queue.next_finish_time(), 2);
    EXPECT_EQ(queue.clear().size(), 2U);
    EXPECT_EQ(queue.open_jobs(), 0);
}

TEST(OverloadDetector, DistinguishesSustainedOverloadFromABurst) {
    const struct {
        const char* name;
        double rate, until;
        bool over;
    } cases[] = {{"twice the multiple, long enough", 8, 4, true},
                 {"twice the multiple, too short", 8, 1.5, false},
                 {"just under the multiple", 3.9, 9, false}};
    for (const auto& c : cases) {
        SCOPED_TRACE(c.name);
        OverloadDetector detector;
        bool over = false;
        for (int i = 0; i < 100; ++i) {
            const double now = 0.1 * i + 0.05;
            if (now < c.until) detector.add_work(now, 0.1 * c.rate);
            over = over || detector.is_overloaded(now, 1, 4, 2);
        }
        EXPECT_EQ(over, c.over);
    }
}

TEST(Store, EvictsTheLeastRecentlyUsed) {
    Store store(2);
    store.put(1, 0);
    store.put(2, 0);
    EXPECT_TRUE(store.get(1).has_value());
    store.put(3, 7);
    EXPECT_FALSE(store.get(2).has_value());
    EXPECT_EQ(store.get(3), 7U);
    store.drop_if([](std::uint64_t key) { return key == 1; });
    EXPECT_EQ(store.size(), 1U);
}

TEST(DeduplicationWindow, RemembersAKeyForItsWindow) {
    DeduplicationWindow window;
    EXPECT_FALSE(window.check_and_add(0, 9, 2));
    EXPECT_TRUE(window.check_and_add(1.9, 9, 2));
    EXPECT_FALSE(window.check_and_add(2.1, 9, 2));
    for (int i = 0; i < 1000; ++i) (void)window.check_and_add(10 + i, 100 + static_cast<std::uint64_t>(i), 2);
    EXPECT_LT(window.size(), 5U);
}

TEST(LatencyHistogram, ComputesQuantilesWithinAFewPercent) {
    LatencyHistogram h;
    for (int i = 1; i <= 10000; ++i) h.add(i * 1e-5);
    EXPECT_NEAR(h.quantile(0.5), 0.05, 0.002);
    EXPECT_NEAR(h.quantile(0.99), 0.099, 0.003);
    EXPECT_NEAR(h.mean(), 0.05, 1e-4);
    EXPECT_EQ(LatencyHistogram{}.quantile(0.99), 0);
}

TEST(Wire, ParsesTheProtocol) {
    Command c;
    const std::string read = "mg 00ff v Oabc Pc=read,t=x,d=250,k=1f,r=1\r\n";
    EXPECT_EQ(read_command(read, c), read.size());
    EXPECT_EQ(c.kind, Command::Kind::read);
    EXPECT_EQ(c.key, 0xffU);
    EXPECT_EQ(c.id, "abc");
    EXPECT_EQ(c.properties.operation, "read");
    EXPECT_EQ(c.properties.idempotency_key, 0x1fU);
    EXPECT_DOUBLE_EQ(c.properties.deadline, 0.25);
    const std::string write = "ms 1 3 Oa Pc=w\r\nxyz\r\n";
    for (std::size_t n = 0; n < write.size(); ++n) EXPECT_EQ(read_command(write.substr(0, n), c), 0U) << n;
    EXPECT_EQ(read_command(write, c), write.size());
    EXPECT_EQ(c.value, "xyz");
    for (const char* bad :
         {"mg k v Oa\r\n", "mg k x Oa Pc=r\r\n", "get k\r\n", "ms k y Oa Pc=r\r\n", "mg k v Pc=r\r\n"}) {
        EXPECT_GT(read_command(bad, c), 0U);
        EXPECT_EQ(c.kind, Command::Kind::malformed) << bad;
    }
    Value v;
    EXPECT_TRUE(read_value(value_text(12, 0xabc, 3, 100), v));
    EXPECT_EQ(v.attempt, 12);
    EXPECT_EQ(v.key, 0xabcU);
    int request_number = 0;
    EXPECT_TRUE(read_id(format_request_id(7, 41), 7, request_number));
    EXPECT_EQ(request_number, 41);
    EXPECT_FALSE(read_id(format_request_id(8, 41), 7, request_number));
}

// ---- experiments ----------------------------------------------------------------------------------------

TEST(Experiment, ReadsSweepsAndSeeds) {
    EXPECT_EQ(parse_sweep("a.b=1,2").values, (std::vector<std::string>{"1", "2"}));
    EXPECT_EQ(parse_sweep("c=[[\"0s\", 1],[\"1s\", 2]],[]").values.size(), 2U);
    EXPECT_EQ(parse_sweep("c=\"a,b\"").values.size(), 1U);
    EXPECT_THROW((void)parse_sweep("nothing"), std::invalid_argument);
    EXPECT_EQ(parse_seeds("1..3,9"), (std::vector<std::uint64_t>{1, 2, 3, 9}));
    for (const char* wrong : {"", "x", "3..1", "1..", "1-3", "1..99999999"}) {
        EXPECT_THROW((void)parse_seeds(wrong), std::invalid_argument) << wrong;
    }
}

TEST(Experiment, PairsRunsOfTwoDaemonsBySeed) {
    ExperimentPlan plan;
    plan.daemons = {"a", "b"};
    plan.seeds = {4, 5, 6};
    plan.sweeps = {{"x", {"1", "2"}}, {"fixed", {"7"}}};
    std::vector<ExperimentRun> cells = plan_experiment_runs(plan);
    ASSERT_EQ(cells.size(), 12U);
    EXPECT_EQ(cells[0].seed, cells[1].seed);
    EXPECT_NE(cells[0].daemon, cells[1].daemon);
    EXPECT_EQ(cells[0].setting, "x=1");
    EXPECT_EQ(cells[0].sets, (std::vector<std::string>{"x=1", "fixed=7"}));
    for (ExperimentRun& c : cells) {
        c.measures.played = true;
        // Seeds differ far more than the daemons, so only a paired comparison shows the difference.
        c.measures.whole = 0.1 * static_cast<double>(c.seed) + (c.daemon == 1 ? 0.01 : 0) +
                           (c.daemon == 1 && c.seed == 5 ? 0.001 : 0);
    }
    const std::vector<PairedDifference> pairs = paired_differences(cells, 2);
    EXPECT_EQ(pairs.size(), 2 * all_measures().size());
    EXPECT_NEAR(pairs[0].mean, 0.01033, 1e-4);
    EXPECT_NEAR(pairs[0].half_width, 4.303 * 0.000577 / std::sqrt(3.0), 1e-5);
    EXPECT_TRUE(pairs[0].is_significant());
    EXPECT_FALSE(pairs[1].is_significant());
    // A pair is dropped if one of its runs was not played.
    cells[0].measures.played = false;
    EXPECT_EQ(paired_differences(cells, 2)[0].first.size(), 2U);
}

// A run that ended before it began has no samples; its report must still be rendered.
TEST(Report, RendersARunWithoutData) {
    RunPlan plan;
    plan.scenario.name = "nothing";
    plan.scenario.operations.resize(1);
    RunResult result;
    result.latencies.resize(1);
    EXPECT_NE(report_html({}, plan, result).find("</html>"), std::string::npos);
    result.failed = "no daemon";
    EXPECT_NE(report_html({}, plan, result).find("no daemon"), std::string::npos);
}

// ---- runs -----------------------------------------------------------------------------------------------

Scenario small_scenario(double length = 3) {
    Scenario s;
    s.name = "small";
    s.length = length;
    s.count_from = 0;
    s.nodes = 1;
    ServerKind server_kind;
    server_kind.count = 3;
    server_kind.keys = 2000;
    s.kinds = {server_kind};
    const auto operation = [](const char* name, Idempotency idempotency, bool write, double share) {
        OperationPlan o;
        o.name = name;
        o.write = write;
        o.share = share;
        o.promised.idempotency = idempotency;
        o.promised.deduplication_window = idempotency == Idempotency::idempotency_key ? 3 : 0;
        o.promised.client_timeout = 1;
        o.promised.latency_objective = 0.4;
        return o;
    };
    s.operations = {operation("read", Idempotency::idempotent, false, 80),
                    operation("submit", Idempotency::idempotency_key, true, 12),
                    operation("once", Idempotency::none, true, 8)};
    s.tenants = {{"shops", 1, 0}, {"partners", 1, 0}};
    s.clients.rate = 250;
    s.keys.count = 3000;
    return s;
}

std::string create_run_folder(const std::string& name) {
    const std::string folder = testing::TempDir() + "rehearsal-" + std::to_string(getpid()) + "-" + name;
    std::filesystem::create_directories(folder);
    return folder;
}

struct ScenarioOutcome {
    RunPlan plan;
    RunResult result;
    std::string log;
};

ScenarioOutcome run_scenario(const Scenario& s, const std::string& program = BROOKRELAY_PROGRAM,
                             std::function<bool()> interrupted = nullptr) {
    ScenarioOutcome p;
    p.plan.scenario = s;
    p.plan.program = program;
    p.plan.folder = create_run_folder(testing::UnitTest::GetInstance()->current_test_info()->name());
    p.plan.interrupted = std::move(interrupted);
    p.result = execute_run(p.plan);
    std::ifstream log(p.plan.folder + "/n0.log");
    p.log.assign(std::istreambuf_iterator<char>(log), {});
    return p;
}

Trouble make_fault(TroubleKind kind, double at, double lasts, std::vector<std::string> who = {}) {
    Trouble t;
    t.kind = kind;
    t.at = at;
    t.lasts = lasts;
    t.who = std::move(who);
    return t;
}

TEST(Schedule, IsDeterministicForASeed) {
    Scenario s = small_scenario(20);
    s.troubles = {make_fault(TroubleKind::scan, 2, 3)};
    const auto a = draw_schedule(s, 5), b = draw_schedule(s, 5), c = draw_schedule(s, 6);
    EXPECT_EQ(digest(a, s.troubles), digest(b, s.troubles));
    EXPECT_NE(digest(a, s.troubles), digest(c, s.troubles));
    EXPECT_NEAR(static_cast<double>(a.size()), 250 * 23, 300);
    // A fault that adds arrivals leaves all other arrivals unchanged.
    Scenario without = s;
    without.troubles.clear();
    const auto plain = draw_schedule(without, 5);
    std::size_t found = 0;
    for (const PlannedRequest& p : a) {
        if (found < plain.size() && p.at == plain[found].at && p.key == plain[found].key) ++found;
    }
    EXPECT_EQ(found, plain.size());
}

TEST(Rehearsal, RunWithoutFaultsHasNoViolations) {
    const ScenarioOutcome p = run_scenario(small_scenario());
    ASSERT_EQ(p.result.failed, "");
    EXPECT_TRUE(p.result.verdict.violations.empty()) << summary_text(p.plan, p.result);
    EXPECT_GT(p.result.verdict.requests, 500U);
    EXPECT_GT(p.result.hits, 300U);
    EXPECT_GT(p.result.origin_writes, 50U);
    EXPECT_GT(p.result.verdict.effects, 50U);
    EXPECT_EQ(p.result.verdict.unanswered, 0U);
    EXPECT_EQ(p.result.crashes, 0);
    const std::string json = report_json({"kit", "daemon", "again"}, p.plan, p.result);
    EXPECT_NE(json.find("\"schema\": 1"), std::string::npos);
    EXPECT_NE(report_html({}, p.plan, p.result).find("<svg"), std::string::npos);
}

// One injected fault and its visible effect, in the servers' counts or the daemon's log.
struct FaultCase {
    const char* name;
    Trouble trouble;
    std::function<bool(const ScenarioOutcome&)> has_effect;
};

class InjectedFault : public testing::TestWithParam<FaultCase> {};

TEST_P(InjectedFault, ReachesTheDaemonWithoutViolations) {
    Scenario s = small_scenario(3.5);
    s.nodes = 2;
    s.troubles = {GetParam().trouble};
    const ScenarioOutcome p = run_scenario(s);
    ASSERT_EQ(p.result.failed, "");
    EXPECT_TRUE(p.result.verdict.violations.empty()) << summary_text(p.plan, p.result);
    EXPECT_EQ(p.result.crashes, 0);
    EXPECT_TRUE(GetParam().has_effect(p)) << summary_text(p.plan, p.result) << p.log;
}

bool log_contains(const ScenarioOutcome& p, const char* text) {
    return p.log.find(text) != std::string::npos;
}
double forwards_in_second(const ScenarioOutcome& p, std::size_t server, std::size_t second) {
    return p.result.series.forwards[server][second];
}
bool has_mark(const ScenarioOutcome& p, const char* text) {
    return std::any_of(p.result.marks.begin(), p.result.marks.end(),
                       [&](const auto& m) { return m.second.find(text) != std::string::npos; });
}

Trouble adjusted(Trouble t, std::function<void(Trouble&)> change) {
    change(t);
    return t;
}

INSTANTIATE_TEST_SUITE_P(
    All, InjectedFault,
    testing::Values(
        FaultCase{"silent", make_fault(TroubleKind::silent, 1, 1.5, {"box-1"}),
                  [](const ScenarioOutcome& p) {
                      return log_contains(p, "box-1: forward timed out") ||
                             log_contains(p, "box-1: forward refused");
                  }},
        FaultCase{"crash", make_fault(TroubleKind::crash, 1, 1, {"box-1"}),
                  [](const ScenarioOutcome& p) { return log_contains(p, "box-1: forward re"); }},
        FaultCase{"slow",
                  adjusted(make_fault(TroubleKind::slow, 1, 2, {"box-1"}), [](Trouble& x) { x.factor = 60; }),
                  [](const ScenarioOutcome& p) { return p.result.latencies[0].quantile(0.999) > 0.03; }},
        FaultCase{"cold_return", make_fault(TroubleKind::cold_return, 1, 0, {"box-1"}),
                  [](const ScenarioOutcome& p) {
                      return log_contains(p, "1 servers told") && p.result.misses > 0;
                  }},
        FaultCase{"void_copies", make_fault(TroubleKind::void_copies, 1.5, 0),
                  [](const ScenarioOutcome& p) {
                      return forwards_in_second(p, 3, 2) > 1.8 * forwards_in_second(p, 3, 0);
                  }},
        FaultCase{"hot_key",
                  adjusted(make_fault(TroubleKind::hot_key, 1, 2), [](Trouble& x) { x.part = 0.6; }),
                  [](const ScenarioOutcome& p) {
                      double most = 0;
                      for (std::size_t i = 0; i < 3; ++i) most = std::max(most, forwards_in_second(p, i, 1));
                      return most > 1.3 *
                                        (forwards_in_second(p, 0, 1) + forwards_in_second(p, 1, 1) +
                                         forwards_in_second(p, 2, 1)) /
                                        3;
                  }},
        FaultCase{"origin_slow",
                  adjusted(make_fault(TroubleKind::origin_slow, 1, 2), [](Trouble& x) { x.factor = 15; }),
                  [](const ScenarioOutcome& p) { return p.result.latencies[1].quantile(0.9) > 0.1; }},
        FaultCase{"origin_stop", make_fault(TroubleKind::origin_stop, 1, 1.5),
                  [](const ScenarioOutcome& p) {
                      return p.result.origin_halts == 1 && log_contains(p, "origin: forward timed out");
                  }},
        FaultCase{"scan", adjusted(make_fault(TroubleKind::scan, 1, 1.5), [](Trouble& x) { x.part = 0.5; }),
                  [](const ScenarioOutcome& p) {
                      return forwards_in_second(p, 3, 1) > 2 * forwards_in_second(p, 3, 0);
                  }},
        FaultCase{"discovery_restart", make_fault(TroubleKind::discovery_restart, 0.8, 2.4, {"box-2"}),
                  [](const ScenarioOutcome& p) {
                      return log_contains(p, "connection lost") && log_contains(p, "(whole list)") &&
                             forwards_in_second(p, 1, 2) == 0;
                  }},
        FaultCase{"drain", make_fault(TroubleKind::drain, 0.5, 0, {"box-3"}),
                  [](const ScenarioOutcome& p) {
                      return forwards_in_second(p, 2, 2) == 0 && forwards_in_second(p, 2, 0) > 0;
                  }},
        FaultCase{"remove", make_fault(TroubleKind::remove, 0.3, 0.5, {"box-3"}),
                  [](const ScenarioOutcome& p) { return forwards_in_second(p, 2, 2) == 0; }},
        FaultCase{"node_kill", make_fault(TroubleKind::node_kill, 1, 0.5),
                  [](const ScenarioOutcome& p) { return has_mark(p, "node 0 serves again"); }},
        FaultCase{"node_restart", make_fault(TroubleKind::node_restart, 1, 0),
                  [](const ScenarioOutcome& p) {
                      return has_mark(p, "has ended, exit code 0") && log_contains(p, "told to end");
                  }},
        FaultCase{"reload", make_fault(TroubleKind::reload, 1, 0),
                  [](const ScenarioOutcome& p) { return log_contains(p, "configuration read again"); }},
        FaultCase{"reload_bad", make_fault(TroubleKind::reload_bad, 1, 0),
                  [](const ScenarioOutcome& p) { return log_contains(p, "not taken, the old one stays"); }},
        FaultCase{"spoilt", make_fault(TroubleKind::spoilt, 1, 1.5, {"box-1"}),
                  [](const ScenarioOutcome& p) { return log_contains(p, "box-1: nonsense"); }},
        FaultCase{"tricklers",
                  adjusted(make_fault(TroubleKind::tricklers, 0.3, 3), [](Trouble& x) { x.count = 150; }),
                  [](const ScenarioOutcome& p) { return p.result.daemon_descriptors > 150; }},
        FaultCase{"non_readers",
                  adjusted(make_fault(TroubleKind::non_readers, 0.3, 3), [](Trouble& x) { x.count = 10; }),
                  [](const ScenarioOutcome& p) {
                      return p.result.verdict.attempts > p.result.verdict.requests + 300;
                  }},
        FaultCase{"over_share",
                  adjusted(make_fault(TroubleKind::over_share, 1, 1, {"partners"}),
                           [](Trouble& x) { x.factor = 5; }),
                  [](const ScenarioOutcome& p) {
                      return p.result.verdict.seconds[1].offered > 1.5 * p.result.verdict.seconds[0].offered;
                  }}),
    [](const auto& one) { return one.param.name; });

class WithheldUpdate : public testing::TestWithParam<TroubleKind> {};

TEST_P(WithheldUpdate, ReachesTheDaemonOnlyAfterTheFault) {
    Scenario s = small_scenario(4);
    s.troubles = {make_fault(GetParam(), 0.2, 2.5), make_fault(TroubleKind::drain, 0.4, 0, {"box-3"})};
    const ScenarioOutcome p = run_scenario(s);
    ASSERT_EQ(p.result.failed, "");
    EXPECT_TRUE(p.result.verdict.violations.empty()) << summary_text(p.plan, p.result);
    EXPECT_GT(forwards_in_second(p, 2, 1), 0);  // the server drains, but no node has the update
    EXPECT_EQ(forwards_in_second(p, 2, 3), 0);
}

INSTANTIATE_TEST_SUITE_P(Discovery, WithheldUpdate,
                         testing::Values(TroubleKind::discovery_stale, TroubleKind::discovery_down));

TEST(Rehearsal, ConcurrentFaultsCauseNoViolation) {
    Scenario s = small_scenario(6);
    s.nodes = 2;
    s.kinds[0].count = 5;
    s.troubles = {make_fault(TroubleKind::silent, 1, 2, {"box-1"}),
                  make_fault(TroubleKind::cold_return, 1.5, 0, {"box-2"}),
                  make_fault(TroubleKind::void_copies, 2, 0),
                  adjusted(make_fault(TroubleKind::origin_slow, 2, 2), [](Trouble& x) { x.factor = 5; }),
                  adjusted(make_fault(TroubleKind::hot_key, 2.2, 1), [](Trouble& x) { x.part = 0.4; }),
                  make_fault(TroubleKind::discovery_down, 1.2, 2),
                  make_fault(TroubleKind::node_kill, 2.5, 0.5),
                  make_fault(TroubleKind::spoilt, 3, 1, {"box-3"}),
                  adjusted(make_fault(TroubleKind::tricklers, 1, 4), [](Trouble& x) { x.node = 1; })};
    const ScenarioOutcome p = run_scenario(s);
    ASSERT_EQ(p.result.failed, "");
    EXPECT_TRUE(p.result.verdict.violations.empty()) << summary_text(p.plan, p.result);
    EXPECT_EQ(p.result.crashes, 0);
    EXPECT_TRUE(has_mark(p, "node 0 serves again"));
    // By its last second the run has recovered without intervention.
    EXPECT_GT(p.result.verdict.seconds.back().ratio(), 0.9) << summary_text(p.plan, p.result);
}

// ---- faulty daemons ------------------------------------------------------------------------------------

struct BadDaemonCase {
    const char* mode;
    // The rule that the daemon breaks; 0: none (the control "", and "hangup"); -1: the daemon crashes.
    int rule;
    const char* violation_text;
};

class BadDaemon : public testing::TestWithParam<BadDaemonCase> {};

TEST_P(BadDaemon, IsReportedWithItsRequest) {
    Scenario s = small_scenario(3);
    s.clients.rate = 120;
    if (std::string(GetParam().mode) == "drained")
        s.troubles = {make_fault(TroubleKind::drain, 0.5, 0, {"box-1"})};
    if (std::string(GetParam().mode) == "pusher") {
        s.length = 6;
        s.warm_within = 8;
        s.kinds[0].warm_after = 7;
        s.kinds[0].slots = 1;
        s.kinds[0].count = 8;
        s.clients.rate = 400;
        s.operations[0].work = 0.02;
        s.troubles = {make_fault(TroubleKind::cold_return, 1, 0, {"box-1"})};
    }
    setenv("BAD_DAEMON", GetParam().mode, 1);
    const ScenarioOutcome p = run_scenario(s, BAD_DAEMON_PROGRAM);
    ASSERT_EQ(p.result.failed, "");
    const auto& v = p.result.verdict;
    if (GetParam().rule == 0) {
        EXPECT_TRUE(v.violations.empty()) << summary_text(p.plan, p.result);
        return;
    }
    if (GetParam().rule < 0) {
        EXPECT_GT(p.result.crashes, 0);
        EXPECT_EQ(verdict_word(p.result), "broken");
        return;
    }
    ASSERT_GT(v.violations_by_rule[static_cast<std::size_t>(GetParam().rule)], 0)
        << summary_text(p.plan, p.result);
    const auto found = std::find_if(v.violations.begin(), v.violations.end(), [](const auto& f) {
        return f.rule == GetParam().rule && f.what.find(GetParam().violation_text) != std::string::npos;
    });
    ASSERT_NE(found, v.violations.end()) << summary_text(p.plan, p.result);
    EXPECT_GE(found->request, 0);
    EXPECT_GE(found->trace.size(), 2U);
}

INSTANTIATE_TEST_SUITE_P(
    All, BadDaemon,
    testing::Values(BadDaemonCase{"", 0, ""}, BadDaemonCase{"twice", 1, "second final answer"},
                    BadDaemonCase{"mute", 1, "no final answer"},
                    BadDaemonCase{"late", 1, "after the client timeout"},
                    BadDaemonCase{"liar", 1, "no server made"}, BadDaemonCase{"hangup", 0, ""},
                    BadDaemonCase{"after", 1, "after the final answer"},
                    BadDaemonCase{"repeat", 2, "non-idempotent"}, BadDaemonCase{"throttle", 2, "throttled"},
                    BadDaemonCase{"drained", 3, "drains"}, BadDaemonCase{"pusher", 4, "pushed over"},
                    BadDaemonCase{"crash", -1, ""}),
    [](const auto& one) { return std::string(*one.param.mode != '\0' ? one.param.mode : "control"); });

// ---- ends -----------------------------------------------------------------------------------------------

TEST(Rehearsal, InterruptedRunLeavesNoProcessAndAPartialReport) {
    Scenario s = small_scenario(60);
    const auto started = std::chrono::steady_clock::now();
    const ScenarioOutcome p = run_scenario(s, BROOKRELAY_PROGRAM, [&] {
        return std::chrono::steady_clock::now() - started > std::chrono::milliseconds(1500);
    });
    EXPECT_TRUE(p.result.was_interrupted);
    EXPECT_LT(p.result.length, 30);
    EXPECT_GT(p.result.verdict.requests, 50U);
    EXPECT_EQ(verdict_word(p.result), "void");
    EXPECT_NE(report_html({}, p.plan, p.result).find("Interrupted after"), std::string::npos);
    EXPECT_EQ(waitpid(-1, nullptr, WNOHANG), -1);  // no child is left
}

TEST(Rehearsal, ReportsWhyADaemonDoesNotStart) {
    EXPECT_NE(run_scenario(small_scenario(), "/bin/false").result.failed.find("exit code 1"),
              std::string::npos);
    EXPECT_NE(run_scenario(small_scenario(), "/no/such/program").result.failed.find("exit code 127"),
              std::string::npos);
}

TEST(Rehearsal, SkipsAPortThatIsInUse) {
    int taken_port = 0;
    const int holder = bound_socket(taken_port);
    listen(holder, 1);
    ScenarioOutcome p;
    p.plan.scenario = small_scenario(1);
    p.plan.program = BROOKRELAY_PROGRAM;
    p.plan.folder = create_run_folder("taken");
    p.plan.first_port = static_cast<unsigned short>(taken_port);
    p.result = execute_run(p.plan);
    close(holder);
    EXPECT_EQ(p.result.failed, "");
    EXPECT_GT(p.result.verdict.succeeded, 100U);
}

// Guards against two nodes with one address, of which one can't listen for its peers: with 8 nodes, the ports
// of about one run in a thousand had a port twice.
TEST(NetworkFaultProxy, GivesEachNodeAnAddressOfItsOwn) {
    constexpr int kNodes = 400;
    Io io;
    const Clock clock;
    Scenario scenario;
    scenario.nodes = kNodes;
    audit::Auditor auditor{audit::Terms{}};
    TestEnvironment environment{io, clock, scenario, auditor, own_loopback(), 0, 0, {}, {}, {}, {}};
    const NetworkFaultProxy proxy(environment, 1, false);
    std::set<std::string> addresses;
    for (int node = 0; node < kNodes; ++node) addresses.insert(proxy.peer_listen(node));
    EXPECT_EQ(addresses.size(), kNodes);
}

TEST(Rehearsal, ConcurrentRunsDoNotInterfere) {
    const pid_t child = fork();
    if (child == 0) {
        const ScenarioOutcome p = run_scenario(small_scenario(2));
        _exit(p.result.failed.empty() && p.result.verdict.violations.empty() ? 0 : 1);
    }
    const ScenarioOutcome p = run_scenario(small_scenario(2));
    EXPECT_EQ(p.result.failed, "");
    EXPECT_TRUE(p.result.verdict.violations.empty()) << summary_text(p.plan, p.result);
    int status = 1;
    waitpid(child, &status, 0);
    EXPECT_EQ(WEXITSTATUS(status), 0);
}

}  // namespace
