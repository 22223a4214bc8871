#include "protocol/memcache_text.h"

#include <algorithm>
#include <cmath>

#include "util/parse_number.h"

namespace brookrelay {
namespace {

constexpr std::size_t kMaxKeyBytes = 250;            // the limit of memcached
constexpr std::size_t kMaxRemainingMs = 86'400'000;  // one day
constexpr std::string_view kLineEnd = "\r\n";

// Removes the first word of `line` and the blanks before it, and returns the word; empty at the end of the
// line.
std::string_view next_word(std::string_view& line) {
    line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
    const std::string_view word = line.substr(0, line.find(' '));
    line.remove_prefix(word.size());
    return word;
}

// Parses the properties of a command. Returns the error, or nullptr if there is none.
const char* parse_attributes(std::string_view text, RequestAttributes& attributes) {
    attributes = {};
    attributes.text = text;
    bool has_time = false;
    for (std::size_t position = 0; position < text.size();) {
        const std::size_t end = std::min(text.find(',', position), text.size());
        const std::string_view item = text.substr(position, end - position);
        const std::size_t equals = item.find('=');
        if (equals == std::string_view::npos) return "property without a value";
        const std::string_view name = item.substr(0, equals);
        const std::string_view value = item.substr(equals + 1);
        if (name == "c") {
            attributes.operation = value;
        } else if (name == "t") {
            attributes.tenant = value;
        } else if (name == "r") {
            attributes.is_client_retry = value == "1";
        } else if (name == "d") {
            std::size_t ms = 0;
            if (has_time || !parse_number(value, ms) || ms > kMaxRemainingMs) return "bad property d";
            has_time = true;
            attributes.time_offset = position + equals + 1;
            attributes.time_length = value.size();
            attributes.time_remaining = static_cast<double>(ms) / 1e3;
        }
        position = end + 1;
    }
    if (attributes.operation.empty()) return "no property c";
    return has_time ? nullptr : "no property d";
}

// Parses the flags after the key or the length: `v` on a read, `O` and `P` on reads and writes. Other flags
// are rejected, because they request something that the response does not contain. Returns the error, or
// nullptr if there is none.
const char* parse_flags(std::string_view line, Command& command) {
    bool has_value_flag = false, has_attributes = false;
    while (true) {
        const std::string_view flag = next_word(line);
        if (flag.empty()) break;
        if (flag == "v" && command.kind == Command::Kind::read) {
            has_value_flag = true;
        } else if (flag[0] == 'O' && command.id.empty() && is_printable_word(flag.substr(1))) {
            command.id = flag.substr(1);
        } else if (flag[0] == 'P' && !has_attributes && is_printable_word(flag.substr(1))) {
            has_attributes = true;
            if (const char* error = parse_attributes(flag.substr(1), command.attributes)) return error;
        } else {
            return "bad flag";
        }
    }
    if (command.id.empty()) return "no id";
    if (!has_attributes) return "no properties";
    return command.kind == Command::Kind::read && !has_value_flag ? "no flag v" : nullptr;
}

// Returns the first line without its line end. Sets `line_bytes` to its size including the line end, or to 0
// if the line is incomplete.
std::string_view first_line(std::string_view input, std::size_t& line_bytes) {
    const std::size_t end = input.substr(0, kMaxLineBytes).find('\n');
    line_bytes = end == std::string_view::npos ? 0 : end + 1;
    std::string_view line = input.substr(0, line_bytes == 0 ? 0 : end);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    return line;
}

// Marks the command as malformed and returns `parsed_bytes`.
std::size_t mark_malformed(Command& command, const char* error, std::size_t parsed_bytes,
                           bool framing_lost = false) {
    command.kind = Command::Kind::malformed;
    command.error = error;
    command.framing_lost = framing_lost;
    return parsed_bytes;
}

enum class ParseStatus { complete, incomplete, malformed };

// Parses the length at the start of `line` and the data block after the line, and adds the size of the data
// block to `parsed_bytes`.
ParseStatus parse_value(std::string_view input, std::string_view& line, Command& command,
                        ValuePosition& value, std::size_t& parsed_bytes) {
    const auto fail = [&](const char* error) {
        // The start of the next command cannot be determined.
        mark_malformed(command, error, parsed_bytes, true);
        return ParseStatus::malformed;
    };
    std::size_t length = 0;
    if (!parse_number(next_word(line), length)) return fail("bad length");
    if (length > kMaxValueBytes) return fail("value too large");
    if (input.size() < parsed_bytes + length + 1) return ParseStatus::incomplete;
    if (input[parsed_bytes + length] == '\r' && input.size() < parsed_bytes + length + 2)
        return ParseStatus::incomplete;
    value = {parsed_bytes, length};
    parsed_bytes += length;
    const std::size_t end = input.substr(parsed_bytes).starts_with(kLineEnd) ? 2
                            : input[parsed_bytes] == '\n'                    ? 1
                                                                             : 0;
    if (end == 0) return fail("bad data chunk");
    parsed_bytes += end;
    return ParseStatus::complete;
}

// Returns the request id from the `O` flag, or an empty string if there is none.
std::string parse_id(std::string_view flags) {
    while (true) {
        const std::string_view flag = next_word(flags);
        if (flag.empty() || flag[0] == 'O')
            return std::string(flag.substr(std::min<std::size_t>(1, flag.size())));
    }
}

}  // namespace

bool is_printable_word(std::string_view text) {
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return byte > 0x20 && byte != 0x7f;
    });
}

std::size_t parse_command(std::string_view input, Command& command) {
    ValuePosition value;
    const std::size_t parsed_bytes = parse_command(input, command, value);
    command.value = SharedBytes(std::string(input.substr(value.begin, value.length)));
    return parsed_bytes;
}

