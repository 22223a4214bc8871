// Queries on the fleet views that nodes reported during a run, over nodes and over time.
#pragma once

#include <functional>
#include <string>

#include "testkit/rehearsal.h"

namespace brookrelay::testkit {

using NodePredicate = std::function<bool(int node)>;
using ViewPredicate = std::function<bool(const FleetView& view)>;

// Returns the first time from `from` on at which the newest view of each node of `which` that has reported
// satisfies `so`; -1: never.
double first_time_all(const RunResult& run, double from, const NodePredicate& which, const ViewPredicate& so);
// Returns whether every view of the nodes of `which` in [from, until] satisfies `so`; false if there is none.
bool holds_throughout(const RunResult& run, const NodePredicate& which, const ViewPredicate& so,
                      double from = 0, double until = 1e9);
// Returns the attempts of all nodes to the cache servers of a zone in one second of the run, as counted by
// the servers. `zones` is the number of zones.
double attempts_to_zone(const RunResult& run, int zone, int zones, int second);
// Returns the highest load of the origin in a second in which it was running, as a ratio of its capacity.
double max_origin_utilization(const RunResult& run);
// Returns one line for each zone that all of its own nodes left: when they left it, and when they used it in
// full again.
std::string zone_failover_text(const Scenario& scenario, const RunResult& run);

}  // namespace brookrelay::testkit
