// One day's scenario: the fleet, its work, who asks, and the troubles, as a TOML file says it. Read and
// checked here alone; the rehearsal plays it on sockets and a model may play it in simulated time. It holds
// no chance: what is drawn from a seed is drawn by whoever plays it.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "balancer/balancer.h"

namespace brookrelay {

using Curve = std::vector<std::pair<double, double>>;  // times rising; between the points a straight line
double at(const Curve& curve, double time, double otherwise);

struct ServerKind {
    std::string name = "box";
    int count = 4;
    int slots = 2;              // pieces of work at the same time
    int queue = 64;             // that wait; beyond it `busy`
    double speed = 1;           // against the work that operations name
    int keys = 4000;            // copies held, the longest unused goes first
    int connections = 512;      // open at once; beyond it they are refused
    double handshake = 200e-6;  // work that a new connection costs, seconds
    int crowded_from = 48;      // work waiting and running, from which each piece takes longer
    double crowding = 0.5;      // by this part, at twice as much
    double warm_after = 6;      // seconds from a cold start to the whole capacity, in a straight line
};

struct OriginKind {
    int slots = 8;
    int queue = 400;
    double speed = 1;
    double fall_multiple = 3;   // asked for more than this multiple of its capacity ...
    double fall_time = 2;       // ... for this long it stops; 0: never
    double halt = 3;            // for so long
    double limit_marked = 0.8;  // the part of its capacity that reports call its limit
    double reset_ratio = 0;     // of its answers that are lost with their connection; by the soak alone
};

struct OperationPlan {
    std::string name;
    Operation promised;  // what the nodes are told
    bool write = false;
    double share = 1;    // of the arrivals
    double work = 1e-3;  // at a cache that has the key, seconds of one slot
    double origin_work = 8e-3;
    int value_bytes = 200;
};

struct TenantPlan {
    std::string name;
    double share = 1;
    double quota = 0;
    std::vector<std::string> nodes = {},
                             then = {};  // where its clients come, and from `moves` on; empty: anywhere
    double moves = 0;
};

struct ClientsPlan {
    double rate = 500;  // invocations a second, before any further tries
    Curve curve;        // multiplies the rate
    int retries = 2;
    double wait = 0.15;  // before a further try, times a half to one and a half; doubled by each
    double patience_least = 0.6, patience_most = 1.0;  // of the client timeout: when a try is given up
    double leave = 0.02;  // part of the clients that leave before their time is up
    bool mark_repeats = true;
    double front_notices = 1;  // seconds until the front sends nothing more to a dead node
};

struct KeysPlan {
    std::uint64_t count = 20000;
    double skew = 0.9;   // of Zipf's law
    double drift = 0;    // ranks a second by which popularity moves on
    bool filled = true;  // caches begin with the most popular keys
};

enum class TroubleKind {
    silent,
    crash,
    slow,
    cold_return,
    void_copies,
    hot_key,
    origin_slow,
    origin_stop,
    scan,
    discovery_down,
    discovery_stale,
    discovery_restart,
    drain,
    remove,
    node_kill,
    node_restart,
    reload,
    reload_bad,
    spoilt,
    tricklers,
    non_readers,
    over_share,
    cut,
    lossy,
    late,
    doubled,
    reordered,
    garbled,
    freeze,
    starved,
    list_late,
    limits,
    count
};
const std::vector<std::string>& trouble_words();

struct Trouble {
    TroubleKind kind = TroubleKind::silent;
    double at = 0;
    double lasts = 0;              // 0: until the end, or at once where nothing lasts
    std::vector<std::string> who;  // servers or tenants, by name
    int node = 0;
    double factor = 5;
    double part = 1;
    int count = 10;
    std::vector<int> nodes;             // where several are struck together; else `node`
    std::vector<std::string> from, to;  // zones, servers, or nodes as n0, n1 ...; `to` empty: everybody else
    bool one_way = false;
    double delay = 0;   // s
    double origin = 0;  // the fleet's limit from then on, as the struck nodes are told
    // Of reloads, by the soak alone: how many in quick succession, and whether they list the operations in
    // another order and one more.
    int repeats = 1;
    bool rotates_operations = false;
};

struct Scenario {
    std::string path, name, about;
    std::uint64_t seed = 1;
    double length = 30;
    double count_from = 4;  // what is asked before is judged but not accounted
    int nodes = 2;
    std::vector<std::string> zones{"room-a"};
    std::vector<ServerKind> kinds;
    OriginKind origin;
    double discovery_lag = 0.15;
    bool discovery_asked = false;  // nodes ask for lists by turns; else an agent beside each has them
    double ask_every = 20;
    double discovery_calls =
        0;  // that it answers in a second, all nodes' together; others get 503; 0: any number
    // By the soak alone: bytes a second at which lists longer than a few pieces are sent; 0: at once.
    double list_rate = 0;
    bool stale_files = false;    // restarted nodes find the list of the run's start in their file
    bool signal_series = false;  // SIGHUP right before and after each SIGTERM
    int node_memory_mb = 192, node_descriptors = 1024, most_forwards = 5, most_open = 20000;
    double connect_timeout = 0.25, connection_idle = 15;
    bool talk = false;          // nodes tell each other what they see
    double talk_bytes = 1024;   // a second, of each
    bool talk_tenants = false;  // tenants' shares follow the demand over the fleet
    double talk_origin = 0;     // forwards a second to the origin of all nodes together; 0: no such limit
    double talk_cold = 0;       // and to one cache server while it is cold
    int talk_connections = 0;   // open to one cache server, of all nodes together
    bool talk_zones = true;     // leave a zone that is lost together, and take it back so
    bool has(TroubleKind kind) const;
    double answer_grace = 0.02, drain_grace = 0.3;
    double cold_from = 0.3, warm_within = 8, fall_multiple = 4, fall_time = 2;
    double longest_advice = 2, beyond_share_part = 0.1;
    std::vector<OperationPlan> operations;
    std::vector<TenantPlan> tenants;
    ClientsPlan clients;
    KeysPlan keys;
    std::vector<Trouble> troubles;

    std::vector<std::string> server_names() const;  // KIND-1, KIND-2 ... and at the end "origin"
    int kind_of(int server) const;                  // kinds.size() for the origin
    double capacity() const;                        // work a second that all warm caches can do
};

// `overrides`: PATH=VALUE, put over what the file says. Throws BadFile with every complaint.
Scenario read_scenario(const std::string& path, const std::vector<std::string>& overrides = {});

}  // namespace brookrelay
