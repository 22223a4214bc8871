#include "testkit/wire.h"

#include <algorithm>
#include <cctype>
#include <cstdio>

#include "util/parse_number.h"

namespace brookrelay::testkit {
namespace {

constexpr std::size_t kMaxLineBytes = 8192;      // bytes of a command line
constexpr std::size_t kMaxValueBytes = 1 << 20;  // bytes of a value or body

std::string_view next_word(std::string_view& rest) {
    const std::size_t begin = rest.find_first_not_of(' ');
    if (begin == std::string_view::npos) return rest = {};
    rest.remove_prefix(begin);
    const std::size_t end = std::min(rest.find(' '), rest.size());
    const std::string_view word = rest.substr(0, end);
    rest.remove_prefix(end);
    return word;
}

bool equals_ignoring_case(std::string_view a, std::string_view b) {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
        return std::tolower(static_cast<unsigned char>(x)) == std::tolower(static_cast<unsigned char>(y));
    });
}

}  // namespace

Properties read_properties(std::string_view text) {
    Properties p;
    while (!text.empty()) {
        const std::size_t comma = std::min(text.find(','), text.size());
        const std::string_view property = text.substr(0, comma);
        text.remove_prefix(std::min(comma + 1, text.size()));
        const std::size_t equals = property.find('=');
        if (equals == std::string_view::npos) continue;
        const std::string_view name = property.substr(0, equals), value = property.substr(equals + 1);
        if (name == "c") p.operation = value;
        if (name == "t") p.tenant = value;
        if (name == "k") (void)parse_number(value, p.idempotency_key, 16);
        std::uint64_t milliseconds = 0;
        if (name == "d" && parse_number(value, milliseconds))
            p.deadline = static_cast<double>(milliseconds) / 1e3;
    }
    return p;
}

std::size_t read_command(std::string_view in, Command& out) {
    const std::size_t end = in.find("\r\n");
    if (end == std::string_view::npos) return in.size() > kMaxLineBytes ? in.size() : 0;
    std::string_view rest = in.substr(0, end);
    out = {};
    const std::string_view verb = next_word(rest);
    if (verb == "mn" && rest.empty()) {
        out.kind = Command::Kind::hello;
        return end + 2;
    }
    if (verb == "stats") {
        out.kind = Command::Kind::stats;
        return end + 2;
    }
    if (verb != "mg" && verb != "ms") return end + 2;
    out.key_text = next_word(rest);
    if (!parse_number(out.key_text, out.key, 16)) out.key = std::hash<std::string_view>{}(out.key_text);
    std::size_t length = 0, consumed = end + 2;
    if (verb == "ms") {
        if (!parse_number(next_word(rest), length) || length > kMaxValueBytes) return consumed;
        if (in.size() < consumed + length + 2) return 0;
        out.value = in.substr(consumed, length);
        consumed += length + 2;
    } else if (next_word(rest) != "v") {
        return consumed;
    }
    bool listed = false;
    for (std::string_view word = next_word(rest); !word.empty(); word = next_word(rest)) {
        if (word.front() == 'O') out.id = word.substr(1);
        if (word.front() != 'P') continue;
        out.properties = read_properties(word.substr(1));
        listed = true;
    }
    if (!out.id.empty() && listed) out.kind = verb == "mg" ? Command::Kind::read : Command::Kind::write;
    return consumed;
}

std::size_t read_request(std::string_view in, Request& out) {
    const std::size_t end = in.find("\r\n\r\n");
    if (end == std::string_view::npos) return in.size() > 4 * kMaxLineBytes ? in.size() : 0;
    out = {};
    std::string_view head = in.substr(0, end);
    const std::size_t first_end = std::min(head.find("\r\n"), head.size());
    std::string_view first = head.substr(0, first_end);
    out.method = next_word(first);
    out.target = next_word(first);
    out.is_valid = next_word(first) == "HTTP/1.1" && !out.target.empty();
    head.remove_prefix(std::min(first_end + 2, head.size()));
    std::size_t length = 0;
    while (!head.empty()) {
        const std::size_t line_end = std::min(head.find("\r\n"), head.size());
        const std::string_view line = head.substr(0, line_end);
        head.remove_prefix(std::min(line_end + 2, head.size()));
        const std::size_t colon = line.find(':');
        if (colon == std::string_view::npos) {
            out.is_valid = false;
            continue;
        }
        const std::string_view name = line.substr(0, colon);
        std::string_view value = line.substr(colon + 1);
        while (!value.empty() && value.front() == ' ') value.remove_prefix(1);
        if (equals_ignoring_case(name, "content-length") &&
            (!parse_number(value, length) || length > kMaxValueBytes)) {
            out.is_valid = false;
            length = 0;
        }
        if (equals_ignoring_case(name, "x-trace-id")) out.id = value;
        if (equals_ignoring_case(name, "x-props")) out.properties = value;
    }
    if (in.size() < end + 4 + length) return 0;
    out.body = in.substr(end + 4, length);
    return end + 4 + length;
}

