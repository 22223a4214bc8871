// The HTTP/1.1 server on the operators' address, with one request a connection.
//
// It owns its listener and its connections. Its event sources have a higher priority than the clients', so
// that it answers however busy the node is; the connections and the accepts of one event-loop iteration are
// few, so that it does not delay the clients either. It does not interpret requests: the owner does, and
// answers by respond(). Times are seconds on the monotonic clock.
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

// A listener with at most kMaxCallers open connections; one more evicts the oldest.
class AdminServer {
  public:
    static constexpr std::size_t kMaxCallers = 8;
    // Called with each valid request; `caller` is the id for respond().
    using OnRequest = std::function<void(std::uint64_t caller, const HttpRequest& request)>;

    AdminServer(TimerQueue& timers, Log& log, OnRequest on_request);
    AdminServer(const AdminServer&) = delete;
    AdminServer& operator=(const AdminServer&) = delete;

    // Starts to accept connections. False: the address could not be bound, and `complaint` has the reason.
    bool listen(const std::string& address, std::string& complaint);
    // Sends the answer as plain text and closes; does nothing if the caller is gone or was answered.
    void respond(std::uint64_t id, int status, std::string_view text);
    // Frees closed connections. Not to be called from inside a connection's callback.
    void destroy_closed();

  private:
    struct Caller {
        std::unique_ptr<TcpConnection> connection;
        bool request_read = false;  // completely received, or rejected
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
    ByteBudget budget_;  // not checked: few connections, each with a bounded buffer
    Listener listener_;
    std::map<std::uint64_t, Caller> callers_;  // by increasing id: the oldest first
    std::vector<std::uint64_t> closed_;
    std::size_t open_count_ = 0;
    std::uint64_t last_id_ = 0;
};

}  // namespace brookrelay
