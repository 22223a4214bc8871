// Owning handles for GLib objects: std::unique_ptr with the deleters that GLib needs. Header only, no state.
#pragma once

#include <gio/gio.h>

#include <memory>

namespace brookrelay {

struct GObjectUnref {
    void operator()(void* object) const { g_object_unref(object); }
};
/// Owns one reference to a socket; the socket is closed with its last reference.
using SocketRef = std::unique_ptr<GSocket, GObjectUnref>;
using SocketAddressRef = std::unique_ptr<GSocketAddress, GObjectUnref>;

struct GErrorFree {
    void operator()(GError* error) const { g_error_free(error); }
};
using ErrorRef = std::unique_ptr<GError, GErrorFree>;

struct GSourceDestroy {
    void operator()(GSource* source) const {
        g_source_destroy(source);
        g_source_unref(source);
    }
};
/// Owns an event source. Its callback is no longer called once the handle is reset, which is allowed inside
/// that callback.
using GSourceRef = std::unique_ptr<GSource, GSourceDestroy>;

}  // namespace brookrelay
