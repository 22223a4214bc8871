// The kit's parts without sockets, and days played on sockets: each trouble reaches the daemon, each way of
// being bad is caught, and whatever happens nothing is left behind. Days are short and seeded; what they are
// judged by are counts and rules, never how fast the machine is.
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
#include <string>
#include <thread>

#include "testkit/experiment.h"
#include "testkit/fault_schedule.h"
#include "testkit/histogram.h"
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
    WorkQueue bench(2, 2, [](double) { return 2.0; });
    EXPECT_TRUE(bench.enqueue(0, 1, 4));  // until 2
    EXPECT_TRUE(bench.enqueue(0, 2, 2));  // until 1
    EXPECT_TRUE(bench.enqueue(0, 3, 2));  // from 1 until 2
    EXPECT_TRUE(bench.enqueue(0, 4, 2));
    EXPECT_FALSE(bench.enqueue(0, 5, 2));  // the queue is full
    bench.drop_queued(3);
    EXPECT_EQ(bench.open_jobs(), 3);
    EXPECT_EQ(bench.pop_finished(0.5), std::nullopt);
    EXPECT_EQ(bench.pop_finished(5), 2);
    // The fourth began when the second ended, not when that was looked at.
    EXPECT_EQ(bench.next_finish_time(), 2);
    EXPECT_EQ(bench.clear().size(), 2U);
    EXPECT_EQ(bench.open_jobs(), 0);
}

TEST(OverloadDetector, TellsAPushFromABurst) {
    const struct {
        const char* name;
        double rate, until;
        bool over;
    } cases[] = {{"twice the multiple, long enough", 8, 4, true},
                 {"twice the multiple, too short", 8, 1.5, false},
                 {"just under the multiple", 3.9, 9, false}};
    for (const auto& c : cases) {
        SCOPED_TRACE(c.name);
        OverloadDetector meter;
        bool over = false;
        for (int i = 0; i < 100; ++i) {
            const double now = 0.1 * i + 0.05;
            if (now < c.until) meter.add_work(now, 0.1 * c.rate);
            over = over || meter.is_overloaded(now, 1, 4, 2);
        }
        EXPECT_EQ(over, c.over);
    }
}

