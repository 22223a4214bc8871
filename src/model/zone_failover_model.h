// A model for model_checker.h: three nodes and a zone from which they may fail over.
#pragma once

#include <algorithm>
#include <array>
#include <string>
#include <vector>

#include "gossip/zone_failover.h"

namespace brookrelay::model {

// Three nodes of zone 0 that use zone 1, in steps of half a second. In each step one action happens; then
// each node sends attempts as its zone weight allows and gossips its reports, and reports that are not lost
// arrive.
class SmallZones {
  public:
    enum Act {
        nothing,
        zone_turns,
        words_lost,
        one_deaf,
        one_mute,
        words_late,
        one_restarts,
        one_frozen,
        acts
    };
    static constexpr double kLong = 0.5;
    static constexpr int kRest = 80;
    static const std::vector<std::string>& names() {
        static const std::vector<std::string> all{"nothing",
                                                  "the zone fails or recovers",
                                                  "all reports lost",
                                                  "node 0 receives nothing",
                                                  "nothing from node 0 arrives",
                                                  "an old report arrives again",
                                                  "node 0 restarts",
                                                  "node 0 is paused"};
        return all;
    }
    SmallZones(bool liar, bool lost) : liar_(liar) {
        for (int n = 0; n < 3; ++n) nodes_.push_back(gossip::ZoneFailover({n, 0, 2, 4, {}}, 0));
        if (lost) step(zone_turns);
        for (int n = 0; lost && n < 4; ++n) step(nothing);
    }
    // Returns the violated invariant, or an empty string.
    // NOLINTNEXTLINE(readability-function-cognitive-complexity): see ROADMAP
    std::string step(int act) {
        now_ += kLong;
        if (act == zone_turns) {
            up_ = !up_;
            turned_ = now_;
        }
        if (act == one_restarts) {
            nodes_[0] = gossip::ZoneFailover({0, 0, 2, 4, {}}, now_);
            orders_[0] = {1, 1, 0};
        }
        if (act == words_lost || act == one_deaf || act == one_mute || act == one_restarts ||
            act == one_frozen || act == words_late)
            disturbed_ = now_;
        const std::vector<gossip::ZoneReport> late =
            act == words_late ? nodes_[1].reports(now_ - kLong) : std::vector<gossip::ZoneReport>{};
        for (int n = 0; n < 3; ++n) {
            if (act == one_frozen && n == 0) continue;
            gossip::ZoneFailover& z = nodes_[at(n)];
            const gossip::ZoneFailover::Change& o = orders_[at(n)];
            z.on_attempt_finished(now_, 0, 1, gossip::ZoneAttempt::healthy);
            const bool asks = o.weight > 0 || o.probe_interval < 10;
            const bool lies = liar_ && n == 2;
            for (int k = 0; asks && k < 3; ++k)
                z.on_attempt_finished(
                    now_, 1, static_cast<gossip::ServerKey>(10 + k),
                    up_ && !lies ? gossip::ZoneAttempt::healthy : gossip::ZoneAttempt::silent);
        }
        if (act == one_frozen) nodes_[0].on_process_pause(now_);
        for (int from = 0; from < 3; ++from) {
            const std::vector<gossip::ZoneReport> all = nodes_[at(from)].reports(now_);
            const gossip::Stamp stamp{1, ++number_};
            for (int to = 0; to < 3; ++to) {
                const bool lost = act == words_lost || (act == one_deaf && to == 0) ||
                                  (act == one_mute && from == 0) ||
                                  (act == one_frozen && (from == 0 || to == 0));
                if (to != from && !lost) nodes_[at(to)].on_reports(now_, from, stamp, all, 0);
            }
        }
        // An old report of one node arrives again after its newer one.
        if (act == words_late) nodes_[0].on_reports(now_, 1, {1, number_ - 5}, late, kLong);
        for (int n = 0; n < 3; ++n) {
            const double before = orders_[at(n)].weight;
            for (const gossip::ZoneFailover::Change& o :
                 nodes_[at(n)].tick(now_, {0, 1, 2}, static_cast<std::int64_t>(now_ / 2))) {
                if (o.zone == 1) orders_[at(n)] = o;
            }
            const bool leaves = before > 0 && orders_[at(n)].weight <= 0;
            // No node may fail over from a zone that has been up for longer than any report is kept.
            if (leaves && up_ && now_ - turned_ > 3 + 2 * kLong && !(liar_ && n == 2))
                return "failed over from a zone that responds, at node " + std::to_string(n);
            if (orders_[at(n)].weight > 1) return "a zone weight above 1";
        }
        // While the nodes return to the zone, no weight is more than four times another one (two ramp steps),
        // once four seconds have passed since the last fault.
        double least = 1, most = 0;
        for (int n = 0; n < (liar_ ? 2 : 3); ++n)
            least = std::min(least, orders_[at(n)].weight), most = std::max(most, orders_[at(n)].weight);
        if (up_ && now_ - disturbed_ > 4 && now_ - turned_ > 4 && least > 0 && most / least > 4)
            return "one node ramps up alone";
        return {};
    }
    bool at_rest() const {
        for (int n = 0; n < (liar_ ? 2 : 3); ++n) {
            if (up_ ? orders_[at(n)].weight < 1 : orders_[at(n)].weight > 0) return false;
        }
        return true;
    }
    bool up() const { return up_; }

  private:
    static std::size_t at(int n) { return static_cast<std::size_t>(n); }
    bool liar_;
    bool up_ = true;
    double now_ = 0, turned_ = -100, disturbed_ = -100;
    std::uint32_t number_ = 0;
    std::vector<gossip::ZoneFailover> nodes_;
    std::array<gossip::ZoneFailover::Change, 3> orders_{gossip::ZoneFailover::Change{1, 1, 0},
                                                        gossip::ZoneFailover::Change{1, 1, 0},
                                                        gossip::ZoneFailover::Change{1, 1, 0}};
};

}  // namespace brookrelay::model
