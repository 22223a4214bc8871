// Decodes the `settings` that a node or a simulated instance is given at its start. Both programs read them
// here and nowhere else. It keeps names apart from the Deployment: the module is never told any.
#pragma once

#include <rapidjson/document.h>

#include <string>
#include <string_view>
#include <vector>

#include "balancer/balancer.h"

namespace brookrelay {

// What the indices in Deployment, Listing and Arrival stand for.
struct Names {
    std::vector<std::string> zones, kinds, operations, tenants;
    bool operator==(const Names&) const = default;
};
int index_of(const std::vector<std::string>& names, std::string_view name);  // -1: there is none

Deployment read_deployment(const rapidjson::Value& settings);
// The words are the same on the wire of the simulator and in discovery.
EndpointState parse_endpoint_state(const rapidjson::Value& value, const char* name);
Names read_names(const rapidjson::Value& settings);

}  // namespace brookrelay
