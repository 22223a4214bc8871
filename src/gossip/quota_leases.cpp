#include "gossip/quota_leases.h"

#include <algorithm>
#include <set>

namespace brookrelay::fleet {
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

void Spending::asked(double now) {
    const auto bucket = static_cast<std::int64_t>(now / kBucket);
    for (std::int64_t b = std::max(turn_ + 1, bucket - kBuckets + 1); b <= bucket; ++b)
        asked_[static_cast<std::size_t>(b % kBuckets)] = 0;
    turn_ = std::max(turn_, bucket);
    ++asked_[static_cast<std::size_t>(turn_ % kBuckets)];
}

double Spending::rate(double now) const {
    const auto bucket = static_cast<std::int64_t>(now / kBucket);
    int sum = 0;
    for (std::int64_t b = std::max(turn_ - kBuckets + 1, bucket - kBuckets + 1); b <= turn_; ++b) {
        if (b >= 0) sum += asked_[static_cast<std::size_t>(b % kBuckets)];
    }
    return sum / (kBuckets * kBucket);
}

// After it stood still a node has no more saved up than ever: what its part was meanwhile may be another's by
// now.
bool Spending::may(double now, double a_second) {
    const double most = std::max(1.0, a_second * kSaved);
    if (filled_ > 0) tokens_ = std::min(tokens_ + std::max(now - filled_, 0.0) * a_second, most);
    filled_ = now;
    return tokens_ >= 1;
}

bool Spending::take(double now, double a_second) {
    if (!may(now, a_second)) return false;
    spend();
    return true;
}

std::uint32_t Limits::most_lent(int nodes) {
    const std::uint32_t base = kWhole / static_cast<std::uint32_t>(std::max(1, nodes));
    return base - base / kNeverLent;
}

Limits::Limits(Terms terms, double now)
    : terms_(terms),
      base_(kWhole / static_cast<std::uint32_t>(std::max(1, terms.nodes))),
      most_lent_(most_lent(terms.nodes)),
      began_(now) {}

const Limits::Of& Limits::of(LimitId limit) const {
    static const Of none;
    const auto known = limits_.find(limit);
    return known == limits_.end() ? none : known->second;
}

std::uint32_t Limits::largest(const Leases& leases, double now) {
    std::uint32_t most = 0;
    for (const Lease& l : leases) {
        if (now < l.until) most = std::max(most, l.crumbs);
    }
    return most;
}

double Limits::longest(const Leases& leases) {
    double until = -1e9;
    for (const Lease& l : leases) until = std::max(until, l.until);
    return until;
}

std::uint32_t Limits::sum(const std::map<int, Leases>& leases, double now) {
    std::uint32_t all = 0;
    for (const auto& [node, with] : leases) all += largest(with, now);
    return all;
}

std::uint32_t Limits::own(const Of& of, double now) const {
    // What an earlier life of this node lent may still be in use.
    const std::uint32_t earlier = now - began_ < kLease * kClocksApart ? most_lent_ : 0;
    return base_ - std::min(base_, std::max(sum(of.lent, now), earlier));
}

std::uint32_t Limits::part(LimitId limit, double now) const {
    return own(of(limit), now) + sum(of(limit).borrowed, now);
}

void Limits::needs(double now, LimitId limit, double crumbs) {
    Of& o = limits_[limit];
    o.need = std::clamp(crumbs, 0.0, double{kWhole});
    o.needed_at = now;
}

std::vector<Limits::Ask> Limits::tick(double now, const std::vector<int>& others, double draw) {
    std::vector<Ask> asks;
    if (now - ticked_ < kAskEvery) return asks;
    ticked_ = now;
    std::erase_if(pending_, [now](const Pending& p) { return now - p.sent > kLease; });
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

void Limits::asked(int to, const Want& want, std::uint32_t number, double now) {
    if (pending_.size() >= kPendingMost) pending_.erase(pending_.begin());
    pending_.push_back({to, number, want.limit, want.crumbs, now});
}

// Only of its own: what it was lent itself is another's. The lease runs here from now, there from before.
Grant Limits::wanted(double now, int from, std::uint32_t number, const Want& want) {
    Grant g{want.limit, 0, number};
    const auto known = limits_.find(want.limit);
    if (known == limits_.end()) return g;
    Of& o = known->second;
    const std::uint32_t held = o.lent.contains(from) ? largest(o.lent[from], now) : 0;
    const std::uint32_t lent =
        std::max(sum(o.lent, now), now - began_ < kLease * kClocksApart ? most_lent_ : 0);
    const double need = now - o.needed_at > kNeedKept ? 0 : o.need * kHeadroom;
    const double free = std::min(static_cast<double>(most_lent_) - lent, base_ - lent - need);
    // Whose own need has grown gives back nothing before its time, but lends no more of it again.
    const double most = free >= 0 ? held + free : std::max(0.0, held + free);
    g.crumbs = static_cast<std::uint32_t>(std::min<double>(want.crumbs, most));
    if (g.crumbs > 0) o.lent[from].push_back({g.crumbs, now + kLease * kClocksApart});
    return g;
}

void Limits::granted(double now, int from, const Grant& grant) {
    const auto asked = std::find_if(pending_.begin(), pending_.end(), [&](const Pending& p) {
        return p.to == from && p.number == grant.of && p.limit == grant.limit;
    });
    if (asked == pending_.end()) return;  // never asked, or answered already, or long ago
    const Pending p = *asked;
    pending_.erase(asked);
    // No more than was asked for, nor than one node may lend: a peer that claims more gives that.
    const std::uint32_t crumbs = std::min({grant.crumbs, p.crumbs, most_lent_});
    const double until = p.sent + kLease;
    if (crumbs > 0 && now < until) limits_[p.limit].borrowed[from].push_back({crumbs, until});
}

void Limits::new_life(int node) {
    std::erase_if(pending_, [node](const Pending& p) { return p.to == node; });
}

Limits::View Limits::view(LimitId limit, double now) const {
    const Of& o = of(limit);
    const auto part_of = [](double crumbs) { return crumbs / kWhole; };
    return {part_of(own(o, now)), part_of(sum(o.lent, now)),           part_of(sum(o.borrowed, now)),
            part_of(o.need),      static_cast<int>(o.borrowed.size()), static_cast<int>(o.lent.size())};
}

}  // namespace brookrelay::fleet
