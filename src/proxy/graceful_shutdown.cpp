#include "proxy/graceful_shutdown.h"

#include <algorithm>

namespace brookrelay {
namespace {

// The front proxy continues to send requests to this node for a while after SIGTERM. The platform's kill
// comes no sooner than min(longest client timeout, kMaxKillDelay) + 0.7 s after the signal; requests that are
// still open shortly before it fail with an error.

// Seconds after the signal in which the node serves as before: the open client connections may be the only
// way to reach the service while another node starts.
constexpr double kServeOn = 1.0;
// Seconds after closes_at() until the front proxy counts as moved away; by then it has sent nothing new to
// this node for some time.
constexpr double kFrontMovesAway = 0.5;
constexpr double kQuiet = 0.5;         // s without a command after which the clients count as gone
constexpr double kMaxKillDelay = 3.0;  // s; longer client timeouts do not delay the kill further
// Seconds after min(longest client timeout, kMaxKillDelay) at which open requests fail; 0.3 s before the
// kill.
constexpr double kAnswerMargin = 0.4;

}  // namespace

void GracefulShutdown::begin(double now, double longest_client_timeout, bool has_shared_listener) {
    const double left = std::min(longest_client_timeout, kMaxKillDelay) + kAnswerMargin;
    began_at_ = now;
    last_answers_at_ = now + left;
    // With short client timeouts the kill comes early, and accepted requests must be answered before it.
    closes_at_ = has_shared_listener ? now : now + std::min(kServeOn, left / 2);
}

void GracefulShutdown::on_configuration(double longest_client_timeout) {
    const double left = std::min(longest_client_timeout, kMaxKillDelay) + kAnswerMargin;
    last_answers_at_ = std::min(last_answers_at_, began_at_ + left);
}

bool GracefulShutdown::has_front_moved_away(double now) const { return now - closes_at_ >= kFrontMovesAway; }

double GracefulShutdown::quiet_from(double now) { return now - kQuiet; }

GracefulShutdown::Step GracefulShutdown::next_step(double now, bool clients_are_gone,
                                                   bool has_open_requests) const {
    if (clients_are_gone && !has_open_requests) return Step::finish;
    if (now >= last_answers_at_ && has_open_requests) return Step::fail_open_requests;
    return now >= last_answers_at_ + kQuiet ? Step::finish : Step::wait;
}

}  // namespace brookrelay
