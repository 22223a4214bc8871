// A scenario file in TOML: the fleet, its operations, the clients and the troubles of one simulated day. This
// is the only place that parses and validates it; the rehearsal runs it on sockets, and a model may run it in
// simulated time. A scenario has no random values: whoever runs it draws them from the seed.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "balancer/balancer.h"

namespace brookrelay {

// Points of time in seconds and value, in ascending order of time, with linear interpolation between them.
using Curve = std::vector<std::pair<double, double>>;
// The value of the curve at `time`; `default_value` for an empty curve.
double at(const Curve& curve, double time, double default_value);

// A kind of cache servers.
struct ServerKind {
    std::string name = "box";
    int count = 4;
    int slots = 2;              // requests that run at the same time
    int queue = 64;             // requests that wait; further ones are answered `busy`
    double speed = 1;           // relative to the work that operations specify
    int keys = 4000;            // cached keys; the least recently used is evicted first
    int connections = 512;      // open at the same time; further ones are refused
    double handshake = 200e-6;  // seconds of work for a new connection
    int crowded_from = 48;      // waiting and running requests from which on each takes longer
    double crowding = 0.5;      // relative slowdown at twice `crowded_from`
    double warm_after = 6;      // seconds of linear growth from a cold start to full capacity
};

// The origin, which overloads when demand stays above a multiple of its capacity.
struct OriginKind {
    int slots = 8;
    int queue = 400;
    double speed = 1;
    double fall_multiple = 3;   // demand above this multiple of its capacity overloads it
    double fall_time = 2;       // seconds of such demand after which it stops
    double halt = 3;            // seconds that it stays stopped
    double limit_marked = 0.8;  // ratio of its capacity that reports mark as its limit
    double reset_ratio = 0;     // ratio of responses lost with their connection; set only by the soak
};

// An operation that clients request.
struct OperationPlan {
    std::string name;
    Operation promised;  // as configured on the nodes
    bool write = false;
    double share = 1;           // relative share of the arrivals
    double work = 1e-3;         // seconds of one slot of a cache server that has the key
    double origin_work = 8e-3;  // seconds of one slot of the origin
    int value_bytes = 200;
};

struct TenantPlan {
    std::string name;
    double share = 1;  // relative share of the arrivals
    double quota = 0;  // requests per second; 0: none
    // Nodes that its clients use, and those that they use from `moves` on; empty: any.
    std::vector<std::string> nodes = {}, then = {};
    double moves = 0;  // seconds since the start; 0: never
};

struct ClientsPlan {
    double rate = 500;   // requests per second, without client retries
    Curve curve;         // factor of the rate over time
    int retries = 2;     // per client
    double wait = 0.15;  // seconds before a client retry, times 0.5 to 1.5, doubled by each retry
    // Range of the ratio of the client timeout after which a client gives a request up.
    double patience_least = 0.6, patience_most = 1.0;
    double leave = 0.02;       // ratio of the clients that close the connection before that
    bool mark_repeats = true;  // retries say that they are retries
    double front_notices = 1;  // seconds until the load balancer in front stops using a dead node
};

struct KeysPlan {
    std::uint64_t count = 20000;
    double skew = 0.9;   // exponent of the Zipf distribution
    double drift = 0;    // ranks per second by which the popularity shifts over the keys
    bool filled = true;  // caches start with the most popular keys
};

// The kinds of trouble, in the order of trouble_names().
enum class TroubleKind {
    silent,           // servers send nothing and accept no connections
    crash,            // servers stop and restart cold; discovery removes them meanwhile
    slow,             // servers are slower by `factor`
    cold_return,      // servers restart cold at once
    void_copies,      // each cache server loses `part` of its keys
    hot_key,          // `part` of the requests are for one key
    origin_slow,      // the origin is slower by `factor`
    origin_stop,      // the origin stops
    scan,             // additional requests, `part` of the rate, each for a new key
    discovery_down,   // discovery does not respond
    discovery_stale,  // discovery holds its updates back
    // versions start again; servers in `who` (set only by tests) are left out, for `lasts` if given
    discovery_restart,
    drain,         // discovery announces servers as draining
    remove,        // servers are announced as draining, then removed, and stop
    node_kill,     // nodes are killed and started again
    node_restart,  // nodes are terminated and started again
    reload,        // a node reloads its configuration
    reload_bad,    // a node is signalled to reload a truncated configuration
    spoilt,        // `part` of the values that servers return are malformed
    tricklers,     // `count` clients that write slowly
    non_readers,   // `count` clients that do not read
    over_share,    // tenants send `factor` times their share
    cut,           // links transfer nothing
    lossy,         // links lose `part` of the datagrams
    late,          // links delay `part` of the datagrams by `delay`
    doubled,       // links duplicate `part` of the datagrams
    reordered,     // links delay `part` of the datagrams by up to `delay`
    garbled,       // links corrupt `part` of the datagrams
    freeze,        // nodes are stopped by SIGSTOP
    starved,       // nodes are stopped for `part` of each second; 1, the default of `part`, means 0.8
    list_late,     // discovery holds its updates for nodes back
    limits,        // the fleet's limit for the origin changes to `origin`
    count          // the number of kinds
};
// The names of the kinds in scenario files.
const std::vector<std::string>& trouble_names();

// A fault, or a change of the demand or the configuration, at a given time.
struct Trouble {
    TroubleKind kind = TroubleKind::silent;
    double at = 0;                      // seconds since the start
    double lasts = 0;                   // seconds; 0: a default of the kind, or without an end
    std::vector<std::string> who;       // servers or tenants, by name
    int node = 0;                       // the affected node, if `nodes` is empty
    double factor = 5;                  // see TroubleKind
    double part = 1;                    // see TroubleKind; a ratio
    int count = 10;                     // see TroubleKind
    std::vector<int> nodes;             // nodes affected at the same time
    std::vector<std::string> from, to;  // zones, servers, or nodes as n0, n1 ...; `to` empty: all others
    bool one_way = false;               // affects only the direction from `from` to `to`
    double delay = 0;                   // seconds
    double origin = 0;  // `limits`: the fleet's new limit for the origin, as configured on the affected nodes
    // `reload`, set only by the soak: the number of reloads in quick succession, and whether they list the
    // operations in another order with one more.
    int repeats = 1;
    bool rotates_operations = false;
};

struct Scenario {
    std::string path, name, about;
    std::uint64_t seed = 1;
    double length = 30;
    double count_from = 4;  // seconds; earlier requests are checked but not accounted
    int nodes = 2;
    std::vector<std::string> zones{"room-a"};
    std::vector<ServerKind> kinds;
    OriginKind origin;
    double discovery_lag = 0.15;
    bool discovery_asked = false;  // nodes poll the endpoint list; else an agent at each node pushes it
    double ask_every = 20;         // seconds between polls
    double discovery_calls = 0;    // answered per second for all nodes, others get 503; 0: not limited
    // Bytes per second at which endpoint lists longer than one piece are sent, set only by the soak; 0: at
    // once.
    double list_rate = 0;
    bool stale_files = false;    // restarted nodes have the endpoint list of the run's start in their file
    bool signal_series = false;  // a SIGHUP right before and after each SIGTERM
    int node_memory_mb = 192, node_descriptors = 1024, most_forwards = 5, most_open = 20000;
    double connect_timeout = 0.25, connection_idle = 15;
    bool talk = false;          // nodes gossip
    double talk_bytes = 1024;   // bytes of gossip per second and node
    bool talk_tenants = false;  // tenants' quota shares follow the demand over the fleet
    double talk_origin = 0;     // attempts per second of all nodes to the origin; 0: not limited
    double talk_cold = 0;       // attempts per second of all nodes to one cold cache server; 0: not limited
    int talk_connections = 0;   // connections of all nodes to one cache server; 0: not limited
    bool talk_zones = true;     // nodes fail over from a lost zone, and back, together
    bool has(TroubleKind kind) const;
    double answer_grace = 0.02, drain_grace = 0.3;
    double cold_from = 0.3, warm_within = 8, fall_multiple = 4, fall_time = 2;
    double longest_advice = 2, beyond_share_part = 0.1;
    std::vector<OperationPlan> operations;
    std::vector<TenantPlan> tenants;
    ClientsPlan clients;
    KeysPlan keys;
    std::vector<Trouble> troubles;

    std::vector<std::string> server_names() const;  // KIND-1, KIND-2 ... of all kinds, and last "origin"
    int kind_of(int server) const;                  // kinds.size() for the origin
    double capacity() const;  // seconds of work per second that all warm cache servers can do
};

// Each of `overrides` is PATH=VALUE and replaces a value in the file. Throws ConfigurationFileError with all
// errors.
Scenario read_scenario(const std::string& path, const std::vector<std::string>& overrides = {});

}  // namespace brookrelay
