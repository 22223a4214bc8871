#include "proxy/serve.h"

#include <glib-unix.h>
#include <malloc.h>

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

// Allocations from this size on are returned to the system when they are freed.
constexpr int kReturnedAllocationBytes = 128 * 1024;

// By default glibc raises this threshold to the size of the largest buffer freed so far, up to 32 MiB.
// Smaller buffers then stay with the process after they are freed and count towards its memory limit.
void return_freed_buffers_to_system() {
    mallopt(M_MMAP_THRESHOLD, kReturnedAllocationBytes);
    mallopt(M_TRIM_THRESHOLD, kReturnedAllocationBytes);
}

// The arguments of the signal handlers.
struct SignalContext {
    const std::string& path;
    Log& log;
    Node& node;
    const std::function<OperatorConfig()>& reload_operator_config;
};

// Reads the configuration file and the environment, which overrides it: two processes of one node may share
// the file, but not the admin address.
NodeConfig read_configuration(const std::string& path) {
    NodeConfig config = read_node_config(path);
    if (const char* state_folder = std::getenv("TMPDIR")) config.state_folder = state_folder;
    const char* value = std::getenv("GW_MANAGEMENT");
    if (value == nullptr || *value == 0) return config;
    if (!parse_address(value))
        throw ConfigurationError(std::string("GW_MANAGEMENT: expected an address and port, found '") + value +
                                 "'");
    config.admin_listen = value;
    return config;
}

// An invalid file is logged and does not end the process, which keeps its current configuration.
void reload(const SignalContext& context) {
    try {
        context.node.reload(read_configuration(context.path), context.reload_operator_config());
    } catch (const std::runtime_error& error) {  // from either configuration file
        context.log.line(Topic::node, "configuration_refused",
                         "new configuration not taken, the old one stays: " + std::string(error.what()));
    }
}

// The descriptor of the listener that the platform passes to each process, or -1 if it passes none.
int inherited_descriptor() {
    const char* value = std::getenv("GW_ACCEPT_FD");
    if (value == nullptr || *value == 0) return -1;
    int descriptor = 0;
    if (!parse_number(std::string_view(value), descriptor))
        throw ConfigurationError(std::string("GW_ACCEPT_FD: expected a descriptor number, found '") + value +
                                 "'");
    return descriptor;
}

}  // namespace

int serve(const std::string& path, const OperatorConfig& operator_config,
          const std::function<OperatorConfig()>& reload_operator_config) {
    return_freed_buffers_to_system();
    NodeConfig config;
    int inherited = -1;
    try {
        config = read_configuration(path);
        inherited = inherited_descriptor();
    } catch (const ConfigurationError& error) {
        std::fprintf(stderr, "brookrelay: %s: %s\n", path.c_str(), error.what());
        return kExitUsageError;
    }
    Log log(config.name, operator_config.json_log, operator_config.log_lines_per_second);
    Node node(config, operator_config, log);
    SignalContext context{path, log, node, reload_operator_config};
    const auto on_terminate = [](gpointer self) -> gboolean {
        static_cast<SignalContext*>(self)->node.begin_shutdown();
        return G_SOURCE_CONTINUE;
    };
    const auto on_reload = [](gpointer self) -> gboolean {
        reload(*static_cast<SignalContext*>(self));
        return G_SOURCE_CONTINUE;
    };
    g_unix_signal_add(SIGTERM, on_terminate, &context);
    g_unix_signal_add(SIGINT, on_terminate, &context);
    g_unix_signal_add(SIGHUP, on_reload, &context);
    try {
        node.start(inherited);
        while (!node.is_done()) {
            g_main_context_iteration(nullptr, node.has_work() ? FALSE : TRUE);
            node.run_iteration();
        }
    } catch (const BindError& error) {
        std::fprintf(stderr, "brookrelay: %s\n", error.what());
        return kExitFailure;
    }
    log.line(Topic::node, "ends", "shutdown complete");
    return kExitSuccess;
}

}  // namespace brookrelay
