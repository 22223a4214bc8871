#include "testkit/network_fault_proxy.h"

#include <algorithm>

namespace brookrelay::testkit {
namespace {

std::size_t index(int i) { return static_cast<std::size_t>(i); }

std::string text(const NetworkFaultProxy::Udp::endpoint& where) {
    return where.address().to_string() + ":" + std::to_string(where.port());
}

// Returns an endpoint of the host with a currently free UDP port.
NetworkFaultProxy::Udp::endpoint free_place(Io& io, const std::string& host) {
    const NetworkFaultProxy::Udp::socket probe(
        io, NetworkFaultProxy::Udp::endpoint(boost::asio::ip::make_address(host), 0));
    return probe.local_endpoint();
}

// Returns a separate loopback address for the relays. They use many ports, which must not collide with a port
// that is configured for a node.
std::string beside(const std::string& host) {
    const std::size_t from = host.find('.') + 1, until = host.find('.', from);
    return "127." + std::to_string(std::stoi(host.substr(from, until - from)) + 64) + host.substr(until);
}

}  // namespace

NetworkFaultProxy::NetworkFaultProxy(TestEnvironment& environment, std::uint64_t seed, bool servers_too)
    : environment_(environment), host_(beside(environment.host)), chance_(seed), servers_too_(servers_too) {
    for (int n = 0; n < environment.scenario.nodes; ++n) {
        relays_.push_back(std::make_unique<Relay>(environment.io, host_));
        Relay& r = *relays_.back();
        r.node = free_place(environment.io, environment.host);
        senders_[r.node] = n;
        receive(n);
    }
}

std::string NetworkFaultProxy::peer_listen(int node) const { return text(relays_[index(node)]->node); }

std::vector<std::string> NetworkFaultProxy::peers() const {
    std::vector<std::string> all;
    for (const auto& r : relays_) all.push_back(text(r->socket.local_endpoint()));
    return all;
}

// ---- fault endpoints ------------------------------------------------------------------------------------

NetworkFaultProxy::Side NetworkFaultProxy::side(const std::vector<std::string>& names) const {
    const Scenario& s = environment_.scenario;
    const int zones = static_cast<int>(s.zones.size());
    const std::vector<std::string> named = s.server_names();
    const int servers = static_cast<int>(named.size());
    Side side;
    for (const std::string& name : names) {
        const auto server = std::find(named.begin(), named.end(), name);
        if (server != named.end()) side.servers.insert(static_cast<int>(server - named.begin()));
        const auto zone = std::find(s.zones.begin(), s.zones.end(), name);
        for (int n = 0; n < s.nodes; ++n) {
            if (zone != s.zones.end() ? n % zones == zone - s.zones.begin() : name == "n" + std::to_string(n))
                side.nodes.insert(n);
        }
        for (int i = 0; zone != s.zones.end() && i < servers; ++i) {
            const int stands = i == servers - 1 ? 0 : i % zones;  // the origin is in the first zone
            if (stands == zone - s.zones.begin()) side.servers.insert(i);
        }
    }
    return side;
}

bool NetworkFaultProxy::Fault::strikes(int a, int b, int nodes) const {
    const auto holds = [nodes](const Side& s, int who) {
        return who < nodes ? s.nodes.contains(who) : s.servers.contains(who - nodes);
    };
    return (holds(from, a) && holds(to, b)) || (!one_way && holds(from, b) && holds(to, a));
}

void NetworkFaultProxy::strike(const Trouble& t, double until) {
    Fault f;
    f.kind = t.kind;
    f.one_way = t.one_way;
    f.part = t.part;
    f.delay = t.delay;
    f.from = side(t.from);
    f.to = side(t.to);
    if (t.to.empty()) {  // all other nodes and servers
        for (int n = 0; n < environment_.scenario.nodes; ++n) {
            if (!f.from.nodes.contains(n)) f.to.nodes.insert(n);
        }
        for (int i = 0; i < static_cast<int>(environment_.scenario.server_names().size()); ++i) {
            if (!f.from.servers.contains(i)) f.to.servers.insert(i);
        }
    }
    faults_.push_back(std::move(f));
    const auto at = std::prev(faults_.end());
    settle_ways();
    environment_.at(until, [this, at] {
        faults_.erase(at);
        settle_ways();
    });
}

// ---- datagrams ------------------------------------------------------------------------------------------

void NetworkFaultProxy::receive(int node) {
    Relay& r = *relays_[index(node)];
    r.socket.async_receive_from(
        boost::asio::buffer(r.room), r.from, [this, node, &r](const Code& bad, std::size_t size) {
            if (bad == boost::asio::error::operation_aborted) return;
            const auto sender = senders_.find(r.from);
            if (!bad && sender != senders_.end())
                pass(sender->second, node, std::string(r.room.data(), size));
            receive(node);  // an error here means that no process listens on a peer's port
        });
}

void NetworkFaultProxy::pass(int from, int to, std::string bytes) {
    ++counts_.datagrams;
    counts_.bytes += bytes.size();
    double after = 0;
    int copies = 1;
    for (const Fault& f : faults_) {
        if (!f.strikes(from, to, environment_.scenario.nodes)) continue;
        const bool struck = f.kind == TroubleKind::cut || chance(f.part);
        if (!struck) continue;
        switch (f.kind) {
            case TroubleKind::cut:
            case TroubleKind::lossy:
                ++counts_.lost;
                return;
            case TroubleKind::late:
                after += f.delay, ++counts_.late;
                break;
            case TroubleKind::reordered:
                after += f.delay * static_cast<double>(chance_() >> 11) / 9007199254740992.0;
                break;
            case TroubleKind::doubled:
                ++copies, ++counts_.doubled;
                break;
            case TroubleKind::garbled:
                ++counts_.spoilt;
                for (int flips = 0; flips < 3 && !bytes.empty(); ++flips)
                    bytes[chance_() % bytes.size()] = static_cast<char>(chance_());
                break;
            default:
                break;
        }
    }
    for (int c = 0; c < copies; ++c) {
        if (after <= 0) {
            put(from, to, bytes);
        } else {
            environment_.at(environment_.now() + after, [this, from, to, bytes] { put(from, to, bytes); });
        }
    }
}

void NetworkFaultProxy::put(int from, int to, const std::string& bytes) {
    Code ignored;
    relays_[index(from)]->socket.send_to(boost::asio::buffer(bytes), relays_[index(to)]->node, 0, ignored);
}

// ---- connections to servers -----------------------------------------------------------------------------

std::string NetworkFaultProxy::dial(int node, int server, const std::string& address) {
    if (!servers_too_ || address.empty()) return address;
    auto& way = ways_[{node, server}];
    if (way == nullptr) {
        way = std::make_unique<Way>();
        way->node = node;
        way->server = server;
        Way& w = *way;
        w.listener = std::make_unique<Listener>(environment_.io, host_,
                                                [this, &w](Tcp::socket s) { accept(w, std::move(s)); });
    }
    way->real = address;
    return way->listener->address();
}

void NetworkFaultProxy::accept(Way& w, Tcp::socket socket) {
    const std::size_t colon = w.real.find(':');
    const Tcp::endpoint where(boost::asio::ip::make_address(w.real.substr(0, colon)),
                              static_cast<unsigned short>(std::stoul(w.real.substr(colon + 1))));
    const auto pair = std::make_shared<Pair>();
    w.pairs.push_back(pair);
    const std::weak_ptr<Pair> held = pair;
    const auto over = [&w, held](Connection&) {
        const auto p = held.lock();
        if (p == nullptr) return;
        if (p->near != nullptr) p->near->reset();
        if (p->far != nullptr) p->far->reset();
        w.pairs.remove(p);
    };
    const auto hand_on = [held](Connection& c) {
        const auto p = held.lock();
        if (p == nullptr) return;
        const Connection::Ptr& other = p->near.get() == &c ? p->far : p->near;
        if (other == nullptr) return;
        other->write(c.input());
        c.take(c.input().size());
    };
    pair->far = Connection::to(environment_.io, where, environment_.clock, {nullptr, hand_on, over});
    pair->near = Connection::accepted(std::move(socket), environment_.clock, {nullptr, hand_on, over});
    if (w.out_cut) pair->near->pause();
    if (w.back_cut) pair->far->pause();
}

// Applies the current cuts to the paths between nodes and servers. A cut path forwards nothing and
// establishes no connections; when the cut ends, its connections are reset.
void NetworkFaultProxy::settle_ways() {
    const int nodes = environment_.scenario.nodes;
    for (auto& [key, way] : ways_) {
        Way& w = *way;
        const auto cut = [&](int a, int b) {
            return std::any_of(faults_.begin(), faults_.end(), [&](const Fault& f) {
                return f.kind == TroubleKind::cut && f.strikes(a, b, nodes);
            });
        };
        const bool out = cut(w.node, nodes + w.server), back = cut(nodes + w.server, w.node);
        if (out == w.out_cut && back == w.back_cut) continue;
        w.out_cut = out;
        w.back_cut = back;
        if (out || back) {
            w.listener->make_unresponsive();
            for (const auto& p : w.pairs) {
                if (out) p->near->pause();
                if (back) p->far->pause();
            }
            continue;
        }
        w.listener->open();
        for (const auto& p : std::exchange(w.pairs, {})) {
            p->near->reset();
            p->far->reset();
        }
    }
}

}  // namespace brookrelay::testkit
