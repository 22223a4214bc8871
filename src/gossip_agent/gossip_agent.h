// Between the node, the socket to its peers and src/fleet: the steps in time, names of cache servers for
// subjects, the log's lines and what operators are shown. It owns the exchange and the socket, and decides
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
        std::function<void(double now, const std::string& server, bool bad, double apart)>;
    using OnTenantShare = std::function<void(double now, int tenant, double part)>;
    using OnZoneChange = std::function<void(double now, const gossip::ZoneFailover::Change& order)>;

    // Why this station's nodes cannot talk; empty: they can.
    static std::string why_unavailable(const NodeConfig& station);
    // `found` is called from step(): what stands each time, and once what no longer stands.
    GossipAgent(TimerQueue& timers, Log& log, const NodeConfig& station, const OperatorConfig& operator_file,
                std::function<void()> due, OnOutlierVerdict found, OnZoneChange zone_told,
                OnTenantShare tenant_told);

    void start();
    void tick(double now);  // what `due` asked for
    void on_request(double now) { exchange_.on_request(now); }
    // A forward is known by its number among all that are out; one that is overdue is bad before it ends.
    void on_attempt_started(double now, std::uint64_t forward, const std::string& server, int zone,
                            double latency_objective);
    void on_attempt_finished(double now, std::uint64_t forward, const std::string& server, int zone,
                             AttemptOutcome ending, double took, double latency_objective);
    // Limits of the whole fleet. A tenant's invocation came; and whether one more forward may go to the
    // origin.
    void on_tenant_request(double now, int tenant);
    bool admit_origin_attempt(double now);
    // To a server that started lately: whether one more may go, and that one goes.
    bool admit_slow_start(double now, const std::string& server);
    void on_slow_start_attempt(double now, const std::string& server);
    // How many connections to a server may be open here, where `wanted` would be at work now.
    int max_connections(double now, const std::string& server, int wanted);
    bool limits_connections() const { return budgets_.limits_connections(); }
    bool limits_slow_start() const { return budgets_.limits_slow_start(); }
    // Other tenants, and other limits as operators set them, from now on; without a moment of double parts.
    void apply_configuration(const NodeConfig& station, const FleetQuotaLimits& limits);
    // Why an operator's word on a zone would do nothing here; empty: it would.
    std::string why_zones_unavailable() const;
    void set_zone_admin_state(double now, int zone, bool out) {
        exchange_.set_zone_admin_state(now, zone, out);
    }
    void repeat_zone_changes(double now);  // tells again what stands: the module was given other settings
    void on_endpoints(const std::vector<std::string>& servers, int in_own_zone);
    std::string state_json(double now);  // JSON

  private:
    void open();
    void tell_limits(double now);
    double part(gossip::QuotaId limit, double now) const;

    TimerQueue& timers_;
    Log& log_;
    const std::string own_;
    const std::vector<std::string> addresses_, zones_;
    const bool verdicts_, zones_as_one_;
    std::function<void()> due_;
    OnOutlierVerdict found_;
    OnZoneChange zone_told_;
    OnTenantShare tenant_told_;
    gossip::FleetQuotas budgets_;
    int tenants_ = 0;  // that have been told a part
    double limits_told_ = -1e9;
    gossip::OutlierExchange exchange_;
    GossipSocket peers_;
    struct Out {
        double overdue = 0;
        gossip::ServerKey subject = 0;
        int zone = -1;
    };
    std::unordered_map<std::uint64_t, Out> out_;  // that are out and not overdue
    std::multimap<double, std::uint64_t> by_overdue_;
    std::unordered_map<gossip::ServerKey, std::string> names_;
    std::unordered_map<gossip::ServerKey, bool> standing_;
    std::map<int, gossip::ZoneFailover::Change> zone_orders_;  // as told last
    std::uint64_t stalls_ = 0;
    double try_again_ = 0;
};

}  // namespace brookrelay
