#include "io/wall_clock.h"

#include <glib.h>

#include <cmath>
#include <fstream>

#include "io/timer_queue.h"

namespace brookrelay {
namespace {

// Smaller differences result from the slewing of a synchronized clock and from the time between the readings
// of the two clocks.
constexpr double kMinStepSeconds = 0.5;

}  // namespace

std::string boot_id() {
    std::string id;
    std::getline(std::ifstream("/proc/sys/kernel/random/boot_id"), id);
    return id;
}

WallClock::WallClock() : wall_offset_(read().wall_offset) {}

ClockReading WallClock::read() const {
    const double now = monotonic_now();
    return {now, static_cast<double>(g_get_real_time()) / 1e6 - now};
}

double WallClock::take_step() {
    const double step = read().wall_offset - wall_offset_;
    if (std::abs(step) < kMinStepSeconds) return 0;
    wall_offset_ += step;
    return step;
}

}  // namespace brookrelay
