// The meta commands of the memcache text protocol: bytes to small typed values and back. It owns no socket
// and no buffer: each reader looks at what has come so far and says how much of it makes one message. It
// never judges what a message is worth, and never lets one that is not whole pass for one that is.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace brookrelay {

constexpr std::size_t kValueMost = 4 * 1024 * 1024;  // that a client may write, and a server hold
constexpr std::size_t kWholeMost = 64 * 1024;        // up to here a value is taken in whole before it goes on
constexpr std::size_t kLineMost = 2048;

// The list of names and values that a command carries. It goes on as it came but for the time.
struct Properties {
    std::string text;
    std::size_t time_at = 0;  // where the digits of the client's time stand in the text
    std::size_t time_length = 0;
    std::string operation, tenant;
    double time_left = 0;  // seconds
    bool repeat = false;
};

struct Command {
    enum class Kind { read, write, hello, malformed };
    Kind kind = Kind::malformed;
    std::string key, id, value;
    Properties properties;
    const char* complaint = "";
    bool framing_lost = false;  // where the next command starts is not known any more
};

struct Reply {
    enum class Kind { value, receipt, miss, hello, busy, errored, nonsense };
    Kind kind = Kind::nonsense;
    std::string id, body;
};

// The head of a value that is too long to be taken in whole.
struct LongValue {
    std::size_t head = 0;    // bytes in front of the value; 0: this is no such head
    std::size_t length = 0;  // of the value
    std::size_t behind = 0;  // bytes that belong behind it
    std::string id;          // empty where the protocol gives none
    bool reusable = true;    // the connection may carry another forward after it
};

LongValue long_reply(std::string_view in);
// The length of the long value that the first command brings; 0: it brings none.
std::size_t long_write(std::string_view in);

// How many bytes the first message takes; 0: it is not whole yet.
std::size_t read_command(std::string_view in, Command& out);
std::size_t read_reply(std::string_view in, Reply& out);

// One printable word: what may stand in a line, or in a header of another protocol, without ending it.
bool is_word(std::string_view text);

std::string properties_text(const Properties& properties, double time_left);
std::string command_text(const Command& command, double time_left);
std::string value_head(std::string_view id, std::size_t length);
std::string value_text(std::string_view id, std::string_view value);
std::string receipt_text(std::string_view id, std::string_view receipt);
std::string busy_text(double retry_after);

}  // namespace brookrelay
