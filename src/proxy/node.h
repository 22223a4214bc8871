/// The proxy node: connects the client connections, the upstream pool, the endpoint sources, the gossip agent
/// and the balancer. Each event-loop iteration collects events in a queue, passes them to the balancer with
/// one common `now`, and then executes the actions that the balancer requested, in the order of the requests.
///
/// The node makes no balancing decision: the balancer chooses servers, times and retries. The node responds
/// to a request without the balancer only where the protocol requires it: with the first successful attempt,
/// to a command that cannot be accepted (unknown operation, request id in use, too many open requests), and
/// to a request that is still open after its client's timeout or near the end of a shutdown.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <unordered_map>
#include <vector>

#include "admin/admin_server.h"
#include "admin/admin_state.h"
#include "balancer/balancer.h"
#include "config/node_config.h"
#include "config/operator_config.h"
#include "discovery/coordination_client.h"
#include "discovery/endpoint_watch.h"
#include "downstream/client_connections.h"
#include "gossip_agent/gossip_agent.h"
#include "guard/send_guard.h"
#include "guard/violations.h"
#include "io/log.h"
#include "io/poll_clock.h"
#include "io/timer_queue.h"
#include "io/wall_clock.h"
#include "proxy/graceful_shutdown.h"
#include "proxy/iteration_monitor.h"
#include "proxy/memory_plan.h"
#include "proxy/metrics.h"
#include "proxy/repeat_guard.h"
#include "proxy/request_table.h"
#include "proxy/request_trace.h"
#include "proxy/server_table.h"
#include "proxy/sibling_processes.h"
#include "proxy/warm_start_file.h"
#include "upstream/upstream_pool.h"

namespace brookrelay {

/// Thrown if a listener cannot be opened; what() names the setting and the cause.
class BindError : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

/// One proxy process. It implements Host, the interface through which the balancer requests actions.
class Node final : public Host {
  public:
    /// `log` must outlive the node.
    Node(const NodeConfig& config, const OperatorConfig& operator_config, Log& log);
    /// Starts the node. It accepts clients once discovery has confirmed the endpoint list, or after a short
    /// timeout without a confirmation. `inherited` is the descriptor of a client listener that is shared with
    /// other processes and that the node takes ownership of, or -1. Throws BindError.
    void start(int inherited);
    /// Handles the queued events and actions, once the event loop has dispatched its ready sources. Throws
    /// BindError if listening on the address that start() bound fails.
    void run_iteration();
    /// Whether events or actions are queued, so that the event loop must not block.
    bool has_work() const { return !event_queue_.empty() || !action_queue_.empty(); }
    /// Applies a new configuration, or rejects it as a whole and logs the reason. Of the operators'
    /// configuration, only the fleet quotas can change in a running node.
    void reload(const NodeConfig& config, const OperatorConfig& operator_config);
    /// Begins a graceful shutdown; no effect if one has begun.
    void begin_shutdown();
    /// Whether the shutdown is complete.
    bool is_done() const { return done_; }

    // Host: the actions that the balancer requests.
    void start_attempt(int request, int server, double limit) override;
    void cancel_attempt(int request, int attempt) override;
    void reject(int request, double retry_after) override;
    void fail(int request) override;
    void check_health(int server) override;
    void close_idle_connections(int server) override;
    void poll_endpoints() override;
    void set_timer(double after, std::uint64_t token) override;
    void log(std::string_view text) override;
    bool admit_slow_start(int server) override;

  private:
    using Event = std::function<void(double now)>;

