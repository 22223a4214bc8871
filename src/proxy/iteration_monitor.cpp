#include "proxy/iteration_monitor.h"

#include <algorithm>
#include <cinttypes>
#include <cstdio>

namespace brookrelay {
namespace {

constexpr double kLongIteration = 0.05;  // s; an iteration that takes at least this long is logged

}  // namespace

void IterationMonitor::begin(double now, const IterationWork& work) {
    began_at_ = now;
    before_ = work;
}

std::string IterationMonitor::end(double now, const IterationWork& work) {
    const double took = now - began_at_;
    total_seconds_ += took;
    const auto bound = std::lower_bound(kBucketBounds.begin(), kBucketBounds.end(), took);
    ++histogram_[static_cast<std::size_t>(bound - kBucketBounds.begin())];
    if (took < kLongIteration) return {};
    std::array<char, 320> text{};
    std::snprintf(text.data(), text.size(),
                  "an iteration took %.3f s: %" PRIu64 " events, %" PRIu64 " actions, %" PRIu64
                  " list entries, %" PRIu64 " servers, %" PRIu64 " ring points, %" PRIu64
                  " connections and %" PRIu64 " bytes of files processed",
                  took, work.events - before_.events, work.actions - before_.actions,
                  work.list_entries - before_.list_entries, work.servers - before_.servers,
                  work.ring_points - before_.ring_points, work.connections - before_.connections,
                  work.file_bytes - before_.file_bytes);
    return text.data();
}

}  // namespace brookrelay
