#include "gossip_agent/gossip_agent.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace brookrelay {
namespace {

constexpr double kLimitsEvery = 0.25;  // s
constexpr double kOpenAgain = 1.0;     // s: another process of this node may hold the address until it ends

fleet::Terms terms(const Station& s, const OperatorFile& o) {
    const Deployment& d = s.deployment;
    fleet::Terms t{d.node,
                   d.nodes,
                   d.zone,
                   d.zones,
                   o.fleet_bytes_a_second,
                   s.peer_price,
                   o.fleet_price_part,
                   o.fleet_zones,
                   d.warm_within,
                   {}};
    // Zones by the names in the operators' file; one that is in none of its regions is one by itself.
    for (int z = 0; z < d.zones; ++z) t.regions.push_back(-1 - z);
    for (std::size_t r = 0; r < o.fleet_regions.size(); ++r) {
        for (const std::string& name : o.fleet_regions[r]) {
            const int zone = index_of(s.names.zones, name);
            if (zone >= 0 && zone < d.zones) t.regions[static_cast<std::size_t>(zone)] = static_cast<int>(r);
        }
    }
    return t;
}

std::uint32_t life() { return static_cast<std::uint32_t>(g_get_real_time() / G_USEC_PER_SEC); }

const char* word(fleet::Presence p) {
    return p == fleet::Presence::fresh ? "fresh" : p == fleet::Presence::late ? "late" : "gone";
}

const char* word(fleet::ZoneState s) {
    switch (s) {
        case fleet::ZoneState::well:
            return "well";
        case fleet::ZoneState::doubted:
            return "doubted";
        case fleet::ZoneState::left:
            return "left";
        case fleet::ZoneState::on_trial:
            return "on trial";
        case fleet::ZoneState::returning:
            return "returning";
    }
    return "";
}

}  // namespace

std::string Talk::against(const Station& s) {
    if (!s.deployment.may_tell_peers) return "the settings do not allow it (permissions.peers)";
    if (s.peer_listen.empty()) return "the configuration has no peer_listen";
    if (static_cast<int>(s.peers.size()) != s.deployment.nodes)
        return "the configuration has " + std::to_string(s.peers.size()) + " peers for " +
               std::to_string(s.deployment.nodes) + " nodes";
    if (s.deployment.node < 0 || s.deployment.node >= s.deployment.nodes)
        return "my_number is none of the nodes'";
    return {};
}

Talk::Talk(Timers& timers, Log& log, const Station& s, const OperatorFile& o, std::function<void()> due,
           Found found, ZoneTold zone_told, TenantTold tenant_told)
    : timers_(timers),
      log_(log),
      own_(s.peer_listen),
      addresses_(s.peers),
      zones_(s.names.zones),
      verdicts_(o.fleet_verdicts),
      zones_as_one_(o.fleet_zones),
      due_(std::move(due)),
      found_(std::move(found)),
      zone_told_(std::move(zone_told)),
      tenant_told_(std::move(tenant_told)),
      budgets_(s.deployment.node, s.deployment.nodes),
      exchange_(terms(s, o), life(), s.seed, monotonic()),
      peers_([this](int from, std::string_view bytes) { exchange_.received(monotonic(), from, bytes); }) {
    settle_in(s, o.fleet_limits);
}

void Talk::settle_in(const Station& station, const FleetLimits& limits) {
    fleet::Budgets::Tenants tenants;
    for (std::size_t t = 0; t < station.deployment.tenants.size(); ++t) {
        const bool named = t < station.names.tenants.size();
        tenants.emplace_back(named ? station.names.tenants[t] : std::to_string(t),
                             station.deployment.tenants[t].quota);
    }
    const fleet::Wholes wholes{limits.tenants, limits.origin, limits.cold, limits.connections};
    for (const std::string& against : budgets_.settle_in(wholes, tenants))
        log_.line(Topic::node, "limits_off", against);
    // What was told of others' tenants, or of a limit that is none any more, counts no longer.
    for (int t = 0; t < std::max(tenants_, static_cast<int>(tenants.size())); ++t)
        tenant_told_(monotonic(), t, 0);
    tenants_ = static_cast<int>(tenants.size());
}

