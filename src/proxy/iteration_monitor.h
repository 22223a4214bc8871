/// Measures the duration of event-loop iterations, from the poll of the sockets on, and the work that a long
/// one was spent on. Its duration bounds the age of the information with which an attempt is sent.
///
/// No I/O and no clock: times are arguments, in seconds on the monotonic clock.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace brookrelay {

/// Counts of the work that the node's components have done since the start; the counts only grow.
struct IterationWork {
    std::uint64_t events = 0;        ///< events handled
    std::uint64_t actions = 0;       ///< actions executed
    std::uint64_t commands = 0;      ///< commands of clients that were read
    std::uint64_t list_entries = 0;  ///< entries of endpoint updates that were applied
    std::uint64_t servers = 0;       ///< entries of server tables that were examined
    std::uint64_t ring_points = 0;   ///< points of hash rings that were compared, moved or searched
    std::uint64_t connections = 0;   ///< server connections that were searched
    std::uint64_t file_bytes = 0;    ///< bytes read from the state folder
};

/// Keeps a histogram of iteration durations and formats a log line for each long iteration.
class IterationMonitor {
  public:
    /// Upper bounds of the histogram's buckets, in seconds; longer iterations count in one additional bucket.
    static constexpr std::array<double, 6> kBucketBounds{0.001, 0.005, 0.02, 0.05, 0.1, 0.5};
    using Histogram = std::array<std::uint64_t, kBucketBounds.size() + 1>;

    /// Begins an iteration. `work` is the work done before it.
    void begin(double now, const IterationWork& work);
    /// Ends the iteration. Returns the text of a log line if the iteration was long, or else an empty string.
    std::string end(double now, const IterationWork& work);
    /// The number of iterations in each bucket, not cumulative.
    const Histogram& histogram() const { return histogram_; }
    /// The duration of all iterations together, in seconds.
    double total_seconds() const { return total_seconds_; }

  private:
    double began_at_ = 0;
    double total_seconds_ = 0;
    IterationWork work_before_;
    Histogram histogram_{};
};

}  // namespace brookrelay
