#include "util/address.h"

#include <arpa/inet.h>

#include "util/parse_number.h"

namespace brookrelay {

std::optional<Address> parse_address(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) return std::nullopt;
    std::string_view host = text.substr(0, colon);
    const bool is_ipv6 = host.starts_with('[') && host.ends_with(']');
    if (is_ipv6) host = host.substr(1, host.size() - 2);
    Address address{std::string(host), 0};
    in6_addr parsed_address{};
    if (inet_pton(is_ipv6 ? AF_INET6 : AF_INET, address.host.c_str(), &parsed_address) != 1)
        return std::nullopt;
    if (!parse_number(text.substr(colon + 1), address.port)) return std::nullopt;
    if (address.port == 0 || address.port > 65535) return std::nullopt;
    return address;
}

}  // namespace brookrelay