std::size_t parse_command(std::string_view input, Command& command, ValuePosition& value) {
    command = {};
    value = {};
    std::size_t parsed_bytes = 0;
    std::string_view line = first_line(input, parsed_bytes);
    if (parsed_bytes == 0)
        return input.size() < kMaxLineBytes ? 0
                                            : mark_malformed(command, "line too long", input.size(), true);
    const std::string_view verb = next_word(line);
    if (verb == "mn") {
        command.kind = Command::Kind::hello;
        return parsed_bytes;
    }
    if (verb != "mg" && verb != "ms") return mark_malformed(command, "", parsed_bytes);
    command.kind = verb == "mg" ? Command::Kind::read : Command::Kind::write;
    command.key = next_word(line);
    if (command.kind == Command::Kind::write) {
        const ParseStatus status = parse_value(input, line, command, value, parsed_bytes);
        if (status == ParseStatus::incomplete) return 0;
        if (status == ParseStatus::malformed) return parsed_bytes;
    }
    if (!is_printable_word(command.key) || command.key.size() > kMaxKeyBytes)
        return mark_malformed(command, "bad key", parsed_bytes);
    const char* error = parse_flags(line, command);
    return error == nullptr ? parsed_bytes : mark_malformed(command, error, parsed_bytes);
}

std::size_t parse_reply(std::string_view input, Reply& reply) {
    reply = {};
    std::size_t parsed_bytes = 0;
    std::string_view line = first_line(input, parsed_bytes);
    if (parsed_bytes == 0) return input.size() < kMaxLineBytes ? 0 : input.size();
    const std::string_view full_line = line;
    const std::string_view verb = next_word(line);
    if (verb == "VA") {
        std::size_t length = 0;
        if (!parse_number(next_word(line), length) || length > kMaxBufferedValueBytes) return parsed_bytes;
        if (input.size() < parsed_bytes + length + kLineEnd.size()) return 0;
        if (input.substr(parsed_bytes + length, kLineEnd.size()) != kLineEnd) return parsed_bytes;
        reply.kind = Reply::Kind::value;
        reply.id = parse_id(line);
        reply.body = input.substr(parsed_bytes, length);
        return parsed_bytes + length + kLineEnd.size();
    }
    if (verb == "HD") {
        reply.kind = Reply::Kind::receipt;
        reply.id = parse_id(line);
        while (true) {
            const std::string_view flag = next_word(line);
            if (flag.empty()) return parsed_bytes;
            if (flag[0] == 'c') reply.body = flag.substr(1);
        }
    }
    if (verb == "EN") {
        reply.kind = Reply::Kind::miss;
        reply.id = parse_id(line);
    } else if (verb == "MN") {
        reply.kind = Reply::Kind::hello;
    } else if (full_line == "SERVER_ERROR busy") {
        reply.kind = Reply::Kind::busy;
    } else if (verb == "SERVER_ERROR") {
        reply.kind = Reply::Kind::failed;
    }
    return parsed_bytes;
}

StreamedValue parse_streamed_reply(std::string_view input) {
    std::size_t parsed_bytes = 0, length = 0;
    std::string_view line = first_line(input, parsed_bytes);
    if (parsed_bytes == 0 || next_word(line) != "VA" || !parse_number(next_word(line), length)) return {};
    if (length <= kMaxBufferedValueBytes || length > kMaxValueBytes) return {};
    return {parsed_bytes, length, kLineEnd.size(), parse_id(line), true};
}

WriteHeader parse_write_header(std::string_view input) {
    WriteHeader header;
    std::size_t line_bytes = 0;
    std::string_view line = first_line(input, line_bytes);
    if (line_bytes == 0 || next_word(line) != "ms") return {};
    next_word(line);  // the key
    if (!parse_number(next_word(line), header.length)) return {};
    header.header_bytes = line_bytes;
    Command command;
    command.kind = Command::Kind::write;
    if (parse_flags(line, command) == nullptr) header.time_remaining = command.attributes.time_remaining;
    return header;
}

std::string format_attributes(const RequestAttributes& attributes, double time_left) {
    std::string text = attributes.text;
    const auto ms = std::max<long long>(1, std::llround(time_left * 1e3));
    return text.replace(attributes.time_offset, attributes.time_length, std::to_string(ms));
}

std::string format_command_line(const Command& command, double time_left) {
    std::string text = command.kind == Command::Kind::read ? "mg " : "ms ";
    text += command.key;
    text += ' ';
    text += command.kind == Command::Kind::read ? "v" : std::to_string(command.value.size());
    text.append(" O")
        .append(command.id)
        .append(" P")
        .append(format_attributes(command.attributes, time_left))
        .append(kLineEnd);
    return text;
}

std::string format_command(const Command& command, double time_left) {
    std::string text = format_command_line(command, time_left);
    if (command.kind == Command::Kind::write) text.append(command.value.view()).append(kLineEnd);
    return text;
}

std::string format_value_header(std::string_view id, std::size_t length) {
    return "VA " + std::to_string(length) + " O" + std::string(id) + std::string(kLineEnd);
}

std::string format_value(std::string_view id, std::string_view value) {
    return format_value_header(id, value.size()).append(value).append(kLineEnd);
}

std::string format_receipt(std::string_view id, std::string_view receipt) {
    return std::string("HD O").append(id).append(" c").append(receipt).append(kLineEnd);
}

std::string format_busy(double retry_after) {
    const auto ms = std::llround(retry_after * 1e3);
    std::string text = "SERVER_ERROR busy";
    if (ms > 0) text.append(" ").append(std::to_string(ms));
    return text.append(kLineEnd);
}

}  // namespace brookrelay
