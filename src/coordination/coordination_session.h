// The client side of one session with a coordination service (its published protocol), which follows the
// children of one path.
//
// It owns the session, which continues when the connection moves to another server of the ensemble, and the
// children with their data. It has no I/O and no clock: received bytes and times are arguments, and frames to
// send and connections to close are passed to callbacks. It does not interpret registrations: each complete
// view is passed to ServiceRegistrations with the service's transaction id as its order. After a protocol
// error the connection is closed by Callbacks::close_connection with a reason. Times are seconds on the
// monotonic clock.
//
// No change is missed: children are listed with a watch and each child is read with a watch, so every change
// after a read triggers an event; a child that is re-created between two listings triggers its own event.
// After a lost connection all children are listed again, so that no watch has to be restored.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "coordination/service_registrations.h"

namespace brookrelay {

// The state machine of the protocol; the owner passes in connection events and received frames.
class CoordinationSession {
  public:
    // The callbacks of the session.
    struct Callbacks {
        std::function<void(const std::string& frame)> send;
        std::function<void(const char* reason)> close_connection;  // closes the connection
        // Called for a child whose data is invalid and which is therefore ignored.
        std::function<void(const std::string& child, const std::string& reason)> on_invalid_child;
    };
    // Decodes a child's data. Returns nothing if the data is invalid, with the reason in `reason`.
    using Decode = std::function<std::optional<Registration>(const std::string& child,
                                                             const std::string& data, std::string& reason)>;

    // `path` has no trailing slash; `timeout` is the session timeout to request, in seconds.
    CoordinationSession(std::string path, double timeout, ServiceRegistrations& registrations, Decode decode,
                        Callbacks callbacks);

    // To be called when a connection to any server of the ensemble has been opened.
    void on_connected(double now);
    // To be called with each received frame, without its length prefix.
    void on_frame(double now, std::string_view payload);
    // To be called when the connection is lost or could not be opened.
    void on_disconnected(double now);
    // Sends pings and detects a service that does not respond; to be called at next_at().
    void tick(double now);
    // The time of the next tick(); infinity without a connection.
    double next_at() const;
    // Whether the session is established.
    bool is_established() const { return state_ == State::established; }
    // The service's id of the session; 0 before the first session.
    std::int64_t session_id() const { return session_id_; }

  private:
    enum class State { down, connecting, established };
    enum class RequestType { children, data };
    struct Child {
        bool read_pending = false;   // a read of its data is in flight
        bool reread_needed = false;  // the result of that read will be outdated
        // As last read; none before the first read, after a removal event, or if the data is invalid.
        std::optional<Registration> registration;
    };
    struct PendingRequest {
        RequestType type = RequestType::children;
        std::string child;
    };

    void send_connect_request(double now);
    void list_children();
    void read_child(const std::string& name);
    void send_request(std::int32_t type, const std::string& path, PendingRequest request);
    void on_connect_response(double now, std::string_view payload);
    void on_reply(double now, std::string_view payload);
    void on_watch_event(double now, std::string_view payload);
    void on_children(double now, std::int64_t order, std::string_view payload, std::int32_t error);
    void on_data(double now, std::int64_t order, const std::string& child, std::string_view payload,
                 std::int32_t error);
    void publish_view(double now, std::int64_t order);
    void disconnect(double now, const char* reason);

    // Bytes of the all-zero password that requests a new session.
    static constexpr std::size_t kPasswordSize = 16;

    const std::string path_;
    const double requested_timeout_;
    ServiceRegistrations& registrations_;
    Decode decode_;
    Callbacks callbacks_;
    State state_ = State::down;
    std::int64_t session_id_ = 0;
    std::string password_ = std::string(kPasswordSize, '\0');
    double timeout_ = 0;  // session timeout granted by the service, s
    double last_received_at_ = 0, last_sent_at_ = 0;
    std::int64_t last_order_ = 0;  // the highest transaction id of the service in any reply
    std::int32_t xid_ = 0;         // id of the last request
    std::map<std::int32_t, PendingRequest> pending_requests_;
    std::map<std::string, Child> children_;
    // Whether a listing is in flight, whether another one is needed after it, and whether this connection has
    // had a listing.
    bool list_pending_ = false, relist_pending_ = false, listed_ = false;
};

}  // namespace brookrelay
