// A model for model_checker.h: three nodes that share one quota by leases.
#pragma once

#include <array>
#include <string>
#include <utility>
#include <vector>

#include "gossip/quota_leases.h"

namespace brookrelay::model {

// Three nodes share one quota, and one of them, at first node 0, needs all of it. A step takes 0.75 s, so a
// lease expires four steps after it was requested.
class QuotaLeaseModel {
  public:
    enum Action {
        no_fault,
        demand_moves,
        all_messages_lost,
        all_messages_late,
        grants_late,
        all_messages_duplicated,
        lender_restarts,
        borrower_restarts,
        borrower_paused,
        one_node_cut_off,
        action_count
    };
    static constexpr double kStepSeconds = 0.75;
    static constexpr int kMaxRecoverySteps = 40;
    static const std::vector<std::string>& action_names() {
        static const std::vector<std::string> names{"nothing",
                                                    "the demand moves to another node",
                                                    "all messages lost",
                                                    "all messages late",
                                                    "grants late",
                                                    "all messages duplicated",
                                                    "a lender restarts",
                                                    "the borrower restarts",
                                                    "the borrower is paused",
                                                    "node 2 cut off"};
        return names;
    }
    QuotaLeaseModel() {
        for (int n = 0; n < 3; ++n) nodes_.push_back(gossip::QuotaLeases({n, 3}, -10));
        for (int n = 0; n < 2; ++n) step(no_fault);
    }
    // NOLINTNEXTLINE(readability-function-cognitive-complexity): see ROADMAP
    std::string step(int action) {
        now_ += kStepSeconds;
        if (action == demand_moves) demanding_node_ = (demanding_node_ + 1) % 3;
        if (action == lender_restarts) restart((demanding_node_ + 1) % 3);
        if (action == borrower_restarts) restart(demanding_node_);
        // Delayed messages arrive in this step, before its own messages but after the ticks of all nodes.
        std::vector<Message> messages = std::exchange(delayed_messages_, {});
        if (action == borrower_paused) paused_node_ = demanding_node_;
        for (int n = 0; n < 3; ++n) {
            if (n == paused_node_) continue;
            nodes_[at(n)].set_demand(now_, 0, n == demanding_node_ ? gossip::kTotalUnits : 0);
            std::vector<int> others;
            for (int o = 0; o < 3; ++o) {
                if (o != n) others.push_back(o);
            }
            for (const gossip::QuotaLeases::OutgoingRequest& a : nodes_[at(n)].tick(now_, others, 0)) {
                const std::uint32_t sequence_number = ++sequence_numbers_[at(n)];
                nodes_[at(n)].on_request_sent(a.to, a.request, sequence_number, now_);
                messages.push_back({n, a.to, true, incarnations_[at(n)], sequence_number, a.request, {}});
            }
        }
        for (int round = 0; round < 2; ++round) {  // requests, then their grants
            std::vector<Message> grants;
            for (const Message& m : messages) {
                const bool is_lost = action == all_messages_lost ||
                                     (action == one_node_cut_off && (m.from == 2 || m.to == 2)) ||
                                     m.to == paused_node_ || m.from == paused_node_;
                if (is_lost && m.to != paused_node_) continue;
                // A message to a paused node stays in its socket; a late one is in transit.
                if (m.to == paused_node_ || action == all_messages_late ||
                    (action == grants_late && !m.is_request)) {
                    delayed_messages_.push_back(m);
                    continue;
                }
                for (int copies = action == all_messages_duplicated ? 2 : 1; copies > 0; --copies) {
                    if (m.is_request) {
                        const gossip::LeaseGrant g =
                            nodes_[at(m.to)].on_request(now_, m.from, m.sequence_number, m.request);
                        grants.push_back({m.to, m.from, false, m.incarnation, m.sequence_number, {}, g});
                    } else if (m.incarnation == incarnations_[at(m.to)]) {
                        // The header names the incarnation that sent the request; grants to an earlier one
                        // are ignored.
                        nodes_[at(m.to)].on_grant(now_, m.from, m.grant);
                    }
                }
            }
            messages = std::move(grants);
        }
        for (const Message& m : messages) delayed_messages_.push_back(m);
        if (action != borrower_paused) paused_node_ = -1;
        return exceeds_quota() ? "the shares in force exceed the quota" : "";
    }
    bool exceeds_quota() const {
        for (const double offset : {0.0, 0.2, 0.5, 0.74}) {
            std::uint64_t total = 0;
            for (const gossip::QuotaLeases& n : nodes_) total += n.share(0, now_ + offset);
            if (total > gossip::kTotalUnits) return true;
        }
        return false;
    }
    bool has_recovered() const {
        return nodes_[at(demanding_node_)].share(0, now_) >= 0.9 * gossip::kTotalUnits;
    }

  private:
    struct Message {
        int from, to;
        bool is_request;
        int incarnation;
        std::uint32_t sequence_number;
        gossip::LeaseRequest request;
        gossip::LeaseGrant grant;
    };
    static std::size_t at(int n) { return static_cast<std::size_t>(n); }
    void restart(int n) {
        nodes_[at(n)] = gossip::QuotaLeases({n, 3}, now_);
        sequence_numbers_[at(n)] = 0;
        ++incarnations_[at(n)];
        for (int o = 0; o < 3; ++o) {
            if (o != n) nodes_[at(o)].on_new_incarnation(n);
        }
    }
    double now_ = 0;
    int demanding_node_ = 0, paused_node_ = -1;
    std::vector<gossip::QuotaLeases> nodes_;
    std::array<std::uint32_t, 3> sequence_numbers_{};
    std::array<int, 3> incarnations_{1, 1, 1};
    std::vector<Message> delayed_messages_;
};

}  // namespace brookrelay::model
