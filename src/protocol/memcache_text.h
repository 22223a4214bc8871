// The meta commands of the memcache text protocol: bytes to small typed values and back. It owns no socket
// and no buffer: each reader looks at what has come so far and says how much of it makes one message. It
// never judges what a message is worth, and never lets one that is not whole pass for one that is.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace brookrelay {

constexpr std::size_t kMaxValueBytes = 4 * 1024 * 1024;  // that a client may write, and a server hold
constexpr std::size_t kMaxBufferedValueBytes =
    64 * 1024;  // up to here a value is taken in whole before it goes on
constexpr std::size_t kMaxLineBytes = 2048;

// The list of names and values that a command carries. It goes on as it came but for the time.
struct RequestAttributes {
    std::string text;
    std::size_t time_offset = 0;  // where the digits of the client's time stand in the text
    std::size_t time_length = 0;
    std::string operation, tenant;
    double time_remaining = 0;  // seconds
    bool is_client_retry = false;
};

struct Command {
    enum class Kind { read, write, hello, malformed };
    Kind kind = Kind::malformed;
    std::string key, id, value;
    RequestAttributes attributes;
    const char* error = "";
    bool framing_lost = false;  // where the next command starts is not known any more
};

struct Reply {
    enum class Kind { value, receipt, miss, hello, busy, failed, malformed };
    Kind kind = Kind::malformed;
    std::string id, body;
};

// The head of a value that is too long to be taken in whole.
struct StreamedValue {
    std::size_t header_bytes = 0;   // bytes in front of the value; 0: this is no such head
    std::size_t length = 0;         // of the value
    std::size_t trailer_bytes = 0;  // bytes that belong behind it
    std::string id;                 // empty where the protocol gives none
    bool reusable = true;           // the connection may carry another forward after it
};

StreamedValue parse_streamed_reply(std::string_view in);
// The length of the long value that the first command brings; 0: it brings none.
std::size_t streamed_write_length(std::string_view in);

// How many bytes the first message takes; 0: it is not whole yet.
std::size_t parse_command(std::string_view in, Command& out);
std::size_t parse_reply(std::string_view in, Reply& out);

// One printable word: what may stand in a line, or in a header of another protocol, without ending it.
bool is_printable_word(std::string_view text);

std::string format_attributes(const RequestAttributes& properties, double time_left);
std::string format_command(const Command& command, double time_left);
std::string format_value_header(std::string_view id, std::size_t length);
std::string format_value(std::string_view id, std::string_view value);
std::string format_receipt(std::string_view id, std::string_view receipt);
std::string format_busy(double retry_after);

}  // namespace brookrelay
