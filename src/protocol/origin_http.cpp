#include "protocol/origin_http.h"

#include <utility>

#include "protocol/http1.h"

namespace brookrelay {

std::string format_origin_request(const Command& c, double time_left, std::string_view host) {
    const std::string target = percent_encode_segment(c.key);
    const std::string properties = format_attributes(c.attributes, time_left);
    const HttpHeaders headers{{"X-Trace-Id", c.id}, {"X-Props", properties}};
    const bool write = c.kind == Command::Kind::write;
    return format_http_request(write ? "PUT" : "GET", target, host, headers, c.value);
}

StreamedValue parse_streamed_origin_response(std::string_view in) {
    HttpResponse response;
    std::size_t length = 0;
    const std::size_t head = parse_http_response_head(in, kMaxValueBytes, response, length);
    if (head == 0 || !response.valid || response.status != 200 || length <= kMaxBufferedValueBytes) return {};
    return {head, length, 0, {}, response.keep_alive};
}

std::size_t parse_origin_response(std::string_view in, AttemptResponse& a, bool ended) {
    a = {};
    HttpResponse response;
    std::size_t taken = parse_http_response(in, {kMaxBufferedValueBytes, kMaxValueBytes}, response, ended);
    // Where only the head counts, a body up to the connection's end is not waited for.
    if (taken == 0 && response.body_until_close && response.status != 200) taken = in.size();
    a.unknown_length = response.has_unknown_length();
    if (taken == 0) return 0;
    a.valid = response.valid;
    a.reusable = response.keep_alive;
    if (response.status == 200) {
        a.outcome = AttemptOutcome::succeeded;
        a.body = std::move(response.body);
    } else {
        const bool never_ran = response.header("x-never-ran") == "1";
        a.outcome = never_ran && (response.status == 503 || response.status == 504) ? AttemptOutcome::busy
                                                                                    : AttemptOutcome::failed;
    }
    return taken;
}

}  // namespace brookrelay
