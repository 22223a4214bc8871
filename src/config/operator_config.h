// The operators' own file (TOML): what a deployment of ours turns on beside what the platform tells a node.
// Read and checked here alone; an empty file is a good one. It never repeats a key of the station's file.
#pragma once

#include <string>
#include <vector>

namespace brookrelay {

// Limits of the whole fleet, of which nodes lend one another what they do not need: docs/limits.md. 0: as
// each learns alone.
struct FleetQuotaLimits {
    bool share_tenant_quotas = false;       // tenants' shares follow the demand
    double origin_attempts_per_second = 0;  // forwards a second to the origin, of all nodes together
    double slow_start_attempts_per_second =
        0;  // forwards a second to one cache server while it is cold, of all nodes together
    int connections_per_server = 0;  // open to one cache server, of all nodes together
    bool operator==(const FleetQuotaLimits&) const = default;
};

struct OperatorConfig {
    bool json_log = false;
    int log_lines_per_second = 10;  // for each topic
    // Where servers register themselves as ephemeral nodes. Empty: the agent's discovery is followed.
    std::vector<std::string> registry_addresses;
    std::string registry_path;
    double registry_session_timeout = 4;  // seconds
    // What nodes tell each other: docs/fleet.md. It needs `permissions.peers`, `peer_listen` and `peers` too.
    bool gossip_enabled = false;
    bool apply_outlier_verdicts =
        true;  // whether what the fleet finds reaches the decisions; false: it is only shown
    bool apply_zone_failover = true;  // whether nodes leave a zone that is lost together, and take it back so
    std::vector<std::vector<std::string>> failure_domains;  // zones that may be lost together, by name
    FleetQuotaLimits fleet_quotas;  // the one part that is taken from a running file, at SIGHUP
    double gossip_bytes_per_second = 1024;
    double gossip_max_price_ratio =
        0.004;  // of the billed value that words may cost, where the settings tell a price
    bool operator==(const OperatorConfig&) const = default;
};

// Throws BadFile with every complaint, a line each.
OperatorConfig read_operator_config(const std::string& path);

}  // namespace brookrelay
