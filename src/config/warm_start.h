// What a module has learned, as one process of a node leaves it for the next: to text and back. Caches, kinds
// and tenants go by name, since the two processes number them each for itself. It owns no file, and a text
// that makes no sense is nothing learned.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "balancer/balancer.h"

namespace brookrelay {

std::string format_warm_start(const WarmStartSnapshot& learned, const std::vector<std::string>& kinds,
                              const std::function<std::string(int)>& name_of);
// `number_of` is -1 for a cache that is not known; what was learned of that one is left out.
std::optional<WarmStartSnapshot> parse_warm_start(const std::string& text,
                                                  const std::vector<std::string>& kinds,
                                                  const std::function<int(const std::string&)>& number_of);

}  // namespace brookrelay
