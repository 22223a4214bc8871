/// How long the iterations of the event loop take, and what a long one was spent on. Every socket waits for
/// the iteration under way, so its length bounds how old the facts are by which an attempt is sent.
///
/// No I/O and no clock: times are arguments, in seconds on the monotonic clock.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace brookrelay {

/// What the parts of the node have done since they started; all counts only grow.
struct IterationWork {
    std::uint64_t events = 0;
    std::uint64_t actions = 0;
    std::uint64_t list_entries = 0;  ///< entries of endpoint updates that were applied
    std::uint64_t servers = 0;       ///< entries of server tables that were looked at
    std::uint64_t ring_points = 0;
    std::uint64_t connections = 0;  ///< server connections that were searched
    std::uint64_t file_bytes = 0;   ///< read from the state folder
};

class IterationMonitor {
  public:
    /// Upper bounds of the histogram's buckets, in seconds; what takes longer counts in one more bucket.
    static constexpr std::array<double, 6> kBucketBounds{0.001, 0.005, 0.02, 0.05, 0.1, 0.5};
    using Histogram = std::array<std::uint64_t, kBucketBounds.size() + 1>;

    /// An iteration begins at `now`, with so much done before it.
    void begin(double now, const IterationWork& work);
    /// It ends. Returns the text of a log line if it took long, else an empty one.
    std::string end(double now, const IterationWork& work);
    /// Iterations by their length, not summed up from bucket to bucket.
    const Histogram& histogram() const { return histogram_; }
    double total_seconds() const { return total_seconds_; }

  private:
    double began_at_ = 0;
    double total_seconds_ = 0;
    IterationWork before_;
    Histogram histogram_{};
};

}  // namespace brookrelay
