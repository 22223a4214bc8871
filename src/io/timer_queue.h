// The timers of the node: one queue, ordered by due time, on one GLib source.
//
// TimerQueue owns each action until it has run or is cancelled. Actions run on the thread of the GLib main
// loop, in the order of their due times and never early. Actions with the same due time run in the order in
// which they were scheduled.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "io/glib_handles.h"

namespace brookrelay {

/// Returns the monotonic time in seconds. All timeouts and decisions use this clock.
inline double monotonic_now() { return static_cast<double>(g_get_monotonic_time()) / 1e6; }

/// Runs actions at given times. Actions may schedule and cancel others, but not destroy the queue.
class TimerQueue {
  public:
    using Action = std::function<void()>;
    /// The due time and the id of an action. A value-initialised handle (id 0) refers to no action.
    using Handle = std::pair<double, std::uint64_t>;

    TimerQueue();
    ~TimerQueue() = default;
    TimerQueue(const TimerQueue&) = delete;
    TimerQueue& operator=(const TimerQueue&) = delete;

    /// Runs `action` once monotonic_now() has reached `due`. If that has passed, `action` runs in the current
    /// or next iteration of the main loop.
    Handle schedule(double due, Action action);
    /// Removes the action if it is still queued, and clears the handle.
    void cancel(Handle& handle);

  private:
    static gboolean dispatch(GSource*, GSourceFunc callback, gpointer self) { return callback(self); }
    void arm();
    void run_due();

    std::map<Handle, Action> queue_;
    std::uint64_t last_id_ = 0;
    GSourceFuncs functions_{nullptr, nullptr, dispatch, nullptr, nullptr, nullptr};
    GSourceRef source_;
};

}  // namespace brookrelay
