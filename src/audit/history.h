// What the auditor has recorded of a run so far. Plain data: `Auditor` writes it, and the rules, the traces
// and the accounting read it.
#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "audit/terms.h"

namespace brookrelay::audit {

// The attempts of at least the last `kMinOverloadWindow` seconds are kept for each server.
inline constexpr double kMinOverloadWindow = 1.0;

// How a response ended; truncated: visibly incomplete.
enum class Reply { succeeded, rejected, failed, truncated };
// How a server ended an attempt; none: without a response.
enum class Outcome { done, miss, busy, failed, none };

// A request as its client sent it.
struct RequestInfo {
    int operation = 0;
    int tenant = -1;  // -1: none
    int node = 0;
    int user = 0;          // the same for a client's first request and its retries
    int retry_number = 0;  // 0: the first request
    std::uint64_t key = 0;
    double timeout = 0;      // seconds that the client waits
    bool is_counted = true;  // false: hostile traffic, checked but neither counted nor accounted
};

enum class RequestEnd {
    open,
    responded,
    client_closed,
    connection_lost,
    timed_out,
    lost_with_node,
    unreachable
};

struct RequestRecord {
    RequestInfo info;
    bool is_registered = false;      // false: a number that no client has used yet
    double begun_connecting_at = 0;  // the node may end between this and received_at
    double received_at = 0;
    double ended_at = -1;  // -1: not ended
    double begun_at = -1;  // when the first bytes of a long value arrived; -1: not yet
    RequestEnd end = RequestEnd::open;
    Reply reply = Reply::failed;  // valid for RequestEnd::responded
    std::vector<int> attempts;
};

struct AttemptRecord {
    int request = -1;  // -1: it names no known request
    int server = 0;
    double work = 0;  // seconds of one core of the server
    double first_byte = 0;
    double last_byte = 0;
    double finished_at = -1;  // -1: not finished
    Outcome outcome = Outcome::none;
    double effect_at = -1;  // -1: its effect has not happened
    bool is_dropped_duplicate = false;
    bool missed_cold = false;  // a miss at a server that was cold
};

// A client's request together with its retries.
struct UserRecord {
    int operation = 0;
    int tenant = -1;
    double first_request_at = 0;
    double offered = 0;  // billed value
    double earned = 0;
    int first_effect = -1;  // the attempt that had the first effect; -1: none
};

struct ServerRecord {
    bool is_cold = false;
    double started_at = -1;
    std::vector<bool> start_is_known;  // [node]
    std::deque<int> recent_attempts;   // those of the last overload window
    double over_limit_at = -1e9;       // when rule 5 was last reported
};

struct History {
    Terms terms;
    double run_started_at = 0;
    std::vector<RequestRecord> requests;
    std::vector<AttemptRecord> attempts;
    std::vector<UserRecord> users;
    std::vector<ServerRecord> servers;
};

// A container index of a number that is known not to be negative.
inline std::size_t index(int number) { return static_cast<std::size_t>(number); }

}  // namespace brookrelay::audit
