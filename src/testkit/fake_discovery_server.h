// Discovery by the protocol specification: one versioned endpoint list, served by an agent for each node with
// a lag, with fault injection (outages, stale lists, restarts with other versions). It notifies the auditor
// of each entry when it is written to a node.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "testkit/test_environment.h"

namespace brookrelay::testkit {

class FakeDiscoveryServer {
  public:
    FakeDiscoveryServer(TestEnvironment& environment, int nodes);

    // Sets the entry of a server: put() at once, before the run starts; list() after the lag.
    void put(int server, const std::string& address, EndpointState standing, double started);
    void list(int server, const std::string& address, EndpointState standing, double started);
    std::string agent(int node) const { return agents_[static_cast<std::size_t>(node)]->listener.address(); }
    // The current list in its wire format, as given to a node that starts.
    std::string whole_list(int node) const;
    // Where lists are pushed, what a node's agent holds counts as told to a process that starts.
    void on_node_started(int node);
    // The address at which a node reaches a server; empty: the server's own.
    std::function<std::string(int node, int server, const std::string& address)> dial;
    std::int64_t version() const { return version_; }
    struct Counts {
        std::uint64_t calls = 0, turned_away = 0;
    };
    const Counts& counts() const { return counts_; }

    // Faults.
    void down(bool on);                    // no responses; connections stay open
    void stale(bool on);                   // updates are held back until it ends
    void hold(int node, bool on);          // updates are held back from this node's agent until it ends
    void restart(std::set<int> left_out);  // versions start again, without these servers
    void readmit();                        // lists the servers left out by restart() again

  private:
    struct Entry {
        std::string address;
        EndpointState standing = EndpointState::ready;
        double started = -1;
        std::int64_t changed = 0;  // version of its last change
    };
    struct Watch {
        Connection::Ptr conn;
        std::int64_t index = 0;
        std::uint64_t number = 0;
    };
    struct Agent {
        Agent(TestEnvironment& environment, int node, FakeDiscoveryServer& owner);
        std::unique_ptr<Watch> watch;
        std::set<Connection::Ptr> conns;
        bool held = false;
        Listener listener;
    };

    bool has_room();
    void accept(int node, Tcp::socket socket);
    void input(int node, Connection& conn);
    void tell_all();
    void tell_soon();
    void answer(int node, Connection& conn, std::int64_t index);
    std::string entry_text(int node, std::size_t server) const;
    void send_in_pieces(const Connection::Ptr& conn, const std::string& text, std::size_t from,
                        const std::function<void()>& done);

    TestEnvironment& environment_;
    std::vector<Entry> entries_;  // as the agents know it
    std::vector<std::string> names_;
    std::vector<std::unique_ptr<Agent>> agents_;
    std::int64_t version_ = 1;
    const double wall_at_start_;  // read once: a start time must be the same in every message
    bool tells_soon_ = false;
    // The whole list as it was made last. Nodes that reach servers by addresses of their own have each their
    // own, and it is made anew.
    mutable std::string whole_list_;
    mutable std::int64_t whole_list_version_ = -1;
    std::uint64_t watches_ = 0;
    bool down_ = false, stale_ = false;
    std::set<int> left_out_;
    std::vector<std::function<void()>> kept_back_;
    Counts counts_;
    double second_ = -1, in_second_ = 0;  // calls answered in the current second
};

}  // namespace brookrelay::testkit
