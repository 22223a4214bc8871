// The operators' own TOML file: options of ours that the platform's configuration does not have. An empty
// file is valid, and no key of the platform's file is repeated here. Units are in the names, or in the
// comments.
#pragma once

#include <string>
#include <vector>

namespace brookrelay {

// Limits of the whole fleet, which nodes share by demand: docs/limits.md. 0: each node adapts on its own.
struct FleetQuotaLimits {
    bool share_tenant_quotas = false;           // tenants' quota shares follow the demand
    double origin_attempts_per_second = 0;      // of all nodes together
    double slow_start_attempts_per_second = 0;  // to one server in its slow start, of all nodes together
    int connections_per_server = 0;             // of all nodes together
    bool operator==(const FleetQuotaLimits&) const = default;
};

struct OperatorConfig {
    bool json_log = false;
    int log_lines_per_second = 10;  // for each topic
    // Where servers register themselves as ephemeral nodes. Empty: the discovery agent is used.
    std::vector<std::string> registry_addresses;
    std::string registry_path;
    double registry_session_timeout = 4;  // seconds
    // Gossip between nodes: docs/fleet.md. It needs `permissions.peers`, `peer_listen` and `peers` too.
    bool gossip_enabled = false;
    bool apply_outlier_verdicts = true;  // false: the fleet's outlier verdicts are only reported
    bool apply_zone_failover = true;     // whether nodes fail over from a lost zone, and back, together
    std::vector<std::vector<std::string>> failure_domains;  // zones that may be lost together, by name
    FleetQuotaLimits fleet_quotas;                          // the only part that is reloaded at SIGHUP
    double gossip_bytes_per_second = 1024;
    double gossip_max_price_ratio = 0.004;  // of the billed value, where the settings give a price of gossip
    bool operator==(const OperatorConfig&) const = default;
};

// Throws the error of TomlFile::throw_if_wrong(), with one line for each fault of the file.
OperatorConfig read_operator_config(const std::string& path);

}  // namespace brookrelay
