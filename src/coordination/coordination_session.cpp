#include "coordination/coordination_session.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>
#include <vector>

#include "coordination/jute.h"

namespace brookrelay {
namespace {

// Constants of the protocol.
constexpr std::int32_t kGetData = 4, kPing = 11, kGetChildren2 = 12;              // request types
constexpr std::int32_t kWatchEventXid = -1, kPingXid = -2;                        // reserved request ids
constexpr std::int32_t kNoNodeError = -101;                                       // error code
constexpr std::int32_t kNodeRemoved = 2, kDataChanged = 3, kChildrenChanged = 4;  // watch events

constexpr std::size_t kReplyHeaderSize = 16;  // bytes: request id, order and error code

constexpr double kPingRatio = 1.0 / 3.0;  // interval of pings, as a ratio of the session timeout
// Time without a received frame after which another server is tried, as a ratio of the session timeout.
constexpr double kSilenceRatio = 2.0 / 3.0;
constexpr std::size_t kMaxChildren = 20000;  // registrations in one listing

}  // namespace

CoordinationSession::CoordinationSession(std::string path, double timeout,
                                         ServiceRegistrations& registrations, Decode decode,
                                         Callbacks callbacks)
    : path_(std::move(path)),
      requested_timeout_(timeout),
      registrations_(registrations),
      decode_(std::move(decode)),
      callbacks_(std::move(callbacks)),
      timeout_(timeout) {}

void CoordinationSession::on_connected(double now) {
    state_ = State::connecting;
    pending_requests_.clear();
    list_pending_ = relist_pending_ = listed_ = false;
    last_received_at_ = now;
    send_connect_request(now);
}

void CoordinationSession::send_connect_request(double now) {
    JuteWriter writer;
    writer.number(0).long_number(last_order_).number(static_cast<std::int32_t>(requested_timeout_ * 1e3));
    writer.long_number(session_id_).text(password_).flag(false);
    last_sent_at_ = now;
    callbacks_.send(writer.frame());
}

void CoordinationSession::on_disconnected(double now) {
    if (state_ == State::down) return;
    state_ = State::down;
    pending_requests_.clear();
    registrations_.on_connection_lost(now);
}

void CoordinationSession::disconnect(double now, const char* reason) {
    on_disconnected(now);
    callbacks_.close_connection(reason);
}

void CoordinationSession::on_frame(double now, std::string_view payload) {
    last_received_at_ = now;
    if (state_ == State::connecting) return on_connect_response(now, payload);
    if (state_ == State::established) on_reply(now, payload);
}

void CoordinationSession::on_connect_response(double now, std::string_view payload) {
    JuteReader reader(payload);
    (void)reader.number();
    const std::int32_t timeout = reader.number();
    const std::int64_t session_id = reader.long_number();
    const std::string password = reader.text();
    if (!reader.is_valid()) return disconnect(now, "malformed connect response");
    if (timeout <= 0 || session_id == 0) {
        // The session has expired. Nothing depends on it, so the next connection requests a new one.
        session_id_ = 0;
        password_.assign(kPasswordSize, '\0');
        return disconnect(now, "the session has expired");
    }
    session_id_ = session_id;
    password_ = password;
    timeout_ = timeout / 1e3;
    state_ = State::established;
    list_children();
}

void CoordinationSession::on_reply(double now, std::string_view payload) {
    JuteReader reader(payload);
    const std::int32_t xid = reader.number();
    const std::int64_t order = reader.long_number();
    const std::int32_t error = reader.number();
    if (!reader.is_valid()) return disconnect(now, "truncated reply header");
    const std::string_view body = payload.substr(kReplyHeaderSize);
    if (xid == kWatchEventXid) return on_watch_event(now, body);
    last_order_ = std::max(last_order_, order);
    if (xid == kPingXid) return;
    const auto found = pending_requests_.find(xid);
    if (found == pending_requests_.end()) return disconnect(now, "reply to an unknown request");
    const PendingRequest request = std::move(found->second);
    pending_requests_.erase(found);
    if (request.type == RequestType::children) return on_children(now, order, body, error);
    on_data(now, order, request.child, body, error);
}

void CoordinationSession::send_request(std::int32_t type, const std::string& path, PendingRequest request) {
    JuteWriter writer;
    writer.number(++xid_).number(type).text(path).flag(true);
    pending_requests_.emplace(xid_, std::move(request));
    callbacks_.send(writer.frame());
}

void CoordinationSession::list_children() {
    if (list_pending_) {
        relist_pending_ = true;
        return;
    }
    list_pending_ = true;
    send_request(kGetChildren2, path_, {RequestType::children, ""});
}

void CoordinationSession::read_child(const std::string& name) {
    Child& child = children_[name];
    if (child.read_pending) {
        child.reread_needed = true;
        return;
    }
    child.read_pending = true;
    child.reread_needed = false;
    send_request(kGetData, path_ + "/" + name, {RequestType::data, name});
}

void CoordinationSession::on_watch_event(double now, std::string_view payload) {
    JuteReader reader(payload);
    const std::int32_t event_type = reader.number();
    (void)reader.number();
    const std::string path = reader.text();
    if (!reader.is_valid()) return disconnect(now, "malformed watch event");
    if (path == path_) {
        if (event_type == kChildrenChanged || event_type == kNodeRemoved) list_children();
        return;
    }
    if (!path.starts_with(path_ + "/")) return;
    const std::string name = path.substr(path_.size() + 1);
    const auto found = children_.find(name);
    if (found == children_.end()) return;
    if (event_type == kDataChanged) return read_child(name);
    if (event_type != kNodeRemoved) return;
    // The registration is removed at once: the next listing may take long, and may contain a new child of the
    // same name.
    found->second.registration.reset();
    if (found->second.read_pending) found->second.reread_needed = true;
    publish_view(now, last_order_);
    list_children();
}

void CoordinationSession::on_children(double now, std::int64_t order, std::string_view payload,
                                      std::int32_t error) {
    list_pending_ = false;
    if (error != 0 && error != kNoNodeError) return disconnect(now, "listing the path was refused");
    std::vector<std::string> names;
    if (error == 0) {
        JuteReader reader(payload);
        names = reader.texts();
        if (!reader.is_valid() || names.size() > kMaxChildren)
            return disconnect(now, "malformed listing, or too many children");
    }
    const std::set<std::string> listed_names(names.begin(), names.end());
    std::erase_if(children_, [&](const auto& item) { return !listed_names.contains(item.first); });
    // A new connection has no watches, so each child is read again; otherwise only unknown children are read.
    for (const std::string& name : listed_names) {
        if (!listed_ || !children_[name].registration) {
            if (!listed_) children_[name].read_pending = false;
            read_child(name);
        }
    }
    const bool is_first_listing = !listed_;
    listed_ = true;
    // The first listing of a connection is published when all its children have been read; until then the
    // view is incomplete.
    if (!is_first_listing || listed_names.empty()) publish_view(now, order);
    if (std::exchange(relist_pending_, false)) list_children();
}

void CoordinationSession::on_data(double now, std::int64_t order, const std::string& name,
                                  std::string_view payload, std::int32_t error) {
    const auto found = children_.find(name);
    if (found == children_.end()) return;
    Child& child = found->second;
    child.read_pending = false;
    if (child.reread_needed) return read_child(name);
    if (error != 0) {
        // The child was removed between the listing and the read.
        children_.erase(found);
        list_children();
    } else {
        JuteReader reader(payload);
        const std::string data = reader.text();
        const std::int64_t creation_id = reader.long_number();
        if (!reader.is_valid()) return disconnect(now, "malformed data of a child");
        std::string reason;
        child.registration = decode_(name, data, reason);
        if (child.registration) {
            child.registration->name = name;
            child.registration->creation_id = creation_id;
        } else {
            callbacks_.on_invalid_child(name, reason);
            child.registration.reset();
        }
    }
    const bool all_read = std::none_of(children_.begin(), children_.end(),
                                       [](const auto& item) { return item.second.read_pending; });
    if (all_read) publish_view(now, order);
}

void CoordinationSession::publish_view(double now, std::int64_t order) {
    std::vector<Registration> registrations;
    for (const auto& [name, child] : children_) {
        if (child.registration) registrations.push_back(*child.registration);
    }
    (void)registrations_.apply_view(now, std::max(order, last_order_), registrations);
}

void CoordinationSession::tick(double now) {
    if (state_ == State::down) return;
    // These sums must equal those of next_at(): differences could round to just before it, and tick() would
    // be due again at once.
    if (now >= last_received_at_ + kSilenceRatio * timeout_)
        return disconnect(now, "the service does not respond");
    if (state_ == State::established && now >= last_sent_at_ + kPingRatio * timeout_) {
        JuteWriter writer;
        writer.number(kPingXid).number(kPing);
        last_sent_at_ = now;
        callbacks_.send(writer.frame());
    }
}

double CoordinationSession::next_at() const {
    if (state_ == State::down) return std::numeric_limits<double>::infinity();
    const double silent = last_received_at_ + kSilenceRatio * timeout_;
    return state_ == State::established ? std::min(silent, last_sent_at_ + kPingRatio * timeout_) : silent;
}

}  // namespace brookrelay
