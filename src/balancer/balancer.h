// The interface between the routing decisions and whoever hosts them: settings, events and actions.
//
// A host creates one Balancer for each node and calls one of its methods for each event; the balancer acts by
// calling Host from inside that method. Nothing here does I/O, reads a clock or blocks, and everything runs
// on the host's one thread. Times are seconds of the host's monotonic clock, durations are seconds. Servers,
// operations, tenants and requests are small indices that the host hands out and may reuse.
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace brookrelay {

/// Whether an operation may run more than once: always, within its deduplication window, or never.
enum class Idempotency { idempotent, idempotency_key, none };
/// Which servers recognise a repeated idempotency key: all, or those of the first attempt's zone or cell.
enum class DeduplicationScope { all, zone, cell };
/// What the endpoint list says of servers' sizes. `load_adjusted`: lowered by present load, and late.
enum class EndpointWeights { absent, fixed, load_adjusted };
enum class EndpointState { ready, draining, removed };
/// `delta` names what changed, `full` names all there are; `cached_on_disk` is a full list of unknown age.
enum class UpdateKind { delta, full, cached_on_disk };
/// How an attempt ended. `busy`, `refused`, `not_sent` and `miss` prove that it did not run.
enum class AttemptOutcome { succeeded, failed, busy, timed_out, refused, reset, cancelled, not_sent, miss };

/// What the settings promise of one operation.
struct Operation {
    Idempotency idempotency = Idempotency::idempotent;
    DeduplicationScope deduplication_scope = DeduplicationScope::all;
    double deduplication_window = 0;  // s after the first attempt
    double latency_objective = 0;     // s
    double client_timeout = 0;        // s
    double priority_weight = 1;       // what an answer within the objective is worth
    double late_value_ratio = 0;      // of that, what a later answer is worth
    bool streamed = false;
};

struct Tenant {
    double quota = 0;  // requests a second over all nodes; 0: no quota is known
};

/// The settings of one node's deployment.
struct Deployment {
    int zone = 0;
    int zone_count = 1;
    int node_index = 0;
    int node_count = 1;
    double tick_interval = 0;      // s between two event-loop iterations of a simulated node
    bool polls_endpoints = false;  // the list comes only when asked for
    double poll_interval = 0;      // s
    int origin_kind = -1;          // the kind of server that is the origin; -1: servers fetch for themselves
    double origin_overload_multiple = 0;
    bool may_hedge = true;
    bool may_cancel = false;
    bool may_health_check = false;
    bool may_gossip = false;
    int max_attempts = 1;
    double max_retry_after = 0;          // s that a rejection may advise; 0: clients take no advice
    double connect_timeout = 0;          // s
    double connection_idle_timeout = 0;  // s until an unused connection closes by itself; 0: never
    double response_grace = 0;           // s after a client's timeout in which an answer is still in time
    double drain_grace = 0;              // s after a notification in which new work may still go there
    double cold_capacity_ratio = 1;      // of its capacity, what a just started server has at least
    double slow_start_duration = 0;      // s until it has all of it
    double overload_multiple = 0;        // a cold server fails when sent more than this multiple of its
    double overload_window = 0;          // present capacity for so many seconds
    EndpointWeights endpoint_weights = EndpointWeights::absent;
    double over_quota_value_ratio = 1;  // of its worth, what a request beyond its tenant's quota keeps
    std::vector<Operation> operations;
    std::vector<Tenant> tenants;
};

/// One entry of the endpoint list.
struct Endpoint {
    int server = 0;
    std::string_view name;  // valid during the call
    int zone = 0;
    int kind = 0;
    int cell = 0;
    double weight = 0;  // relative to other servers', without a unit; 0: not given
    EndpointState state = EndpointState::ready;
    double started_at = 0;  // 0: long ago
};

struct Request {
    int id = 0;
    int operation = 0;
    int tenant = -1;
    bool is_write = false;
    bool is_client_retry = false;  // as the client says; not every client does
    bool has_key = false;
    std::uint64_t key = 0;
    double time_remaining = 0;  // s until its client stops waiting
};

/// What a balancer has learned, for another one in its place.
struct WarmStartSnapshot {
    struct ServerSnapshot {
        int server = 0;
        double concurrency_limit = 0;  // attempts in flight
        double backoff_remaining = 0;  // s
        bool ejected = false;
    };
    double spillover_ratio = 0;
    double shedding_ratio = 0;
    double admission_ratio = 1;
    double origin_concurrency_limit = 0;
    double origin_latency = 0;  // s
    std::vector<double> kind_traffic_shares;
    std::vector<ServerSnapshot> servers;
};

/// What the balancer may do. The host carries calls out in their order, after the event; outcomes come back
/// as events.
class Host {
  public:
    virtual ~Host() = default;
    /// Sends the request to a server, to be given up after `timeout` seconds. Attempts are numbered from 0.
    virtual void start_attempt(int request, int server, double timeout) = 0;
    virtual void cancel_attempt(int request, int attempt) = 0;
    /// The final answer "come again", after `retry_after` seconds if that is over 0.
    virtual void reject(int request, double retry_after) = 0;
    /// The final answer "failed": the request may have run.
    virtual void fail(int request) = 0;
    virtual void check_health(int server) = 0;
    /// Closes this node's idle connections to the server.
    virtual void close_idle_connections(int server) = 0;
    /// Asks for the endpoint list, or opens the watch anew.
    virtual void poll_endpoints() = 0;
    /// on_timer() is called with `token` after so many seconds. There is no way to cancel it.
    virtual void set_timer(double after, std::uint64_t token) = 0;
    virtual void log(std::string_view text) = 0;
    /// Whether the fleet's budget leaves this node one more attempt at a server in slow start.
    virtual bool admit_slow_start(int /*server*/) { return true; }
};

/// How much the balancer has looked at since it was made. Both counts only grow; what an event added to them
/// is its cost, whatever the machine and its load.
struct BalancerWork {
    std::uint64_t servers = 0;      ///< entries of the server table
    std::uint64_t ring_points = 0;  ///< points of hash rings that were compared, moved or passed in a search
};

/// The events of one node. `now` never goes back.
class Balancer {
  public:
    virtual ~Balancer() = default;
    virtual const BalancerWork& work() const = 0;
    virtual void on_endpoints(double now, UpdateKind kind, const std::vector<Endpoint>& entries) = 0;
    virtual void on_poll_failed(double now) = 0;
    virtual void on_request(double now, const Request& request) = 0;
    /// `answered`: the request has had its final answer, by this outcome or before it.
    virtual void on_attempt_finished(double now, int request, int attempt, AttemptOutcome outcome,
                                     double latency, bool answered) = 0;
    /// The client has the first bytes of a streamed answer, so that no other attempt may answer it any more.
    virtual void on_stream_started(double now, int request, int attempt) = 0;
    virtual void on_client_closed(double now, int request) = 0;
    virtual void on_health_check(double now, int server, AttemptOutcome outcome, double latency) = 0;
    virtual void on_timer(double now, std::uint64_t token) = 0;
    /// Other settings from now on, apart from the node's own zone and index and the kind of the origin. Open
    /// requests end by the settings they came with. A full endpoint update has to follow at once, since zones
    /// and kinds may be numbered anew.
    virtual void on_configuration(double now, const Deployment& deployment) = 0;
    virtual WarmStartSnapshot snapshot(double now) const = 0;
    /// Takes over what another balancer learned, of servers that have been listed here by now.
    virtual void restore(double now, const WarmStartSnapshot& snapshot) = 0;
    /// The fleet's verdict on a server: bad, to be probed by this node every `probe_interval` seconds, or no
    /// longer.
    virtual void on_outlier_verdict(double now, int server, bool bad, double probe_interval) = 0;
    /// The share of a tenant's quota that the fleet leaves to this node; its own estimate counts where that
    /// is more.
    virtual void set_tenant_quota_share(double now, int tenant, double share) = 0;
    /// The share of a zone's keys that goes there; 0: drained, and probed by this node every `probe_interval`
    /// seconds.
    virtual void set_zone_weight(double now, int zone, double weight, double probe_interval) = 0;
};

/// `seed` is this node's alone: it draws jitter and load shedding. `host` must outlive the balancer.
std::unique_ptr<Balancer> make_balancer(const Deployment& deployment, std::uint64_t seed, Host& host);

}  // namespace brookrelay
