#include "config/operator_config.h"

#include <iterator>
#include <set>
#include <sstream>

#include "util/address.h"
#include "config/toml.h"

namespace brookrelay {

OperatorFile read_operator_file(const std::string& path) {
    TomlFile file(path);
    OperatorFile o;
    file.read([&](TomlFile::Table& root) {
        root.table("log", [&](TomlFile::Table& log) {
            o.json_log = log.word("format", 0, {"human", "json"}) == 1;
            o.log_lines_a_second = static_cast<int>(log.whole("lines_a_second", 10, 1, 100000));
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
            o.registry_session = registry.duration("session", o.registry_session, 0.1, 60);
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
            o.fleet_talk = fleet.flag("talk", o.fleet_talk);
            o.fleet_verdicts = fleet.flag("verdicts", o.fleet_verdicts);
            o.fleet_zones = fleet.flag("zones", o.fleet_zones);
            std::set<std::string> placed;
            for (const std::string& region : fleet.texts("regions")) {
                std::istringstream words(region);
                std::vector<std::string>& zones = o.fleet_regions.emplace_back(
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
                FleetLimits& l = o.fleet_limits;
                l.tenants = limits.flag("tenants", l.tenants);
                l.origin = limits.number("origin", l.origin, 1, 1e6);
                l.cold = limits.number("cold", l.cold, 0.1, 1e6);
                l.connections = static_cast<int>(limits.whole("connections", l.connections, 1, 1'000'000));
                for (const char* key : {"tenants", "origin", "cold", "connections"}) {
                    if (!o.fleet_talk && limits.has(key))
                        limits.complain(key, "is said without fleet.talk = true, and would do nothing");
                }
            });
            o.fleet_bytes_a_second = fleet.number("bytes_a_second", o.fleet_bytes_a_second, 256, 1e6);
            o.fleet_price_part = fleet.number("price_part", o.fleet_price_part, 0, 1);
            if (!o.fleet_talk && fleet.has("verdicts"))
                fleet.complain("verdicts", "is said without talk = true, and would do nothing");
            if (!o.fleet_talk && (fleet.has("zones") || fleet.has("regions")))
                fleet.complain(fleet.has("zones") ? "zones" : "regions",
                               "is said without talk = true, and would do nothing");
        });
    });
    file.throw_if_wrong();
    return o;
}

}  // namespace brookrelay
