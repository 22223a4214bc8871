#include "io/timer_queue.h"

#include <cmath>

namespace brookrelay {

TimerQueue::TimerQueue() : source_(g_source_new(&functions_, sizeof(GSource))) {
    const auto on_ready = [](gpointer self) -> gboolean {
        static_cast<TimerQueue*>(self)->run_due();
        return G_SOURCE_CONTINUE;
    };
    g_source_set_callback(source_.get(), on_ready, this, nullptr);
    g_source_attach(source_.get(), nullptr);
}

TimerQueue::Handle TimerQueue::schedule(double due, Action action) {
    const Handle handle{due, ++last_id_};
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
    const gint64 ready_time =
        queue_.empty() ? -1 : static_cast<gint64>(std::ceil(queue_.begin()->first.first * 1e6));
    if (ready_time != g_source_get_ready_time(source_.get()))
        g_source_set_ready_time(source_.get(), ready_time);
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
