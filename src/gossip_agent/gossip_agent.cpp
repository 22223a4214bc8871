#include "gossip_agent/gossip_agent.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace brookrelay {
namespace {

constexpr double kQuotaInterval = 0.25;  // s
// Seconds; another process of this node may hold the address until it ends.
constexpr double kReopenInterval = 1.0;

gossip::GossipSettings gossip_settings(const NodeConfig& config, const OperatorConfig& operator_config) {
    const Deployment& deployment = config.deployment;
    gossip::GossipSettings settings{deployment.node_index,
                                    deployment.node_count,
                                    deployment.zone,
                                    deployment.zone_count,
                                    operator_config.gossip_bytes_per_second,
                                    config.gossip_price,
                                    operator_config.gossip_max_price_ratio,
                                    operator_config.apply_zone_failover,
                                    deployment.slow_start_duration,
                                    {}};
    // Failure domains list zones by name; a zone in none of them is a domain of its own.
    for (int z = 0; z < deployment.zone_count; ++z) settings.failure_domains.push_back(-1 - z);
    for (std::size_t domain = 0; domain < operator_config.failure_domains.size(); ++domain) {
        for (const std::string& name : operator_config.failure_domains[domain]) {
            const int zone = index_of(config.names.zones, name);
            if (zone >= 0 && zone < deployment.zone_count)
                settings.failure_domains[static_cast<std::size_t>(zone)] = static_cast<int>(domain);
        }
    }
    return settings;
}

std::uint32_t current_incarnation() { return static_cast<std::uint32_t>(g_get_real_time() / G_USEC_PER_SEC); }

const char* state_name(gossip::MemberState state) {
    return state == gossip::MemberState::alive     ? "fresh"
           : state == gossip::MemberState::suspect ? "late"
                                                   : "gone";
}

const char* state_name(gossip::ZoneState state) {
    switch (state) {
        case gossip::ZoneState::healthy:
            return "well";
        case gossip::ZoneState::suspect:
            return "doubted";
        case gossip::ZoneState::drained:
            return "left";
        case gossip::ZoneState::probing:
            return "on trial";
        case gossip::ZoneState::recovering:
            return "returning";
    }
    return "";
}

}  // namespace

std::string GossipAgent::why_unavailable(const NodeConfig& config) {
    if (!config.deployment.may_gossip) return "the settings do not permit gossip (permissions.peers)";
    if (config.peer_listen.empty()) return "the configuration has no peer_listen";
    if (static_cast<int>(config.peers.size()) != config.deployment.node_count)
        return "the configuration has " + std::to_string(config.peers.size()) + " peers for " +
               std::to_string(config.deployment.node_count) + " nodes";
    if (config.deployment.node_index < 0 || config.deployment.node_index >= config.deployment.node_count)
        return "my_number is out of range: it must be from 0 to the number of nodes - 1";
    return {};
}

GossipAgent::GossipAgent(TimerQueue& timers, Log& log, const NodeConfig& config,
                         const OperatorConfig& operator_config, std::function<void()> on_tick_due,
                         OnOutlierVerdict on_outlier_verdict, OnZoneChange on_zone_change,
                         OnTenantShare on_tenant_share)
    : timers_(timers),
      log_(log),
      listen_address_(config.peer_listen),
      peer_addresses_(config.peers),
      zone_names_(config.names.zones),
      apply_verdicts_(operator_config.apply_outlier_verdicts),
      apply_zone_failover_(operator_config.apply_zone_failover),
      on_tick_due_(std::move(on_tick_due)),
      on_outlier_verdict_(std::move(on_outlier_verdict)),
      on_zone_change_(std::move(on_zone_change)),
      on_tenant_share_(std::move(on_tenant_share)),
      quotas_(config.deployment.node_index, config.deployment.node_count),
      exchange_(gossip_settings(config, operator_config), current_incarnation(), config.seed,
                monotonic_now()),
      socket_(
          [this](int from, std::string_view bytes) { exchange_.on_datagram(monotonic_now(), from, bytes); }) {
    apply_configuration(config, operator_config.fleet_quotas);
}

