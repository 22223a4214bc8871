// The coordination service's encoding (Jute), from its published protocol: big-endian numbers, strings and
// lists with a count, in frames with a length prefix. No I/O.
//
// A reader never reads past its bytes and never allocates for a count that the bytes cannot hold; after the
// first error it returns zeros and empty values, and sound() stays false.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace brookrelay {

constexpr std::size_t kFrameMost = 1 << 20;  // bytes; the service's default limit of a message

// Decodes values from `bytes`, which have to outlive the reader.
class JuteReader {
  public:
    explicit JuteReader(std::string_view bytes) : rest_(bytes) {}
    std::int32_t number();
    std::int64_t long_number();
    bool flag();
    std::string text();  // a count of -1 is an empty string
    std::vector<std::string> texts();
    bool sound() const { return sound_; }
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
    std::string frame() const;  // the payload with its length prefix
    const std::string& payload() const { return out_; }

  private:
    std::string out_;
};

// The size of the first frame in `in`, with its length prefix; 0 if it is not complete yet. `payload` points
// into `in`. A length that is negative or over kFrameMost makes `sound` false.
std::size_t read_frame(std::string_view in, std::string_view& payload, bool& sound);

}  // namespace brookrelay
