// Between the node, the socket to its peers and src/fleet: the steps in time, names of cache servers for
// subjects, the log's lines and what operators are shown. It owns the exchange and the socket, and decides
// nothing.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "gossip/fleet_quotas.h"
#include "gossip/outlier_exchange.h"
#include "io/log.h"
#include "config/operator_config.h"
#include "gossip_agent/gossip_socket.h"
#include "config/node_config.h"
#include "io/timer_queue.h"

namespace brookrelay {

class Talk {
  public:
    using Found = std::function<void(double now, const std::string& server, bool bad, double apart)>;
    using TenantTold = std::function<void(double now, int tenant, double part)>;
    using ZoneTold = std::function<void(double now, const fleet::Zones::Order& order)>;

    // Why this station's nodes cannot talk; empty: they can.
    static std::string against(const Station& station);
    // `found` is called from step(): what stands each time, and once what no longer stands.
    Talk(Timers& timers, Log& log, const Station& station, const OperatorFile& operator_file,
         std::function<void()> due, Found found, ZoneTold zone_told, TenantTold tenant_told);

    void start();
    void step(double now);  // what `due` asked for
    void asked(double now) { exchange_.asked(now); }
    // A forward is known by its number among all that are out; one that is overdue is bad before it ends.
    void began(double now, std::uint64_t forward, const std::string& server, int zone,
               double latency_objective);
    void ended(double now, std::uint64_t forward, const std::string& server, int zone, Ending ending,
               double took, double latency_objective);
    // Limits of the whole fleet. A tenant's invocation came; and whether one more forward may go to the
    // origin.
    void tenant_asked(double now, int tenant);
    bool origin_may(double now);
    // To a server that started lately: whether one more may go, and that one goes.
    bool cold_may(double now, const std::string& server);
    void cold_sent(double now, const std::string& server);
    // How many connections to a server may be open here, where `wanted` would be at work now.
    int connections_most(double now, const std::string& server, int wanted);
    bool limits_connections() const { return budgets_.limits_connections(); }
    bool limits_cold() const { return budgets_.limits_cold(); }
    // Other tenants, and other limits as operators set them, from now on; without a moment of double parts.
    void settle_in(const Station& station, const FleetLimits& limits);
    // Why an operator's word on a zone would do nothing here; empty: it would.
    std::string against_zones() const;
    void zone_by_hand(double now, int zone, bool out) { exchange_.zone_by_hand(now, zone, out); }
    void zones_anew(double now);  // tells again what stands: the module was given other settings
    void listed(const std::vector<std::string>& servers, int in_own_zone);
    std::string state_text(double now);  // JSON

  private:
    void open();
    void tell_limits(double now);
    double part(fleet::LimitId limit, double now) const;

    Timers& timers_;
    Log& log_;
    const std::string own_;
    const std::vector<std::string> addresses_, zones_;
    const bool verdicts_, zones_as_one_;
    std::function<void()> due_;
    Found found_;
    ZoneTold zone_told_;
    TenantTold tenant_told_;
    fleet::Budgets budgets_;
    int tenants_ = 0;  // that have been told a part
    double limits_told_ = -1e9;
    fleet::Exchange exchange_;
    Peers peers_;
    struct Out {
        double overdue = 0;
        fleet::Subject subject = 0;
        int zone = -1;
    };
    std::unordered_map<std::uint64_t, Out> out_;  // that are out and not overdue
    std::multimap<double, std::uint64_t> by_overdue_;
    std::unordered_map<fleet::Subject, std::string> names_;
    std::unordered_map<fleet::Subject, bool> standing_;
    std::map<int, fleet::Zones::Order> zone_orders_;  // as told last
    std::uint64_t stalls_ = 0;
    double try_again_ = 0;
};

}  // namespace brookrelay
