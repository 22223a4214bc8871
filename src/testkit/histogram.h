// A latency histogram with logarithmic bins: quantiles have an error of about 3%, in a few kilobytes. No I/O.
#pragma once

#include <algorithm>
#include <boost/histogram.hpp>
#include <vector>

namespace brookrelay::testkit {

class LatencyHistogram {
  public:
    LatencyHistogram() : bins_(boost::histogram::make_histogram(Axis(kBins, kMinSeconds, kMaxSeconds))) {}
    void add(double seconds) {
        bins_(seconds);
        ++count_;
        sum_ += seconds;
        max_ = std::max(max_, seconds);
    }
    void add(const LatencyHistogram& other) {
        bins_ += other.bins_;
        count_ += other.count_;
        sum_ += other.sum_;
        max_ = std::max(max_, other.max_);
    }
    std::uint64_t count() const { return count_; }
    double mean() const { return count_ > 0 ? sum_ / static_cast<double>(count_) : 0; }
    double most() const { return max_; }
    // Returns an upper bound of the quantile `part`, from 0 to 1; 0 if the histogram is empty.
    double quantile(double part) const {
        const double target_count = part * static_cast<double>(count_);
        double cumulative_count = bins_.at(-1);  // the underflow bin
        if (count_ > 0 && cumulative_count >= target_count) return kMinSeconds;
        for (int i = 0; i < kBins; ++i) {
            cumulative_count += bins_.at(i);
            if (cumulative_count >= target_count && cumulative_count > 0)
                return std::min(bins_.axis().bin(i).upper(), max_);
        }
        return max_;
    }
    // Returns the center, in seconds, and the count of each bin that is not empty.
    std::vector<std::pair<double, double>> bins() const {
        std::vector<std::pair<double, double>> all;
        for (int i = 0; i < kBins; ++i) {
            if (bins_.at(i) > 0) all.emplace_back(bins_.axis().bin(i).center(), bins_.at(i));
        }
        return all;
    }

  private:
    static constexpr int kBins = 600;                                // each 2.7% wider than the one before it
    static constexpr double kMinSeconds = 10e-6, kMaxSeconds = 100;  // range of the bins
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    decltype(boost::histogram::make_histogram(Axis(1, 1, 2))) bins_;
    std::uint64_t count_ = 0;
    double sum_ = 0, max_ = 0;
};

}  // namespace brookrelay::testkit
