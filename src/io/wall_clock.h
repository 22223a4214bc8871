// Relates the wall clock to the monotonic clock. All timeouts and measurements use the monotonic clock. The
// wall clock only serves to interpret times from other processes, and may be stepped at any moment.
//
// Times are seconds. Used from one thread.
#pragma once

#include <string>

namespace brookrelay {

/// Both clocks at the same moment.
struct ClockReading {
    double now = 0;          ///< monotonic time
    double wall_offset = 0;  ///< wall clock time minus monotonic time
    double wall_now() const { return now + wall_offset; }
};

/// Returns the id of the machine's current boot, within which all processes share the monotonic clock. Empty
/// if it is unknown.
std::string boot_id();

/// Reads both clocks and detects steps of the wall clock.
class WallClock {
  public:
    WallClock();
    /// Returns the current time of both clocks.
    ClockReading read() const;
    /// Returns by how many seconds the wall clock was stepped since the last call that reported a step, or
    /// since construction. Returns 0 if it was not stepped.
    double take_step();

  private:
    double wall_offset_;
};

}  // namespace brookrelay
