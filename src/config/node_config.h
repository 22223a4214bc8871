// The configuration file of one node (the platform's JSON), and discovery's endpoint list, which has the same
// form in the file and in later updates. The result does not change once it has been read. Errors are thrown
// as ConfigurationError, which names the faulty field.
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

// One entry of the endpoint list. A draining or removed one may have only its name: an empty address and -1
// mean "unchanged".
struct EndpointRecord {
    std::string name;
    std::string address;  // HOST:PORT, as reachable from this node
    int zone = -1;
    int kind = -1;
    int cell = -1;
    double weight = 0;  // the field `share`; 0: not given
    EndpointState state = EndpointState::ready;
    double started_at = 0;  // wall clock, s; 0: long ago
};

// The endpoint list, or a change of it.
struct EndpointUpdate {
    std::int64_t version = 0;
    bool is_full = false;
    std::vector<EndpointRecord> servers;
    std::vector<std::string> errors;  // one for each invalid entry, which is skipped
    std::size_t size = 0;             // bytes as received; 0: not received from discovery
    double first_byte_at = 0;         // monotonic, s; when the first of them was read
};

// The keys that a file gives, by the path to each object. Entries of a list may be added and removed, so a
// list has the keys that all its entries have, and operations also those that all of one idempotency have.
using GivenKeys = std::map<std::string, std::set<std::string>>;

// All that one node is configured with.
struct NodeConfig {
    std::string name;
    std::string listen;
    std::string discovery;
    std::string admin_listen;        // of the operators' interface; empty: none
    std::string peer_listen;         // for gossip datagrams; empty: none
    std::vector<std::string> peers;  // all nodes of the tier by index, with this one
    double gossip_price = 0;         // of G for 256 bytes per first attempt, as in the settings
    std::string state_folder;        // shared by all processes of this node; empty: none
    std::uint64_t seed = 0;
    int descriptors = 0;
    int memory_mb = 0;
    int max_open_requests = 0;  // 0: no limit is given
    Deployment deployment;
    Names names;
    EndpointUpdate cached_endpoints;
    GivenKeys given_keys;
};

// Skips invalid entries, and throws ConfigurationError if the list itself is invalid.
EndpointUpdate parse_endpoint_update(const rapidjson::Value& list, const Names& names);
// Throws ConfigurationError.
NodeConfig read_node_config(const std::string& path);
// Why a running node cannot switch to `wanted`; empty if it can.
std::string why_not_reloadable(const NodeConfig& running, const NodeConfig& wanted);

}  // namespace brookrelay