std::size_t read_response(std::string_view in, Response& out) {
    const std::size_t end = in.find("\r\n");
    if (end == std::string_view::npos) return 0;
    out = {};
    out.line = in.substr(0, end);
    std::string_view rest = out.line;
    const std::string_view verb = next_word(rest);
    if (verb == "VA") {
        std::size_t length = 0;
        if (!parse_number(next_word(rest), length) || length > kMaxValueBytes) return end + 2;
        if (in.size() < end + 2 + length + 2) return 0;
        out.body = in.substr(end + 2, length);
        out.kind = Response::Kind::value;
        for (auto word = next_word(rest); !word.empty(); word = next_word(rest)) {
            if (word.front() == 'O') out.id = word.substr(1);
        }
        return end + 2 + length + 2;
    }
    if (verb == "HD") {
        out.kind = Response::Kind::receipt;
        for (auto word = next_word(rest); !word.empty(); word = next_word(rest)) {
            if (word.front() == 'O') out.id = word.substr(1);
            if (word.front() == 'c') out.body = word.substr(1);
        }
    }
    if (verb == "SERVER_ERROR" && next_word(rest) == "busy") {
        out.kind = Response::Kind::busy;
        std::uint64_t ms = 0;
        if (parse_number(next_word(rest), ms)) out.advice = static_cast<double>(ms) / 1e3;
    }
    return end + 2;
}

bool has_begun_long_value(std::string_view in) {
    constexpr std::size_t kLongValue = std::size_t{64} * 1024;
    const std::size_t end = in.find("\r\n");
    if (end == std::string_view::npos) return false;
    std::string_view line = in.substr(0, end);
    std::size_t length = 0;
    return next_word(line) == "VA" && parse_number(next_word(line), length) && length > kLongValue;
}

std::string format_request_id(std::uint32_t run_tag, int request_number) {
    char buffer[24];
    std::snprintf(buffer, sizeof buffer, "%08x%08x", run_tag, static_cast<unsigned>(request_number));
    return buffer;
}

bool read_id(std::string_view text, std::uint32_t run_tag, int& request_number) {
    std::uint64_t whole = 0;
    if (text.size() != 16 || !parse_number(text, whole, 16) || whole >> 32 != run_tag) return false;
    request_number = static_cast<int>(whole & 0xffffffffU);
    return true;
}

std::string key_text(std::uint64_t key) {
    char buffer[24];
    std::snprintf(buffer, sizeof buffer, "%016llx", static_cast<unsigned long long>(key));
    return buffer;
}

std::string value_text(int attempt, std::uint64_t key, std::uint32_t version, std::size_t bytes) {
    char buffer[80];
    std::snprintf(buffer, sizeof buffer, "f%d;v%u;k%016llx;", attempt, version,
                  static_cast<unsigned long long>(key));
    std::string value = buffer;
    if (value.size() < bytes) value.append(bytes - value.size(), '.');
    return value;
}

bool read_value(std::string_view text, Value& out) {
    const auto field = [&](char name, auto& number, int base) {
        const std::size_t end = text.find(';');
        if (end == std::string_view::npos || end < 2 || text.front() != name) return false;
        const bool is_valid = parse_number(text.substr(1, end - 1), number, base);
        text.remove_prefix(end + 1);
        return is_valid;
    };
    return field('f', out.attempt, 10) && field('v', out.version, 10) && field('k', out.key, 16);
}

std::string http_response(int status, std::string_view body, std::string_view header) {
    const char* reason = status == 200 ? "OK" : status == 503 ? "Service Unavailable" : "Error";
    std::string out = "HTTP/1.1 " + std::to_string(status) + " " + reason +
                      "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    if (!header.empty()) out.append(header).append("\r\n");
    return out.append("\r\n").append(body);
}

}  // namespace brookrelay::testkit
