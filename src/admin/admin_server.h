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

#include "io/listener.h"
#include "io/log.h"
#include "io/tcp_connection.h"
#include "io/timer_queue.h"
#include "protocol/http1.h"

namespace brookrelay {

class AdminServer {
  public:
    static constexpr std::size_t kMaxCallers = 8;
    using OnRequest = std::function<void(std::uint64_t caller, const HttpRequest& call)>;

    AdminServer(TimerQueue& timers, Log& log, OnRequest asked);
    AdminServer(const AdminServer&) = delete;
    AdminServer& operator=(const AdminServer&) = delete;

    bool listen(const std::string& address, std::string& complaint);
    void respond(std::uint64_t caller, int status, std::string_view text);
    void destroy_closed();

  private:
    struct Caller {
        std::unique_ptr<TcpConnection> connection;
        bool request_read = false;  // its call is whole, or hopeless
        bool responded = false;
        TimerQueue::Handle timeout;
    };

    void accept_connections();
    void evict_oldest();
    void on_event(std::uint64_t id, Caller& c, TcpConnection::Event what);
    void close(std::uint64_t id, Caller& c);

    TimerQueue& timers_;
    Log& log_;
    OnRequest on_request_;
    ByteBudget budget_;  // never looked at: few places, each bounded by itself
    Listener listener_;
    std::map<std::uint64_t, Caller> callers_;  // the longest here in front
    std::vector<std::uint64_t> closed_;
    std::size_t open_count_ = 0;
    std::uint64_t last_id_ = 0;
};

}  // namespace brookrelay
