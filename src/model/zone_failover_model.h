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
    enum Action {
        no_fault,
        zone_toggles,
        reports_lost,
        node_receives_nothing,
        node_sends_nothing,
        old_report_repeated,
        node_restarts,
        node_paused,
        action_count
    };
    static constexpr double kStepSeconds = 0.5;
    static constexpr int kMaxRecoverySteps = 80;
    static const std::vector<std::string>& action_names() {
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
    SmallZones(bool has_faulty_node, bool lost) : has_faulty_node_(has_faulty_node) {
        for (int n = 0; n < 3; ++n) nodes_.push_back(gossip::ZoneFailover({n, 0, 2, 4, {}}, 0));
        if (lost) step(zone_toggles);
        for (int n = 0; lost && n < 4; ++n) step(no_fault);
    }
    // Returns the violated invariant, or an empty string.
    // NOLINTNEXTLINE(readability-function-cognitive-complexity): see ROADMAP
    std::string step(int action) {
        now_ += kStepSeconds;
        if (action == zone_toggles) {
            zone_is_up_ = !zone_is_up_;
            toggled_at_ = now_;
        }
        if (action == node_restarts) {
            nodes_[0] = gossip::ZoneFailover({0, 0, 2, 4, {}}, now_);
            zone_changes_[0] = {1, 1, 0};
        }
        if (action == reports_lost || action == node_receives_nothing || action == node_sends_nothing ||
            action == node_restarts || action == node_paused || action == old_report_repeated)
            last_fault_at_ = now_;
        const std::vector<gossip::ZoneReport> old_reports = action == old_report_repeated
                                                                ? nodes_[1].reports(now_ - kStepSeconds)
                                                                : std::vector<gossip::ZoneReport>{};
        for (int n = 0; n < 3; ++n) {
            if (action == node_paused && n == 0) continue;
            gossip::ZoneFailover& node = nodes_[at(n)];
            const gossip::ZoneFailover::Change& change = zone_changes_[at(n)];
            node.on_attempt_finished(now_, 0, 1, gossip::ZoneAttempt::healthy);
            const bool sends_attempts = change.weight > 0 || change.probe_interval < 10;
            const bool is_faulty = has_faulty_node_ && n == 2;
            for (int k = 0; sends_attempts && k < 3; ++k)
                node.on_attempt_finished(
                    now_, 1, static_cast<gossip::ServerKey>(10 + k),
                    zone_is_up_ && !is_faulty ? gossip::ZoneAttempt::healthy : gossip::ZoneAttempt::silent);
        }
        if (action == node_paused) nodes_[0].on_process_pause(now_);
        for (int from = 0; from < 3; ++from) {
            const std::vector<gossip::ZoneReport> all = nodes_[at(from)].reports(now_);
            const gossip::Stamp stamp{1, ++sequence_number_};
            for (int to = 0; to < 3; ++to) {
                const bool lost = action == reports_lost || (action == node_receives_nothing && to == 0) ||
                                  (action == node_sends_nothing && from == 0) ||
                                  (action == node_paused && (from == 0 || to == 0));
                if (to != from && !lost) nodes_[at(to)].on_reports(now_, from, stamp, all, 0);
            }
        }
        // An old report of one node arrives again after its newer one.
        if (action == old_report_repeated)
            nodes_[0].on_reports(now_, 1, {1, sequence_number_ - 5}, old_reports, kStepSeconds);
        for (int n = 0; n < 3; ++n) {
            const double before = zone_changes_[at(n)].weight;
            for (const gossip::ZoneFailover::Change& change :
                 nodes_[at(n)].tick(now_, {0, 1, 2}, static_cast<std::int64_t>(now_ / 2))) {
                if (change.zone == 1) zone_changes_[at(n)] = change;
            }
            const bool fails_over = before > 0 && zone_changes_[at(n)].weight <= 0;
            // No node may fail over from a zone that has been up for longer than any report is kept.
            if (fails_over && zone_is_up_ && now_ - toggled_at_ > 3 + 2 * kStepSeconds &&
                !(has_faulty_node_ && n == 2))
                return "failed over from a zone that responds, at node " + std::to_string(n);
            if (zone_changes_[at(n)].weight > 1) return "a zone weight above 1";
        }
        // While the nodes return to the zone, no weight is more than four times another one (two ramp steps),
        // once four seconds have passed since the last fault and the last change of the zone.
        double least = 1, most = 0;
        for (int n = 0; n < (has_faulty_node_ ? 2 : 3); ++n)
            least = std::min(least, zone_changes_[at(n)].weight),
            most = std::max(most, zone_changes_[at(n)].weight);
        if (zone_is_up_ && now_ - last_fault_at_ > 4 && now_ - toggled_at_ > 4 && least > 0 &&
            most / least > 4)
            return "one node ramps up alone";
        return {};
    }
    bool has_recovered() const {
        for (int n = 0; n < (has_faulty_node_ ? 2 : 3); ++n) {
            if (zone_is_up_ ? zone_changes_[at(n)].weight < 1 : zone_changes_[at(n)].weight > 0) return false;
        }
        return true;
    }
    bool zone_is_up() const { return zone_is_up_; }

  private:
    static std::size_t at(int n) { return static_cast<std::size_t>(n); }
    bool has_faulty_node_;
    bool zone_is_up_ = true;
    double now_ = 0, toggled_at_ = -100, last_fault_at_ = -100;
    std::uint32_t sequence_number_ = 0;
    std::vector<gossip::ZoneFailover> nodes_;
    std::array<gossip::ZoneFailover::Change, 3> zone_changes_{gossip::ZoneFailover::Change{1, 1, 0},
                                                              gossip::ZoneFailover::Change{1, 1, 0},
                                                              gossip::ZoneFailover::Change{1, 1, 0}};
};

}  // namespace brookrelay::model
