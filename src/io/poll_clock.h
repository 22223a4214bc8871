// When the main loop has last looked at its sockets. What has come since then, a byte or a close, is not
// known yet, so the time since then bounds the age of all that is known of peers.
#pragma once

#include "io/glib_handles.h"
#include "io/timer_queue.h"

namespace brookrelay {

/// Notes the times at which the default main context has polled. Times are seconds on the monotonic clock.
class PollClock {
  public:
    PollClock();
    ~PollClock() = default;
    PollClock(const PollClock&) = delete;
    PollClock& operator=(const PollClock&) = delete;

    /// When the sockets were looked at last; before the first time, when the clock was made.
    double last() const { return last_; }
    /// The time before that: a signal that is handled now came no sooner.
    double previous() const { return previous_; }

  private:
    // Checked before all other sources, since those behind a ready one of a higher priority are left out.
    static constexpr int kPriority = G_PRIORITY_HIGH - 100;
    struct Source {
        GSource base;
        PollClock* clock;
    };
    static gboolean check(GSource* source) {
        PollClock& clock = *reinterpret_cast<Source*>(source)->clock;
        clock.previous_ = clock.last_;
        clock.last_ = monotonic_now();
        return FALSE;
    }

    double last_;
    double previous_;
    GSourceFuncs functions_{nullptr, check, nullptr, nullptr, nullptr, nullptr};
    GSourceRef source_;
};

inline PollClock::PollClock()
    : last_(monotonic_now()), previous_(last_), source_(g_source_new(&functions_, sizeof(Source))) {
    reinterpret_cast<Source*>(source_.get())->clock = this;
    g_source_set_priority(source_.get(), kPriority);
    g_source_attach(source_.get(), nullptr);
}

}  // namespace brookrelay
