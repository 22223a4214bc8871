// `brookrelay registry watch`: follows a path of a coordination service and prints the endpoint changes of
// which a daemon would be notified, one per line, until SIGTERM or SIGINT ends it.
#pragma once

#include <string>
#include <vector>

namespace brookrelay {

struct RegistryWatchOptions {
    std::vector<std::string> addresses;
    std::string path;
    double session_timeout = 4;  // seconds
};

// Returns the exit code.
int watch_registry(const RegistryWatchOptions& options);

}  // namespace brookrelay
