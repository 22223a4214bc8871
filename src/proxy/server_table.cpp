#include "proxy/server_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace brookrelay {
namespace {

constexpr double kEarliestStart = 1e-6;  // s, monotonic; not 0, which would mean that the start is unknown
constexpr double kListDelay = 0.5;       // s from a change at discovery until its list is applied here
// Restore marks less than this many seconds apart are the same one, whose file time was adjusted after a step
// of the wall clock.
constexpr double kRestoreTolerance = 0.5;

// The index in `to` of the name that `from` has at `index`.
int translate_index(const std::vector<std::string>& from, const std::vector<std::string>& to, int index) {
    const auto position = static_cast<std::size_t>(index);
    return index < 0 || position >= from.size() ? index : index_of(to, from[position]);
}

}  // namespace

ServerTable::ServerTable(const Deployment& deployment, double wall_offset)
    : deployment_(deployment), initial_wall_offset_(wall_offset) {}

int ServerTable::find(const std::string& name) const {
    const auto found = numbers_.find(name);
    return found == numbers_.end() ? kUnknown : found->second;
}

int ServerTable::find_or_add(const std::string& name) {
    const int known = find(name);
    if (known != kUnknown) return known;
    if (free_numbers_.empty()) {
        free_numbers_.push_back(static_cast<int>(servers_.size()));
        servers_.emplace_back();
    }
    const int number = free_numbers_.back();
    free_numbers_.pop_back();
    numbers_.emplace(name, number);
    at(number).name = name;
    return number;
}

void ServerTable::update(int number, const EndpointRecord& record, const AdminState::ServerState& admin_state,
                         const ClockReading& clock) {
    Server& server = at(number);
    const bool was_listed = !server.address.empty();
    server.state = record.state;
    if (record.started_at > 0 && record.started_at != server.started_at) {
        server.running_since = estimate_start(record.started_at, was_listed, clock);
        server.started_at = record.started_at;
    }
    if (!record.address.empty()) server.address = record.address;
    if (record.zone >= 0) server.zone = record.zone;
    if (record.kind >= 0) server.kind = record.kind;
    if (record.cell >= 0) server.cell = record.cell;
    if (record.weight > 0) server.weight = record.weight;
    (void)set_admin_state(number, admin_state, clock);
}

// Converts a start time of the endpoint list to the monotonic clock. The listed time is a wall-clock time,
// and the wall clock of this machine may have been stepped before this process started or later, so it is
// converted with the current and with the initial offset. A start that is new in a later list happened after
// the previous list: a result outside of that interval is wrong, and an observed restart then counts from
// now. For a server that is listed for the first time it is unknown whether it has just started, so the later
// of the two results is used.
double ServerTable::estimate_start(double listed_start, bool is_restart, const ClockReading& clock) const {
    const double by_current_offset = listed_start - clock.wall_offset;
    const double by_initial_offset = listed_start - initial_wall_offset_;
    const double latest =
        std::max(std::min(std::max(by_current_offset, by_initial_offset), clock.now), kEarliestStart);
    if (last_list_at_ == 0) return latest;
    for (const double start : {by_current_offset, by_initial_offset}) {
        if (start >= last_list_at_ - kListDelay && start <= clock.now) return start;
    }
    return is_restart ? clock.now : latest;
}

int ServerTable::claim_address(int number) {
    const Server& server = at(number);
    if (server.address.empty() || server.state == EndpointState::removed) return kUnknown;
    int& owner = numbers_by_address_.try_emplace(server.address, number).first->second;
    const Server& other = at(owner);
    const bool is_other_listed =
        owner != number && other.address == server.address && other.state != EndpointState::removed;
    if (!is_other_listed) {
        owner = number;
        return kUnknown;
    }
    if (server.started_at == other.started_at) return kUnknown;  // the address may be shared
    return server.started_at > other.started_at ? std::exchange(owner, number) : number;
}

