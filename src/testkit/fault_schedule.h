// The planned requests of one run, drawn ahead from the scenario and a seed, so that the same seed gives the
// same requests whatever the fleet does. Retries are not part of it; they depend on the responses. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "config/scenario.h"

namespace brookrelay::testkit {

struct PlannedRequest {
    double at = 0;
    int operation = 0;
    int tenant = -1;
    std::uint64_t key = 0;          // as servers and nodes see it
    float timeout_ratio = 1;        // part of the client timeout after which a try is given up
    float leaves = -1;              // part of that after which the client goes; -1: it stays
    float node_selector = 0;        // 0 to 1: which node the front deals it to
    std::uint32_t random_bits = 0;  // for what is drawn later on its behalf
};

std::vector<PlannedRequest> draw_schedule(const Scenario& scenario, std::uint64_t seed);
// The key that has this rank of popularity at the day's start.
std::uint64_t key_of_rank(std::uint64_t rank);
// One number for a schedule and the troubles: the same day has the same.
std::uint64_t digest(const std::vector<PlannedRequest>& schedule, const std::vector<Trouble>& troubles);

}  // namespace brookrelay::testkit