    void handle_events();
    void run_actions();
    void run_all_actions();
    bool is_poll_stale() const;
    void release_finished();
    void open_for_clients();
    double longest_client_timeout() const;
    double arrival_time();
    int on_command(const ClientConnections::RequestHandle& client, Command&& command, double received_at);
    void on_connection_closed(const ClientConnections::RequestHandle& client, int request);
    bool is_unsent(int request) const;
    void on_close_hidden(const ClientConnections::RequestHandle& client, int request);
    bool has_effect(int operation) const;
    void start_request(double now, int request, int operation);
    void on_attempt_finished(double now, UpstreamPool::AttemptResult& result);
    void abandon_request(double now, int request, RequestEnd end);
    void apply_endpoint_update(double now, UpdateKind kind, const EndpointUpdate& update);
    void remove_replaced(int server, std::vector<int>& changed);
    void remove_unlisted(std::vector<int>& changed);
    void on_registrations(const std::vector<RegistrationChange>& changes);
    void apply_operator_config(const OperatorConfig& operator_config);
    void apply_connection_limit();
    void evict_removed_servers();
    SendRefusal check_attempt(int request, int server);
    void refuse_attempt(int request, int attempt, int server, SendRefusal refusal);
    void send_attempt(int request, int attempt, int server, double limit);
    void send_on_connection(int request, int attempt, int server);
    void on_attempt_write(int request, int attempt, int server, double time_left);
    void cancel_partially_sent(int request, std::size_t tolerated_bytes);
    void respond(int request, std::string text);
    void finish(int request, RequestEnd end);
    void trace(TraceEvent event, int request, int attempt, int server, std::string_view detail);
    std::string metrics_page() const;
    IterationWork total_work() const;
    void check_shutdown();
    void fail_open_requests();
    void log_late_responses();
    void handle_admin_request(std::uint64_t caller, const HttpRequest& http_request);
    void change_server_state(std::uint64_t caller, const std::string& name, bool drain);
    void change_zone_state(std::uint64_t caller, const std::string& name, bool drain);
    void apply_admin_state(double now, const std::vector<std::string>& names);
    void reload_admin_state();
    void retry_listed();
    void update_budget_share();
    void save_warm_start();
    void load_warm_start(double now);
    void on_outlier_verdict(double now, const std::string& name, bool is_bad, double probe_interval);
    void publish_endpoints();

    NodeConfig config_;
    OperatorConfig operator_config_;
    Log& log_;
    TimerQueue timers_;
    PollClock poll_clock_;
    WallClock wall_clock_;
    ViolationCounter violations_;
    Metrics metrics_;
    IterationMonitor iteration_monitor_;
    IterationWork work_before_iteration_;
    IterationWork work_;  // counts of the node itself; total_work() adds those of its components
    RequestTrace trace_;
    std::unique_ptr<Balancer> balancer_;
    const MemoryPlan memory_plan_;
    UpstreamPool pool_;
    ClientConnections clients_;
    EndpointWatch endpoint_watch_;
    AdminServer admin_server_;
    bool has_registrations_ = false;
    std::unique_ptr<GossipAgent> gossip_;               // null if disabled or not possible with the settings
    std::unique_ptr<CoordinationClient> coordination_;  // null if endpoint_watch_ is used instead
    std::vector<Event> event_queue_;
    std::deque<std::function<void()>> action_queue_;
    int deferrals_ = 0;  // consecutive iterations that deferred actions to the next one
    std::vector<int> finished_requests_;
    RequestTable requests_;
    std::unique_ptr<RepeatGuard> repeat_guard_;  // null until start()
    // The client request that receives each streamed response, by stream id.
    std::unordered_map<std::uint64_t, ClientConnections::RequestHandle> streams_;
    AdminState admin_state_;
    WarmStartFile warm_start_file_;  // used only if the listener is shared
    ServerTable servers_;
    std::unique_ptr<SiblingProcesses> sibling_processes_;  // null if the listener is not shared
    // Monotonic times in seconds.
    double iteration_started_at_ = 0;
    double iteration_ended_at_ = 0;
    double endpoints_confirmed_at_ = 0;  // when the endpoint source last confirmed that its list is current
    double paused_since_ = 0;            // when the last pause of the process began
    double catch_up_until_ = 0;          // commands read before this time count as received at paused_since_
    double budget_share_ = 1;            // this process's share (0 to 1) of the node's descriptors and memory
    TimerQueue::Handle eviction_timer_;
    TimerQueue::Handle opening_timer_;
    SocketRef pending_listener_;  // the bound listener until the node accepts clients, then null
    GracefulShutdown shutdown_;
    bool has_logged_late_responses_ = false;
    bool done_ = false;
    bool accepts_clients_ = false;
    bool has_shared_listener_ = false;  // the listener is shared with other processes of this node
};

}  // namespace brookrelay
