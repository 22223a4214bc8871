#include "protocol/http1.h"

#include <algorithm>

#include "util/parse_number.h"

namespace brookrelay {
namespace {

constexpr std::size_t kHeadMost = 8192;
constexpr std::string_view kEnd = "\r\n";

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

std::string lowered(std::string_view text) {
    std::string out(text);
    std::transform(out.begin(), out.end(), out.begin(), lower);
    return out;
}

std::string_view trimmed(std::string_view text) {
    constexpr std::string_view blank = " \t";
    const std::size_t first = text.find_first_not_of(blank);
    if (first == std::string_view::npos) return {};
    return text.substr(first, text.find_last_not_of(blank) - first + 1);
}

enum class Found { whole, more, nonsense };

// Chunks from `at` on; trailers are read past.
Found read_chunks(std::string_view in, std::size_t& at, std::size_t body_most, std::string& body) {
    while (true) {
        const std::size_t end = in.find(kEnd, at);
        if (end == std::string_view::npos) return in.size() - at > kHeadMost ? Found::nonsense : Found::more;
        const std::string_view line = in.substr(at, end - at);
        std::size_t size = 0;
        if (!parse_number(trimmed(line.substr(0, line.find(';'))), size, 16)) return Found::nonsense;
        if (size > body_most - body.size()) return Found::nonsense;
        at = end + kEnd.size();
        if (size == 0) break;
        if (in.size() < at + size + kEnd.size()) return Found::more;
        if (in.substr(at + size, kEnd.size()) != kEnd) return Found::nonsense;
        body.append(in.substr(at, size));
        at += size + kEnd.size();
    }
    while (true) {
        const std::size_t end = in.find(kEnd, at);
        if (end == std::string_view::npos) return in.size() - at > kHeadMost ? Found::nonsense : Found::more;
        const bool last = end == at;
        at = end + kEnd.size();
        if (last) return Found::whole;
    }
}

// A name with a blank before its colon is read in one way here and in another there.
bool is_token(std::string_view name) {
    return !name.empty() &&
           std::all_of(name.begin(), name.end(), [](char c) { return c > 0x20 && c < 0x7f; });
}

bool has(const HttpResponse& r, std::string_view name) {
    return std::any_of(r.headers.begin(), r.headers.end(), [name](const auto& h) { return h.first == name; });
}

// The lines of a head behind its first one, which ends at `end`.
bool read_fields(std::string_view head, std::size_t end, HttpResponse& r) {
    for (std::size_t at = end + kEnd.size(); at < head.size(); at = end + kEnd.size()) {
        end = std::min(head.find(kEnd, at), head.size());
        const std::string_view line = head.substr(at, end - at);
        const std::size_t colon = line.find(':');
        const std::string name = lowered(line.substr(0, colon));
        if (colon == std::string_view::npos || !is_token(name)) return false;
        const std::string_view value = trimmed(line.substr(colon + 1));
        // Two lengths that differ: whichever were taken, another body than the one meant would pass for it.
        const bool framing = name == "content-length" || name == "transfer-encoding";
        if (framing && has(r, name) && r.header(name) != value) return false;
        r.headers.emplace_back(name, value);
    }
    return true;
}

bool read_head(std::string_view head, HttpResponse& r) {
    const std::size_t end = std::min(head.find(kEnd), head.size());
    const std::string_view first = head.substr(0, end);
    std::size_t status = 0;
    if (!first.starts_with("HTTP/1.") || first.size() < 12 || first[8] != ' ') return false;
    if (!parse_number(first.substr(9, 3), status) || status < 100) return false;
    r.status = static_cast<int>(status);
    r.keep_alive = first[7] != '0';
    if (!read_fields(head, end, r)) return false;
    const std::string connection = lowered(r.header("connection"));
    if (connection.find("close") != std::string::npos) r.keep_alive = false;
    if (connection.find("keep-alive") != std::string::npos) r.keep_alive = true;
    return true;
}

}  // namespace

std::string_view HttpResponse::header(std::string_view name) const {
    for (const auto& [known, value] : headers) {
        if (known == name) return value;
    }
    return {};
}

std::string format_http_request(std::string_view method, std::string_view target, std::string_view host,
                                const HttpHeaders& headers, std::string_view body) {
    std::string text;
    text.append(method).append(" ").append(target).append(" HTTP/1.1\r\nHost: ").append(host).append(kEnd);
    for (const auto& [name, value] : headers) text.append(name).append(": ").append(value).append(kEnd);
    if (method == "PUT") text.append("Content-Length: ").append(std::to_string(body.size())).append(kEnd);
    return text.append(kEnd).append(body);
}

std::string percent_encode_segment(std::string_view segment) {
    constexpr std::string_view plain =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~!$&'()*+,;=:@";
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string out = "/";
    for (char c : segment) {
        const auto u = static_cast<unsigned char>(c);
        if (plain.find(c) != std::string_view::npos) {
            out += c;
        } else {
            out.append({'%', digits[u >> 4U], digits[u & 15U]});
        }
    }
    return out;
}

std::size_t parse_http_request(std::string_view in, HttpRequest& r) {
    r = {};
    const std::size_t line_end = in.find(kEnd);
    if (line_end == std::string_view::npos) return in.size() > kHeadMost ? in.size() : 0;
    const std::string_view line = in.substr(0, line_end);
    const std::size_t after_method = line.find(' ');
    const std::size_t before_version = line.rfind(' ');
    if (after_method == std::string_view::npos || before_version <= after_method) return in.size();
    const std::string_view method = line.substr(0, after_method);
    const std::string_view target = line.substr(after_method + 1, before_version - after_method - 1);
    const std::string_view version = line.substr(before_version + 1);
    const bool plain = is_token(method) && is_token(target) && target.starts_with('/');
    if (!plain || (version != "HTTP/1.1" && version != "HTTP/1.0")) return in.size();
    const std::size_t end = in.find("\r\n\r\n", line_end);
    if (end == std::string_view::npos) return in.size() > kHeadMost ? in.size() : 0;
    HttpResponse fields;
    if (!read_fields(in.substr(0, end), line_end, fields)) return in.size();
    r.valid = true;
    r.method = method;
    r.target = target;
    return end + 4;
}

std::size_t parse_http_response_head(std::string_view in, std::size_t body_most, HttpResponse& r,
                                     std::size_t& length) {
    std::size_t start = 0;
    length = 0;
    while (true) {
        r = {};
        const std::size_t end = in.find("\r\n\r\n", start);
        if (end == std::string_view::npos) {
            // What does not even begin as HTTP never will.
            constexpr std::string_view opening = "HTTP/1.";
            const std::string_view begun = in.substr(start, opening.size());
            const bool hopeless = in.size() - start > kHeadMost || !opening.starts_with(begun);
            return hopeless ? in.size() : 0;
        }
        if (!read_head(in.substr(start, end - start), r)) return in.size();
        start = end + 4;
        if (r.status >= 200) break;
        // Interim ones may come before it, but not without end, nor a protocol that nobody asked for.
        if (r.status == 101 || start > kHeadMost) return in.size();
    }
    if (r.status == 204 || r.status == 304) {
        r.valid = true;
    } else if (has(r, "transfer-encoding")) {
        // With a length beside it, or in a coding not known here, nobody can tell where the body ends.
        r.valid = !has(r, "content-length") && lowered(r.header("transfer-encoding")) == "chunked";
    } else if (has(r, "content-length")) {
        r.valid = parse_number(r.header("content-length"), length) && length <= body_most;
    } else {
        r.valid = r.body_until_close = true;
        r.keep_alive = false;
    }
    return r.valid ? start : in.size();
}

std::size_t parse_http_response(std::string_view in, BodyLimits most, HttpResponse& r, bool ended) {
    std::size_t length = 0;
    std::size_t start = parse_http_response_head(in, most.with_length, r, length);
    if (start == 0 || !r.valid) return start;
    if (has(r, "transfer-encoding") && r.status != 204 && r.status != 304) {
        const Found found = read_chunks(in, start, most.without_length, r.body);
        if (found == Found::more) return 0;
        r.valid = found == Found::whole;
        return r.valid ? start : in.size();
    }
    if (r.body_until_close) {
        length = in.size() - start;
        r.valid = length <= most.without_length;
        if (!r.valid) return in.size();
        if (!ended) return 0;
    }
    if (in.size() - start < length) return 0;
    r.body = in.substr(start, length);
    return start + length;
}

}  // namespace brookrelay
