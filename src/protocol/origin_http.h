// The origin's side of a forward: an invocation as an HTTP/1.1 request, and what the response proves. It owns
// nothing, and must never take a response for "never ran" that does not say so.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "protocol/attempt_response.h"
#include "protocol/memcache_text.h"

namespace brookrelay {

std::string format_origin_request(const Command& command, double time_left, std::string_view host);
StreamedValue parse_streamed_origin_response(std::string_view in);
// 0: not whole yet, and `out` says whether its length is told. `ended`: nothing will come behind `in`, by an
// orderly end.
std::size_t parse_origin_response(std::string_view in, AttemptResponse& out, bool ended = false);

}  // namespace brookrelay
