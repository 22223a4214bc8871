#include "config/node_config.h"

#include <rapidjson/error/en.h>

#include <algorithm>
#include <fstream>
#include <iterator>

#include "config/json.h"
#include "util/address.h"
#include "util/parse_number.h"

namespace brookrelay {
namespace {

using rapidjson::Value;

constexpr int kDefaultDescriptors = 1024;
constexpr int kDefaultMemoryMb = 192;
constexpr int kMinMemoryMb = 16;     // the program itself uses about 4
constexpr int kMinDescriptors = 32;  // for clients, servers and the origin

int read_name_index(const std::vector<std::string>& names, const Value& server, const char* field) {
    const std::string_view name = text(get_required_member(server, field), field);
    const int index = index_of(names, name);
    if (index < 0) {
        throw ConfigurationError(std::string("field '") + field + "' names the unknown '" +
                                 std::string(name) + "'");
    }
    return index;
}

std::string read_address(const Value& object, const char* field) {
    const std::string_view address = text(get_required_member(object, field), field);
    if (!parse_address(address)) {
        throw ConfigurationError(std::string("field '") + field + "' is not an address and port: '" +
                                 std::string(address) + "'");
    }
    return std::string(address);
}

EndpointRecord read_server(const Value& entry, const Names& names) {
    EndpointRecord server;
    server.name = text(get_required_member(entry, "host"), "host");
    server.state = parse_endpoint_state(get_required_member(entry, "health"), "health");
    // A draining or removed server needs only its name and state.
    const bool is_ready = server.state == EndpointState::ready;
    if (is_ready || find(entry, "dial") != nullptr) server.address = read_address(entry, "dial");
    if (is_ready || find(entry, "site") != nullptr) server.zone = read_name_index(names.zones, entry, "site");
    if (is_ready || find(entry, "class") != nullptr)
        server.kind = read_name_index(names.kinds, entry, "class");
    server.cell = read_int(entry, "block", is_ready ? 0 : -1);
    server.weight = number(entry, "share", 0);
    if (server.weight < 0) throw ConfigurationError("field 'share' is negative");
    server.started_at = number(entry, "born_ms", 0) / 1e3;
    return server;
}

std::uint64_t read_seed(const Value& value) {
    const std::string_view digits = text(value, "seed");
    std::uint64_t seed = 0;
    if (!parse_number(digits, seed, 16)) throw ConfigurationError("field 'seed' is not a hexadecimal number");
    return seed;
}

// The endpoint list changes at run time, so its keys are not part of the comparison at a reload.
constexpr std::string_view kEndpointListPath = "known.hosts";

void collect_keys(const Value& value, const std::string& path, GivenKeys& keys_by_path) {
    if (path == kEndpointListPath) return;
    if (value.IsArray()) {
        for (const Value& entry : value.GetArray()) {
            if (!entry.IsObject()) continue;
            collect_keys(entry, path + "[]", keys_by_path);
            const auto idempotency = entry.FindMember("repeat");
            if (idempotency == entry.MemberEnd() || !idempotency->value.IsString()) continue;
            collect_keys(entry, path + "[" + idempotency->value.GetString() + "]", keys_by_path);
        }
        return;
    }
    if (!value.IsObject()) return;
    std::set<std::string> keys;
    for (const auto& member : value.GetObject()) {
        const std::string key(member.name.GetString(), member.name.GetStringLength());
        // JSON does not define which of two equal keys applies.
        if (!keys.insert(key).second) throw ConfigurationError("key '" + key + "' appears twice");
        if (member.value.IsNull()) keys.erase(key);
        collect_keys(member.value, path.empty() ? key : path + "." + key, keys_by_path);
    }
    const auto [at, is_first] = keys_by_path.try_emplace(path, keys);
    if (!is_first) std::erase_if(at->second, [&keys](const std::string& key) { return !keys.contains(key); });
}

// The path of the first key that `running` has and `wanted` lacks; empty if there is none.
std::string first_missing_key(const GivenKeys& running, const GivenKeys& wanted) {
    for (const auto& [path, keys] : running) {
        const auto found = wanted.find(path);
        if (found == wanted.end())
            continue;  // the parent key is reported as missing, or no operation has that idempotency
        for (const std::string& key : keys) {
            if (!found->second.contains(key)) return path.empty() ? key : path + "." + key;
        }
    }
    return {};
}

rapidjson::Document parse_file(const std::string& path) {
    std::ifstream file(path);
    if (!file) throw ConfigurationError("cannot read the file");
    const std::string content{std::istreambuf_iterator<char>(file), {}};
    rapidjson::Document root;
    root.Parse(content.data(), content.size());
    if (root.HasParseError()) {
        throw ConfigurationError(std::string("not JSON: ") +
                                 rapidjson::GetParseError_En(root.GetParseError()));
    }
    return root;
}

void read_addresses(const Value& root, NodeConfig& config) {
    config.listen = read_address(root, "listen");
    config.discovery = read_address(root, "discovery");
    if (find(root, "management") != nullptr) config.admin_listen = read_address(root, "management");
    if (find(root, "peer_listen") != nullptr) config.peer_listen = read_address(root, "peer_listen");
    if (find(root, "peers") == nullptr) return;
    for (const Value& peer : get_required_array(root, "peers").GetArray()) {
        config.peers.emplace_back(text(peer, "peers"));
        if (!parse_address(config.peers.back())) {
            throw ConfigurationError("field 'peers' has an entry that is not an address and port: '" +
                                     config.peers.back() + "'");
        }
    }
}

void read_limits(const Value& root, NodeConfig& config) {
    config.descriptors = kDefaultDescriptors;
    config.memory_mb = kDefaultMemoryMb;
    const Value* limits = find(root, "limits");
    if (limits == nullptr) return;
    config.descriptors = read_int(*limits, "sockets", kDefaultDescriptors);
    if (config.descriptors < kMinDescriptors) {
        throw ConfigurationError("field 'limits.sockets' is less than " + std::to_string(kMinDescriptors));
    }
    config.memory_mb = read_int(*limits, "memory_mb", kDefaultMemoryMb);
    if (config.memory_mb < kMinMemoryMb) {
        throw ConfigurationError("field 'limits.memory_mb' is less than " + std::to_string(kMinMemoryMb));
    }
}

void read_settings(const Value& settings, NodeConfig& config) {
    config.deployment = read_deployment(settings);
    config.names = read_names(settings);
    if (const Value* permissions = find(settings, "permissions"))
        config.max_open_requests = read_int(*permissions, "max_open", 0);
    if (const Value* prices = find(settings, "prices"))
        config.gossip_price = std::max(0.0, number(*prices, "peer", 0));
    if (config.deployment.operations.empty()) throw ConfigurationError("field 'operations' is empty");
}

}  // namespace

EndpointUpdate parse_endpoint_update(const Value& value, const Names& names) {
    EndpointUpdate list;
    list.version = whole(get_required_member(value, "seq"), "seq");
    list.is_full = flag(value, "whole");
    for (const Value& entry : get_required_array(value, "hosts").GetArray()) {
        try {
            list.servers.push_back(read_server(entry, names));
        } catch (const ConfigurationError& error) {
            list.errors.emplace_back(error.what());
        }
    }
    return list;
}

std::string why_not_reloadable(const NodeConfig& running, const NodeConfig& wanted) {
    const auto zone = [](const NodeConfig& config) {
        const auto zone_index = static_cast<std::size_t>(config.deployment.zone);
        return zone_index < config.names.zones.size() ? config.names.zones[zone_index] : std::string();
    };
    const auto origin = [](const NodeConfig& config) {
        const auto kind = static_cast<std::size_t>(std::max(0, config.deployment.origin_kind));
        return config.deployment.origin_kind >= 0 && kind < config.names.kinds.size()
                   ? config.names.kinds[kind]
                   : std::string();
    };
    const std::string missing_key = first_missing_key(running.given_keys, wanted.given_keys);
    if (!missing_key.empty())
        return "key '" + missing_key + "' is missing, which the running configuration has";
    const char* field = nullptr;
    if (wanted.listen != running.listen) field = "'listen'";
    if (wanted.admin_listen != running.admin_listen) field = "'management'";
    if (wanted.descriptors != running.descriptors) field = "'limits.sockets'";
    if (wanted.memory_mb != running.memory_mb) field = "'limits.memory_mb'";
    if (zone(wanted) != zone(running)) field = "'az' (the node's own zone) in 'settings'";
    if (wanted.deployment.node_index != running.deployment.node_index) field = "'my_number' in 'settings'";
    // Attempts in flight are accounted to the origin, and reads wait for them, so the origin cannot change.
    if (origin(wanted) != origin(running)) field = "'specifics.origin_kind' in 'settings'";
    if (field == nullptr) return {};
    return std::string("field ") + field + " cannot change while the node runs";
}

NodeConfig read_node_config(const std::string& path) {
    const rapidjson::Document root = parse_file(path);
    if (!root.IsObject()) throw ConfigurationError("the configuration is not an object");
    NodeConfig config;
    collect_keys(root, {}, config.given_keys);
    config.name = text(get_required_member(root, "name"), "name");
    read_addresses(root, config);
    config.seed = read_seed(get_required_member(root, "seed"));
    read_limits(root, config);
    const Value& settings = get_required_member(root, "settings");
    try {
        read_settings(settings, config);
    } catch (const ConfigurationError& error) {
        throw ConfigurationError(std::string("in 'settings': ") + error.what());
    }
    try {
        config.cached_endpoints = parse_endpoint_update(get_required_member(root, "known"), config.names);
        if (!config.cached_endpoints.errors.empty())
            throw ConfigurationError(config.cached_endpoints.errors.front());
    } catch (const ConfigurationError& error) {
        throw ConfigurationError(std::string("in 'known': ") + error.what());
    }
    return config;
}

}  // namespace brookrelay
