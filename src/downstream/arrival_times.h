// Records when the bytes of a connection's input arrived, so that the age of a command includes the time that
// it waited in the buffer.
//
// One object serves one connection and does no I/O. Times are seconds on the monotonic clock; positions are
// bytes since the connection was accepted.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace brookrelay {

/// Tracks the arrival times of input that is received but not yet consumed.
class ArrivalTimes {
  public:
    /// Records that input may have arrived at `time`. `unconsumed_bytes` is the total that is now received
    /// but not consumed.
    void on_received(std::size_t unconsumed_bytes, double time);
    /// Marks the first `bytes` of the unconsumed input as consumed and returns when the last of them arrived.
    double on_consumed(std::size_t bytes);

  private:
    struct Arrival {
        std::uint64_t end;  // position after its last byte
        double time;
    };
    std::vector<Arrival> arrivals_;  // arrivals of unconsumed input, in ascending order
    std::uint64_t consumed_ = 0;
    double last_arrival_ = 0;
};

}  // namespace brookrelay
