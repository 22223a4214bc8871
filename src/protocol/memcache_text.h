// Codec for the meta commands of the memcache text protocol. No I/O and no state.
//
// Parsers look at all input received so far and return how many bytes form a message, or 0 if it is
// incomplete. Malformed input gives a message of kind `malformed`, never an exception. Sizes are bytes, times
// seconds.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace brookrelay {

constexpr std::size_t kMaxValueBytes = std::size_t{4} * 1024 * 1024;
// Longer values are streamed; others are buffered whole before they are forwarded.
constexpr std::size_t kMaxBufferedValueBytes = std::size_t{64} * 1024;
constexpr std::size_t kMaxLineBytes = 2048;

/// The properties (names and values) of a command. They are forwarded unchanged except for the remaining
/// time.
struct RequestAttributes {
    std::string text;
    std::size_t time_offset = 0;  // position of the digits of the remaining time in `text`
    std::size_t time_length = 0;
    std::string operation, tenant;
    double time_remaining = 0;  // seconds
    bool is_client_retry = false;
};

/// A client's command.
struct Command {
    enum class Kind { read, write, hello, malformed };
    Kind kind = Kind::malformed;
    std::string key, id, value;
    RequestAttributes attributes;
    const char* error = "";     // of a malformed command; empty: unknown verb
    bool framing_lost = false;  // the start of the next command is unknown
};

/// A server's reply; `body` is the value or the write receipt.
struct Reply {
    enum class Kind { value, receipt, miss, hello, busy, failed, malformed };
    Kind kind = Kind::malformed;
    std::string id, body;
};

/// The header of a value that is too long to be buffered.
struct StreamedValue {
    std::size_t header_bytes = 0;   // bytes before the value; 0: not such a header, or incomplete
    std::size_t length = 0;         // bytes of the value
    std::size_t trailer_bytes = 0;  // bytes after the value
    std::string id;                 // empty if the protocol has none
    bool reusable = true;           // the connection may carry another attempt afterwards
};

/// Parses the header of a reply with a long value.
StreamedValue parse_streamed_reply(std::string_view input);
/// The length of the long value that the first command writes; 0 if it writes none.
std::size_t streamed_write_length(std::string_view input);

/// Parse the first message; return its size, or 0 if it is incomplete.
std::size_t parse_command(std::string_view input, Command& command);
std::size_t parse_reply(std::string_view input, Reply& reply);

/// Whether the text is one word without blanks and control characters, safe inside a line or an HTTP header.
bool is_printable_word(std::string_view text);

/// The attributes with the remaining time (at least 1 ms) replaced.
std::string format_attributes(const RequestAttributes& attributes, double time_left);
/// The command as it is sent to a server, with `time_left` as its remaining time.
std::string format_command(const Command& command, double time_left);
std::string format_value_header(std::string_view id, std::size_t length);
std::string format_value(std::string_view id, std::string_view value);
std::string format_receipt(std::string_view id, std::string_view receipt);
/// The reply to a rejected request; a `retry_after` of 0 is left out.
std::string format_busy(double retry_after);

}  // namespace brookrelay
