/// The servers that this node knows, by the small numbers that identify them to the balancer and the upstream
/// pool. The table owns the numbering, the last known state of each server and the eviction of removed
/// servers. All changes are made by its owner.
#pragma once

#include <deque>
#include <functional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "admin/admin_state.h"
#include "balancer/balancer.h"
#include "config/node_config.h"
#include "io/wall_clock.h"

namespace brookrelay {

/// A server with its state from the endpoint list and from the operators. Times are monotonic, in seconds;
/// wall-clock times are converted when they are first seen, so later steps of the wall clock do not change
/// them.
struct Server : EndpointRecord {
    double removed_at = 0;      // 0 while the server is listed
    double running_since = 0;   // when the server started; 0 if that was long ago or is unknown
    double restored_since = 0;  // when an operator restored the server; 0 if that was long ago or never
    AdminState::ServerState admin_state;
};

/// The table of all known servers.
class ServerTable {
  public:
    static constexpr int kUnknown = -1;

    /// The zone and kind of a server as indexes into the configured names; -1 if the list does not have them.
    struct Placement {
        int zone = -1;
        int kind = -1;
    };

    /// `deployment` must outlive the table. `wall_offset` is the wall clock minus the monotonic clock at the
    /// start of the process, in seconds.
    ServerTable(const Deployment& deployment, double wall_offset);

    /// The number of the server, or kUnknown.
    int find(const std::string& name) const;
    bool contains(const std::string& name) const { return numbers_.contains(name); }
    /// The number of the server; adds a server without an address if the name is unknown.
    int find_or_add(const std::string& name);
    Server& at(int number) { return servers_[static_cast<std::size_t>(number)]; }
    const Server& at(int number) const { return servers_[static_cast<std::size_t>(number)]; }
    const std::unordered_map<std::string, int>& numbers() const { return numbers_; }
    std::size_t size() const { return numbers_.size(); }

    /// Updates a server from `record`; fields that the record does not have keep their value.
    void update(int number, const EndpointRecord& record, const AdminState::ServerState& admin_state,
                const ClockReading& clock);
    /// Notes that a listed server is at its address. If two servers that are listed there have started at
    /// different times, the process of the earlier one has gone: returns that one, or kUnknown if there is
    /// none.
    int claim_address(int number);
    /// Notes that a list from discovery has been applied at `now`; starts that are new in a later list
    /// happened after it.
    void on_list_applied(double now);
    /// Sets the state that an operator has decided. Returns whether it differs from the previous one.
    bool set_admin_state(int number, const AdminState::ServerState& state, const ClockReading& clock);
    bool is_origin(const Server& server) const;
    /// Whether the server is ready and not drained by an operator, which never applies to the origin.
    bool accepts_attempts(int number) const;
    /// Whether the server is in its slow start, which counts from its listed start or its restore; false if
    /// neither is known. The origin is never cold.
    bool is_cold(int number, double now) const;
    /// The server in the form that the balancer takes. Its name is a view into the table, valid until
    /// eviction.
    Endpoint endpoint(int number) const;

    /// Translates the zones and kinds of all servers from the indexes of `from` to those of `to`;
    /// `placements` is indexed by server number. Returns an error text if `to` lacks a name that a listed
    /// server needs, or else an empty string.
    std::string translate_placements(const Names& from, const Names& to,
                                     std::vector<Placement>& placements) const;

    /// Updates the removal time after a change of the server's state: sets it for a newly removed server and
    /// clears it for a listed one.
    void update_removal_time(int number, double now);
    /// Evicts the servers that were removed before `oldest_request` and are not in use, and calls `on_evict`
    /// for each. Their numbers may be reused. Returns whether any removed server is left.
    bool evict_removed(double oldest_request, const std::function<bool(int)>& in_use,
                       const std::function<void(int)>& on_evict);

  private:
    double estimate_start(double listed_start, bool is_restart, const ClockReading& clock) const;
    static double started_at(const Server& server);

    const Deployment& deployment_;
    const double initial_wall_offset_;
    double last_list_at_ = 0;  // monotonic, s; 0 until a list from discovery has been applied
    std::unordered_map<std::string, int> numbers_;
    std::unordered_map<std::string, int> numbers_by_address_;  // of the process at each address
    // A deque does not move its elements: the balancer holds views of the names while servers are added.
    std::deque<Server> servers_;
    std::vector<int> free_numbers_;
    std::unordered_set<int> removed_;  // the numbers of removed servers
};

}  // namespace brookrelay
