#include "testkit/network_fault_proxy.h"

#include <algorithm>

namespace brookrelay::testkit {
namespace {

std::size_t index(int i) { return static_cast<std::size_t>(i); }

std::string address_text(const NetworkFaultProxy::Udp::endpoint& remote) {
    return remote.address().to_string() + ":" + std::to_string(remote.port());
}

// Returns an endpoint of the host with a currently free UDP port.
NetworkFaultProxy::Udp::endpoint find_free_endpoint(Io& io, const std::string& host) {
    const NetworkFaultProxy::Udp::socket probe(
        io, NetworkFaultProxy::Udp::endpoint(boost::asio::ip::make_address(host), 0));
    return probe.local_endpoint();
}

// Returns a separate loopback address for the relays. They use many ports, which must not collide with a port
// that is configured for a node.
std::string relay_host(const std::string& host) {
    const std::size_t from = host.find('.') + 1, until = host.find('.', from);
    return "127." + std::to_string(std::stoi(host.substr(from, until - from)) + 64) + host.substr(until);
}

}  // namespace

NetworkFaultProxy::NetworkFaultProxy(TestEnvironment& environment, std::uint64_t seed, bool proxies_servers)
    : environment_(environment),
      host_(relay_host(environment.host)),
      random_(seed),
      proxies_servers_(proxies_servers) {
    for (int n = 0; n < environment.scenario.nodes; ++n) {
        relays_.push_back(std::make_unique<Relay>(environment.io, host_));
        Relay& r = *relays_.back();
        // A free port is not reserved until its node starts, so the same one may be found again.
        do {
            r.node = find_free_endpoint(environment.io, environment.host);
        } while (senders_.contains(r.node));
        senders_[r.node] = n;
        receive(n);
    }
}

std::string NetworkFaultProxy::peer_listen(int node) const {
    return address_text(relays_[index(node)]->node);
}

std::vector<std::string> NetworkFaultProxy::peers() const {
    std::vector<std::string> all;
    for (const auto& r : relays_) all.push_back(address_text(r->socket.local_endpoint()));
    return all;
}

// ---- fault endpoints ------------------------------------------------------------------------------------

NetworkFaultProxy::EndpointSet NetworkFaultProxy::resolve_endpoints(
    const std::vector<std::string>& names) const {
    const Scenario& s = environment_.scenario;
    const int zones = static_cast<int>(s.zones.size());
    const std::vector<std::string> named = s.server_names();
    const int servers = static_cast<int>(named.size());
    EndpointSet endpoints;
    for (const std::string& name : names) {
        const auto server = std::find(named.begin(), named.end(), name);
        if (server != named.end()) endpoints.servers.insert(static_cast<int>(server - named.begin()));
        const auto zone = std::find(s.zones.begin(), s.zones.end(), name);
        for (int n = 0; n < s.nodes; ++n) {
            if (zone != s.zones.end() ? n % zones == zone - s.zones.begin() : name == "n" + std::to_string(n))
                endpoints.nodes.insert(n);
        }
        for (int i = 0; zone != s.zones.end() && i < servers; ++i) {
            const int server_zone = i == servers - 1 ? 0 : i % zones;  // the origin is in the first zone
            if (server_zone == zone - s.zones.begin()) endpoints.servers.insert(i);
        }
    }
    return endpoints;
}

bool NetworkFaultProxy::Fault::affects(int a, int b, int nodes) const {
    const auto includes = [nodes](const EndpointSet& s, int id) {
        return id < nodes ? s.nodes.contains(id) : s.servers.contains(id - nodes);
    };
    return (includes(from, a) && includes(to, b)) || (!one_way && includes(from, b) && includes(to, a));
}

void NetworkFaultProxy::inject(const Trouble& t, double until) {
    Fault fault;
    fault.kind = t.kind;
    fault.one_way = t.one_way;
    fault.part = t.part;
    fault.delay = t.delay;
    fault.from = resolve_endpoints(t.from);
    fault.to = resolve_endpoints(t.to);
    if (t.to.empty()) {  // all other nodes and servers
        for (int n = 0; n < environment_.scenario.nodes; ++n) {
            if (!fault.from.nodes.contains(n)) fault.to.nodes.insert(n);
        }
        for (int i = 0; i < static_cast<int>(environment_.scenario.server_names().size()); ++i) {
            if (!fault.from.servers.contains(i)) fault.to.servers.insert(i);
        }
    }
    faults_.push_back(std::move(fault));
    const auto at = std::prev(faults_.end());
    apply_cuts();
    environment_.at(until, [this, at] {
        faults_.erase(at);
        apply_cuts();
    });
}

// ---- datagrams ------------------------------------------------------------------------------------------

void NetworkFaultProxy::receive(int node) {
    Relay& r = *relays_[index(node)];
    r.socket.async_receive_from(
        boost::asio::buffer(r.buffer), r.from, [this, node, &r](const Code& error, std::size_t size) {
            if (error == boost::asio::error::operation_aborted) return;
            const auto sender = senders_.find(r.from);
            if (!error && sender != senders_.end())
                forward_datagram(sender->second, node, std::string(r.buffer.data(), size));
            receive(node);  // an error here means that no process listens on a peer's port
        });
}

void NetworkFaultProxy::forward_datagram(int from, int to, std::string bytes) {
    ++counts_.datagrams;
    counts_.bytes += bytes.size();
    double total_delay = 0;
    int copies = 1;
    for (const Fault& fault : faults_) {
        if (!fault.affects(from, to, environment_.scenario.nodes)) continue;
        const bool is_affected = fault.kind == TroubleKind::cut || draw_chance(fault.part);
        if (!is_affected) continue;
        switch (fault.kind) {
            case TroubleKind::cut:
            case TroubleKind::lossy:
                ++counts_.lost;
                return;
            case TroubleKind::late:
                total_delay += fault.delay, ++counts_.late;
                break;
            case TroubleKind::reordered:
                total_delay += fault.delay * static_cast<double>(random_() >> 11) / 9007199254740992.0;
                break;
            case TroubleKind::doubled:
                ++copies, ++counts_.doubled;
                break;
            case TroubleKind::garbled:
                ++counts_.spoilt;
                for (int flips = 0; flips < 3 && !bytes.empty(); ++flips)
                    bytes[random_() % bytes.size()] = static_cast<char>(random_());
                break;
            default:
                break;
        }
    }
    for (int c = 0; c < copies; ++c) {
        if (total_delay <= 0) {
            send_datagram(from, to, bytes);
        } else {
            environment_.at(environment_.now() + total_delay,
                            [this, from, to, bytes] { send_datagram(from, to, bytes); });
        }
    }
}

void NetworkFaultProxy::send_datagram(int from, int to, const std::string& bytes) {
    Code ignored;
    relays_[index(from)]->socket.send_to(boost::asio::buffer(bytes), relays_[index(to)]->node, 0, ignored);
}

// ---- connections to servers -----------------------------------------------------------------------------

std::string NetworkFaultProxy::dial(int node, int server, const std::string& address) {
    if (!proxies_servers_ || address.empty()) return address;
    auto& path = server_paths_[{node, server}];
    if (path == nullptr) {
        path = std::make_unique<ServerPath>();
        path->node = node;
        path->server = server;
        ServerPath& server_path = *path;
        server_path.listener = std::make_unique<Listener>(
            environment_.io, host_,
            [this, &server_path](Tcp::socket s) { accept(server_path, std::move(s)); });
    }
    path->server_address = address;
    return path->listener->address();
}

void NetworkFaultProxy::accept(ServerPath& server_path, Tcp::socket socket) {
    const std::size_t colon = server_path.server_address.find(':');
    const Tcp::endpoint remote(
        boost::asio::ip::make_address(server_path.server_address.substr(0, colon)),
        static_cast<unsigned short>(std::stoul(server_path.server_address.substr(colon + 1))));
    const auto pair = std::make_shared<ProxiedConnection>();
    server_path.pairs.push_back(pair);
    const std::weak_ptr<ProxiedConnection> weak_pair = pair;
    const auto close_pair = [&server_path, weak_pair](Connection&) {
        const auto p = weak_pair.lock();
        if (p == nullptr) return;
        if (p->node_side != nullptr) p->node_side->reset();
        if (p->server_side != nullptr) p->server_side->reset();
        server_path.pairs.remove(p);
    };
    const auto forward_input = [weak_pair](Connection& c) {
        const auto p = weak_pair.lock();
        if (p == nullptr) return;
        const Connection::Ptr& other = p->node_side.get() == &c ? p->server_side : p->node_side;
        if (other == nullptr) return;
        other->write(c.input());
        c.take(c.input().size());
    };
    pair->server_side =
        Connection::to(environment_.io, remote, environment_.clock, {nullptr, forward_input, close_pair});
    pair->node_side =
        Connection::accepted(std::move(socket), environment_.clock, {nullptr, forward_input, close_pair});
    if (server_path.to_server_is_cut) pair->node_side->pause();
    if (server_path.from_server_is_cut) pair->server_side->pause();
}

// Applies the current cuts to the paths between nodes and servers. Open connections forward nothing in a cut
// direction. While either direction is cut, no connection is established; when neither is cut any more, the
// connections are reset.
void NetworkFaultProxy::apply_cuts() {
    const int nodes = environment_.scenario.nodes;
    for (auto& [key, path] : server_paths_) {
        ServerPath& server_path = *path;
        const auto cut = [&](int a, int b) {
            return std::any_of(faults_.begin(), faults_.end(), [&](const Fault& fault) {
                return fault.kind == TroubleKind::cut && fault.affects(a, b, nodes);
            });
        };
        const bool cut_to_server = cut(server_path.node, nodes + server_path.server),
                   cut_from_server = cut(nodes + server_path.server, server_path.node);
        if (cut_to_server == server_path.to_server_is_cut &&
            cut_from_server == server_path.from_server_is_cut)
            continue;
        server_path.to_server_is_cut = cut_to_server;
        server_path.from_server_is_cut = cut_from_server;
        if (cut_to_server || cut_from_server) {
            server_path.listener->make_unresponsive();
            for (const auto& p : server_path.pairs) {
                if (cut_to_server) p->node_side->pause();
                if (cut_from_server) p->server_side->pause();
            }
            continue;
        }
        server_path.listener->open();
        for (const auto& p : std::exchange(server_path.pairs, {})) {
            p->node_side->reset();
            p->server_side->reset();
        }
    }
}

}  // namespace brookrelay::testkit
