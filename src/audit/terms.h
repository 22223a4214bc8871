// The guarantees of a deployment, which are the bounds against which the auditor checks a run.
#pragma once

#include <string>
#include <vector>

#include "balancer/balancer.h"

namespace brookrelay::audit {

// Times are in seconds. Operations, tenants, servers, zones and cells are numbered from 0.
struct Terms {
    std::vector<Operation> operations;
    std::vector<std::string> operation_names;
    std::vector<Tenant> tenants;
    std::vector<std::string> tenant_names;
    std::vector<std::string> server_names;
    std::vector<int> server_zones, server_cells;  // decide which servers share deduplication state
    int origin = -1;                              // its server number; -1: the run has no origin
    int nodes = 1;
    double answer_grace = 0;            // a response may be this much later than the client timeout
    double drain_grace = 0;             // a node may send to a draining or removed server for this long
    double overload_window = 0;         // attempts in this time before an overload count as its cause
    double over_quota_value_ratio = 1;  // value beyond a tenant's quota, relative to the full one
    double origin_limit = 0;            // attempts/s of all nodes to the origin; 0: not limited
    double cold_limit = 0;              // attempts/s of all nodes to one cold server; 0: not limited
    double slack = 0.050;               // added to each time limit, for the jitter of real sockets
    double min_counted_watcher_delay = 0.020;  // a shorter delay of the watcher does not affect time limits
    double duration = 0;                       // requests received later than this are not accounted
    double count_from = 0;                     // requests received earlier are checked but not accounted
};

}  // namespace brookrelay::audit