void GossipAgent::apply_configuration(const NodeConfig& config, const FleetQuotaLimits& limits) {
    gossip::FleetQuotas::Tenants tenants;
    for (std::size_t tenant = 0; tenant < config.deployment.tenants.size(); ++tenant) {
        const bool named = tenant < config.names.tenants.size();
        tenants.emplace_back(named ? config.names.tenants[tenant] : std::to_string(tenant),
                             config.deployment.tenants[tenant].quota);
    }
    const gossip::FleetTotals totals{limits.share_tenant_quotas, limits.origin_attempts_per_second,
                                     limits.slow_start_attempts_per_second, limits.connections_per_server};
    for (const std::string& rejection : quotas_.apply_configuration(totals, tenants))
        log_.line(Topic::node, "limits_off", rejection);
    // Shares of earlier tenants, or of a limit that no longer exists, are void.
    for (int tenant = 0; tenant < std::max(tenant_count_, static_cast<int>(tenants.size())); ++tenant)
        on_tenant_share_(monotonic_now(), tenant, 0);
    tenant_count_ = static_cast<int>(tenants.size());
}

// Evaluated at the time of use: after a pause, leases have expired by this node's own clock.
double GossipAgent::quota_share(gossip::QuotaId quota, double now) const {
    return static_cast<double>(exchange_.quota_share(quota, now)) / gossip::kTotalUnits;
}

void GossipAgent::on_tenant_request(double now, int tenant) { quotas_.on_tenant_request(now, tenant); }

bool GossipAgent::admit_origin_attempt(double now) {
    return quotas_.admit_origin_attempt(now, quota_share(gossip::FleetQuotas::origin_id(), now));
}

bool GossipAgent::admit_slow_start(double now, const std::string& server) {
    return quotas_.may_start_slow_start_attempt(now, gossip::server_key(server),
                                                quota_share(gossip::FleetQuotas::slow_start_id(), now));
}

void GossipAgent::on_slow_start_attempt(double now, const std::string& server) {
    quotas_.on_slow_start_attempt(now, gossip::server_key(server),
                                  quota_share(gossip::FleetQuotas::slow_start_id(), now));
}

// Leaves out leases that expire before the next tick: a connection cannot be closed between two ticks.
int GossipAgent::max_connections(double now, const std::string& server, int wanted) {
    const gossip::QuotaId id = gossip::FleetQuotas::connections_id();
    return quotas_.max_connections(
        now, gossip::server_key(server), wanted,
        std::min(quota_share(id, now), quota_share(id, now + gossip::OutlierExchange::kTickInterval)));
}

void GossipAgent::update_quotas(double now) {
    if (now - last_quota_update_ < kQuotaInterval) return;
    last_quota_update_ = now;
    for (const gossip::FleetQuotas::Quota& quota : quotas_.quotas(now)) {
        exchange_.set_quota_demand(now, quota.id, quota.demand * gossip::kTotalUnits);
        if (quota.tenant >= 0) on_tenant_share_(now, quota.tenant, quota_share(quota.id, now));
    }
}

void GossipAgent::start() {
    open_socket();
    timers_.schedule(monotonic_now(), on_tick_due_);
}

void GossipAgent::open_socket() {
    std::string error;
    if (socket_.listen(listen_address_, peer_addresses_, error)) {
        log_.line(Topic::node, "peers_open",
                  "listening for " + std::to_string(peer_addresses_.size() - 1) + " other nodes at " +
                      listen_address_);
    } else {
        log_.line(Topic::node, "peers_shut",
                  "cannot listen for other nodes at " + listen_address_ + ", will retry: " + error);
        reopen_at_ = monotonic_now() + kReopenInterval;
    }
}

