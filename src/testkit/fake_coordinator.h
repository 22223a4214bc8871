// A coordination service as its published protocol has it, without sockets or clocks: a tree of nodes,
// sessions with time-outs, ephemeral and sequential nodes, and watches that fire once. It takes payloads of
// frames from connections and says what goes back on which. It owns the tree and the sessions; whoever
// carries the bytes owns the connections, and brings about what goes wrong with them.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace brookrelay::testkit {

// The protocol's numbers.
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

class Coordinator {
  public:
    struct Out {
        std::function<void(std::uint64_t connection, const std::string& frame)> send;
        std::function<void(std::uint64_t connection)> hang_up;
    };
    explicit Coordinator(Out out);

    void received(double now, std::uint64_t connection, std::string_view payload);
    void ended(std::uint64_t connection);  // its session goes on until its time-out
    void tick(double now);                 // ends the sessions whose time is over
    double next_at() const;                // of the next such end; infinity: none

    // Without a client: for tests, and for registrations of a rehearsal's servers.
    std::int64_t open_session(double now, double timeout);
    void touch(double now, std::int64_t session);
    void expire(std::int64_t session);
    CoordinatorError create(double now, std::int64_t session, const std::string& path,
                            const std::string& data, bool ephemeral, bool sequential,
                            std::string* made = nullptr);
    CoordinatorError remove(const std::string& path, std::int32_t version = -1);
    CoordinatorError set(double now, const std::string& path, const std::string& data,
                         std::int32_t version = -1);
    std::vector<std::string> children(const std::string& path) const;
    bool exists(const std::string& path) const { return nodes_.contains(path); }
    std::size_t sessions() const { return sessions_.size(); }
    std::size_t watches() const;
    std::int64_t order() const { return order_; }  // the last transaction's id

  private:
    struct Node {
        std::string data;
        std::int64_t created = 0, modified = 0, children_modified = 0;
        double created_at = 0, modified_at = 0;
        std::int32_t version = 0, children_version = 0;
        std::int64_t owner = 0;  // of an ephemeral one
        std::set<std::string> children;
        std::uint32_t next_number = 0;  // for sequential children
    };
    struct Session {
        double timeout = 0, until = 0;
        std::string password;
        std::uint64_t connection = 0;  // 0: none now
        std::set<std::string> owns;
    };
    using Watches = std::map<std::string, std::set<std::uint64_t>>;  // path: connections

    void connect(double now, std::uint64_t connection, std::string_view payload);
    void call(double now, std::uint64_t connection, std::int64_t session, std::string_view payload);
    void fire(Watches& watches, const std::string& path, CoordinatorEvent event);
    void forget_watches(std::uint64_t connection);
    static std::string parent_of(const std::string& path);
    static bool is_path(const std::string& path);
    std::string stat_of(const Node& node) const;

    Out out_;
    std::map<std::string, Node> nodes_;
    std::map<std::int64_t, Session> sessions_;
    std::map<std::uint64_t, std::int64_t> session_of_;  // of a connection
    Watches data_watches_, exist_watches_, child_watches_;
    std::int64_t order_ = 0;
    std::int64_t last_session_ = 0x1000;
};

}  // namespace brookrelay::testkit
