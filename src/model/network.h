// A datagram network in simulated time. Its random generator, seeded by the caller, decides which datagrams
// are lost, duplicated and delayed. It does not depend on their contents.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <tuple>
#include <utility>

namespace brookrelay::model {

class Network {
  public:
    explicit Network(std::uint64_t seed) : chance_(seed) {}

    // Counts the bytes and queues the datagram, unless it is lost or the link is cut.
    void send(double now, int from, int to, const std::string& bytes) {
        sent_bytes += static_cast<double>(bytes.size());
        if (cut(from, to)) return;
        for (int copies = unit() < doubled ? 2 : 1; copies > 0; --copies) {
            if (unit() >= loss)
                flying_.emplace(now + quickest + (slowest - quickest) * unit(), std::tuple{from, to, bytes});
        }
    }
    // Calls `take(from, to, bytes)` for each datagram that is due, in order of arrival.
    template <typename Take>
    void deliver(double now, Take take) {
        for (auto in = flying_.begin(); in != flying_.end() && in->first <= now; in = flying_.erase(in))
            std::apply(take, in->second);
    }
    double unit() { return std::uniform_real_distribution<>(0, 1)(chance_); }
    std::uint64_t draw() { return chance_(); }

    double loss = 0, doubled = 0, quickest = 0.001, slowest = 0.03;  // probabilities, and delays in seconds
    std::function<bool(int from, int to)> cut = [](int, int) { return false; };
    double sent_bytes = 0;

  private:
    std::mt19937_64 chance_;
    std::multimap<double, std::tuple<int, int, std::string>> flying_;
};

}  // namespace brookrelay::model
