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
class ZoneFailoverModel {
  public:
    enum Action {
        no_fault,
        zone_toggles,
        reports_lost,
        cannot_receive,
        cannot_send,
        old_report,
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
    ZoneFailoverModel(bool has_faulty_node, bool lost) : has_faulty_(has_faulty_node) {
        for (int n = 0; n < 3; ++n) nodes_.push_back(gossip::ZoneFailover({n, 0, 2, 4, {}}, 0));
        if (lost) step(zone_toggles);
        for (int n = 0; lost && n < 4; ++n) step(no_fault);
    }
    // Returns the violated invariant, or an empty string.
    // NOLINTNEXTLINE(readability-function-cognitive-complexity): see ROADMAP
    std::string step(int action) {
        now_ += kStepSeconds;
        if (action == zone_toggles) {
            is_up_ = !is_up_;
            toggled_at_ = now_;
        }
        if (action == node_restarts) {
            nodes_[0] = gossip::ZoneFailover({0, 0, 2, 4, {}}, now_);
            changes_[0] = {1, 1, 0};
        }
        if (action == reports_lost || action == cannot_receive || action == cannot_send ||
            action == node_restarts || action == node_paused || action == old_report)
            last_fault_at_ = now_;
        const std::vector<gossip::ZoneReport> old_reports =
            action == old_report ? nodes_[1].reports(now_ - kStepSeconds) : std::vector<gossip::ZoneReport>{};
        for (int n = 0; n < 3; ++n) {
            if (action == node_paused && n == 0) continue;
            gossip::ZoneFailover& node = nodes_[at(n)];
            const gossip::ZoneFailover::Change& change = changes_[at(n)];
            node.on_attempt_finished(now_, 0, 1, gossip::ZoneAttempt::healthy);
            const bool sends_attempts = change.weight > 0 || change.probe_interval < 10;
            const bool is_faulty = has_faulty_ && n == 2;
            for (int k = 0; sends_attempts && k < 3; ++k)
                node.on_attempt_finished(
                    now_, 1, static_cast<gossip::ServerKey>(10 + k),
                    is_up_ && !is_faulty ? gossip::ZoneAttempt::healthy : gossip::ZoneAttempt::silent);
        }
        if (action == node_paused) nodes_[0].on_process_pause(now_);
        for (int from = 0; from < 3; ++from) {
            const std::vector<gossip::ZoneReport> all = nodes_[at(from)].reports(now_);
            const gossip::Stamp stamp{1, ++sequence_};
            for (int to = 0; to < 3; ++to) {
                const bool lost = action == reports_lost || (action == cannot_receive && to == 0) ||
                                  (action == cannot_send && from == 0) ||
                                  (action == node_paused && (from == 0 || to == 0));
                if (to != from && !lost) nodes_[at(to)].on_reports(now_, from, stamp, all, 0);
            }
        }
        // An old report of one node arrives again after its newer one.
        if (action == old_report)
            nodes_[0].on_reports(now_, 1, {1, sequence_ - 5}, old_reports, kStepSeconds);
        for (int n = 0; n < 3; ++n) {
            const double before = changes_[at(n)].weight;
            for (const gossip::ZoneFailover::Change& change :
                 nodes_[at(n)].tick(now_, {0, 1, 2}, static_cast<std::int64_t>(now_ / 2))) {
                if (change.zone == 1) changes_[at(n)] = change;
            }
            const bool fails_over = before > 0 && changes_[at(n)].weight <= 0;
            // No node may fail over from a zone that has been up for longer than any report is kept.
            if (fails_over && is_up_ && now_ - toggled_at_ > 3 + 2 * kStepSeconds && !(has_faulty_ && n == 2))
                return "failed over from a zone that responds, at node " + std::to_string(n);
            if (changes_[at(n)].weight > 1) return "a zone weight above 1";
        }
        // While up, 4 s after the last fault and toggle, correct nodes' weights above 0 are within 4:1.
        double least = 1, most = 0;
        for (int n = 0; n < (has_faulty_ ? 2 : 3); ++n)
            least = std::min(least, changes_[at(n)].weight), most = std::max(most, changes_[at(n)].weight);
        if (is_up_ && now_ - last_fault_at_ > 4 && now_ - toggled_at_ > 4 && least > 0 && most / least > 4)
            return "one node ramps up alone";
        return {};
    }
    bool has_recovered() const {
        for (int n = 0; n < (has_faulty_ ? 2 : 3); ++n) {
            if (is_up_ ? changes_[at(n)].weight < 1 : changes_[at(n)].weight > 0) return false;
        }
        return true;
    }
    bool zone_is_up() const { return is_up_; }

  private:
    static std::size_t at(int n) { return static_cast<std::size_t>(n); }
    bool has_faulty_;
    bool is_up_ = true;
    double now_ = 0, toggled_at_ = -100, last_fault_at_ = -100;
    std::uint32_t sequence_ = 0;
    std::vector<gossip::ZoneFailover> nodes_;
    std::array<gossip::ZoneFailover::Change, 3> changes_{gossip::ZoneFailover::Change{1, 1, 0},
                                                         gossip::ZoneFailover::Change{1, 1, 0},
                                                         gossip::ZoneFailover::Change{1, 1, 0}};
};

}  // namespace brookrelay::model
