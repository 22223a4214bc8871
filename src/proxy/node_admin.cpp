// The part of Node that serves operators: the admin interface, and the administrative state of servers and
// zones.
#include <cstdio>
#include <utility>
#include <variant>

#include "proxy/admin_api.h"
#include "proxy/node.h"

namespace brookrelay {
namespace {

constexpr double kAdminStateInterval = 0.025;  // s between reloads of the state that sibling processes change
// Distinguishes zones from server names in the administrative state.
constexpr const char* kZoneKeyPrefix = "\x01zone:";
constexpr const char* kGossipDisabled = "this node does not talk with others: [fleet] in the operators' file";

}  // namespace

void Node::handle_admin_request(std::uint64_t caller, const HttpRequest& http_request) {
    const AdminAction action = parse_admin_request(http_request);
    if (const auto* error = std::get_if<AdminError>(&action))
        return admin_server_.respond(caller, error->status, error->text);
    if (const auto* change = std::get_if<ServerStateChange>(&action))
        return change_server_state(caller, change->server, change->drain);
    if (const auto* change = std::get_if<ZoneStateChange>(&action))
        return change_zone_state(caller, change->zone, change->drain);
    if (std::holds_alternative<FleetStateQuery>(action)) {
        return gossip_ == nullptr ? admin_server_.respond(caller, 404, kGossipDisabled)
                                  : admin_server_.respond(caller, 200, gossip_->state_json(monotonic_now()));
    }
    if (std::holds_alternative<MetricsQuery>(action))
        return admin_server_.respond(caller, 200, metrics_page());
    if (std::holds_alternative<TraceQuery>(action))
        return admin_server_.respond(caller, 200, trace_.text(monotonic_now()));
    if (accepts_clients_) return admin_server_.respond(caller, 200, "ready");
    admin_server_.respond(
        caller, 503,
        shutdown_.has_begun() ? "ends, and takes no new clients" : "starts, and waits for its endpoint list");
}

std::string Node::metrics_page() const {
    return metrics_.page(
        {{"brookrelay_open_requests", requests_.open_count()},
         {"brookrelay_client_connections", clients_.open_count()},
         {"brookrelay_server_connections", pool_.open_count()},
         {"brookrelay_known_servers", static_cast<double>(servers_.size())},
         {"brookrelay_budget_share", budget_share_},
         {"brookrelay_client_buffer_bytes", static_cast<double>(clients_.used_bytes())},
         {"brookrelay_server_buffer_bytes", static_cast<double>(pool_.used_bytes())},
         {"brookrelay_client_buffer_limit_bytes", static_cast<double>(memory_plan_.client_bytes)},
         {"brookrelay_server_buffer_limit_bytes", static_cast<double>(memory_plan_.server_bytes)},
         {"brookrelay_client_refused_in_reserve", static_cast<double>(clients_.refused_in_reserve())},
         {"brookrelay_client_turns_waited", static_cast<double>(clients_.turns_waited())},
         {"brookrelay_accepts_clients", accepts_clients_ ? 1.0 : 0.0}},
        clients_, violations_, iteration_monitor_);
}

// The response is queued as an action, so it is sent after the balancer has been notified of the change and
// has acted on it.
void Node::change_server_state(std::uint64_t caller, const std::string& name, bool drain) {
    event_queue_.emplace_back([this, caller, name, drain](double now) {
        const auto reply = [this, caller](int status, const char* text) {
            action_queue_.emplace_back(
                [this, caller, status, text] { admin_server_.respond(caller, status, text); });
        };
        const int server = servers_.find(name);
        if (server == ServerTable::kUnknown && !admin_state_.was_ever_listed(name))
            return reply(404, "no such cache server was ever listed");
        // Without the origin, no write and no miss can be served, and no other server can replace it.
        if (server != ServerTable::kUnknown && servers_.is_origin(servers_.at(server)))
            return reply(409, "the origin cannot be taken out");
        if (!(drain ? admin_state_.drain(name) : admin_state_.restore(name, wall_clock_.read().wall_now())))
            return reply(503, "could not be written down, nothing has changed");
        apply_admin_state(now, {name});
        reply(200, drain ? "out" : "may serve");
    });
}

// Drains or restores a zone for this node only, by the states of zone failover.
void Node::change_zone_state(std::uint64_t caller, const std::string& name, bool drain) {
    event_queue_.emplace_back([this, caller, name, drain](double now) {
        const auto reply = [this, caller](int status, const std::string& text) {
            action_queue_.emplace_back(
                [this, caller, status, text] { admin_server_.respond(caller, status, text); });
        };
        const std::string key = kZoneKeyPrefix + name;
        if (gossip_ == nullptr) return reply(404, kGossipDisabled);
        if (index_of(config_.names.zones, name) < 0) return reply(404, "no such zone");
        const std::string refusal = gossip_->why_zones_unavailable();
        if (!refusal.empty()) return reply(409, refusal);
        if (drain && config_.names.zones.size() < 2) return reply(409, "the only zone cannot be left");
        if (!(drain ? admin_state_.drain(key) : admin_state_.restore(key, wall_clock_.read().wall_now())))
            return reply(503, "could not be written down, nothing has changed");
        apply_admin_state(now, {key});
        reply(200, drain ? "left" : "is taken back in steps");
    });
}

void Node::apply_admin_state(double now, const std::vector<std::string>& names) {
    std::vector<Endpoint> entries;
    for (const std::string& name : names) {
        if (name.starts_with(kZoneKeyPrefix) && gossip_ != nullptr)
            gossip_->set_zone_admin_state(
                now, index_of(config_.names.zones, name.substr(std::string_view(kZoneKeyPrefix).size())),
                admin_state_.state_of(name).drained);
        const int server = servers_.find(name);
        if (server == ServerTable::kUnknown) continue;
        if (!servers_.set_admin_state(server, admin_state_.state_of(name), wall_clock_.read())) continue;
        const Server& s = servers_.at(server);
        log_.line(
            Topic::node, s.admin_state.drained ? "taken_out" : "called_back",
            name + (s.admin_state.drained ? " is drained by an operator" : " is restored by an operator"));
        entries.push_back(servers_.endpoint(server));
        if (!servers_.accepts_attempts(server)) pool_.refuse_unsent_attempts(server);
    }
    if (!entries.empty()) balancer_->on_endpoints(now, UpdateKind::delta, entries);
}

void Node::reload_admin_state() {
    if (const double step = wall_clock_.take_step(); step != 0) {
        char text[80];
        std::snprintf(text, sizeof text, "the wall clock was stepped by %.3f s", step);
        log_.line(Topic::node, "clock_stepped", text);
        metrics_.on_clock_step();
        admin_state_.on_clock_step(step);
    }
    std::vector<std::string> changed = admin_state_.reload(wall_clock_.read().wall_now());
    if (!changed.empty()) {
        event_queue_.emplace_back(
            [this, names = std::move(changed)](double now) { apply_admin_state(now, names); });
    }
    update_budget_share();
    timers_.schedule(monotonic_now() + kAdminStateInterval, [this] { reload_admin_state(); });
}

}  // namespace brookrelay
