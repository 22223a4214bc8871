#include "gossip_agent/gossip_agent.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace brookrelay {
namespace {

constexpr double kLimitsEvery = 0.25;  // s
constexpr double kOpenAgain = 1.0;     // s: another process of this node may hold the address until it ends

gossip::GossipSettings terms(const NodeConfig& s, const OperatorConfig& o) {
    const Deployment& d = s.deployment;
    gossip::GossipSettings t{d.node_index,
                             d.node_count,
                             d.zone,
                             d.zone_count,
                             o.gossip_bytes_per_second,
                             s.gossip_price,
                             o.gossip_max_price_ratio,
                             o.apply_zone_failover,
                             d.slow_start_duration,
                             {}};
    // Zones by the names in the operators' file; one that is in none of its regions is one by itself.
    for (int z = 0; z < d.zone_count; ++z) t.failure_domains.push_back(-1 - z);
    for (std::size_t r = 0; r < o.failure_domains.size(); ++r) {
        for (const std::string& name : o.failure_domains[r]) {
            const int zone = index_of(s.names.zones, name);
            if (zone >= 0 && zone < d.zone_count)
                t.failure_domains[static_cast<std::size_t>(zone)] = static_cast<int>(r);
        }
    }
    return t;
}

std::uint32_t life() { return static_cast<std::uint32_t>(g_get_real_time() / G_USEC_PER_SEC); }

const char* word(gossip::MemberState p) {
    return p == gossip::MemberState::alive ? "fresh" : p == gossip::MemberState::suspect ? "late" : "gone";
}

const char* word(gossip::ZoneState s) {
    switch (s) {
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

std::string GossipAgent::why_unavailable(const NodeConfig& s) {
    if (!s.deployment.may_gossip) return "the settings do not allow it (permissions.peers)";
    if (s.peer_listen.empty()) return "the configuration has no peer_listen";
    if (static_cast<int>(s.peers.size()) != s.deployment.node_count)
        return "the configuration has " + std::to_string(s.peers.size()) + " peers for " +
               std::to_string(s.deployment.node_count) + " nodes";
    if (s.deployment.node_index < 0 || s.deployment.node_index >= s.deployment.node_count)
        return "my_number is none of the nodes'";
    return {};
}

GossipAgent::GossipAgent(TimerQueue& timers, Log& log, const NodeConfig& s, const OperatorConfig& o,
                         std::function<void()> due, OnOutlierVerdict found, OnZoneChange zone_told,
                         OnTenantShare tenant_told)
    : timers_(timers),
      log_(log),
      own_(s.peer_listen),
      addresses_(s.peers),
      zones_(s.names.zones),
      verdicts_(o.apply_outlier_verdicts),
      zones_as_one_(o.apply_zone_failover),
      due_(std::move(due)),
      found_(std::move(found)),
      zone_told_(std::move(zone_told)),
      tenant_told_(std::move(tenant_told)),
      budgets_(s.deployment.node_index, s.deployment.node_count),
      exchange_(terms(s, o), life(), s.seed, monotonic_now()),
      peers_(
          [this](int from, std::string_view bytes) { exchange_.on_datagram(monotonic_now(), from, bytes); }) {
    apply_configuration(s, o.fleet_quotas);
}

void GossipAgent::apply_configuration(const NodeConfig& station, const FleetQuotaLimits& limits) {
    gossip::FleetQuotas::Tenants tenants;
    for (std::size_t t = 0; t < station.deployment.tenants.size(); ++t) {
        const bool named = t < station.names.tenants.size();
        tenants.emplace_back(named ? station.names.tenants[t] : std::to_string(t),
                             station.deployment.tenants[t].quota);
    }
    const gossip::FleetTotals wholes{limits.share_tenant_quotas, limits.origin_attempts_per_second,
                                     limits.slow_start_attempts_per_second, limits.connections_per_server};
    for (const std::string& against : budgets_.apply_configuration(wholes, tenants))
        log_.line(Topic::node, "limits_off", against);
    // What was told of others' tenants, or of a limit that is none any more, counts no longer.
    for (int t = 0; t < std::max(tenants_, static_cast<int>(tenants.size())); ++t)
        tenant_told_(monotonic_now(), t, 0);
    tenants_ = static_cast<int>(tenants.size());
}

// As of the moment it is used: what a node had before it stood still has lapsed by its own clock.
double GossipAgent::part(gossip::QuotaId limit, double now) const {
    return static_cast<double>(exchange_.quota_share(limit, now)) / gossip::kTotalUnits;
}

void GossipAgent::on_tenant_request(double now, int tenant) { budgets_.on_tenant_request(now, tenant); }

bool GossipAgent::admit_origin_attempt(double now) {
    return budgets_.admit_origin_attempt(now, part(gossip::FleetQuotas::origin_id(), now));
}

bool GossipAgent::admit_slow_start(double now, const std::string& server) {
    return budgets_.may_start_slow_start_attempt(now, gossip::server_key(server),
                                                 part(gossip::FleetQuotas::slow_start_id(), now));
}

void GossipAgent::on_slow_start_attempt(double now, const std::string& server) {
    budgets_.on_slow_start_attempt(now, gossip::server_key(server),
                                   part(gossip::FleetQuotas::slow_start_id(), now));
}

// What lapses before the next step is not counted on: a connection cannot be closed between two steps.
int GossipAgent::max_connections(double now, const std::string& server, int wanted) {
    const gossip::QuotaId id = gossip::FleetQuotas::connections_id();
    return budgets_.max_connections(
        now, gossip::server_key(server), wanted,
        std::min(part(id, now), part(id, now + gossip::OutlierExchange::kTickInterval)));
}

void GossipAgent::tell_limits(double now) {
    if (now - limits_told_ < kLimitsEvery) return;
    limits_told_ = now;
    for (const gossip::FleetQuotas::Quota& l : budgets_.quotas(now)) {
        exchange_.set_quota_demand(now, l.id, l.demand * gossip::kTotalUnits);
        if (l.tenant >= 0) tenant_told_(now, l.tenant, part(l.id, now));
    }
}

void GossipAgent::start() {
    open();
    timers_.schedule(monotonic_now(), due_);
}

void GossipAgent::open() {
    std::string complaint;
    if (peers_.listen(own_, addresses_, complaint)) {
        log_.line(Topic::node, "peers_open",
                  "hears " + std::to_string(addresses_.size() - 1) + " other nodes at " + own_);
    } else {
        log_.line(Topic::node, "peers_shut",
                  "cannot hear other nodes at " + own_ + ", tries again: " + complaint);
        try_again_ = monotonic_now() + kOpenAgain;
    }
}

// NOLINTNEXTLINE(readability-function-cognitive-complexity): see ROADMAP
void GossipAgent::tick(double now) {
    timers_.schedule(now + gossip::OutlierExchange::kTickInterval, due_);
    // Another process of this node holds the address, and with it the node's parts of limits, until it ends.
    if (!peers_.listens()) exchange_.reset_quota_leases(now);
    if (!peers_.listens() && now >= try_again_) open();
    while (!by_overdue_.empty() && by_overdue_.begin()->first <= now) {
        const auto [when, forward] = *by_overdue_.begin();
        by_overdue_.erase(by_overdue_.begin());
        const auto out = out_.find(forward);
        if (out == out_.end() || out->second.overdue != when) continue;  // it has ended in time
        exchange_.on_attempt_finished(now, out->second.subject, gossip::AttemptHealth::bad);
        exchange_.on_zone_attempt_finished(now, out->second.zone, out->second.subject,
                                           gossip::ZoneAttempt::silent);
        out_.erase(out);
    }
    for (const gossip::Outgoing& o :
         exchange_.tick(now, static_cast<double>(g_get_real_time()) / G_USEC_PER_SEC))
        peers_.send(o.to, o.bytes);
    for (const gossip::OutlierExchange::ServerVerdict& v : exchange_.verdicts(now)) {
        const auto name = names_.find(v.server);
        if (name == names_.end()) continue;
        const bool before = standing_.contains(v.server);
        if (v.bad && !before)
            log_.line(Topic::node, "fleet_bad", "the nodes of this zone find " + name->second + " bad");
        if (!v.bad && before)
            log_.line(Topic::node, "fleet_well", "the nodes no longer find " + name->second + " bad");
        if (v.bad) {
            standing_[v.server] = true;
        } else {
            standing_.erase(v.server);
        }
        if (verdicts_) found_(now, name->second, v.bad, v.probe_interval);
    }
    for (const gossip::ZoneFailover::Change& o : exchange_.zone_orders()) {
        const auto z = static_cast<std::size_t>(o.zone);
        const std::string name = z < zones_.size() ? zones_[z] : std::to_string(o.zone);
        const auto before = zone_orders_.find(o.zone);
        if (before == zone_orders_.end() || before->second.weight != o.weight) {
            char text[160];
            std::snprintf(text, sizeof text, "%s: %.3g of its keys may go there%s", name.c_str(), o.weight,
                          o.weight > 0 ? "" : ", it is left");
            log_.line(Topic::node,
                      o.weight <= 0  ? "zone_left"
                      : o.weight < 1 ? "zone_returning"
                                     : "zone_in_use",
                      text);
        }
        zone_orders_[o.zone] = o;
        if (verdicts_) zone_told_(now, o);
    }
    tell_limits(now);
    const std::uint64_t stalls = exchange_.process_pauses();
    if (stalls != stalls_)
        log_.line(Topic::node, "fleet_stalled",
                  "this process stood still: what it saw meanwhile is told to nobody");
    stalls_ = stalls;
}

std::string GossipAgent::why_zones_unavailable() const {
    return !zones_as_one_ ? "fleet.zones is off in the operators' file"
           : !verdicts_   ? "fleet.verdicts is off in the operators' file"
                          : "";
}

void GossipAgent::repeat_zone_changes(double now) {
    for (const auto& [zone, order] : zone_orders_) {
        if (verdicts_) zone_told_(now, order);
    }
}

void GossipAgent::on_attempt_started(double now, std::uint64_t forward, const std::string& server, int zone,
                                     double latency_objective) {
    const double overdue = now + gossip::overdue_after(latency_objective);
    if (out_.insert_or_assign(forward, Out{overdue, gossip::server_key(server), zone}).second)
        by_overdue_.emplace(overdue, forward);
}

void GossipAgent::on_attempt_finished(double now, std::uint64_t forward, const std::string& server, int zone,
                                      AttemptOutcome ending, double took, double latency_objective) {
    const bool overdue = out_.erase(forward) == 0;  // and called bad, and silent, then
    const gossip::ServerKey subject = gossip::server_key(server);
    const auto zone_seen = gossip::classify_zone_attempt(ending, took, latency_objective);
    if (zone_seen && !(overdue && *zone_seen == gossip::ZoneAttempt::silent))
        exchange_.on_zone_attempt_finished(now, zone, subject, *zone_seen);
    const auto seen = gossip::classify_attempt(ending, took, latency_objective);
    if (seen && !overdue) exchange_.on_attempt_finished(now, subject, *seen);
}

void GossipAgent::on_endpoints(const std::vector<std::string>& servers, int in_own_zone) {
    names_.clear();
    for (const std::string& s : servers) names_.emplace(gossip::server_key(s), s);
    exchange_.set_local_server_count(in_own_zone);
}

// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size): see ROADMAP
std::string GossipAgent::state_json(double now) {
    const gossip::GossipState s = exchange_.state(now);
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> json(buffer);
    json.SetMaxDecimalPlaces(5);
    const auto number = [&json](const char* key, double value) { json.Key(key), json.Double(value); };
    const auto count = [&json](const char* key, std::uint64_t value) { json.Key(key), json.Uint64(value); };
    const auto zone_names = [&](std::uint32_t bits) {
        json.Key("zones");
        json.StartArray();
        for (std::size_t z = 0; z < gossip::kMaxZones; ++z) {
            if ((bits >> z & 1U) != 0)
                json.String((z < zones_.size() ? zones_[z] : std::to_string(z)).c_str());
        }
        json.EndArray();
    };
    json.StartObject();
    json.Key("hears"), json.Bool(peers_.listens());
    json.Key("verdicts_count"), json.Bool(verdicts_);
    json.Key("doubts_itself"), json.Bool(s.doubts_own_connectivity);
    number("bytes_a_second", s.bytes_per_second);
    json.Key("peers");
    json.StartArray();
    for (std::size_t n = 0; n < s.members.size(); ++n) {
        json.StartObject();
        json.Key("node"), json.Int(s.members[n].first);
        json.Key("state"), json.String(word(s.members[n].second));
        if (s.ages[n] < 1e8) number("age_s", s.ages[n]);
        count("start", s.incarnations[n]);
        json.EndObject();
    }
    json.EndArray();
    json.Key("words");
    json.StartObject();
    count("kept", s.observations_held);
    number("oldest_s", s.oldest_observation);
    json.EndObject();
    json.Key("verdicts");
    json.StartArray();
    for (const gossip::VerdictView& h : s.verdicts) {
        const auto name = names_.find(h.server);
        json.StartObject();
        json.Key("server"), json.String(name == names_.end() ? "" : name->second.c_str());
        json.Key("counts_here"), json.Bool(h.corroborated);
        if (h.corroborated) number("since_s", h.since);
        json.Key("said_by");
        json.StartArray();
        for (const gossip::VerdictSource& v : h.sources) {
            json.StartObject();
            json.Key("keeper"), json.Int(v.owner);
            zone_names(v.bad_zones);
            json.Key("voices"), json.Int(v.reporters);
            number("age_s", v.age);
            json.EndObject();
        }
        json.EndArray();
        json.EndObject();
    }
    json.EndArray();
    json.Key("zones");
    json.StartArray();
    const std::vector<gossip::ZoneFailover::View> views = exchange_.zone_views(now);
    for (std::size_t z = 0; z < views.size(); ++z) {
        const gossip::ZoneFailover::View& v = views[z];
        json.StartObject();
        json.Key("zone"), json.String((z < zones_.size() ? zones_[z] : std::to_string(z)).c_str());
        json.Key("state"), json.String(word(v.state));
        json.Key("by_hand"), json.Bool(v.set_by_operator);
        number("part", v.weight);
        number("since_s", v.since);
        json.Key("lost"), json.Int(v.unreachable);
        json.Key("answers"), json.Int(v.reachable);
        json.Key("strained"), json.Int(v.strained);
        json.Key("heard"), json.Int(v.reporters);
        json.Key("needed"), json.Int(v.quorum);
        json.Key("falls"), json.Int(v.relapses);
        json.Key("said_lost");
        json.StartArray();
        for (const int n : v.unreachable_reporters) json.Int(n);
        json.EndArray();
        json.EndObject();
    }
    json.EndArray();
    json.Key("limits");
    json.StartArray();
    for (const gossip::FleetQuotas::Quota& l : budgets_.quotas(now)) {
        const gossip::QuotaLeases::View v = exchange_.quota_view(l.id, now);
        json.StartObject();
        json.Key("limit"), json.String(l.name.c_str());
        number("whole", l.total);
        json.Key("unit"), json.String(l.unit.c_str());
        json.Key("kind"), json.String(l.strict ? "strict" : "open");
        number("part", v.own + v.borrowed);
        number("own", v.own);
        number("lent", v.lent);
        number("borrowed", v.borrowed);
        number("need", v.demand);
        json.Key("lenders"), json.Int(v.lenders);
        json.Key("takers"), json.Int(v.borrowers);
        if (l.strict) count("declined", l.declined);
        json.EndObject();
    }
    json.EndArray();
    json.Key("datagrams");
    json.StartObject();
    count("sent", s.counts.sent);
    count("sent_bytes", s.counts.sent_bytes);
    count("received", s.counts.received);
    count("unsound", s.counts.malformed);
    count("strangers", s.counts.unknown_senders);
    count("dead_lives", s.counts.stale_incarnations);
    count("late", s.counts.delayed);
    json.EndObject();
    count("stalls", s.counts.process_pauses);
    count("steps_muted", s.counts.self_muted);
    json.EndObject();
    return buffer.GetString();
}

}  // namespace brookrelay
