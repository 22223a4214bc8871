#include "protocol/origin_http.h"

#include <utility>

#include "protocol/http1.h"

namespace brookrelay {

std::string format_origin_request_head(const Command& command, double time_left, std::string_view host) {
    const std::string target = percent_encode_segment(command.key);
    const std::string attributes = format_attributes(command.attributes, time_left);
    const HttpHeaders headers{{"X-Trace-Id", command.id}, {"X-Props", attributes}};
    const bool is_write = command.kind == Command::Kind::write;
    return format_http_request_head(is_write ? "PUT" : "GET", target, host, headers, command.value.size());
}

std::string format_origin_request(const Command& command, double time_left, std::string_view host) {
    return format_origin_request_head(command, time_left, host).append(command.value.view());
}

StreamedValue parse_streamed_origin_response(std::string_view input) {
    HttpResponse response;
    std::size_t length = 0;
    const std::size_t head_bytes = parse_http_response_head(input, kMaxValueBytes, response, length);
    if (head_bytes == 0 || !response.valid || response.status != 200 || length <= kMaxBufferedValueBytes)
        return {};
    return {head_bytes, length, 0, {}, response.keep_alive};
}

UnsizedResponse parse_unsized_origin_response(std::string_view input) {
    HttpResponse response;
    std::size_t length = 0;
    const std::size_t head_bytes = parse_http_response_head(input, kMaxValueBytes, response, length);
    if (head_bytes == 0 || !response.valid || response.status != 200 || !response.has_unknown_length())
        return {};
    return {head_bytes, !response.body_until_close, response.keep_alive};
}

std::size_t parse_origin_response(std::string_view input, AttemptResponse& result, bool ended) {
    result = {};
    HttpResponse response;
    std::size_t parsed_bytes =
        parse_http_response(input, {kMaxBufferedValueBytes, kMaxValueBytes}, response, ended);
    // The body of an error response is ignored, so the parser does not wait for its end.
    if (parsed_bytes == 0 && response.body_until_close && response.status != 200) parsed_bytes = input.size();
    result.unknown_length = response.has_unknown_length();
    if (parsed_bytes == 0) return 0;
    result.valid = response.valid;
    result.reusable = response.keep_alive;
    if (response.status == 200) {
        result.outcome = AttemptOutcome::succeeded;
        result.body = std::move(response.body);
    } else {
        const bool is_not_executed = response.header("x-never-ran") == "1";
        result.outcome = is_not_executed && (response.status == 503 || response.status == 504)
                             ? AttemptOutcome::busy
                             : AttemptOutcome::failed;
    }
    return parsed_bytes;
}

}  // namespace brookrelay
