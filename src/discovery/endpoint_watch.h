// Follows discovery's endpoint list by long polling (a watch) over HTTP/1.1.
//
// It owns one connection and the version of the list that the node holds. It hands over each update as
// decoded and does not interpret it. Failures (timeouts, lost connections, malformed or outdated answers)
// are logged under the topic `discovery` and change nothing; the watch retries with a jittered, doubling
// delay, or reports them by OnFailed where the balancer decides when to poll. Times are seconds on the
// monotonic clock.
//
// Its sources go before those of clients and servers, and it reads all that has come: a list that lies in the
// socket is known before a request that lies in another one is begun.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>

#include "config/node_config.h"
#include "io/log.h"
#include "io/tcp_connection.h"
#include "io/timer_queue.h"

namespace brookrelay {

// The watch on one discovery address.
class EndpointWatch {
  public:
    using OnUpdate = std::function<void(EndpointUpdate&&)>;
    using OnFailed = std::function<void()>;

    EndpointWatch(TimerQueue& timers, Log& log, const NodeConfig& config, OnUpdate on_update,
                  OnFailed on_failed);
    // Sends a request, unless a watch is running already.
    void poll();
    // Changes the address and the names by which updates are decoded. If either is new, the full list is
    // requested at once: another discovery has its own versions, and entries that the old names could not
    // resolve come again only in a full list.
    void move_to(const std::string& address, const Names& names, bool polls);

  private:
    void send_request();
    void connect();
    void disconnect();
    void on_event(TcpConnection::Event event);
    void read_response(bool ended = false);  // `ended`: the peer closed cleanly after the input
    void arm_request_timer(double due);
    void on_request_timeout();
    void on_failure(const std::string& why, bool timed_out = false);

    TimerQueue& timers_;
    Log& log_;
    std::string address_;
    Names names_;
    bool polls_;  // lists come on request only, and the balancer decides when to poll again
    OnUpdate on_update_;
    OnFailed on_failed_;
    std::int64_t version_;
    ByteBudget budget_;  // not checked: one connection with a bounded buffer
    std::unique_ptr<TcpConnection> connection_;
    bool request_pending_ = false;
    bool last_request_timed_out_ = false;  // at least one request since the last answer
    bool watching_ = false;
    bool is_confirmed_;  // by an answer of discovery: the list held is no longer only that of a file
    // When bytes of the response under way have come, monotonic; 0: none have.
    double first_byte_at_ = 0;
    double last_byte_at_ = 0;
    TimerQueue::Handle request_timer_;
    TimerQueue::Handle retry_timer_;  // the next request, or the next attempt after a failure
    double retry_delay_;
    std::ranlux24_base random_;
};

}  // namespace brookrelay
