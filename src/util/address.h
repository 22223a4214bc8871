// Parses HOST:PORT addresses with a numeric host; an IPv6 host is in brackets. No name lookup, no I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace brookrelay {

/// A numeric host and a port.
struct Address {
    std::string host;  // without brackets
    unsigned port = 0;
};

/// Parses a numeric `HOST:PORT` with a port from 1 to 65535. Returns nullopt if the text is not one.
std::optional<Address> parse_address(std::string_view text);

}  // namespace brookrelay
