// A daemon under rehearsal: its configuration, its process, its log, and what the kernel says of it. It owns
// the process, which dies with the rehearsal however that ends. It never looks into the program: any build
// that serves by GW_CONFIG will do.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

#include "config/scenario.h"

namespace brookrelay::testkit {

// What the kernel has counted for a process so far.
struct ProcessFigures {
    double cpu = 0;     // seconds
    double waited = 0;  // seconds ready to run while another ran
    double rss_mb = 0;
    double rss_most_mb = 0;
    int descriptors = 0;
};

class Daemon {
  public:
    struct Place {
        std::string program;
        std::string folder;  // for its configuration and its log
        std::string name;
        int cpu = -1;  // the core that it is held to; -1: any
        int listener =
            -1;  // a listening socket that it inherits as descriptor 5, named in GW_ACCEPT_FD; -1: none
        std::string tmp = {};                       // its TMPDIR; empty: as this process has it
        std::vector<std::string> arguments = {};    // none: as the platform starts it
        std::vector<std::string> environment = {};  // NAME=VALUE beside what it inherits
    };
    explicit Daemon(Place place) : place_(std::move(place)) {}
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    void configure(const std::string& json) const;
    void start();
    void signal(int number) const;
    bool running();  // false also if it has ended by itself; its exit code is kept
    void kill();     // and waits until it is gone
    int exit_code() const { return exit_code_; }  // 128 + the signal if one ended it
    bool expected_to_end = false;
    ProcessFigures figures() const;
    const Place& place() const { return place_; }
    std::string log_path() const { return place_.folder + "/" + place_.name + ".log"; }
    std::string config_path() const { return place_.folder + "/" + place_.name + ".json"; }
    pid_t pid() const { return pid_; }

  private:
    Place place_;
    pid_t pid_ = 0;
    int exit_code_ = 0;
};

// What a node is told of others, where it may talk with them, and where operators call; empty: nothing.
struct TalkPlace {
    std::string listen, management;
    std::vector<std::string> peers;
};

// The configuration of one node of a scenario's fleet, in the platform's form.
std::string station_json(const Scenario& scenario, int node, const std::string& listen,
                         const std::string& discovery, const std::string& known, std::uint64_t seed,
                         const TalkPlace& talk = {});

}  // namespace brookrelay::testkit
