// When the bytes of a connection's input arrived, so that a command which waited unread keeps its time.
//
// One object per connection, without I/O. Times are seconds on the monotonic clock, positions are bytes since
// the connection was accepted.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace brookrelay {

/// Remembers the arrival time of input that is received and not consumed yet.
class ArrivalTimes {
  public:
    /// Input has arrived at `time`, or may have; `unconsumed_bytes` is now received and not consumed.
    void on_received(std::size_t unconsumed_bytes, double time);
    /// The first `bytes` of the unconsumed input are consumed. Returns when the last of them arrived.
    double on_consumed(std::size_t bytes);

  private:
    struct Arrival {
        std::uint64_t end;  // position behind its last byte
        double time;
    };
    std::vector<Arrival> arrivals_;  // in ascending order, of what is not consumed yet
    std::uint64_t consumed_ = 0;
    double last_arrival_ = 0;
};

}  // namespace brookrelay
