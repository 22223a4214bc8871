// Creates GLib socket addresses and sockets from text. Internal to src/io. No I/O besides creating
// descriptors.
#pragma once

#include <string>

#include "io/glib_handles.h"

namespace brookrelay {

/// Parses a numeric `HOST:PORT`. Returns nullptr if the text is not one.
SocketAddressRef parse_socket_address(const std::string& text);

/// Creates a TCP socket of the address's family. Returns nullptr if the system cannot create one.
SocketRef create_socket(GSocketAddress* address);

}  // namespace brookrelay
