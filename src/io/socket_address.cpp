#include "io/socket_address.h"

#include "util/address.h"

namespace brookrelay {

SocketAddressRef parse_socket_address(const std::string& text) {
    const auto address = parse_address(text);
    return SocketAddressRef(
        address ? g_inet_socket_address_new_from_string(address->host.c_str(), address->port) : nullptr);
}

SocketRef create_socket(GSocketAddress* address) {
    return SocketRef(g_socket_new(g_socket_address_get_family(address), G_SOCKET_TYPE_STREAM,
                                  G_SOCKET_PROTOCOL_TCP, nullptr));
}

}  // namespace brookrelay
