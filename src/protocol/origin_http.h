// Translates commands to HTTP/1.1 requests for the origin, and its responses to attempt outcomes. No I/O and
// no state. A request counts as not executed (busy) only if the response states so, because all others must
// not be retried as if they had not run. Malformed input is reported by `valid` == false. Sizes are bytes,
// times are seconds.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "protocol/attempt_response.h"
#include "protocol/memcache_text.h"

namespace brookrelay {

/// Formats the head of a GET or PUT request, with `time_left` as its remaining time. The value of a write
/// follows as the body.
std::string format_origin_request_head(const Command& command, double time_left, std::string_view host);
/// Formats the command as a GET or PUT request, with `time_left` as its remaining time.
std::string format_origin_request(const Command& command, double time_left, std::string_view host);
/// Parses the head of a successful response with a long value.
StreamedValue parse_streamed_origin_response(std::string_view input);
/// The head of a successful response whose head does not state the length of its body.
struct UnsizedResponse {
    std::size_t header_bytes = 0;  // 0: no such response, or its head is incomplete
    bool is_chunked = false;       // false: the body ends when the peer closes cleanly
    bool reusable = false;         // the connection may carry another attempt after the body
};
/// Parses the head of a successful response without a length.
UnsizedResponse parse_unsized_origin_response(std::string_view input);
/// Parses a response. Returns its size, or 0 if it is incomplete; `unknown_length` of the response is set
/// even then. `ended`: the peer has closed cleanly, so no input follows.
std::size_t parse_origin_response(std::string_view input, AttemptResponse& result, bool ended = false);

}  // namespace brookrelay
