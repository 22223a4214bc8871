// Counts the memory that is reserved for the long values that clients write.
//
// A long value is buffered completely, so memory for all of it is reserved before more of it is received. The
// class only counts: its owner decides who waits. Sizes are bytes.
#pragma once

#include <algorithm>
#include <cstddef>

namespace brookrelay {

/// The sum of all reservations and its limit.
class LongWriteMemory {
  public:
    explicit LongWriteMemory(std::size_t limit) : limit_(limit) {}

    /// Changes the limit. Present reservations are kept.
    void set_limit(std::size_t limit) { limit_ = limit; }
    /// Grows one reservation from `held` to `wanted` bytes. Returns false, without an effect, if the sum
    /// would exceed the limit. A reservation is always granted if there is no other, so that each value fits.
    bool try_reserve(std::size_t held, std::size_t wanted) {
        const std::size_t others = reserved_ - held;
        if (others > 0 && others + wanted > limit_) return false;
        reserved_ = others + std::max(held, wanted);
        return true;
    }
    /// Releases a reservation, or a part of one.
    void release(std::size_t bytes) { reserved_ -= bytes; }

  private:
    std::size_t limit_;
    std::size_t reserved_ = 0;
};

}  // namespace brookrelay
