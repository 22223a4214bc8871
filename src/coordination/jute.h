// The coordination service's encoding, from its published protocol: big-endian numbers, counted texts and
// lists, in frames of a counted length. A reader never reads past its bytes and never makes room for a count
// that cannot be there; once something was missing it stays unsound. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace brookrelay {

constexpr std::size_t kFrameMost = 1 << 20;  // the service's own default bound of one message

class JuteReader {
  public:
    explicit JuteReader(std::string_view bytes) : rest_(bytes) {}
    std::int32_t number();
    std::int64_t long_number();
    bool flag();
    std::string text();  // counted; a count of -1 is an empty one
    std::vector<std::string> texts();
    bool sound() const { return sound_; }
    bool at_end() const { return rest_.empty(); }

  private:
    std::uint64_t bytes(std::size_t count);
    std::string_view rest_;
    bool sound_ = true;
};

class JuteWriter {
  public:
    JuteWriter& number(std::int32_t value);
    JuteWriter& long_number(std::int64_t value);
    JuteWriter& flag(bool value);
    JuteWriter& text(std::string_view value);
    JuteWriter& texts(const std::vector<std::string>& values);
    std::string frame() const;  // with its length before it
    const std::string& payload() const { return out_; }

  private:
    std::string out_;
};

// How much of `in` the first frame takes, its length among it: 0, it is not whole yet. `payload` points into
// `in`. A length that is negative or beyond the bound makes `sound` false.
std::size_t read_frame(std::string_view in, std::string_view& payload, bool& sound);

}  // namespace brookrelay
