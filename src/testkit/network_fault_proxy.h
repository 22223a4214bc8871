// Relays the traffic between nodes, and optionally between nodes and servers, and injects network faults into
// it. Peers reach a node at its relay address, and a datagram is forwarded from the relay address of its
// sender, so nodes know one another by relay addresses alone.
#pragma once

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "testkit/test_environment.h"

namespace brookrelay::testkit {

class NetworkFaultProxy {
  public:
    using Udp = boost::asio::ip::udp;

    NetworkFaultProxy(TestEnvironment& environment, std::uint64_t seed, bool proxies_servers);

    // Return the address on which a node listens for its peers, and the peer addresses to configure.
    std::string peer_listen(int node) const;
    std::vector<std::string> peers() const;
    // Returns the address at which a node reaches a server: a relay if servers are proxied too, else
    // `address`.
    std::string dial(int node, int server, const std::string& address);
    // Injects a network fault until the given time.
    void inject(const Trouble& trouble, double until);

    struct Counts {
        std::uint64_t datagrams = 0, bytes = 0, lost = 0, doubled = 0, spoilt = 0, late = 0;
    };
    const Counts& counts() const { return counts_; }

  private:
    struct EndpointSet {
        std::set<int> nodes, servers;
    };
    struct Fault {
        TroubleKind kind = TroubleKind::cut;
        EndpointSet from, to;
        bool one_way = false;
        double part = 1, delay = 0;
        // Returns whether the fault affects traffic from a to b. Servers are numbered after the nodes.
        bool affects(int a, int b, int nodes) const;
    };
    struct Relay {  // relays the datagrams to and from one node
        explicit Relay(Io& io, const std::string& host)
            : socket(io, Udp::endpoint(boost::asio::ip::make_address(host), 0)) {}
        Udp::socket socket;
        Udp::endpoint node;  // where the node listens
        Udp::endpoint from;  // sender of the datagram in `room`
        std::array<char, 2048> buffer{};
    };
    struct ProxiedConnection {  // one proxied connection
        Connection::Ptr node_side, server_side;
    };
    struct ServerPath {  // the proxied path from one node to one server
        int node = 0, server = 0;
        std::string server_address;
        std::unique_ptr<Listener> listener;
        std::list<std::shared_ptr<ProxiedConnection>> pairs;
        bool to_server_is_cut = false, from_server_is_cut = false;
    };

    EndpointSet resolve_endpoints(const std::vector<std::string>& names) const;
    void receive(int node);
    void forward_datagram(int from, int to, std::string bytes);
    void send_datagram(int from, int to, const std::string& bytes);
    void accept(ServerPath& path, Tcp::socket socket);
    void apply_cuts();
    bool draw_chance(double part) { return static_cast<double>(random_() >> 11) < part * 9007199254740992.0; }

    TestEnvironment& environment_;
    const std::string host_;
    boost::random::mt19937_64 random_;
    const bool proxies_servers_;
    std::vector<std::unique_ptr<Relay>> relays_;
    std::map<Udp::endpoint, int> senders_;
    std::map<std::pair<int, int>, std::unique_ptr<ServerPath>> server_paths_;
    std::list<Fault> faults_;
    Counts counts_;
};

}  // namespace brookrelay::testkit
