// What a client makes of one response of a node: the kind that the auditor is told, and the attempt that made
// it.
#pragma once

#include <cstdint>

#include "audit/history.h"
#include "testkit/wire.h"

namespace brookrelay::testkit {

struct ClientReply {
    audit::Reply kind = audit::Reply::failed;
    int attempt = -1;   // that made the value or the receipt; -1: it names none of this request
    double advice = 0;  // of a rejection: seconds after which to come again
};

// `request` and `key` are those of the command that the response answers.
ClientReply classify_reply(const Heard& heard, std::uint32_t day, int request, std::uint64_t key);

}  // namespace brookrelay::testkit
