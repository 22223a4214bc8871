// Typed reading of JSON values, with complaints that name the faulty key. It owns nothing and never fills in
// a value that was given but is of the wrong type.
#pragma once

#include <rapidjson/document.h>

#include <array>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace brookrelay {

struct ConfigurationError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

const rapidjson::Value* find(const rapidjson::Value& object, const char* name);
const rapidjson::Value& need(const rapidjson::Value& object, const char* name);
const rapidjson::Value& need_list(const rapidjson::Value& object, const char* name);
double number(const rapidjson::Value& value, const char* name);
double number(const rapidjson::Value& object, const char* name, double otherwise);
double seconds(const rapidjson::Value& object, const char* name, double otherwise = 0);  // given in us
double duration(const rapidjson::Value& object, const char* name);  // the same, 0 if untold, never under 0
std::int64_t whole(const rapidjson::Value& value, const char* name);
int small(const rapidjson::Value& object, const char* name, int otherwise);
bool flag(const rapidjson::Value& object, const char* name, bool otherwise = false);
std::string_view text(const rapidjson::Value& value, const char* name);

template <typename T, std::size_t N>
using Words = std::array<std::pair<std::string_view, T>, N>;

template <typename T, std::size_t N>
T word(const rapidjson::Value& value, const char* name, const Words<T, N>& words) {
    const std::string_view said = text(value, name);
    for (const auto& [known, meaning] : words) {
        if (known == said) return meaning;
    }
    throw ConfigurationError(std::string("field '") + name + "' has the unknown value '" + std::string(said) +
                             "'");
}

}  // namespace brookrelay
