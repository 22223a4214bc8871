// The parsed response to one attempt, the same for the memcache and the HTTP codec. No I/O.
#pragma once

#include <string>

#include "balancer/balancer.h"

namespace brookrelay {

/// What a server answered to an attempt.
struct AttemptResponse {
    bool valid = false;  // false: malformed, which fails the attempt and its connection
    AttemptOutcome outcome = AttemptOutcome::reset;
    bool reusable = true;         // the connection may carry another attempt
    bool unknown_length = false;  // the header does not give the length of the body
    std::string body;             // the value of a read or the receipt of a write
};

}  // namespace brookrelay
