// The state and the steps of one scenario run, the implementation of rehearsal.h. The life cycle of the run
// is in rehearsal.cpp, the control of the daemons in run_nodes.cpp, fault injection in run_faults.cpp, and
// the periodic measurements in run_monitor.cpp.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "testkit/fake_cache_server.h"
#include "testkit/fake_discovery_server.h"
#include "testkit/fake_origin_server.h"
#include "testkit/fault_schedule.h"
#include "testkit/load_clients.h"
#include "testkit/mannered_clients.h"
#include "testkit/network_fault_proxy.h"
#include "testkit/rehearsal.h"

namespace brookrelay::testkit {

// Seconds until a killed or crashed node is started again, unless the fault says otherwise.
inline constexpr double kDefaultNodeDowntime = 1.0;

// One run of a scenario. run() may be called once; the plan must outlive the object.
class ScenarioRun {
  public:
    explicit ScenarioRun(const RunPlan& plan);
    RunResult run();

  private:
    struct Node {
        std::unique_ptr<DaemonProcess> daemon;
        std::string listen;
        GossipAddresses gossip;
        std::uint64_t start_count = 0;
        std::string first_endpoint_list;  // the full endpoint list at the first start of the node
        bool is_ready = false;
        bool is_restarting = false;  // has been sent SIGTERM or SIGKILL and is not started again yet
        double last_wait_time = 0, last_cpu_time = 0, ended_cpu_time = 0;
        // Adds the CPU time of an ended process to the node's total and resets the readings of the process.
        void count_ended_process() {
            ended_cpu_time += last_cpu_time;
            last_cpu_time = last_wait_time = 0;
        }
    };

    // Life cycle, rehearsal.cpp.
    void start_load();
    void check_finished();
    void fail(const std::string& why);
    void start_mannered_clients();
    FakeCacheServer* find_server(const std::string& name);
    bool is_interrupted() const { return plan_.interrupted && plan_.interrupted(); }
    void add_mark(const std::string& text) { result_.marks.emplace_back(clock_.now() - started_at_, text); }
    // Converts a time of the clock, which starts before the run, to seconds since the start of the run.
    double to_run_time(double clock_time) const { return clock_time - started_at_; }

    // Daemons, run_nodes.cpp.
    void assign_address(int node, unsigned short port);
    void assign_admin_address(int node);
    std::string configuration(int node, std::uint64_t seed) const;
    void reload_node(const Trouble& t, int turn);
    std::string operator_path(int node) const {
        return plan_.folder + "/operator-n" + std::to_string(node) + ".toml";
    }
    void write_operator_file(int node, double origin) const;
    void start_node(int node);
    void probe_readiness(int node, double deadline);
    void on_node_ready(int node);
    void terminate_node(int node);
    void await_shutdown(int node, double kill_at);
    void kill_node(int node, double downtime);
    void pause_node(int node, double duration);
    void starve_node(int node, double paused_ratio, double until);

    // Faults, run_faults.cpp.
    void inject_fault(const Trouble& trouble);
    void inject_server_faults(const Trouble& trouble, std::size_t first);
    void inject_server_fault(const Trouble& trouble, FakeCacheServer& server);

    // Measurements, run_monitor.cpp.
    void check_loop_delay(double expected);
    void check_daemons();
    void record_second();
    void query_fleet_views();
    void query_fleet_view(int node);
    void parse_fleet_view(int node, double requested_at, std::string_view response);

    const RunPlan& plan_;
    const Scenario& scenario_;
    Io io_;
    Clock clock_;
    audit::Auditor auditor_;
    TestEnvironment environment_;
    std::vector<PlannedRequest> schedule_;
    std::vector<std::unique_ptr<FakeCacheServer>> caches_;
    std::unordered_map<std::string, FakeCacheServer*> caches_by_name_;
    std::unique_ptr<FakeOriginServer> origin_;
    std::unique_ptr<FakeDiscoveryServer> discovery_;
    std::unique_ptr<NetworkFaultProxy> network_;  // null in runs without gossip and network cuts
    std::unique_ptr<LoadClients> clients_;
    std::unique_ptr<UnusualClients> mannered_clients_;
    std::vector<Node> nodes_;
    double started_at_ = 0;
    bool has_started_ = false, has_ended_ = false;
    std::vector<std::uint64_t> last_attempt_counts_;
    std::uint64_t last_list_call_count_ = 0;
    RunResult result_;
};

}  // namespace brookrelay::testkit
