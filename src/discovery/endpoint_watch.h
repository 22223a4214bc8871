// Follows discovery's list by a watch over HTTP/1.1. It owns its one connection and the version held. It
// hands over what it is told and no more: an answer that makes no sense changes nothing, and what the list
// means is for the module.
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

class EndpointWatch {
  public:
    using OnUpdate = std::function<void(EndpointUpdate&&)>;
    using OnFailed = std::function<void()>;

    EndpointWatch(TimerQueue& timers, Log& log, const NodeConfig& station, OnUpdate told, OnFailed failed);
    void poll();  // does nothing while a watch is on
    // Asks there from now on, and reads by these names. If either is new, at once and for the whole list:
    // another discovery counts its versions anew, and entries that the old names could not place are told
    // only so.
    void move_to(const std::string& address, const Names& names, bool asks);

  private:
    void call();
    void connect();
    void disconnect();
    void on_event(TcpConnection::Event what);
    void read_response(bool ended = false);  // `ended`: by an orderly end behind what has come
    void on_failure(const std::string& why, bool given_up = false);

    TimerQueue& timers_;
    Log& log_;
    std::string address_;
    Names names_;
    bool polls_;  // lists come only when asked for, and the module decides when to ask again
    OnUpdate on_update_;
    OnFailed on_failed_;
    std::int64_t version_;
    ByteBudget budget_;  // one stream, bounded by itself
    std::unique_ptr<TcpConnection> connection_;
    bool calling_ = false;
    bool last_call_timed_out_ = false;  // a call since the last answer, for its silence
    bool watching_ = false;
    TimerQueue::Handle call_timer_;
    TimerQueue::Handle retry_timer_;  // the next call, or the next try
    double retry_after_;
    std::ranlux24_base chance_;
};

}  // namespace brookrelay
