#include "gossip/quota_leases.h"

#include <algorithm>
#include <set>

namespace brookrelay::gossip {
namespace {

// The lender keeps a lease this many times as long as the borrower: clock rates may differ by as much.
constexpr double kLenderTimeFactor = 1.02;
// A node never lends 1/kReservedDivisor of its own units, so that it has some to use after a restart.
constexpr std::uint32_t kReservedDivisor = 16;
constexpr double kHeadroom = 1.25;                // multiple of its demand that a node keeps or requests
constexpr double kMinRequestRatio = 0.05;         // of the own units; less is not worth a datagram
constexpr double kRequestInterval = 0.25;         // s
constexpr std::size_t kMaxNewLendersPerTick = 4;  // nodes that are asked for more than they lend, per quota
// Seconds until a node is asked for more again: it may have nothing to spare.
constexpr double kNewRequestBackoff = 0.5;
constexpr double kRenewBefore = 1.25;    // s before expiry at which the lender is asked for a renewal
constexpr double kDemandLifetime = 2.0;  // s for which a demand counts that is not set again
constexpr std::size_t kMaxPendingRequests = 256;
constexpr double kBurstSeconds = 0.25;  // s of its rate that a token bucket accumulates

}  // namespace

void TokenBucket::on_demand(double now) {
    const auto bucket = static_cast<std::int64_t>(now / kBucketSeconds);
    for (std::int64_t expired = std::max(newest_bucket_ + 1, bucket - kBuckets + 1); expired <= bucket;
         ++expired)
        demand_buckets_[static_cast<std::size_t>(expired % kBuckets)] = 0;
    newest_bucket_ = std::max(newest_bucket_, bucket);
    ++demand_buckets_[static_cast<std::size_t>(newest_bucket_ % kBuckets)];
}

double TokenBucket::demand(double now) const {
    const auto bucket = static_cast<std::int64_t>(now / kBucketSeconds);
    int sum = 0;
    for (std::int64_t index = std::max(newest_bucket_ - kBuckets + 1, bucket - kBuckets + 1);
         index <= newest_bucket_; ++index) {
        if (index >= 0) sum += demand_buckets_[static_cast<std::size_t>(index % kBuckets)];
    }
    return sum / (kBuckets * kBucketSeconds);
}

// The capacity bounds what a node has accumulated after a pause: its share in the meantime may be another
// node's by now.
bool TokenBucket::has_token(double now, double rate) {
    const double capacity = std::max(1.0, rate * kBurstSeconds);
    if (filled_at_ > 0) tokens_ = std::min(tokens_ + std::max(now - filled_at_, 0.0) * rate, capacity);
    filled_at_ = now;
    return tokens_ >= 1;
}

bool TokenBucket::take(double now, double rate) {
    if (!has_token(now, rate)) return false;
    spend();
    return true;
}

std::uint32_t QuotaLeases::max_lent(int nodes) {
    const std::uint32_t base = kTotalUnits / static_cast<std::uint32_t>(std::max(1, nodes));
    return base - base / kReservedDivisor;
}

QuotaLeases::QuotaLeases(Settings settings, double now)
    : settings_(settings),
      own_units_(kTotalUnits / static_cast<std::uint32_t>(std::max(1, settings.node_count))),
      max_lent_units_(max_lent(settings.node_count)),
      started_at_(now) {}

const QuotaLeases::QuotaState& QuotaLeases::find(QuotaId quota) const {
    static const QuotaState none;
    const auto known = quotas_.find(quota);
    return known == quotas_.end() ? none : known->second;
}

std::uint32_t QuotaLeases::max_active(const Leases& leases, double now) {
    std::uint32_t max_units = 0;
    for (const Lease& lease : leases) {
        if (now < lease.expires_at) max_units = std::max(max_units, lease.units);
    }
    return max_units;
}

double QuotaLeases::latest_expiry(const Leases& leases) {
    double expires_at = -1e9;
    for (const Lease& lease : leases) expires_at = std::max(expires_at, lease.expires_at);
    return expires_at;
}

std::uint32_t QuotaLeases::sum_active(const std::map<int, Leases>& leases, double now) {
    std::uint32_t total = 0;
    for (const auto& [node, node_leases] : leases) total += max_active(node_leases, now);
    return total;
}

std::uint32_t QuotaLeases::own_share(const QuotaState& state, double now) const {
    // What an earlier process of this node lent may still be in use.
    const std::uint32_t lent_earlier =
        now - started_at_ < kLeaseDuration * kLenderTimeFactor ? max_lent_units_ : 0;
    return own_units_ - std::min(own_units_, std::max(sum_active(state.lent, now), lent_earlier));
}

std::uint32_t QuotaLeases::share(QuotaId quota, double now) const {
    return own_share(find(quota), now) + sum_active(find(quota).borrowed, now);
}

void QuotaLeases::set_demand(double now, QuotaId quota, double units) {
    QuotaState& state = quotas_[quota];
    state.demand = std::clamp(units, 0.0, double{kTotalUnits});
    state.demand_set_at = now;
}

// NOLINTNEXTLINE(readability-function-cognitive-complexity): see ROADMAP
std::vector<QuotaLeases::OutgoingRequest> QuotaLeases::tick(double now, const std::vector<int>& others,
                                                            double draw) {
    std::vector<OutgoingRequest> requests;
    if (now - last_tick_ < kRequestInterval) return requests;
    last_tick_ = now;
    std::erase_if(pending_, [now](const Pending& pending) { return now - pending.sent_at > kLeaseDuration; });
    for (auto& [quota, state] : quotas_) {
        for (auto* leases : {&state.lent, &state.borrowed}) {
            for (auto& [node, node_leases] : *leases)
                std::erase_if(node_leases, [now](const Lease& lease) { return now >= lease.expires_at; });
            std::erase_if(*leases, [](const auto& entry) { return entry.second.empty(); });
        }
        if (now - state.demand_set_at > kDemandLifetime) state.demand = 0;
        const double wanted = state.demand * kHeadroom - own_share(state, now);
        if (wanted < kMinRequestRatio * own_units_) continue;
        // Current lenders are asked in time for a renewal of what is still needed. What is then missing is
        // requested from randomly chosen nodes, lenders among them: their last grant may not have been all
        // that they can spare.
        double missing = wanted;
        std::set<int> asked_nodes;
        for (const auto& [node, node_leases] : state.borrowed) {
            const double renewed_units = std::min(missing, static_cast<double>(max_active(node_leases, now)));
            missing -= renewed_units;
            if (latest_expiry(node_leases) - now >= kRenewBefore || renewed_units < 1) continue;
            requests.push_back({node, {quota, static_cast<std::uint32_t>(renewed_units)}, true});
            asked_nodes.insert(node);
        }
        if (missing < kMinRequestRatio * own_units_) continue;
        const auto first = static_cast<std::size_t>(draw * static_cast<double>(others.size()));
        std::size_t new_lenders = 0;
        for (std::size_t n = 0; n < others.size() && new_lenders < kMaxNewLendersPerTick && missing >= 1;
             ++n) {
            const int other = others[(first + n) % others.size()];
            const auto lender = state.borrowed.find(other);
            const std::uint32_t held = lender == state.borrowed.end() ? 0 : max_active(lender->second, now);
            if (held >= max_lent_units_ || !asked_nodes.insert(other).second) continue;
            double& last_asked = state.last_new_request.try_emplace(other, -1e9).first->second;
            if (now - last_asked < kNewRequestBackoff) continue;
            last_asked = now;
            const std::uint32_t units = std::min(held + static_cast<std::uint32_t>(missing), max_lent_units_);
            requests.push_back({other, {quota, units}, false});
            missing -= units - held;
            ++new_lenders;
        }
    }
    return requests;
}

void QuotaLeases::on_request_sent(int to, const LeaseRequest& request, std::uint32_t sequence, double now) {
    if (pending_.size() >= kMaxPendingRequests) pending_.erase(pending_.begin());
    pending_.push_back({to, sequence, request.quota, request.units, now});
}

// Grants only own units, never borrowed ones. The lease runs from now at this node, and from the earlier time
// of the request at the borrower.
LeaseGrant QuotaLeases::on_request(double now, int from, std::uint32_t sequence,
                                   const LeaseRequest& request) {
    LeaseGrant grant{request.quota, 0, sequence};
    const auto known = quotas_.find(request.quota);
    if (known == quotas_.end()) return grant;
    QuotaState& state = known->second;
    const std::uint32_t held = state.lent.contains(from) ? max_active(state.lent[from], now) : 0;
    const std::uint32_t lent =
        std::max(sum_active(state.lent, now),
                 now - started_at_ < kLeaseDuration * kLenderTimeFactor ? max_lent_units_ : 0);
    const double demand = now - state.demand_set_at > kDemandLifetime ? 0 : state.demand * kHeadroom;
    const double free = std::min(static_cast<double>(max_lent_units_) - lent, own_units_ - lent - demand);
    // If this node's own demand has grown, granted units stay lent until they expire, but are not renewed in
    // full.
    const double max_units = free >= 0 ? held + free : std::max(0.0, held + free);
    grant.units = static_cast<std::uint32_t>(std::min<double>(request.units, max_units));
    if (grant.units > 0) state.lent[from].push_back({grant.units, now + kLeaseDuration * kLenderTimeFactor});
    return grant;
}

void QuotaLeases::on_grant(double now, int from, const LeaseGrant& grant) {
    const auto match = std::find_if(pending_.begin(), pending_.end(), [&](const Pending& pending) {
        return pending.to == from && pending.sequence == grant.request_sequence &&
               pending.quota == grant.quota;
    });
    if (match == pending_.end()) return;  // never requested, already answered, or too old
    const Pending pending = *match;
    pending_.erase(match);
    // Never more than was requested or than one node may lend, even if the peer claims so.
    const std::uint32_t units = std::min({grant.units, pending.units, max_lent_units_});
    const double expires_at = pending.sent_at + kLeaseDuration;
    if (units > 0 && now < expires_at) quotas_[pending.quota].borrowed[from].push_back({units, expires_at});
}

void QuotaLeases::on_new_incarnation(int node) {
    std::erase_if(pending_, [node](const Pending& pending) { return pending.to == node; });
}

QuotaLeases::View QuotaLeases::view(QuotaId quota, double now) const {
    const QuotaState& state = find(quota);
    const auto to_fraction = [](double units) { return units / kTotalUnits; };
    return {to_fraction(own_share(state, now)),           to_fraction(sum_active(state.lent, now)),
            to_fraction(sum_active(state.borrowed, now)), to_fraction(state.demand),
            static_cast<int>(state.borrowed.size()),      static_cast<int>(state.lent.size())};
}

}  // namespace brookrelay::gossip
