// Shares of fleet-wide quotas, leased from node to node according to demand. Each node owns an equal share;
// it lends what it does not need for a short time, after which the units are its own again without any
// message. Performs no I/O. Holds the leases that this node granted and received; it never lends borrowed
// units, and never relies on another node's clock: for the borrower, a lease begins when the request was
// sent, which is before it was granted.
//
// The sum over the fleet never exceeds the total, whatever messages are lost, duplicated, delayed or
// reordered, and whichever node crashes, pauses or restarts: docs/limits.md has the reasons, the bounds and
// the runs.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <vector>

#include "gossip/messages.h"

namespace brookrelay::gossip {

constexpr std::uint32_t kTotalUnits = 1'000'000;  // of a quota; shares are integers, so that sums are exact
constexpr double kLeaseDuration = 3.0;            // s

// Rate limiter for one node's share of a fleet-wide rate; also measures the demand for it.
class TokenBucket {
  public:
    explicit TokenBucket(double tokens = 1) : tokens_(tokens) {}
    void on_demand(double now);  // counts a request, whether it is admitted or not
    // Refills at `rate` tokens per second and returns whether a token is available. The capacity is a quarter
    // of a second's refill, but at least one token.
    bool has_token(double now, double rate);
    void spend() { tokens_ -= 1; }
    bool take(double now, double rate);  // spends a token if one is available
    double demand(double now) const;     // requests per second, over the last 2 s

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
        bool is_renewal = false;  // of units that `to` lends already; otherwise a request for more
    };
    struct View {  // for operators, as fractions of the quota
        double own = 0, lent = 0, borrowed = 0, demand = 0;
        int lenders = 0, borrowers = 0;
    };

    // Nothing is known of what an earlier process of this node lent: until those leases have expired, only
    // the units that are never lent are used.
    QuotaLeases(Settings settings, double now);

    // Sets the units of a quota that this node could use now; called on each new measurement. A quota that
    // was never set here is not lent.
    void set_demand(double now, QuotaId quota, double units);
    // Returns the lease requests that are due. `others` are the present nodes, `draw` in [0, 1) selects among
    // them.
    std::vector<OutgoingRequest> tick(double now, const std::vector<int>& others, double draw);
    // `sequence` is that of the datagram that carried the request.
    void on_request_sent(int to, const LeaseRequest& request, std::uint32_t sequence, double now);
    // Returns the units that are granted to `from`, 0 if none.
    LeaseGrant on_request(double now, int from, std::uint32_t sequence, const LeaseRequest& request);
    void on_grant(double now, int from, const LeaseGrant& grant);
    void on_new_incarnation(int node);  // pending requests to its earlier process are void
    // As at a start: another process of this node may still use or have lent this node's units.
    void reset(double now) { started_at_ = now; }

    std::uint32_t share(QuotaId quota, double now) const;  // units usable now
    View view(QuotaId quota, double now) const;
    static std::uint32_t max_lent(int nodes);  // units, by one node

  private:
    struct Lease {
        std::uint32_t units = 0;
        double expires_at = 0;
    };
    using Leases = std::vector<Lease>;  // with one node: the largest unexpired one counts, never their sum
    struct QuotaState {
        double demand = 0;
        double demand_set_at = -1e9;
        std::map<int, Leases> lent, borrowed;
        std::map<int, double>
            last_new_request;  // by node: when it was last asked for more units than it lends
    };
    // A request without an answer so far.
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
    std::uint32_t own_share(const QuotaState& state, double now) const;  // own units less those that are lent
    const QuotaState& find(QuotaId quota) const;

    Settings settings_;
    std::uint32_t own_units_, max_lent_units_;
    double started_at_;
    double last_tick_ = -1e9;
    std::map<QuotaId, QuotaState>
        quotas_;  // all that were ever set here, since units of any may still be lent
    std::vector<Pending> pending_;
};

}  // namespace brookrelay::gossip
