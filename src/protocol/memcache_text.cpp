#include "protocol/memcache_text.h"

#include <algorithm>
#include <cmath>

#include "util/parse_number.h"

namespace brookrelay {
namespace {

constexpr std::size_t kKeyMost = 250;  // as memcached has it
constexpr std::string_view kEnd = "\r\n";

std::string_view next_word(std::string_view& line) {
    line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
    const std::string_view word = line.substr(0, line.find(' '));
    line.remove_prefix(word.size());
    return word;
}

const char* read_properties(std::string_view said, RequestAttributes& p) {
    p = {};
    p.text = said;
    bool timed = false;
    for (std::size_t at = 0; at < said.size();) {
        const std::size_t end = std::min(said.find(',', at), said.size());
        const std::string_view item = said.substr(at, end - at);
        const std::size_t equals = item.find('=');
        if (equals == std::string_view::npos) return "property without a value";
        const std::string_view name = item.substr(0, equals);
        const std::string_view value = item.substr(equals + 1);
        if (name == "c") {
            p.operation = value;
        } else if (name == "t") {
            p.tenant = value;
        } else if (name == "r") {
            p.is_client_retry = value == "1";
        } else if (name == "d") {
            std::size_t ms = 0;
            if (timed || !parse_number(value, ms) || ms > 86'400'000) return "bad property d";
            timed = true;
            p.time_offset = at + equals + 1;
            p.time_length = value.size();
            p.time_remaining = static_cast<double>(ms) / 1e3;
        }
        at = end + 1;
    }
    if (p.operation.empty()) return "no property c";
    return timed ? nullptr : "no property d";
}

// The flags after the key, or after the length: `v` on a read, `O` and `P` on both. Another flag would ask
// for something that the answer does not hold.
const char* read_flags(std::string_view line, Command& c) {
    bool value = false, listed = false;
    while (true) {
        const std::string_view flag = next_word(line);
        if (flag.empty()) break;
        if (flag == "v" && c.kind == Command::Kind::read) {
            value = true;
        } else if (flag[0] == 'O' && c.id.empty() && is_printable_word(flag.substr(1))) {
            c.id = flag.substr(1);
        } else if (flag[0] == 'P' && !listed && is_printable_word(flag.substr(1))) {
            listed = true;
            if (const char* bad = read_properties(flag.substr(1), c.attributes)) return bad;
        } else {
            return "bad flag";
        }
    }
    if (c.id.empty()) return "no id";
    if (!listed) return "no properties";
    return c.kind == Command::Kind::read && !value ? "no flag v" : nullptr;
}

// A line without its end, and how many bytes it takes with it; 0: its end has not come.
std::string_view first_line(std::string_view in, std::size_t& taken) {
    const std::size_t end = in.substr(0, kMaxLineBytes).find('\n');
    taken = end == std::string_view::npos ? 0 : end + 1;
    std::string_view line = in.substr(0, taken == 0 ? 0 : end);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    return line;
}

std::size_t malformed(Command& c, const char* complaint, std::size_t taken, bool framing_lost = false) {
    c.kind = Command::Kind::malformed;
    c.error = complaint;
    c.framing_lost = framing_lost;
    return taken;
}

std::string id_of(std::string_view flags) {
    while (true) {
        const std::string_view flag = next_word(flags);
        if (flag.empty() || flag[0] == 'O')
            return std::string(flag.substr(std::min<std::size_t>(1, flag.size())));
    }
}

}  // namespace

bool is_printable_word(std::string_view text) {
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
        const auto u = static_cast<unsigned char>(c);
        return u > 0x20 && u != 0x7f;
    });
}

std::size_t parse_command(std::string_view in, Command& c) {
    c = {};
    std::size_t taken = 0;
    std::string_view line = first_line(in, taken);
    if (taken == 0) return in.size() < kMaxLineBytes ? 0 : malformed(c, "line too long", in.size(), true);
    const std::string_view verb = next_word(line);
    if (verb == "mn") {
        c.kind = Command::Kind::hello;
        return taken;
    }
    if (verb != "mg" && verb != "ms") return malformed(c, "", taken);
    c.kind = verb == "mg" ? Command::Kind::read : Command::Kind::write;
    c.key = next_word(line);
    std::size_t length = 0;
    if (c.kind == Command::Kind::write) {
        // Without a length nobody can tell where the value ends and the next command begins.
        if (!parse_number(next_word(line), length)) return malformed(c, "bad length", taken, true);
        if (length > kMaxValueBytes) return malformed(c, "value too large", taken, true);
        if (in.size() < taken + length + 1) return 0;
        if (in[taken + length] == '\r' && in.size() < taken + length + 2) return 0;
        c.value = in.substr(taken, length);
        taken += length;
        const std::size_t end = in.substr(taken).starts_with(kEnd) ? 2 : in[taken] == '\n' ? 1 : 0;
        if (end == 0) return malformed(c, "bad data chunk", taken, true);
        taken += end;
    }
    if (!is_printable_word(c.key) || c.key.size() > kKeyMost) return malformed(c, "bad key", taken);
    const char* bad = read_flags(line, c);
    return bad == nullptr ? taken : malformed(c, bad, taken);
}

