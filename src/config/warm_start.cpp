#include "config/warm_start.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>

#include "config/deployment.h"
#include "config/json.h"

namespace brookrelay {
namespace {

void put(rapidjson::Writer<rapidjson::StringBuffer>& json, const char* key, double value) {
    json.Key(key);
    json.Double(value);
}

void put_name(rapidjson::Writer<rapidjson::StringBuffer>& json, const std::string& name) {
    json.Key("name");
    json.String(name.data(), static_cast<rapidjson::SizeType>(name.size()));
}

double figure(const rapidjson::Value& object, const char* name) { return number(need(object, name), name); }

}  // namespace

std::string learned_text(const Learned& learned, const std::vector<std::string>& kinds,
                         const std::function<std::string(int)>& name_of) {
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> json(buffer);
    json.StartObject();
    put(json, "reach", learned.reach);
    put(json, "pressure", learned.pressure);
    put(json, "admitted", learned.admitted);
    put(json, "origin_limit", learned.origin_limit);
    put(json, "origin_pace", learned.origin_pace);
    json.Key("kinds");
    json.StartArray();
    for (std::size_t k = 0; k < std::min(kinds.size(), learned.kind_shares.size()); ++k) {
        json.StartObject();
        put_name(json, kinds[k]);
        put(json, "share", learned.kind_shares[k]);
        json.EndObject();
    }
    json.EndArray();
    json.Key("caches");
    json.StartArray();
    for (const Learned::OfCache& c : learned.caches) {
        json.StartObject();
        put_name(json, name_of(c.cache));
        put(json, "limit", c.limit);
        put(json, "rest", c.rest);
        json.Key("suspect");
        json.Bool(c.suspect);
        json.EndObject();
    }
    json.EndArray();
    json.EndObject();
    return {buffer.GetString(), buffer.GetSize()};
}

std::optional<Learned> read_learned(const std::string& said, const std::vector<std::string>& kinds,
                                    const std::function<int(const std::string&)>& number_of) try {
    rapidjson::Document root;
    root.Parse(said.data(), said.size());
    if (root.HasParseError() || !root.IsObject()) return std::nullopt;
    Learned l;
    l.reach = figure(root, "reach");
    l.pressure = figure(root, "pressure");
    l.admitted = figure(root, "admitted");
    l.origin_limit = figure(root, "origin_limit");
    l.origin_pace = figure(root, "origin_pace");
    l.kind_shares.assign(kinds.size(), 1);
    for (const rapidjson::Value& k : need_list(root, "kinds").GetArray()) {
        const int at = index_of(kinds, text(need(k, "name"), "name"));
        if (at >= 0) l.kind_shares[static_cast<std::size_t>(at)] = figure(k, "share");
    }
    for (const rapidjson::Value& c : need_list(root, "caches").GetArray()) {
        const int cache = number_of(std::string(text(need(c, "name"), "name")));
        if (cache >= 0)
            l.caches.push_back({cache, figure(c, "limit"), figure(c, "rest"), flag(c, "suspect")});
    }
    return l;
} catch (const BadInput&) {
    return std::nullopt;
}

}  // namespace brookrelay
