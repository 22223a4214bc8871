#include "testkit/client_reply.h"

#include <string>

namespace brookrelay::testkit {

ClientReply classify_reply(const Response& response, std::uint32_t day, int request, std::uint64_t key) {
    ClientReply reply;
    int parsed_request = -1;
    const bool is_for_request =
        !response.id.empty() && read_id(response.id, day, parsed_request) && parsed_request == request;
    Value value;
    switch (response.kind) {
        case Response::Kind::value:
            reply.kind = audit::Reply::succeeded;
            if (is_for_request && read_value(response.body, value) && value.key == key)
                reply.attempt = value.attempt;
            break;
        case Response::Kind::receipt:
            reply.kind = audit::Reply::succeeded;
            if (is_for_request && read_value(std::string(response.body) + ";v0;k0;", value))
                reply.attempt = value.attempt;
            break;
        case Response::Kind::busy:
            reply.kind = audit::Reply::rejected;
            reply.advice = response.advice;
            break;
        case Response::Kind::other:
            break;
    }
    return reply;
}

}  // namespace brookrelay::testkit
