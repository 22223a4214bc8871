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
    bool has_token(double now, double a_second);
    void spend() { tokens_ -= 1; }
    bool take(double now, double a_second);  // both
    double demand(double now) const;         // asked a second, over the last two

  private:
    static constexpr std::int64_t kBuckets = 8;
    static constexpr double kBucket = 0.25;
    std::array<int, kBuckets> asked_{};
    std::int64_t turn_ = 0;
    double tokens_, filled_ = -1e9;
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
    QuotaLeases(Settings terms, double now);

    // What this node could use now, in crumbs of the whole; told each time it is known anew. Of a limit that
    // it was never told of here it lends nothing.
    void set_demand(double now, QuotaId limit, double crumbs);
    // Whom to ask for how much; `others` are there, `draw` picks among them.
    std::vector<OutgoingRequest> tick(double now, const std::vector<int>& others, double draw);
    void on_request_sent(int to, const LeaseRequest& want, std::uint32_t number,
                         double now);  // it went out under this number
    // What is granted of what `from` asked under a number; nothing: 0 crumbs.
    LeaseGrant on_request(double now, int from, std::uint32_t number, const LeaseRequest& want);
    void on_grant(double now, int from, const LeaseGrant& grant);
    void on_new_incarnation(int node);  // its grants were another's
    // As at a start: another process of this node may still use, or have lent, what is this node's.
    void reset(double now) { began_ = now; }

    std::uint32_t share(QuotaId limit, double now) const;  // in force, crumbs
    View view(QuotaId limit, double now) const;
    static std::uint32_t max_lent(int nodes);  // by one node

  private:
    struct Lease {
        std::uint32_t crumbs = 0;
        double until = 0;
    };
    using Leases = std::vector<Lease>;  // with one node: the largest that is in force counts, never their sum
    struct Of {                         // a limit
        double need = 0;
        double needed_at = -1e9;
        std::map<int, Leases> lent, borrowed;
        std::map<int, double> asked_more;  // when each was last asked for more than it lends
    };
    struct Pending {
        int to = 0;
        std::uint32_t number = 0;
        QuotaId limit = 0;
        std::uint32_t crumbs = 0;
        double sent = 0;
    };

    static std::uint32_t largest(const Leases& leases, double now);
    static double longest(const Leases& leases);
    static std::uint32_t sum(const std::map<int, Leases>& leases, double now);
    std::uint32_t own(const Of& of, double now) const;  // less what is lent
    const Of& of(QuotaId limit) const;

    Settings terms_;
    std::uint32_t base_, most_lent_;
    double began_;
    double ticked_ = -1e9;
    std::map<QuotaId, Of> limits_;  // that this node was ever told of: what it lent of one stays lent
    std::vector<Pending> pending_;
};

}  // namespace brookrelay::gossip