// As of the moment it is used: what a node had before it stood still has lapsed by its own clock.
double Talk::part(fleet::LimitId limit, double now) const {
    return static_cast<double>(exchange_.limit_part(limit, now)) / fleet::kWhole;
}

void Talk::tenant_asked(double now, int tenant) { budgets_.tenant_asked(now, tenant); }

bool Talk::origin_may(double now) { return budgets_.origin_may(now, part(fleet::Budgets::origin_id(), now)); }

bool Talk::cold_may(double now, const std::string& server) {
    return budgets_.cold_may(now, fleet::subject_of(server), part(fleet::Budgets::cold_id(), now));
}

void Talk::cold_sent(double now, const std::string& server) {
    budgets_.cold_sent(now, fleet::subject_of(server), part(fleet::Budgets::cold_id(), now));
}

// What lapses before the next step is not counted on: a connection cannot be closed between two steps.
int Talk::connections_most(double now, const std::string& server, int wanted) {
    const fleet::LimitId id = fleet::Budgets::connections_id();
    return budgets_.connections_most(now, fleet::subject_of(server), wanted,
                                     std::min(part(id, now), part(id, now + fleet::Exchange::kStep)));
}

void Talk::tell_limits(double now) {
    if (now - limits_told_ < kLimitsEvery) return;
    limits_told_ = now;
    for (const fleet::Budgets::Limit& l : budgets_.limits(now)) {
        exchange_.limit_needs(now, l.id, l.need * fleet::kWhole);
        if (l.tenant >= 0) tenant_told_(now, l.tenant, part(l.id, now));
    }
}

void Talk::start() {
    open();
    timers_.at(monotonic(), due_);
}

void Talk::open() {
    std::string complaint;
    if (peers_.listen(own_, addresses_, complaint)) {
        log_.line(Topic::node, "peers_open",
                  "hears " + std::to_string(addresses_.size() - 1) + " other nodes at " + own_);
    } else {
        log_.line(Topic::node, "peers_shut",
                  "cannot hear other nodes at " + own_ + ", tries again: " + complaint);
        try_again_ = monotonic() + kOpenAgain;
    }
}

void Talk::step(double now) {
    timers_.at(now + fleet::Exchange::kStep, due_);
    // Another process of this node holds the address, and with it the node's parts of limits, until it ends.
    if (!peers_.listens()) exchange_.limits_anew(now);
    if (!peers_.listens() && now >= try_again_) open();
    while (!by_overdue_.empty() && by_overdue_.begin()->first <= now) {
        const auto [when, forward] = *by_overdue_.begin();
        by_overdue_.erase(by_overdue_.begin());
        const auto out = out_.find(forward);
        if (out == out_.end() || out->second.overdue != when) continue;  // it has ended in time
        exchange_.ended(now, out->second.subject, fleet::Seen::bad);
        exchange_.zone_ended(now, out->second.zone, out->second.subject, fleet::ZoneEnd::silent);
        out_.erase(out);
    }
    for (const fleet::Outgoing& o :
         exchange_.tick(now, static_cast<double>(g_get_real_time()) / G_USEC_PER_SEC))
        peers_.send(o.to, o.bytes);
    for (const fleet::Exchange::Verdict& v : exchange_.verdicts(now)) {
        const auto name = names_.find(v.subject);
        if (name == names_.end()) continue;
        const bool before = standing_.contains(v.subject);
        if (v.bad && !before)
            log_.line(Topic::node, "fleet_bad", "the nodes of this zone find " + name->second + " bad");
        if (!v.bad && before)
            log_.line(Topic::node, "fleet_well", "the nodes no longer find " + name->second + " bad");
        if (v.bad) {
            standing_[v.subject] = true;
        } else {
            standing_.erase(v.subject);
        }
        if (verdicts_) found_(now, name->second, v.bad, v.apart);
    }
    for (const fleet::Zones::Order& o : exchange_.zone_orders()) {
        const auto z = static_cast<std::size_t>(o.zone);
        const std::string name = z < zones_.size() ? zones_[z] : std::to_string(o.zone);
        const auto before = zone_orders_.find(o.zone);
        if (before == zone_orders_.end() || before->second.part != o.part) {
            char text[160];
            std::snprintf(text, sizeof text, "%s: %.3g of its keys may go there%s", name.c_str(), o.part,
                          o.part > 0 ? "" : ", it is left");
            log_.line(Topic::node,
                      o.part <= 0  ? "zone_left"
                      : o.part < 1 ? "zone_returning"
                                   : "zone_in_use",
                      text);
        }
        zone_orders_[o.zone] = o;
        if (verdicts_) zone_told_(now, o);
    }
    tell_limits(now);
    const std::uint64_t stalls = exchange_.stalls();
    if (stalls != stalls_)
        log_.line(Topic::node, "fleet_stalled",
                  "this process stood still: what it saw meanwhile is told to nobody");
    stalls_ = stalls;
}

