// The warm-start snapshot as text: what a balancer has snapshot, from one process of a node to the next.
// Servers, kinds and tenants are identified by name, since each process has its own indices. It does no file
// I/O, and a malformed text is no snapshot.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "balancer/balancer.h"

namespace brookrelay {

// A JSON object. `name_of` maps a server's index to its name.
std::string format_warm_start(const WarmStartSnapshot& snapshot, const std::vector<std::string>& kinds,
                              const std::function<std::string(int)>& name_of);
// Nothing if the text is malformed. `index_of_server` returns -1 for an unknown server, which is skipped.
std::optional<WarmStartSnapshot> parse_warm_start(
    const std::string& content, const std::vector<std::string>& kinds,
    const std::function<int(const std::string&)>& index_of_server);

}  // namespace brookrelay
