// Decodes the data of a service registration, which is one JSON object.
#pragma once

#include <string>
#include <string_view>

#include "config/deployment.h"
#include "coordination/service_registrations.h"

namespace brookrelay {

// Format: {"address": "HOST:PORT", "zone": NAME, "kind": NAME, "cell": 0, "started_ms": 0}. Throws
// ConfigurationError, which names the invalid field. Where `names` has no zones or no kinds, any name is
// accepted.
Registration read_registration(std::string_view data, const Names& names);

}  // namespace brookrelay
