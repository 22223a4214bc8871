// Connects the node, the socket to its peers and src/gossip: schedules ticks, maps server keys to names,
// writes log lines and renders the state for operators. Owns the exchange and the socket, and decides
// nothing.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "config/node_config.h"
#include "config/operator_config.h"
#include "gossip/fleet_quotas.h"
#include "gossip/outlier_exchange.h"
#include "gossip_agent/gossip_socket.h"
#include "io/log.h"
#include "io/timer_queue.h"

namespace brookrelay {

class GossipAgent {
  public:
    using OnOutlierVerdict =
        std::function<void(double now, const std::string& server, bool bad, double probe_interval)>;
    using OnTenantShare = std::function<void(double now, int tenant, double part)>;
    using OnZoneChange = std::function<void(double now, const gossip::ZoneFailover::Change& change)>;

    // Returns why gossip is not possible with this configuration; empty if it is.
    static std::string why_unavailable(const NodeConfig& config);
    // `on_outlier_verdict` is called from tick(): for each standing verdict every time, and once when it
    // ends.
    GossipAgent(TimerQueue& timers, Log& log, const NodeConfig& config, const OperatorConfig& operator_config,
                std::function<void()> on_tick_due, OnOutlierVerdict on_outlier_verdict,
                OnZoneChange on_zone_change, OnTenantShare on_tenant_share);

    void start();
    void tick(double now);  // called after on_tick_due
    void on_request(double now) { exchange_.on_request(now); }
    // `attempt` is unique among all unfinished attempts. An overdue attempt counts as bad before it ends.
    void on_attempt_started(double now, std::uint64_t attempt, const std::string& server, int zone,
                            double latency_objective);
    void on_attempt_finished(double now, std::uint64_t attempt, const std::string& server, int zone,
                             AttemptOutcome outcome, double duration, double latency_objective);
    // Fleet-wide quotas: counts a tenant's request, and returns whether one more attempt may go to the
    // origin.
    void on_tenant_request(double now, int tenant);
    bool admit_origin_attempt(double now);
    // For a server in slow start: whether one more attempt may go there, and that one goes.
    bool admit_slow_start(double now, const std::string& server);
    void on_slow_start_attempt(double now, const std::string& server);
    // Returns how many connections to a server may be open here if `wanted` would be in use now.
    int max_connections(double now, const std::string& server, int wanted);
    bool limits_connections() const { return quotas_.limits_connections(); }
    bool limits_slow_start() const { return quotas_.limits_slow_start(); }
    // Applies other tenants and other limits of operators from now on; no share counts twice at any moment.
    void apply_configuration(const NodeConfig& config, const FleetQuotaLimits& limits);
    // Returns why an operator's command on a zone would have no effect here; empty if it would have one.
    std::string why_zones_unavailable() const;
    void set_zone_admin_state(double now, int zone, bool drain) {
        exchange_.set_zone_admin_state(now, zone, drain);
    }
    // Reports the current zone weights again, after the balancer was reconfigured.
    void repeat_zone_changes(double now);
    void on_endpoints(const std::vector<std::string>& servers, int servers_in_own_zone);
    std::string state_json(double now);

  private:
    void open_socket();
    void update_quotas(double now);
    double quota_share(gossip::QuotaId quota, double now) const;

    TimerQueue& timers_;
    Log& log_;
    const std::string listen_address_;
    const std::vector<std::string> peer_addresses_, zone_names_;
    const bool apply_verdicts_, apply_zone_failover_;
    std::function<void()> on_tick_due_;
    OnOutlierVerdict on_outlier_verdict_;
    OnZoneChange on_zone_change_;
    OnTenantShare on_tenant_share_;
    gossip::FleetQuotas quotas_;
    int tenant_count_ = 0;  // that were given a share
    double last_quota_update_ = -1e9;
    gossip::OutlierExchange exchange_;
    GossipSocket socket_;
    struct PendingAttempt {
        double deadline = 0;
        gossip::ServerKey server_key = 0;
        int zone = -1;
    };
    std::unordered_map<std::uint64_t, PendingAttempt> pending_attempts_;  // unfinished and not overdue
    std::multimap<double, std::uint64_t> pending_by_deadline_;
    std::unordered_map<gossip::ServerKey, std::string> server_names_;
    std::unordered_map<gossip::ServerKey, bool> bad_servers_;
    std::map<int, gossip::ZoneFailover::Change> last_zone_changes_;  // by zone, as last reported
    std::uint64_t process_pauses_ = 0;
    double reopen_at_ = 0;
};

}  // namespace brookrelay
