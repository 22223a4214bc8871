// One scenario run on loopback sockets: starts the fake servers and the daemons, sends the client load,
// injects the faults at their times, watches its own delays, and passes the observations to the auditor. No
// process and no port outlives the run, however it ends.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "audit/auditor.h"
#include "config/scenario.h"
#include "testkit/daemon_process.h"
#include "testkit/histogram.h"

namespace brookrelay::testkit {

struct DayPlan {
    Scenario scenario;
    std::uint64_t seed = 1;
    std::string program;            // the daemon under rehearsal
    std::string folder;             // for its configuration and logs; must exist
    unsigned short first_port = 0;  // the first that node 0 is told to listen on; 0: any that is free
    std::function<void(double now, const std::string& line)> progress;  // about once a second; may be empty
    std::function<bool()> interrupted;                                  // may be empty
    std::function<std::vector<std::string>(int node)> environment;  // NAME=VALUE for its daemon; may be empty
    int mannered_clients = 0;    // beside the planned load: see mannered_clients.h
    bool state_folders = false;  // daemons keep a state folder below `folder`
    // May be empty; as the day begins: where nodes that talk listen for peers, and for operators.
    std::function<void(const std::vector<std::string>& peer_listens,
                       const std::vector<std::string>& managements)>
        begun;
};

// What was seen, second by second, for pictures.
struct Series {
    std::vector<std::string> servers;
    std::vector<std::vector<double>> forwards;          // [server][second]
    std::vector<std::vector<int>> connections;          // [cache server][second], the most open at a time
    std::vector<double> list_calls;                     // [second], at discovery, of all nodes
    std::vector<double> origin_asked, origin_capacity;  // work a second
    std::vector<double> cpu;                            // of all daemons, seconds a second
    std::vector<double> rss_mb;                         // of the largest
};

// What one node said of the fleet at its operators' address, on days on which nodes talk.
struct FleetView {
    double time = 0;
    int node = 0;
    bool doubts_itself = false;
    std::vector<std::string> found;   // servers whose finding counts there
    std::vector<std::string> states;  // of all nodes: fresh, late, gone
    std::vector<std::uint32_t> starts;
    std::vector<std::string> zones;  // state of each, and the part of its keys that may go there
    std::vector<double> parts;
    struct Limit {
        double part = 0, need = 0, declined = 0;  // of the whole, and forwards so far
    };
    std::map<std::string, Limit> limits;  // of the whole fleet's, what is this node's
    double oldest_report_age = 0, sent_bytes = 0, unsound = 0, strangers = 0;
};

struct DayResult {
    audit::Verdict verdict;
    bool was_interrupted = false;
    std::string failed;        // the day could not be played: why
    double length = 0;         // of what was played
    std::uint64_t digest = 0;  // of schedule and troubles
    std::size_t planned = 0;
    Series series;
    std::vector<std::pair<double, std::string>> marks;  // troubles as they were brought about
    std::vector<LatencyHistogram> latencies;            // an operation
    std::uint64_t hits = 0, misses = 0, server_busy = 0, origin_reads = 0, origin_writes = 0, origin_busy = 0,
                  origin_halts = 0, connections = 0, refused_connections = 0, lists_turned_away = 0;
    std::vector<FleetView> views;
    std::uint64_t peer_bytes = 0, peer_datagrams = 0;  // that nodes sent one another
    double daemon_cpu = 0, daemon_rss_mb = 0;
    int daemon_descriptors = 0;           // the most that one held
    int crashes = 0;                      // daemons that ended by themselves
    std::vector<std::string> complaints;  // of mannered clients
};

DayResult play_day(const DayPlan& plan);

}  // namespace brookrelay::testkit
