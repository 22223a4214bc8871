// Parts of limits that belong to the whole fleet, lent from node to node where the demand is. Each node owns
// an even part; what it does not need it lends for a short time, and then has it back whether anybody says so
// or not. I/O-free. It owns the leases of this node, both ways; it never gives what it was itself lent, and
// never counts on another clock: a lease begins, for the one that took it, when that one asked, which was
// before it was given.
//
// The sum over the fleet never exceeds the whole, whatever is lost, doubled, late or said out of order,
// whoever dies, stands still or starts anew: docs/limits.md has the reasons, the bounds and the runs.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <vector>

#include "gossip/messages.h"

namespace brookrelay::gossip {

constexpr std::uint32_t kTotalUnits = 1'000'000;  // crumbs: parts are whole numbers, so that sums are exact
constexpr double kLeaseDuration = 3.0;            // s

// What one node does with its part of a limit that is so many a second for the whole fleet.
class TokenBucket {
  public:
    explicit TokenBucket(double tokens = 1) : tokens_(tokens) {}
    void on_demand(double now);  // whether it may or not: this is the demand
    // Whether one more may, at so many a second; what is saved up is a quarter of a second's, and one at the
    // most where that is less.
    bool has_token(double now, double rate);
    void spend() { tokens_ -= 1; }
    bool take(double now, double rate);  // both
    double demand(double now) const;     // asked a second, over the last two

  private:
    static constexpr std::int64_t kBuckets = 8;
    static constexpr double kBucketSeconds = 0.25;
    std::array<int, kBuckets> demand_buckets_{};
    std::int64_t newest_bucket_ = 0;
    double tokens_, filled_at_ = -1e9;
};

class QuotaLeases {
  public:
    struct Settings {
        int node_index = 0;
        int node_count = 1;
    };
    struct OutgoingRequest {
        int to = 0;
        LeaseRequest request;
        bool is_renewal = false;  // what it lends already; else more than that
    };
    struct View {  // for operators, in parts of the whole
        double own = 0, lent = 0, borrowed = 0, demand = 0;
        int lenders = 0, borrowers = 0;
    };

    // At a start nothing is known of what an earlier life lent: until that has lapsed only what is never lent
    // is used.
    QuotaLeases(Settings settings, double now);

    // What this node could use now, in crumbs of the whole; told each time it is known anew. Of a limit that
    // it was never told of here it lends nothing.
    void set_demand(double now, QuotaId quota, double units);
    // Whom to ask for how much; `others` are there, `draw` picks among them.
    std::vector<OutgoingRequest> tick(double now, const std::vector<int>& others, double draw);
    void on_request_sent(int to, const LeaseRequest& request, std::uint32_t sequence,
                         double now);  // it went out under this number
    // What is granted of what `from` asked under a number; nothing: 0 crumbs.
    LeaseGrant on_request(double now, int from, std::uint32_t sequence, const LeaseRequest& request);
    void on_grant(double now, int from, const LeaseGrant& grant);
    void on_new_incarnation(int node);  // its grants were another's
    // As at a start: another process of this node may still use, or have lent, what is this node's.
    void reset(double now) { started_at_ = now; }

    std::uint32_t share(QuotaId quota, double now) const;  // in force, crumbs
    View view(QuotaId quota, double now) const;
    static std::uint32_t max_lent(int nodes);  // by one node

  private:
    struct Lease {
        std::uint32_t units = 0;
        double expires_at = 0;
    };
    using Leases = std::vector<Lease>;  // with one node: the largest that is in force counts, never their sum
    struct QuotaState {                 // a limit
        double demand = 0;
        double demand_set_at = -1e9;
        std::map<int, Leases> lent, borrowed;
        std::map<int, double> last_new_request;  // when each was last asked for more than it lends
    };
    struct Pending {
        int to = 0;
        std::uint32_t sequence = 0;
        QuotaId quota = 0;
        std::uint32_t units = 0;
        double sent_at = 0;
    };

    static std::uint32_t max_active(const Leases& leases, double now);
    static double latest_expiry(const Leases& leases);
    static std::uint32_t sum_active(const std::map<int, Leases>& leases, double now);
    std::uint32_t own_share(const QuotaState& state, double now) const;  // less what is lent
    const QuotaState& find(QuotaId quota) const;

    Settings settings_;
    std::uint32_t own_units_, max_lent_units_;
    double started_at_;
    double last_tick_ = -1e9;
    std::map<QuotaId, QuotaState> quotas_;  // that this node was ever told of: what it lent of one stays lent
    std::vector<Pending> pending_;
};

}  // namespace brookrelay::gossip
