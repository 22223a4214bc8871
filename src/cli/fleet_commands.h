// `brookrelay fleet status` and `fleet zones`: what a running node thinks of the fleet, asked at its
// operators' address, and a zone left or taken back there by hand.
#pragma once

#include <string>

namespace brookrelay {

struct FleetWish {
    std::string address;  // HOST:PORT of the node's `management`
    bool json = false;
    std::string leave, take_back;  // zones
};

int fleet_status(const FleetWish& wish);
int fleet_zones(const FleetWish& wish);
int fleet_limits(const FleetWish& wish);

}  // namespace brookrelay
