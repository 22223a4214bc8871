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
    explicit Network(std::uint64_t seed) : generator_(seed) {}

    // Counts the bytes, also of a datagram that is then lost or cut off; queues every copy that is not.
    void send(double now, int from, int to, const std::string& bytes) {
        sent_bytes += static_cast<double>(bytes.size());
        if (cut(from, to)) return;
        for (int copies = unit() < duplicate_probability ? 2 : 1; copies > 0; --copies) {
            if (unit() >= loss)
                in_transit_.emplace(now + min_delay + (max_delay - min_delay) * unit(),
                                    std::tuple{from, to, bytes});
        }
    }
    // Calls `take(from, to, bytes)` for each datagram that is due, in order of arrival.
    template <typename Take>
    void deliver(double now, Take take) {
        for (auto due = in_transit_.begin(); due != in_transit_.end() && due->first <= now;
             due = in_transit_.erase(due))
            std::apply(take, due->second);
    }
    double unit() { return std::uniform_real_distribution<>(0, 1)(generator_); }
    std::uint64_t draw() { return generator_(); }

    double loss = 0, duplicate_probability = 0, min_delay = 0.001,
           max_delay = 0.03;  // probabilities, and delays in seconds
    std::function<bool(int from, int to)> cut = [](int, int) { return false; };
    double sent_bytes = 0;

  private:
    std::mt19937_64 generator_;
    std::multimap<double, std::tuple<int, int, std::string>> in_transit_;
};

}  // namespace brookrelay::model
