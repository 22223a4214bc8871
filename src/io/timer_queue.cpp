#include "io/timer_queue.h"

#include <cmath>

namespace brookrelay {
TimerQueue::TimerQueue() : source_(g_source_new(&functions_, sizeof(GSource))) {
    const auto due = [](gpointer self) -> gboolean {
        static_cast<TimerQueue*>(self)->run_due();
        return G_SOURCE_CONTINUE;
    };
    g_source_set_callback(source_, due, this, nullptr);
    g_source_attach(source_, nullptr);
}

TimerQueue::~TimerQueue() {
    g_source_destroy(source_);
    g_source_unref(source_);
}

TimerQueue::Handle TimerQueue::schedule(double due, Action action) {
    const Handle handle{due, ++last_};
    queue_.emplace(handle, std::move(action));
    arm();
    return handle;
}

void TimerQueue::cancel(Handle& handle) {
    if (handle.second == 0) return;
    queue_.erase(handle);
    handle = {};
    arm();
}

void TimerQueue::arm() {
    const gint64 ready =
        queue_.empty() ? -1 : static_cast<gint64>(std::ceil(queue_.begin()->first.first * 1e6));
    if (ready != g_source_get_ready_time(source_)) g_source_set_ready_time(source_, ready);
}

void TimerQueue::run_due() {
    const double now = monotonic_now();
    while (!queue_.empty() && queue_.begin()->first.first <= now) {
        const Action action = std::move(queue_.begin()->second);
        queue_.erase(queue_.begin());
        action();
    }
    arm();
}

}  // namespace brookrelay
