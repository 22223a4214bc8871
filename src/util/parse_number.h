// Parses text that consists of exactly one number. No I/O.
#pragma once

#include <charconv>
#include <string_view>

namespace brookrelay {

// Parses `digits` into `out`. Returns false if they are empty, contain anything else or do not fit the type.
template <typename Number>
bool parse_number(std::string_view digits, Number& out, int base = 10) {
    const char* end = digits.data() + digits.size();
    const auto [parsed_end, error] = std::from_chars(digits.data(), end, out, base);
    return error == std::errc() && parsed_end == end;
}

}  // namespace brookrelay
