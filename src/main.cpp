// The program: reads what the node is told at its start, runs the loop, and hears the signals. It owns the
// node and the log, and never touches a socket.
#include <glib-unix.h>

#include <cstdio>
#include <cstdlib>
#include <string>

#include "json.h"
#include "net/node.h"
#include "station.h"

namespace {

// What a signal's handler needs.
struct Running {
    const std::string& path;
    brookrelay::Log& log;
    brookrelay::Node& node;
};

// A file that is wrong must not cost the service that an older one keeps up.
void read_again(const Running& running) {
    try {
        running.node.reload(brookrelay::read_station(running.path));
    } catch (const brookrelay::BadInput& bad) {
        running.log.line(brookrelay::Topic::node,
                         "new configuration not taken, the old one stays: " + std::string(bad.what()));
    }
}

int run(const std::string& path) {
    brookrelay::Station station;
    try {
        station = brookrelay::read_station(path);
    } catch (const brookrelay::BadInput& bad) {
        std::fprintf(stderr, "brookrelay: %s: %s\n", path.c_str(), bad.what());
        return 1;
    }
    brookrelay::Log log(station.name);
    brookrelay::Node node(station, log);
    Running running{path, log, node};
    const auto told_to_end = [](gpointer self) -> gboolean {
        static_cast<Running*>(self)->node.wind_down();
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
    if (!node.start(complaint)) {
        std::fprintf(stderr, "brookrelay: field 'listen': %s\n", complaint.c_str());
        return 1;
    }
    log.line(brookrelay::Topic::node, "serves on " + station.listen);
    while (!node.done()) {
        g_main_context_iteration(nullptr, node.has_work() ? FALSE : TRUE);
        node.turn();
    }
    log.line(brookrelay::Topic::node, "ends");
    return 0;
}

}  // namespace

int main() {
    const char* path = std::getenv("GW_CONFIG");
    if (path == nullptr) {
        std::fprintf(stderr, "brookrelay: GW_CONFIG is not set: it names the configuration file\n");
        return 1;
    }
    return run(path);
}
