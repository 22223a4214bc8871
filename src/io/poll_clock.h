// Records when the main loop last polled its sockets. Input and closes that arrived after that are not yet
// known, so the time since the last poll is the maximum age of what the process knows of its peers.
#pragma once

#include "io/glib_handles.h"
#include "io/timer_queue.h"

namespace brookrelay {

/// Records when the default main context polled. Times are seconds on the monotonic clock.
class PollClock {
  public:
    PollClock();
    ~PollClock() = default;
    PollClock(const PollClock&) = delete;
    PollClock& operator=(const PollClock&) = delete;

    /// Returns when the sockets were last polled, or when this object was created if they never were.
    double last_poll() const { return last_poll_; }
    /// Returns when the poll before the last one was: a signal that is being handled now arrived after it.
    double previous_poll() const { return previous_poll_; }

  private:
    // Above all other sources, because GLib does not check sources of a lower priority than a ready one.
    static constexpr int kPriority = G_PRIORITY_HIGH - 100;
    struct Source {
        GSource base;
        PollClock* clock;
    };
    static gboolean check(GSource* source) {
        PollClock& clock = *reinterpret_cast<Source*>(source)->clock;
        clock.previous_poll_ = clock.last_poll_;
        clock.last_poll_ = monotonic_now();
        return FALSE;
    }

    double last_poll_;
    double previous_poll_;
    GSourceFuncs functions_{nullptr, check, nullptr, nullptr, nullptr, nullptr};
    GSourceRef source_;
};

inline PollClock::PollClock()
    : last_poll_(monotonic_now()),
      previous_poll_(last_poll_),
      source_(g_source_new(&functions_, sizeof(Source))) {
    reinterpret_cast<Source*>(source_.get())->clock = this;
    g_source_set_priority(source_.get(), kPriority);
    g_source_attach(source_.get(), nullptr);
}

}  // namespace brookrelay
