// What a node does with its parts of the limits that belong to the whole fleet: counts what was asked of
// each, lets through what its part allows, and says what it could use. It owns what is saved up of each;
// whose the parts are is fleet_limits.h's. I/O-free: it is given the time and the part, opens nothing and
// knows no server but by its subject.
//
// docs/limits.md has the choice for each limit, the bounds and the runs.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "gossip/quota_leases.h"

namespace brookrelay::gossip {

// Of all nodes together, as operators set them; 0: none.
struct FleetTotals {
    bool share_tenant_quotas = false;       // tenants' shares, as the settings have them, follow the demand
    double origin_attempts_per_second = 0;  // forwards a second to the origin
    double slow_start_attempts_per_second = 0;  // forwards a second to one cache server while it is cold
    int connections_per_server = 0;             // open to one cache server
    bool operator==(const FleetTotals&) const = default;
};

class FleetQuotas {
  public:
    using Tenants =
        std::vector<std::pair<std::string, double>>;  // by their numbers here: name, and quota a second
    FleetQuotas(int node, int nodes) : node_index_(node), node_count_(nodes < 1 ? 1 : nodes) {}

    // From now on, also while it runs: parts are parts of the whole, so that other wholes make no part count
    // twice. What is not taken is told, a line each: a whole of which a node's part never comes to one.
    std::vector<std::string> apply_configuration(const FleetTotals& totals, const Tenants& tenants);

    // `part`: this node's, of the whole, as it is in force at `now`.
    void on_tenant_request(double now, int tenant);
    bool admit_origin_attempt(double now, double share);
    // Whether one more forward may go to a cold cache server; and that one goes. Who waited for its fetch
    // goes without asking: then nothing more does until that is made up for.
    bool may_start_slow_start_attempt(double now, ServerKey server, double share);
    void on_slow_start_attempt(double now, ServerKey server, double share);
    // How many connections to a server may be open here; `wanted`: how many of them would be at work now.
    int max_connections(double now, ServerKey server, int wanted, double share);
    bool limits_connections() const { return totals_.connections_per_server > 0; }
    bool limits_slow_start() const { return totals_.slow_start_attempts_per_second > 0; }

    struct Quota {
        QuotaId id = 0;
        std::string name, unit;
        bool strict = true;
        double total = 0;
        double demand = 0;  // of the whole, that this node could use now
        std::uint64_t declined = 0;
        int tenant = -1;
    };
    std::vector<Quota> quotas(double now);  // that are in force
    static QuotaId id(const std::string& name) { return server_key(name); }
    static QuotaId origin_id() { return id("origin"); }
    static QuotaId slow_start_id() { return id("cold"); }
    static QuotaId connections_id() { return id("connections"); }

  private:
    struct SlowStart {
        TokenBucket bucket;
        double last_used = 0;
    };
    struct ConnectionDemand {  // of one server, in this turn of kWantedTurn and the one before
        struct Period {
            double wanted = 0;  // at a time, summed over all that asked
            int requests = 0, declined = 0;
        };
        std::int64_t period = 0;
        Period now, previous;
        double estimate() const;  // that would be at work at a time, were none declined
    };
    // What a node has saved up of a cold server's limit at first: spread over the nodes as evenly as can be,
    // and for each server otherwise, or all would forward to it in the same moment, or none for long where
    // parts are small.
    double initial_tokens(ServerKey server) const;

    int node_index_, node_count_;
    FleetTotals totals_;
    Tenants tenants_;
    TokenBucket origin_bucket_;
    std::vector<TokenBucket> tenant_buckets_;  // of tenants
    std::unordered_map<ServerKey, SlowStart> slow_start_;
    std::unordered_map<ServerKey, ConnectionDemand> connection_demand_;
    std::uint64_t origin_declined_ = 0, slow_start_declined_ = 0, connections_declined_ = 0;
};

}  // namespace brookrelay::gossip
