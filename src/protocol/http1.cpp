#include "protocol/http1.h"

#include <algorithm>

#include "protocol/http_chunks.h"
#include "util/parse_number.h"
#include "util/trim.h"

namespace brookrelay {
namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr int kSwitchingProtocols = 101;
constexpr int kFirstFinalStatus = 200;
constexpr std::string_view kLineEnd = "\r\n";

// Converts ASCII only, independently of the locale.
char to_lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

std::string to_lower_case(std::string_view text) {
    std::string out(text);
    std::transform(out.begin(), out.end(), out.begin(), to_lower);
    return out;
}

// 204 No Content and 304 Not Modified have no body, regardless of their headers.
bool has_no_body(int status) { return status == 204 || status == 304; }

// Returns whether the name has only printable ASCII characters and no blank. Parsers disagree about a header
// name with a blank before its colon.
bool is_token(std::string_view name) {
    return !name.empty() &&
           std::all_of(name.begin(), name.end(), [](char c) { return c > 0x20 && c < 0x7f; });
}

bool has_header(const HttpResponse& response, std::string_view name) {
    return std::any_of(response.headers.begin(), response.headers.end(),
                       [name](const auto& header) { return header.first == name; });
}

// Parses the header lines of a head after its first line, which ends at `line_end`. Returns false if a line
// is malformed or framing headers conflict.
bool parse_headers(std::string_view head, std::size_t line_end, HttpResponse& response) {
    for (std::size_t position = line_end + kLineEnd.size(); position < head.size();
         position = line_end + kLineEnd.size()) {
        line_end = std::min(head.find(kLineEnd, position), head.size());
        const std::string_view line = head.substr(position, line_end - position);
        const std::size_t colon = line.find(':');
        const std::string name = to_lower_case(line.substr(0, colon));
        if (colon == std::string_view::npos || !is_token(name)) return false;
        const std::string_view value = trim(line.substr(colon + 1));
        // Conflicting framing headers make the end of the body ambiguous.
        const bool is_framing = name == "content-length" || name == "transfer-encoding";
        if (is_framing && has_header(response, name) && response.header(name) != value) return false;
        response.headers.emplace_back(name, value);
    }
    return true;
}

// Parses a status line (`HTTP/1.x NNN reason`) and the headers after it. Returns false if they are malformed.
bool parse_head(std::string_view head, HttpResponse& response) {
    const std::size_t line_end = std::min(head.find(kLineEnd), head.size());
    const std::string_view status_line = head.substr(0, line_end);
    std::size_t status = 0;
    if (!status_line.starts_with("HTTP/1.") || status_line.size() < 12 || status_line[8] != ' ') return false;
    if (!parse_number(status_line.substr(9, 3), status) || status < 100) return false;
    response.status = static_cast<int>(status);
    response.keep_alive = status_line[7] != '0';
    if (!parse_headers(head, line_end, response)) return false;
    const std::string connection = to_lower_case(response.header("connection"));
    if (connection.find("close") != std::string::npos) response.keep_alive = false;
    if (connection.find("keep-alive") != std::string::npos) response.keep_alive = true;
    return true;
}

}  // namespace

std::string_view HttpResponse::header(std::string_view name) const {
    for (const auto& [header_name, value] : headers) {
        if (header_name == name) return value;
    }
    return {};
}

std::string format_http_request_head(std::string_view method, std::string_view target, std::string_view host,
                                     const HttpHeaders& headers, std::size_t body_bytes) {
    std::string text;
    text.append(method)
        .append(" ")
        .append(target)
        .append(" HTTP/1.1\r\nHost: ")
        .append(host)
        .append(kLineEnd);
    for (const auto& [name, value] : headers) text.append(name).append(": ").append(value).append(kLineEnd);
    if (method == "PUT") text.append("Content-Length: ").append(std::to_string(body_bytes)).append(kLineEnd);
    return text.append(kLineEnd);
}

std::string format_http_request(std::string_view method, std::string_view target, std::string_view host,
                                const HttpHeaders& headers, std::string_view body) {
    return format_http_request_head(method, target, host, headers, body.size()).append(body);
}

