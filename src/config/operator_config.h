// The operators' own file (TOML): what a deployment of ours turns on beside what the platform tells a node.
// Read and checked here alone; an empty file is a good one. It never repeats a key of the station's file.
#pragma once

#include <string>
#include <vector>

namespace brookrelay {

// Limits of the whole fleet, of which nodes lend one another what they do not need: docs/limits.md. 0: as
// each learns alone.
struct FleetLimits {
    bool tenants = false;  // tenants' shares follow the demand
    double origin = 0;     // forwards a second to the origin, of all nodes together
    double cold = 0;       // forwards a second to one cache server while it is cold, of all nodes together
    int connections = 0;   // open to one cache server, of all nodes together
    bool operator==(const FleetLimits&) const = default;
};

struct OperatorFile {
    bool json_log = false;
    int log_lines_a_second = 10;  // for each topic
    // Where servers register themselves as ephemeral nodes. Empty: the agent's discovery is followed.
    std::vector<std::string> registry_addresses;
    std::string registry_path;
    double registry_session = 4;  // seconds
    // What nodes tell each other: docs/fleet.md. It needs `permissions.peers`, `peer_listen` and `peers` too.
    bool fleet_talk = false;
    bool fleet_verdicts =
        true;                 // whether what the fleet finds reaches the decisions; false: it is only shown
    bool fleet_zones = true;  // whether nodes leave a zone that is lost together, and take it back so
    std::vector<std::vector<std::string>> fleet_regions;  // zones that may be lost together, by name
    FleetLimits fleet_limits;  // the one part that is taken from a running file, at SIGHUP
    double fleet_bytes_a_second = 1024;
    double fleet_price_part =
        0.004;  // of the billed value that words may cost, where the settings tell a price
    bool operator==(const OperatorFile&) const = default;
};

// Throws BadFile with every complaint, a line each.
OperatorFile read_operator_file(const std::string& path);

}  // namespace brookrelay
