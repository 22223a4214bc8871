// Enforces a node's shares of the fleet-wide quotas: measures the demand for each, admits what the share
// allows, and reports the demand. Holds the token buckets; the shares themselves are managed by
// quota_leases.h. Performs no I/O: it is given the time and the share, and knows a server only by its key.
//
// docs/limits.md has the design choices for each quota, the bounds and the runs.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "gossip/quota_leases.h"

namespace brookrelay::gossip {

// Limits for all nodes together, as operators configure them; 0: no limit.
struct FleetTotals {
    bool share_tenant_quotas = false;           // lease the tenants' quotas of the settings by demand
    double origin_attempts_per_second = 0;      // attempts per second to the origin
    double slow_start_attempts_per_second = 0;  // attempts per second to one cache server in slow start
    int connections_per_server = 0;             // open connections to one cache server
    bool operator==(const FleetTotals&) const = default;
};

class FleetQuotas {
  public:
    // Name and quota per second of each tenant, by its number at this node.
    using Tenants = std::vector<std::pair<std::string, double>>;
    FleetQuotas(int node, int nodes) : node_index_(node), node_count_(nodes < 1 ? 1 : nodes) {}

    // Applies other limits, also at run time: shares are fractions of the total, so a new total counts no
    // share twice. Returns a line for each limit that is rejected because the share of a node would stay
    // below one.
    std::vector<std::string> apply_configuration(const FleetTotals& totals, const Tenants& tenants);

    // `share`, here and below: this node's fraction of the total at `now`.
    void on_tenant_request(double now, int tenant);
    bool admit_origin_attempt(double now, double share);
    // Whether one more attempt may go to a server in slow start, and that one goes. An attempt that waited
    // for an origin fetch goes without asking; its token is then owed, and no other attempt is admitted until
    // it is refilled.
    bool may_start_slow_start_attempt(double now, ServerKey server, double share);
    void on_slow_start_attempt(double now, ServerKey server, double share);
    // Returns how many connections to a server may be open here; `wanted`: how many would be in use now.
    int max_connections(double now, ServerKey server, int wanted, double share);
    bool limits_connections() const { return totals_.connections_per_server > 0; }
    bool limits_slow_start() const { return totals_.slow_start_attempts_per_second > 0; }

    struct Quota {
        QuotaId id = 0;
        std::string name, unit;
        bool strict = true;
        double total = 0;
        double demand = 0;  // fraction of the total that this node could use now
        std::uint64_t declined = 0;
        int tenant = -1;
    };
    std::vector<Quota> quotas(double now);  // those in force: configured and not rejected
    static QuotaId id(const std::string& name) { return server_key(name); }
    static QuotaId origin_id() { return id("origin"); }
    static QuotaId slow_start_id() { return id("cold"); }
    static QuotaId connections_id() { return id("connections"); }

  private:
    struct SlowStart {
        TokenBucket bucket;
        double last_used = 0;
    };
    struct ConnectionDemand {  // for one server, in the current and the previous kMeasurementPeriod
        struct Period {
            double wanted = 0;  // connections in use at a time, summed over all requests
            int requests = 0, declined = 0;
        };
        std::int64_t period = 0;
        Period now, previous;
        double estimate() const;  // connections that would be in use at a time if none were declined
    };
    // Initial tokens of a node's bucket for a server in slow start: spread evenly over the nodes and
    // different for each server. Otherwise all nodes would send to it at the same moment, or none for long if
    // shares are small.
    double initial_tokens(ServerKey server) const;

    int node_index_, node_count_;
    FleetTotals totals_;
    Tenants tenants_;
    TokenBucket origin_bucket_;
    std::vector<TokenBucket> tenant_buckets_;  // by tenant
    std::unordered_map<ServerKey, SlowStart> slow_start_;
    std::unordered_map<ServerKey, ConnectionDemand> connection_demand_;
    std::uint64_t origin_declined_ = 0, slow_start_declined_ = 0, connections_declined_ = 0;
};

}  // namespace brookrelay::gossip
