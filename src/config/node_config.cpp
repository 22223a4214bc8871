#include "config/node_config.h"

#include <rapidjson/error/en.h>

#include <algorithm>
#include <fstream>
#include <iterator>

#include "util/address.h"
#include "util/parse_number.h"
#include "config/json.h"

namespace brookrelay {
namespace {

using rapidjson::Value;

constexpr int kDescriptorsUntold = 1024;
constexpr int kMemoryUntold = 192;
constexpr int kMemoryLeast = 16;       // the program itself takes some 4
constexpr int kDescriptorsLeast = 32;  // with fewer there is no room for clients, caches and the origin

int named(const std::vector<std::string>& names, const Value& server, const char* field) {
    const std::string_view said = text(need(server, field), field);
    const int index = index_of(names, said);
    if (index < 0) {
        throw BadInput(std::string("field '") + field + "' names the unknown '" + std::string(said) + "'");
    }
    return index;
}

std::string read_address(const Value& object, const char* field) {
    const std::string_view address = text(need(object, field), field);
    if (!parse_address(address)) {
        throw BadInput(std::string("field '") + field + "' is not an address and port: '" +
                       std::string(address) + "'");
    }
    return std::string(address);
}

ListedServer read_server(const Value& entry, const Names& names) {
    ListedServer s;
    s.name = text(need(entry, "host"), "host");
    s.standing = read_standing(need(entry, "health"), "health");
    // News that a server drains or is gone counts even if it says nothing else.
    const bool all = s.standing == Standing::ready;
    if (all || find(entry, "dial") != nullptr) s.address = read_address(entry, "dial");
    if (all || find(entry, "site") != nullptr) s.zone = named(names.zones, entry, "site");
    if (all || find(entry, "class") != nullptr) s.kind = named(names.kinds, entry, "class");
    s.cell = small(entry, "block", all ? 0 : -1);
    s.size = number(entry, "share", 0);
    if (s.size < 0) throw BadInput("field 'share' is under 0");
    s.born = number(entry, "born_ms", 0) / 1e3;
    return s;
}

std::uint64_t read_seed(const Value& value) {
    const std::string_view digits = text(value, "seed");
    std::uint64_t seed = 0;
    if (!read_digits(digits, seed, 16)) throw BadInput("field 'seed' is not a hexadecimal number");
    return seed;
}

// A list of servers is news, and says as much of each as there is to say.
constexpr std::string_view kNews = "known.hosts";

void give_keys(const Value& value, const std::string& path, GivenKeys& given) {
    if (path == kNews) return;
    if (value.IsArray()) {
        for (const Value& entry : value.GetArray()) {
            if (!entry.IsObject()) continue;
            give_keys(entry, path + "[]", given);
            const auto effect = entry.FindMember("repeat");
            if (effect == entry.MemberEnd() || !effect->value.IsString()) continue;
            give_keys(entry, path + "[" + effect->value.GetString() + "]", given);
        }
        return;
    }
    if (!value.IsObject()) return;
    std::set<std::string> keys;
    for (const auto& member : value.GetObject()) {
        const std::string key(member.name.GetString(), member.name.GetStringLength());
        // Which of the two would count is chance.
        if (!keys.insert(key).second) throw BadInput("key '" + key + "' stands twice");
        if (member.value.IsNull()) keys.erase(key);
        give_keys(member.value, path.empty() ? key : path + "." + key, given);
    }
    const auto [at, first] = given.try_emplace(path, keys);
    if (!first) std::erase_if(at->second, [&keys](const std::string& key) { return !keys.contains(key); });
}

// The first key that the one gives and the other lacks; empty: none.
std::string key_lacking(const GivenKeys& running, const GivenKeys& wanted) {
    for (const auto& [path, keys] : running) {
        const auto there = wanted.find(path);
        if (there == wanted.end())
            continue;  // the key that leads there is lacking, or no entry is of that effect
        for (const std::string& key : keys) {
            if (!there->second.contains(key)) return path.empty() ? key : path + "." + key;
        }
    }
    return {};
}

}  // namespace

ServerList read_server_list(const Value& value, const Names& names) {
    ServerList list;
    list.version = whole(need(value, "seq"), "seq");
    list.whole = flag(value, "whole");
    for (const Value& entry : need_list(value, "hosts").GetArray()) {
        try {
            list.servers.push_back(read_server(entry, names));
        } catch (const BadInput& bad) {
            list.complaints.emplace_back(bad.what());
        }
    }
    return list;
}

std::string cannot_be_live(const Station& running, const Station& wanted) {
    const auto zone = [](const Station& s) {
        const auto az = static_cast<std::size_t>(s.deployment.zone);
        return az < s.names.zones.size() ? s.names.zones[az] : std::string();
    };
    const auto origin = [](const Station& s) {
        const auto kind = static_cast<std::size_t>(std::max(0, s.deployment.origin_kind));
        return s.deployment.origin_kind >= 0 && kind < s.names.kinds.size() ? s.names.kinds[kind]
                                                                            : std::string();
    };
    const std::string lacking = key_lacking(running.given, wanted.given);
    if (!lacking.empty()) return "key '" + lacking + "' is missing, which the running configuration has";
    const char* field = nullptr;
    if (wanted.listen != running.listen) field = "'listen'";
    if (wanted.management != running.management) field = "'management'";
    if (wanted.descriptors != running.descriptors) field = "'limits.sockets'";
    if (wanted.memory_mb != running.memory_mb) field = "'limits.memory_mb'";
    if (zone(wanted) != zone(running)) field = "'az' (the node's own zone) in 'settings'";
    if (wanted.deployment.node != running.deployment.node) field = "'my_number' in 'settings'";
    // Forwards that are out there are counted as the origin's, and reads wait for them.
    if (origin(wanted) != origin(running)) field = "'specifics.origin_kind' in 'settings'";
    if (field == nullptr) return {};
    return std::string("field ") + field + " cannot change while the node runs";
}

Station read_station(const std::string& path) {
    std::ifstream file(path);
    if (!file) throw BadInput("cannot read the file");
    const std::string content{std::istreambuf_iterator<char>(file), {}};
    rapidjson::Document root;
    root.Parse(content.data(), content.size());
    if (root.HasParseError()) {
        throw BadInput(std::string("not JSON: ") + rapidjson::GetParseError_En(root.GetParseError()));
    }
    if (!root.IsObject()) throw BadInput("the configuration is not an object");
    Station s;
    give_keys(root, {}, s.given);
    s.name = text(need(root, "name"), "name");
    s.listen = read_address(root, "listen");
    s.discovery = read_address(root, "discovery");
    if (find(root, "management") != nullptr) s.management = read_address(root, "management");
    if (find(root, "peer_listen") != nullptr) s.peer_listen = read_address(root, "peer_listen");
    if (find(root, "peers") != nullptr) {
        for (const Value& peer : need_list(root, "peers").GetArray()) {
            s.peers.emplace_back(text(peer, "peers"));
            if (!parse_address(s.peers.back()))
                throw BadInput("field 'peers' holds no address and port: '" + s.peers.back() + "'");
        }
    }
    s.seed = read_seed(need(root, "seed"));
    s.descriptors = kDescriptorsUntold;
    s.memory_mb = kMemoryUntold;
    if (const Value* limits = find(root, "limits")) {
        s.descriptors = small(*limits, "sockets", kDescriptorsUntold);
        if (s.descriptors < kDescriptorsLeast) {
            throw BadInput("field 'limits.sockets' is under " + std::to_string(kDescriptorsLeast));
        }
        s.memory_mb = small(*limits, "memory_mb", kMemoryUntold);
        if (s.memory_mb < kMemoryLeast) {
            throw BadInput("field 'limits.memory_mb' is under " + std::to_string(kMemoryLeast));
        }
    }
    const Value& settings = need(root, "settings");
    try {
        s.deployment = read_deployment(settings);
        s.names = read_names(settings);
        if (const Value* allowed = find(settings, "permissions"))
            s.most_open = small(*allowed, "max_open", 0);
        if (const Value* prices = find(settings, "prices"))
            s.peer_price = std::max(0.0, number(*prices, "peer", 0));
        if (s.deployment.operations.empty()) throw BadInput("field 'operations' is empty");
    } catch (const BadInput& bad) {
        throw BadInput(std::string("in 'settings': ") + bad.what());
    }
    try {
        s.known = read_server_list(need(root, "known"), s.names);
        if (!s.known.complaints.empty()) throw BadInput(s.known.complaints.front());
    } catch (const BadInput& bad) {
        throw BadInput(std::string("in 'known': ") + bad.what());
    }
    return s;
}

}  // namespace brookrelay
