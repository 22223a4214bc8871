// The interface between the routing decisions and their host: settings, events and actions.
//
// A host creates one Balancer per node and calls one of its methods for each event. The balancer acts by
// calling Host from inside that method. Nothing here does I/O, reads a clock or blocks, and everything runs
// on the host's single thread. Times are in seconds of the host's monotonic clock, and durations are in
// seconds. Servers, operations, tenants and requests are identified by small indices that the host assigns
// and may reuse.
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace brookrelay {

/// Whether an operation may be repeated: always, only with its idempotency key within the deduplication
/// window, or never.
enum class Idempotency { idempotent, idempotency_key, none };
/// Which servers recognize a repeated idempotency key: all servers, or those in the first attempt's zone or
/// cell.
enum class DeduplicationScope { all, zone, cell };
/// Which weights the endpoint list gives. `load_adjusted` weights are lowered by the current load and arrive
/// late.
enum class EndpointWeights { absent, fixed, load_adjusted };
/// Whether an endpoint takes new requests (`ready`), takes no new ones (`draining`), or is no longer listed.
enum class EndpointState { ready, draining, removed };
/// `delta` lists the changed endpoints and `full` lists all of them; `cached_on_disk` is a full list of
/// unknown age.
enum class UpdateKind { delta, full, cached_on_disk };
/// How an attempt ended. `busy`, `refused`, `not_sent` and `miss` prove that the operation did not run.
enum class AttemptOutcome { succeeded, failed, busy, timed_out, refused, reset, cancelled, not_sent, miss };

/// The guarantees and objectives that the settings give for one operation.
struct Operation {
    Idempotency idempotency = Idempotency::idempotent;
    DeduplicationScope deduplication_scope = DeduplicationScope::all;
    double deduplication_window = 0;  // s after the first attempt
    double latency_objective = 0;     // s
    double client_timeout = 0;        // s
    double priority_weight = 1;       // value of a response within the objective
    double late_value_ratio = 0;      // fraction of that value that a later response has
    bool streamed = false;
};

/// The settings of one tenant.
struct Tenant {
    double quota = 0;  // requests per second over all nodes; 0: no known quota
};

/// The settings of one node's deployment.
struct Deployment {
    int zone = 0;
    int zone_count = 1;
    int node_index = 0;
    int node_count = 1;
    double tick_interval = 0;      // s between two event-loop iterations of a simulated node
    bool polls_endpoints = false;  // the endpoint list is sent only on request
    double poll_interval = 0;      // s
    int origin_kind = -1;          // server kind of the origin; -1: cache servers fetch by themselves
    double origin_overload_multiple = 0;
    bool may_hedge = true;
    bool may_cancel = false;
    bool may_health_check = false;
    bool may_gossip = false;
    int max_attempts = 1;
    double max_retry_after = 0;          // s, upper bound of retry_after in a rejection; 0: clients ignore it
    double connect_timeout = 0;          // s
    double connection_idle_timeout = 0;  // s until an unused server connection closes by itself; 0: never
    double response_grace = 0;  // s after a client's timeout in which a response still counts as in time
    // s after a notification that a server drains or is removed in which new requests may still be sent there
    double drain_grace = 0;
    double cold_capacity_ratio = 1;  // fraction of its capacity that a newly started server has at least
    double slow_start_duration = 0;  // s until a started server has its full capacity
    // A cold server fails when it receives more than this multiple of its current capacity over one
    // overload window.
    double overload_multiple = 0;
    double overload_window = 0;  // s
    EndpointWeights endpoint_weights = EndpointWeights::absent;
    double over_quota_value_ratio = 1;  // fraction of its value that an over-quota request keeps
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
    double weight = 0;  // relative to other servers, without a unit; 0: not given
    EndpointState state = EndpointState::ready;
    double started_at = 0;  // time of its last start; 0: long ago
};

/// One client request.
struct Request {
    int id = 0;
    int operation = 0;
    int tenant = -1;
    bool is_write = false;
    bool is_client_retry = false;  // set by the client; not every client does so
    bool has_key = false;
    std::uint64_t key = 0;
    double time_remaining = 0;  // s until its client stops waiting
};

/// What a balancer has learned, for a balancer that replaces it.
struct WarmStartSnapshot {
    /// What a balancer has learned about one server.
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

/// The actions of a balancer. The host executes the calls in order after the event that caused them, and
/// reports their outcomes as events.
class Host {
  public:
    virtual ~Host() = default;
    /// Sends the request to a server and abandons the attempt after `timeout` seconds. A request's attempts
    /// are numbered from 0.
    virtual void start_attempt(int request, int server, double timeout) = 0;
    /// Cancels an attempt in flight. Its outcome follows as an event.
    virtual void cancel_attempt(int request, int attempt) = 0;
    /// Gives the final answer that the client may retry, after `retry_after` seconds if that is over 0.
    virtual void reject(int request, double retry_after) = 0;
    /// Gives the final answer that the request failed and may have run.
    virtual void fail(int request) = 0;
    /// Sends a health check to a server. Its outcome follows as an event.
    virtual void check_health(int server) = 0;
    /// Closes this node's idle connections to the server.
    virtual void close_idle_connections(int server) = 0;
    /// Requests the endpoint list or reopens the watch on it.
    virtual void poll_endpoints() = 0;
    /// Calls on_timer() with `token` after `delay` seconds. A timer cannot be cancelled.
    virtual void set_timer(double delay, std::uint64_t token) = 0;
    /// Writes a line to the log.
    virtual void log(std::string_view text) = 0;
    /// Returns whether the fleet's budget allows this node one more attempt at a server in slow start.
    virtual bool admit_slow_start(int /*server*/) { return true; }
};

/// Counts of the data that the balancer has accessed since its creation. Both counts only grow. The increase
/// during an event is its cost, which does not depend on the machine and its load.
struct BalancerWork {
    std::uint64_t servers = 0;      ///< entries of the server table
    std::uint64_t ring_points = 0;  ///< ring points that were compared, moved or visited in a search
};

/// The routing decisions of one node, as handlers of its events. `now` never decreases.
class Balancer {
  public:
    virtual ~Balancer() = default;
    /// Returns the counts of data accessed so far.
    virtual const BalancerWork& work() const = 0;
    /// Applies an update of the endpoint list.
    virtual void on_endpoints(double now, UpdateKind kind, const std::vector<Endpoint>& entries) = 0;
    /// Schedules another poll after one that failed.
    virtual void on_poll_failed(double now) = 0;
    /// Handles a new request.
    virtual void on_request(double now, const Request& request) = 0;
    /// Handles the outcome of an attempt. `answered`: the request has its final answer, by this outcome or
    /// earlier.
    virtual void on_attempt_finished(double now, int request, int attempt, AttemptOutcome outcome,
                                     double latency, bool answered) = 0;
    /// The client has received the first bytes of a streamed response, so no other attempt may answer the
    /// request.
    virtual void on_stream_started(double now, int request, int attempt) = 0;
    /// Ends a request whose client closed its connection.
    virtual void on_client_closed(double now, int request) = 0;
    /// Handles the outcome of a health check.
    virtual void on_health_check(double now, int server, AttemptOutcome outcome, double latency) = 0;
    /// Handles the expiry of a timer that was set with `token`.
    virtual void on_timer(double now, std::uint64_t token) = 0;
    /// Replaces the settings, except the node's own zone and index and the origin's kind, which stay the
    /// same. Open requests finish under the settings in force when they arrived. A full endpoint update must
    /// follow at once, since zones and kinds may be renumbered.
    virtual void on_configuration(double now, const Deployment& deployment) = 0;
    /// Returns what this balancer has learned.
    virtual WarmStartSnapshot snapshot(double now) const = 0;
    /// Adopts what another balancer learned. Every server in the snapshot must have been listed here before.
    virtual void restore(double now, const WarmStartSnapshot& snapshot) = 0;
    /// Applies the fleet's verdict on a server: `bad`, in which case this node probes it every
    /// `probe_interval` seconds, or no longer bad.
    virtual void on_outlier_verdict(double now, int server, bool bad, double probe_interval) = 0;
    /// Sets the share of a tenant's quota that the fleet leaves to this node. The node's own estimate applies
    /// if it is larger.
    virtual void set_tenant_quota_share(double now, int tenant, double share) = 0;
    /// Sets the share of a zone's keys that is sent there. 0: the zone is drained, and this node probes it
    /// every `probe_interval` seconds.
    virtual void set_zone_weight(double now, int zone, double weight, double probe_interval) = 0;
};

/// Creates the balancer of one node. `seed` must differ between nodes: it drives jitter and load shedding.
/// `host` must outlive the balancer.
std::unique_ptr<Balancer> make_balancer(const Deployment& deployment, std::uint64_t seed, Host& host);

}  // namespace brookrelay
