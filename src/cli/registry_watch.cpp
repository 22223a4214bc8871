#include "cli/registry_watch.h"

#include <glib-unix.h>

#include <cstdio>
#include <random>

#include "config/json.h"
#include "config/registration.h"
#include "discovery/coordination_client.h"
#include "util/address.h"
#include "util/exit_codes.h"

namespace brookrelay {

int watch_registry(const RegistryWatchOptions& options) {
    for (const std::string& address : options.addresses) {
        if (parse_address(address)) continue;
        std::fprintf(stderr, "brookrelay: --address: expected HOST:PORT with a numeric host, found '%s'\n",
                     address.c_str());
        return kExitUsageError;
    }
    if (options.path.size() < 2 || options.path.front() != '/' || options.path.back() == '/') {
        std::fprintf(stderr, "brookrelay: --path: expected a path such as /fleet, found '%s'\n",
                     options.path.c_str());
        return kExitUsageError;
    }
    Log log("registry");
    TimerQueue timers;
    const auto read = [](const std::string&, const std::string& data,
                         std::string& why) -> std::optional<Registration> {
        try {
            return read_registration(data, {});
        } catch (const ConfigurationError& error) {
            why = error.what();
            return std::nullopt;
        }
    };
    std::random_device random_device;
    CoordinationClient registry(timers, log, options.addresses, options.path, options.session_timeout,
                                random_device(), read, [](std::vector<RegistrationChange>&& changes) {
                                    for (const RegistrationChange& change : changes) {
                                        std::printf("%s %s %s\n",
                                                    change.standing == EndpointState::removed ? "gone"
                                                    : change.fresh                            ? "cold"
                                                                                              : "ready",
                                                    change.who.name.c_str(), change.who.address.c_str());
                                    }
                                    std::fflush(stdout);
                                });
    bool ended = false;
    const auto end = [](gpointer flag) -> gboolean {
        *static_cast<bool*>(flag) = true;
        return G_SOURCE_CONTINUE;
    };
    g_unix_signal_add(SIGTERM, end, &ended);
    g_unix_signal_add(SIGINT, end, &ended);
    registry.start();
    while (!ended) g_main_context_iteration(nullptr, TRUE);
    return kExitSuccess;
}

}  // namespace brookrelay
