// HTTP/1.1 as a client needs it: requests to bytes, bytes to responses. It owns no socket and no buffer, and
// never takes a body for whole whose end it cannot tell: one that only the closing connection ends is whole
// once the peer has ended its sending in order, which a reset never is.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace brookrelay {

struct HttpResponse {
    bool valid = false;  // false: this is not HTTP, or nothing that may be relied upon
    int status = 0;
    bool keep_alive = true;
    bool body_until_close =
        false;  // no length is told: the body goes on to the orderly end of the connection
    bool has_unknown_length() const { return body_until_close || !header("transfer-encoding").empty(); }
    std::vector<std::pair<std::string, std::string>> headers;  // names in lower case
    std::string body;

    std::string_view header(std::string_view name) const;  // empty if there is none
};

struct HttpRequest {
    bool valid = false;  // false: this is no request of HTTP/1.1
    std::string method, target;
};

using HttpHeaders = std::vector<std::pair<std::string_view, std::string_view>>;

std::string format_http_request(std::string_view method, std::string_view target, std::string_view host,
                                const HttpHeaders& headers, std::string_view body);
std::string percent_encode_segment(std::string_view segment);  // percent-encoded where a path needs it

// How many bytes the first request's head takes; 0: it is not whole yet. What body may follow is not read.
std::size_t parse_http_request(std::string_view in, HttpRequest& out);

// How many bytes the first final response's head takes, with those before it; 0: it is not whole yet. Sound
// if it is one; `length` is its body's, where it gives one that is not over `body_most`.
std::size_t parse_http_response_head(std::string_view in, std::size_t body_most, HttpResponse& out,
                                     std::size_t& length);

// How long a body may be: one whose length its head tells, and one that comes in chunks or up to the
// connection's end.
struct BodyLimits {
    std::size_t with_length, without_length;
    BodyLimits(std::size_t both) : with_length(both), without_length(both) {}
    BodyLimits(std::size_t of_told, std::size_t of_untold)
        : with_length(of_told), without_length(of_untold) {}
};

// How many bytes the first response takes; 0: it is not whole yet. Longer bodies than `most` are not sound.
// `ended`: nothing will come behind `in`, by an orderly end.
std::size_t parse_http_response(std::string_view in, BodyLimits most, HttpResponse& out, bool ended = false);

}  // namespace brookrelay
