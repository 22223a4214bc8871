// The parsed response to one attempt, shared by the memcache and HTTP codecs. No I/O.
#pragma once

#include <string>

#include "balancer/balancer.h"

namespace brookrelay {

/// A server's response to an attempt.
struct AttemptResponse {
    bool valid = false;  // false: malformed, so the attempt fails and its connection is closed
    AttemptOutcome outcome = AttemptOutcome::reset;
    bool reusable = true;         // the connection may carry another attempt
    bool unknown_length = false;  // the header does not state the length of the body
    std::string body;             // the value of a read or the receipt of a write
};

}  // namespace brookrelay
