// What a registration's data says: one JSON object. Read and checked here alone.
#pragma once

#include <string>
#include <string_view>

#include "config/deployment.h"
#include "coordination/service_registrations.h"

namespace brookrelay {

// {"address": "HOST:PORT", "zone": NAME, "kind": NAME, "cell": 0, "started_ms": 0}. Throws BadInput naming
// the field. Where `names` knows no zones or kinds at all, any is taken.
Registration read_registration(std::string_view data, const Names& names);

}  // namespace brookrelay
