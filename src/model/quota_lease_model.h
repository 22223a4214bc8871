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
class SmallLimits {
  public:
    enum Act {
        nothing,
        need_moves,
        all_lost,
        all_late,
        answers_late,
        all_doubled,
        giver_restarts,
        taker_restarts,
        taker_frozen,
        cut_one,
        acts
    };
    static constexpr double kLong = 0.75;
    static constexpr int kRest = 40;
    static const std::vector<std::string>& names() {
        static const std::vector<std::string> all{"nothing",
                                                  "the demand moves to another node",
                                                  "all messages lost",
                                                  "all messages late",
                                                  "grants late",
                                                  "all messages duplicated",
                                                  "a lender restarts",
                                                  "the borrower restarts",
                                                  "the borrower is paused",
                                                  "node 2 cut off"};
        return all;
    }
    SmallLimits() {
        for (int n = 0; n < 3; ++n) nodes_.push_back(gossip::QuotaLeases({n, 3}, -10));
        for (int n = 0; n < 2; ++n) step(nothing);
    }
    // NOLINTNEXTLINE(readability-function-cognitive-complexity): see ROADMAP
    std::string step(int act) {
        now_ += kLong;
        if (act == need_moves) needy_ = (needy_ + 1) % 3;
        if (act == giver_restarts) start((needy_ + 1) % 3);
        if (act == taker_restarts) start(needy_);
        // Delayed messages arrive in this step, before its own messages but after the ticks of all nodes.
        std::vector<Message> in = std::exchange(late_, {});
        if (act == taker_frozen) frozen_ = needy_;
        for (int n = 0; n < 3; ++n) {
            if (n == frozen_) continue;
            nodes_[at(n)].set_demand(now_, 0, n == needy_ ? gossip::kTotalUnits : 0);
            std::vector<int> others;
            for (int o = 0; o < 3; ++o) {
                if (o != n) others.push_back(o);
            }
            for (const gossip::QuotaLeases::OutgoingRequest& a : nodes_[at(n)].tick(now_, others, 0)) {
                const std::uint32_t number = ++numbers_[at(n)];
                nodes_[at(n)].on_request_sent(a.to, a.request, number, now_);
                in.push_back({n, a.to, true, lives_[at(n)], number, a.request, {}});
            }
        }
        for (int round = 0; round < 2; ++round) {  // requests, then their grants
            std::vector<Message> answers;
            for (const Message& m : in) {
                const bool lost = act == all_lost || (act == cut_one && (m.from == 2 || m.to == 2)) ||
                                  m.to == frozen_ || m.from == frozen_;
                if (lost && m.to != frozen_) continue;
                if (m.to == frozen_ || act == all_late ||
                    (act == answers_late &&
                     !m.asks)) {  // It stays in the frozen node's socket, or is in transit.
                    late_.push_back(m);
                    continue;
                }
                for (int copies = act == all_doubled ? 2 : 1; copies > 0; --copies) {
                    if (m.asks) {
                        const gossip::LeaseGrant g =
                            nodes_[at(m.to)].on_request(now_, m.from, m.number, m.want);
                        answers.push_back({m.to, m.from, false, m.life, m.number, {}, g});
                    } else if (m.life ==
                               lives_[at(m.to)]) {  // The header names the incarnation that sent the request.
                        nodes_[at(m.to)].on_grant(now_, m.from, m.grant);
                    }
                }
            }
            in = std::move(answers);
        }
        for (const Message& m : in) late_.push_back(m);
        if (act != taker_frozen) frozen_ = -1;
        return over() ? "the shares in force exceed the quota" : "";
    }
    bool over() const {
        for (const double later : {0.0, 0.2, 0.5, 0.74}) {
            std::uint64_t all = 0;
            for (const gossip::QuotaLeases& n : nodes_) all += n.share(0, now_ + later);
            if (all > gossip::kTotalUnits) return true;
        }
        return false;
    }
    bool at_rest() const { return nodes_[at(needy_)].share(0, now_) >= 0.9 * gossip::kTotalUnits; }

  private:
    struct Message {
        int from, to;
        bool asks;
        int life;
        std::uint32_t number;
        gossip::LeaseRequest want;
        gossip::LeaseGrant grant;
    };
    static std::size_t at(int n) { return static_cast<std::size_t>(n); }
    void start(int n) {
        nodes_[at(n)] = gossip::QuotaLeases({n, 3}, now_);
        numbers_[at(n)] = 0;
        ++lives_[at(n)];
        for (int o = 0; o < 3; ++o) {
            if (o != n) nodes_[at(o)].on_new_incarnation(n);
        }
    }
    double now_ = 0;
    int needy_ = 0, frozen_ = -1;
    std::vector<gossip::QuotaLeases> nodes_;
    std::array<std::uint32_t, 3> numbers_{};
    std::array<int, 3> lives_{1, 1, 1};
    std::vector<Message> late_;
};

}  // namespace brookrelay::model
