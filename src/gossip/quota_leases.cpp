#include "gossip/quota_leases.h"

#include <algorithm>
#include <set>

namespace brookrelay::gossip {
namespace {

constexpr double kClocksApart = 1.02;     // times as long the lender waits: two clocks may run so differently
constexpr std::uint32_t kNeverLent = 16;  // one part in so many of its own a node keeps, to start with
constexpr double kHeadroom = 1.25;        // times its need a node keeps before it lends, and asks for
constexpr double kLeastAsked = 0.05;      // of its own part: less is not worth a datagram
constexpr double kAskEvery = 0.25;        // s
constexpr std::size_t kAskMore = 4;       // nodes at a time for more than they lend,
constexpr double kMoreAgain = 0.5;        // s until one is asked so again: it may have nothing to spare
constexpr double kAskAgain = 1.25;        // s before a lease lapses that its lender is asked for it anew
constexpr double kNeedKept = 2.0;         // s that a need counts which is not told again
constexpr std::size_t kPendingMost = 256;
constexpr double kSaved = 0.25;  // s of its part that a node may save up

}  // namespace

void TokenBucket::on_demand(double now) {
    const auto bucket = static_cast<std::int64_t>(now / kBucket);
    for (std::int64_t b = std::max(turn_ + 1, bucket - kBuckets + 1); b <= bucket; ++b)
        asked_[static_cast<std::size_t>(b % kBuckets)] = 0;
    turn_ = std::max(turn_, bucket);
    ++asked_[static_cast<std::size_t>(turn_ % kBuckets)];
}

double TokenBucket::demand(double now) const {
    const auto bucket = static_cast<std::int64_t>(now / kBucket);
    int sum = 0;
    for (std::int64_t b = std::max(turn_ - kBuckets + 1, bucket - kBuckets + 1); b <= turn_; ++b) {
        if (b >= 0) sum += asked_[static_cast<std::size_t>(b % kBuckets)];
    }
    return sum / (kBuckets * kBucket);
}

// After it stood still a node has no more saved up than ever: what its part was meanwhile may be another's by
// now.
bool TokenBucket::has_token(double now, double a_second) {
    const double most = std::max(1.0, a_second * kSaved);
    if (filled_ > 0) tokens_ = std::min(tokens_ + std::max(now - filled_, 0.0) * a_second, most);
    filled_ = now;
    return tokens_ >= 1;
}

bool TokenBucket::take(double now, double a_second) {
    if (!has_token(now, a_second)) return false;
    spend();
    return true;
}

std::uint32_t QuotaLeases::max_lent(int nodes) {
    const std::uint32_t base = kTotalUnits / static_cast<std::uint32_t>(std::max(1, nodes));
    return base - base / kNeverLent;
}

QuotaLeases::QuotaLeases(Settings terms, double now)
    : terms_(terms),
      base_(kTotalUnits / static_cast<std::uint32_t>(std::max(1, terms.node_count))),
      most_lent_(max_lent(terms.node_count)),
      began_(now) {}

const QuotaLeases::Of& QuotaLeases::of(QuotaId limit) const {
    static const Of none;
    const auto known = limits_.find(limit);
    return known == limits_.end() ? none : known->second;
}

std::uint32_t QuotaLeases::largest(const Leases& leases, double now) {
    std::uint32_t most = 0;
    for (const Lease& l : leases) {
        if (now < l.until) most = std::max(most, l.crumbs);
    }
    return most;
}

double QuotaLeases::longest(const Leases& leases) {
    double until = -1e9;
    for (const Lease& l : leases) until = std::max(until, l.until);
    return until;
}

std::uint32_t QuotaLeases::sum(const std::map<int, Leases>& leases, double now) {
    std::uint32_t all = 0;
    for (const auto& [node, with] : leases) all += largest(with, now);
    return all;
}

std::uint32_t QuotaLeases::own(const Of& of, double now) const {
    // What an earlier life of this node lent may still be in use.
    const std::uint32_t earlier = now - began_ < kLeaseDuration * kClocksApart ? most_lent_ : 0;
    return base_ - std::min(base_, std::max(sum(of.lent, now), earlier));
}

std::uint32_t QuotaLeases::share(QuotaId limit, double now) const {
    return own(of(limit), now) + sum(of(limit).borrowed, now);
}

void QuotaLeases::set_demand(double now, QuotaId limit, double crumbs) {
    Of& o = limits_[limit];
    o.need = std::clamp(crumbs, 0.0, double{kTotalUnits});
    o.needed_at = now;
}

// NOLINTNEXTLINE(readability-function-cognitive-complexity): see ROADMAP
std::vector<QuotaLeases::OutgoingRequest> QuotaLeases::tick(double now, const std::vector<int>& others,
                                                            double draw) {
    std::vector<OutgoingRequest> asks;
    if (now - ticked_ < kAskEvery) return asks;
    ticked_ = now;
    std::erase_if(pending_, [now](const Pending& p) { return now - p.sent > kLeaseDuration; });
    for (auto& [l, o] : limits_) {
        for (auto* leases : {&o.lent, &o.borrowed}) {
            for (auto& [node, with] : *leases)
                std::erase_if(with, [now](const Lease& lease) { return now >= lease.until; });
            std::erase_if(*leases, [](const auto& entry) { return entry.second.empty(); });
        }
        if (now - o.needed_at > kNeedKept) o.need = 0;
        const double want = o.need * kHeadroom - own(o, now);
        if (want < kLeastAsked * base_) continue;
        // Those that lend already are asked for the same again in time, of what is still needed; what is then
        // short, of some drawn by chance, lenders among them: what was enough once may not be all that they
        // can spare.
        double left = want;
        std::set<int> asked;
        for (const auto& [node, with] : o.borrowed) {
            const double keep = std::min(left, static_cast<double>(largest(with, now)));
            left -= keep;
            if (longest(with) - now >= kAskAgain || keep < 1) continue;
            asks.push_back({node, {l, static_cast<std::uint32_t>(keep)}, true});
            asked.insert(node);
        }
        if (left < kLeastAsked * base_) continue;
        const auto first = static_cast<std::size_t>(draw * static_cast<double>(others.size()));
        std::size_t more = 0;
        for (std::size_t n = 0; n < others.size() && more < kAskMore && left >= 1; ++n) {
            const int other = others[(first + n) % others.size()];
            const auto lends = o.borrowed.find(other);
            const std::uint32_t held = lends == o.borrowed.end() ? 0 : largest(lends->second, now);
            if (held >= most_lent_ || !asked.insert(other).second) continue;
            double& asked_at = o.asked_more.try_emplace(other, -1e9).first->second;
            if (now - asked_at < kMoreAgain) continue;
            asked_at = now;
            const std::uint32_t crumbs = std::min(held + static_cast<std::uint32_t>(left), most_lent_);
            asks.push_back({other, {l, crumbs}, false});
            left -= crumbs - held;
            ++more;
        }
    }
    return asks;
}

void QuotaLeases::on_request_sent(int to, const LeaseRequest& want, std::uint32_t number, double now) {
    if (pending_.size() >= kPendingMost) pending_.erase(pending_.begin());
    pending_.push_back({to, number, want.quota, want.units, now});
}

// Only of its own: what it was lent itself is another's. The lease runs here from now, there from before.
LeaseGrant QuotaLeases::on_request(double now, int from, std::uint32_t number, const LeaseRequest& want) {
    LeaseGrant g{want.quota, 0, number};
    const auto known = limits_.find(want.quota);
    if (known == limits_.end()) return g;
    Of& o = known->second;
    const std::uint32_t held = o.lent.contains(from) ? largest(o.lent[from], now) : 0;
    const std::uint32_t lent =
        std::max(sum(o.lent, now), now - began_ < kLeaseDuration * kClocksApart ? most_lent_ : 0);
    const double need = now - o.needed_at > kNeedKept ? 0 : o.need * kHeadroom;
    const double free = std::min(static_cast<double>(most_lent_) - lent, base_ - lent - need);
    // Whose own need has grown gives back nothing before its time, but lends no more of it again.
    const double most = free >= 0 ? held + free : std::max(0.0, held + free);
    g.units = static_cast<std::uint32_t>(std::min<double>(want.units, most));
    if (g.units > 0) o.lent[from].push_back({g.units, now + kLeaseDuration * kClocksApart});
    return g;
}

void QuotaLeases::on_grant(double now, int from, const LeaseGrant& grant) {
    const auto asked = std::find_if(pending_.begin(), pending_.end(), [&](const Pending& p) {
        return p.to == from && p.number == grant.request_sequence && p.limit == grant.quota;
    });
    if (asked == pending_.end()) return;  // never asked, or answered already, or long ago
    const Pending p = *asked;
    pending_.erase(asked);
    // No more than was asked for, nor than one node may lend: a peer that claims more gives that.
    const std::uint32_t crumbs = std::min({grant.units, p.crumbs, most_lent_});
    const double until = p.sent + kLeaseDuration;
    if (crumbs > 0 && now < until) limits_[p.limit].borrowed[from].push_back({crumbs, until});
}

void QuotaLeases::on_new_incarnation(int node) {
    std::erase_if(pending_, [node](const Pending& p) { return p.to == node; });
}

QuotaLeases::View QuotaLeases::view(QuotaId limit, double now) const {
    const Of& o = of(limit);
    const auto part_of = [](double crumbs) { return crumbs / kTotalUnits; };
    return {part_of(own(o, now)), part_of(sum(o.lent, now)),           part_of(sum(o.borrowed, now)),
            part_of(o.need),      static_cast<int>(o.borrowed.size()), static_cast<int>(o.lent.size())};
}

}  // namespace brookrelay::gossip
