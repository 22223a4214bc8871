#include "gossip_agent/gossip_socket.h"

#include <array>

#include "util/address.h"

namespace brookrelay {
namespace {

// Client sockets are not served during these reads.
constexpr int kMaxReadsPerWakeup = 64;
// Larger than kMaxDatagramBytes, so that an oversized datagram is recognized as such.
constexpr std::size_t kReceiveBufferBytes = 512;

GSocketAddress* socket_address(const std::string& text) {
    const auto address = parse_address(text);
    return address ? g_inet_socket_address_new_from_string(address->host.c_str(), address->port) : nullptr;
}

}  // namespace

std::string GossipSocket::address_key(GSocketAddress* address) {
    if (!G_IS_INET_SOCKET_ADDRESS(address)) return {};
    GInetSocketAddress* inet = G_INET_SOCKET_ADDRESS(address);
    GInetAddress* host = g_inet_socket_address_get_address(inet);
    const guint8* bytes = g_inet_address_to_bytes(host);
    std::string address_bytes(reinterpret_cast<const char*>(bytes), g_inet_address_get_native_size(host));
    return address_bytes + ':' + std::to_string(g_inet_socket_address_get_port(inet));
}

bool GossipSocket::listen(const std::string& own_address, const std::vector<std::string>& peers,
                          std::string& error_text) {
    const AddressRef local_address(socket_address(own_address));
    if (local_address == nullptr)
        return error_text = "'" + own_address + "' is not a valid address (IP:port)", false;
    GError* raw_error = nullptr;
    SocketRef socket(g_socket_new(g_socket_address_get_family(local_address.get()), G_SOCKET_TYPE_DATAGRAM,
                                  G_SOCKET_PROTOCOL_UDP, &raw_error));
    if (socket != nullptr) {
        g_socket_set_blocking(socket.get(), FALSE);
        if (!g_socket_bind(socket.get(), local_address.get(), FALSE, &raw_error)) socket.reset();
    }
    const ErrorRef error(raw_error);
    if (socket == nullptr) return error_text = error->message, false;
    addresses_.clear();
    peer_by_address_.clear();
    for (const std::string& peer : peers) {
        addresses_.emplace_back(socket_address(peer));
        peer_by_address_.emplace(address_key(addresses_.back().get()),
                                 static_cast<int>(addresses_.size()) - 1);
    }
    socket_ = std::move(socket);
    source_ = g_socket_create_source(socket_.get(), G_IO_IN, nullptr);
    const GSocketSourceFunc ready = [](GSocket*, GIOCondition, gpointer self) -> gboolean {
        static_cast<GossipSocket*>(self)->on_readable();
        return G_SOURCE_CONTINUE;
    };
    g_source_set_callback(source_, G_SOURCE_FUNC(ready), this, nullptr);
    g_source_attach(source_, nullptr);
    return true;
}

void GossipSocket::on_readable() {
    std::array<char, kReceiveBufferBytes> buffer{};
    for (int n = 0; n < kMaxReadsPerWakeup; ++n) {
        GSocketAddress* from = nullptr;
        const gssize size =
            g_socket_receive_from(socket_.get(), &from, buffer.data(), buffer.size(), nullptr, nullptr);
        const AddressRef sender(from);
        if (size < 0) return;
        const auto peer =
            sender == nullptr ? peer_by_address_.end() : peer_by_address_.find(address_key(sender.get()));
        on_datagram_(peer == peer_by_address_.end() ? kUnknownPeer : peer->second,
                     {buffer.data(), static_cast<std::size_t>(size)});
    }
}

void GossipSocket::send(int to, std::string_view bytes) {
    if (socket_ == nullptr || to < 0 || to >= static_cast<int>(addresses_.size())) return;
    g_socket_send_to(socket_.get(), addresses_[static_cast<std::size_t>(to)].get(), bytes.data(),
                     bytes.size(), nullptr, nullptr);
}

void GossipSocket::close() {
    if (source_ != nullptr) {
        g_source_destroy(source_);
        g_source_unref(source_);
        source_ = nullptr;
    }
    socket_.reset();
}

}  // namespace brookrelay
