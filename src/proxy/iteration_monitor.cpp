#include "proxy/iteration_monitor.h"

#include <algorithm>
#include <cinttypes>
#include <cstdio>

namespace brookrelay {
namespace {

constexpr double kMinLongIteration = 0.05;  // s; an iteration that takes at least this long is logged

}  // namespace

void IterationMonitor::begin(double now, const IterationWork& work) {
    began_at_ = now;
    work_before_ = work;
}

std::string IterationMonitor::end(double now, const IterationWork& work) {
    const double duration = now - began_at_;
    total_seconds_ += duration;
    const auto bound = std::lower_bound(kBucketBounds.begin(), kBucketBounds.end(), duration);
    ++histogram_[static_cast<std::size_t>(bound - kBucketBounds.begin())];
    if (duration < kMinLongIteration) return {};
    std::array<char, 320> text{};
    std::snprintf(text.data(), text.size(),
                  "an iteration took %.3f s: %" PRIu64 " events, %" PRIu64 " actions, %" PRIu64
                  " commands, %" PRIu64 " list entries, %" PRIu64 " servers, %" PRIu64
                  " ring points, %" PRIu64 " connections and %" PRIu64 " bytes of files processed",
                  duration, work.events - work_before_.events, work.actions - work_before_.actions,
                  work.commands - work_before_.commands, work.list_entries - work_before_.list_entries,
                  work.servers - work_before_.servers, work.ring_points - work_before_.ring_points,
                  work.connections - work_before_.connections, work.file_bytes - work_before_.file_bytes);
    return text.data();
}

}  // namespace brookrelay
