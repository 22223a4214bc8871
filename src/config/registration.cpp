#include "config/registration.h"

#include "config/json.h"
#include "util/address.h"

namespace brookrelay {
namespace {

int read_name_index(const std::vector<std::string>& names, const rapidjson::Value& object,
                    const char* field) {
    const std::string_view name = text(get_required_member(object, field), field);
    if (names.empty()) return 0;
    const int index = index_of(names, name);
    if (index < 0)
        throw ConfigurationError(std::string("field '") + field + "' names the unknown '" +
                                 std::string(name) + "'");
    return index;
}

}  // namespace

Registration read_registration(std::string_view data, const Names& names) {
    rapidjson::Document root;
    root.Parse(data.data(), data.size());
    if (root.HasParseError() || !root.IsObject()) throw ConfigurationError("the data is not a JSON object");
    Registration registration;
    registration.address = text(get_required_member(root, "address"), "address");
    if (!parse_address(registration.address))
        throw ConfigurationError("field 'address' is not an address and port: '" + registration.address +
                                 "'");
    registration.zone = read_name_index(names.zones, root, "zone");
    registration.kind = read_name_index(names.kinds, root, "kind");
    registration.cell = read_int(root, "cell", 0);
    registration.started = number(root, "started_ms", 0) / 1e3;
    return registration;
}

}  // namespace brookrelay
