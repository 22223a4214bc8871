// Counts how often each key occurred recently.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <utility>

namespace brookrelay {

// Counts keys in two generations of up to `sample_size` keys each. When the newer one is full, the older one
// is discarded and a new one begins.
class KeyCounter {
  public:
    explicit KeyCounter(int sample_size) : sample_size_(sample_size) {}

    // Adds one occurrence of the key and returns its count over both generations.
    int add(std::uint64_t key) {
        if (++totals_[0] > sample_size_) {
            std::swap(counts_[0], counts_[1]);
            counts_[0].clear();
            totals_ = {1, totals_[0] - 1};
        }
        const auto older = counts_[1].find(key);
        return ++counts_[0][key] + (older == counts_[1].end() ? 0 : older->second);
    }
    // Returns the number of occurrences of all keys over both generations.
    int total() const { return totals_[0] + totals_[1]; }

  private:
    int sample_size_;
    std::array<std::map<std::uint64_t, int>, 2> counts_;
    std::array<int, 2> totals_{};
};

}  // namespace brookrelay
