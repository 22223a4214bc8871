#include "cli/check.h"

#include <cstdio>

#include "config/json.h"
#include "config/node_config.h"
#include "config/operator_config.h"
#include "config/scenario.h"
#include "config/toml.h"
#include "util/exit_codes.h"

namespace brookrelay {
namespace {

int check_node_config(const std::string& path) {
    try {
        const NodeConfig config = read_node_config(path);
        std::printf("%s: node configuration: node %s, %zu operations, %zu servers known; valid\n",
                    path.c_str(), config.name.c_str(), config.deployment.operations.size(),
                    config.cached_endpoints.servers.size());
        return kExitSuccess;
    } catch (const ConfigurationError& error) {
        std::fprintf(stderr, "%s: %s\n", path.c_str(), error.what());
        return kExitUsageError;
    }
}

}  // namespace

int check_file(const std::string& path) {
    if (path.ends_with(".json")) return check_node_config(path);
    if (!path.ends_with(".toml")) {
        std::fprintf(stderr,
                     "%s: expected a .json file (node configuration) or a .toml file (operator configuration "
                     "or scenario)\n",
                     path.c_str());
        return kExitUsageError;
    }
    if (TomlFile(path).is_scenario()) {
        const Scenario scenario = read_scenario(path);
        std::printf(
            "%s: scenario: '%s', %.0f s, %d nodes, %zu servers, %zu operations, %zu troubles; valid\n",
            path.c_str(), scenario.name.c_str(), scenario.length, scenario.nodes,
            scenario.server_names().size() - 1, scenario.operations.size(), scenario.troubles.size());
        return kExitSuccess;
    }
    (void)read_operator_config(path);
    std::printf("%s: operator configuration; valid\n", path.c_str());
    return kExitSuccess;
}

}  // namespace brookrelay
