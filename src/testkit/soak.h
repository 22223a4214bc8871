// The soak: runs of many daemons with faults drawn from a seed, two or three of which overlap, clients with
// all kinds of behaviour, and a preloaded shim that steps wall clocks and lets system calls and writes fail.
// A run fails on a broken rule of the auditor or a violation that a daemon logs. Uses real processes and
// sockets.
//
// The plan of a run is drawn without I/O and is the same for the same seed. The behaviour of the processes is
// not deterministic, so that a failing seed may have to be run several times.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "config/scenario.h"
#include "testkit/rehearsal.h"

namespace brookrelay::testkit {

/// How the run of a seed is executed, and which of its faults.
struct SoakOptions {
    std::string program;  // the daemon under test
    std::string shim;     // the library for LD_PRELOAD; empty: no shim faults
    std::string folder;   // for configurations, logs and state folders; must exist
    int nodes = 10;
    std::vector<int> dropped_faults;  // indexes of the drawn faults that are left out
    bool with_shim = true;
    std::function<bool()> interrupted;  // ends the run early when true; may be empty
};

/// The plan of a soak run: the scenario with its faults, and the environment of each node, which controls its
/// shim.
struct SoakPlan {
    Scenario scenario;
    std::vector<std::vector<std::string>> node_environment;  // NAME=VALUE, by node
    int mannered_clients = 0;
};

/// Draws the plan of a seed. No I/O.
SoakPlan draw_soak_plan(std::uint64_t seed, const SoakOptions& options);

struct SoakResult {
    std::uint64_t seed = 0;
    // The event loop was late or daemons waited for a core, so that the run proves nothing.
    bool is_void = false;
    std::string void_reason;
    // Each with the events of its request, a line each. Empty: all invariants held.
    std::vector<std::string> failures;
    // Violations that prove nothing, because the watcher was delayed.
    std::vector<std::string> set_aside;
    std::uint64_t requests = 0, attempts = 0;
    double served_ratio = 0;
    std::vector<std::string> faults;  // all drawn faults as text, by index
    bool has_failed() const { return !failures.empty(); }
};

SoakResult execute_soak(std::uint64_t seed, const SoakOptions& options);

/// Runs a failing seed again with faults left out one by one, and leaves out those without which it still
/// fails. Executes at most `max_runs` runs. Returns the options with the fewest faults that still failed.
SoakOptions shrink_soak(std::uint64_t seed, const SoakOptions& options, int max_runs);

}  // namespace brookrelay::testkit
