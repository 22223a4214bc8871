// Removal of the blanks around a word of a text protocol.
#pragma once

#include <string_view>

namespace brookrelay {

/// Returns `text` without the spaces and tabs at its start and end.
inline std::string_view trim(std::string_view text) {
    constexpr std::string_view kBlanks = " \t";
    const std::size_t first = text.find_first_not_of(kBlanks);
    if (first == std::string_view::npos) return {};
    return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

}  // namespace brookrelay
