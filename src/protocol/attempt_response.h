// How one forward's answer reads, whichever protocol the server speaks. No I/O and no judgement here.
#pragma once

#include <string>

#include "balancer/balancer.h"

namespace brookrelay {

struct AttemptResponse {
    bool valid = false;  // false: nonsense, which fails this exchange and its connection
    AttemptOutcome outcome = AttemptOutcome::reset;
    bool reusable = true;         // the connection may carry another forward
    bool unknown_length = false;  // nothing in front tells how long it is
    std::string body;             // the value of a read, the receipt of a write
};

}  // namespace brookrelay
