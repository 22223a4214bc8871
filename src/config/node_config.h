// What one node is told at its start, and discovery's list, which comes in the same form at the start and
// later. Read and checked here alone; nothing of it changes once it has been read.
#pragma once

#include <rapidjson/document.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "balancer/balancer.h"
#include "config/deployment.h"

namespace brookrelay {

// Of one that drains or is gone only the name need be told: an empty address and -1 mean "as it was".
struct EndpointRecord {
    std::string name;
    std::string address;  // where this node finds it
    int zone = -1;
    int kind = -1;
    int cell = -1;
    double weight = 0;  // as `share` gives it; 0: not told
    EndpointState state = EndpointState::ready;
    double started_at = 0;  // wall clock; 0: long ago
};

struct EndpointUpdate {
    std::int64_t version = 0;
    bool is_full = false;
    std::vector<EndpointRecord> servers;
    std::vector<std::string> errors;  // one for each entry that made no sense and was left out
};

// The keys that a file gives, by the path to each object. Entries of a list may come and go, so of a list it
// is the keys that all have, and of operations also those that all of one effect have.
using GivenKeys = std::map<std::string, std::set<std::string>>;

struct NodeConfig {
    std::string name;
    std::string listen;
    std::string discovery;
    std::string admin_listen;        // where operators call; empty: nowhere
    std::string peer_listen;         // where other nodes' datagrams come; empty: nowhere
    std::vector<std::string> peers;  // a node of the tier each, by number, this one among them
    double gossip_price = 0;         // of G for 256 bytes a first try, as the settings tell it
    std::string state_folder;        // the folder that all processes of this node share; empty: there is none
    std::uint64_t seed = 0;
    int descriptors = 0;
    int memory_mb = 0;
    int max_open_requests = 0;  // invocations that it may hold; 0: no limit is told
    Deployment deployment;
    Names names;
    EndpointUpdate cached_endpoints;
    GivenKeys given_keys;
};

EndpointUpdate parse_endpoint_update(const rapidjson::Value& list, const Names& names);
NodeConfig read_node_config(const std::string& path);
// Why a running node cannot take these settings in the place of those; empty: it can.
std::string why_not_reloadable(const NodeConfig& running, const NodeConfig& wanted);

}  // namespace brookrelay
