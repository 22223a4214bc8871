// The UDP socket to other nodes: sends datagrams, and receives them with the number of the peer whose address
// they came from. Owns the socket and its event source and decides nothing; src/gossip decodes the datagrams.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "io/tcp_connection.h"

namespace brookrelay {

class GossipSocket {
  public:
    static constexpr int kUnknownPeer = -1;
    using OnDatagram = std::function<void(int from, std::string_view bytes)>;

    explicit GossipSocket(OnDatagram on_datagram) : on_datagram_(std::move(on_datagram)) {}
    ~GossipSocket() { close(); }
    GossipSocket(const GossipSocket&) = delete;
    GossipSocket& operator=(const GossipSocket&) = delete;

    bool listen(const std::string& own_address, const std::vector<std::string>& peers,
                std::string& error_text);
    bool listens() const { return socket_ != nullptr; }
    // A datagram that the kernel does not accept is dropped silently, like any that is lost on the network.
    void send(int to, std::string_view bytes);
    void close();

  private:
    using AddressRef = std::unique_ptr<GSocketAddress, GObjectUnref>;
    void on_readable();
    static std::string address_key(GSocketAddress* address);

    OnDatagram on_datagram_;
    SocketRef socket_;
    GSource* source_ = nullptr;
    std::vector<AddressRef> addresses_;
    std::map<std::string, int> peer_by_address_;  // peer numbers
};

}  // namespace brookrelay
