// The state of one scenario run and its steps. Implementation of rehearsal.h: its life cycle is in
// rehearsal.cpp, the control of the daemons in run_nodes.cpp, fault injection in run_faults.cpp, and what is
// measured every so often in run_monitor.cpp.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
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

inline constexpr double kDefaultNodeDowntime = 1.0;  // seconds until a killed or crashed node starts again

// One run. play() may be called once; the plan must outlive it.
class ScenarioRun {
  public:
    explicit ScenarioRun(const DayPlan& plan);
    DayResult play();

  private:
    struct Node {
        std::unique_ptr<DaemonProcess> daemon;
        std::string listen;
        GossipAddresses talk;
        std::uint64_t starts = 0;
        std::string first_list;  // as at its first start
        bool ready = false;
        bool is_restarting = false;  // told to end or killed, and not started again yet
        double waited_before = 0, cpu_before = 0, cpu_gone = 0;
        // Keeps the ended process's CPU time in the total.
        void count_ended_process() {
            cpu_gone += cpu_before;
            cpu_before = waited_before = 0;
        }
    };

    // Life cycle, rehearsal.cpp.
    void begin();
    void check_finished();
    void fail(const std::string& why);
    void start_mannered_clients();
    FakeCacheServer* server(const std::string& name);
    bool interrupted() const { return plan_.interrupted && plan_.interrupted(); }
    void mark(const std::string& text) { result_.marks.emplace_back(clock_.now() - started_at_, text); }
    // Seconds since the start of the run; the clock itself starts earlier.
    double run_time(double clock_time) const { return clock_time - started_at_; }

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
    void probe_readiness(int node, double until);
    void on_node_ready(int node);
    void terminate_node(int node);
    void await_shutdown(int node, double kill_at);
    void kill_node(int node, double away);
    void freeze(int node, double lasts);
    void starve(int node, double part, double until);

    // Faults, run_faults.cpp.
    void inject_fault(const Trouble& trouble);
    void strike(const Trouble& trouble, FakeCacheServer& server);

    // Measurements, run_monitor.cpp.
    void check_own_delay(double expected);
    void check_daemons();
    void record_second();
    void read_views();
    void read_view(int node);
    void parse_view(int node, double asked, std::string_view said);

    const DayPlan& plan_;
    const Scenario& scenario_;
    Io io_;
    Clock clock_;
    audit::Auditor auditor_;
    TestEnvironment environment_;
    std::vector<PlannedRequest> schedule_;
    std::vector<std::unique_ptr<FakeCacheServer>> caches_;
    std::unique_ptr<FakeOriginServer> origin_;
    std::unique_ptr<FakeDiscoveryServer> discovery_;
    std::unique_ptr<NetworkFaultProxy> network_;  // in runs with gossip or network cuts
    std::unique_ptr<LoadClients> clients_;
    std::unique_ptr<ManneredClients> mannered_clients_;
    std::vector<Node> nodes_;
    double started_at_ = 0;
    bool has_started_ = false, ended_ = false;
    std::vector<std::uint64_t> forwards_before_;
    std::uint64_t list_calls_before_ = 0;
    DayResult result_;
};

}  // namespace brookrelay::testkit
