// The coordination service's encoding (Jute), from its published protocol: big-endian numbers, and strings
// and lists with a count, in frames with a length prefix. No I/O.
//
// A reader never reads past its bytes and never allocates for a count that exceeds them; after the first
// error it returns zeros and empty values, and is_valid() stays false.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace brookrelay {

constexpr std::size_t kMaxFrameSize = 1 << 20;  // bytes; the service's default limit for a message

// Decodes values from `bytes`, which must outlive the reader.
class JuteReader {
  public:
    explicit JuteReader(std::string_view bytes) : rest_(bytes) {}
    std::int32_t number();
    std::int64_t long_number();
    bool flag();
    std::string text();  // a count of -1 means an empty string
    std::vector<std::string> texts();
    bool is_valid() const { return sound_; }  // whether all values read so far were valid
    bool at_end() const { return rest_.empty(); }

  private:
    std::uint64_t bytes(std::size_t count);
    std::string_view rest_;
    bool sound_ = true;
};

// Encodes values; the calls can be chained.
class JuteWriter {
  public:
    JuteWriter& number(std::int32_t value);
    JuteWriter& long_number(std::int64_t value);
    JuteWriter& flag(bool value);
    JuteWriter& text(std::string_view value);
    JuteWriter& texts(const std::vector<std::string>& values);
    std::string frame() const;  // the payload with a length prefix
    const std::string& payload() const { return out_; }

  private:
    std::string out_;
};

// Returns the size of the first frame in `in` including its length prefix, or 0 if the frame is incomplete.
// `payload` points into `in`. `sound` becomes false if the length is negative or above kMaxFrameSize.
std::size_t read_frame(std::string_view in, std::string_view& payload, bool& sound);

}  // namespace brookrelay
