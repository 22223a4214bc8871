#include "guard/send_guard.h"

namespace brookrelay {
namespace {

SendRefusal check_repeat(const SendFacts& facts) {
    if (facts.may_have_run_since == 0 || facts.idempotency == Idempotency::idempotent)
        return SendRefusal::none;
    if (facts.idempotency == Idempotency::none) return SendRefusal::would_repeat;
    const double window_end = facts.may_have_run_since + facts.deduplication_window;
    return facts.now + kHoldUpAllowance >= window_end ? SendRefusal::window_over : SendRefusal::none;
}

}  // namespace

SendRefusal check_send(const SendFacts& facts) {
    if (facts.answered) return SendRefusal::answered;
    if (facts.client_closed) return SendRefusal::client_closed;
    if (facts.close_hidden_for > kMaxCloseHidden) return SendRefusal::close_hidden;
    if (facts.now >= facts.deadline) return SendRefusal::deadline_passed;
    if (!facts.server_ready) return SendRefusal::server_not_ready;
    return check_repeat(facts);
}

std::string_view name_of(SendRefusal refusal) {
    switch (refusal) {
        case SendRefusal::none:
            return "none";
        case SendRefusal::answered:
            return "answered";
        case SendRefusal::client_closed:
            return "client_closed";
        case SendRefusal::close_hidden:
            return "close_hidden";
        case SendRefusal::deadline_passed:
            return "deadline_passed";
        case SendRefusal::would_repeat:
            return "would_repeat";
        case SendRefusal::window_over:
            return "window_over";
        case SendRefusal::server_not_ready:
            return "server_not_ready";
        case SendRefusal::over_quota:
            return "over_quota";
    }
    return "unknown";
}

}  // namespace brookrelay
