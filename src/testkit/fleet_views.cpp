#include "testkit/fleet_views.h"

#include <algorithm>
#include <cstdio>
#include <map>

namespace brookrelay::testkit {

double first_time_all(const RunResult& run, double from, const NodePredicate& which,
                      const ViewPredicate& so) {
    std::map<int, bool> newest;
    for (const FleetView& v : run.views) {
        if (!which(v.node)) continue;
        newest[v.node] = so(v);
        if (v.time >= from &&
            std::all_of(newest.begin(), newest.end(), [](const auto& one) { return one.second; }))
            return v.time;
    }
    return -1;
}

bool holds_throughout(const RunResult& run, const NodePredicate& which, const ViewPredicate& so, double from,
                      double until) {
    bool any = false;
    for (const FleetView& v : run.views) {
        if (!which(v.node) || v.time < from || v.time > until) continue;
        if (!so(v)) return false;
        any = true;
    }
    return any;
}

double attempts_to_zone(const RunResult& run, int zone, int zones, int second) {
    double all = 0;
    const auto& servers =
        run.series.forwards;  // the servers are assigned to the zones in turn; the last one is the origin
    for (auto c = static_cast<std::size_t>(zone); c + 1 < servers.size();
         c += static_cast<std::size_t>(zones))
        all += servers[c][static_cast<std::size_t>(second)];
    return all;
}

double max_origin_utilization(const RunResult& run) {
    double most = 0;
    for (std::size_t t = 0; t < run.series.origin_load.size(); ++t) {
        if (run.series.origin_capacity[t] > 0)
            most = std::max(most, run.series.origin_load[t] / run.series.origin_capacity[t]);
    }
    return most;
}

std::string zone_failover_text(const Scenario& s, const RunResult& run) {
    std::string text;
    const int zones = static_cast<int>(s.zones.size());
    for (int z = 0; z < zones; ++z) {
        const NodePredicate own = [z, zones](int node) { return node % zones == z; };
        const auto part = [z](const FleetView& v) {
            return v.parts.size() > static_cast<std::size_t>(z) ? v.parts[static_cast<std::size_t>(z)] : 1;
        };
        const double all_left_at =
            first_time_all(run, 0, own, [&](const FleetView& v) { return part(v) <= 0; });
        if (all_left_at < 0) continue;
        const auto first = std::find_if(run.views.begin(), run.views.end(),
                                        [&](const FleetView& v) { return own(v.node) && part(v) <= 0; });
        const double recovered_at =
            first_time_all(run, all_left_at, own, [&](const FleetView& v) { return part(v) >= 1; });
        char line[160];
        std::snprintf(line, sizeof line,
                      "zone             %s left by its nodes from %.1f s on, by all at %.1f s, ",
                      s.zones[static_cast<std::size_t>(z)].c_str(), first->time, all_left_at);
        text += line;
        std::snprintf(line, sizeof line, "in full use again at %.1f s\n", recovered_at);
        text += recovered_at < 0 ? "not in full use again\n" : line;
    }
    return text;
}

}  // namespace brookrelay::testkit
