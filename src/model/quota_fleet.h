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
class LimitFleet {
  public:
    LimitFleet(int nodes, std::uint64_t seed) : network(seed), demand(static_cast<std::size_t>(nodes)) {
        for (int n = 0; n < nodes; ++n) {
            nodes_.emplace_back();
            start(n, nodes);
        }
        run(nodes > 100 ? 20 : 5);
    }
    void start(int n, int nodes = 0) {
        gossip::GossipSettings t;
        t.node_index = n;
        t.node_count = nodes > 0 ? nodes : count();
        nodes_[at(n)] = std::make_unique<gossip::OutlierExchange>(t, 1000 + ++starts_, network.draw(), now_);
    }
    void run(double seconds) {
        for (const double until = now_ + seconds; now_ < until - 1e-9;) step();
    }
    double until(double longest, const std::function<bool()>& done) {
        const double from = now_;
        do {
            step();
        } while (now_ - from < longest && !done());
        return now_ - from;
    }
    void step() {
        now_ += gossip::OutlierExchange::kTickInterval;
        network.deliver(now_, [this](int from, int to, const std::string& bytes) {
            if (frozen.contains(to)) return void(asleep_.emplace_back(from, to, bytes));
            nodes_[at(to)]->on_datagram(now_, from, bytes);
        });
        if (frozen.empty() &&
            !asleep_.empty()) {  // A resumed node first reads the datagrams queued in its socket.
            for (const auto& [from, to, what] : std::exchange(asleep_, {}))
                nodes_[at(to)]->on_datagram(now_, from, what);
        }
        std::uint64_t all = 0;
        double used = 0, wanted = 0;
        for (int n = 0; n < count(); ++n) {
            if (frozen.contains(n)) continue;
            gossip::OutlierExchange& e = *nodes_[at(n)];
            const double d = demand[at(n)];
            e.on_request(now_);
            e.set_quota_demand(now_, 0, d * gossip::kTotalUnits);
            for (gossip::Outgoing& o : e.tick(now_)) network.send(now_, n, o.to, std::move(o.bytes));
        }
        // The shares in force include those of frozen nodes, which send again as soon as they resume.
        for (int n = 0; n < count(); ++n) {
            const double part =
                nodes_[at(n)]->quota_share(0, now_) / static_cast<double>(gossip::kTotalUnits);
            all += nodes_[at(n)]->quota_share(0, now_);
            used += std::min(part, demand[at(n)]);
            wanted += demand[at(n)];
        }
        most = std::max(most, static_cast<double>(all) / gossip::kTotalUnits);
        use = wanted > 0 ? used / std::min(1.0, wanted) : 1;
    }
    int count() const { return static_cast<int>(nodes_.size()); }
    static std::size_t at(int n) { return static_cast<std::size_t>(n); }
    double unit() { return network.unit(); }
    double now() const { return now_; }

  private:
    double now_ = 100;
    std::uint32_t starts_ = 0;
    std::vector<std::unique_ptr<gossip::OutlierExchange>> nodes_;
    std::vector<std::tuple<int, int, std::string>> asleep_;

  public:
    Network network;
    std::vector<double> demand;
    std::set<int> frozen;
    double most = 0,
           use = 1;  // highest sum of the shares so far, in quotas; ratio of the usable quota in use
};

}  // namespace brookrelay::model
