// Classifies one response of a node as a client sees it: the kind reported to the auditor, and the attempt
// that produced it.
#pragma once

#include <cstdint>

#include "audit/history.h"
#include "testkit/wire.h"

namespace brookrelay::testkit {

struct ClientReply {
    audit::Reply kind = audit::Reply::failed;
    int attempt =
        -1;  // that produced the value or receipt; -1: the response names no attempt of this request
    double advice = 0;  // retry-after of a rejection, in seconds
};

// Classifies a response to the command with this `request` number and `key`.
ClientReply classify_reply(const Response& response, std::uint32_t day, int request, std::uint64_t key);

}  // namespace brookrelay::testkit
