#include "config/registration.h"

#include "config/json.h"
#include "util/address.h"

namespace brookrelay {
namespace {

int named(const std::vector<std::string>& names, const rapidjson::Value& object, const char* field) {
    const std::string_view said = text(need(object, field), field);
    if (names.empty()) return 0;
    const int index = index_of(names, said);
    if (index < 0)
        throw ConfigurationError(std::string("field '") + field + "' names the unknown '" +
                                 std::string(said) + "'");
    return index;
}

}  // namespace

Registration read_registration(std::string_view data, const Names& names) {
    rapidjson::Document root;
    root.Parse(data.data(), data.size());
    if (root.HasParseError() || !root.IsObject()) throw ConfigurationError("the data is not a JSON object");
    Registration r;
    r.address = text(need(root, "address"), "address");
    if (!parse_address(r.address))
        throw ConfigurationError("field 'address' is not an address and port: '" + r.address + "'");
    r.zone = named(names.zones, root, "zone");
    r.kind = named(names.kinds, root, "kind");
    r.cell = small(root, "cell", 0);
    r.started = number(root, "started_ms", 0) / 1e3;
    return r;
}

}  // namespace brookrelay