TEST(Store, ForgetsTheLongestUnused) {
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

TEST(DeduplicationWindow, KnowsAMarkForItsTime) {
    DeduplicationWindow marks;
    EXPECT_FALSE(marks.check_and_add(0, 9, 2));
    EXPECT_TRUE(marks.check_and_add(1.9, 9, 2));
    EXPECT_FALSE(marks.check_and_add(2.1, 9, 2));
    for (int i = 0; i < 1000; ++i) (void)marks.check_and_add(10 + i, 100 + static_cast<std::uint64_t>(i), 2);
    EXPECT_LT(marks.size(), 5U);
}

TEST(LatencyHistogram, KeepsQuantilesToAFewInAHundred) {
    LatencyHistogram h;
    for (int i = 1; i <= 10000; ++i) h.add(i * 1e-5);
    EXPECT_NEAR(h.quantile(0.5), 0.05, 0.002);
    EXPECT_NEAR(h.quantile(0.99), 0.099, 0.003);
    EXPECT_NEAR(h.mean(), 0.05, 1e-4);
    EXPECT_EQ(LatencyHistogram{}.quantile(0.99), 0);
}

TEST(Wire, ReadsWhatTheProtocolSays) {
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
    EXPECT_TRUE(read_id(id_text(7, 41), 7, request_number));
    EXPECT_EQ(request_number, 41);
    EXPECT_FALSE(read_id(id_text(8, 41), 7, request_number));
}

// ---- experiments ----------------------------------------------------------------------------------------

TEST(Experiment, ReadsSweepsAndSeeds) {
    EXPECT_EQ(read_sweep("a.b=1,2").values, (std::vector<std::string>{"1", "2"}));
    EXPECT_EQ(read_sweep("c=[[\"0s\", 1],[\"1s\", 2]],[]").values.size(), 2U);
    EXPECT_EQ(read_sweep("c=\"a,b\"").values.size(), 1U);
    EXPECT_THROW((void)read_sweep("nothing"), std::invalid_argument);
    EXPECT_EQ(read_seeds("1..3,9"), (std::vector<std::uint64_t>{1, 2, 3, 9}));
    for (const char* wrong : {"", "x", "3..1", "1..", "1-3", "1..99999999"}) {
        EXPECT_THROW((void)read_seeds(wrong), std::invalid_argument) << wrong;
    }
}

TEST(Experiment, PlaysDaemonsNextToOneAnotherAndPairsThem) {
    ExperimentPlan plan;
    plan.daemons = {"a", "b"};
    plan.seeds = {4, 5, 6};
    plan.sweeps = {{"x", {"1", "2"}}, {"fixed", {"7"}}};
    std::vector<Cell> cells = cells_of(plan);
    ASSERT_EQ(cells.size(), 12U);
    EXPECT_EQ(cells[0].seed, cells[1].seed);
    EXPECT_NE(cells[0].daemon, cells[1].daemon);
    EXPECT_EQ(cells[0].setting, "x=1");
    EXPECT_EQ(cells[0].sets, (std::vector<std::string>{"x=1", "fixed=7"}));
    for (Cell& c : cells) {
        c.measures.played = true;
        // Seeds differ far more than the daemons; only pairs can tell those apart.
        c.measures.whole = 0.1 * static_cast<double>(c.seed) + (c.daemon == 1 ? 0.01 : 0) +
                           (c.daemon == 1 && c.seed == 5 ? 0.001 : 0);
    }
    const std::vector<Paired> pairs = paired(cells, 2);
    EXPECT_EQ(pairs.size(), 2 * all_measures().size());
    EXPECT_NEAR(pairs[0].mean, 0.01033, 1e-4);
    EXPECT_NEAR(pairs[0].half_width, 4.303 * 0.000577 / std::sqrt(3.0), 1e-5);
    EXPECT_TRUE(pairs[0].told_apart());
    EXPECT_FALSE(pairs[1].told_apart());
    // A pair of which one day was not played is none.
    cells[0].measures.played = false;
    EXPECT_EQ(paired(cells, 2)[0].first.size(), 2U);
}

// What a day that ended before it began leaves must be drawn as well.
TEST(Report, DrawsADayOfNothing) {
    DayPlan plan;
    plan.scenario.name = "nothing";
    plan.scenario.operations.resize(1);
    DayResult result;
    result.latencies.resize(1);
    EXPECT_NE(report_html({}, plan, result).find("</html>"), std::string::npos);
    result.failed = "no daemon";
    EXPECT_NE(report_html({}, plan, result).find("no daemon"), std::string::npos);
}

// ---- days -----------------------------------------------------------------------------------------------

Scenario small_day(double length = 3) {
    Scenario s;
    s.name = "small";
    s.length = length;
    s.count_from = 0;
    s.nodes = 1;
    ServerKind box;
    box.count = 3;
    box.keys = 2000;
    s.kinds = {box};
    const auto operation = [](const char* name, Idempotency repeat, bool write, double share) {
        OperationPlan o;
        o.name = name;
        o.write = write;
        o.share = share;
        o.promised.idempotency = repeat;
        o.promised.deduplication_window = repeat == Idempotency::idempotency_key ? 3 : 0;
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

std::string folder_for(const std::string& name) {
    const std::string folder = testing::TempDir() + "rehearsal-" + std::to_string(getpid()) + "-" + name;
    std::filesystem::create_directories(folder);
    return folder;
}

struct Played {
    DayPlan plan;
    DayResult result;
    std::string log;
};

Played play(const Scenario& s, const std::string& program = BROOKRELAY_PROGRAM,
            std::function<bool()> interrupted = nullptr) {
    Played p;
    p.plan.scenario = s;
    p.plan.program = program;
    p.plan.folder = folder_for(testing::UnitTest::GetInstance()->current_test_info()->name());
    p.plan.interrupted = std::move(interrupted);
    p.result = play_day(p.plan);
    std::ifstream log(p.plan.folder + "/n0.log");
    p.log.assign(std::istreambuf_iterator<char>(log), {});
    return p;
}

Trouble trouble(TroubleKind kind, double at, double lasts, std::vector<std::string> who = {}) {
    Trouble t;
    t.kind = kind;
    t.at = at;
    t.lasts = lasts;
    t.who = std::move(who);
    return t;
}

TEST(Schedule, IsTheSameForASeed) {
    Scenario s = small_day(20);
    s.troubles = {trouble(TroubleKind::scan, 2, 3)};
    const auto a = draw_schedule(s, 5), b = draw_schedule(s, 5), c = draw_schedule(s, 6);
    EXPECT_EQ(digest(a, s.troubles), digest(b, s.troubles));
    EXPECT_NE(digest(a, s.troubles), digest(c, s.troubles));
    EXPECT_NEAR(static_cast<double>(a.size()), 250 * 23, 300);
    // A trouble that adds arrivals leaves all others as they were.
    Scenario without = s;
    without.troubles.clear();
    const auto plain = draw_schedule(without, 5);
    std::size_t found = 0;
    for (const PlannedRequest& p : a) {
        if (found < plain.size() && p.at == plain[found].at && p.key == plain[found].key) ++found;
    }
    EXPECT_EQ(found, plain.size());
}

TEST(Rehearsal, ACalmDayBreaksNothingAndServesAll) {
    const Played p = play(small_day());
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

// Each trouble is seen at the sockets: by what the servers counted or the daemon said of it.
struct Effect {
    const char* name;
    Trouble trouble;
    std::function<bool(const Played&)> seen;
};

class TroubleReaches : public testing::TestWithParam<Effect> {};

TEST_P(TroubleReaches, TheDaemonAndBreaksNoRule) {
    Scenario s = small_day(3.5);
    s.nodes = 2;
    s.troubles = {GetParam().trouble};
    const Played p = play(s);
    ASSERT_EQ(p.result.failed, "");
    EXPECT_TRUE(p.result.verdict.violations.empty()) << summary_text(p.plan, p.result);
    EXPECT_EQ(p.result.crashes, 0);
    EXPECT_TRUE(GetParam().seen(p)) << summary_text(p.plan, p.result) << p.log;
}

bool says(const Played& p, const char* text) { return p.log.find(text) != std::string::npos; }
double forwards(const Played& p, std::size_t server, std::size_t second) {
    return p.result.series.forwards[server][second];
}
bool marked(const Played& p, const char* text) {
    return std::any_of(p.result.marks.begin(), p.result.marks.end(),
                       [&](const auto& m) { return m.second.find(text) != std::string::npos; });
}

Trouble with(Trouble t, std::function<void(Trouble&)> change) {
    change(t);
    return t;
}

INSTANTIATE_TEST_SUITE_P(
    All, TroubleReaches,
    testing::Values(
        Effect{"silent", trouble(TroubleKind::silent, 1, 1.5, {"box-1"}),
               [](const Played& p) {
                   return says(p, "box-1: forward timed out") || says(p, "box-1: forward refused");
               }},
        Effect{"crash", trouble(TroubleKind::crash, 1, 1, {"box-1"}),
               [](const Played& p) { return says(p, "box-1: forward re"); }},
        Effect{"slow", with(trouble(TroubleKind::slow, 1, 2, {"box-1"}), [](Trouble& x) { x.factor = 60; }),
               [](const Played& p) { return p.result.latencies[0].quantile(0.999) > 0.03; }},
        Effect{"cold_return", trouble(TroubleKind::cold_return, 1, 0, {"box-1"}),
               [](const Played& p) { return says(p, "1 servers told") && p.result.misses > 0; }},
        Effect{"void_copies", trouble(TroubleKind::void_copies, 1.5, 0),
               [](const Played& p) { return forwards(p, 3, 2) > 1.8 * forwards(p, 3, 0); }},
        Effect{"hot_key", with(trouble(TroubleKind::hot_key, 1, 2), [](Trouble& x) { x.part = 0.6; }),
               [](const Played& p) {
                   double most = 0;
                   for (std::size_t i = 0; i < 3; ++i) most = std::max(most, forwards(p, i, 1));
                   return most > 1.3 * (forwards(p, 0, 1) + forwards(p, 1, 1) + forwards(p, 2, 1)) / 3;
               }},
        Effect{"origin_slow",
               with(trouble(TroubleKind::origin_slow, 1, 2), [](Trouble& x) { x.factor = 15; }),
               [](const Played& p) { return p.result.latencies[1].quantile(0.9) > 0.1; }},
        Effect{"origin_stop", trouble(TroubleKind::origin_stop, 1, 1.5),
               [](const Played& p) {
                   return p.result.origin_halts == 1 && says(p, "origin: forward timed out");
               }},
        Effect{"scan", with(trouble(TroubleKind::scan, 1, 1.5), [](Trouble& x) { x.part = 0.5; }),
               [](const Played& p) { return forwards(p, 3, 1) > 2 * forwards(p, 3, 0); }},
        Effect{"discovery_restart", trouble(TroubleKind::discovery_restart, 0.8, 2.4, {"box-2"}),
               [](const Played& p) {
                   return says(p, "connection lost") && says(p, "(whole list)") && forwards(p, 1, 2) == 0;
               }},
        Effect{"drain", trouble(TroubleKind::drain, 0.5, 0, {"box-3"}),
               [](const Played& p) { return forwards(p, 2, 2) == 0 && forwards(p, 2, 0) > 0; }},
        Effect{"remove", trouble(TroubleKind::remove, 0.3, 0.5, {"box-3"}),
               [](const Played& p) { return forwards(p, 2, 2) == 0; }},
        Effect{"node_kill", trouble(TroubleKind::node_kill, 1, 0.5),
               [](const Played& p) { return marked(p, "node 0 serves again"); }},
        Effect{"node_restart", trouble(TroubleKind::node_restart, 1, 0),
               [](const Played& p) { return marked(p, "has ended, exit code 0") && says(p, "told to end"); }},
        Effect{"reload", trouble(TroubleKind::reload, 1, 0),
               [](const Played& p) { return says(p, "configuration read again"); }},
        Effect{"reload_bad", trouble(TroubleKind::reload_bad, 1, 0),
               [](const Played& p) { return says(p, "not taken, the old one stays"); }},
        Effect{"spoilt", trouble(TroubleKind::spoilt, 1, 1.5, {"box-1"}),
               [](const Played& p) { return says(p, "box-1: nonsense"); }},
        Effect{"tricklers", with(trouble(TroubleKind::tricklers, 0.3, 3), [](Trouble& x) { x.count = 150; }),
               [](const Played& p) { return p.result.daemon_descriptors > 150; }},
        Effect{"non_readers",
               with(trouble(TroubleKind::non_readers, 0.3, 3), [](Trouble& x) { x.count = 10; }),
               [](const Played& p) { return p.result.verdict.attempts > p.result.verdict.requests + 300; }},
        Effect{"over_share",
               with(trouble(TroubleKind::over_share, 1, 1, {"partners"}), [](Trouble& x) { x.factor = 5; }),
               [](const Played& p) {
                   return p.result.verdict.seconds[1].offered > 1.5 * p.result.verdict.seconds[0].offered;
               }}),
    [](const auto& one) { return one.param.name; });

class NewsWithheld : public testing::TestWithParam<TroubleKind> {};

TEST_P(NewsWithheld, ReachesTheDaemonOnlyAfterwards) {
    Scenario s = small_day(4);
    s.troubles = {trouble(GetParam(), 0.2, 2.5), trouble(TroubleKind::drain, 0.4, 0, {"box-3"})};
    const Played p = play(s);
    ASSERT_EQ(p.result.failed, "");
    EXPECT_TRUE(p.result.verdict.violations.empty()) << summary_text(p.plan, p.result);
    EXPECT_GT(forwards(p, 2, 1), 0);  // it drains, and nobody has been told
    EXPECT_EQ(forwards(p, 2, 3), 0);
}

INSTANTIATE_TEST_SUITE_P(Discovery, NewsWithheld,
                         testing::Values(TroubleKind::discovery_stale, TroubleKind::discovery_down));

TEST(Rehearsal, ManyTroublesAtOnceBreakNoRule) {
    Scenario s = small_day(6);
    s.nodes = 2;
    s.kinds[0].count = 5;
    s.troubles = {trouble(TroubleKind::silent, 1, 2, {"box-1"}),
                  trouble(TroubleKind::cold_return, 1.5, 0, {"box-2"}),
                  trouble(TroubleKind::void_copies, 2, 0),
                  with(trouble(TroubleKind::origin_slow, 2, 2), [](Trouble& x) { x.factor = 5; }),
                  with(trouble(TroubleKind::hot_key, 2.2, 1), [](Trouble& x) { x.part = 0.4; }),
                  trouble(TroubleKind::discovery_down, 1.2, 2),
                  trouble(TroubleKind::node_kill, 2.5, 0.5),
                  trouble(TroubleKind::spoilt, 3, 1, {"box-3"}),
                  with(trouble(TroubleKind::tricklers, 1, 4), [](Trouble& x) { x.node = 1; })};
    const Played p = play(s);
    ASSERT_EQ(p.result.failed, "");
    EXPECT_TRUE(p.result.verdict.violations.empty()) << summary_text(p.plan, p.result);
    EXPECT_EQ(p.result.crashes, 0);
    EXPECT_TRUE(marked(p, "node 0 serves again"));
    // By its last second the day has come back by itself.
    EXPECT_GT(p.result.verdict.seconds.back().ratio(), 0.9) << summary_text(p.plan, p.result);
}

// ---- bad daemons ----------------------------------------------------------------------------------------

struct Bad {
    const char* mode;
    int rule;  // 0: the control
    const char* said;
};

class BadDaemon : public testing::TestWithParam<Bad> {};

TEST_P(BadDaemon, IsCaughtWithTheInvocationNamed) {
    Scenario s = small_day(3);
    s.clients.rate = 120;
    if (std::string(GetParam().mode) == "drained")
        s.troubles = {trouble(TroubleKind::drain, 0.5, 0, {"box-1"})};
    if (std::string(GetParam().mode) == "pusher") {
        s.length = 6;
        s.warm_within = 8;
        s.kinds[0].warm_after = 7;
        s.kinds[0].slots = 1;
        s.kinds[0].count = 8;
        s.clients.rate = 400;
        s.operations[0].work = 0.02;
        s.troubles = {trouble(TroubleKind::cold_return, 1, 0, {"box-1"})};
    }
    setenv("BAD_DAEMON", GetParam().mode, 1);
    const Played p = play(s, BAD_DAEMON_PROGRAM);
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
        return f.rule == GetParam().rule && f.what.find(GetParam().said) != std::string::npos;
    });
    ASSERT_NE(found, v.violations.end()) << summary_text(p.plan, p.result);
    EXPECT_GE(found->request, 0);
    EXPECT_GE(found->trace.size(), 2U);
}

INSTANTIATE_TEST_SUITE_P(
    All, BadDaemon,
    testing::Values(Bad{"", 0, ""}, Bad{"twice", 1, "second final answer"}, Bad{"mute", 1, "no final answer"},
                    Bad{"late", 1, "after the client timeout"}, Bad{"liar", 1, "no server made"},
                    Bad{"hangup", 0, ""}, Bad{"after", 1, "after the final answer"},
                    Bad{"repeat", 2, "non-idempotent"}, Bad{"throttle", 2, "throttled"},
                    Bad{"drained", 3, "drains"}, Bad{"pusher", 4, "pushed over"}, Bad{"crash", -1, ""}),
    [](const auto& one) { return std::string(*one.param.mode != '\0' ? one.param.mode : "control"); });

// ---- ends -----------------------------------------------------------------------------------------------

TEST(Rehearsal, InterruptedItLeavesNothingBehindAndAPartialReport) {
    Scenario s = small_day(60);
    const auto begun = std::chrono::steady_clock::now();
    const Played p = play(s, BROOKRELAY_PROGRAM, [&] {
        return std::chrono::steady_clock::now() - begun > std::chrono::milliseconds(1500);
    });
    EXPECT_TRUE(p.result.was_interrupted);
    EXPECT_LT(p.result.length, 30);
    EXPECT_GT(p.result.verdict.requests, 50U);
    EXPECT_EQ(verdict_word(p.result), "void");
    EXPECT_NE(report_html({}, p.plan, p.result).find("Interrupted after"), std::string::npos);
    EXPECT_EQ(waitpid(-1, nullptr, WNOHANG), -1);  // no child is left
}

TEST(Rehearsal, SaysWhyADaemonDoesNotStart) {
    EXPECT_NE(play(small_day(), "/bin/false").result.failed.find("exit code 1"), std::string::npos);
    EXPECT_NE(play(small_day(), "/no/such/program").result.failed.find("exit code 127"), std::string::npos);
}

TEST(Rehearsal, APortThatIsTakenIsLeftToWhoHasIt) {
    int taken = 0;
    const int holder = bound_socket(taken);
    listen(holder, 1);
    Played p;
    p.plan.scenario = small_day(1);
    p.plan.program = BROOKRELAY_PROGRAM;
    p.plan.folder = folder_for("taken");
    p.plan.first_port = static_cast<unsigned short>(taken);
    p.result = play_day(p.plan);
    close(holder);
    EXPECT_EQ(p.result.failed, "");
    EXPECT_GT(p.result.verdict.succeeded, 100U);
}

TEST(Rehearsal, TwoSideBySideDoNotMeet) {
    const pid_t child = fork();
    if (child == 0) {
        const Played p = play(small_day(2));
        _exit(p.result.failed.empty() && p.result.verdict.violations.empty() ? 0 : 1);
    }
    const Played p = play(small_day(2));
    EXPECT_EQ(p.result.failed, "");
    EXPECT_TRUE(p.result.verdict.violations.empty()) << summary_text(p.plan, p.result);
    int status = 1;
    waitpid(child, &status, 0);
    EXPECT_EQ(WEXITSTATUS(status), 0);
}

}  // namespace
