// Interface of the decision module: what it is told at start, what can happen to it, and what it may do.
// Nothing is decided here; see balancer.cpp. All times are seconds. Caches, operations, tenants and
// invocations are small indices that whoever calls the module hands out at the door.
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace brookrelay {

enum class Idempotency { idempotent, idempotency_key, none };
enum class DeduplicationScope { all, zone, cell };
enum class EndpointWeights {
    absent,
    fixed,
    load_adjusted
};  // live: lowered by what the cache holds, and late
enum class EndpointState { ready, draining, removed };
enum class UpdateKind { delta, full, cached_on_disk };
enum class AttemptOutcome { succeeded, failed, busy, timed_out, refused, reset, cancelled, not_sent, miss };

struct Operation {
    Idempotency idempotency = Idempotency::idempotent;
    DeduplicationScope deduplication_scope =
        DeduplicationScope::all;      // which caches drop a repeat of a deduplicated invocation
    double deduplication_window = 0;  // and for how long after its first forward
    double latency_objective = 0;
    double client_timeout = 0;
    double priority_weight = 1;
    double late_value_ratio = 0;  // part of the billed value that an answer after the objective still earns
    bool streamed = false;
};

struct Tenant {
    double quota = 0;  // invocations a second within its share, over all nodes; 0: no share is known
};

// What the node is told once, at start.
struct Deployment {
    int zone = 0;
    int zone_count = 1;
    int node_index = 0;
    int node_count = 1;
    double tick_interval = 0;
    bool polls_endpoints = false;
    double poll_interval = 0;
    int origin_kind = -1;  // -1: caches fetch for themselves
    double origin_overload_multiple = 0;
    bool may_hedge = true;
    bool may_cancel = false;
    bool may_health_check = false;
    bool may_gossip = false;
    int max_attempts = 1;
    double max_retry_after = 0;  // 0: clients take no advice
    double connect_timeout = 0;
    double connection_idle_timeout = 0;  // an unused connection closes by itself after this; 0: never
    double response_grace = 0;
    double drain_grace = 0;
    double cold_capacity_ratio = 1;
    double slow_start_duration = 0;
    double overload_multiple = 0;
    double overload_window = 0;
    EndpointWeights endpoint_weights = EndpointWeights::absent;  // what the list tells of caches' sizes
    double over_quota_value_ratio = 1;  // part of the billed value earned over a tenant's share
    std::vector<Operation> operations;
    std::vector<Tenant> tenants;
};

struct Endpoint {
    int server = 0;
    std::string_view name;
    int zone = 0;
    int kind = 0;
    int cell = 0;
    double weight = 0;  // against other caches' sizes, without a unit; load may lower it; 0: not told
    EndpointState state = EndpointState::ready;
    double started_at = 0;  // 0: long ago
};

struct Request {
    int id = 0;
    int operation = 0;
    int tenant = -1;
    bool is_write = false;
    bool is_client_retry = false;  // the client says that it has asked before; not every client does
    bool has_key = false;
    std::uint64_t key = 0;
    double time_remaining = 0;
};

// What a node finds out only by forwards that come to nothing, for the process that takes its place.
struct WarmStartSnapshot {
    struct ServerSnapshot {
        int server = 0;
        double concurrency_limit = 0;  // forwards trusted to it at a time
        double backoff_remaining = 0;  // s without any
        bool ejected = false;
    };
    double spillover_ratio = 0, shedding_ratio = 0, admission_ratio = 1, origin_concurrency_limit = 0,
           origin_latency = 0;
    std::vector<double> kind_traffic_shares;
    std::vector<ServerSnapshot> servers;
};

// What the module may do. The host carries calls out in their order; what comes of them is told later.
class Host {
  public:
    virtual ~Host() = default;
    virtual void start_attempt(int inv, int cache, double limit) = 0;
    virtual void cancel_attempt(int inv, int forward) = 0;
    virtual void reject(int inv, double retry_after) = 0;
    virtual void fail(int inv) = 0;
    virtual void check_health(int cache) = 0;
    virtual void close_idle_connections(int cache) = 0;  // closes this node's idle connections to it
    virtual void poll_endpoints() = 0;
    virtual void set_timer(double after, std::uint64_t token) = 0;
    virtual void log(std::string_view text) = 0;
    // Whether one more forward may go to a cold cache by what other nodes leave to this one of all nodes'
    // together.
    virtual bool admit_slow_start(int) { return true; }
};

// One method for each thing that can happen; `now` never goes back.
class Balancer {
  public:
    virtual ~Balancer() = default;
    virtual void on_endpoints(double now, UpdateKind kind, const std::vector<Endpoint>& entries) = 0;
    virtual void on_poll_failed(double now) = 0;
    virtual void on_request(double now, const Request& arrival) = 0;
    // `over`: the invocation has had its final answer, with this outcome or before it.
    virtual void on_attempt_finished(double now, int inv, int forward, AttemptOutcome ending, double took,
                                     bool over) = 0;
    virtual void on_stream_started(double now, int inv, int forward) = 0;
    virtual void on_client_closed(double now, int inv) = 0;
    virtual void on_health_check(double now, int cache, AttemptOutcome ending, double took) = 0;
    virtual void on_timer(double now, std::uint64_t token) = 0;
    // Other settings from now on; the own zone and number stay what they were, and so does the origin's
    // place. What is open ends by the operation that it came with. Right after it the whole list is told
    // again, since zones and kinds may be numbered anew.
    virtual void on_configuration(double now, const Deployment& deployment) = 0;
    // What it has learned so far; and what another one had, of caches that have been listed here by now.
    virtual WarmStartSnapshot snapshot(double now) const = 0;
    virtual void restore(double now, const WarmStartSnapshot& learned) = 0;
    // What other nodes find of a cache: bad, to be tried by this one every `apart` seconds at the most; or no
    // longer.
    virtual void on_outlier_verdict(double now, int cache, bool bad, double apart) = 0;
    // `part` of a zone's keys that nodes use there together; 0: left, and tried by this one every `apart` s.
    // `part` of a tenant's share that other nodes leave to this one; its own guess counts where that is more.
    virtual void set_tenant_quota_share(double now, int tenant, double part) = 0;
    virtual void set_zone_weight(double now, int zone, double part, double apart) = 0;
};

std::unique_ptr<Balancer> make_balancer(const Deployment& deployment, std::uint64_t seed, Host& host);

}  // namespace brookrelay
