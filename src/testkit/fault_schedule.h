// The planned requests of one run, drawn in advance from the scenario and a seed, so that the same seed gives
// the same requests whatever the fleet does. Retries are not planned, because they depend on the responses.
// No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "config/scenario.h"

namespace brookrelay::testkit {

struct PlannedRequest {
    double at = 0;  // seconds from the start of the run
    int operation = 0;
    int tenant = -1;
    std::uint64_t key = 0;    // as it is sent to nodes and servers
    float timeout_ratio = 1;  // part of the client timeout after which the client gives up a request
    float close_ratio = -1;   // part of that timeout after which the client closes the connection; -1: never
    float node_selector = 0;  // 0 to 1: selects the node that the load balancer chooses
    std::uint32_t random_bits = 0;  // the source of the request's idempotency key
};

// Returns the planned requests in the order of their times.
std::vector<PlannedRequest> draw_schedule(const Scenario& scenario, std::uint64_t seed);
// Returns the key that has this popularity rank at the start of the run.
std::uint64_t key_of_rank(std::uint64_t rank);
// Returns a hash of a request schedule and the faults, which is equal for equal runs.
std::uint64_t digest(const std::vector<PlannedRequest>& schedule, const std::vector<Trouble>& troubles);

}  // namespace brookrelay::testkit
