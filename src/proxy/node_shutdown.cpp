// The part of Node that carries out a graceful shutdown, by the schedule of GracefulShutdown.
#include <algorithm>
#include <utility>

#include "proxy/node.h"

namespace brookrelay {

void Node::begin_shutdown() {
    if (shutdown_.has_begun()) return;
    log_.line(Topic::node, "told_to_end",
              has_shared_listener_ ? "told to end: the other processes on the listener accept new clients"
                                   : "told to end: serves requests until the front proxy sends no more");
    // The signal may have arrived at any time since the previous poll.
    shutdown_.begin(poll_clock_.previous_poll(), longest_client_timeout(), has_shared_listener_);
    accepts_clients_ = false;
    if (has_shared_listener_) {
        clients_.stop_accepting();
        clients_.begin_shutdown(true);
        return check_shutdown();
    }
    timers_.schedule(shutdown_.closes_at(), [this] { clients_.begin_shutdown(false); });
    check_shutdown();
}

double Node::longest_client_timeout() const {
    double longest = 0;
    for (const Operation& operation : config_.deployment.operations)
        longest = std::max(longest, operation.client_timeout);
    return longest;
}

void Node::check_shutdown() {
    const double now = monotonic_now();
    const bool clients_are_gone =
        has_shared_listener_
            ? clients_.empty()
            : shutdown_.has_front_moved_away(now) && clients_.idle_since(GracefulShutdown::quiet_from(now));
    const GracefulShutdown::Work work{!clients_are_gone, requests_.open_count() > 0,
                                      clients_.has_undelivered_responses()};
    switch (shutdown_.next_step(now, work)) {
        case GracefulShutdown::Step::wait:
            if (work.has_undelivered_responses && shutdown_.is_kill_near(now)) log_late_responses();
            break;
        case GracefulShutdown::Step::fail_open_requests:
            fail_open_requests();
            break;
        case GracefulShutdown::Step::finish:
            done_ = true;
            return;
    }
    timers_.schedule(now + GracefulShutdown::kCheckInterval, [this] { check_shutdown(); });
}

void Node::log_late_responses() {
    if (std::exchange(has_logged_late_responses_, true)) return;
    log_.line(Topic::node, "delivers_before_end",
              "responses are still being delivered: this process ends after them, or when it is killed");
}

void Node::fail_open_requests() {
    log_.line(Topic::node, "errored_before_kill",
              std::to_string(requests_.open_count()) +
                  " open requests answered as failed before the platform kills this process");
    for (const int request : requests_.open_requests()) {
        event_queue_.emplace_back([this, request](double then) {
            fail(request);
            abandon_request(then, request, RequestEnd::failed);
        });
    }
}

}  // namespace brookrelay