std::string Talk::against_zones() const {
    return !zones_as_one_ ? "fleet.zones is off in the operators' file"
           : !verdicts_   ? "fleet.verdicts is off in the operators' file"
                          : "";
}

void Talk::zones_anew(double now) {
    for (const auto& [zone, order] : zone_orders_) {
        if (verdicts_) zone_told_(now, order);
    }
}

void Talk::began(double now, std::uint64_t forward, const std::string& server, int zone,
                 double latency_objective) {
    const double overdue = now + fleet::overdue_after(latency_objective);
    if (out_.insert_or_assign(forward, Out{overdue, fleet::subject_of(server), zone}).second)
        by_overdue_.emplace(overdue, forward);
}

void Talk::ended(double now, std::uint64_t forward, const std::string& server, int zone, Ending ending,
                 double took, double latency_objective) {
    const bool overdue = out_.erase(forward) == 0;  // and called bad, and silent, then
    const fleet::Subject subject = fleet::subject_of(server);
    const auto zone_seen = fleet::zone_seen_as(ending, took, latency_objective);
    if (zone_seen && !(overdue && *zone_seen == fleet::ZoneEnd::silent))
        exchange_.zone_ended(now, zone, subject, *zone_seen);
    const auto seen = fleet::seen_as(ending, took, latency_objective);
    if (seen && !overdue) exchange_.ended(now, subject, *seen);
}

void Talk::listed(const std::vector<std::string>& servers, int in_own_zone) {
    names_.clear();
    for (const std::string& s : servers) names_.emplace(fleet::subject_of(s), s);
    exchange_.caches(in_own_zone);
}

