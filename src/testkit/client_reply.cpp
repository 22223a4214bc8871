#include "testkit/client_reply.h"

#include <string>

namespace brookrelay::testkit {

ClientReply classify_reply(const Heard& heard, std::uint32_t day, int request, std::uint64_t key) {
    ClientReply reply;
    int named = -1;
    const bool ours = !heard.id.empty() && read_id(heard.id, day, named) && named == request;
    Value value;
    switch (heard.kind) {
        case Heard::Kind::value:
            reply.kind = audit::Reply::succeeded;
            if (ours && read_value(heard.body, value) && value.key == key) reply.attempt = value.forward;
            break;
        case Heard::Kind::receipt:
            reply.kind = audit::Reply::succeeded;
            if (ours && read_value(std::string(heard.body) + ";v0;k0;", value)) reply.attempt = value.forward;
            break;
        case Heard::Kind::busy:
            reply.kind = audit::Reply::rejected;
            reply.advice = heard.advice;
            break;
        case Heard::Kind::other:
            break;
    }
    return reply;
}

}  // namespace brookrelay::testkit
