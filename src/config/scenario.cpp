#include "config/scenario.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "config/toml.h"

namespace brookrelay {
namespace {

using Table = TomlFile::Table;

constexpr double kSecondsPerHour = 3600;
constexpr int kMaxServers = 3200;     // what the loopback interface of one machine can carry
constexpr int kMaxNodes = 64;         // what the loopback interface of one machine can carry
constexpr double kMaxRate = 200000;   // requests per second
constexpr double kMaxArrivals = 5e6;  // per run; all are kept in memory until the evaluation

enum class TroubleTarget { none, servers, tenants, node, nodes, links };
struct TroubleSpec {
    const char* word;
    TroubleTarget target;
    bool needs_duration;
};
constexpr TroubleSpec kTroubles[] = {{"silent", TroubleTarget::servers, true},
                                     {"crash", TroubleTarget::servers, false},
                                     {"slow", TroubleTarget::servers, true},
                                     {"cold-return", TroubleTarget::servers, false},
                                     {"void", TroubleTarget::none, false},
                                     {"hot-key", TroubleTarget::none, true},
                                     {"origin-slow", TroubleTarget::none, true},
                                     {"origin-stop", TroubleTarget::none, true},
                                     {"scan", TroubleTarget::none, true},
                                     {"discovery-down", TroubleTarget::none, true},
                                     {"discovery-stale", TroubleTarget::none, true},
                                     {"discovery-restart", TroubleTarget::none, false},
                                     {"drain", TroubleTarget::servers, false},
                                     {"remove", TroubleTarget::servers, false},
                                     {"node-kill", TroubleTarget::nodes, false},
                                     {"node-restart", TroubleTarget::nodes, false},
                                     {"reload", TroubleTarget::node, false},
                                     {"reload-bad", TroubleTarget::node, false},
                                     {"spoilt", TroubleTarget::servers, true},
                                     {"tricklers", TroubleTarget::node, true},
                                     {"non-readers", TroubleTarget::node, true},
                                     {"over-share", TroubleTarget::tenants, true},
                                     {"cut", TroubleTarget::links, true},
                                     {"lossy", TroubleTarget::links, true},
                                     {"late", TroubleTarget::links, true},
                                     {"doubled", TroubleTarget::links, true},
                                     {"reordered", TroubleTarget::links, true},
                                     {"garbled", TroubleTarget::links, true},
                                     {"freeze", TroubleTarget::nodes, true},
                                     {"starved", TroubleTarget::nodes, true},
                                     {"list-late", TroubleTarget::nodes, true},
                                     {"limits", TroubleTarget::nodes, false}};
static_assert(std::size(kTroubles) == static_cast<std::size_t>(TroubleKind::count));

void read_day(Table& table, Scenario& scenario) {
    scenario.length = table.duration("length", scenario.length, 1, 2 * kSecondsPerHour);
    scenario.count_from =
        table.duration("count_from", std::min(scenario.count_from, scenario.length / 4), 0, scenario.length);
    scenario.seed = static_cast<std::uint64_t>(table.whole("seed", 1, 0, INT64_MAX));
}

void read_kind(Table& table, Scenario& scenario) {
    ServerKind kind;
    kind.name = table.text("name", kind.name);
    kind.count = static_cast<int>(table.whole("count", kind.count, 1, kMaxServers));
    kind.slots = static_cast<int>(table.whole("slots", kind.slots, 1, 1024));
    kind.queue = static_cast<int>(table.whole("queue", kind.queue, 0, 100000));
    kind.speed = table.number("speed", kind.speed, 0.01, 1000);
    kind.keys = static_cast<int>(table.whole("keys", kind.keys, 0, 10'000'000));
    kind.connections = static_cast<int>(table.whole("connections", kind.connections, 1, 60000));
    kind.handshake = table.duration("handshake", kind.handshake, 0, 1);
    kind.crowded_from = static_cast<int>(table.whole("crowded_from", kind.crowded_from, 1, 100000));
    kind.crowding = table.number("crowding", kind.crowding, 0, 100);
    kind.warm_after = table.duration("warm_after", kind.warm_after, 0, kSecondsPerHour);
    scenario.kinds.push_back(kind);
}

void read_origin(Table& table, OriginKind& origin) {
    origin.slots = static_cast<int>(table.whole("slots", origin.slots, 1, 4096));
    origin.queue = static_cast<int>(table.whole("queue", origin.queue, 0, 1'000'000));
    origin.speed = table.number("speed", origin.speed, 0.01, 1000);
    origin.fall_multiple = table.number("fall_multiple", origin.fall_multiple, 0, 1000);
    origin.fall_time = table.duration("fall_time", origin.fall_time, 0.1, 60);
    origin.halt = table.duration("halt", origin.halt, 0.1, 60);
    origin.limit_marked = table.number("limit_marked", origin.limit_marked, 0.01, 1);
}

void read_node(Table& table, Scenario& scenario) {
    scenario.nodes = static_cast<int>(table.whole("count", scenario.nodes, 1, kMaxNodes));
    scenario.node_memory_mb = static_cast<int>(table.whole("memory_mb", scenario.node_memory_mb, 16, 65536));
    scenario.node_descriptors =
        static_cast<int>(table.whole("descriptors", scenario.node_descriptors, 32, 65536));
    scenario.most_forwards = static_cast<int>(table.whole("most_forwards", scenario.most_forwards, 1, 100));
    scenario.most_open = static_cast<int>(table.whole("most_open", scenario.most_open, 1, 10'000'000));
    scenario.connect_timeout = table.duration("connect_timeout", scenario.connect_timeout, 1e-3, 60);
    scenario.connection_idle =
        table.duration("connection_idle", scenario.connection_idle, 0.1, kSecondsPerHour);
    scenario.talk = table.flag("talk", scenario.talk);
    scenario.talk_bytes = table.number("talk_bytes", scenario.talk_bytes, 256, 1e6);
    scenario.talk_tenants = table.flag("talk_tenants", scenario.talk_tenants);
    scenario.talk_origin = table.number("talk_origin", scenario.talk_origin, 0, 1e6);
    scenario.talk_cold = table.number("talk_cold", scenario.talk_cold, 0, 1e6);
    scenario.talk_connections =
        static_cast<int>(table.whole("talk_connections", scenario.talk_connections, 0, 1'000'000));
    scenario.talk_zones = table.flag("talk_zones", scenario.talk_zones);
    for (const char* key : {"talk_tenants", "talk_origin", "talk_cold", "talk_connections"}) {
        if (table.has(key) && !scenario.talk)
            table.add_error(key, "is set without talk = true, so it has no effect");
    }
}

void read_guarantees(Table& table, Scenario& scenario) {
    scenario.answer_grace = table.duration("answer_grace", scenario.answer_grace, 0, 10);
    scenario.drain_grace = table.duration("drain_grace", scenario.drain_grace, 0, 60);
    scenario.cold_from = table.number("cold_from", scenario.cold_from, 0.01, 1);
    scenario.warm_within = table.duration("warm_within", scenario.warm_within, 0, kSecondsPerHour);
    scenario.fall_multiple = table.number("fall_multiple", scenario.fall_multiple, 0, 1000);
    scenario.fall_time = table.duration("fall_time", scenario.fall_time, 0.1, 60);
    scenario.longest_advice = table.duration("longest_advice", scenario.longest_advice, 0, 60);
    scenario.beyond_share_part = table.number("beyond_share_part", scenario.beyond_share_part, 0, 1);
}

void read_operation(Table& table, Scenario& scenario) {
    OperationPlan plan;
    plan.name = table.required_text("name");
    plan.write = table.flag("write", false);
    plan.share = table.number("share", plan.share, 0, 1e6);
    plan.work = table.duration("work", plan.work, 1e-6, 60);
    plan.origin_work = table.duration("origin_work", plan.origin_work, 1e-6, 60);
    plan.value_bytes =
        static_cast<int>(table.whole("value_bytes", plan.value_bytes, 64, std::int64_t{60} * 1024));
    Operation& operation = plan.promised;
    operation.idempotency =
        static_cast<Idempotency>(table.word("repeat", 0, {"idempotent", "deduplicated", "non-idempotent"}));
    operation.deduplication_scope =
        static_cast<DeduplicationScope>(table.word("group", 0, {"all", "zone", "cell"}));
    operation.client_timeout = table.duration("client_timeout", 2, 0.01, 600);
    operation.latency_objective =
        table.duration("latency_objective", operation.client_timeout / 4, 0.001, 600);
    operation.deduplication_window = table.duration("dedup_window", 0, 0, kSecondsPerHour);
    operation.priority_weight = table.number("billed_value", 1, 0, 1e6);
    operation.late_value_ratio = table.number("tardy_part", 0, 0, 1);
    if (operation.idempotency == Idempotency::idempotency_key && operation.deduplication_window <= 0) {
        table.add_error(
            "dedup_window",
            "is required where repeat is \"deduplicated\"; expected how long an idempotency key is "
            "remembered");
    }
    if (operation.latency_objective > operation.client_timeout) {
        table.add_error("latency_objective", "expected no more than client_timeout (" +
                                                 duration_text(operation.client_timeout) + "), found " +
                                                 duration_text(operation.latency_objective));
    }
    scenario.operations.push_back(plan);
}

void read_clients(Table& table, ClientsPlan& clients) {
    clients.rate = table.number("rate", clients.rate, 0.1, kMaxRate);
    clients.curve = table.curve("curve");
    clients.retries = static_cast<int>(table.whole("retries", clients.retries, 0, 20));
    clients.wait = table.duration("wait", clients.wait, 0.001, 60);
    clients.patience_least = table.number("patience_least", clients.patience_least, 0.05, 1);
    clients.patience_most = table.number("patience_most", clients.patience_most, clients.patience_least, 1);
    clients.leave = table.number("leave", clients.leave, 0, 1);
    clients.mark_repeats = table.flag("mark_repeats", clients.mark_repeats);
    clients.front_notices = table.duration("front_notices", clients.front_notices, 0, 60);
}

void read_keys(Table& table, KeysPlan& keys) {
    keys.count = static_cast<std::uint64_t>(
        table.whole("count", static_cast<std::int64_t>(keys.count), 1, 50'000'000));
    keys.skew = table.number("skew", keys.skew, 0, 3);
    keys.drift = table.number("drift", keys.drift, 0, 1e6);
    keys.filled = table.flag("filled", keys.filled);
}

bool is_node_name(const std::string& name, const Scenario& scenario) {
    for (int n = 0; n < scenario.nodes; ++n) {
        if (name == "n" + std::to_string(n)) return true;
    }
    return false;
}

std::string suggestion_text(const std::string& name, const std::vector<std::string>& known) {
    const std::string match = closest_match(name, known);
    return match.empty() ? "" : "; did you mean '" + match + "'?";
}

bool contains(const std::vector<std::string>& names, const std::string& name) {
    return std::find(names.begin(), names.end(), name) != names.end();
}

// Reads the ends of the links that a trouble affects: zones, nodes or servers.
void read_link_ends(Table& table, const Scenario& scenario, const TroubleSpec& spec, Trouble& trouble) {
    const bool is_link_fault = spec.target == TroubleTarget::links;
    trouble.from = table.texts("from");
    trouble.to = table.texts("to");
    trouble.one_way = table.flag("one_way", false);
    const bool is_delay = trouble.kind == TroubleKind::late || trouble.kind == TroubleKind::reordered;
    trouble.delay = table.duration("delay", is_delay ? 0.5 : 0, 0, scenario.length);
    const std::vector<std::string> servers = scenario.server_names();
    for (const auto& [key, names] : {std::pair{"from", &trouble.from}, std::pair{"to", &trouble.to}}) {
        if (!is_link_fault && !names->empty())
            table.add_error(key, std::string("'") + spec.word + "' does not apply to links");
        for (const std::string& name : *names) {
            if (is_node_name(name, scenario) || contains(scenario.zones, name) || contains(servers, name))
                continue;
            table.add_error(key, "there is no zone, node or server '" + name + "'" +
                                     suggestion_text(name, scenario.zones));
        }
    }
    if (is_link_fault && trouble.from.empty())
        table.add_error("from", std::string("is missing; '") + spec.word + "' needs zones, nodes or servers");
}

// Reads the nodes that a trouble affects at the same time; without a list, only `node`.
void read_trouble_nodes(Table& table, const Scenario& scenario, const TroubleSpec& spec, Trouble& trouble) {
    for (const std::string& name : table.texts("nodes")) {
        if (spec.target != TroubleTarget::nodes)
            table.add_error("nodes", std::string("'") + spec.word + "' does not apply to a list of nodes");
        if (is_node_name(name, scenario)) {
            trouble.nodes.push_back(std::stoi(name.substr(1)));
        } else {
            table.add_error("nodes", "there is no node '" + name + "'; expected n0 to n" +
                                         std::to_string(scenario.nodes - 1));
        }
    }
    if (trouble.nodes.empty()) trouble.nodes = {trouble.node};
}

void read_trouble_time(Table& table, const Scenario& scenario, const TroubleSpec& spec, Trouble& trouble) {
    trouble.at = table.duration("at", 0, 0, scenario.length);
    if (!table.has("at"))
        table.add_error("at", "is missing; expected a time since the start of the day, such as \"10s\"");
    trouble.lasts = table.duration("lasts", 0, 0.01, scenario.length);
    if (spec.needs_duration && !table.has("lasts"))
        table.add_error("lasts", std::string("is missing; '") + spec.word + "' needs it");
}

void check_trouble_limits(Table& table, const Scenario& scenario, const TroubleSpec& spec,
                          const Trouble& trouble) {
    const bool sets_limit = trouble.kind == TroubleKind::limits;
    if (sets_limit != table.has("origin"))
        table.add_error("origin", sets_limit ? "is missing; 'limits' needs the origin's new limit"
                                             : std::string("'") + spec.word + "' takes no limit");
    if (sets_limit && scenario.talk_origin <= 0)
        table.add_error("what", "'limits' needs an initial limit in node.talk_origin");
}

// Checks the names of the servers or tenants that a trouble affects.
void check_trouble_targets(Table& table, const Scenario& scenario, const TroubleSpec& spec,
                           const Trouble& trouble) {
    std::vector<std::string> known;
    if (spec.target == TroubleTarget::servers) {
        known = scenario.server_names();
        known.pop_back();  // The origin has kinds of trouble of its own.
    }
    if (spec.target == TroubleTarget::tenants) {
        for (const TenantPlan& tenant : scenario.tenants) known.push_back(tenant.name);
    }
    if (known.empty() && !trouble.who.empty())
        table.add_error("who",
                        std::string("'") + spec.word + "' does not apply to servers or tenants by name");
    if ((spec.target == TroubleTarget::servers || spec.target == TroubleTarget::tenants) &&
        trouble.who.empty()) {
        table.add_error("who", std::string("is missing; '") + spec.word + "' needs a list of names");
    }
    for (const std::string& name : trouble.who) {
        if (known.empty() || contains(known, name)) continue;
        table.add_error("who", "there is no '" + name + "'" + suggestion_text(name, known));
    }
}

void read_trouble(Table& table, Scenario& scenario) {
    Trouble trouble;
    const std::size_t kind = table.word("what", 0, trouble_names());
    if (!table.has("what")) table.add_error("what", "is missing; expected a kind of trouble");
    trouble.kind = static_cast<TroubleKind>(kind);
    const TroubleSpec& spec = kTroubles[kind];
    read_trouble_time(table, scenario, spec, trouble);
    trouble.factor = table.number("factor", trouble.factor, 0.001, 1e6);
    trouble.part = table.number("part", trouble.part, 0, 1);
    trouble.count = static_cast<int>(table.whole("count", trouble.count, 1, 500));
    trouble.node = static_cast<int>(table.whole("node", 0, 0, scenario.nodes - 1));
    trouble.who = table.texts("who");
    trouble.origin = table.number("origin", 0, 1, 1e6);
    check_trouble_limits(table, scenario, spec, trouble);
    read_link_ends(table, scenario, spec, trouble);
    read_trouble_nodes(table, scenario, spec, trouble);
    check_trouble_targets(table, scenario, spec, trouble);
    scenario.troubles.push_back(trouble);
}

void check_servers(Table& root, const Scenario& scenario) {
    int servers = 0;
    std::set<std::string> names{"origin"};
    for (const ServerKind& kind : scenario.kinds) {
        servers += kind.count;
        if (!names.insert(kind.name).second)
            root.add_error("server", "expected distinct names, found '" + kind.name + "' again");
    }
    if (servers > kMaxServers) {
        root.add_error("server", "expected no more than " + std::to_string(kMaxServers) + " servers, found " +
                                     std::to_string(servers));
    }
}

void check_operations(Table& root, const Scenario& scenario) {
    if (scenario.operations.empty()) root.add_error("operation", "expected at least one entry [[operation]]");
    std::set<std::string> names;
    double share = 0;
    for (const OperationPlan& plan : scenario.operations) {
        share += plan.share;
        if (!names.insert(plan.name).second) {
            root.add_error("operation", "expected distinct names, found '" + plan.name + "' again");
        }
        if (plan.name.find_first_of(" ,=\r\n") != std::string::npos) {
            root.add_error("operation",
                           "expected a name without blanks, commas and '=', found '" + plan.name + "'");
        }
    }
    if (!scenario.operations.empty() && share <= 0)
        root.add_error("operation", "expected at least one entry with a share above 0");
}

void check_arrivals(Table& root, const Scenario& scenario) {
    double peak = scenario.clients.curve.empty() ? 1 : 0;
    for (const auto& [time, value] : scenario.clients.curve) peak = std::max(peak, value);
    if (scenario.clients.rate * peak * scenario.length > kMaxArrivals) {
        root.add_error("clients",
                       "expected no more than 5000000 arrivals in a day, found up to " +
                           std::to_string(std::llround(scenario.clients.rate * peak * scenario.length)));
    }
}

void check_warm_up(Table& root, const Scenario& scenario) {
    if (scenario.warm_within <= 0) return;
    for (const ServerKind& kind : scenario.kinds) {
        if (kind.warm_after <= scenario.warm_within) continue;
        root.add_error("server", "expected kind '" + kind.name + "' to be warm after no more than " +
                                     "guarantees.warm_within (" + duration_text(scenario.warm_within) +
                                     "), found " + duration_text(kind.warm_after));
    }
}

void read_discovery(Table& table, Scenario& scenario) {
    scenario.discovery_lag = table.duration("lag", scenario.discovery_lag, 0, 60);
    scenario.discovery_asked = table.flag("asked", scenario.discovery_asked);
    scenario.ask_every = table.duration("ask_every", scenario.ask_every, 0.1, kSecondsPerHour);
    scenario.discovery_calls = table.number("calls", scenario.discovery_calls, 0, 1e6);
}

void read_tenant(Table& table, Scenario& scenario) {
    TenantPlan& tenant = scenario.tenants.emplace_back(TenantPlan{
        table.required_text("name"), table.number("share", 1, 0, 1e6), table.number("quota", 0, 0, 1e9)});
    tenant.nodes = table.texts("nodes");
    tenant.then = table.texts("then");
    tenant.moves = table.duration("moves", 0, 0, 1e6);
    for (const auto& [key, names] : {std::pair{"nodes", &tenant.nodes}, std::pair{"then", &tenant.then}}) {
        for (const std::string& name : *names) {
            if (!is_node_name(name, scenario)) table.add_error(key, "there is no node '" + name + "'");
        }
    }
}

}  // namespace

const std::vector<std::string>& trouble_names() {
    static const std::vector<std::string> words = [] {
        std::vector<std::string> all;
        for (const TroubleSpec& spec : kTroubles) all.emplace_back(spec.word);
        return all;
    }();
    return words;
}

double at(const Curve& curve, double time, double default_value) {
    if (curve.empty()) return default_value;
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
    for (const ServerKind& kind : kinds) {
        for (int i = 1; i <= kind.count; ++i) names.push_back(kind.name + "-" + std::to_string(i));
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
    return std::any_of(troubles.begin(), troubles.end(),
                       [kind](const Trouble& trouble) { return trouble.kind == kind; });
}

double Scenario::capacity() const {
    double total = 0;
    for (const ServerKind& kind : kinds) total += kind.count * kind.slots * kind.speed;
    return total;
}

Scenario read_scenario(const std::string& path, const std::vector<std::string>& overrides) {
    TomlFile file(path, overrides);
    Scenario scenario;
    scenario.path = path;
    file.read([&](Table& root) {
        root.word("format", 0, {"scenario 1"});
        if (!root.has("format")) root.add_error("format", "is missing; expected \"scenario 1\"");
        scenario.name = root.text("name", path.substr(path.find_last_of('/') + 1));
        scenario.about = root.text("about", "");
        root.table("day", [&](Table& table) { read_day(table, scenario); });
        if (root.has("zones")) scenario.zones = root.texts("zones");
        if (scenario.zones.empty()) root.add_error("zones", "expected at least one name");
        root.table("node", [&](Table& table) { read_node(table, scenario); });
        root.each("server", [&](Table& table) { read_kind(table, scenario); });
        root.table("origin", [&](Table& table) { read_origin(table, scenario.origin); });
        root.table("discovery", [&](Table& table) { read_discovery(table, scenario); });
        root.table("guarantees", [&](Table& table) { read_guarantees(table, scenario); });
        root.each("operation", [&](Table& table) { read_operation(table, scenario); });
        root.each("tenant", [&](Table& table) { read_tenant(table, scenario); });
        root.table("clients", [&](Table& table) { read_clients(table, scenario.clients); });
        root.table("keys", [&](Table& table) { read_keys(table, scenario.keys); });
        if (scenario.kinds.empty()) scenario.kinds.emplace_back();
        check_servers(root, scenario);
        check_operations(root, scenario);
        check_arrivals(root, scenario);
        check_warm_up(root, scenario);
        root.each("trouble", [&](Table& table) { read_trouble(table, scenario); });
    });
    file.throw_if_invalid();
    return scenario;
}

}  // namespace brookrelay
