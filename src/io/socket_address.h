// From the text of an address to GLib's sockets. Internal to src/io; no I/O besides creating the descriptor.
#pragma once

#include <string>

#include "io/glib_handles.h"

namespace brookrelay {

/// The socket address of a numeric `HOST:PORT`; nullptr if the text is not one.
SocketAddressRef parse_socket_address(const std::string& text);

/// A TCP socket of the address's family; nullptr if the system has none to give.
SocketRef create_socket(GSocketAddress* address);

}  // namespace brookrelay
