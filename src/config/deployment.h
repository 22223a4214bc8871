// Decodes the `settings` object that a node or a simulated instance is started with.
//
// Durations are in microseconds in the file and in seconds in Deployment. Names are not part of it, since
// the balancer works with indices only. Errors are thrown as ConfigurationError, which names the invalid
// field.
#pragma once

#include <rapidjson/document.h>

#include <string>
#include <string_view>
#include <vector>

#include "balancer/balancer.h"

namespace brookrelay {

// The names behind the indices in Deployment, Endpoint and Request.
struct Names {
    std::vector<std::string> zones, kinds, operations, tenants;
    bool operator==(const Names&) const = default;
};
// The index of `name`, or -1 if it is missing.
int index_of(const std::vector<std::string>& names, std::string_view name);

// Decodes everything but the names. Throws ConfigurationError.
Deployment read_deployment(const rapidjson::Value& settings);
// Decodes an endpoint's state, which the simulator's protocol and discovery spell in the same way. Throws
// ConfigurationError.
EndpointState parse_endpoint_state(const rapidjson::Value& value, const char* name);
// Decodes the names. Throws ConfigurationError, also for a duplicate name.
Names read_names(const rapidjson::Value& settings);

}  // namespace brookrelay