// NOLINTNEXTLINE(readability-function-cognitive-complexity): see ROADMAP
void GossipAgent::tick(double now) {
    timers_.schedule(now + gossip::OutlierExchange::kTickInterval, on_tick_due_);
    // Another process of this node holds the address, and with it the node's own units of quotas, until it
    // ends.
    if (!socket_.listens()) exchange_.reset_quota_leases(now);
    if (!socket_.listens() && now >= reopen_at_) open_socket();
    while (!pending_by_deadline_.empty() && pending_by_deadline_.begin()->first <= now) {
        const auto [deadline, attempt] = *pending_by_deadline_.begin();
        pending_by_deadline_.erase(pending_by_deadline_.begin());
        const auto pending = pending_attempts_.find(attempt);
        if (pending == pending_attempts_.end() || pending->second.deadline != deadline)
            continue;  // it finished in time
        exchange_.on_attempt_finished(now, pending->second.server_key, gossip::AttemptHealth::bad);
        exchange_.on_zone_attempt_finished(now, pending->second.zone, pending->second.server_key,
                                           gossip::ZoneAttempt::silent);
        pending_attempts_.erase(pending);
    }
    for (const gossip::Outgoing& datagram :
         exchange_.tick(now, static_cast<double>(g_get_real_time()) / G_USEC_PER_SEC))
        socket_.send(datagram.to, datagram.bytes);
    for (const gossip::OutlierExchange::ServerVerdict& verdict : exchange_.verdicts(now)) {
        const auto name = server_names_.find(verdict.server);
        if (name == server_names_.end()) continue;
        const bool was_bad = bad_servers_.contains(verdict.server);
        if (verdict.bad && !was_bad)
            log_.line(Topic::node, "fleet_bad", "this zone's nodes agree that " + name->second + " is bad");
        if (!verdict.bad && was_bad)
            log_.line(Topic::node, "fleet_well",
                      "this zone's nodes no longer agree that " + name->second + " is bad");
        if (verdict.bad) {
            bad_servers_[verdict.server] = true;
        } else {
            bad_servers_.erase(verdict.server);
        }
        if (apply_verdicts_) on_outlier_verdict_(now, name->second, verdict.bad, verdict.probe_interval);
    }
    for (const gossip::ZoneFailover::Change& change : exchange_.take_zone_changes()) {
        const auto index = static_cast<std::size_t>(change.zone);
        const std::string name =
            index < zone_names_.size() ? zone_names_[index] : std::to_string(change.zone);
        const auto previous = last_zone_changes_.find(change.zone);
        if (previous == last_zone_changes_.end() || previous->second.weight != change.weight) {
            char text[160];
            std::snprintf(text, sizeof text, "zone %s: weight %.3g%s", name.c_str(), change.weight,
                          change.weight > 0 ? "" : ", drained");
            log_.line(Topic::node,
                      change.weight <= 0  ? "zone_left"
                      : change.weight < 1 ? "zone_returning"
                                          : "zone_in_use",
                      text);
        }
        last_zone_changes_[change.zone] = change;
        if (apply_verdicts_) on_zone_change_(now, change);
    }
    update_quotas(now);
    const std::uint64_t process_pauses = exchange_.process_pauses();
    if (process_pauses != process_pauses_)
        log_.line(Topic::node, "fleet_stalled",
                  "this process was paused: its observations from that time are discarded");
    process_pauses_ = process_pauses;
}

std::string GossipAgent::why_zones_unavailable() const {
    return !apply_zone_failover_ ? "fleet.zones is off in the operators' file"
           : !apply_verdicts_    ? "fleet.verdicts is off in the operators' file"
                                 : "";
}

void GossipAgent::repeat_zone_changes(double now) {
    for (const auto& [zone, change] : last_zone_changes_) {
        if (apply_verdicts_) on_zone_change_(now, change);
    }
}

void GossipAgent::on_attempt_started(double now, std::uint64_t attempt, const std::string& server, int zone,
                                     double latency_objective) {
    const double deadline = now + gossip::overdue_after(latency_objective);
    if (pending_attempts_
            .insert_or_assign(attempt, PendingAttempt{deadline, gossip::server_key(server), zone})
            .second)
        pending_by_deadline_.emplace(deadline, attempt);
}

void GossipAgent::on_attempt_finished(double now, std::uint64_t attempt, const std::string& server, int zone,
                                      AttemptOutcome outcome, double duration, double latency_objective) {
    const bool is_overdue =
        pending_attempts_.erase(attempt) == 0;  // then it was already reported as bad and silent
    const gossip::ServerKey key = gossip::server_key(server);
    const auto zone_attempt = gossip::classify_zone_attempt(outcome, duration, latency_objective);
    if (zone_attempt && !(is_overdue && *zone_attempt == gossip::ZoneAttempt::silent))
        exchange_.on_zone_attempt_finished(now, zone, key, *zone_attempt);
    const auto health = gossip::classify_attempt(outcome, duration, latency_objective);
    if (health && !is_overdue) exchange_.on_attempt_finished(now, key, *health);
}

void GossipAgent::on_endpoints(const std::vector<std::string>& servers, int servers_in_own_zone) {
    server_names_.clear();
    for (const std::string& s : servers) server_names_.emplace(gossip::server_key(s), s);
    exchange_.set_local_server_count(servers_in_own_zone);
}

// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size): see ROADMAP
std::string GossipAgent::state_json(double now) {
    const gossip::GossipState state = exchange_.state(now);
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> json(buffer);
    json.SetMaxDecimalPlaces(5);
    const auto number = [&json](const char* key, double value) { json.Key(key), json.Double(value); };
    const auto count = [&json](const char* key, std::uint64_t value) { json.Key(key), json.Uint64(value); };
    const auto zone_names = [&](std::uint32_t bits) {
        json.Key("zones");
        json.StartArray();
        for (std::size_t zone = 0; zone < gossip::kMaxZones; ++zone) {
            if ((bits >> zone & 1U) != 0)
                json.String((zone < zone_names_.size() ? zone_names_[zone] : std::to_string(zone)).c_str());
        }
        json.EndArray();
    };
    json.StartObject();
    json.Key("hears"), json.Bool(socket_.listens());
    json.Key("verdicts_count"), json.Bool(apply_verdicts_);
    json.Key("doubts_itself"), json.Bool(state.doubts_own_connectivity);
    number("bytes_a_second", state.bytes_per_second);
    json.Key("peers");
    json.StartArray();
    for (std::size_t node = 0; node < state.members.size(); ++node) {
        json.StartObject();
        json.Key("node"), json.Int(state.members[node].first);
        json.Key("state"), json.String(state_name(state.members[node].second));
        if (state.ages[node] < 1e8) number("age_s", state.ages[node]);
        count("start", state.incarnations[node]);
        json.EndObject();
    }
    json.EndArray();
    json.Key("words");
    json.StartObject();
    count("kept", state.observations_held);
    number("oldest_s", state.oldest_observation);
    json.EndObject();
    json.Key("verdicts");
    json.StartArray();
    for (const gossip::VerdictView& verdict : state.verdicts) {
        const auto name = server_names_.find(verdict.server);
        json.StartObject();
        json.Key("server"), json.String(name == server_names_.end() ? "" : name->second.c_str());
        json.Key("counts_here"), json.Bool(verdict.corroborated);
        if (verdict.corroborated) number("since_s", verdict.since);
        json.Key("said_by");
        json.StartArray();
        for (const gossip::VerdictSource& source : verdict.sources) {
            json.StartObject();
            json.Key("keeper"), json.Int(source.owner);
            zone_names(source.bad_zones);
            json.Key("voices"), json.Int(source.reporters);
            number("age_s", source.age);
            json.EndObject();
        }
        json.EndArray();
        json.EndObject();
    }
    json.EndArray();
    json.Key("zones");
    json.StartArray();
    const std::vector<gossip::ZoneFailover::View> views = exchange_.zone_views(now);
    for (std::size_t zone = 0; zone < views.size(); ++zone) {
        const gossip::ZoneFailover::View& view = views[zone];
        json.StartObject();
        json.Key("zone"),
            json.String((zone < zone_names_.size() ? zone_names_[zone] : std::to_string(zone)).c_str());
        json.Key("state"), json.String(state_name(view.state));
        json.Key("by_hand"), json.Bool(view.set_by_operator);
        number("part", view.weight);
        number("since_s", view.since);
        json.Key("lost"), json.Int(view.unreachable);
        json.Key("answers"), json.Int(view.reachable);
        json.Key("strained"), json.Int(view.strained);
        json.Key("heard"), json.Int(view.reporters);
        json.Key("needed"), json.Int(view.quorum);
        json.Key("falls"), json.Int(view.relapses);
        json.Key("said_lost");
        json.StartArray();
        for (const int node : view.unreachable_reporters) json.Int(node);
        json.EndArray();
        json.EndObject();
    }
    json.EndArray();
    json.Key("limits");
    json.StartArray();
    for (const gossip::FleetQuotas::Quota& quota : quotas_.quotas(now)) {
        const gossip::QuotaLeases::View view = exchange_.quota_view(quota.id, now);
        json.StartObject();
        json.Key("limit"), json.String(quota.name.c_str());
        number("whole", quota.total);
        json.Key("unit"), json.String(quota.unit.c_str());
        json.Key("kind"), json.String(quota.strict ? "strict" : "open");
        number("part", view.own + view.borrowed);
        number("own", view.own);
        number("lent", view.lent);
        number("borrowed", view.borrowed);
        number("need", view.demand);
        json.Key("lenders"), json.Int(view.lenders);
        json.Key("takers"), json.Int(view.borrowers);
        if (quota.strict) count("declined", quota.declined);
        json.EndObject();
    }
    json.EndArray();
    json.Key("datagrams");
    json.StartObject();
    count("sent", state.counts.sent);
    count("sent_bytes", state.counts.sent_bytes);
    count("received", state.counts.received);
    count("unsound", state.counts.malformed);
    count("strangers", state.counts.unknown_senders);
    count("dead_lives", state.counts.stale_incarnations);
    count("late", state.counts.delayed);
    json.EndObject();
    count("stalls", state.counts.process_pauses);
    count("steps_muted", state.counts.self_muted);
    json.EndObject();
    return buffer.GetString();
}

}  // namespace brookrelay
