// A daemon under test: its configuration, its process, its log and its resource usage. The daemon is killed
// when this process ends, however it ends. The program may be any that reads its configuration from
// GW_CONFIG.
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
    double max_rss_mb = 0;
    int descriptors = 0;
};

class DaemonProcess {
  public:
    // How and where the daemon is started.
    struct LaunchOptions {
        std::string program;
        std::string folder;  // of its configuration and its log
        std::string name;    // of the configuration and log files, without extension
        int cpu = -1;        // the core to which the process is pinned; -1: none
        int listener = -1;   // a listening socket inherited as descriptor 5, passed in GW_ACCEPT_FD; -1: none
        std::string tmp = {};                       // its TMPDIR; empty: that of this process
        std::vector<std::string> arguments = {};    // of the program; none: it serves with GW_CONFIG
        std::vector<std::string> environment = {};  // NAME=VALUE, in addition to the inherited variables
    };
    explicit DaemonProcess(LaunchOptions place) : place_(std::move(place)) {}
    ~DaemonProcess();
    DaemonProcess(const DaemonProcess&) = delete;
    DaemonProcess& operator=(const DaemonProcess&) = delete;

    void configure(const std::string& json) const;
    void start();
    void signal(int number) const;
    bool running();                               // reaps a process that has ended and keeps its exit code
    void kill();                                  // sends SIGKILL and waits for the end
    int exit_code() const { return exit_code_; }  // 128 + the signal number after an end by a signal
    bool is_expected_to_end = false;              // its end is no crash
    ProcessUsage resource_usage() const;          // all zero if the process does not run
    const LaunchOptions& place() const { return place_; }
    std::string log_path() const { return place_.folder + "/" + place_.name + ".log"; }
    std::string config_path() const { return place_.folder + "/" + place_.name + ".json"; }
    pid_t pid() const { return pid_; }

  private:
    LaunchOptions place_;
    pid_t pid_ = 0;
    int exit_code_ = 0;
};

// Gossip and management addresses of a node, and the gossip addresses of its peers; empty: none.
struct GossipAddresses {
    std::string listen, management;
    std::vector<std::string> peers;
};

// Returns the configuration file (JSON) of one node of a scenario's fleet. `endpoint_list` is the JSON object
// of the known endpoint list.
std::string node_config_json(const Scenario& scenario, int node, const std::string& listen,
                             const std::string& discovery, const std::string& endpoint_list,
                             std::uint64_t seed, const GossipAddresses& gossip = {});

}  // namespace brookrelay::testkit
