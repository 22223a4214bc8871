/// The servers this node knows, by the small numbers under which the balancer and the upstream pool know
/// them. The table owns the numbering, the last known state of each server and the eviction of those that
/// are gone; it learns of changes only from its owner.
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

/// A server as the endpoint list and the operators describe it.
struct Server : EndpointRecord {
    double removed_at = 0;  // monotonic, s; 0: it is listed
    // When it started, and when an operator restored it: monotonic, s, as found when the list or the mark was
    // first seen, whatever the wall clock does later. 0: long ago, or never.
    double running_since = 0;
    double restored_since = 0;
    AdminState::ServerState admin_state;
};

class ServerTable {
  public:
    static constexpr int kUnknown = -1;

    /// The zone and kind of a server as indexes into the configured names; -1: not told.
    struct Placement {
        int zone = -1;
        int kind = -1;
    };

    /// `deployment` must outlive the table. `wall_offset`: wall clock less monotonic clock as the process
    /// started, s.
    ServerTable(const Deployment& deployment, double wall_offset);

    int find(const std::string& name) const;  // kUnknown: there is none
    bool contains(const std::string& name) const { return numbers_.contains(name); }
    int find_or_add(const std::string& name);
    Server& at(int number) { return servers_[static_cast<std::size_t>(number)]; }
    const Server& at(int number) const { return servers_[static_cast<std::size_t>(number)]; }
    const std::unordered_map<std::string, int>& numbers() const { return numbers_; }
    std::size_t size() const { return numbers_.size(); }

    /// Takes over what `record` tells of a server; fields that it doesn't tell keep their value.
    void update(int number, const EndpointRecord& record, const AdminState::ServerState& admin_state,
                const ClockReading& clock);
    /// A list from discovery was applied as a whole at `now`: what later ones tell anew has happened since.
    void on_list_applied(double now);
    /// Takes over an operator's decision. Returns whether it differs from the one known.
    bool set_admin_state(int number, const AdminState::ServerState& state, const ClockReading& clock);
    bool is_origin(const Server& server) const;
    /// Ready, and not drained by an operator.
    bool accepts_attempts(int number) const;
    /// Within its slow start, counted from the start that the endpoint list tells; false where none is told.
    bool is_cold(int number, double now) const;
    /// The server as the balancer is told of it. The name in it points into the table until eviction.
    Endpoint endpoint(int number) const;

    /// Fills `placements`, indexed by server number, with the places under the names `to` of all servers,
    /// which are placed under the names `from`. Returns why that is impossible for some listed server; empty:
    /// it is possible.
    std::string translate_placements(const Names& from, const Names& to,
                                     std::vector<Placement>& placements) const;

    /// After a change of its state: since when a removed server has been so. A listed one is not removed.
    void note_removal(int number, double now);
    /// Evicts servers that were removed before `oldest_request` and that are not in use, calling `on_evict`
    /// for each. Their numbers may then stand for others. Returns whether any removed server stays.
    bool evict_removed(double oldest_request, const std::function<bool(int)>& in_use,
                       const std::function<void(int)>& on_evict);

  private:
    double estimate_start(double listed_start, bool is_restart, const ClockReading& clock) const;
    static double started_at(const Server& server);

    const Deployment& deployment_;
    const double initial_wall_offset_;
    double last_list_at_ = 0;  // monotonic, s; 0: discovery has told no list yet
    std::unordered_map<std::string, int> numbers_;
    std::deque<Server> servers_;  // a deque: the balancer holds views of the names while servers are added
    std::vector<int> free_numbers_;
    std::unordered_set<int> removed_;  // numbers of the servers with a removed_at
};

}  // namespace brookrelay
