#include "proxy/serve.h"

#include <glib-unix.h>

#include <cstdio>
#include <cstdlib>

#include "config/json.h"
#include "config/node_config.h"
#include "proxy/node.h"
#include "util/address.h"
#include "util/exit_codes.h"
#include "util/parse_number.h"

namespace brookrelay {
namespace {

// What a signal's handler needs.
struct Running {
    const std::string& path;
    Log& log;
    Node& node;
    const std::function<OperatorConfig()>& read_operator_file;
};

// The environment goes before the file: two processes of one node may share the file, but not the operators'
// address.
NodeConfig read_own_station(const std::string& path) {
    NodeConfig station = read_node_config(path);
    if (const char* scratch = std::getenv("TMPDIR")) station.state_folder = scratch;
    const char* said = std::getenv("GW_MANAGEMENT");
    if (said == nullptr || *said == 0) return station;
    if (!parse_address(said))
        throw ConfigurationError(std::string("GW_MANAGEMENT is not an address and port: '") + said + "'");
    station.admin_listen = said;
    return station;
}

// A file that is wrong must not cost the service that an older one keeps up.
void read_again(const Running& running) {
    try {
        running.node.reload(read_own_station(running.path), running.read_operator_file());
    } catch (const std::runtime_error& bad) {  // of either file
        running.log.line(Topic::node, "configuration_refused",
                         "new configuration not taken, the old one stays: " + std::string(bad.what()));
    }
}

// The listener that the platform holds and hands to each process, if it does: -1 if not.
int inherited_descriptor() {
    const char* said = std::getenv("GW_ACCEPT_FD");
    if (said == nullptr || *said == 0) return -1;
    int descriptor = 0;
    if (!parse_number(std::string_view(said), descriptor))
        throw ConfigurationError(std::string("GW_ACCEPT_FD is no descriptor: '") + said + "'");
    return descriptor;
}

}  // namespace

int serve(const std::string& path, const OperatorConfig& operator_file,
          const std::function<OperatorConfig()>& read_again_file) {
    NodeConfig station;
    int inherited = -1;
    try {
        station = read_own_station(path);
        inherited = inherited_descriptor();
    } catch (const ConfigurationError& bad) {
        std::fprintf(stderr, "brookrelay: %s: %s\n", path.c_str(), bad.what());
        return kWrongUse;
    }
    Log log(station.name, operator_file.json_log, operator_file.log_lines_per_second);
    Node node(station, operator_file, log);
    Running running{path, log, node, read_again_file};
    const auto told_to_end = [](gpointer self) -> gboolean {
        static_cast<Running*>(self)->node.begin_shutdown();
        return G_SOURCE_CONTINUE;
    };
    const auto told_to_read = [](gpointer self) -> gboolean {
        read_again(*static_cast<Running*>(self));
        return G_SOURCE_CONTINUE;
    };
    g_unix_signal_add(SIGTERM, told_to_end, &running);
    g_unix_signal_add(SIGINT, told_to_end, &running);
    g_unix_signal_add(SIGHUP, told_to_read, &running);
    std::string complaint;
    if (!node.start(inherited, complaint)) {
        std::fprintf(stderr, "brookrelay: %s\n", complaint.c_str());
        return kBroken;
    }
    log.line(Topic::node, "serves", "serves on " + station.listen);
    while (!node.is_done()) {
        g_main_context_iteration(nullptr, node.has_work() ? FALSE : TRUE);
        node.run_iteration();
    }
    log.line(Topic::node, "ends", "ends");
    return kDone;
}

}  // namespace brookrelay
