// One scenario run on loopback sockets: starts the fake servers and the daemons, sends the client load,
// injects the faults at their times, measures the delays of its own event loop, and passes the observations
// to the auditor. No process and no port outlives the run, however it ends.
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

struct RunPlan {
    Scenario scenario;
    std::uint64_t seed = 1;
    std::string program;            // the daemon under test
    std::string folder;             // for configurations, logs and reports; must exist
    unsigned short first_port = 0;  // the port of node 0, or where it is taken a free one; 0: any free port
    // Called about once a second with a line of progress. May be empty.
    std::function<void(double now, const std::string& line)> progress;
    std::function<bool()> interrupted;  // ends the run early when true; may be empty
    // Returns additional environment variables, NAME=VALUE, for the daemon of a node. May be empty.
    std::function<std::vector<std::string>(int node)> environment;
    int mannered_clients = 0;  // in addition to the planned load; see mannered_clients.h
    bool keeps_state = false;  // daemons keep their state below `folder`
    // Called at the start of the run with the gossip and management addresses of all nodes, which are empty
    // in scenarios without gossip. May be empty.
    std::function<void(const std::vector<std::string>& peer_listens,
                       const std::vector<std::string>& managements)>
        on_started;
};

// The observations of each second of a run, for charts.
struct Series {
    std::vector<std::string> servers;
    std::vector<std::vector<double>> forwards;         // [server][second]
    std::vector<std::vector<int>> connections;         // [cache server][second], most open at the same time
    std::vector<double> list_calls;                    // [second], requests of all nodes to discovery
    std::vector<double> origin_load, origin_capacity;  // seconds of work per second
    std::vector<double> cpu;                           // of all daemons, seconds per second
    std::vector<double> rss_mb;                        // of the daemon that has most
};

// The response of one node to GET /control/fleet, in scenarios with gossip.
struct FleetView {
    double time = 0;
    int node = 0;
    bool doubts_itself = false;
    std::vector<std::string> found;     // servers with a verdict that is in force at this node
    std::vector<std::string> states;    // of each node: fresh, late or gone
    std::vector<std::uint32_t> starts;  // incarnation of each node
    std::vector<std::string> zones;     // state of each zone
    std::vector<double> parts;          // weight of each zone: the ratio of its keys that may be sent there
    struct Limit {
        // Ratio of the quota that the node holds, its demand, and the attempts that it refused so far.
        double part = 0, need = 0, declined = 0;
    };
    std::map<std::string, Limit> limits;  // this node's part of each quota of the fleet, by the quota's name
    double oldest_report_age = 0, sent_bytes = 0, unsound = 0, strangers = 0;
};

struct RunResult {
    audit::Verdict verdict;
    bool was_interrupted = false;
    std::string failed;        // why the run could not be completed; empty: it was
    double length = 0;         // seconds of the run, less than planned if it was interrupted
    std::uint64_t digest = 0;  // of the request schedule and the faults
    std::size_t planned = 0;
    Series series;
    std::vector<std::pair<double, std::string>> marks;  // faults and events of the daemons, with their times
    std::vector<LatencyHistogram> latencies;            // by operation
    std::uint64_t hits = 0, misses = 0, server_busy = 0, origin_reads = 0, origin_writes = 0, origin_busy = 0,
                  origin_halts = 0, connections = 0, refused_connections = 0, rejected_list_requests = 0;
    std::vector<FleetView> views;
    std::uint64_t gossip_bytes = 0, gossip_datagrams = 0;  // gossip between the nodes
    double daemon_cpu_seconds = 0, daemon_rss_mb = 0;
    int daemon_descriptors = 0;  // the most that one daemon held
    int crashes = 0;             // daemons that ended unexpectedly
    // Partial commands that nodes did not end in time, as observed by the mannered clients.
    std::vector<std::string> complaints;
};

RunResult execute_run(const RunPlan& plan);

}  // namespace brookrelay::testkit
