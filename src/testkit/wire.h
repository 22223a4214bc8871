// Parsers and writers of the protocols for fake servers and clients. They are written from the protocol
// specification and independently of the daemon's own parsers, so that an error there is not repeated here. A
// reader returns the number of bytes of one complete message, or 0 if the message is incomplete. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace brookrelay::testkit {

// The property list of a command, after `P`.
struct Properties {
    std::string_view operation, tenant;
    std::uint64_t idempotency_key = 0;  // `k`, the idempotency key; 0: none
    double deadline = 0;                // `d`: seconds that the client still waits, not a point in time
};
Properties read_properties(std::string_view text);

struct Command {
    enum class Kind { read, write, hello, stats, malformed };
    Kind kind = Kind::malformed;
    std::string_view key_text, id, value;
    std::uint64_t key = 0;
    Properties properties;
};
// Reads one command. The views in `out` point into `in`.
std::size_t read_command(std::string_view in, Command& out);

struct Request {
    bool is_valid = false;
    std::string_view method, target, id, properties, body;
};
std::size_t read_request(std::string_view in, Request& out);

// A response to a client: the first line, and the value if one follows.
struct Response {
    enum class Kind { value, receipt, busy, other };
    Kind kind = Kind::other;
    std::string_view id, body, line;
    double advice = 0;
};
std::size_t read_response(std::string_view in, Response& out);
// Returns whether the input begins with the first line of a value over 64 KiB. For such values the start of
// the response is recorded.
bool has_begun_long_value(std::string_view in);

// Formats a request id. `run_tag` keeps the ids of concurrent runs apart.
std::string format_request_id(std::uint32_t run_tag, int request_number);
// Returns false if `text` is not the id of a request of the run with this tag.
bool read_id(std::string_view text, std::uint32_t run_tag, int& request_number);
std::string key_text(std::uint64_t key);
// Returns a value that names the attempt, key and version that produced it, padded to at least `bytes` bytes.
std::string value_text(int attempt, std::uint64_t key, std::uint32_t version, std::size_t bytes);
struct Value {
    int attempt = -1;
    std::uint64_t key = 0;
    std::uint32_t version = 0;
};
bool read_value(std::string_view text, Value& out);
std::string http_response(int status, std::string_view body, std::string_view header = {});

}  // namespace brookrelay::testkit
