#include "config/operator_config.h"

#include <iterator>
#include <set>
#include <sstream>

#include "config/toml.h"
#include "util/address.h"

namespace brookrelay {

OperatorConfig read_operator_config(const std::string& path) {
    TomlFile file(path);
    OperatorConfig o;
    file.read([&](TomlFile::Table& root) {
        root.table("log", [&](TomlFile::Table& log) {
            o.json_log = log.word("format", 0, {"human", "json"}) == 1;
            o.log_lines_per_second = static_cast<int>(log.whole("lines_a_second", 10, 1, 100000));
        });
        root.table("registry", [&](TomlFile::Table& registry) {
            o.registry_addresses = registry.texts("addresses");
            for (const std::string& address : o.registry_addresses) {
                if (!parse_address(address)) {
                    registry.complain("addresses",
                                      "expected HOST:PORT with a numeric host, found '" + address + "'");
                }
            }
            o.registry_path = registry.text("path", "");
            o.registry_session_timeout = registry.duration("session", o.registry_session_timeout, 0.1, 60);
            const std::string& at = o.registry_path;
            const bool sound = at.size() > 1 && at.front() == '/' && at.back() != '/';
            if (!at.empty() && !sound)
                registry.complain("path", "expected a path such as \"/fleet\", found '" + at + "'");
            if (at.empty() && !o.registry_addresses.empty())
                registry.complain("path", "is missing; addresses need it");
            if (!at.empty() && o.registry_addresses.empty())
                registry.complain("addresses", "is missing; path needs it");
        });
        root.table("fleet", [&](TomlFile::Table& fleet) {
            o.gossip_enabled = fleet.flag("talk", o.gossip_enabled);
            o.apply_outlier_verdicts = fleet.flag("verdicts", o.apply_outlier_verdicts);
            o.apply_zone_failover = fleet.flag("zones", o.apply_zone_failover);
            std::set<std::string> placed;
            for (const std::string& region : fleet.texts("regions")) {
                std::istringstream words(region);
                std::vector<std::string>& zones = o.failure_domains.emplace_back(
                    std::istream_iterator<std::string>(words), std::istream_iterator<std::string>());
                if (zones.size() < 2)
                    fleet.complain(
                        "regions",
                        "expected zones with blanks between, two at the least, found '" + region + "'");
                for (const std::string& zone : zones) {
                    if (!placed.insert(zone).second)
                        fleet.complain("regions", "zone '" + zone + "' stands in two of them");
                }
            }
            fleet.table("limits", [&](TomlFile::Table& limits) {
                FleetQuotaLimits& l = o.fleet_quotas;
                l.share_tenant_quotas = limits.flag("tenants", l.share_tenant_quotas);
                l.origin_attempts_per_second = limits.number("origin", l.origin_attempts_per_second, 1, 1e6);
                l.slow_start_attempts_per_second =
                    limits.number("cold", l.slow_start_attempts_per_second, 0.1, 1e6);
                l.connections_per_server =
                    static_cast<int>(limits.whole("connections", l.connections_per_server, 1, 1'000'000));
                for (const char* key : {"tenants", "origin", "cold", "connections"}) {
                    if (!o.gossip_enabled && limits.has(key))
                        limits.complain(key, "is said without fleet.talk = true, and would do nothing");
                }
            });
            o.gossip_bytes_per_second = fleet.number("bytes_a_second", o.gossip_bytes_per_second, 256, 1e6);
            o.gossip_max_price_ratio = fleet.number("price_part", o.gossip_max_price_ratio, 0, 1);
            if (!o.gossip_enabled && fleet.has("verdicts"))
                fleet.complain("verdicts", "is said without talk = true, and would do nothing");
            if (!o.gossip_enabled && (fleet.has("zones") || fleet.has("regions")))
                fleet.complain(fleet.has("zones") ? "zones" : "regions",
                               "is said without talk = true, and would do nothing");
        });
    });
    file.throw_if_wrong();
    return o;
}

}  // namespace brookrelay
