#include "guard/close_guard.h"

#include <array>

namespace brookrelay {
namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(CloseReason::count)> kNames{
    "peer_closed", "idle",     "first_command_late", "too_many_idle", "evicted",
    "shutdown",    "rejected", "unread_responses",   "broken_value"};

bool is_optional(CloseReason reason) {
    switch (reason) {
        case CloseReason::idle:
        case CloseReason::first_command_late:
        case CloseReason::too_many_idle:
        case CloseReason::evicted:
        case CloseReason::shutdown:
            return true;
        default:
            return false;
    }
}

}  // namespace

bool may_close(CloseReason reason, const CloseFacts& facts) {
    return !is_optional(reason) || (facts.unanswered_commands == 0 && !facts.has_unread_input);
}

bool loses_commands(CloseReason reason, const CloseFacts& facts) {
    if (facts.unanswered_commands == 0) return false;
    return reason != CloseReason::peer_closed && reason != CloseReason::unread_responses;
}

std::string_view name_of(CloseReason reason) { return kNames[static_cast<std::size_t>(reason)]; }

}  // namespace brookrelay
