// `brookrelay fleet status`: what a running node thinks of the fleet, asked at its operators' address.
#pragma once

#include <string>

namespace brookrelay {

struct FleetWish {
    std::string address;  // HOST:PORT of the node's `management`
    bool json = false;
};

int fleet_status(const FleetWish& wish);

}  // namespace brookrelay
