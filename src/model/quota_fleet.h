// A fleet in simulated time that shares one quota, with a demand at each node. It runs the real exchange on a
// simulated network that loses, duplicates, delays and cuts datagrams by a seed. Its results are simulated,
// not measured.
#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "gossip/outlier_exchange.h"
#include "model/network.h"

namespace brookrelay::model {

// One quota, and at each node a demand that is a ratio of it. A node uses its demand up to its share, in
// steps of an eighth of a second.
class QuotaFleet {
  public:
    QuotaFleet(int nodes, std::uint64_t seed) : network(seed), demand(static_cast<std::size_t>(nodes)) {
        for (int n = 0; n < nodes; ++n) {
            nodes_.emplace_back();
            start(n, nodes);
        }
        run(nodes > 100 ? 20 : 5);
    }
    void start(int n, int nodes = 0) {
        gossip::GossipSettings settings;
        settings.node_index = n;
        settings.node_count = nodes > 0 ? nodes : count();
        nodes_[at(n)] = std::make_unique<gossip::OutlierExchange>(settings, 1000 + ++incarnation_count_,
                                                                  network.draw(), now_);
    }
    void run(double seconds) {
        for (const double until = now_ + seconds; now_ < until - 1e-9;) step();
    }
    double run_until(double max_seconds, const std::function<bool()>& done) {
        const double from = now_;
        do {
            step();
        } while (now_ - from < max_seconds && !done());
        return now_ - from;
    }
    void step() {
        now_ += gossip::OutlierExchange::kTickInterval;
        network.deliver(now_, [this](int from, int to, const std::string& bytes) {
            if (frozen.contains(to)) return void(queued_for_frozen_.emplace_back(from, to, bytes));
            nodes_[at(to)]->on_datagram(now_, from, bytes);
        });
        // Resumed nodes first read the datagrams queued in their sockets.
        if (frozen.empty() && !queued_for_frozen_.empty()) {
            for (const auto& [from, to, bytes] : std::exchange(queued_for_frozen_, {}))
                nodes_[at(to)]->on_datagram(now_, from, bytes);
        }
        std::uint64_t total_units = 0;
        double used = 0, wanted = 0;
        for (int n = 0; n < count(); ++n) {
            if (frozen.contains(n)) continue;
            gossip::OutlierExchange& exchange = *nodes_[at(n)];
            const double node_demand = demand[at(n)];
            exchange.on_request(now_);
            exchange.set_quota_demand(now_, 0, node_demand * gossip::kTotalUnits);
            for (gossip::Outgoing& outgoing : exchange.tick(now_))
                network.send(now_, n, outgoing.to, std::move(outgoing.bytes));
        }
        // The shares in force include those of frozen nodes, which send again as soon as they resume.
        for (int n = 0; n < count(); ++n) {
            const double share =
                nodes_[at(n)]->quota_share(0, now_) / static_cast<double>(gossip::kTotalUnits);
            total_units += nodes_[at(n)]->quota_share(0, now_);
            used += std::min(share, demand[at(n)]);
            wanted += demand[at(n)];
        }
        most = std::max(most, static_cast<double>(total_units) / gossip::kTotalUnits);
        use = wanted > 0 ? used / std::min(1.0, wanted) : 1;
    }
    int count() const { return static_cast<int>(nodes_.size()); }
    static std::size_t at(int n) { return static_cast<std::size_t>(n); }
    double unit() { return network.unit(); }
    double now() const { return now_; }

  private:
    double now_ = 100;
    std::uint32_t incarnation_count_ = 0;
    std::vector<std::unique_ptr<gossip::OutlierExchange>> nodes_;
    std::vector<std::tuple<int, int, std::string>> queued_for_frozen_;

  public:
    Network network;
    std::vector<double> demand;  // of each node, as a ratio of the quota
    std::set<int> frozen;        // paused nodes
    // The highest sum of the shares in force so far, as a ratio of the quota, and the ratio of the usable
    // quota that is in use now.
    double most = 0, use = 1;
};

}  // namespace brookrelay::model
