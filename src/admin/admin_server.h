// The operators' address: HTTP/1.1, one call a connection. It owns its listener and its callers and gives
// both back in drop() and at its end. Its sources come before the clients', so that it is heard however busy
// the node is; its places and the callers it takes at a time are few, so that it holds up nobody either. It
// decides nothing: what a call means is the node's to say.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/http1.h"
#include "io/log.h"
#include "io/tcp_connection.h"
#include "io/timer_queue.h"

namespace brookrelay {

class Management {
  public:
    static constexpr std::size_t kPlaces = 8;
    using Asked = std::function<void(std::uint64_t caller, const HttpRequest& call)>;

    Management(Timers& timers, Log& log, Asked asked);
    ~Management();
    Management(const Management&) = delete;
    Management& operator=(const Management&) = delete;

    bool listen(const std::string& address, std::string& complaint);
    void answer(std::uint64_t caller, int status, std::string_view text);
    void sweep();

  private:
    struct Caller {
        std::unique_ptr<Stream> stream;
        bool asked = false;  // its call is whole, or hopeless
        bool answered = false;
        Timers::Handle limit;
    };

    void watch_listener(bool on);
    void accept_ready();
    void make_room();
    void news(std::uint64_t id, Caller& c, Stream::News what);
    void drop(std::uint64_t id, Caller& c);

    Timers& timers_;
    Log& log_;
    Asked asked_;
    ByteBudget budget_;  // never looked at: few places, each bounded by itself
    SocketRef listener_;
    GSource* accepting_ = nullptr;
    Timers::Handle accept_again_;
    std::map<std::uint64_t, Caller> callers_;  // the longest here in front
    std::vector<std::uint64_t> dropped_;
    std::size_t live_ = 0;
    std::uint64_t last_id_ = 0;
};

}  // namespace brookrelay
