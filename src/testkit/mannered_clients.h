// Clients of a soak that a fleet meets in production: they pipeline, write in pieces, stop inside a command
// and stay, rest until they are closed, leave while they wait, read late, write long values, or have very
// little time left. Each plays one manner after another on connections of its own until the end of the run.
// All that they ask is registered with the auditor; that a stopped command is ended in time is checked here.
#pragma once

#include <boost/random/mersenne_twister.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "testkit/test_environment.h"

namespace brookrelay::testkit {

class ManneredClients {
  public:
    /// Numbers of requests and users are taken from the load's clients, so that they don't meet.
    struct Numbering {
        std::function<int()> next_request;
        std::function<int()> next_user;
    };

    ManneredClients(TestEnvironment& environment, Numbering numbering, std::uint64_t seed);
    ~ManneredClients();
    ManneredClients(const ManneredClients&) = delete;
    ManneredClients& operator=(const ManneredClients&) = delete;

    /// Starts `count` clients; `pick` says where a new connection goes, or nullopt if no node takes any.
    using PickNode = std::function<std::optional<std::pair<int, Tcp::endpoint>>()>;
    void start(int count, PickNode pick, double until);
    void stop();
    /// What no rule of the auditor's covers: half commands that were not ended in time, less the time for
    /// which the watcher was late itself. Asked for at the end of the run.
    std::vector<std::string> complaints() const;

  private:
    class Client;
    friend class Client;
    double draw() { return static_cast<double>(chance_() >> 11) / 9007199254740992.0; }
    int draw_int(int least, int most) { return least + static_cast<int>(draw() * (most - least + 1)); }

    TestEnvironment& environment_;
    Numbering numbering_;
    boost::random::mt19937_64 chance_;
    PickNode pick_;
    double until_ = 0;
    bool stopped_ = false;
    std::vector<std::shared_ptr<Client>> clients_;
    struct Complaint {
        std::string text;
        double stopped_at = 0;  // when the client's command stopped
        double seen_at = 0;
    };
    std::vector<Complaint> complaints_;
};

}  // namespace brookrelay::testkit
