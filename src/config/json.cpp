#include "config/json.h"

namespace brookrelay {

using rapidjson::Value;

const Value* find(const Value& object, const char* name) {
    if (!object.IsObject())
        throw ConfigurationError(std::string("the value that should contain field '") + name +
                                 "' is not an object");
    const auto member = object.FindMember(name);
    return member == object.MemberEnd() || member->value.IsNull() ? nullptr : &member->value;
}

const Value& get_required_member(const Value& object, const char* name) {
    const Value* value = find(object, name);
    if (value == nullptr) throw ConfigurationError(std::string("missing field '") + name + "'");
    return *value;
}

const Value& get_required_array(const Value& object, const char* name) {
    const Value& list = get_required_member(object, name);
    if (!list.IsArray()) throw ConfigurationError(std::string("field '") + name + "' is not an array");
    return list;
}

double number(const Value& value, const char* name) {
    if (!value.IsNumber()) throw ConfigurationError(std::string("field '") + name + "' is not a number");
    return value.GetDouble();
}

double number(const Value& object, const char* name, double default_value) {
    const Value* value = find(object, name);
    return value == nullptr ? default_value : number(*value, name);
}

double seconds(const Value& object, const char* name, double default_value) {
    return number(object, name, default_value * 1e6) / 1e6;
}

double duration(const Value& object, const char* name) {
    const double value = seconds(object, name);
    if (value < 0) throw ConfigurationError(std::string("field '") + name + "' is negative");
    return value;
}

std::int64_t whole(const Value& value, const char* name) {
    if (!value.IsInt64()) throw ConfigurationError(std::string("field '") + name + "' is not a whole number");
    return value.GetInt64();
}

int read_int(const Value& object, const char* name, int default_value) {
    const Value* value = find(object, name);
    if (value == nullptr) return default_value;
    if (!value->IsInt())
        throw ConfigurationError(std::string("field '") + name + "' is not a 32-bit whole number");
    return value->GetInt();
}

bool flag(const Value& object, const char* name, bool default_value) {
    const Value* value = find(object, name);
    if (value == nullptr) return default_value;
    if (!value->IsBool()) throw ConfigurationError(std::string("field '") + name + "' is not true or false");
    return value->GetBool();
}

std::string_view text(const Value& value, const char* name) {
    if (!value.IsString()) throw ConfigurationError(std::string("field '") + name + "' is not a string");
    return {value.GetString(), value.GetStringLength()};
}

}  // namespace brookrelay
