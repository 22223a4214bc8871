// Decides whether an attempt may be sent. All attempts are checked here immediately before they are written
// to their connection, and not when they are planned.
//
// Does no I/O and holds no state. Times are in seconds of the monotonic clock.
#pragma once

#include <string_view>

#include "balancer/balancer.h"

namespace brookrelay {

/// Why an attempt must not be sent.
enum class SendRefusal {
    none,              ///< the attempt may be sent
    answered,          ///< its request already has its final answer
    client_closed,     ///< its client has closed the connection
    close_hidden,      ///< its client may have closed the connection too long ago
    deadline_passed,   ///< its client has stopped waiting
    would_repeat,      ///< an earlier attempt may have run, and the operation may run only once
    window_over,       ///< the retry could run after its idempotency key has expired
    server_not_ready,  ///< its server is draining, removed, or drained by an operator
    over_quota         ///< this node's share of the fleet's limit on the origin is used up
};

/// State of an attempt immediately before it would be written.
struct SendFacts {
    bool answered = false;
    bool client_closed = false;
    double close_hidden_for = 0;  ///< s for which a close by the client could not have been seen
    bool server_ready = true;
    double now = 0;
    double deadline = 0;  ///< time when the client stops waiting
    Idempotency idempotency = Idempotency::idempotent;
    double deduplication_window = 0;  ///< s that servers remember a key, from the start of its attempt
    double may_have_run_since = 0;    ///< time when the first attempt that may have run was written; 0: none
};

/// Returns the first reason that holds, in the order answered, client_closed, close_hidden, deadline_passed,
/// server_not_ready, then would_repeat or window_over; or SendRefusal::none. The caller checks for
/// over_quota.
SendRefusal check_send(const SendFacts& facts);

/// Returns the name of a reason in the log and in metrics.
std::string_view name_of(SendRefusal refusal);

/// Seconds by which the deadline sent to a server may exceed the time that its client waits.
constexpr double kServerDeadlineSlack = 0.15;
/// Seconds for which a close by the client may be hidden. An attempt may begin 0.1 s after the close, and the
/// sockets may have been polled 0.02 s before it is sent.
constexpr double kMaxCloseHidden = 0.08;
/// Seconds for which the process may be delayed between this check and the write.
constexpr double kHoldUpAllowance = 0.15;

}  // namespace brookrelay
