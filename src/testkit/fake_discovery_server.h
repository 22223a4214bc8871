// A fake discovery service that follows the protocol specification: one versioned endpoint list, served with
// a lag by one agent for each node, with fault injection (outages, stale lists, restarts with other
// versions). It notifies the auditor of each entry when the entry is written to a node.
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

    // Sets the entry of a server: put() at once, for use before the run starts; list() after the discovery
    // lag.
    void put(int server, const std::string& address, EndpointState state, double started);
    void list(int server, const std::string& address, EndpointState state, double started);
    std::string agent(int node) const { return agents_[static_cast<std::size_t>(node)]->listener.address(); }
    // Returns the current list in its wire format, as given to a node that starts.
    std::string whole_list(int node) const;
    // Unless the scenario lets nodes ask for the list, the entries that a node's agent holds are reported to
    // the auditor as known to a node that starts.
    void on_node_started(int node);
    // Returns the address at which a node reaches a server. If unset, it is the server's own address.
    std::function<std::string(int node, int server, const std::string& address)> dial;
    std::int64_t version() const { return version_; }
    struct Counts {
        std::uint64_t calls = 0, turned_away = 0;
    };
    const Counts& counts() const { return counts_; }

    // Faults.
    void down(bool on);                    // no responses; connections stay open
    void stale(bool on);                   // holds updates back until the fault ends
    void hold(int node, bool on);          // holds updates back from this node's agent until the fault ends
    void restart(std::set<int> left_out);  // starts versions again, without these servers in the list
    void readmit();                        // lists the servers left out by restart() again

  private:
    struct Entry {
        std::string address;
        EndpointState state = EndpointState::ready;
        double started = -1;
        std::int64_t changed = 0;  // version of its last change
    };
    struct Watch {
        Connection::Ptr connection;
        std::int64_t index = 0;
        std::uint64_t number = 0;
    };
    struct Agent {
        Agent(TestEnvironment& environment, int node, FakeDiscoveryServer& owner);
        std::unique_ptr<Watch> watch;
        std::set<Connection::Ptr> conns;
        bool is_held = false;
        Listener listener;
    };

    bool admit_call();
    void accept(int node, Tcp::socket socket);
    void input(int node, Connection& connection);
    void send_updates();
    void schedule_updates();
    void respond(int node, Connection& connection, std::int64_t index);
    std::string entry_text(int node, std::size_t server) const;
    void send_in_chunks(const Connection::Ptr& connection, const std::string& text, std::size_t offset,
                        const std::function<void()>& on_sent);

    TestEnvironment& environment_;
    std::vector<Entry> entries_;  // as the agents know them, by server
    std::vector<std::string> names_;
    std::vector<std::unique_ptr<Agent>> agents_;
    std::int64_t version_ = 1;
    // Read once, so that a server's start time is the same in every message.
    const double wall_clock_at_start_;
    bool updates_are_scheduled_ = false;
    // The whole list as last built, for reuse while the version stays. It is rebuilt for each call if `dial`
    // is set, as lists then differ by node, and while servers are left out.
    mutable std::string whole_list_;
    mutable std::int64_t whole_list_version_ = -1;
    std::uint64_t last_watch_number_ = 0;
    bool is_down_ = false, is_stale_ = false;
    std::set<int> left_out_;
    std::vector<std::function<void()>> held_updates_;
    Counts counts_;
    double current_second_ = -1, calls_in_second_ = 0;  // calls answered in the current second
};

}  // namespace brookrelay::testkit
