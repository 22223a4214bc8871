/// The last events of requests, in a ring of fixed size: what happened to a request, with each of its
/// attempts, can be read some seconds later. No I/O. Times are seconds on the monotonic clock.
#pragma once

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace brookrelay {

/// What happened to a request; the states it enters, in their usual order.
enum class TraceEvent { received, attempt_started, attempt_written, attempt_refused, attempt_ended, ended };

class RequestTrace {
  public:
    static constexpr std::size_t kEvents = 1024;
    static constexpr int kNoAttempt = -1;

    /// `detail` must live as long as the program: a name of a reason, an outcome or an end.
    void record(double now, TraceEvent event, std::string_view id, int attempt, std::string_view server,
                std::string_view detail);
    /// One line for each event, the oldest first; `now` is what the ages in front are reckoned from.
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
    std::vector<Entry> entries_;  // grows up to kEvents, then the oldest is overwritten
    std::size_t next_ = 0;
};

}  // namespace brookrelay
