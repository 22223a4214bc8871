// The configuration file of one node (the platform's JSON), and discovery's endpoint list, which has the same
// format in the file and in later updates. Errors are thrown as ConfigurationError, which names the invalid
// field.
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

// One entry of the endpoint list. A draining or removed server may have a name only: an empty address and an
// index of -1 mean "unchanged".
struct EndpointRecord {
    std::string name;
    std::string address;  // HOST:PORT, as reachable from this node
    int zone = -1;
    int kind = -1;
    int cell = -1;
    double weight = 0;  // the field `share`; 0: not given
    EndpointState state = EndpointState::ready;
    double started_at = 0;  // Unix time in seconds; 0: long ago
};

// A full endpoint list, or a change of it.
struct EndpointUpdate {
    std::int64_t version = 0;
    bool is_full = false;  // false: servers that it does not list are unchanged
    std::vector<EndpointRecord> servers;
    std::vector<std::string> errors;  // one for each invalid entry, which is skipped
    std::size_t size = 0;             // bytes as received; 0: not received from discovery
    double first_byte_at = 0;         // monotonic time in seconds at which the first byte was read
};

// The keys in a file, by the path of each object. Entries of an array may be added and removed, so an array
// has the keys that all its entries have, and operations also have the keys that all of one idempotency have.
using GivenKeys = std::map<std::string, std::set<std::string>>;

// The complete configuration of one node.
struct NodeConfig {
    std::string name;
    std::string listen;
    std::string discovery;
    std::string admin_listen;        // of the admin server; empty: none
    std::string peer_listen;         // for gossip datagrams; empty: none
    std::vector<std::string> peers;  // all nodes by index, including this one
    double gossip_price = 0;         // of 256 bytes per first attempt, in units of G as in the settings
    std::string state_folder;        // shared by all processes of this node; empty: none
    std::uint64_t seed = 0;
    int descriptors = 0;
    int memory_mb = 0;
    int max_open_requests = 0;  // 0: not limited
    Deployment deployment;
    Names names;
    EndpointUpdate cached_endpoints;
    GivenKeys given_keys;
};

// Skips invalid entries, and throws ConfigurationError if the list itself is invalid.
EndpointUpdate parse_endpoint_update(const rapidjson::Value& list, const Names& names);
// Reads and validates the file. Throws ConfigurationError.
NodeConfig read_node_config(const std::string& path);
// The reason why a running node cannot reload `wanted`; empty if it can.
std::string why_not_reloadable(const NodeConfig& running, const NodeConfig& wanted);

}  // namespace brookrelay
