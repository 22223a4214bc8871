#include "gossip_agent/gossip_socket.h"

#include <array>

#include "util/address.h"

namespace brookrelay {
namespace {

constexpr int kReadsATurn = 64;     // the clients' sources wait meanwhile
constexpr std::size_t kRoom = 512;  // a datagram of more than may be is seen to be one

GSocketAddress* socket_address(const std::string& text) {
    const auto address = parse_address(text);
    return address ? g_inet_socket_address_new_from_string(address->host.c_str(), address->port) : nullptr;
}

}  // namespace

std::string GossipSocket::key(GSocketAddress* address) {
    if (!G_IS_INET_SOCKET_ADDRESS(address)) return {};
    GInetSocketAddress* inet = G_INET_SOCKET_ADDRESS(address);
    GInetAddress* host = g_inet_socket_address_get_address(inet);
    const guint8* bytes = g_inet_address_to_bytes(host);
    std::string said(reinterpret_cast<const char*>(bytes), g_inet_address_get_native_size(host));
    return said + ':' + std::to_string(g_inet_socket_address_get_port(inet));
}

bool GossipSocket::listen(const std::string& own, const std::vector<std::string>& peers,
                          std::string& complaint) {
    const AddressRef here(socket_address(own));
    if (here == nullptr) return complaint = "'" + own + "' is no address", false;
    GError* failed = nullptr;
    SocketRef socket(g_socket_new(g_socket_address_get_family(here.get()), G_SOCKET_TYPE_DATAGRAM,
                                  G_SOCKET_PROTOCOL_UDP, &failed));
    if (socket != nullptr) {
        g_socket_set_blocking(socket.get(), FALSE);
        if (!g_socket_bind(socket.get(), here.get(), FALSE, &failed)) socket.reset();
    }
    const ErrorRef error(failed);
    if (socket == nullptr) return complaint = error->message, false;
    addresses_.clear();
    numbers_.clear();
    for (const std::string& peer : peers) {
        addresses_.emplace_back(socket_address(peer));
        numbers_.emplace(key(addresses_.back().get()), static_cast<int>(addresses_.size()) - 1);
    }
    socket_ = std::move(socket);
    source_ = g_socket_create_source(socket_.get(), G_IO_IN, nullptr);
    const GSocketSourceFunc ready = [](GSocket*, GIOCondition, gpointer self) -> gboolean {
        static_cast<GossipSocket*>(self)->readable();
        return G_SOURCE_CONTINUE;
    };
    g_source_set_callback(source_, G_SOURCE_FUNC(ready), this, nullptr);
    g_source_attach(source_, nullptr);
    return true;
}

void GossipSocket::readable() {
    std::array<char, kRoom> room{};
    for (int n = 0; n < kReadsATurn; ++n) {
        GSocketAddress* from = nullptr;
        const gssize size =
            g_socket_receive_from(socket_.get(), &from, room.data(), room.size(), nullptr, nullptr);
        const AddressRef sender(from);
        if (size < 0) return;
        const auto peer = sender == nullptr ? numbers_.end() : numbers_.find(key(sender.get()));
        told_(peer == numbers_.end() ? kUnknownPeer : peer->second,
              {room.data(), static_cast<std::size_t>(size)});
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
