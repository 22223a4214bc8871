/// The most recent request events, in a ring buffer of fixed size, from which the history of a request and
/// its attempts can be read some seconds later. No I/O. Times are seconds on the monotonic clock.
#pragma once

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace brookrelay {

/// The events of a request and its attempts, in their usual order.
enum class TraceEvent { received, attempt_started, attempt_written, attempt_refused, attempt_ended, ended };

/// Records events and formats them as text.
class RequestTrace {
  public:
    static constexpr std::size_t kCapacity = 1024;
    static constexpr int kNoAttempt = -1;

    /// `detail` is the name of a reason, an outcome or a request end, and must have static storage duration.
    void record(double now, TraceEvent event, std::string_view id, int attempt, std::string_view server,
                std::string_view detail);
    /// One line per event, oldest first. Each line begins with the event's age at `now`.
    std::string text(double now) const;

  private:
    template <std::size_t kSize>
    using Text = std::array<char, kSize>;
    struct Entry {
        double at = 0;
        TraceEvent event = TraceEvent::received;
        int attempt = kNoAttempt;
        Text<33> id{};
        Text<25> server{};
        std::string_view detail;
    };
    std::vector<Entry> entries_;  // grows up to kCapacity; after that the oldest entry is overwritten
    std::size_t next_ = 0;
};

}  // namespace brookrelay
