// A coordination service that follows the published protocol, without sockets or clocks: a tree of nodes,
// sessions with timeouts, ephemeral and sequential nodes, and one-shot watches. It consumes the payloads of
// frames and calls back with frames to send; FakeCoordinatorServer owns the connections.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace brookrelay::testkit {

// Operation codes, event types and error codes of the protocol.
enum class CoordinatorCall {
    create = 1,
    remove = 2,
    exists = 3,
    get_data = 4,
    set_data = 5,
    get_children = 8,
    sync = 9,
    ping = 11,
    get_children2 = 12,
    auth = 100,
    set_watches = 101,
    close = -11
};
enum class CoordinatorEvent { created = 1, removed = 2, changed = 3, children = 4 };
enum class CoordinatorError {
    none = 0,
    bad_arguments = -8,
    no_node = -101,
    bad_version = -103,
    no_children_for_ephemerals = -108,
    node_exists = -110,
    not_empty = -111,
    session_expired = -112,
    unimplemented = -6
};

class FakeCoordinator {
  public:
    struct Out {
        std::function<void(std::uint64_t connection, const std::string& frame)> send;
        std::function<void(std::uint64_t connection)> hang_up;
    };
    explicit FakeCoordinator(Out out);

    void received(double now, std::uint64_t connection, std::string_view payload);
    void ended(std::uint64_t connection);  // the session lives on until its timeout
    void tick(double now);                 // expires sessions
    double next_at() const;                // time of the next expiry; infinity: none

    // Direct access without a client connection, for tests and for the registrations of a run's servers.
    std::int64_t open_session(double now, double timeout);
    void touch(double now, std::int64_t session);
    void expire(std::int64_t session);
    CoordinatorError create(double now, std::int64_t session, const std::string& path,
                            const std::string& data, bool ephemeral, bool sequential,
                            std::string* created_path = nullptr);
    CoordinatorError remove(const std::string& path, std::int32_t version = -1);
    CoordinatorError set(double now, const std::string& path, const std::string& data,
                         std::int32_t version = -1);
    std::vector<std::string> children(const std::string& path) const;
    bool exists(const std::string& path) const { return nodes_.contains(path); }
    std::size_t sessions() const { return sessions_.size(); }
    std::size_t watches() const;
    std::int64_t order() const { return last_transaction_; }  // id of the last transaction

  private:
    struct Node {
        std::string data;
        std::int64_t created = 0, modified = 0, children_modified = 0;
        double created_at = 0, modified_at = 0;
        std::int32_t version = 0, children_version = 0;
        std::int64_t owner = 0;  // session of an ephemeral node; 0: the node is persistent
        std::set<std::string> children;
        std::uint32_t next_number = 0;  // suffix of the next sequential child
    };
    struct Session {
        double timeout = 0, expires_at = 0;
        std::string password;
        std::uint64_t connection = 0;  // 0: not connected
        std::set<std::string> ephemeral_nodes;
    };
    using Watches = std::map<std::string, std::set<std::uint64_t>>;  // connections by watched path

    void handle_connect(double now, std::uint64_t connection, std::string_view payload);
    void handle_call(double now, std::uint64_t connection, std::int64_t session, std::string_view payload);
    void fire_watches(Watches& watches, const std::string& path, CoordinatorEvent event);
    void remove_watches(std::uint64_t connection);
    static std::string parent_of(const std::string& path);
    static bool is_path(const std::string& path);
    std::string stat_of(const Node& node) const;

    Out out_;
    std::map<std::string, Node> nodes_;
    std::map<std::int64_t, Session> sessions_;
    std::map<std::uint64_t, std::int64_t> session_of_;  // session by connection
    Watches data_watches_, exist_watches_, child_watches_;
    std::int64_t last_transaction_ = 0;
    std::int64_t last_session_ = 0x1000;
};

}  // namespace brookrelay::testkit
