// Interface of the decision module: what it is told at start, what can happen to it, and what it may do.
// Nothing is decided here; see balancer.cpp. All times are seconds. Caches, operations, tenants and
// invocations are small indices that whoever calls the module hands out at the door.
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace brookrelay {

enum class Repeat { idempotent, deduplicated, non_idempotent };
enum class Scope { all, zone, cell };
enum class Sizes { untold, fixed, live };  // live: lowered by what the cache holds, and late
enum class Standing { ready, draining, gone };
enum class ListKind { change, whole, disk };
enum class Ending { succeeded, errored, busy, timed_out, refused, reset, cancelled, not_sent, miss };

struct Operation {
    Repeat repeat = Repeat::idempotent;
    Scope scope = Scope::all;  // which caches drop a repeat of a deduplicated invocation
    double dedup_window = 0;   // and for how long after its first forward
    double latency_objective = 0;
    double client_timeout = 0;
    double billed_value = 1;
    double tardy_part = 0;  // part of the billed value that an answer after the objective still earns
    bool streamed = false;
};

struct Tenant {
    double quota = 0;  // invocations a second within its share, over all nodes; 0: no share is known
};

// What the node is told once, at start.
struct Deployment {
    int zone = 0;
    int zones = 1;
    int node = 0;
    int nodes = 1;
    double tick = 0;
    bool ask_for_list = false;
    double ask_every = 0;
    int origin_kind = -1;  // -1: caches fetch for themselves
    double origin_fall_multiple = 0;
    bool may_duplicate = true;
    bool may_cancel = false;
    bool may_probe = false;
    bool may_tell_peers = false;
    int most_forwards = 1;
    double longest_retry_advice = 0;  // 0: clients take no advice
    double connect_timeout = 0;
    double connection_idle = 0;  // an unused connection closes by itself after this; 0: never
    double answer_grace = 0;
    double drain_grace = 0;
    double cold_from = 1;
    double warm_within = 0;
    double fall_multiple = 0;
    double fall_time = 0;
    Sizes sizes = Sizes::untold;   // what the list tells of caches' sizes
    double beyond_share_part = 1;  // part of the billed value earned over a tenant's share
    std::vector<Operation> operations;
    std::vector<Tenant> tenants;
};

struct Listing {
    int cache = 0;
    std::string_view name;
    int zone = 0;
    int kind = 0;
    int cell = 0;
    double size = 0;  // against other caches' sizes, without a unit; load may lower it; 0: not told
    Standing standing = Standing::ready;
    double started = 0;  // 0: long ago
};

struct Arrival {
    int inv = 0;
    int operation = 0;
    int tenant = -1;
    bool write = false;
    bool repeat = false;  // the client says that it has asked before; not every client does
    bool has_key = false;
    std::uint64_t key = 0;
    double time_left = 0;
};

// What a node finds out only by forwards that come to nothing, for the process that takes its place.
struct Learned {
    struct OfCache {
        int cache = 0;
        double limit = 0;  // forwards trusted to it at a time
        double rest = 0;   // s without any
        bool suspect = false;
    };
    double reach = 0, pressure = 0, admitted = 1, origin_limit = 0, origin_pace = 0;
    std::vector<double> kind_shares;
    std::vector<OfCache> caches;
};

// What the module may do. The host carries calls out in their order; what comes of them is told later.
class Host {
  public:
    virtual ~Host() = default;
    virtual void forward(int inv, int cache, double limit) = 0;
    virtual void cancel(int inv, int forward) = 0;
    virtual void throttle(int inv, double retry_after) = 0;
    virtual void error(int inv) = 0;
    virtual void probe(int cache) = 0;
    virtual void release(int cache) = 0;  // closes this node's idle connections to it
    virtual void watch_list() = 0;
    virtual void wake(double after, std::uint64_t token) = 0;
    virtual void log(std::string_view text) = 0;
    // Whether one more forward may go to a cold cache by what other nodes leave to this one of all nodes'
    // together.
    virtual bool may_warm(int) { return true; }
};

// One method for each thing that can happen; `now` never goes back.
class Balancer {
  public:
    virtual ~Balancer() = default;
    virtual void listed(double now, ListKind kind, const std::vector<Listing>& entries) = 0;
    virtual void list_failed(double now) = 0;
    virtual void arrived(double now, const Arrival& arrival) = 0;
    // `over`: the invocation has had its final answer, with this outcome or before it.
    virtual void ended(double now, int inv, int forward, Ending ending, double took, bool over) = 0;
    virtual void stream_started(double now, int inv, int forward) = 0;
    virtual void client_left(double now, int inv) = 0;
    virtual void probed(double now, int cache, Ending ending, double took) = 0;
    virtual void woken(double now, std::uint64_t token) = 0;
    // Other settings from now on; the own zone and number stay what they were, and so does the origin's
    // place. What is open ends by the operation that it came with. Right after it the whole list is told
    // again, since zones and kinds may be numbered anew.
    virtual void redeployed(double now, const Deployment& deployment) = 0;
    // What it has learned so far; and what another one had, of caches that have been listed here by now.
    virtual Learned learned(double now) const = 0;
    virtual void recall(double now, const Learned& learned) = 0;
    // What other nodes find of a cache: bad, to be tried by this one every `apart` seconds at the most; or no
    // longer.
    virtual void vouched(double now, int cache, bool bad, double apart) = 0;
    // `part` of a zone's keys that nodes use there together; 0: left, and tried by this one every `apart` s.
    // `part` of a tenant's share that other nodes leave to this one; its own guess counts where that is more.
    virtual void tenant_part(double now, int tenant, double part) = 0;
    virtual void zone_share(double now, int zone, double part, double apart) = 0;
};

std::unique_ptr<Balancer> make_balancer(const Deployment& deployment, std::uint64_t seed, Host& host);

}  // namespace brookrelay
