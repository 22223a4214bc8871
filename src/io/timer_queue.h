// Everything in the node that happens at a time: one ordered queue behind one GLib source. It owns what is to
// be done until it is done or called off, and never does anything before its time.
#pragma once

#include <glib.h>

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace brookrelay {

// Monotonic seconds: the only clock that decisions and limits know.
inline double monotonic_now() { return static_cast<double>(g_get_monotonic_time()) / 1e6; }

class TimerQueue {
  public:
    using Action = std::function<void()>;
    using Handle = std::pair<double, std::uint64_t>;  // value-initialised: none

    TimerQueue();
    ~TimerQueue();
    TimerQueue(const TimerQueue&) = delete;
    TimerQueue& operator=(const TimerQueue&) = delete;

    Handle schedule(double due, Action action);
    void cancel(Handle& handle);

  private:
    static gboolean dispatch(GSource*, GSourceFunc callback, gpointer self) { return callback(self); }
    void arm();
    void run_due();

    std::map<Handle, Action> queue_;
    std::uint64_t last_ = 0;
    GSourceFuncs functions_{nullptr, nullptr, dispatch, nullptr, nullptr, nullptr};
    GSource* source_;
};

}  // namespace brookrelay
