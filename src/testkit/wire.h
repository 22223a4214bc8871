// The protocols as servers and clients of a node see them: what a cache server and an origin read, what a
// client reads, and what each writes. Written from the protocol's page and apart from the daemon's own
// parsers, so that a mistake in those is not made twice. No I/O; a reader says how much of the bytes makes
// one message.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace brookrelay::testkit {

// What the list behind `P` says.
struct Properties {
    std::string_view operation, tenant;
    std::uint64_t mark = 0;  // `k`; 0: there is none
    double wait = 0;         // `d`, seconds
};
Properties read_properties(std::string_view text);

struct Command {
    enum class Kind { read, write, hello, stats, malformed };
    Kind kind = Kind::malformed;
    std::string_view key_text, id, value;
    std::uint64_t key = 0;
    Properties properties;
};
// 0: not whole yet. The views point into `in`.
std::size_t read_command(std::string_view in, Command& out);

struct Request {
    bool sound = false;
    std::string_view method, target, id, properties, body;
};
std::size_t read_request(std::string_view in, Request& out);

// What a client hears: the first line, and a value where one follows.
struct Heard {
    enum class Kind { value, receipt, busy, other };
    Kind kind = Kind::other;
    std::string_view id, body, line;
    double advice = 0;
};
std::size_t read_heard(std::string_view in, Heard& out);

std::string id_text(std::uint32_t day, int inv);                   // unique over days that run side by side
bool read_id(std::string_view text, std::uint32_t day, int& inv);  // false: it is none of this day's
std::string key_text(std::uint64_t key);
// A value that says which forward made it, of what, and in which version; at least so many bytes.
std::string value_text(int forward, std::uint64_t key, std::uint32_t version, std::size_t bytes);
struct Value {
    int forward = -1;
    std::uint64_t key = 0;
    std::uint32_t version = 0;
};
bool read_value(std::string_view text, Value& out);
std::string http_response(int status, std::string_view body, std::string_view header = {});

}  // namespace brookrelay::testkit