std::size_t parse_reply(std::string_view in, Reply& r) {
    r = {};
    std::size_t taken = 0;
    std::string_view line = first_line(in, taken);
    if (taken == 0) return in.size() < kMaxLineBytes ? 0 : in.size();
    const std::string_view said = line;
    const std::string_view verb = next_word(line);
    if (verb == "VA") {
        std::size_t length = 0;
        if (!parse_number(next_word(line), length) || length > kMaxBufferedValueBytes) return taken;
        if (in.size() < taken + length + kEnd.size()) return 0;
        if (in.substr(taken + length, kEnd.size()) != kEnd) return taken;
        r.kind = Reply::Kind::value;
        r.id = id_of(line);
        r.body = in.substr(taken, length);
        return taken + length + kEnd.size();
    }
    if (verb == "HD") {
        r.kind = Reply::Kind::receipt;
        r.id = id_of(line);
        while (true) {
            const std::string_view flag = next_word(line);
            if (flag.empty()) return taken;
            if (flag[0] == 'c') r.body = flag.substr(1);
        }
    }
    if (verb == "EN") {
        r.kind = Reply::Kind::miss;
        r.id = id_of(line);
    } else if (verb == "MN") {
        r.kind = Reply::Kind::hello;
    } else if (said == "SERVER_ERROR busy") {
        r.kind = Reply::Kind::busy;
    } else if (verb == "SERVER_ERROR") {
        r.kind = Reply::Kind::failed;
    }
    return taken;
}

StreamedValue parse_streamed_reply(std::string_view in) {
    std::size_t taken = 0, length = 0;
    std::string_view line = first_line(in, taken);
    if (taken == 0 || next_word(line) != "VA" || !parse_number(next_word(line), length)) return {};
    if (length <= kMaxBufferedValueBytes || length > kMaxValueBytes) return {};
    return {taken, length, kEnd.size(), id_of(line), true};
}

std::size_t streamed_write_length(std::string_view in) {
    std::size_t taken = 0, length = 0;
    std::string_view line = first_line(in, taken);
    if (taken == 0 || next_word(line) != "ms") return 0;
    next_word(line);
    return parse_number(next_word(line), length) && length > kMaxBufferedValueBytes &&
                   length <= kMaxValueBytes
               ? length
               : 0;
}

std::string format_attributes(const RequestAttributes& p, double time_left) {
    std::string text = p.text;
    const auto ms = std::max<long long>(1, std::llround(time_left * 1e3));
    return text.replace(p.time_offset, p.time_length, std::to_string(ms));
}

std::string format_command(const Command& c, double time_left) {
    std::string text = c.kind == Command::Kind::read ? "mg " : "ms ";
    text += c.key;
    text += ' ';
    text += c.kind == Command::Kind::read ? "v" : std::to_string(c.value.size());
    text.append(" O")
        .append(c.id)
        .append(" P")
        .append(format_attributes(c.attributes, time_left))
        .append(kEnd);
    if (c.kind == Command::Kind::write) text.append(c.value).append(kEnd);
    return text;
}

std::string format_value_header(std::string_view id, std::size_t length) {
    return "VA " + std::to_string(length) + " O" + std::string(id) + std::string(kEnd);
}

std::string format_value(std::string_view id, std::string_view value) {
    return format_value_header(id, value.size()).append(value).append(kEnd);
}

std::string format_receipt(std::string_view id, std::string_view receipt) {
    return std::string("HD O").append(id).append(" c").append(receipt).append(kEnd);
}

std::string format_busy(double retry_after) {
    const auto ms = std::llround(retry_after * 1e3);
    std::string text = "SERVER_ERROR busy";
    if (ms > 0) text.append(" ").append(std::to_string(ms));
    return text.append(kEnd);
}

}  // namespace brookrelay