std::string Talk::state_text(double now) {
    const fleet::State s = exchange_.state(now);
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> json(buffer);
    json.SetMaxDecimalPlaces(5);
    const auto number = [&json](const char* key, double value) { json.Key(key), json.Double(value); };
    const auto count = [&json](const char* key, std::uint64_t value) { json.Key(key), json.Uint64(value); };
    const auto zone_names = [&](std::uint32_t bits) {
        json.Key("zones");
        json.StartArray();
        for (std::size_t z = 0; z < fleet::kZonesMost; ++z) {
            if ((bits >> z & 1U) != 0)
                json.String((z < zones_.size() ? zones_[z] : std::to_string(z)).c_str());
        }
        json.EndArray();
    };
    json.StartObject();
    json.Key("hears"), json.Bool(peers_.listens());
    json.Key("verdicts_count"), json.Bool(verdicts_);
    json.Key("doubts_itself"), json.Bool(s.doubts_itself);
    number("bytes_a_second", s.bytes_a_second);
    json.Key("peers");
    json.StartArray();
    for (std::size_t n = 0; n < s.members.size(); ++n) {
        json.StartObject();
        json.Key("node"), json.Int(s.members[n].first);
        json.Key("state"), json.String(word(s.members[n].second));
        if (s.ages[n] < 1e8) number("age_s", s.ages[n]);
        count("start", s.starts[n]);
        json.EndObject();
    }
    json.EndArray();
    json.Key("words");
    json.StartObject();
    count("kept", s.sights_kept);
    number("oldest_s", s.oldest_sight);
    json.EndObject();
    json.Key("verdicts");
    json.StartArray();
    for (const fleet::Held& h : s.verdicts) {
        const auto name = names_.find(h.subject);
        json.StartObject();
        json.Key("server"), json.String(name == names_.end() ? "" : name->second.c_str());
        json.Key("counts_here"), json.Bool(h.counts);
        if (h.counts) number("since_s", h.since);
        json.Key("said_by");
        json.StartArray();
        for (const fleet::Voice& v : h.said) {
            json.StartObject();
            json.Key("keeper"), json.Int(v.keeper);
            zone_names(v.zones);
            json.Key("voices"), json.Int(v.voices);
            number("age_s", v.age);
            json.EndObject();
        }
        json.EndArray();
        json.EndObject();
    }
    json.EndArray();
    json.Key("zones");
    json.StartArray();
    const std::vector<fleet::Zones::View> views = exchange_.zone_views(now);
    for (std::size_t z = 0; z < views.size(); ++z) {
        const fleet::Zones::View& v = views[z];
        json.StartObject();
        json.Key("zone"), json.String((z < zones_.size() ? zones_[z] : std::to_string(z)).c_str());
        json.Key("state"), json.String(word(v.state));
        json.Key("by_hand"), json.Bool(v.by_hand);
        number("part", v.part);
        number("since_s", v.since);
        json.Key("lost"), json.Int(v.lost);
        json.Key("answers"), json.Int(v.answers);
        json.Key("strained"), json.Int(v.strained);
        json.Key("heard"), json.Int(v.heard);
        json.Key("needed"), json.Int(v.needed);
        json.Key("falls"), json.Int(v.falls);
        json.Key("said_lost");
        json.StartArray();
        for (const int n : v.said_lost) json.Int(n);
        json.EndArray();
        json.EndObject();
    }
    json.EndArray();
    json.Key("limits");
    json.StartArray();
    for (const fleet::Budgets::Limit& l : budgets_.limits(now)) {
        const fleet::Limits::View v = exchange_.limit_view(l.id, now);
        json.StartObject();
        json.Key("limit"), json.String(l.name.c_str());
        number("whole", l.whole);
        json.Key("unit"), json.String(l.unit.c_str());
        json.Key("kind"), json.String(l.strict ? "strict" : "open");
        number("part", v.own + v.borrowed);
        number("own", v.own);
        number("lent", v.lent);
        number("borrowed", v.borrowed);
        number("need", v.need);
        json.Key("lenders"), json.Int(v.lenders);
        json.Key("takers"), json.Int(v.takers);
        if (l.strict) count("declined", l.declined);
        json.EndObject();
    }
    json.EndArray();
    json.Key("datagrams");
    json.StartObject();
    count("sent", s.counts.sent);
    count("sent_bytes", s.counts.sent_bytes);
    count("received", s.counts.received);
    count("unsound", s.counts.unsound);
    count("strangers", s.counts.strangers);
    count("dead_lives", s.counts.dead_lives);
    count("late", s.counts.late);
    json.EndObject();
    count("stalls", s.counts.stalls);
    count("steps_muted", s.counts.muted);
    json.EndObject();
    return buffer.GetString();
}

}  // namespace brookrelay
