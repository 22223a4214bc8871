#include "talk.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace brookrelay {
namespace {

constexpr double kOpenAgain = 1.0;  // s: another process of this node may hold the address until it ends

fleet::Terms terms(const Station& s, const OperatorFile& o) {
    const Deployment& d = s.deployment;
    return {d.node, d.nodes, d.zone, d.zones, o.fleet_bytes_a_second, s.peer_price, o.fleet_price_part};
}

std::uint32_t life() { return static_cast<std::uint32_t>(g_get_real_time() / G_USEC_PER_SEC); }

const char* word(fleet::Presence p) {
    return p == fleet::Presence::fresh ? "fresh" : p == fleet::Presence::late ? "late" : "gone";
}

}  // namespace

std::string Talk::against(const Station& s) {
    if (!s.deployment.may_tell_peers) return "the settings do not allow it (permissions.peers)";
    if (s.peer_listen.empty()) return "the configuration has no peer_listen";
    if (static_cast<int>(s.peers.size()) != s.deployment.nodes)
        return "the configuration has " + std::to_string(s.peers.size()) + " peers for " + std::to_string(s.deployment.nodes) + " nodes";
    if (s.deployment.node < 0 || s.deployment.node >= s.deployment.nodes) return "my_number is none of the nodes'";
    return {};
}

Talk::Talk(Timers& timers, Log& log, const Station& s, const OperatorFile& o, std::function<void()> due, Found found)
    : timers_(timers),
      log_(log),
      own_(s.peer_listen),
      addresses_(s.peers),
      zones_(s.names.zones),
      verdicts_(o.fleet_verdicts),
      due_(std::move(due)),
      found_(std::move(found)),
      exchange_(terms(s, o), life(), s.seed, monotonic()),
      peers_([this](int from, std::string_view bytes) { exchange_.received(monotonic(), from, bytes); }) {}

void Talk::start() {
    open();
    timers_.at(monotonic(), due_);
}

void Talk::open() {
    std::string complaint;
    if (peers_.listen(own_, addresses_, complaint)) {
        log_.line(Topic::node, "peers_open", "hears " + std::to_string(addresses_.size() - 1) + " other nodes at " + own_);
    } else {
        log_.line(Topic::node, "peers_shut", "cannot hear other nodes at " + own_ + ", tries again: " + complaint);
        try_again_ = monotonic() + kOpenAgain;
    }
}

void Talk::step(double now) {
    timers_.at(now + fleet::Exchange::kStep, due_);
    if (!peers_.listens() && now >= try_again_) open();
    while (!by_overdue_.empty() && by_overdue_.begin()->first <= now) {
        const auto [when, forward] = *by_overdue_.begin();
        by_overdue_.erase(by_overdue_.begin());
        const auto out = out_.find(forward);
        if (out == out_.end() || out->second.overdue != when) continue;  // it has ended in time
        exchange_.ended(now, out->second.subject, fleet::Seen::bad);
        out_.erase(out);
    }
    for (const fleet::Outgoing& o : exchange_.tick(now)) peers_.send(o.to, o.bytes);
    for (const fleet::Exchange::Verdict& v : exchange_.verdicts(now)) {
        const auto name = names_.find(v.subject);
        if (name == names_.end()) continue;
        const bool before = standing_.contains(v.subject);
        if (v.bad && !before) log_.line(Topic::node, "fleet_bad", "the nodes of this zone find " + name->second + " bad");
        if (!v.bad && before) log_.line(Topic::node, "fleet_well", "the nodes no longer find " + name->second + " bad");
        if (v.bad) {
            standing_[v.subject] = true;
        } else {
            standing_.erase(v.subject);
        }
        if (verdicts_) found_(now, name->second, v.bad, v.apart);
    }
    const std::uint64_t stalls = exchange_.stalls();
    if (stalls != stalls_) log_.line(Topic::node, "fleet_stalled", "this process stood still: what it saw meanwhile is told to nobody");
    stalls_ = stalls;
}

void Talk::began(double now, std::uint64_t forward, const std::string& server, double latency_objective) {
    const double overdue = now + fleet::overdue_after(latency_objective);
    if (out_.insert_or_assign(forward, Out{overdue, fleet::subject_of(server)}).second) by_overdue_.emplace(overdue, forward);
}

void Talk::ended(double now, std::uint64_t forward, const std::string& server, Ending ending, double took, double latency_objective) {
    if (out_.erase(forward) == 0) return;  // it was called bad when it was overdue
    const auto seen = fleet::seen_as(ending, took, latency_objective);
    if (seen) exchange_.ended(now, fleet::subject_of(server), *seen);
}

void Talk::listed(const std::vector<std::string>& servers, int in_own_zone) {
    names_.clear();
    for (const std::string& s : servers) names_.emplace(fleet::subject_of(s), s);
    exchange_.caches(in_own_zone);
}

std::string Talk::state_text(double now) const {
    const fleet::State s = exchange_.state(now);
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> json(buffer);
    json.SetMaxDecimalPlaces(3);
    const auto number = [&json](const char* key, double value) { json.Key(key), json.Double(value); };
    const auto count = [&json](const char* key, std::uint64_t value) { json.Key(key), json.Uint64(value); };
    const auto zone_names = [&](std::uint32_t bits) {
        json.Key("zones");
        json.StartArray();
        for (std::size_t z = 0; z < fleet::kZonesMost; ++z) {
            if ((bits >> z & 1U) != 0) json.String((z < zones_.size() ? zones_[z] : std::to_string(z)).c_str());
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
