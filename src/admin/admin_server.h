// The HTTP/1.1 server of the admin interface, with one request per connection.
//
// It owns its listener and its connections. Its event sources have a higher priority than those of the
// clients, so that it responds however busy the node is. The connections, and the accepts in one event-loop
// iteration, are few, so that it does not delay the clients. It does not interpret requests: the owner does,
// and responds by respond(). Times are seconds on the monotonic clock.
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

// Serves at most kMaxCallers open connections; a further connection evicts one of them.
class AdminServer {
  public:
    static constexpr std::size_t kMaxCallers = 8;
    // Called with each valid request; `caller` is the id for respond().
    using OnRequest = std::function<void(std::uint64_t caller, const HttpRequest& request)>;

    AdminServer(TimerQueue& timers, Log& log, OnRequest on_request);
    AdminServer(const AdminServer&) = delete;
    AdminServer& operator=(const AdminServer&) = delete;

    // Starts to accept connections. Returns false if the address cannot be bound, with the reason in
    // `error`.
    bool listen(const std::string& address, std::string& error);
    // Sends a plain-text response and closes the connection; no effect if the caller has disconnected or
    // already has a response.
    void respond(std::uint64_t id, int status, std::string_view text);
    // Frees closed connections. Must not be called from a connection's callback.
    void destroy_closed();

  private:
    struct Caller {
        std::unique_ptr<TcpConnection> connection;
        bool request_read = false;  // the request is complete or rejected
        bool responded = false;
        TimerQueue::Handle timeout;
    };

    void accept_connections();
    void evict_oldest();
    void on_event(std::uint64_t id, Caller& caller, TcpConnection::Event event);
    void close(std::uint64_t id, Caller& caller);

    TimerQueue& timers_;
    Log& log_;
    OnRequest on_request_;
    ByteBudget budget_;  // not checked, because the few connections have bounded buffers
    Listener listener_;
    std::map<std::uint64_t, Caller> callers_;  // ids increase, so the oldest connection is first
    std::vector<std::uint64_t> closed_;        // ids of closed connections that are not freed yet
    std::size_t open_count_ = 0;
    std::uint64_t last_id_ = 0;
};

}  // namespace brookrelay