void ServerTable::on_list_applied(double now) { last_list_at_ = now; }

bool ServerTable::set_admin_state(int number, const AdminState::ServerState& state,
                                  const ClockReading& clock) {
    Server& server = at(number);
    const bool is_changed = state.drained != server.admin_state.drained ||
                            std::abs(state.restored_at - server.admin_state.restored_at) >= kRestoreTolerance;
    server.admin_state = state;
    if (is_changed)
        server.restored_since = state.restored_at == 0 ? 0
                                                       : std::clamp(state.restored_at - clock.wall_offset,
                                                                    kEarliestStart, clock.now);
    return is_changed;
}

bool ServerTable::is_origin(const Server& server) const {
    return server.kind >= 0 && server.kind == deployment_.origin_kind;
}

bool ServerTable::accepts_attempts(int number) const {
    const Server& server = at(number);
    return server.state == EndpointState::ready && (!server.admin_state.drained || is_origin(server));
}

// A server that an operator restored counts as started at the restore: it received no attempts while it was
// drained, and it may have been restarted, so it needs a slow start.
double ServerTable::started_at(const Server& server) {
    return std::max(server.running_since, server.restored_since);
}

bool ServerTable::is_cold(int number, double now) const {
    const Server& server = at(number);
    const double started = started_at(server);
    return started > 0 && !is_origin(server) && now < started + deployment_.slow_start_duration;
}

Endpoint ServerTable::endpoint(int number) const {
    const Server& server = at(number);
    Endpoint endpoint;
    endpoint.server = number;
    endpoint.name = server.name;
    endpoint.zone = server.zone;
    endpoint.kind = server.kind;
    endpoint.cell = server.cell;
    endpoint.weight = server.weight;
    // An operator's drain overrides the listed state.
    endpoint.state = server.admin_state.drained && server.state == EndpointState::ready && !is_origin(server)
                         ? EndpointState::draining
                         : server.state;
    endpoint.started_at = started_at(server);
    return endpoint;
}

std::string ServerTable::translate_placements(const Names& from, const Names& to,
                                              std::vector<Placement>& placements) const {
    placements.assign(servers_.size(), {});
    for (const auto& [name, number] : numbers_) {
        const Server& server = at(number);
        const Placement placement{translate_index(from.zones, to.zones, server.zone),
                                  translate_index(from.kinds, to.kinds, server.kind)};
        placements[static_cast<std::size_t>(number)] = placement;
        if (server.state == EndpointState::removed) continue;
        if (server.zone >= 0 && placement.zone < 0)
            return "server " + name + " is in a zone that 'localities' does not name";
        if (server.kind >= 0 && placement.kind < 0)
            return "server " + name + " has a kind that 'kinds' does not name";
    }
    return {};
}

void ServerTable::update_removal_time(int number, double now) {
    Server& server = at(number);
    if (server.state != EndpointState::removed) {
        server.removed_at = 0;
        removed_.erase(number);
    } else if (removed_.insert(number).second) {
        server.removed_at = now;
    }
}

// A request that was received before the server was removed may have an attempt in flight there, or may be
// bound to the server of its first attempt. So a number is freed only when no such request is left.
bool ServerTable::evict_removed(double oldest_request, const std::function<bool(int)>& in_use,
                                const std::function<void(int)>& on_evict) {
    for (auto position = removed_.begin(); position != removed_.end();) {
        const int number = *position;
        if (at(number).removed_at >= oldest_request || in_use(number)) {
            ++position;
            continue;
        }
        on_evict(number);
        numbers_.erase(at(number).name);
        const auto owner = numbers_by_address_.find(at(number).address);
        if (owner != numbers_by_address_.end() && owner->second == number) numbers_by_address_.erase(owner);
        at(number) = {};
        free_numbers_.push_back(number);
        position = removed_.erase(position);
    }
    return !removed_.empty();
}

}  // namespace brookrelay
