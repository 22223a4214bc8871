// A daemon under test: its configuration, its process, its log and its resource usage. The process dies with
// this one, however that ends. Any program that serves by GW_CONFIG will do.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

#include "config/scenario.h"

namespace brookrelay::testkit {

// Resource usage of a process, as counted by the kernel.
struct ProcessUsage {
    double cpu = 0;     // seconds
    double waited = 0;  // seconds runnable but not running
    double rss_mb = 0;
    double rss_most_mb = 0;
    int descriptors = 0;
};

class DaemonProcess {
  public:
    struct Place {
        std::string program;
        std::string folder;  // for its configuration and its log
        std::string name;
        int cpu = -1;  // the core to which it is pinned; -1: any
        int listener =
            -1;  // a listening socket that it inherits as descriptor 5, named in GW_ACCEPT_FD; -1: none
        std::string tmp = {};                       // its TMPDIR; empty: as this process has it
        std::vector<std::string> arguments = {};    // none: serve by GW_CONFIG
        std::vector<std::string> environment = {};  // NAME=VALUE, added to the inherited ones
    };
    explicit DaemonProcess(Place place) : place_(std::move(place)) {}
    ~DaemonProcess();
    DaemonProcess(const DaemonProcess&) = delete;
    DaemonProcess& operator=(const DaemonProcess&) = delete;

    void configure(const std::string& json) const;
    void start();
    void signal(int number) const;
    bool running();                               // false also if it has ended by itself; keeps its exit code
    void kill();                                  // and waits for its end
    int exit_code() const { return exit_code_; }  // 128 + the signal if one ended it
    bool is_expected_to_end = false;
    ProcessUsage figures() const;
    const Place& place() const { return place_; }
    std::string log_path() const { return place_.folder + "/" + place_.name + ".log"; }
    std::string config_path() const { return place_.folder + "/" + place_.name + ".json"; }
    pid_t pid() const { return pid_; }

  private:
    Place place_;
    pid_t pid_ = 0;
    int exit_code_ = 0;
};

// Gossip and admin addresses of a node, and those of its peers; empty: none.
struct GossipAddresses {
    std::string listen, management;
    std::vector<std::string> peers;
};

// The node configuration file (JSON) of one node of a scenario's fleet.
std::string node_config_json(const Scenario& scenario, int node, const std::string& listen,
                             const std::string& discovery, const std::string& endpoint_list,
                             std::uint64_t seed, const GossipAddresses& gossip = {});

}  // namespace brookrelay::testkit
