// Queries on the fleet views that nodes reported in a run, over all nodes and over time.
#pragma once

#include <functional>
#include <string>

#include "testkit/rehearsal.h"

namespace brookrelay::testkit {

using Which = std::function<bool(int node)>;
using Says = std::function<bool(const FleetView& view)>;

// The first time from `from` on at which the newest word of each of `which` is so; -1: never.
double when_all(const DayResult& day, double from, const Which& which, const Says& so);
// Whether each word of theirs in [from, until] is so; without any it is not.
bool always(const DayResult& day, const Which& which, const Says& so, double from = 0, double until = 1e9);
// To the cache servers of a zone, of `zones`, in a second of the day: by all nodes, as the servers counted.
double forwards_to(const DayResult& day, int zone, int zones, int second);
// Of its capacity, the most that the origin was asked in a second in which it stood.
double origin_peak(const DayResult& day);
// A line for each zone that its own nodes left: when, and when they used it in full again.
std::string zone_failover_text(const Scenario& scenario, const DayResult& day);

}  // namespace brookrelay::testkit
