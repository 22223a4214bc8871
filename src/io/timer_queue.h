// Timers for the whole node: one queue ordered by time behind one GLib source.
//
// TimerQueue owns each action until it has run or is cancelled. Actions run on the thread of the GLib main
// loop, in the order of their times and never early; those of the same time run in the order of their
// scheduling.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "io/glib_handles.h"

namespace brookrelay {

/// Seconds of the monotonic clock, the only clock used for timeouts and decisions.
inline double monotonic_now() { return static_cast<double>(g_get_monotonic_time()) / 1e6; }

/// Runs actions at given times. Actions may schedule and cancel others, but not destroy the queue.
class TimerQueue {
  public:
    using Action = std::function<void()>;
    /// The time an action is due and its number; value-initialised (number 0) it stands for no action.
    using Handle = std::pair<double, std::uint64_t>;

    TimerQueue();
    ~TimerQueue() = default;
    TimerQueue(const TimerQueue&) = delete;
    TimerQueue& operator=(const TimerQueue&) = delete;

    /// Runs `action` once monotonic_now() has reached `due`. A past time means the next iteration of the
    /// loop.
    Handle schedule(double due, Action action);
    /// Removes the action, if it is still queued, and clears the handle.
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
