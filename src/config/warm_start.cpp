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

constexpr const char* kBootKey = "boot";
constexpr const char* kWrittenAtKey = "written_at";

double required_number(const rapidjson::Value& object, const char* name) {
    return number(get_required_member(object, name), name);
}

}  // namespace

std::string format_warm_start(const WarmStartSnapshot& snapshot, const std::vector<std::string>& kinds,
                              const std::function<std::string(int)>& name_of) {
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> json(buffer);
    json.StartObject();
    put(json, "reach", snapshot.spillover_ratio);
    put(json, "pressure", snapshot.shedding_ratio);
    put(json, "admitted", snapshot.admission_ratio);
    put(json, "origin_limit", snapshot.origin_concurrency_limit);
    put(json, "origin_pace", snapshot.origin_latency);
    json.Key("kinds");
    json.StartArray();
    for (std::size_t k = 0; k < std::min(kinds.size(), snapshot.kind_traffic_shares.size()); ++k) {
        json.StartObject();
        put_name(json, kinds[k]);
        put(json, "share", snapshot.kind_traffic_shares[k]);
        json.EndObject();
    }
    json.EndArray();
    json.Key("caches");
    json.StartArray();
    for (const WarmStartSnapshot::ServerSnapshot& server : snapshot.servers) {
        json.StartObject();
        put_name(json, name_of(server.server));
        put(json, "limit", server.concurrency_limit);
        put(json, "rest", server.backoff_remaining);
        json.Key("suspect");
        json.Bool(server.ejected);
        json.EndObject();
    }
    json.EndArray();
    json.EndObject();
    return {buffer.GetString(), buffer.GetSize()};
}

std::optional<WarmStartSnapshot> parse_warm_start(
    const std::string& content, const std::vector<std::string>& kinds,
    const std::function<int(const std::string&)>& index_of_server) try {
    rapidjson::Document root;
    root.Parse(content.data(), content.size());
    if (root.HasParseError() || !root.IsObject()) return std::nullopt;
    WarmStartSnapshot snapshot;
    snapshot.spillover_ratio = required_number(root, "reach");
    snapshot.shedding_ratio = required_number(root, "pressure");
    snapshot.admission_ratio = required_number(root, "admitted");
    snapshot.origin_concurrency_limit = required_number(root, "origin_limit");
    snapshot.origin_latency = required_number(root, "origin_pace");
    snapshot.kind_traffic_shares.assign(kinds.size(), 1);
    for (const rapidjson::Value& k : get_required_array(root, "kinds").GetArray()) {
        const int at = index_of(kinds, text(get_required_member(k, "name"), "name"));
        if (at >= 0) snapshot.kind_traffic_shares[static_cast<std::size_t>(at)] = required_number(k, "share");
    }
    for (const rapidjson::Value& c : get_required_array(root, "caches").GetArray()) {
        const int server = index_of_server(std::string(text(get_required_member(c, "name"), "name")));
        if (server >= 0)
            snapshot.servers.push_back(
                {server, required_number(c, "limit"), required_number(c, "rest"), flag(c, "suspect")});
    }
    return snapshot;
} catch (const ConfigurationError&) {
    return std::nullopt;
}

std::string with_written_at(std::string snapshot_text, const BootTime& written_at) {
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> json(buffer);
    json.StartObject();
    json.Key(kBootKey);
    json.String(written_at.boot_id.data(), static_cast<rapidjson::SizeType>(written_at.boot_id.size()));
    put(json, kWrittenAtKey, written_at.seconds);
    json.EndObject();
    // Inserts the members of the new object before those of the snapshot, which is an object too.
    const std::string members(buffer.GetString() + 1, buffer.GetSize() - 2);
    return snapshot_text.insert(1, members + ",");
}

std::optional<BootTime> parse_written_at(const std::string& content) try {
    rapidjson::Document root;
    root.Parse(content.data(), content.size());
    if (root.HasParseError() || !root.IsObject()) return std::nullopt;
    return BootTime{std::string(text(get_required_member(root, kBootKey), kBootKey)),
                    required_number(root, kWrittenAtKey)};
} catch (const ConfigurationError&) {
    return std::nullopt;
}

}  // namespace brookrelay
