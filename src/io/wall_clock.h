// The wall clock beside the monotonic one. Everything that is waited for or measured runs on the monotonic
// clock; the wall clock only relates times that others tell, and may be stepped at any moment.
//
// Times are seconds. Used from one thread.
#pragma once

#include <string>

namespace brookrelay {

/// The two clocks at one moment.
struct ClockReading {
    double now = 0;          ///< monotonic
    double wall_offset = 0;  ///< wall clock less monotonic clock, as it is now
    double wall_now() const { return now + wall_offset; }
};

/// Identifies the machine's present boot, within which processes share the monotonic clock; empty: unknown.
std::string boot_id();

/// Reads both clocks and notices steps of the wall clock.
class WallClock {
  public:
    WallClock();
    /// Both clocks now.
    ClockReading read() const;
    /// By how much the wall clock was stepped since the last call, or since the start; 0 where it was not.
    double take_step();

  private:
    double wall_offset_;
};

}  // namespace brookrelay
