// Follows discovery's endpoint list by long polling (a watch) over HTTP/1.1.
//
// It owns one connection and the version of the list that the node holds. It passes on each decoded update
// without interpreting it. Failures (timeouts, lost connections, malformed or outdated responses) are logged
// under the topic `discovery` and change nothing; the watch retries with a jittered, doubling delay, or
// reports them by OnFailed if the balancer decides when to poll. Times are seconds on the monotonic clock.
//
// Its event sources have a higher priority than those of clients and servers, and it reads all input that has
// arrived: an update that has arrived is applied before a request that has arrived is started.
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
    // Sends a request, unless a watch is already running.
    void poll();
    // Changes the address and the names by which updates are decoded. If either is new, the full list is
    // requested at once: another discovery service has its own versions, and entries that the old names could
    // not resolve are sent again only in a full list. `polls`: whether the balancer decides when to poll.
    void reconfigure(const std::string& address, const Names& names, bool polls);

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
    bool polls_;  // updates are sent only on request, and the balancer decides when to poll
    OnUpdate on_update_;
    OnFailed on_failed_;
    std::int64_t version_;  // of the list held; kNoVersion requests the full list
    ByteBudget budget_;     // not checked, because the one connection has a bounded buffer
    std::unique_ptr<TcpConnection> connection_;
    bool request_pending_ = false;
    bool last_request_timed_out_ = false;  // a request has timed out since the last valid response
    bool is_watching_ = false;
    // Discovery has sent a valid list or confirmed the one of the file; true from the start if the balancer
    // decides when to poll.
    bool is_confirmed_;
    // When the first and the last byte of the current response arrived, monotonic; 0 if none has.
    double first_byte_at_ = 0;
    double last_byte_at_ = 0;
    TimerQueue::Handle request_timer_;
    TimerQueue::Handle retry_timer_;  // for the next request, or for the retry after a failure
    double retry_delay_;
    std::ranlux24_base random_;
};

}  // namespace brookrelay
