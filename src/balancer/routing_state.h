// The balancer's state of each request. Plain data without decisions. Times are in seconds of the host's
// monotonic clock.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "balancer/balancer.h"

namespace brookrelay {

// Whether the operation may have run in an attempt, as far as the attempt's outcome proves.
enum class AttemptState { in_flight, never_ran, may_have_run };

// One attempt of a request.
struct Attempt {
    int server = 0;
    int zone = 0, cell = 0;  // of the server when the attempt was started
    double sent_at = 0;
    AttemptState state = AttemptState::in_flight;
};

// What a request without an attempt in flight waits for: nothing, another request's fetch of the same key, or
// a place in the origin's queue.
enum class WaitReason { none, fetch, queue };

// A request and its attempts. Entries are reused under the request's id.
struct PendingRequest {
    bool open = false;  // the request has no final answer yet
    Request info;
    std::shared_ptr<const Deployment> deployment;  // settings in force when the request arrived

    double deadline = 0;            // time when its client stops waiting
    double objective_deadline = 0;  // latest time at which a response meets the latency objective
    double useful_until = 0;        // time from which a response has no value
    std::vector<Attempt> attempts;
    int in_flight = 0;   // attempts without an outcome
    int missed_at = -1;  // cache server that did not hold the key; -1: none
    WaitReason waiting_for = WaitReason::none;
    bool streaming = false;        // the client has received the first bytes of a response
    bool leads_fetch = false;      // its fetch from the origin also serves other requests for the key
    bool over_quota = false;       // it arrived when its tenant's quota was used up
    int key_count = 0;             // number of recent requests for its key at this node
    std::uint32_t generation = 0;  // distinguishes successive requests with the same id, for timers
};

}  // namespace brookrelay
