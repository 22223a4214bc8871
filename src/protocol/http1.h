// HTTP/1.1 codec: formats requests, parses responses, and parses the heads of requests. No I/O and no state.
//
// Parsers take all input received so far and return the size of the first message, or 0 if it is incomplete.
// Malformed input is reported by `valid` == false with a result above 0, never by an exception. A body
// without a length is complete only after the peer has closed cleanly (`ended`); a reset does not complete
// it. Sizes are bytes.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace brookrelay {

/// Limit of the head of a message, and of each line inside a chunked body.
constexpr std::size_t kMaxHttpHeadBytes = 8192;

/// A response, or only its head if it was parsed by parse_http_response_head().
struct HttpResponse {
    bool valid = false;  // false: not HTTP, ambiguous framing, or a limit exceeded
    int status = 0;
    bool keep_alive = true;
    bool body_until_close = false;  // the body has no length and ends when the peer closes cleanly
    bool has_unknown_length() const { return body_until_close || !header("transfer-encoding").empty(); }
    std::vector<std::pair<std::string, std::string>> headers;  // names in lower case, in order of arrival
    std::string body;

    /// Returns the value of the first header with this name (in lower case), or an empty view if there is
    /// none.
    std::string_view header(std::string_view name) const;
};

/// The request line of a request.
struct HttpRequest {
    bool valid = false;  // false: not an HTTP/1.0 or HTTP/1.1 request
    std::string method, target;
};

using HttpHeaders = std::vector<std::pair<std::string_view, std::string_view>>;

/// Formats the head of a request with a body of `body_bytes`. Only a PUT gets a Content-Length.
std::string format_http_request_head(std::string_view method, std::string_view target, std::string_view host,
                                     const HttpHeaders& headers, std::size_t body_bytes);
/// Formats a request. Only a PUT gets a Content-Length, so others should have no body.
std::string format_http_request(std::string_view method, std::string_view target, std::string_view host,
                                const HttpHeaders& headers, std::string_view body);
/// Returns `/` and the segment, percent-encoded where a path requires it.
std::string percent_encode_segment(std::string_view segment);

/// Parses the head of the first request. Returns its size, or 0 if it is incomplete. A body is not parsed.
std::size_t parse_http_request(std::string_view input, HttpRequest& request);

/// Parses the head of the first final response. Returns its size including the interim (1xx) responses before
/// it, or 0 if it is incomplete. Sets `length` to its Content-Length, which must not exceed `max_body_bytes`,
/// or to 0 if there is none.
std::size_t parse_http_response_head(std::string_view input, std::size_t max_body_bytes,
                                     HttpResponse& response, std::size_t& length);

/// The maximum sizes of bodies: `with_length` applies to bodies with a Content-Length, `without_length` to
/// bodies that are chunked or end with the connection.
struct BodyLimits {
    std::size_t with_length, without_length;
    BodyLimits(std::size_t max_bytes) : with_length(max_bytes), without_length(max_bytes) {}
    BodyLimits(std::size_t max_with_length, std::size_t max_without_length)
        : with_length(max_with_length), without_length(max_without_length) {}
};

/// Parses the first final response. Returns its size, or 0 if it is incomplete. A response whose body exceeds
/// `limits` is invalid. `ended`: the peer has closed cleanly, so no input follows.
std::size_t parse_http_response(std::string_view input, BodyLimits limits, HttpResponse& response,
                                bool ended = false);

}  // namespace brookrelay
