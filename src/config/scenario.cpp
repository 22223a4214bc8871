#include "config/scenario.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "config/toml.h"

namespace brookrelay {
namespace {

using Table = TomlFile::Table;

constexpr double kHour = 3600;
constexpr int kMaxServers = 3200;  // and kMaxNodes: what one machine's loopback can carry
constexpr int kMaxNodes = 64;
constexpr double kMaxRate = 200000;
constexpr double kMaxArrivals = 5e6;  // of one day; all are kept in memory until the evaluation

enum class Who { nobody, servers, tenants, node, nodes, links };
struct TroubleRow {
    const char* word;
    Who who;
    bool lasts;  // needs a duration
};
constexpr TroubleRow kTroubles[] = {{"silent", Who::servers, true},
                                    {"crash", Who::servers, false},
                                    {"slow", Who::servers, true},
                                    {"cold-return", Who::servers, false},
                                    {"void", Who::nobody, false},
                                    {"hot-key", Who::nobody, true},
                                    {"origin-slow", Who::nobody, true},
                                    {"origin-stop", Who::nobody, true},
                                    {"scan", Who::nobody, true},
                                    {"discovery-down", Who::nobody, true},
                                    {"discovery-stale", Who::nobody, true},
                                    {"discovery-restart", Who::nobody, false},
                                    {"drain", Who::servers, false},
                                    {"remove", Who::servers, false},
                                    {"node-kill", Who::nodes, false},
                                    {"node-restart", Who::nodes, false},
                                    {"reload", Who::node, false},
                                    {"reload-bad", Who::node, false},
                                    {"spoilt", Who::servers, true},
                                    {"tricklers", Who::node, true},
                                    {"non-readers", Who::node, true},
                                    {"over-share", Who::tenants, true},
                                    {"cut", Who::links, true},
                                    {"lossy", Who::links, true},
                                    {"late", Who::links, true},
                                    {"doubled", Who::links, true},
                                    {"reordered", Who::links, true},
                                    {"garbled", Who::links, true},
                                    {"freeze", Who::nodes, true},
                                    {"starved", Who::nodes, true},
                                    {"list-late", Who::nodes, true},
                                    {"limits", Who::nodes, false}};
static_assert(std::size(kTroubles) == static_cast<std::size_t>(TroubleKind::count));

void read_day(Table& t, Scenario& s) {
    s.length = t.duration("length", s.length, 1, 2 * kHour);
    s.count_from = t.duration("count_from", std::min(s.count_from, s.length / 4), 0, s.length);
    s.seed = static_cast<std::uint64_t>(t.whole("seed", 1, 0, INT64_MAX));
}

void read_kind(Table& t, Scenario& s) {
    ServerKind k;
    k.name = t.text("name", k.name);
    k.count = static_cast<int>(t.whole("count", k.count, 1, kMaxServers));
    k.slots = static_cast<int>(t.whole("slots", k.slots, 1, 1024));
    k.queue = static_cast<int>(t.whole("queue", k.queue, 0, 100000));
    k.speed = t.number("speed", k.speed, 0.01, 1000);
    k.keys = static_cast<int>(t.whole("keys", k.keys, 0, 10'000'000));
    k.connections = static_cast<int>(t.whole("connections", k.connections, 1, 60000));
    k.handshake = t.duration("handshake", k.handshake, 0, 1);
    k.crowded_from = static_cast<int>(t.whole("crowded_from", k.crowded_from, 1, 100000));
    k.crowding = t.number("crowding", k.crowding, 0, 100);
    k.warm_after = t.duration("warm_after", k.warm_after, 0, kHour);
    s.kinds.push_back(k);
}

void read_origin(Table& t, OriginKind& o) {
    o.slots = static_cast<int>(t.whole("slots", o.slots, 1, 4096));
    o.queue = static_cast<int>(t.whole("queue", o.queue, 0, 1'000'000));
    o.speed = t.number("speed", o.speed, 0.01, 1000);
    o.fall_multiple = t.number("fall_multiple", o.fall_multiple, 0, 1000);
    o.fall_time = t.duration("fall_time", o.fall_time, 0.1, 60);
    o.halt = t.duration("halt", o.halt, 0.1, 60);
    o.limit_marked = t.number("limit_marked", o.limit_marked, 0.01, 1);
}

void read_node(Table& t, Scenario& s) {
    s.nodes = static_cast<int>(t.whole("count", s.nodes, 1, kMaxNodes));
    s.node_memory_mb = static_cast<int>(t.whole("memory_mb", s.node_memory_mb, 16, 65536));
    s.node_descriptors = static_cast<int>(t.whole("descriptors", s.node_descriptors, 32, 65536));
    s.most_forwards = static_cast<int>(t.whole("most_forwards", s.most_forwards, 1, 100));
    s.most_open = static_cast<int>(t.whole("most_open", s.most_open, 1, 10'000'000));
    s.connect_timeout = t.duration("connect_timeout", s.connect_timeout, 1e-3, 60);
    s.connection_idle = t.duration("connection_idle", s.connection_idle, 0.1, kHour);
    s.talk = t.flag("talk", s.talk);
    s.talk_bytes = t.number("talk_bytes", s.talk_bytes, 256, 1e6);
    s.talk_tenants = t.flag("talk_tenants", s.talk_tenants);
    s.talk_origin = t.number("talk_origin", s.talk_origin, 0, 1e6);
    s.talk_cold = t.number("talk_cold", s.talk_cold, 0, 1e6);
    s.talk_connections = static_cast<int>(t.whole("talk_connections", s.talk_connections, 0, 1'000'000));
    s.talk_zones = t.flag("talk_zones", s.talk_zones);
    for (const char* key : {"talk_tenants", "talk_origin", "talk_cold", "talk_connections"}) {
        if (t.has(key) && !s.talk) t.complain(key, "is set without talk = true, so it has no effect");
    }
}

void read_guarantees(Table& t, Scenario& s) {
    s.answer_grace = t.duration("answer_grace", s.answer_grace, 0, 10);
    s.drain_grace = t.duration("drain_grace", s.drain_grace, 0, 60);
    s.cold_from = t.number("cold_from", s.cold_from, 0.01, 1);
    s.warm_within = t.duration("warm_within", s.warm_within, 0, kHour);
    s.fall_multiple = t.number("fall_multiple", s.fall_multiple, 0, 1000);
    s.fall_time = t.duration("fall_time", s.fall_time, 0.1, 60);
    s.longest_advice = t.duration("longest_advice", s.longest_advice, 0, 60);
    s.beyond_share_part = t.number("beyond_share_part", s.beyond_share_part, 0, 1);
}

void read_operation(Table& t, Scenario& s) {
    OperationPlan o;
    o.name = t.needed_text("name");
    o.write = t.flag("write", false);
    o.share = t.number("share", o.share, 0, 1e6);
    o.work = t.duration("work", o.work, 1e-6, 60);
    o.origin_work = t.duration("origin_work", o.origin_work, 1e-6, 60);
    o.value_bytes = static_cast<int>(t.whole("value_bytes", o.value_bytes, 64, std::int64_t{60} * 1024));
    Operation& p = o.promised;
    p.idempotency =
        static_cast<Idempotency>(t.word("repeat", 0, {"idempotent", "deduplicated", "non-idempotent"}));
    p.deduplication_scope = static_cast<DeduplicationScope>(t.word("group", 0, {"all", "zone", "cell"}));
    p.client_timeout = t.duration("client_timeout", 2, 0.01, 600);
    p.latency_objective = t.duration("latency_objective", p.client_timeout / 4, 0.001, 600);
    p.deduplication_window = t.duration("dedup_window", 0, 0, kHour);
    p.priority_weight = t.number("billed_value", 1, 0, 1e6);
    p.late_value_ratio = t.number("tardy_part", 0, 0, 1);
    if (p.idempotency == Idempotency::idempotency_key && p.deduplication_window <= 0) {
        t.complain("dedup_window",
                   "is required where repeat is \"deduplicated\"; expected how long an idempotency key is "
                   "remembered");
    }
    if (p.latency_objective > p.client_timeout) {
        t.complain("latency_objective", "expected no more than client_timeout (" +
                                            duration_text(p.client_timeout) + "), found " +
                                            duration_text(p.latency_objective));
    }
    s.operations.push_back(o);
}

void read_clients(Table& t, ClientsPlan& c) {
    c.rate = t.number("rate", c.rate, 0.1, kMaxRate);
    c.curve = t.curve("curve");
    c.retries = static_cast<int>(t.whole("retries", c.retries, 0, 20));
    c.wait = t.duration("wait", c.wait, 0.001, 60);
    c.patience_least = t.number("patience_least", c.patience_least, 0.05, 1);
    c.patience_most = t.number("patience_most", c.patience_most, c.patience_least, 1);
    c.leave = t.number("leave", c.leave, 0, 1);
    c.mark_repeats = t.flag("mark_repeats", c.mark_repeats);
    c.front_notices = t.duration("front_notices", c.front_notices, 0, 60);
}

void read_keys(Table& t, KeysPlan& k) {
    k.count = static_cast<std::uint64_t>(t.whole("count", static_cast<std::int64_t>(k.count), 1, 50'000'000));
    k.skew = t.number("skew", k.skew, 0, 3);
    k.drift = t.number("drift", k.drift, 0, 1e6);
    k.filled = t.flag("filled", k.filled);
}

bool is_node(const std::string& name, const Scenario& s) {
    for (int n = 0; n < s.nodes; ++n) {
        if (name == "n" + std::to_string(n)) return true;
    }
    return false;
}

std::string suggestion(const std::string& name, const std::vector<std::string>& known) {
    const std::string meant = nearest(name, known);
    return meant.empty() ? "" : "; did you mean '" + meant + "'?";
}

bool contains(const std::vector<std::string>& names, const std::string& name) {
    return std::find(names.begin(), names.end(), name) != names.end();
}

// The ends of the links that a trouble strikes: zones, nodes or servers.
void read_link_ends(Table& t, const Scenario& s, const TroubleRow& row, Trouble& trouble) {
    const bool links = row.who == Who::links;
    trouble.from = t.texts("from");
    trouble.to = t.texts("to");
    trouble.one_way = t.flag("one_way", false);
    const bool delays = trouble.kind == TroubleKind::late || trouble.kind == TroubleKind::reordered;
    trouble.delay = t.duration("delay", delays ? 0.5 : 0, 0, s.length);
    const std::vector<std::string> servers = s.server_names();
    for (const auto& [key, names] : {std::pair{"from", &trouble.from}, std::pair{"to", &trouble.to}}) {
        if (!links && !names->empty())
            t.complain(key, std::string("'") + row.word + "' does not apply to links");
        for (const std::string& name : *names) {
            if (is_node(name, s) || contains(s.zones, name) || contains(servers, name)) continue;
            t.complain(key, "there is no zone, node or server '" + name + "'" + suggestion(name, s.zones));
        }
    }
    if (links && trouble.from.empty())
        t.complain("from", std::string("is missing; '") + row.word + "' needs zones, nodes or servers");
}

// The nodes that a trouble strikes together; without a list, the one of `node`.
void read_trouble_nodes(Table& t, const Scenario& s, const TroubleRow& row, Trouble& trouble) {
    for (const std::string& name : t.texts("nodes")) {
        if (row.who != Who::nodes)
            t.complain("nodes", std::string("'") + row.word + "' does not apply to a list of nodes");
        if (is_node(name, s)) {
            trouble.nodes.push_back(std::stoi(name.substr(1)));
        } else {
            t.complain("nodes",
                       "there is no node '" + name + "'; expected n0 to n" + std::to_string(s.nodes - 1));
        }
    }
    if (trouble.nodes.empty()) trouble.nodes = {trouble.node};
}

void read_trouble_time(Table& t, const Scenario& s, const TroubleRow& row, Trouble& trouble) {
    trouble.at = t.duration("at", 0, 0, s.length);
    if (!t.has("at"))
        t.complain("at", "is missing; expected a time since the start of the day, such as \"10s\"");
    trouble.lasts = t.duration("lasts", 0, 0.01, s.length);
    if (row.lasts && !t.has("lasts"))
        t.complain("lasts", std::string("is missing; '") + row.word + "' needs it");
}

void check_trouble_limits(Table& t, const Scenario& s, const TroubleRow& row, const Trouble& trouble) {
    const bool limits = trouble.kind == TroubleKind::limits;
    if (limits != t.has("origin"))
        t.complain("origin", limits ? "is missing; 'limits' needs the origin's new limit"
                                    : std::string("'") + row.word + "' takes no limit");
    if (limits && s.talk_origin <= 0)
        t.complain("what", "'limits' needs an initial limit in node.talk_origin");
}

// Checks the names of the servers or tenants that a trouble strikes.
void check_trouble_targets(Table& t, const Scenario& s, const TroubleRow& row, const Trouble& trouble) {
    std::vector<std::string> known;
    if (row.who == Who::servers) {
        known = s.server_names();
        known.pop_back();  // the origin has troubles of its own
    }
    if (row.who == Who::tenants) {
        for (const TenantPlan& tenant : s.tenants) known.push_back(tenant.name);
    }
    if (known.empty() && !trouble.who.empty())
        t.complain("who", std::string("'") + row.word + "' does not apply to servers or tenants by name");
    if ((row.who == Who::servers || row.who == Who::tenants) && trouble.who.empty()) {
        t.complain("who", std::string("is missing; '") + row.word + "' needs a list of names");
    }
    for (const std::string& name : trouble.who) {
        if (known.empty() || contains(known, name)) continue;
        t.complain("who", "there is no '" + name + "'" + suggestion(name, known));
    }
}

void read_trouble(Table& t, Scenario& s) {
    Trouble trouble;
    const std::size_t kind = t.word("what", 0, trouble_words());
    if (!t.has("what")) t.complain("what", "is missing; expected a kind of trouble");
    trouble.kind = static_cast<TroubleKind>(kind);
    const TroubleRow& row = kTroubles[kind];
    read_trouble_time(t, s, row, trouble);
    trouble.factor = t.number("factor", trouble.factor, 0.001, 1e6);
    trouble.part = t.number("part", trouble.part, 0, 1);
    trouble.count = static_cast<int>(t.whole("count", trouble.count, 1, 500));
    trouble.node = static_cast<int>(t.whole("node", 0, 0, s.nodes - 1));
    trouble.who = t.texts("who");
    trouble.origin = t.number("origin", 0, 1, 1e6);
    check_trouble_limits(t, s, row, trouble);
    read_link_ends(t, s, row, trouble);
    read_trouble_nodes(t, s, row, trouble);
    check_trouble_targets(t, s, row, trouble);
    s.troubles.push_back(trouble);
}

void check_servers(Table& root, const Scenario& s) {
    int servers = 0;
    std::set<std::string> names{"origin"};
    for (const ServerKind& k : s.kinds) {
        servers += k.count;
        if (!names.insert(k.name).second)
            root.complain("server", "expected distinct names, found '" + k.name + "' again");
    }
    if (servers > kMaxServers) {
        root.complain("server", "expected no more than " + std::to_string(kMaxServers) + " servers, found " +
                                    std::to_string(servers));
    }
}

void check_operations(Table& root, const Scenario& s) {
    if (s.operations.empty()) root.complain("operation", "expected at least one entry [[operation]]");
    std::set<std::string> names;
    double share = 0;
    for (const OperationPlan& o : s.operations) {
        share += o.share;
        if (!names.insert(o.name).second) {
            root.complain("operation", "expected distinct names, found '" + o.name + "' again");
        }
        if (o.name.find_first_of(" ,=\r\n") != std::string::npos) {
            root.complain("operation",
                          "expected a name without blanks, commas and '=', found '" + o.name + "'");
        }
    }
    if (!s.operations.empty() && share <= 0)
        root.complain("operation", "expected at least one entry with a share above 0");
}

void check_arrivals(Table& root, const Scenario& s) {
    double peak = s.clients.curve.empty() ? 1 : 0;
    for (const auto& [time, value] : s.clients.curve) peak = std::max(peak, value);
    if (s.clients.rate * peak * s.length > kMaxArrivals) {
        root.complain("clients", "expected no more than 5000000 arrivals in a day, found up to " +
                                     std::to_string(std::llround(s.clients.rate * peak * s.length)));
    }
}

void check_warming(Table& root, const Scenario& s) {
    if (s.warm_within <= 0) return;
    for (const ServerKind& k : s.kinds) {
        if (k.warm_after <= s.warm_within) continue;
        root.complain("server", "expected kind '" + k.name + "' to be warm after no more than " +
                                    "guarantees.warm_within (" + duration_text(s.warm_within) + "), found " +
                                    duration_text(k.warm_after));
    }
}

void read_discovery(Table& t, Scenario& s) {
    s.discovery_lag = t.duration("lag", s.discovery_lag, 0, 60);
    s.discovery_asked = t.flag("asked", s.discovery_asked);
    s.ask_every = t.duration("ask_every", s.ask_every, 0.1, kHour);
    s.discovery_calls = t.number("calls", s.discovery_calls, 0, 1e6);
}

void read_tenant(Table& t, Scenario& s) {
    TenantPlan& tenant = s.tenants.emplace_back(
        TenantPlan{t.needed_text("name"), t.number("share", 1, 0, 1e6), t.number("quota", 0, 0, 1e9)});
    tenant.nodes = t.texts("nodes");
    tenant.then = t.texts("then");
    tenant.moves = t.duration("moves", 0, 0, 1e6);
    for (const auto& [key, names] : {std::pair{"nodes", &tenant.nodes}, std::pair{"then", &tenant.then}}) {
        for (const std::string& name : *names) {
            if (!is_node(name, s)) t.complain(key, "there is no node '" + name + "'");
        }
    }
}

}  // namespace

const std::vector<std::string>& trouble_words() {
    static const std::vector<std::string> words = [] {
        std::vector<std::string> all;
        for (const TroubleRow& row : kTroubles) all.emplace_back(row.word);
        return all;
    }();
    return words;
}

double at(const Curve& curve, double time, double otherwise) {
    if (curve.empty()) return otherwise;
    if (time <= curve.front().first) return curve.front().second;
    for (std::size_t i = 1; i < curve.size(); ++i) {
        const auto& [t1, v1] = curve[i];
        const auto& [t0, v0] = curve[i - 1];
        if (time < t1) return v0 + (v1 - v0) * (time - t0) / (t1 - t0);
    }
    return curve.back().second;
}

std::vector<std::string> Scenario::server_names() const {
    std::vector<std::string> names;
    for (const ServerKind& k : kinds) {
        for (int i = 1; i <= k.count; ++i) names.push_back(k.name + "-" + std::to_string(i));
    }
    names.emplace_back("origin");
    return names;
}

int Scenario::kind_of(int server) const {
    int kind = 0;
    while (kind < static_cast<int>(kinds.size()) && server >= kinds[static_cast<std::size_t>(kind)].count) {
        server -= kinds[static_cast<std::size_t>(kind)].count;
        ++kind;
    }
    return kind;
}

bool Scenario::has(TroubleKind kind) const {
    return std::any_of(troubles.begin(), troubles.end(), [kind](const Trouble& t) { return t.kind == kind; });
}

double Scenario::capacity() const {
    double all = 0;
    for (const ServerKind& k : kinds) all += k.count * k.slots * k.speed;
    return all;
}

Scenario read_scenario(const std::string& path, const std::vector<std::string>& overrides) {
    TomlFile file(path, overrides);
    Scenario s;
    s.path = path;
    file.read([&](Table& root) {
        root.word("format", 0, {"scenario 1"});
        if (!root.has("format")) root.complain("format", "is missing; expected \"scenario 1\"");
        s.name = root.text("name", path.substr(path.find_last_of('/') + 1));
        s.about = root.text("about", "");
        root.table("day", [&](Table& t) { read_day(t, s); });
        if (root.has("zones")) s.zones = root.texts("zones");
        if (s.zones.empty()) root.complain("zones", "expected at least one name");
        root.table("node", [&](Table& t) { read_node(t, s); });
        root.each("server", [&](Table& t) { read_kind(t, s); });
        root.table("origin", [&](Table& t) { read_origin(t, s.origin); });
        root.table("discovery", [&](Table& t) { read_discovery(t, s); });
        root.table("guarantees", [&](Table& t) { read_guarantees(t, s); });
        root.each("operation", [&](Table& t) { read_operation(t, s); });
        root.each("tenant", [&](Table& t) { read_tenant(t, s); });
        root.table("clients", [&](Table& t) { read_clients(t, s.clients); });
        root.table("keys", [&](Table& t) { read_keys(t, s.keys); });
        if (s.kinds.empty()) s.kinds.emplace_back();
        check_servers(root, s);
        check_operations(root, s);
        check_arrivals(root, s);
        check_warming(root, s);
        root.each("trouble", [&](Table& t) { read_trouble(t, s); });
    });
    file.throw_if_wrong();
    return s;
}

}  // namespace brookrelay
