#include "downstream/arrival_times.h"

#include <algorithm>

namespace brookrelay {
namespace {

// Arrivals within this interval are merged into one, at the time of the first. Unconsumed input may arrive
// byte by byte, and the merge keeps the list short.
constexpr double kResolutionSeconds = 0.01;

}  // namespace

void ArrivalTimes::on_received(std::size_t unconsumed_bytes, double time) {
    const std::uint64_t end = consumed_ + unconsumed_bytes;
    if (!arrivals_.empty() && time < arrivals_.back().time + kResolutionSeconds) {
        arrivals_.back().end = end;
    } else {
        arrivals_.push_back({end, time});
    }
}

double ArrivalTimes::on_consumed(std::size_t bytes) {
    consumed_ += bytes;
    const auto last = std::find_if(arrivals_.begin(), arrivals_.end(),
                                   [this](const Arrival& arrival) { return arrival.end >= consumed_; });
    if (last != arrivals_.end()) last_arrival_ = last->time;
    const bool is_whole_arrival = last != arrivals_.end() && last->end == consumed_;
    arrivals_.erase(arrivals_.begin(), is_whole_arrival ? last + 1 : last);
    return last_arrival_;
}

}  // namespace brookrelay
