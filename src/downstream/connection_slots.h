// Counts the client connections of a process and divides them into regular ones and a reserve. Does no I/O.
#pragma once

#include <algorithm>
#include <cstddef>

namespace brookrelay {

/// The client connections of a process: how many may be open, how many are, and how many of them are in the
/// reserve. While all regular connections are in use, the reserve accepts clients whose requests are served
/// once a regular one is free, or refused in time.
class ConnectionSlots {
  public:
    explicit ConnectionSlots(std::size_t limit) : limit_(limit) {}

    /// Changes how many connections may be open. Open ones are kept.
    void set_limit(std::size_t limit) { limit_ = limit; }
    std::size_t limit() const { return limit_; }
    std::size_t open() const { return regular_ + in_reserve_; }
    std::size_t in_reserve() const { return in_reserve_; }
    /// Returns how many of the connections belong to the reserve.
    std::size_t reserve_size() const {
        return std::min(std::max(limit_ / kReserveDivisor, kMinReserve), limit_ / 2);
    }
    bool has_regular() const { return regular_ + reserve_size() < limit_; }
    bool has_any() const { return open() < limit_; }

    void open_one(bool is_in_reserve) { ++(is_in_reserve ? in_reserve_ : regular_); }
    void close_one(bool is_in_reserve) { --(is_in_reserve ? in_reserve_ : regular_); }
    /// Counts an open connection of the reserve as a regular one.
    void leave_reserve() {
        close_one(true);
        open_one(false);
    }
    /// Counts an open regular connection as one of the reserve.
    void enter_reserve() {
        close_one(false);
        open_one(true);
    }

  private:
    static constexpr std::size_t kReserveDivisor = 10;
    static constexpr std::size_t kMinReserve = 4;

    std::size_t limit_;
    std::size_t regular_ = 0;
    std::size_t in_reserve_ = 0;
};

}  // namespace brookrelay
