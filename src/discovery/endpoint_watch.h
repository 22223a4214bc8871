// Follows discovery's list by a watch over HTTP/1.1. It owns its one connection and the version held. It
// hands over what it is told and no more: an answer that makes no sense changes nothing, and what the list
// means is for the module.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>

#include "io/log.h"
#include "config/node_config.h"
#include "io/tcp_connection.h"
#include "io/timer_queue.h"

namespace brookrelay {

class Discovery {
  public:
    using Told = std::function<void(ServerList&&)>;
    using Failed = std::function<void()>;

    Discovery(Timers& timers, Log& log, const Station& station, Told told, Failed failed);
    void watch();  // does nothing while a watch is on
    // Asks there from now on, and reads by these names. If either is new, at once and for the whole list:
    // another discovery counts its versions anew, and entries that the old names could not place are told
    // only so.
    void move_to(const std::string& address, const Names& names, bool asks);

  private:
    void call();
    void connect();
    void hang_up();
    void news(Stream::News what);
    void read_answer(bool ended = false);  // `ended`: by an orderly end behind what has come
    void failed(const std::string& why, bool given_up = false);

    Timers& timers_;
    Log& log_;
    std::string address_;
    Names names_;
    bool asks_;  // lists come only when asked for, and the module decides when to ask again
    Told told_;
    Failed tell_failed_;
    std::int64_t version_;
    ByteBudget budget_;  // one stream, bounded by itself
    std::unique_ptr<Stream> stream_;
    bool calling_ = false;
    bool gave_up_ = false;  // a call since the last answer, for its silence
    bool watching_ = false;
    Timers::Handle limit_;
    Timers::Handle next_;  // the next call, or the next try
    double retry_after_;
    std::ranlux24_base chance_;
};

}  // namespace brookrelay
