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

std::string format_warm_start(const WarmStartSnapshot& learned, const std::vector<std::string>& kinds,
                              const std::function<std::string(int)>& name_of) {
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> json(buffer);
    json.StartObject();
    put(json, "reach", learned.spillover_ratio);
    put(json, "pressure", learned.shedding_ratio);
    put(json, "admitted", learned.admission_ratio);
    put(json, "origin_limit", learned.origin_concurrency_limit);
    put(json, "origin_pace", learned.origin_latency);
    json.Key("kinds");
    json.StartArray();
    for (std::size_t k = 0; k < std::min(kinds.size(), learned.kind_traffic_shares.size()); ++k) {
        json.StartObject();
        put_name(json, kinds[k]);
        put(json, "share", learned.kind_traffic_shares[k]);
        json.EndObject();
    }
    json.EndArray();
    json.Key("caches");
    json.StartArray();
    for (const WarmStartSnapshot::ServerSnapshot& c : learned.servers) {
        json.StartObject();
        put_name(json, name_of(c.server));
        put(json, "limit", c.concurrency_limit);
        put(json, "rest", c.backoff_remaining);
        json.Key("suspect");
        json.Bool(c.ejected);
        json.EndObject();
    }
    json.EndArray();
    json.EndObject();
    return {buffer.GetString(), buffer.GetSize()};
}

std::optional<WarmStartSnapshot> parse_warm_start(
    const std::string& said, const std::vector<std::string>& kinds,
    const std::function<int(const std::string&)>& number_of) try {
    rapidjson::Document root;
    root.Parse(said.data(), said.size());
    if (root.HasParseError() || !root.IsObject()) return std::nullopt;
    WarmStartSnapshot l;
    l.spillover_ratio = figure(root, "reach");
    l.shedding_ratio = figure(root, "pressure");
    l.admission_ratio = figure(root, "admitted");
    l.origin_concurrency_limit = figure(root, "origin_limit");
    l.origin_latency = figure(root, "origin_pace");
    l.kind_traffic_shares.assign(kinds.size(), 1);
    for (const rapidjson::Value& k : need_list(root, "kinds").GetArray()) {
        const int at = index_of(kinds, text(need(k, "name"), "name"));
        if (at >= 0) l.kind_traffic_shares[static_cast<std::size_t>(at)] = figure(k, "share");
    }
    for (const rapidjson::Value& c : need_list(root, "caches").GetArray()) {
        const int cache = number_of(std::string(text(need(c, "name"), "name")));
        if (cache >= 0)
            l.servers.push_back({cache, figure(c, "limit"), figure(c, "rest"), flag(c, "suspect")});
    }
    return l;
} catch (const ConfigurationError&) {
    return std::nullopt;
}

}  // namespace brookrelay
