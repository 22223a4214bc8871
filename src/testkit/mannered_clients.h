// Clients of a soak with the unusual behaviours of production clients: they pipeline, write a command in
// pieces, stop inside a command and keep the connection, idle until the node closes the connection,
// disconnect while they wait, read late, write long values, or send very short deadlines. Each client picks
// one behaviour after another on its own connections until the end of the run. All their requests are
// registered with the auditor. This class itself checks that a node ends a stopped command in time.
#pragma once

#include <boost/random/mersenne_twister.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "testkit/test_environment.h"

namespace brookrelay::testkit {

class UnusualClients {
  public:
    /// Draws request and user numbers from the sequence of the load clients, so that both sets are disjoint.
    struct Numbering {
        std::function<int()> next_request;
        std::function<int()> next_user;
    };

    UnusualClients(TestEnvironment& environment, Numbering numbering, std::uint64_t seed);
    ~UnusualClients();
    UnusualClients(const UnusualClients&) = delete;
    UnusualClients& operator=(const UnusualClients&) = delete;

    /// Starts `count` clients. `pick` returns the node and endpoint for a new connection, or nullopt if no
    /// node accepts any.
    using PickNode = std::function<std::optional<std::pair<int, Tcp::endpoint>>()>;
    void start(int count, PickNode pick, double until);
    void stop();
    /// Returns the violations that no rule of the auditor covers: half commands that a node did not end in
    /// time. The delay of the watcher itself is subtracted first. Call it at the end of the run.
    std::vector<std::string> violations() const;

  private:
    class Client;
    friend class Client;
    double draw() { return static_cast<double>(random_() >> 11) / 9007199254740992.0; }
    int draw_int(int min, int max) { return min + static_cast<int>(draw() * (max - min + 1)); }

    TestEnvironment& environment_;
    Numbering numbering_;
    boost::random::mt19937_64 random_;
    PickNode pick_;
    double until_ = 0;
    bool stopped_ = false;
    std::vector<std::shared_ptr<Client>> clients_;
    struct Violation {
        std::string text;
        double stopped_at = 0;  // when the client stopped inside its command
        double seen_at = 0;     // when the node's reaction, or its absence, was observed
    };
    std::vector<Violation> violations_;
};

}  // namespace brookrelay::testkit
