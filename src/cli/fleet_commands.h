// `brookrelay fleet status`, `fleet limits` and `fleet zones`: a running node's view of the fleet, read from
// its admin address, and the draining or recovery of a zone by an operator.
#pragma once

#include <string>

namespace brookrelay {

struct FleetOptions {
    std::string address;  // HOST:PORT of the node's admin server
    bool json = false;
    std::string leave, take_back;  // zones to drain or to take back into use; empty: none
};

// Each prints the response of the node and returns the exit code.
int fleet_status(const FleetOptions& options);
int fleet_zones(const FleetOptions& options);
int fleet_limits(const FleetOptions& options);

}  // namespace brookrelay
