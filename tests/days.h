// Scenarios with several daemons for the tests with several processes: light traffic, faults, and a run on
// loopback in real time, after which the auditor must have found no violation. No check here depends on the
// speed of the machine.
#pragma once

#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "testkit/rehearsal.h"
#include "testkit/report.h"

namespace brookrelay::testkit {

// Light traffic on servers with some work per request: a node uses each of them about once a second.
inline Scenario fleet_scenario(int nodes, int zones, double length) {
    Scenario scenario;
    scenario.name = "processes";
    scenario.length = length;
    scenario.count_from = 1;
    scenario.nodes = nodes;
    scenario.talk = true;
    scenario.zones.clear();
    for (int z = 0; z < zones; ++z)
        scenario.zones.push_back("room-" + std::string(1, static_cast<char>('a' + z)));
    ServerKind server_kind;
    server_kind.count = 12;
    server_kind.slots = 4;
    server_kind.keys = 4000;
    scenario.kinds = {server_kind};
    OperationPlan read;
    read.name = "read";
    read.share = 9;
    read.work = 4e-3;
    read.promised.client_timeout = 1;
    read.promised.latency_objective = 0.4;
    OperationPlan submit = read;
    submit.name = "submit";
    submit.write = true;
    submit.share = 1;
    submit.promised.idempotency = Idempotency::idempotency_key;
    submit.promised.deduplication_window = 3;
    scenario.operations = {read, submit};
    scenario.clients.rate = 12.0 * nodes;
    scenario.keys.count = 3000;
    scenario.keys.skew = 0.4;
    return scenario;
}

inline Trouble make_trouble(TroubleKind kind, double at, double lasts) {
    Trouble fault;
    fault.kind = kind;
    fault.at = at;
    fault.lasts = lasts;
    return fault;
}
// Makes a server 400 times slower, so that an answer takes longer than any client waits.
inline Trouble slow_server(const std::string& server, double at, double lasts) {
    Trouble fault = make_trouble(TroubleKind::slow, at, lasts);
    fault.who = {server};
    fault.factor = 400;
    return fault;
}
inline Trouble link_fault(TroubleKind kind, double at, double lasts, std::vector<std::string> from,
                          std::vector<std::string> to = {}) {
    Trouble fault = make_trouble(kind, at, lasts);
    fault.from = std::move(from);
    fault.to = std::move(to);
    return fault;
}

// A finished run: its plan, its result and the summary as text.
struct ScenarioOutcome {
    RunPlan plan;
    RunResult result;
    std::string summary;
};

// Runs a scenario, and expects no violation and no crash.
inline ScenarioOutcome run_scenario(const Scenario& scenario, std::uint64_t seed = 1,
                                    decltype(RunPlan::on_started) on_started = nullptr,
                                    decltype(RunPlan::progress) progress = nullptr,
                                    decltype(RunPlan::environment) environment = nullptr) {
    ScenarioOutcome run;
    run.plan.scenario = scenario;
    run.plan.seed = seed;
    run.plan.on_started = std::move(on_started);
    run.plan.progress = std::move(progress);
    run.plan.environment = std::move(environment);
    run.plan.program = BROOKRELAY_PROGRAM;
    std::string name = testing::UnitTest::GetInstance()->current_test_info()->name();
    std::replace(name.begin(), name.end(), '/', '-');  // in names of parameterized tests
    run.plan.folder = testing::TempDir() + "processes-" + std::to_string(getpid()) + "-" + name;
    std::filesystem::create_directories(run.plan.folder);
    run.result = execute_run(run.plan);
    run.summary = summary_text(run.plan, run.result);
    EXPECT_EQ(run.result.failed, "");
    EXPECT_TRUE(run.result.verdict.violations.empty()) << run.summary;
    EXPECT_EQ(run.result.crashes, 0) << run.summary;
    return run;
}

}  // namespace brookrelay::testkit
