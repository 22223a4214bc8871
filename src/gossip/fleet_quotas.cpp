#include "gossip/fleet_quotas.h"

#include <algorithm>
#include <cmath>

#include "util/splitmix64.h"

namespace brookrelay::gossip {
namespace {

constexpr double kWantedTurn = 1.0;  // s
constexpr double kForgotten = 30.0;  // s after its last use that a server's is forgotten
// Part taken from which the load is reckoned: with less it may be anything.
constexpr double kTakenLeast = 0.2;

}  // namespace

std::vector<std::string> FleetQuotas::apply_configuration(const FleetTotals& wholes, const Tenants& tenants) {
    std::vector<std::string> against;
    const double old_origin = wholes_.origin_attempts_per_second;
    wholes_ = wholes;
    const auto too_few = [&](const char* key, const std::string& least) {
        against.push_back(std::string("fleet.limits.") + key + " is " + least + " each of " +
                          std::to_string(nodes_) + " nodes: that limit is left to each node");
    };
    // Under one a second a node's part would never come to a whole forward while it has one to make.
    if (wholes_.origin_attempts_per_second > 0 && wholes_.origin_attempts_per_second < nodes_) {
        too_few("origin", "less than one a second for");
        wholes_.origin_attempts_per_second = 0;
    }
    if (wholes_.connections_per_server > 0 && wholes_.connections_per_server < nodes_) {
        too_few("connections", "less than one for");
        wholes_.connections_per_server = 0;
    }
    if (wholes_.origin_attempts_per_second != old_origin) origin_ = TokenBucket();
    if (tenants != tenants_) {
        asked_.assign(tenants.size(), TokenBucket());
        tenants_ = tenants;
    }
    if (wholes_.slow_start_attempts_per_second <= 0) cold_.clear();
    if (wholes_.connections_per_server <= 0) wanted_.clear();
    return against;
}

void FleetQuotas::on_tenant_request(double now, int tenant) {
    if (wholes_.share_tenant_quotas && tenant >= 0 && tenant < static_cast<int>(asked_.size()))
        asked_[static_cast<std::size_t>(tenant)].on_demand(now);
}

bool FleetQuotas::admit_origin_attempt(double now, double part) {
    if (wholes_.origin_attempts_per_second <= 0) return true;
    origin_.on_demand(now);
    if (origin_.take(now, wholes_.origin_attempts_per_second * part)) return true;
    ++origin_declined_;
    return false;
}

double FleetQuotas::begin(ServerKey server) const {
    constexpr double kGolden = 0.6180339887498949;  // its multiples lie as evenly as can be
    const double x = node_ * kGolden + static_cast<double>(mix(server) >> 11) * 0x1.0p-53;
    return x - std::floor(x);
}

bool FleetQuotas::may_start_slow_start_attempt(double now, ServerKey server, double part) {
    if (wholes_.slow_start_attempts_per_second <= 0) return true;
    Cold& c = cold_.try_emplace(server, Cold{TokenBucket(begin(server)), now}).first->second;
    c.used = now;
    c.spending.on_demand(now);
    if (c.spending.has_token(now, wholes_.slow_start_attempts_per_second * part)) return true;
    ++cold_declined_;
    return false;
}

void FleetQuotas::on_slow_start_attempt(double now, ServerKey server, double part) {
    const auto c = cold_.find(server);
    if (c == cold_.end()) return;
    c->second.spending.has_token(now, wholes_.slow_start_attempts_per_second * part);
    c->second.spending.spend();
}

// One is each node's own; the rest follows the demand.
int FleetQuotas::max_connections(double now, ServerKey server, int wanted, double part) {
    Wanted& w = wanted_[server];
    const auto turn = static_cast<std::int64_t>(now / kWantedTurn);
    if (turn != w.turn) w = {turn, {}, turn == w.turn + 1 ? w.now : Wanted::Turn{}};
    const int most = 1 + static_cast<int>((wholes_.connections_per_server - nodes_) * part);
    if (wanted > 0) {
        w.now.wanted += wanted;
        ++w.now.asked;
        w.now.declined += wanted > most;
        connections_declined_ += wanted > most;
    }
    return most;
}

// Who asks sees the usual number at work, and itself. The most at a time would be chance, and everybody would
// keep it.
double FleetQuotas::Wanted::load() const {
    const int asked = now.asked + before.asked;
    if (asked == 0) return 0;
    const double taken = 1 - static_cast<double>(now.declined + before.declined) / asked;
    return (now.wanted + before.wanted) / asked / std::max(taken, kTakenLeast);
}

std::vector<FleetQuotas::Quota> FleetQuotas::quotas(double now) {
    std::erase_if(cold_, [now](const auto& entry) { return now - entry.second.used > kForgotten; });
    const auto turn = static_cast<std::int64_t>(now / kWantedTurn);
    std::erase_if(wanted_, [turn](const auto& entry) { return turn - entry.second.turn > 1; });
    std::vector<Quota> all;
    if (wholes_.origin_attempts_per_second > 0)
        all.push_back({origin_id(), "origin", "a second", true, wholes_.origin_attempts_per_second,
                       origin_.demand(now) / wholes_.origin_attempts_per_second, origin_declined_, -1});
    if (wholes_.slow_start_attempts_per_second > 0) {
        double most = 0;
        for (const auto& [server, c] : cold_) most = std::max(most, c.spending.demand(now));
        all.push_back({cold_id(), "cold", "a second to one", true, wholes_.slow_start_attempts_per_second,
                       most / wholes_.slow_start_attempts_per_second, cold_declined_, -1});
    }
    if (wholes_.connections_per_server > 0) {
        double most = 1;
        for (const auto& [server, w] : wanted_) most = std::max(most, w.load());
        const int spare = wholes_.connections_per_server - nodes_;
        all.push_back({connections_id(), "connections", "to one", true,
                       static_cast<double>(wholes_.connections_per_server),
                       spare > 0 ? (most - 1) / spare : 0, connections_declined_, -1});
    }
    for (std::size_t t = 0; wholes_.share_tenant_quotas && t < tenants_.size(); ++t) {
        const auto& [name, quota] = tenants_[t];
        if (quota > 0)
            all.push_back({id("tenant " + name), "tenant " + name, "a second", false, quota,
                           asked_[t].demand(now) / quota, 0, static_cast<int>(t)});
    }
    return all;
}

}  // namespace brookrelay::gossip
