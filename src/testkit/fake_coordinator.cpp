#include "testkit/fake_coordinator.h"

#include <algorithm>
#include <cstdio>
#include <limits>
#include <utility>

#include "coordination/jute.h"

namespace brookrelay::testkit {
namespace {

constexpr double kMinSessionTimeout = 0.1, kMaxSessionTimeout = 40;  // bounds of a session timeout, s
constexpr std::int32_t kWatchXid = -1, kPingXid = -2, kAuthXid = -4;
constexpr std::int32_t kConnected = 3;     // the session state in each watch event
constexpr std::size_t kMaxNodes = 100000;  // nodes in the tree; create fails beyond it

std::int64_t to_ms(double seconds) { return static_cast<std::int64_t>(seconds * 1e3); }

}  // namespace

FakeCoordinator::FakeCoordinator(Out out) : out_(std::move(out)) { nodes_["/"]; }

std::string FakeCoordinator::parent_of(const std::string& path) {
    const std::size_t slash = path.rfind('/');
    return slash == 0 ? "/" : path.substr(0, slash);
}

bool FakeCoordinator::is_path(const std::string& path) {
    if (path.empty() || path.front() != '/') return false;
    return path.size() == 1 || (path.back() != '/' && path.find("//") == std::string::npos &&
                                path.find('\0') == std::string::npos);
}

std::string FakeCoordinator::stat_of(const Node& n) const {
    JuteWriter out;
    out.long_number(n.created)
        .long_number(n.modified)
        .long_number(to_ms(n.created_at))
        .long_number(to_ms(n.modified_at));
    out.number(n.version).number(n.children_version).number(0).long_number(n.owner);
    out.number(static_cast<std::int32_t>(n.data.size())).number(static_cast<std::int32_t>(n.children.size()));
    out.long_number(n.children_modified);
    return out.payload();
}

// ---- sessions -------------------------------------------------------------------------------------------

std::int64_t FakeCoordinator::open_session(double now, double timeout) {
    const std::int64_t id = ++last_session_;
    Session& s = sessions_[id];
    s.timeout = std::clamp(timeout, kMinSessionTimeout, kMaxSessionTimeout);
    s.expires_at = now + s.timeout;
    char password[17];
    std::snprintf(password, sizeof password, "%016llx",
                  static_cast<unsigned long long>(id) * 0x9e3779b97f4a7c15ULL);
    s.password = password;
    ++last_transaction_;
    return id;
}

void FakeCoordinator::touch(double now, std::int64_t session) {
    const auto found = sessions_.find(session);
    if (found != sessions_.end()) found->second.expires_at = now + found->second.timeout;
}

void FakeCoordinator::expire(std::int64_t session) {
    const auto found = sessions_.find(session);
    if (found == sessions_.end()) return;
    const Session closed_session = std::move(found->second);
    sessions_.erase(found);
    ++last_transaction_;
    for (const std::string& path : closed_session.ephemeral_nodes) (void)remove(path);
    if (closed_session.connection == 0) return;
    session_of_.erase(closed_session.connection);
    remove_watches(closed_session.connection);
    out_.hang_up(closed_session.connection);
}

void FakeCoordinator::tick(double now) {
    std::vector<std::int64_t> expired;
    for (const auto& [id, s] : sessions_) {
        if (now >= s.expires_at) expired.push_back(id);
    }
    for (const std::int64_t id : expired) expire(id);
}

double FakeCoordinator::next_at() const {
    double next = std::numeric_limits<double>::infinity();
    for (const auto& [id, s] : sessions_) next = std::min(next, s.expires_at);
    return next;
}

void FakeCoordinator::ended(std::uint64_t connection) {
    remove_watches(connection);
    const auto found = session_of_.find(connection);
    if (found == session_of_.end()) return;
    sessions_[found->second].connection = 0;
    session_of_.erase(found);
}

// ---- the tree -------------------------------------------------------------------------------------------

CoordinatorError FakeCoordinator::create(double now, std::int64_t session, const std::string& requested,
                                         const std::string& data, bool ephemeral, bool sequential,
                                         std::string* created_path) {
    // The path of a sequential node may end in a slash; its name is then the number alone.
    if (!is_path(sequential ? requested + "0" : requested) || requested == "/")
        return CoordinatorError::bad_arguments;
    const std::string parent_path = parent_of(requested);
    const auto parent = nodes_.find(parent_path);
    if (parent == nodes_.end()) return CoordinatorError::no_node;
    if (parent->second.owner != 0) return CoordinatorError::no_children_for_ephemerals;
    if (ephemeral && !sessions_.contains(session)) return CoordinatorError::session_expired;
    if (nodes_.size() >= kMaxNodes) return CoordinatorError::bad_arguments;
    std::string path = requested;
    if (sequential) {
        char number[16];
        std::snprintf(number, sizeof number, "%010u", parent->second.next_number++);
        path += number;
    }
    if (nodes_.contains(path)) return CoordinatorError::node_exists;
    ++last_transaction_;
    Node& n = nodes_[path];
    n.data = data;
    n.created = n.modified = n.children_modified = last_transaction_;
    n.created_at = n.modified_at = now;
    n.owner = ephemeral ? session : 0;
    parent->second.children.insert(path.substr(path.rfind('/') + 1));
    parent->second.children_modified = last_transaction_;
    ++parent->second.children_version;
    if (ephemeral) sessions_[session].ephemeral_nodes.insert(path);
    if (created_path != nullptr) *created_path = path;
    fire_watches(exist_watches_, path, CoordinatorEvent::created);
    fire_watches(child_watches_, parent_path, CoordinatorEvent::children);
    return CoordinatorError::none;
}

CoordinatorError FakeCoordinator::remove(const std::string& path, std::int32_t version) {
    const auto found = nodes_.find(path);
    if (found == nodes_.end() || path == "/") return CoordinatorError::no_node;
    if (version >= 0 && version != found->second.version) return CoordinatorError::bad_version;
    if (!found->second.children.empty()) return CoordinatorError::not_empty;
    ++last_transaction_;
    const auto owner = sessions_.find(found->second.owner);
    if (owner != sessions_.end()) owner->second.ephemeral_nodes.erase(path);
    nodes_.erase(found);
    const std::string parent_path = parent_of(path);
    Node& parent = nodes_[parent_path];
    parent.children.erase(path.substr(path.rfind('/') + 1));
    parent.children_modified = last_transaction_;
    ++parent.children_version;
    fire_watches(data_watches_, path, CoordinatorEvent::removed);
    fire_watches(exist_watches_, path, CoordinatorEvent::removed);
    fire_watches(child_watches_, path, CoordinatorEvent::removed);
    fire_watches(child_watches_, parent_path, CoordinatorEvent::children);
    return CoordinatorError::none;
}

CoordinatorError FakeCoordinator::set(double now, const std::string& path, const std::string& data,
                                      std::int32_t version) {
    const auto found = nodes_.find(path);
    if (found == nodes_.end()) return CoordinatorError::no_node;
    if (version >= 0 && version != found->second.version) return CoordinatorError::bad_version;
    Node& n = found->second;
    n.data = data;
    n.modified = ++last_transaction_;
    n.modified_at = now;
    ++n.version;
    fire_watches(data_watches_, path, CoordinatorEvent::changed);
    fire_watches(exist_watches_, path, CoordinatorEvent::changed);
    return CoordinatorError::none;
}

std::vector<std::string> FakeCoordinator::children(const std::string& path) const {
    const auto found = nodes_.find(path);
    if (found == nodes_.end()) return {};
    return {found->second.children.begin(), found->second.children.end()};
}

// ---- watches --------------------------------------------------------------------------------------------

// Sends the event to each watcher and removes the watches. The protocol requires that a watch fires once, and
// before any response that shows the change.
void FakeCoordinator::fire_watches(Watches& watches, const std::string& path, CoordinatorEvent event) {
    const auto found = watches.find(path);
    if (found == watches.end()) return;
    const std::set<std::uint64_t> watchers = std::move(found->second);
    watches.erase(found);
    JuteWriter out;
    out.number(kWatchXid).long_number(-1).number(0);
    out.number(static_cast<std::int32_t>(event)).number(kConnected).text(path);
    for (const std::uint64_t connection : watchers) out_.send(connection, out.frame());
}

void FakeCoordinator::remove_watches(std::uint64_t connection) {
    for (Watches* watches : {&data_watches_, &exist_watches_, &child_watches_}) {
        for (auto at = watches->begin(); at != watches->end();) {
            at->second.erase(connection);
            at = at->second.empty() ? watches->erase(at) : std::next(at);
        }
    }
}

std::size_t FakeCoordinator::watches() const {
    std::size_t all = 0;
    for (const Watches* watches : {&data_watches_, &exist_watches_, &child_watches_}) {
        for (const auto& [path, watchers] : *watches) all += watchers.size();
    }
    return all;
}

// ---- protocol -------------------------------------------------------------------------------------------

void FakeCoordinator::received(double now, std::uint64_t connection, std::string_view payload) {
    tick(now);
    const auto found = session_of_.find(connection);
    if (found == session_of_.end()) return handle_connect(now, connection, payload);
    touch(now, found->second);
    handle_call(now, connection, found->second, payload);
}

void FakeCoordinator::handle_connect(double now, std::uint64_t connection, std::string_view payload) {
    JuteReader in(payload);
    const std::int32_t protocol = in.number();
    const std::int64_t last_seen = in.long_number();
    const std::int32_t timeout = in.number();
    const std::int64_t requested = in.long_number();
    const std::string password = in.text();
    // A client that has seen a later transaction than this server is refused: it would read older data here.
    if (!in.is_valid() || protocol != 0 || timeout < 0 || last_seen > last_transaction_)
        return out_.hang_up(connection);
    std::int64_t session = requested;
    const auto existing = sessions_.find(requested);
    const bool is_resumed = existing != sessions_.end() && existing->second.password == password;
    if (requested == 0) session = open_session(now, timeout / 1e3);
    JuteWriter out;
    if (requested != 0 && !is_resumed) {
        // The session has expired: the response has a timeout and a session id of 0, and the connection is
        // closed.
        out.number(0).number(0).long_number(0).text(std::string(16, '\0')).flag(false);
        out_.send(connection, out.frame());
        return out_.hang_up(connection);
    }
    Session& s = sessions_[session];
    if (s.connection != 0 && s.connection != connection) {
        // The session has moved to this connection; the old one is closed.
        const std::uint64_t old = s.connection;
        ended(old);
        out_.hang_up(old);
    }
    s.connection = connection;
    s.expires_at = now + s.timeout;
    session_of_[connection] = session;
    out.number(0)
        .number(static_cast<std::int32_t>(s.timeout * 1e3))
        .long_number(session)
        .text(s.password)
        .flag(false);
    out_.send(connection, out.frame());
}

// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size): see ROADMAP
void FakeCoordinator::handle_call(double now, std::uint64_t connection, std::int64_t session,
                                  std::string_view payload) {
    JuteReader in(payload);
    const std::int32_t xid = in.number();
    const auto type = static_cast<CoordinatorCall>(in.number());
    JuteWriter body;
    CoordinatorError error = CoordinatorError::none;
    std::string stat;
    switch (type) {
        case CoordinatorCall::ping:
        case CoordinatorCall::auth:
            break;
        case CoordinatorCall::sync:
            body.text(in.text());
            break;
        case CoordinatorCall::create: {
            const std::string path = in.text(), data = in.text();
            const std::int32_t acl_entries = in.number();
            for (std::int32_t i = 0; i < acl_entries && in.is_valid(); ++i)
                (void)in.number(), (void)in.text(), (void)in.text();
            const std::int32_t flags = in.number();
            std::string created_path;
            if (in.is_valid())
                error = create(now, session, path, data, (flags & 1) != 0, (flags & 2) != 0, &created_path);
            body.text(created_path);
            break;
        }
        case CoordinatorCall::remove: {
            const std::string path = in.text();
            const std::int32_t version = in.number();
            if (in.is_valid()) error = remove(path, version);
            break;
        }
        case CoordinatorCall::set_data: {
            const std::string path = in.text(), data = in.text();
            const std::int32_t version = in.number();
            if (in.is_valid()) error = set(now, path, data, version);
            if (nodes_.contains(path)) stat = stat_of(nodes_[path]);
            break;
        }
        case CoordinatorCall::exists:
        case CoordinatorCall::get_data:
        case CoordinatorCall::get_children:
        case CoordinatorCall::get_children2: {
            const std::string path = in.text();
            const bool watch = in.flag();
            if (!in.is_valid()) break;
            const auto found = nodes_.find(path);
            const bool is_children_call =
                type == CoordinatorCall::get_children || type == CoordinatorCall::get_children2;
            if (found == nodes_.end()) {
                error = CoordinatorError::no_node;
                if (watch && type == CoordinatorCall::exists) exist_watches_[path].insert(connection);
                break;
            }
            if (watch) (is_children_call ? child_watches_ : data_watches_)[path].insert(connection);
            if (type == CoordinatorCall::get_data) body.text(found->second.data);
            if (is_children_call) body.texts({found->second.children.begin(), found->second.children.end()});
            if (type != CoordinatorCall::get_children) stat = stat_of(found->second);
            break;
        }
        case CoordinatorCall::set_watches: {
            const std::int64_t last_seen = in.long_number();
            const std::vector<std::string> data = in.texts(), exist = in.texts(), child = in.texts();
            if (!in.is_valid()) break;
            // Changes after the last transaction that the client has seen are sent at once; for unchanged
            // paths the watch is set again.
            const auto send_event = [&](const std::string& path, CoordinatorEvent event) {
                JuteWriter event_frame;
                event_frame.number(kWatchXid).long_number(-1).number(0);
                event_frame.number(static_cast<std::int32_t>(event)).number(kConnected).text(path);
                out_.send(connection, event_frame.frame());
            };
            for (const std::string& path : data) {
                const auto found = nodes_.find(path);
                if (found == nodes_.end()) {
                    send_event(path, CoordinatorEvent::removed);
                } else if (found->second.modified > last_seen) {
                    send_event(path, CoordinatorEvent::changed);
                } else {
                    data_watches_[path].insert(connection);
                }
            }
            for (const std::string& path : exist) {
                if (nodes_.contains(path)) {
                    send_event(path, CoordinatorEvent::created);
                } else {
                    exist_watches_[path].insert(connection);
                }
            }
            for (const std::string& path : child) {
                const auto found = nodes_.find(path);
                if (found == nodes_.end()) {
                    send_event(path, CoordinatorEvent::removed);
                } else if (found->second.children_modified > last_seen) {
                    send_event(path, CoordinatorEvent::children);
                } else {
                    child_watches_[path].insert(connection);
                }
            }
            break;
        }
        case CoordinatorCall::close:
            break;
        default:
            error = CoordinatorError::unimplemented;
    }
    if (!in.is_valid()) return out_.hang_up(connection);  // later bytes cannot be parsed either
    JuteWriter header;
    header.number(type == CoordinatorCall::ping ? kPingXid : type == CoordinatorCall::auth ? kAuthXid : xid);
    header.long_number(last_transaction_).number(static_cast<std::int32_t>(error));
    std::string response = header.payload();
    if (error == CoordinatorError::none) response += body.payload() + stat;
    JuteWriter length;
    length.number(static_cast<std::int32_t>(response.size()));
    out_.send(connection, length.payload() + response);
    if (type == CoordinatorCall::close) expire(session);
}

}  // namespace brookrelay::testkit
