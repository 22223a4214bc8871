// A fleet in simulated time that gossips about failing servers. It runs the real outlier exchange on a
// simulated network that loses, duplicates, delays and cuts datagrams by a seed. Its results are simulated,
// not measured.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gossip/outlier_exchange.h"
#include "model/network.h"

namespace brookrelay::model {

// Nodes that send attempts to servers and exchange the outcomes. Node n is in zone n % zones.
class OutlierFleet {
  private:
    int zones_;
    double now_ = 100;

  public:
    Network network;
    static constexpr gossip::ServerKey kFailingServer =
        5;  // the server for which `failing_server_traffic_ratio` limits the traffic
    OutlierFleet(int nodes, int zones, std::uint64_t seed, double bytes = 1024)
        : zones_(zones), network(seed) {
        for (int n = 0; n < nodes; ++n) {
            settings_.push_back({n, nodes, n % zones, zones, bytes, 0, 0.004});
            next_incarnations_.push_back(1000);
            start(n);
        }
    }
    void start(int n) {
        nodes_.resize(settings_.size());
        nodes_[at(n)] = std::make_unique<gossip::OutlierExchange>(
            settings_[at(n)], next_incarnations_[at(n)]++, network.draw(), now_);
        nodes_[at(n)]->set_local_server_count(kCaches);
        verdicts_[n].clear();
    }
    void stop(int n) { nodes_[at(n)].reset(); }
    // Runs the fleet for `seconds`. Each node gets `rate` requests per second on average, each for a random
    // server; those withheld from a failing server or one with a verdict make no attempt.
    // NOLINTNEXTLINE(readability-function-cognitive-complexity): see ROADMAP
    void run(double seconds) {
        const double until = now_ + seconds;
        while (now_ < until) {
            now_ += gossip::OutlierExchange::kTickInterval;
            network.deliver(now_, [this](int from, int to, const std::string& bytes) {
                if (nodes_[at(to)] != nullptr && !frozen.contains(to))
                    nodes_[at(to)]->on_datagram(now_, from, bytes);
            });
            for (int n = 0; n < count(); ++n) {
                if (nodes_[at(n)] == nullptr || frozen.contains(n)) continue;
                gossip::OutlierExchange& exchange = *nodes_[at(n)];
                for (int i = 0; i < 2; ++i) {
                    if (unit() > rate * gossip::OutlierExchange::kTickInterval / 2) continue;
                    exchange.on_request(now_);
                    const auto server = static_cast<gossip::ServerKey>(unit() * kCaches) + 1;
                    if (server == kFailingServer && unit() > failing_server_traffic_ratio) continue;
                    // A node with a verdict sends the server few attempts, as the balancer does.
                    if (verdicts_[n].contains(server) && unit() > 2.0 / (rate / kCaches * count() / zones_))
                        continue;
                    exchange.on_attempt_finished(now_, server,
                                                 attempt_succeeds(n, server) ? gossip::AttemptHealth::good
                                                                             : gossip::AttemptHealth::bad);
                }
                for (gossip::Outgoing& outgoing : exchange.tick(now_))
                    send(n, outgoing.to, std::move(outgoing.bytes));
                for (const gossip::OutlierExchange::ServerVerdict& verdict : exchange.verdicts(now_)) {
                    if (verdict.bad)
                        verdicts_[n].insert(verdict.server);
                    else
                        verdicts_[n].erase(verdict.server);
                }
            }
        }
    }
    void send(int from, int to, std::string bytes) { network.send(now_, from, to, std::move(bytes)); }
    // Of the running nodes for which `of` holds, the ratio that has a verdict on `server`.
    double ratio_with_verdict(
        gossip::ServerKey server, const std::function<bool(int)>& of = [](int) { return true; }) const {
        int running = 0, matching = 0;
        for (int n = 0; n < count(); ++n) {
            if (nodes_[at(n)] == nullptr || frozen.contains(n) || !of(n)) continue;
            ++running;
            matching += verdicts_.at(n).contains(server);
        }
        return running == 0 ? 0 : static_cast<double>(matching) / running;
    }
    // Runs until `done` or for `most` seconds; returns the seconds that passed.
    double run_until(double most, const std::function<bool()>& done) {
        const double from = now_;
        while (now_ - from < most && !done()) run(gossip::OutlierExchange::kTickInterval);
        return now_ - from;
    }
    gossip::OutlierExchange& node(int n) { return *nodes_[at(n)]; }
    int count() const { return static_cast<int>(nodes_.size()); }
    double now() const { return now_; }
    double unit() { return network.unit(); }
    static std::size_t at(int n) { return static_cast<std::size_t>(n); }

    static constexpr int kCaches = 12;
    double rate = 10;                         // requests per second and node
    double failing_server_traffic_ratio = 1;  // ratio of the attempts to kFailingServer that are sent
    std::set<int> frozen;
    std::function<bool(int node, gossip::ServerKey)> attempt_succeeds = [](int, gossip::ServerKey) {
        return true;
    };

  private:
    std::vector<gossip::GossipSettings> settings_;
    std::vector<std::uint32_t> next_incarnations_;
    std::vector<std::unique_ptr<gossip::OutlierExchange>> nodes_;
    std::map<int, std::set<gossip::ServerKey>> verdicts_;
};

}  // namespace brookrelay::model