std::string percent_encode_segment(std::string_view segment) {
    constexpr std::string_view kUnescaped =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~!$&'()*+,;=:@";
    constexpr std::string_view kHexDigits = "0123456789ABCDEF";
    std::string out = "/";
    for (char c : segment) {
        const auto byte = static_cast<unsigned char>(c);
        if (kUnescaped.find(c) != std::string_view::npos) {
            out += c;
        } else {
            out.append({'%', kHexDigits[byte >> 4U], kHexDigits[byte & 15U]});
        }
    }
    return out;
}

std::size_t parse_http_request(std::string_view input, HttpRequest& request) {
    request = {};
    const std::size_t line_end = input.find(kLineEnd);
    if (line_end == std::string_view::npos) return input.size() > kMaxHttpHeadBytes ? input.size() : 0;
    const std::string_view line = input.substr(0, line_end);
    const std::size_t after_method = line.find(' ');
    const std::size_t before_version = line.rfind(' ');
    if (after_method == std::string_view::npos || before_version <= after_method) return input.size();
    const std::string_view method = line.substr(0, after_method);
    const std::string_view target = line.substr(after_method + 1, before_version - after_method - 1);
    const std::string_view version = line.substr(before_version + 1);
    const bool is_well_formed = is_token(method) && is_token(target) && target.starts_with('/');
    if (!is_well_formed || (version != "HTTP/1.1" && version != "HTTP/1.0")) return input.size();
    const std::size_t end = input.find(kHeadEnd, line_end);
    if (end == std::string_view::npos) return input.size() > kMaxHttpHeadBytes ? input.size() : 0;
    HttpResponse headers;
    if (!parse_headers(input.substr(0, end), line_end, headers)) return input.size();
    request.valid = true;
    request.method = method;
    request.target = target;
    return end + kHeadEnd.size();
}

std::size_t parse_http_response_head(std::string_view input, std::size_t max_body_bytes,
                                     HttpResponse& response, std::size_t& length) {
    std::size_t start = 0;
    length = 0;
    while (true) {
        response = {};
        const std::size_t end = input.find(kHeadEnd, start);
        if (end == std::string_view::npos) {
            // Input that does not begin with an HTTP version cannot become a response.
            constexpr std::string_view kExpectedStart = "HTTP/1.";
            const std::string_view received_start = input.substr(start, kExpectedStart.size());
            const bool is_malformed =
                input.size() - start > kMaxHttpHeadBytes || !kExpectedStart.starts_with(received_start);
            return is_malformed ? input.size() : 0;
        }
        if (!parse_head(input.substr(start, end - start), response)) return input.size();
        start = end + kHeadEnd.size();
        if (response.status >= kFirstFinalStatus) break;
        // Interim responses are skipped up to the size limit. A protocol switch is an error, because none is
        // requested.
        if (response.status == kSwitchingProtocols || start > kMaxHttpHeadBytes) return input.size();
    }
    if (has_no_body(response.status)) {
        response.valid = true;
    } else if (has_header(response, "transfer-encoding")) {
        // In combination with a length or another coding the end of the body is ambiguous.
        response.valid = !has_header(response, "content-length") &&
                         to_lower_case(response.header("transfer-encoding")) == "chunked";
    } else if (has_header(response, "content-length")) {
        response.valid = parse_number(response.header("content-length"), length) && length <= max_body_bytes;
    } else {
        response.valid = response.body_until_close = true;
        response.keep_alive = false;
    }
    return response.valid ? start : input.size();
}

std::size_t parse_http_response(std::string_view input, BodyLimits limits, HttpResponse& response,
                                bool ended) {
    std::size_t length = 0;
    std::size_t start = parse_http_response_head(input, limits.with_length, response, length);
    if (start == 0 || !response.valid) return start;
    if (has_header(response, "transfer-encoding") && !has_no_body(response.status)) {
        ChunkDecoder decoder(limits.without_length);
        const ChunkDecoder::Progress progress = decoder.decode(input.substr(start), response.body);
        if (progress.status == ChunkDecoder::Status::incomplete) return 0;
        response.valid = progress.status == ChunkDecoder::Status::complete;
        return response.valid ? start + progress.bytes : input.size();
    }
    if (response.body_until_close) {
        length = input.size() - start;
        response.valid = length <= limits.without_length;
        if (!response.valid) return input.size();
        if (!ended) return 0;
    }
    if (input.size() - start < length) return 0;
    response.body = input.substr(start, length);
    return start + length;
}

}  // namespace brookrelay
