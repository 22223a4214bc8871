#include "proxy/graceful_shutdown.h"

#include <algorithm>

namespace brookrelay {
namespace {

// The front proxy goes on sending here for a while after SIGTERM; whoever is still unanswered near the kill
// gets an error. The kill comes no sooner than the longest client timeout, kMaxKillDelay at the most, and
// 0.7 s more.
// At first the node serves as before: the connections that clients have may be the only way in while another
// node starts.
constexpr double kServeOn = 1.0;
constexpr double kFrontMovesAway = 0.5;  // after that; the front has sent nothing new for some time by then
constexpr double kQuiet = 0.5;
constexpr double kMaxKillDelay = 3.0;
constexpr double kAnswerMargin = 0.4;

}  // namespace

void GracefulShutdown::begin(double now, double longest_client_timeout, bool has_shared_listener) {
    const double left = std::min(longest_client_timeout, kMaxKillDelay) + kAnswerMargin;
    began_at_ = now;
    last_answers_at_ = now + left;
    // Where client timeouts are short the kill comes early, and what was taken must be answered before it.
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
