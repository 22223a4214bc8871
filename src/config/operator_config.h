// The operators' TOML file: options that the platform's configuration file does not have. An empty file is
// valid, and no key of the platform's file is repeated here.
#pragma once

#include <string>
#include <vector>

namespace brookrelay {

// Limits of the whole fleet, which nodes share by demand, see docs/limits.md. 0: no fleet limit, each node
// adapts on its own.
struct FleetQuotaLimits {
    bool share_tenant_quotas = false;           // nodes' shares of a tenant's quota follow the demand
    double origin_attempts_per_second = 0;      // of all nodes
    double slow_start_attempts_per_second = 0;  // of all nodes to one server in its slow start
    int connections_per_server = 0;             // of all nodes
    bool operator==(const FleetQuotaLimits&) const = default;
};

struct OperatorConfig {
    bool json_log = false;
    int log_lines_per_second = 10;  // for each topic
    // Where servers register themselves as ephemeral nodes. Empty: the discovery agent is used.
    std::vector<std::string> registry_addresses;
    std::string registry_path;
    double registry_session_timeout = 4;  // seconds
    // Gossip between nodes, see docs/fleet.md. The platform's configuration must also have
    // `permissions.peers`, `peer_listen` and `peers`.
    bool gossip_enabled = false;
    bool apply_outlier_verdicts = true;  // false: the fleet's outlier verdicts are only reported
    bool apply_zone_failover = true;     // nodes fail over from a lost zone, and back, together
    std::vector<std::vector<std::string>> failure_domains;  // names of zones that may be lost together
    FleetQuotaLimits fleet_quotas;                          // the only part that SIGHUP reloads
    double gossip_bytes_per_second = 1024;                  // of each node
    double gossip_max_price_ratio = 0.004;  // of the billed value, if the settings have a price for gossip
    bool operator==(const OperatorConfig&) const = default;
};

// Throws ConfigurationFileError with one line for each error in the file.
OperatorConfig read_operator_config(const std::string& path);

}  // namespace brookrelay
