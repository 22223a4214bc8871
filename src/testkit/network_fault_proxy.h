// The network between the nodes of a day, and between nodes and servers, that the kit owns: a relay address
// stands for each node to all others, and, on days with cuts, one for each server to each node. It owns the
// relays' sockets and the faults that are on, changes nothing else, and judges nothing. A datagram goes on
// from the relay address of whoever sent it, so that nodes know one another by those addresses alone.
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

class Links {
  public:
    using Udp = boost::asio::ip::udp;

    Links(World& world, std::uint64_t seed, bool servers_too);

    // Where a node has to listen for its peers, and what it is told of them.
    std::string peer_listen(int node) const;
    std::vector<std::string> peers() const;
    // How a node finds a server: by a relay of its own on days with cuts, else straight.
    std::string dial(int node, int server, const std::string& address);
    // A fault of the links, by its trouble's kind, until the time given.
    void strike(const Trouble& trouble, double until);

    struct Counts {
        std::uint64_t datagrams = 0, bytes = 0, lost = 0, doubled = 0, spoilt = 0, late = 0;
    };
    const Counts& counts() const { return counts_; }

  private:
    struct Side {
        std::set<int> nodes, servers;
    };
    struct Fault {
        TroubleKind kind = TroubleKind::cut;
        Side from, to;
        bool one_way = false;
        double part = 1, delay = 0;
        // Whether it strikes what goes from one to the other; servers are numbered behind the nodes.
        bool strikes(int a, int b, int nodes) const;
    };
    struct Relay {  // of one node's datagrams
        explicit Relay(Io& io, const std::string& host)
            : socket(io, Udp::endpoint(boost::asio::ip::make_address(host), 0)) {}
        Udp::socket socket;
        Udp::endpoint node;  // where it really listens
        Udp::endpoint from;
        std::array<char, 2048> room{};
    };
    struct Pair {  // one connection through a way
        Conn::Ptr near, far;
    };
    struct Way {  // from one node to one server
        int node = 0, server = 0;
        std::string real;
        std::unique_ptr<Listener> listener;
        std::list<std::shared_ptr<Pair>> pairs;
        bool out_cut = false, back_cut = false;
    };

    Side side(const std::vector<std::string>& names) const;
    void receive(int node);
    void pass(int from, int to, std::string bytes);
    void put(int from, int to, const std::string& bytes);
    void accept(Way& way, Tcp::socket socket);
    void settle_ways();
    bool chance(double part) { return static_cast<double>(chance_() >> 11) < part * 9007199254740992.0; }

    World& world_;
    const std::string host_;
    boost::random::mt19937_64 chance_;
    const bool servers_too_;
    std::vector<std::unique_ptr<Relay>> relays_;
    std::map<Udp::endpoint, int> senders_;
    std::map<std::pair<int, int>, std::unique_ptr<Way>> ways_;
    std::list<Fault> faults_;
    Counts counts_;
};

}  // namespace brookrelay::testkit
