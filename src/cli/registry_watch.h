// `brookrelay registry watch`: follows a path of a coordination service and prints what a daemon would be
// told, a line a change, until it is ended.
#pragma once

#include <string>
#include <vector>

namespace brookrelay {

struct RegistryWish {
    std::vector<std::string> addresses;
    std::string path;
    double session_timeout = 4;
};
int watch_registry(const RegistryWish& wish);

}  // namespace brookrelay
