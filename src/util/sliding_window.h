// Sums, counts and means of samples over a sliding time window.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <numeric>

namespace brookrelay {

// Aggregates a stream of samples in eight time buckets that are reused as a circular buffer. Samples leave
// the window one bucket at a time. Times are seconds of any clock that never goes backwards.
class SlidingWindow {
  public:
    explicit SlidingWindow(double length) : bucket_seconds_(length / kBuckets) {}

    void add(double now, double value) {
        advance(now);
        sums_[current_] += value;
        ++counts_[current_];
    }
    double sum(double now) {
        advance(now);
        return std::accumulate(sums_.begin(), sums_.end(), 0.0);
    }
    int count(double now) {
        advance(now);
        return std::accumulate(counts_.begin(), counts_.end(), 0);
    }
    // Returns the mean, or 0 if the window contains no sample.
    double mean(double now) { return count(now) > 0 ? sum(now) / count(now) : 0; }
    // Changes the length, to at least 0.1 s. Samples stay in their buckets.
    void set_length(double length) { bucket_seconds_ = std::max(length, kMinLengthSeconds) / kBuckets; }
    void clear() {
        sums_.fill(0);
        counts_.fill(0);
    }

  private:
    static constexpr int kBuckets = 8;
    static constexpr double kMinLengthSeconds = 0.1;

    // Clears the buckets that have expired since the last call.
    void advance(double now) {
        const auto bucket = static_cast<std::int64_t>(now / bucket_seconds_);
        const std::int64_t steps = std::min<std::int64_t>(bucket - newest_bucket_, kBuckets);
        for (std::int64_t step = 0; step < steps; ++step) {
            current_ = (current_ + 1) % kBuckets;
            sums_[current_] = 0;
            counts_[current_] = 0;
        }
        newest_bucket_ = std::max(newest_bucket_, bucket);
    }

    double bucket_seconds_;
    std::array<double, kBuckets> sums_{};
    std::array<int, kBuckets> counts_{};
    std::size_t current_ = 0;
    std::int64_t newest_bucket_ = 0;
};

}  // namespace brookrelay
