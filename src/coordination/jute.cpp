#include "coordination/jute.h"

namespace brookrelay {
namespace {

// Appends the lowest `bytes` bytes of `value` in big-endian order.
void put(std::string& out, std::uint64_t value, int bytes) {
    for (int i = bytes - 1; i >= 0; --i) out += static_cast<char>(value >> (8 * i) & 0xff);
}

}  // namespace

std::uint64_t JuteReader::bytes(std::size_t count) {
    if (rest_.size() < count) {
        sound_ = false;
        rest_ = {};
        return 0;
    }
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < count; ++i) value = value << 8 | static_cast<unsigned char>(rest_[i]);
    rest_.remove_prefix(count);
    return value;
}

std::int32_t JuteReader::number() { return static_cast<std::int32_t>(static_cast<std::uint32_t>(bytes(4))); }
std::int64_t JuteReader::long_number() { return static_cast<std::int64_t>(bytes(8)); }
bool JuteReader::flag() { return bytes(1) != 0; }

std::string JuteReader::text() {
    const std::int32_t count = number();
    if (count <= 0) {
        sound_ = sound_ && count >= -1;
        return {};
    }
    if (static_cast<std::size_t>(count) > rest_.size()) {
        sound_ = false;
        rest_ = {};
        return {};
    }
    std::string value(rest_.substr(0, static_cast<std::size_t>(count)));
    rest_.remove_prefix(static_cast<std::size_t>(count));
    return value;
}

std::vector<std::string> JuteReader::texts() {
    const std::int32_t count = number();
    std::vector<std::string> values;
    // Each string takes at least the 4 bytes of its length.
    if (count < -1 || (count > 0 && static_cast<std::size_t>(count) > rest_.size() / 4)) {
        sound_ = false;
        rest_ = {};
        return values;
    }
    for (std::int32_t i = 0; i < count && sound_; ++i) values.push_back(text());
    return values;
}

JuteWriter& JuteWriter::number(std::int32_t value) {
    put(out_, static_cast<std::uint32_t>(value), 4);
    return *this;
}

JuteWriter& JuteWriter::long_number(std::int64_t value) {
    put(out_, static_cast<std::uint64_t>(value), 8);
    return *this;
}

JuteWriter& JuteWriter::flag(bool value) {
    out_ += value ? '\1' : '\0';
    return *this;
}

JuteWriter& JuteWriter::text(std::string_view value) {
    number(static_cast<std::int32_t>(value.size()));
    out_ += value;
    return *this;
}

JuteWriter& JuteWriter::texts(const std::vector<std::string>& values) {
    number(static_cast<std::int32_t>(values.size()));
    for (const std::string& v : values) text(v);
    return *this;
}

std::string JuteWriter::frame() const {
    std::string framed;
    put(framed, out_.size(), 4);
    return framed + out_;
}

std::size_t read_frame(std::string_view in, std::string_view& payload, bool& sound) {
    sound = true;
    if (in.size() < 4) return 0;
    const std::int32_t length = JuteReader(in).number();
    if (length < 0 || static_cast<std::size_t>(length) > kMaxFrameSize) {
        sound = false;
        return 0;
    }
    const auto frame_size = 4 + static_cast<std::size_t>(length);
    if (in.size() < frame_size) return 0;
    payload = in.substr(4, static_cast<std::size_t>(length));
    return frame_size;
}

}  // namespace brookrelay
