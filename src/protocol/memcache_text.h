// Codec for the meta commands of the memcache text protocol. No I/O and no state.
//
// Parsers take all input received so far and return the size of the first message, or 0 if it is incomplete.
// Malformed input yields a message of kind `malformed`, never an exception. Sizes are bytes, times are
// seconds.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "util/shared_bytes.h"

namespace brookrelay {

constexpr std::size_t kMaxValueBytes = std::size_t{4} * 1024 * 1024;
// Values up to this length are buffered completely before they are forwarded; longer values are streamed.
constexpr std::size_t kMaxBufferedValueBytes = std::size_t{64} * 1024;
constexpr std::size_t kMaxLineBytes = 2048;

/// The properties (name=value pairs) of a command. They are forwarded unchanged except for the remaining
/// time.
struct RequestAttributes {
    std::string text;
    std::size_t time_offset = 0;  // position in `text` of the digits of the remaining time
    std::size_t time_length = 0;  // number of those digits
    std::string operation, tenant;
    double time_remaining = 0;  // seconds
    bool is_client_retry = false;
};

/// A client's command.
struct Command {
    enum class Kind { read, write, hello, malformed };
    Kind kind = Kind::malformed;
    std::string key, id;
    SharedBytes value;
    RequestAttributes attributes;
    const char* error = "";     // reason why the command is malformed; empty: unknown verb
    bool framing_lost = false;  // the start of the next command cannot be determined
};

/// A server's reply; `body` is the value or the write receipt.
struct Reply {
    enum class Kind { value, receipt, miss, hello, busy, failed, malformed };
    Kind kind = Kind::malformed;
    std::string id, body;
};

/// The header of a value that is too long to be buffered.
struct StreamedValue {
    std::size_t header_bytes = 0;   // bytes before the value; 0: no header of a long value, or incomplete
    std::size_t length = 0;         // bytes of the value
    std::size_t trailer_bytes = 0;  // bytes after the value
    std::string id;                 // request id; empty if the protocol has none
    bool reusable = true;           // the connection may carry another attempt after the value
};

/// Parses the header of a reply with a long value.
StreamedValue parse_streamed_reply(std::string_view input);
/// The first line of a write whose value may not have arrived.
struct WriteHeader {
    std::size_t header_bytes = 0;  // bytes before the value; 0: not the complete first line of a write
    std::size_t length = 0;        // bytes of the value
    double time_remaining = 0;     // seconds; 0 if the line states none or is malformed
};
/// Parses the first line of the first command if it is a write.
WriteHeader parse_write_header(std::string_view input);
/// The place of a command's value in the input.
struct ValuePosition {
    std::size_t begin = 0, length = 0;
};

/// Parses the first command. Returns its size, or 0 if it is incomplete.
std::size_t parse_command(std::string_view input, Command& command);
/// Parses the first command, but leaves its value in the input.
std::size_t parse_command(std::string_view input, Command& command, ValuePosition& value);
/// Parses the first reply. Returns its size, or 0 if it is incomplete.
std::size_t parse_reply(std::string_view input, Reply& reply);

/// Returns whether the text is not empty and has no blanks or control characters, so that it is safe inside a
/// line or an HTTP header.
bool is_printable_word(std::string_view text);

/// Formats the attributes with `time_left`, but at least 1 ms, as the remaining time.
std::string format_attributes(const RequestAttributes& attributes, double time_left);
/// Formats the first line of a command for a cache server, with `time_left` as its remaining time. A value
/// and a line end follow the line of a write.
std::string format_command_line(const Command& command, double time_left);
/// Formats the whole command for a cache server.
std::string format_command(const Command& command, double time_left);
std::string format_value_header(std::string_view id, std::size_t length);
std::string format_value(std::string_view id, std::string_view value);
std::string format_receipt(std::string_view id, std::string_view receipt);
/// Formats the reply to a rejected request. A `retry_after` of 0 is omitted.
std::string format_busy(double retry_after);

}  // namespace brookrelay
