// HTTP/1.1 codec: formats requests, parses responses, and parses the heads of requests. No I/O and no state.
//
// Parsers look at all input received so far and return how many bytes form a message, or 0 if it is
// incomplete. Malformed input is reported by `valid` == false with a result above 0, never by an exception. A
// body without a length is only complete after the peer has closed cleanly (`ended`), which a reset is not.
// Sizes are bytes.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace brookrelay {

/// A response, or its head if it comes from parse_http_response_head().
struct HttpResponse {
    bool valid = false;  // false: not HTTP, ambiguous, or beyond a limit
    int status = 0;
    bool keep_alive = true;
    bool body_until_close = false;  // the body has no length and ends when the peer closes cleanly
    bool has_unknown_length() const { return body_until_close || !header("transfer-encoding").empty(); }
    std::vector<std::pair<std::string, std::string>> headers;  // names in lower case, in order
    std::string body;

    /// The value of the first header of this name (in lower case), empty if there is none.
    std::string_view header(std::string_view name) const;
};

/// The first line of a request.
struct HttpRequest {
    bool valid = false;  // false: not an HTTP/1.0 or HTTP/1.1 request
    std::string method, target;
};

using HttpHeaders = std::vector<std::pair<std::string_view, std::string_view>>;

/// Formats a request; only a PUT has a Content-Length and should have a body.
std::string format_http_request(std::string_view method, std::string_view target, std::string_view host,
                                const HttpHeaders& headers, std::string_view body);
/// Returns `/` and the segment, percent-encoded where a path requires it.
std::string percent_encode_segment(std::string_view segment);

/// Parses the head of the first request; returns its size, or 0 if it is incomplete. A body is not parsed.
std::size_t parse_http_request(std::string_view input, HttpRequest& request);

/// Parses the head of the first final response; returns its size including interim (1xx) responses before it,
/// or 0 if it is incomplete. `length` is set to its Content-Length, which must not exceed `max_body_bytes`,
/// or to 0.
std::size_t parse_http_response_head(std::string_view input, std::size_t max_body_bytes,
                                     HttpResponse& response, std::size_t& length);

/// The greatest size of a body with a Content-Length, and of one that is chunked or ends with the connection.
struct BodyLimits {
    std::size_t with_length, without_length;
    BodyLimits(std::size_t max_bytes) : with_length(max_bytes), without_length(max_bytes) {}
    BodyLimits(std::size_t max_with_length, std::size_t max_without_length)
        : with_length(max_with_length), without_length(max_without_length) {}
};

/// Parses the first final response; returns its size, or 0 if it is incomplete. Bodies over `limits` are
/// invalid. `ended`: the peer has closed cleanly, so no input follows.
std::size_t parse_http_response(std::string_view input, BodyLimits limits, HttpResponse& response,
                                bool ended = false);

}  // namespace brookrelay
