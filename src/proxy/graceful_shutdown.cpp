#include "proxy/graceful_shutdown.h"

#include <algorithm>

namespace brookrelay {
namespace {

// The front proxy continues to send requests to this node for a while after SIGTERM. The platform's kill
// comes no sooner than min(longest client timeout, kMaxKillDelay) + 0.7 s after the signal; requests that are
// still open shortly before it fail with an error.

// Upper bound, in seconds, of the time after the signal in which the node, without a shared listener, serves
// as before: the open client connections may be the only way to reach the service while another node starts.
constexpr double kServingTime = 1.0;
// Seconds after closes_at() until the front proxy counts as moved away; by then it has sent nothing new to
// this node for some time.
constexpr double kFrontProxyDelay = 0.5;
// Seconds without a command after which the clients count as gone; also the time after fail_requests_at_ at
// which clients are no longer waited for.
constexpr double kQuietTime = 0.5;
constexpr double kMaxKillDelay = 3.0;  // s; longer client timeouts do not delay the kill further
// Seconds after min(longest client timeout, kMaxKillDelay) at which open requests fail; 0.3 s before the
// kill.
constexpr double kFailureDelay = 0.4;

}  // namespace

void GracefulShutdown::begin(double now, double longest_client_timeout, bool has_shared_listener) {
    const double time_to_failure = std::min(longest_client_timeout, kMaxKillDelay) + kFailureDelay;
    began_at_ = now;
    fail_requests_at_ = now + time_to_failure;
    // With short client timeouts the kill comes early, and accepted requests must be answered before it.
    closes_at_ = has_shared_listener ? now : now + std::min(kServingTime, time_to_failure / 2);
}

void GracefulShutdown::on_configuration(double longest_client_timeout) {
    const double time_to_failure = std::min(longest_client_timeout, kMaxKillDelay) + kFailureDelay;
    fail_requests_at_ = std::min(fail_requests_at_, began_at_ + time_to_failure);
}

bool GracefulShutdown::has_front_moved_away(double now) const { return now - closes_at_ >= kFrontProxyDelay; }

double GracefulShutdown::quiet_from(double now) { return now - kQuietTime; }

GracefulShutdown::Step GracefulShutdown::next_step(double now, const Work& work) const {
    if (work.has_open_requests) return is_kill_near(now) ? Step::fail_open_requests : Step::wait;
    if (work.has_undelivered_responses) return Step::wait;
    const bool waits_for_clients = work.has_clients && now < fail_requests_at_ + kQuietTime;
    return waits_for_clients ? Step::wait : Step::finish;
}

}  // namespace brookrelay
