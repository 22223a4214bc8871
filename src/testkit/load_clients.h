// The clients of a scenario run, and the load balancer between them and the nodes. The clients send the
// planned requests over persistent connections, with timeouts, with retries as each operation permits them,
// and with connections closed early. What a client observes is reported to the auditor.
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

    // Set the load balancer's view of a node: its address, and whether it gets requests.
    void set_node_address(int node, const Tcp::endpoint& where);
    void set_node_in_use(int node, bool yes);
    void start(double start_time);  // time of the run's start, by the environment's clock
    bool is_finished() const {
        return next_planned_ >= schedule_.size() && open_requests_ == 0 && pending_retries_ == 0;
    }
    void stop();  // no further requests are sent

    // For other clients of the run: unused numbers of a request and a user, and the nodes that get requests.
    int take_request_id() { return next_request_id_++; }
    int take_user_id() { return next_user_id_++; }
    std::vector<std::pair<int, Tcp::endpoint>> nodes_in_use() const;

    // Inject faults until the given time: `count` clients that write a byte at a time, and clients that send
    // requests without reading the responses. Neither counts towards the service.
    void add_slow_writers(int node, int count, double until);
    void add_non_readers(int node, int count, double until);

    const std::vector<LatencyHistogram>& latencies() const {
        return latencies_;
    }  // of successful requests, by operation
    int open_request_count() const { return open_requests_; }
    std::uint64_t request_count() const { return static_cast<std::uint64_t>(next_request_id_); }
    std::uint64_t succeeded() const { return succeeded_; }

  private:
    // A user makes one planned request and its retries.
    struct User {
        const PlannedRequest* plan = nullptr;
        int number = 0;
        int retry_count = 0;
        double first_sent_at = 0;
        std::uint64_t idempotency_key = 0;
    };
    struct ClientConnection;  // carries one request at a time
    struct SlowWriter;
    struct NonReader;
    struct Node {
        Tcp::endpoint where;
        bool is_in_use = false;
        std::deque<std::shared_ptr<ClientConnection>> idle;
        std::set<std::shared_ptr<ClientConnection>> all;
    };

    void next_arrival();
    void attempt(User user);
    int pick_node(const User& user);
    void await_response(const std::shared_ptr<ClientConnection>& client);
    void send(const std::shared_ptr<ClientConnection>& client);
    void on_input(const std::shared_ptr<ClientConnection>& client);
    void on_connection_closed(const std::shared_ptr<ClientConnection>& client);
    void on_timeout(const std::shared_ptr<ClientConnection>& client, int request_id);
    void release(const std::shared_ptr<ClientConnection>& client);
    void discard(const std::shared_ptr<ClientConnection>& client);
    enum class Outcome { busy, errored, unreachable, lost };
    void schedule_retry(const User& user, Outcome outcome, double retry_after);
    void dial(int node, const std::shared_ptr<ClientConnection>& client);

    TestEnvironment& environment_;
    const std::vector<PlannedRequest>& schedule_;
    std::size_t next_planned_ = 0;
    double started_at_ = 0;
    std::vector<Node> nodes_;
    boost::random::mt19937_64 random_;
    boost::asio::steady_timer arrivals_;
    int next_request_id_ = 0;
    int next_user_id_ = 0;
    int open_requests_ = 0, pending_retries_ = 0;
    bool is_stopped_ = false;
    std::uint64_t succeeded_ = 0;
    std::vector<LatencyHistogram> latencies_;
};

}  // namespace brookrelay::testkit
