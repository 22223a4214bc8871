// Whether an attempt may be sent now. The one place that decides it, asked at the last moment: when the
// attempt is about to be written to its connection, and not when it was planned.
//
// No I/O and no state. Times are seconds on the monotonic clock.
#pragma once

#include <string_view>

#include "balancer/balancer.h"

namespace brookrelay {

/// Why an attempt must not be sent.
enum class SendRefusal {
    none,              ///< it may be sent
    answered,          ///< its request has had its final answer
    client_closed,     ///< its client has closed the connection
    deadline_passed,   ///< its client has stopped waiting
    would_repeat,      ///< an earlier attempt may have run, and the operation may run only once
    window_over,       ///< a retry that could run after its idempotency key is forgotten
    server_not_ready,  ///< its server is draining, removed, or taken out by an operator
    over_quota         ///< this node's share of the fleet's limit on the origin is used up
};

/// What is known of an attempt at the moment in which it would be written.
struct SendFacts {
    bool answered = false;
    bool client_closed = false;
    bool server_ready = true;
    double now = 0;
    double deadline = 0;  ///< when the client stops waiting
    Idempotency idempotency = Idempotency::idempotent;
    double deduplication_window = 0;  ///< how long a key is remembered, from when its attempt began
    double may_have_run_since = 0;    ///< when the first attempt that may have run was written; 0: none was
};

/// The first reason against sending, in the order of SendRefusal.
SendRefusal check_send(const SendFacts& facts);

/// One word for the log and for metrics.
std::string_view name_of(SendRefusal refusal);

/// How much longer than the client waits a server may be told to work, in seconds.
constexpr double kToldDeadlineSlack = 0.15;
/// How long the process may be held up between this check and the write, in seconds.
constexpr double kHoldUpAllowance = 0.15;

}  // namespace brookrelay
