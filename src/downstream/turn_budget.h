// Bounds the work that is done for clients in one turn (iteration) of the event loop, so that no client can
// delay the answers to others. No I/O and no clock: times are arguments, in seconds on the monotonic clock.
#pragma once

namespace brookrelay {

/// The time left for clients' commands in the present turn of the event loop.
class TurnBudget {
  public:
    /// The commands of one client that are handled in a row. The rest wait behind the commands of others.
    static constexpr int kMaxCommandsPerClient = 16;
    /// The time in which commands are handled before the sockets are polled again.
    static constexpr double kMaxSeconds = 0.002;

    /// Begins the next turn.
    void begin_turn() { began_at_ = 0; }
    /// Returns whether there is time for another command. The first call of a turn starts its time.
    bool has_time(double now) {
        if (began_at_ == 0) began_at_ = now;
        return now - began_at_ < kMaxSeconds;
    }

  private:
    double began_at_ = 0;  // when the first command of this turn was about to be handled; 0: not yet
};

}  // namespace brookrelay
