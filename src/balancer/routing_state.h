// What the balancer keeps of each request in flight. Plain data: nothing is
// decided here. Times are seconds of the caller's monotonic clock.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "balancer/balancer.h"

namespace brookrelay {

// Whether an attempt may have had its effect, as far as its outcome proves.
enum class AttemptState { in_flight, never_ran, may_have_run };

struct Attempt {
    int server = 0;
    double sent_at = 0;
    AttemptState state = AttemptState::in_flight;
};

// What a request without an attempt in flight waits for: another request's fetch of its key, or the origin's
// queue.
enum class WaitReason { none, fetch, queue };

struct PendingRequest {
    bool open = false;  // it has no final answer yet
    Request info;
    std::shared_ptr<const Deployment> deployment;  // the settings in force when it came

    double deadline = 0;            // when its client stops waiting
    double objective_deadline = 0;  // until when an answer meets the latency objective
    double useful_until = 0;        // when an answer stops being worth anything
    std::vector<Attempt> attempts;
    int in_flight = 0;   // attempts without an outcome
    int missed_at = -1;  // the cache server that lacked the key; -1: none
    WaitReason waiting_for = WaitReason::none;
    bool streaming = false;        // the client has the first bytes of an answer
    bool leads_fetch = false;      // others wait for its fetch from the origin
    bool over_quota = false;       // it came beyond its tenant's quota
    int key_count = 0;             // how often its key came here lately
    std::uint32_t generation = 0;  // tells a timer's request from a later one with the same id
};

}  // namespace brookrelay
