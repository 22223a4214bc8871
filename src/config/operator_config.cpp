#include "config/operator_config.h"

#include <iterator>
#include <set>
#include <sstream>

#include "config/toml.h"
#include "util/address.h"

namespace brookrelay {

namespace {

using Table = TomlFile::Table;

// Reports a key that has no effect because the key `switch_name` does not enable gossip.
void report_key_without_gossip(Table& table, const char* key, const std::string& switch_name) {
    table.add_error(key, "is set without " + switch_name + " = true, so it has no effect");
}

void read_log(Table& log, OperatorConfig& config) {
    config.json_log = log.word("format", 0, {"human", "json"}) == 1;
    config.log_lines_per_second = static_cast<int>(log.whole("lines_a_second", 10, 1, 100000));
}

void read_registry(Table& registry, OperatorConfig& config) {
    config.registry_addresses = registry.texts("addresses");
    for (const std::string& address : config.registry_addresses) {
        if (!parse_address(address)) {
            registry.add_error("addresses",
                               "expected HOST:PORT with a numeric host, found '" + address + "'");
        }
    }
    config.registry_path = registry.text("path", "");
    config.registry_session_timeout = registry.duration("session", config.registry_session_timeout, 0.1, 60);
    const std::string& path = config.registry_path;
    const bool is_valid = path.size() > 1 && path.front() == '/' && path.back() != '/';
    if (!path.empty() && !is_valid)
        registry.add_error("path", "expected a path such as \"/fleet\", found '" + path + "'");
    if (path.empty() && !config.registry_addresses.empty())
        registry.add_error("path", "is missing; addresses need it");
    if (!path.empty() && config.registry_addresses.empty())
        registry.add_error("addresses", "is missing; path needs it");
}

void read_failure_domains(Table& fleet, OperatorConfig& config) {
    std::set<std::string> assigned;
    for (const std::string& region : fleet.texts("regions")) {
        std::istringstream words(region);
        std::vector<std::string>& zones = config.failure_domains.emplace_back(
            std::istream_iterator<std::string>(words), std::istream_iterator<std::string>());
        if (zones.size() < 2) {
            fleet.add_error("regions",
                            "expected at least two zone names separated by blanks, found '" + region + "'");
        }
        for (const std::string& zone : zones) {
            if (!assigned.insert(zone).second)
                fleet.add_error("regions", "zone '" + zone + "' is listed more than once");
        }
    }
}

void read_fleet_quotas(Table& limits, OperatorConfig& config) {
    FleetQuotaLimits& quotas = config.fleet_quotas;
    quotas.share_tenant_quotas = limits.flag("tenants", quotas.share_tenant_quotas);
    quotas.origin_attempts_per_second = limits.number("origin", quotas.origin_attempts_per_second, 1, 1e6);
    quotas.slow_start_attempts_per_second =
        limits.number("cold", quotas.slow_start_attempts_per_second, 0.1, 1e6);
    quotas.connections_per_server =
        static_cast<int>(limits.whole("connections", quotas.connections_per_server, 1, 1'000'000));
    for (const char* key : {"tenants", "origin", "cold", "connections"}) {
        if (!config.gossip_enabled && limits.has(key)) report_key_without_gossip(limits, key, "fleet.talk");
    }
}

void read_fleet(Table& fleet, OperatorConfig& config) {
    config.gossip_enabled = fleet.flag("talk", config.gossip_enabled);
    config.apply_outlier_verdicts = fleet.flag("verdicts", config.apply_outlier_verdicts);
    config.apply_zone_failover = fleet.flag("zones", config.apply_zone_failover);
    read_failure_domains(fleet, config);
    fleet.table("limits", [&](Table& limits) { read_fleet_quotas(limits, config); });
    config.gossip_bytes_per_second = fleet.number("bytes_a_second", config.gossip_bytes_per_second, 256, 1e6);
    config.gossip_max_price_ratio = fleet.number("price_part", config.gossip_max_price_ratio, 0, 1);
    if (config.gossip_enabled) return;
    if (fleet.has("verdicts")) report_key_without_gossip(fleet, "verdicts", "talk");
    if (fleet.has("zones") || fleet.has("regions"))
        report_key_without_gossip(fleet, fleet.has("zones") ? "zones" : "regions", "talk");
}

}  // namespace

OperatorConfig read_operator_config(const std::string& path) {
    TomlFile file(path);
    OperatorConfig config;
    file.read([&](Table& root) {
        root.table("log", [&](Table& log) { read_log(log, config); });
        root.table("registry", [&](Table& registry) { read_registry(registry, config); });
        root.table("fleet", [&](Table& fleet) { read_fleet(fleet, config); });
    });
    file.throw_if_invalid();
    return config;
}

}  // namespace brookrelay
