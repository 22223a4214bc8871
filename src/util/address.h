// HOST:PORT with a numeric host, IPv6 in brackets: nothing is looked up. No I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace brookrelay {

struct Address {
    std::string host;  // without brackets
    unsigned port = 0;
};

std::optional<Address> parse_address(std::string_view text);

}  // namespace brookrelay
