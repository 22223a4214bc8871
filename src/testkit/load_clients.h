// The clients of a scenario run and the load balancer between them and the nodes: they send the planned
// requests over kept connections, with timeouts, retries as each operation permits them, and early closes.
// What a client observes is reported to the auditor.
#pragma once

#include <boost/random/mersenne_twister.hpp>
#include <deque>
#include <memory>
#include <set>
#include <vector>

#include "testkit/fault_schedule.h"
#include "testkit/histogram.h"
#include "testkit/test_environment.h"
#include "testkit/wire.h"

namespace brookrelay::testkit {

class LoadClients {
  public:
    LoadClients(TestEnvironment& environment, const std::vector<PlannedRequest>& schedule,
                std::uint64_t seed);
    ~LoadClients();

    // The load balancer's view of a node: its address, and whether it gets requests.
    void node_at(int node, const Tcp::endpoint& where);
    void front_uses(int node, bool yes);
    void begin(double day);  // time of the run's start, by the environment's clock
    bool all_over() const { return next_ >= schedule_.size() && open_ == 0 && waiting_ == 0; }
    void stop();  // sends no further requests

    // For other clients of the run: numbers that no request or user of these has, and where to connect.
    int next_request() { return last_inv_++; }
    int next_user() { return last_user_++; }
    std::vector<std::pair<int, Tcp::endpoint>> used_nodes() const;

    // Faults: slow writers and slow readers, whose requests are not counted.
    void trickle(int node, int count, double until);
    void never_read(int node, int count, double until);

    const std::vector<LatencyHistogram>& latencies() const {
        return latencies_;
    }  // of successful requests, by operation
    int open() const { return open_; }
    std::uint64_t asked() const { return static_cast<std::uint64_t>(last_inv_); }
    std::uint64_t succeeded() const { return succeeded_; }

  private:
    struct User {
        const PlannedRequest* plan = nullptr;
        int number = 0;
        int tries = 0;
        double first_asked = 0;
        std::uint64_t mark = 0;
    };
    struct Line;  // one client connection
    struct Trickler;
    struct NonReader;
    struct Node {
        Tcp::endpoint where;
        bool used = false;
        std::deque<std::shared_ptr<Line>> idle;
        std::set<std::shared_ptr<Line>> all;
    };

    void next_arrival();
    void attempt(User user);
    int pick(const User& user);
    void send(const std::shared_ptr<Line>& line);
    void input(const std::shared_ptr<Line>& line);
    void ended(const std::shared_ptr<Line>& line);
    void expire(const std::shared_ptr<Line>& line, int inv);
    void free_line(const std::shared_ptr<Line>& line);
    void over(const std::shared_ptr<Line>& line);
    enum class After { busy, errored, unreachable, lost };
    void try_again(const User& user, After after, double advice);
    void dial(int node, const std::shared_ptr<Line>& line);

    TestEnvironment& environment_;
    const std::vector<PlannedRequest>& schedule_;
    std::size_t next_ = 0;
    double begun_ = 0;
    std::vector<Node> nodes_;
    boost::random::mt19937_64 chance_;
    boost::asio::steady_timer arrivals_;
    int last_inv_ = 0;
    int last_user_ = 0;
    int open_ = 0, waiting_ = 0;
    bool stopped_ = false;
    std::uint64_t succeeded_ = 0;
    std::vector<LatencyHistogram> latencies_;
};

}  // namespace brookrelay::testkit
