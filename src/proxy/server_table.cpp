#include "proxy/server_table.h"

#include <algorithm>

namespace brookrelay {
namespace {

constexpr double kEarliestStart = 1e-6;  // s, monotonic; 0 would mean that the start is unknown

int translate_index(const std::vector<std::string>& from, const std::vector<std::string>& to, int index) {
    const auto position = static_cast<std::size_t>(index);
    return index < 0 || position >= from.size() ? index : index_of(to, from[position]);
}

}  // namespace

ServerTable::ServerTable(const Deployment& deployment, double wall_clock_offset)
    : deployment_(deployment), wall_clock_offset_(wall_clock_offset) {}

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
                         const ClockReading& /*clock*/) {
    Server& server = at(number);
    server.state = record.state;
    server.started_at = record.started_at;
    if (!record.address.empty()) server.address = record.address;
    if (record.zone >= 0) server.zone = record.zone;
    if (record.kind >= 0) server.kind = record.kind;
    if (record.cell >= 0) server.cell = record.cell;
    if (record.weight > 0) server.weight = record.weight;
    server.admin_state = admin_state;
}

void ServerTable::on_list_applied(double /*now*/) {}

bool ServerTable::is_origin(const Server& server) const {
    return server.kind >= 0 && server.kind == deployment_.origin_kind;
}

bool ServerTable::accepts_attempts(int number) const {
    const Server& server = at(number);
    return server.state == EndpointState::ready && (!server.admin_state.drained || is_origin(server));
}

// A server that an operator restored counts as started then: it was not used meanwhile, and is cold whenever
// it may have been restarted.
double ServerTable::started_at(const Server& server) const {
    return std::max(server.started_at, server.admin_state.restored_at);
}

bool ServerTable::is_cold(int number, double now) const {
    const Server& server = at(number);
    const double started = started_at(server);
    return started > 0 && !is_origin(server) &&
           now < started - wall_clock_offset_ + deployment_.slow_start_duration;
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
    const double started = started_at(server);
    if (started > 0) endpoint.started_at = std::max(started - wall_clock_offset_, kEarliestStart);
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
            return "server " + name + " stands in a zone that 'localities' does not name";
        if (server.kind >= 0 && placement.kind < 0)
            return "server " + name + " is of a kind that 'kinds' does not name";
    }
    return {};
}

// A request from a removed server's time may have an attempt in flight there, or be held to where its first
// attempt went: so a number is free only once no such request is left.
bool ServerTable::evict_removed(double oldest_request, const std::function<bool(int)>& in_use,
                                const std::function<void(int)>& on_evict) {
    bool some_left = false;
    for (auto position = numbers_.begin(); position != numbers_.end();) {
        const int number = position->second;
        const double removed_at = at(number).removed_at;
        if (removed_at == 0 || removed_at >= oldest_request || in_use(number)) {
            some_left = some_left || removed_at > 0;
            ++position;
            continue;
        }
        on_evict(number);
        at(number) = {};
        free_numbers_.push_back(number);
        position = numbers_.erase(position);
    }
    return some_left;
}

}  // namespace brookrelay
