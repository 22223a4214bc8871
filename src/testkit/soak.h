// The soak: days of many daemons with faults drawn from a seed that overlap two or three at a time, client
// manners of all kinds, and a preloaded shim that steps wall clocks and lets system calls and writes fail.
// The auditor's rules and the daemons' own counts of violations are its oracle. Real processes and sockets.
//
// A day is drawn without I/O and is the same for the same seed; what the processes make of it is not, so a
// failing day is played again as often as its finder likes.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "config/scenario.h"
#include "testkit/rehearsal.h"

namespace brookrelay::testkit {

/// What of a seed's day is played.
struct SoakOptions {
    std::string program;  // the daemon
    std::string shim;     // the preloaded library; empty: none, and no shim faults
    std::string folder;   // for configurations, logs and state folders; must exist
    int nodes = 10;
    std::vector<int> dropped_faults;  // indexes into the day's faults that are left out
    bool with_shim = true;
    std::function<bool()> interrupted;  // may be empty
};

/// A day of the soak: the scenario with its faults, and what each node's shim is told.
struct SoakDay {
    Scenario scenario;
    std::vector<std::vector<std::string>> node_environment;  // NAME=VALUE, by node
    int mannered_clients = 0;
};

/// Draws the day of a seed. No I/O.
SoakDay draw_soak_day(std::uint64_t seed, const SoakOptions& options);

struct SoakResult {
    std::uint64_t seed = 0;
    bool is_void = false;  // the watching process was late: nothing is proved
    std::string void_reason;
    std::vector<std::string> failures;  // one line each; none: all invariants held
    std::uint64_t requests = 0, attempts = 0;
    double served_ratio = 0;
    std::vector<std::string> faults;  // as they were drawn, by index
    bool has_failed() const { return !failures.empty(); }
};

SoakResult play_soak(std::uint64_t seed, const SoakOptions& options);

/// Plays a failing seed again with faults left out one by one, and keeps out those without which it still
/// fails. Returns the options of the smallest failing day; at most `plays` plays.
SoakOptions shrink_soak(std::uint64_t seed, const SoakOptions& options, int max_runs);

}  // namespace brookrelay::testkit
