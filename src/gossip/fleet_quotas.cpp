#include "gossip/fleet_quotas.h"

#include <algorithm>
#include <cmath>

#include "util/splitmix64.h"

namespace brookrelay::gossip {
namespace {

constexpr double kMeasurementPeriod = 1.0;  // s
constexpr double kServerLifetime = 30.0;    // s after its last use at which a server's state is dropped
// Lower bound on the accepted fraction of requests from which demand is extrapolated; a lower one tells
// nothing.
constexpr double kMinAcceptedRatio = 0.2;

}  // namespace

std::vector<std::string> FleetQuotas::apply_configuration(const FleetTotals& totals, const Tenants& tenants) {
    std::vector<std::string> rejected;
    const double old_origin = totals_.origin_attempts_per_second;
    totals_ = totals;
    const auto reject = [&](const char* key, const std::string& minimum) {
        rejected.push_back(std::string("fleet.limits.") + key + " is " + minimum + " each of " +
                           std::to_string(node_count_) + " nodes, so it is not enforced across nodes");
    };
    // With less than one per second, a node's share would never amount to a whole attempt when there is one
    // to make.
    if (totals_.origin_attempts_per_second > 0 && totals_.origin_attempts_per_second < node_count_) {
        reject("origin", "less than one per second for");
        totals_.origin_attempts_per_second = 0;
    }
    if (totals_.connections_per_server > 0 && totals_.connections_per_server < node_count_) {
        reject("connections", "less than one for");
        totals_.connections_per_server = 0;
    }
    if (totals_.origin_attempts_per_second != old_origin) origin_bucket_ = TokenBucket();
    if (tenants != tenants_) {
        tenant_buckets_.assign(tenants.size(), TokenBucket());
        tenants_ = tenants;
    }
    if (totals_.slow_start_attempts_per_second <= 0) slow_start_.clear();
    if (totals_.connections_per_server <= 0) connection_demand_.clear();
    return rejected;
}

void FleetQuotas::on_tenant_request(double now, int tenant) {
    if (totals_.share_tenant_quotas && tenant >= 0 && tenant < static_cast<int>(tenant_buckets_.size()))
        tenant_buckets_[static_cast<std::size_t>(tenant)].on_demand(now);
}

bool FleetQuotas::admit_origin_attempt(double now, double share) {
    if (totals_.origin_attempts_per_second <= 0) return true;
    origin_bucket_.on_demand(now);
    if (origin_bucket_.take(now, totals_.origin_attempts_per_second * share)) return true;
    ++origin_declined_;
    return false;
}

double FleetQuotas::initial_tokens(ServerKey server) const {
    constexpr double kGolden = 0.6180339887498949;  // the golden ratio: its multiples spread evenly modulo 1
    const double position = node_index_ * kGolden + static_cast<double>(mix(server) >> 11) * 0x1.0p-53;
    return position - std::floor(position);
}

bool FleetQuotas::may_start_slow_start_attempt(double now, ServerKey server, double share) {
    if (totals_.slow_start_attempts_per_second <= 0) return true;
    SlowStart& state =
        slow_start_.try_emplace(server, SlowStart{TokenBucket(initial_tokens(server)), now}).first->second;
    state.last_used = now;
    state.bucket.on_demand(now);
    if (state.bucket.has_token(now, totals_.slow_start_attempts_per_second * share)) return true;
    ++slow_start_declined_;
    return false;
}

void FleetQuotas::on_slow_start_attempt(double now, ServerKey server, double share) {
    const auto state = slow_start_.find(server);
    if (state == slow_start_.end()) return;
    state->second.bucket.has_token(now, totals_.slow_start_attempts_per_second * share);
    state->second.bucket.spend();
}

// Each node has one connection of its own; the rest is shared by demand.
int FleetQuotas::max_connections(double now, ServerKey server, int wanted, double share) {
    ConnectionDemand& demand = connection_demand_[server];
    const auto period = static_cast<std::int64_t>(now / kMeasurementPeriod);
    if (period != demand.period)
        demand = {period, {}, period == demand.period + 1 ? demand.now : ConnectionDemand::Period{}};
    const int max_open = 1 + static_cast<int>((totals_.connections_per_server - node_count_) * share);
    if (wanted > 0) {
        demand.now.wanted += wanted;
        ++demand.now.requests;
        demand.now.declined += wanted > max_open;
        connections_declined_ += wanted > max_open;
    }
    return max_open;
}

// Averages over the requests, which sees the usual number in use. A maximum would be random, and every node
// would hold on to it.
double FleetQuotas::ConnectionDemand::estimate() const {
    const int requests = now.requests + previous.requests;
    if (requests == 0) return 0;
    const double accepted_ratio = 1 - static_cast<double>(now.declined + previous.declined) / requests;
    return (now.wanted + previous.wanted) / requests / std::max(accepted_ratio, kMinAcceptedRatio);
}

std::vector<FleetQuotas::Quota> FleetQuotas::quotas(double now) {
    std::erase_if(slow_start_,
                  [now](const auto& entry) { return now - entry.second.last_used > kServerLifetime; });
    const auto period = static_cast<std::int64_t>(now / kMeasurementPeriod);
    std::erase_if(connection_demand_,
                  [period](const auto& entry) { return period - entry.second.period > 1; });
    std::vector<Quota> quotas;
    if (totals_.origin_attempts_per_second > 0)
        quotas.push_back({origin_id(), "origin", "a second", true, totals_.origin_attempts_per_second,
                          origin_bucket_.demand(now) / totals_.origin_attempts_per_second, origin_declined_,
                          -1});
    if (totals_.slow_start_attempts_per_second > 0) {
        double max_demand = 0;
        for (const auto& [server, state] : slow_start_)
            max_demand = std::max(max_demand, state.bucket.demand(now));
        quotas.push_back({slow_start_id(), "cold", "a second to one", true,
                          totals_.slow_start_attempts_per_second,
                          max_demand / totals_.slow_start_attempts_per_second, slow_start_declined_, -1});
    }
    if (totals_.connections_per_server > 0) {
        double max_demand = 1;
        for (const auto& [server, demand] : connection_demand_)
            max_demand = std::max(max_demand, demand.estimate());
        const int spare = totals_.connections_per_server - node_count_;
        quotas.push_back({connections_id(), "connections", "to one", true,
                          static_cast<double>(totals_.connections_per_server),
                          spare > 0 ? (max_demand - 1) / spare : 0, connections_declined_, -1});
    }
    for (std::size_t tenant = 0; totals_.share_tenant_quotas && tenant < tenants_.size(); ++tenant) {
        const auto& [name, quota] = tenants_[tenant];
        if (quota > 0)
            quotas.push_back({id("tenant " + name), "tenant " + name, "a second", false, quota,
                              tenant_buckets_[tenant].demand(now) / quota, 0, static_cast<int>(tenant)});
    }
    return quotas;
}

}  // namespace brookrelay::gossip
