// Parses text that consists of exactly one number. No I/O.
#pragma once

#include <charconv>
#include <string_view>

namespace brookrelay {

// Parses `digits` into `out`; a signed type also accepts a leading '-'. Returns false if the text is empty,
// contains anything else or does not fit the type.
template <typename Number>
bool parse_number(std::string_view digits, Number& out, int base = 10) {
    const char* end = digits.data() + digits.size();
    const auto [parsed_end, error] = std::from_chars(digits.data(), end, out, base);
    return error == std::errc() && parsed_end == end;
}

}  // namespace brookrelay
