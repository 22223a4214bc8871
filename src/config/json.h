// Typed access to JSON values. A value of the wrong type is an error and is never replaced by a default: all
// functions throw ConfigurationError, which names the invalid field.
#pragma once

#include <rapidjson/document.h>

#include <array>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace brookrelay {

// A configuration or message that cannot be used; what() names the field.
struct ConfigurationError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// The member, or null if it is missing or JSON null.
const rapidjson::Value* find(const rapidjson::Value& object, const char* name);
// A required member; for get_required_array() it must be an array.
const rapidjson::Value& get_required_member(const rapidjson::Value& object, const char* name);
const rapidjson::Value& get_required_array(const rapidjson::Value& object, const char* name);
// Readers that take a value convert it; readers that take an object convert its member `name`, or return
// `default_value` if it is missing.
double number(const rapidjson::Value& value, const char* name);
double number(const rapidjson::Value& object, const char* name, double default_value);
// Convert microseconds in the file to seconds. duration() returns 0 for a missing member and rejects negative
// values.
double seconds(const rapidjson::Value& object, const char* name, double default_value = 0);
double duration(const rapidjson::Value& object, const char* name);
std::int64_t whole(const rapidjson::Value& value, const char* name);
int read_int(const rapidjson::Value& object, const char* name, int default_value);
bool flag(const rapidjson::Value& object, const char* name, bool default_value = false);
std::string_view text(const rapidjson::Value& value, const char* name);

// The strings that a field may have, each with the value that it stands for.
template <typename T, std::size_t N>
using Words = std::array<std::pair<std::string_view, T>, N>;

// The value that the field's string stands for.
template <typename T, std::size_t N>
T word(const rapidjson::Value& value, const char* name, const Words<T, N>& words) {
    const std::string_view found = text(value, name);
    for (const auto& [known, meaning] : words) {
        if (known == found) return meaning;
    }
    throw ConfigurationError(std::string("field '") + name + "' has the unknown value '" +
                             std::string(found) + "'");
}

}  // namespace brookrelay
