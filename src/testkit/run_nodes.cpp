// The daemons of a scenario run: addresses, start, readiness, restart, kill and pause.
#include <algorithm>
#include <csignal>
#include <fstream>
#include <utility>

#include "audit/history.h"
#include "testkit/scenario_run.h"

namespace brookrelay::testkit {
namespace {

using audit::index;

constexpr double kReadyTimeout = 15;  // seconds from the start of a daemon to its first response, at most
constexpr double kReadyProbeTimeout = 0.5;  // seconds for the response to one readiness probe
constexpr int kBindFailedExitCode = 1;      // of a daemon whose port is in use
// Starts of a node before the run, each on another port after a bind failure.
constexpr std::uint64_t kMaxStarts = 4;
constexpr double kLoadBalancerDelay = 0.3;  // seconds from SIGTERM until a node gets no new requests
// Seconds from SIGTERM to SIGKILL, in addition to the longest client timeout.
constexpr double kShutdownGrace = 0.7;
constexpr double kMaxAwaitedTimeout = 3.0;  // seconds; longer client timeouts do not delay SIGKILL further
// Seconds after a pause in which responses of the node may still be late.
constexpr double kPauseRecovery = 0.2;
constexpr double kStarvationPeriod = 1.0;  // seconds; in each period a starved node is paused once
constexpr double kStartDelay = 0.5;        // seconds from the readiness of all nodes to the start of the run

}  // namespace

void ScenarioRun::assign_address(int node, unsigned short port) {
    Node& n = nodes_[index(node)];
    // A free port may already be assigned to another node that has not started yet, whose response to the
    // readiness probe would then be taken for this node's.
    const auto is_taken = [&](const Node& other) {
        const std::string address = environment_.host + ":" + std::to_string(port);
        return &other != &n && (other.listen == address || other.gossip.management == address);
    };
    while (std::any_of(nodes_.begin(), nodes_.end(), is_taken)) port = free_port(io_, environment_.host);
    n.listen = environment_.host + ":" + std::to_string(port);
    clients_->set_node_address(node, {boost::asio::ip::make_address(environment_.host), port});
}

// Assigns an address that differs from all addresses already assigned, because a free port is not reserved
// until its node starts.
void ScenarioRun::assign_admin_address(int node) {
    if (!scenario_.talk) return;
    std::string address;
    const auto is_taken = [&](const Node& n) {
        return n.listen == address || n.gossip.management == address;
    };
    do {
        address = environment_.host + ":" + std::to_string(free_port(io_, environment_.host));
    } while (std::any_of(nodes_.begin(), nodes_.end(), is_taken));
    nodes_[index(node)].gossip.management = address;
}

std::string ScenarioRun::configuration(int node, std::uint64_t seed) const {
    const Node& n = nodes_[index(node)];
    const bool uses_stale_list = scenario_.stale_files && !n.first_endpoint_list.empty();
    return node_config_json(scenario_, node, n.listen, discovery_->agent(node),
                            uses_stale_list ? n.first_endpoint_list : discovery_->whole_list(node), seed,
                            n.gossip);
}

void ScenarioRun::start_node(int node) {
    Node& n = nodes_[index(node)];
    n.is_ready = n.is_restarting = false;
    ++n.start_count;
    if (!has_started_) n.first_endpoint_list = discovery_->whole_list(node);
    const std::uint64_t seed =
        key_of_rank(plan_.seed * 1000 + static_cast<std::uint64_t>(node) * 100 + n.start_count);
    n.daemon->configure(configuration(node, seed));
    auditor_.on_node_started(environment_.now(), node);
    n.daemon->is_expected_to_end = false;
    n.daemon->start();
    if (has_started_) discovery_->on_node_started(node);
    probe_readiness(node, environment_.now() + kReadyTimeout);
}

void ScenarioRun::probe_readiness(int node, double deadline) {
    Node& n = nodes_[index(node)];
    if (has_ended_) return;
    if (!n.daemon->running()) {
        if (n.daemon->is_expected_to_end) return;
        if (has_started_) return;  // check_daemons() reports it
        // Another process may have bound the port after it was found free and before the daemon started.
        if (n.daemon->exit_code() == kBindFailedExitCode && n.start_count < kMaxStarts) {
            assign_address(node, free_port(io_, environment_.host));
            assign_admin_address(node);
            return start_node(node);
        }
        return fail("the daemon ended during startup with exit code " +
                    std::to_string(n.daemon->exit_code()) + "; see " + n.daemon->log_path());
    }
    if (environment_.now() > deadline)
        return fail("the daemon does not respond; see " + n.daemon->log_path());
    const std::size_t colon = n.listen.find(':');
    const Tcp::endpoint where(boost::asio::ip::make_address(n.listen.substr(0, colon)),
                              static_cast<unsigned short>(std::stoul(n.listen.substr(colon + 1))));
    // Another process may be listening on the port and never respond, so that the probe has a timeout.
    const auto is_rescheduled = std::make_shared<bool>(false);
    const auto reschedule = [this, node, deadline, is_rescheduled] {
        if (std::exchange(*is_rescheduled, true)) return;
        environment_.at(environment_.now() + 0.02,
                        [this, node, deadline] { probe_readiness(node, deadline); });
    };
    const auto conn = Connection::to(io_, where, clock_,
                                     {[](Connection& c) { c.write("mn\r\n"); },
                                      [this, node, is_rescheduled](Connection& c) {
                                          if (!c.input().starts_with("MN")) return;
                                          *is_rescheduled = true;
                                          c.close();
                                          on_node_ready(node);
                                      },
                                      [reschedule](Connection&) { reschedule(); }});
    environment_.at(environment_.now() + kReadyProbeTimeout, [conn, reschedule] {
        conn->close();
        reschedule();
    });
}

void ScenarioRun::on_node_ready(int node) {
    Node& n = nodes_[index(node)];
    if (n.is_ready || has_ended_) return;
    n.is_ready = true;
    clients_->set_node_in_use(node, true);
    if (has_started_) return add_mark("node " + std::to_string(node) + " serves again");
    if (!std::all_of(nodes_.begin(), nodes_.end(), [](const Node& one) { return one.is_ready; })) return;
    has_started_ = true;
    // The start time of the run is known only now; the planned times, until here relative to the start,
    // become times of the clock.
    started_at_ = environment_.now() + kStartDelay;
    auditor_.start_run(started_at_);
    for (PlannedRequest& p : schedule_) p.at += started_at_;
    start_load();
}

void ScenarioRun::terminate_node(int node) {
    Node& n = nodes_[index(node)];
    // A node that has only just started has no handler for SIGTERM yet and would be ended by the signal.
    if (!n.is_ready) return add_mark("node " + std::to_string(node) + " does not serve yet, or ends already");
    n.is_restarting = true;
    n.is_ready = false;
    n.daemon->is_expected_to_end = true;
    if (scenario_.signal_series) n.daemon->signal(SIGHUP);
    n.daemon->signal(SIGTERM);
    if (scenario_.signal_series) n.daemon->signal(SIGHUP);
    double max_timeout = 0;
    for (const OperationPlan& o : scenario_.operations)
        max_timeout = std::max(max_timeout, o.promised.client_timeout);
    const double kill_at = environment_.now() + std::min(max_timeout, kMaxAwaitedTimeout) + kShutdownGrace;
    environment_.at(environment_.now() + kLoadBalancerDelay,
                    [this, node] { clients_->set_node_in_use(node, false); });
    await_shutdown(node, kill_at);
}

void ScenarioRun::await_shutdown(int node, double kill_at) {
    Node& n = nodes_[index(node)];
    if (has_ended_) return;
    if (n.daemon->running()) {
        if (environment_.now() >= kill_at) {
            // The node had enough time since SIGTERM: requests that it still holds are lost, and count as its
            // fault.
            n.daemon->kill();
            add_mark("node " + std::to_string(node) + " had to be killed after SIGTERM");
        } else {
            environment_.at(environment_.now() + 0.02,
                            [this, node, kill_at] { await_shutdown(node, kill_at); });
            return;
        }
    }
    n.count_ended_process();
    if (n.daemon->exit_code() != 0 && n.daemon->exit_code() != 128 + SIGKILL) ++result_.crashes;
    add_mark("node " + std::to_string(node) + " has ended, exit code " +
             std::to_string(n.daemon->exit_code()));
    start_node(node);
}

void ScenarioRun::write_operator_file(int node, double origin) const {
    std::ofstream file(operator_path(node));
    file << "[fleet]\ntalk = true\nbytes_a_second = " << scenario_.talk_bytes
         << "\nzones = " << (scenario_.talk_zones ? "true" : "false")
         << "\n[fleet.limits]\ntenants = " << (scenario_.talk_tenants ? "true" : "false") << "\n";
    if (origin > 0) file << "origin = " << origin << "\n";
    if (scenario_.talk_cold > 0) file << "cold = " << scenario_.talk_cold << "\n";
    if (scenario_.talk_connections > 0) file << "connections = " << scenario_.talk_connections << "\n";
}

void ScenarioRun::kill_node(int node, double downtime) {
    Node& n = nodes_[index(node)];
    if (n.is_restarting) {
        // The node is killed during its shutdown: await_shutdown() starts it again.
        auditor_.on_node_killed(environment_.now(), node);
        return n.daemon->kill();
    }
    n.is_restarting = true;
    n.daemon->is_expected_to_end = true;
    // The auditor is notified before the kill, so that it attributes the failures that follow to the kill.
    auditor_.on_node_killed(environment_.now(), node);
    n.daemon->kill();
    n.count_ended_process();
    environment_.at(environment_.now() + scenario_.clients.front_notices, [this, node] {
        if (!nodes_[index(node)].is_ready) clients_->set_node_in_use(node, false);
    });
    n.is_ready = false;
    environment_.at(environment_.now() + downtime, [this, node] {
        if (!has_ended_) start_node(node);
    });
}

// Stops the process with SIGSTOP, as on a machine that swaps or is migrated: its sockets stay open, and
// nothing is read from them.
void ScenarioRun::pause_node(int node, double duration) {
    const double until = environment_.now() + duration;
    auditor_.on_node_paused(until + kPauseRecovery, node);
    nodes_[index(node)].daemon->signal(SIGSTOP);
    environment_.at(environment_.now() + scenario_.clients.front_notices, [this, node, until] {
        if (environment_.now() < until) clients_->set_node_in_use(node, false);
    });
    environment_.at(until, [this, node] {
        nodes_[index(node)].daemon->signal(SIGCONT);
        if (!has_ended_) clients_->set_node_in_use(node, true);
    });
}

// Stops and continues the process alternately, as on an overloaded core, until the given time.
void ScenarioRun::starve_node(int node, double paused_ratio, double until) {
    if (has_ended_ || environment_.now() >= until) return;
    auditor_.on_node_paused(until + kPauseRecovery, node);
    nodes_[index(node)].daemon->signal(SIGSTOP);
    environment_.at(environment_.now() + paused_ratio * kStarvationPeriod,
                    [this, node] { nodes_[index(node)].daemon->signal(SIGCONT); });
    environment_.at(environment_.now() + kStarvationPeriod,
                    [this, node, paused_ratio, until] { starve_node(node, paused_ratio, until); });
}

}  // namespace brookrelay::testkit
