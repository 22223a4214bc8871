// Discovery, as the protocol's page has it: one list with versions, told through an agent beside each node,
// with a lag; and with outages, a list that stands still, and restarts with other versions. It owns the list,
// and tells the judge of each entry at the moment when it is written to a node.
#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "testkit/test_environment.h"

namespace brookrelay::testkit {

class DiscoveryServer {
  public:
    DiscoveryServer(World& world, int nodes);

    // What the list says of a server: at once, as before a day begins, or from `lag` after now on.
    void put(int server, const std::string& address, EndpointState standing, double started);
    void list(int server, const std::string& address, EndpointState standing, double started);
    std::string agent(int node) const { return agents_[static_cast<std::size_t>(node)]->listener.address(); }
    // The list as it now stands, in its own form: what a node that starts is given.
    std::string whole_list(int node) const;
    // How a node finds a server, where that is not the server's own address; empty: it is.
    std::function<std::string(int node, int server, const std::string& address)> dial;
    std::int64_t version() const { return version_; }
    struct Counts {
        std::uint64_t calls = 0, turned_away = 0;
    };
    const Counts& counts() const { return counts_; }

    // Troubles.
    void down(bool on);                    // silent, with its connections open
    void stale(bool on);                   // news is kept back until it ends
    void hold(int node, bool on);          // news is kept from this node's agent until it ends
    void restart(std::set<int> left_out);  // versions begin anew, and the list lacks these
    void readmit();                        // the list lacks nobody any more

  private:
    struct Entry {
        std::string address;
        EndpointState standing = EndpointState::ready;
        double started = -1;
        std::int64_t changed = 0;  // the version in which it changed last
    };
    struct Watch {
        Conn::Ptr conn;
        std::int64_t index = 0;
        std::uint64_t number = 0;
    };
    struct Agent {
        Agent(World& world, int node, DiscoveryServer& owner);
        std::unique_ptr<Watch> watch;
        std::set<Conn::Ptr> conns;
        bool held = false;
        Listener listener;
    };

    bool has_room();
    void accept(int node, Tcp::socket socket);
    void input(int node, Conn& conn);
    void tell_all();
    void answer(int node, Conn& conn, std::int64_t index);
    std::string entry_text(int node, std::size_t server) const;

    World& world_;
    std::vector<Entry> entries_;  // as the agents know it
    std::vector<std::string> names_;
    std::vector<std::unique_ptr<Agent>> agents_;
    std::int64_t version_ = 1;
    const double wall_at_start_;  // one reading: a start that is told twice must be told alike
    std::uint64_t watches_ = 0;
    bool down_ = false, stale_ = false;
    std::set<int> left_out_;
    std::vector<std::function<void()>> kept_back_;
    Counts counts_;
    double second_ = -1, in_second_ = 0;  // calls that were answered in the second under way
};

}  // namespace brookrelay::testkit
