#include "proxy/node.h"

#include <algorithm>
#include <cstdio>
#include <unordered_set>
#include <utility>

#include "config/json.h"
#include "config/registration.h"

namespace brookrelay {
namespace {

// Descriptors reserved for the listeners, the admin server, the endpoint sources, the event loop and the log.
constexpr int kReservedDescriptors = 16 + static_cast<int>(AdminServer::kMaxCallers);
// The clients' share of the remaining descriptors; the server connections have the rest. The split is fixed,
// so that a flood on one side cannot exhaust the descriptors of the other. Each attempt belongs to a client,
// but not every client has an attempt in flight, so the clients' share is the larger one.
constexpr double kClientsShare = 0.6;

// Seconds without an iteration from which the process counts as paused; some timer is due four times as
// often. Commands that arrive in a shorter pause count as received after it, which is within the 0.15 s by
// which the timeout sent to a server may exceed the time that the client has left.
constexpr double kPauseThreshold = 0.1;
// Upper bound in seconds of the time after a pause in which the backlog is read; it is also at most as long
// as the pause.
constexpr double kMaxCatchUp = 0.25;

// Maximum age in seconds of the last poll of the sockets at which actions are still executed. Older than
// that, the sockets are polled again first, because an endpoint update, a client's close or a reply may have
// arrived since. The close of a client may be 0.1 s old when an attempt is sent for it.
constexpr double kMaxPollAge = 0.02;
// Consecutive iterations that may defer actions; after that they are executed at any age of the poll.
constexpr int kMaxDeferrals = 3;

// Seconds that a started node waits for discovery before it serves with the endpoint list of its
// configuration file. An update that the discovery agent already holds counts as known from the start of the
// process; if the agent does not respond, the node has to serve without it.
constexpr double kFirstListTimeout = 0.3;

constexpr double kEvictionInterval = 1.0;  // s between checks, until all removed servers are evicted
// Seconds before the request's deadline at which a streamed response that is still buffered is replaced by an
// error line.
constexpr double kStreamGiveUpMargin = 0.05;
constexpr double kHealthCheckTimeout = 0.5;  // s; a health check has no request with a deadline

// What a server's host may have received and not yet acknowledged, in bytes: a segment.
constexpr std::size_t kMaxDelayedAcknowledgement = std::size_t{64} * 1024;

constexpr double kListedRetryInterval = 1.0;  // s between retries of names that could not be written to disk

constexpr double kWarmStartInterval = 0.25;  // s between saves of the warm-start file

constexpr int kDescriptorMargin = 16;  // descriptors that a sibling process may open between two updates
// Lower bound of this process's budget share: if two processes both hold many descriptors, both must still be
// able to serve.
constexpr double kMinBudgetShare = 0.25;

// The ids that may have run, in the node's folder.
constexpr const char* kRepeatGuardFile = "/ids-that-ran";
constexpr const char* kFailedReply = "SERVER_ERROR failed\r\n";

// Whether the outcome proves that the server did not execute the attempt.
bool proves_not_run(AttemptOutcome outcome) {
    return outcome == AttemptOutcome::busy || outcome == AttemptOutcome::refused ||
           outcome == AttemptOutcome::not_sent || outcome == AttemptOutcome::miss;
}

std::uint64_t attempt_key(int request, int number) {
    return static_cast<std::uint64_t>(request) << 16 | static_cast<std::uint64_t>(number);
}

std::size_t connection_budget(int descriptors, double part) {
    return static_cast<std::size_t>((descriptors - kReservedDescriptors) * part);
}

MemoryPlan memory_plan(const NodeConfig& config, int processes) {
    return make_memory_plan(config.memory_mb, connection_budget(config.descriptors, kClientsShare),
                            connection_budget(config.descriptors, 1 - kClientsShare), processes);
}

// The node's own directory in the state folder, which several nodes of one machine may share.
std::string node_folder(const NodeConfig& config) {
    if (config.state_folder.empty()) return {};
    std::string name = config.name + "-" + config.listen;
    std::replace(name.begin(), name.end(), '/', '_');
    return config.state_folder + "/brookrelay-" + name;
}

// FNV-1a. The hash ring requires the same hash at every node; the balancer mixes the value further.
std::uint64_t hash_key(std::string_view key) {
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char c : key) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    return hash;
}

}  // namespace

Node::Node(const NodeConfig& config, const OperatorConfig& operator_config, Log& log)
    : config_(config),
      operator_config_(operator_config),
      log_(log),
      violations_([this](Violation kind, std::string_view details) {
          log_.line(Topic::guard, "violation",
                    "rule broken: " + std::string(name_of(kind)) + ", " + std::string(details));
      }),
      balancer_(make_balancer(config.deployment, config.seed, *this)),
      memory_plan_(memory_plan(config, 1)),
      pool_(
          timers_, log, config.deployment,
          {connection_budget(config.descriptors, 1 - kClientsShare), memory_plan_.server_bytes,
           memory_plan_.stream_read_limit, memory_plan_.queued_bytes},
          [this](UpstreamPool::AttemptResult&& result) {
              event_queue_.emplace_back([this, result = std::move(result)](double now) mutable {
                  on_attempt_finished(now, result);
              });
          },
          // Whether the attempt is still sent is decided after all events of this iteration.
          [this](int request, int attempt, int server) {
              event_queue_.emplace_back([this, request, attempt, server](double) {
                  action_queue_.emplace_back(
                      [this, request, attempt, server] { send_on_connection(request, attempt, server); });
              });
          },
          [this](int request, int attempt, int server, double time_left) {
              on_attempt_write(request, attempt, server, time_left);
          },
          {[this](std::uint64_t stream) {
               return streams_.contains(stream) ? clients_.stream_capacity(streams_[stream]) : 0;
           },
           [this](std::uint64_t stream, std::string_view chunk) {
               clients_.write_chunk(streams_[stream], chunk);
           },
           [this](std::uint64_t stream, bool is_complete) {
               const auto found = streams_.find(stream);
               if (found == streams_.end()) return;
               const ClientConnections::RequestHandle client = found->second;
               streams_.erase(found);
               clients_.end_stream(client, is_complete, kFailedReply);
           }}),
      clients_(
          timers_, log, violations_,
          {connection_budget(config.descriptors, kClientsShare), memory_plan_.client_bytes,
           memory_plan_.client_read_limit},
          [this](const ClientConnections::RequestHandle& client, Command&& command, double received_at) {
              return on_command(client, std::move(command), received_at);
          },
          [this](const ClientConnections::RequestHandle& client, int request) {
              on_connection_closed(client, request);
          },
          {[this](int request) { return is_unsent(request); },
           [this](const ClientConnections::RequestHandle& client, int request) {
               on_close_hidden(client, request);
           }},
          {[this](std::uint64_t stream) { pool_.resume(stream); },
           [this](std::uint64_t stream) {
               streams_.erase(stream);
               pool_.abandon_stream(stream);
           }}),
      endpoint_watch_(
          timers_, log, config,
          [this](EndpointUpdate&& update) {
              event_queue_.emplace_back([this, update = std::move(update)](double now) {
                  apply_endpoint_update(now, update.is_full ? UpdateKind::full : UpdateKind::delta, update);
              });
          },
          [this] { event_queue_.emplace_back([this](double now) { balancer_->on_poll_failed(now); }); }),
      admin_server_(timers_, log,
                    [this](std::uint64_t caller, const HttpRequest& request) {
                        handle_admin_request(caller, request);
                    }),
      admin_state_(node_folder(config)),
      warm_start_file_(node_folder(config) + "/learned"),
      servers_(config_.deployment, wall_clock_.read().wall_offset) {
    if (operator_config.gossip_enabled) {
        const std::string refusal = GossipAgent::why_unavailable(config);
        if (refusal.empty()) {
            gossip_ = std::make_unique<GossipAgent>(
                timers_, log, config, operator_config,
                [this] {
                    event_queue_.emplace_back([this](double now) {
                        gossip_->tick(now);
                        if (gossip_->limits_connections()) pool_.enforce_connection_limit();
                    });
                },
                [this](double now, const std::string& name, bool is_bad, double probe_interval) {
                    on_outlier_verdict(now, name, is_bad, probe_interval);
                },
                [this](double now, const gossip::ZoneFailover::Change& change) {
                    balancer_->set_zone_weight(now, change.zone, change.weight, change.probe_interval);
                },
                [this](double now, int tenant, double share) {
                    balancer_->set_tenant_quota_share(now, tenant, share);
                });
            apply_connection_limit();
        } else {
            log.line(Topic::node, "peers_off", "gossip between nodes is disabled: " + refusal);
        }
    }
    if (operator_config.registry_addresses.empty()) return;
    const auto decode = [this](const std::string&, const std::string& data,
                               std::string& reason) -> std::optional<Registration> {
        try {
            return read_registration(data, config_.names);
        } catch (const ConfigurationError& error) {
            reason = error.what();
            return std::nullopt;
        }
    };
    coordination_ = std::make_unique<CoordinationClient>(
        timers_, log, operator_config.registry_addresses, operator_config.registry_path,
        operator_config.registry_session_timeout, config.seed, decode,
        [this](std::vector<RegistrationChange>&& changes) { on_registrations(changes); });
}

void Node::start(int inherited) {
    has_shared_listener_ = inherited >= 0;
    const std::string folder = node_folder(config_);
    repeat_guard_ = std::make_unique<RepeatGuard>(
        has_shared_listener_ && !folder.empty() ? folder + kRepeatGuardFile : std::string());
    std::string error;
    pending_listener_ =
        has_shared_listener_ ? adopt_listener(inherited, error) : bind_to(config_.listen, error);
    if (pending_listener_ == nullptr)
        throw BindError((has_shared_listener_ ? "GW_ACCEPT_FD: " : "field 'listen': ") + error);
    if (!config_.admin_listen.empty() && !admin_server_.listen(config_.admin_listen, error))
        throw BindError("field 'management': " + error);
    iteration_started_at_ = monotonic_now();
    endpoints_confirmed_at_ = iteration_started_at_;
    const std::vector<std::string> admin_changes = admin_state_.reload(wall_clock_.read().wall_now());
    event_queue_.emplace_back([this, admin_changes](double now) {
        apply_endpoint_update(now, UpdateKind::cached_on_disk, config_.cached_endpoints);
        apply_admin_state(now, admin_changes);
        load_warm_start(now);
    });
    handle_events();
    run_all_actions();
    const bool has_agent = coordination_ == nullptr && !config_.deployment.polls_endpoints;
    if (coordination_ != nullptr) coordination_->start();
    if (has_agent) endpoint_watch_.poll();
    if (has_shared_listener_) sibling_processes_ = std::make_unique<SiblingProcesses>(node_folder(config_));
    update_budget_share();
    if (gossip_ != nullptr) gossip_->start();
    timers_.schedule(monotonic_now(), [this] { reload_admin_state(); });
    timers_.schedule(monotonic_now() + kListedRetryInterval, [this] { retry_listed(); });
    opening_timer_ = timers_.schedule(monotonic_now() + (has_agent ? kFirstListTimeout : 0), [this] {
        opening_timer_ = {};
        event_queue_.emplace_back([this](double) { open_for_clients(); });
    });
    // Unless sibling processes share the listener, no client can have connected during the start, so the
    // start does not count as a pause.
    if (!has_shared_listener_) iteration_started_at_ = monotonic_now();
}

// Starts to accept clients. Until then no client can connect, so no request waits for the start of the
// process.
void Node::open_for_clients() {
    timers_.cancel(opening_timer_);
    if (pending_listener_ == nullptr || shutdown_.has_begun()) return;
    std::string error;
    if (!has_shared_listener_ && !start_listening(pending_listener_.get(), error))
        throw BindError("field 'listen': " + error + " on " + config_.listen);
    clients_.listen(std::move(pending_listener_));
    accepts_clients_ = true;
    if (has_shared_listener_ && !config_.state_folder.empty())
        timers_.schedule(monotonic_now() + kWarmStartInterval, [this] { save_warm_start(); });
    log_.line(Topic::node, "serves", "serves on " + config_.listen);
}

void Node::run_iteration() {
    (void)arrival_time();
    iteration_started_at_ = monotonic_now();
    // The sockets were read between the poll and now.
    iteration_monitor_.begin(std::max(poll_clock_.last_poll(), iteration_ended_at_), work_before_iteration_);
    handle_events();
    run_actions();
    iteration_ended_at_ = monotonic_now();
    work_before_iteration_ = total_work();
    const std::string warning = iteration_monitor_.end(iteration_ended_at_, work_before_iteration_);
    if (!warning.empty()) log_.line(Topic::node, "slow_iteration", warning);
    clients_.begin_turn();
}

void Node::handle_events() {
    const double now = monotonic_now();
    std::vector<Event> events;
    events.swap(event_queue_);
    work_.events += events.size();
    for (const Event& event : events) event(now);
    pool_.on_results_handled();
}

bool Node::is_poll_stale() const { return monotonic_now() - poll_clock_.last_poll() > kMaxPollAge; }

// The guard before each send knows only what has been read from the sockets. If this iteration has taken
// long, the remaining actions are deferred to the next one, which begins at once and first handles what has
// arrived in the meantime.
void Node::run_actions() {
    const bool may_defer = deferrals_ < kMaxDeferrals;
    // Actions that are queued by these actions are left to the next iteration.
    for (std::size_t remaining = action_queue_.size(); remaining > 0; --remaining) {
        if (may_defer && is_poll_stale()) {
            ++deferrals_;
            metrics_.on_deferral();
            return;
        }
        const std::function<void()> action = std::move(action_queue_.front());
        action_queue_.pop_front();
        ++work_.actions;
        action();
    }
    deferrals_ = 0;
    release_finished();
}

void Node::run_all_actions() {
    deferrals_ = kMaxDeferrals;
    run_actions();
}

// Releases finished requests once no queued action refers to one of them, and frees closed connections.
void Node::release_finished() {
    if (action_queue_.empty()) {
        for (const int request : finished_requests_) requests_.release(request);
        finished_requests_.clear();
    }
    pool_.destroy_closed();
    clients_.destroy_closed();
    admin_server_.destroy_closed();
}

IterationWork Node::total_work() const {
    IterationWork work = work_;
    work.servers += balancer_->work().servers;
    work.ring_points = balancer_->work().ring_points;
    work.commands = clients_.commands_read();
    work.connections = pool_.searched_connections();
    work.file_bytes = admin_state_.listed_bytes_read();
    return work;
}

// All checks of the new configuration are made before any part of it is applied. Events queued so far are
// passed to the balancer first, because they were parsed with the indexes of the old configuration.
void Node::reload(const NodeConfig& config, const OperatorConfig& operator_config) {
    handle_events();
    run_all_actions();
    std::vector<ServerTable::Placement> placements;
    std::string refusal = why_not_reloadable(config_, config);
    if (refusal.empty()) refusal = servers_.translate_placements(config_.names, config.names, placements);
    metrics_.on_reload(refusal.empty());
    if (!refusal.empty()) {
        log_.line(Topic::node, "configuration_refused",
                  "new configuration not taken, the old one stays: " + refusal);
        return;
    }
    const bool has_new_names = !(config.names == config_.names);
    config_ = config;
    pool_.apply_configuration(config.deployment);
    balancer_->on_configuration(monotonic_now(), config_.deployment);
    std::vector<Endpoint> entries;
    for (const auto& [name, server] : servers_.numbers()) {
        Server& s = servers_.at(server);
        const ServerTable::Placement& placement = placements[static_cast<std::size_t>(server)];
        s.zone = placement.zone;
        s.kind = placement.kind;
        entries.push_back(servers_.endpoint(server));
    }
    balancer_->on_endpoints(monotonic_now(), UpdateKind::full, entries);
    publish_endpoints();
    apply_operator_config(operator_config);
    if (gossip_ != nullptr) gossip_->repeat_zone_changes(monotonic_now());
    log_.line(Topic::node, "configuration_read",
              "configuration read again: discovery at " + config.discovery + ", settings taken" +
                  (has_new_names ? ", names changed" : ""));
    if (shutdown_.has_begun()) shutdown_.on_configuration(longest_client_timeout());
    if (coordination_ == nullptr)
        endpoint_watch_.reconfigure(config.discovery, config.names, config.deployment.polls_endpoints);
}

// Applies the fleet quotas, the only part of the operators' configuration that can change in a running node.
// Other changes are logged and take effect at the next start.
void Node::apply_operator_config(const OperatorConfig& operator_config) {
    OperatorConfig effective = operator_config_;
    effective.fleet_quotas = operator_config.fleet_quotas;
    if (!(effective == operator_config))
        log_.line(
            Topic::node, "operator_file_waits",
            "the operators' file has changes outside fleet.limits, which take effect at the next start");
    operator_config_ = effective;
    if (gossip_ == nullptr) return;
    gossip_->apply_configuration(config_, operator_config_.fleet_quotas);
    apply_connection_limit();
}

void Node::apply_connection_limit() {
    if (!gossip_->limits_connections()) return pool_.set_connection_limit({});
    pool_.set_connection_limit([this](int server, int wanted) {
        return gossip_->max_connections(monotonic_now(), servers_.at(server).name, wanted);
    });
}

// ---- events ------------------------------------------------------------------------------------------

// The time at which a command that is read now counts as received. While the process is paused (stopped or
// swapped out), commands wait in the sockets. If they counted as new, a write could run after its client has
// retried it at another node and been served, and after the deduplication window has passed. So commands that
// are read after a pause count as received when the pause began.
double Node::arrival_time() {
    const double now = monotonic_now();
    if (now - iteration_started_at_ > kPauseThreshold && now >= catch_up_until_) {
        paused_since_ = iteration_started_at_;
        catch_up_until_ = now + std::min(kMaxCatchUp, now - paused_since_);
        char text[96];
        std::snprintf(text, sizeof text,
                      "stood still for %.2f s: commands read afterwards count as received before the pause",
                      now - iteration_started_at_);
        log_.line(Topic::node, "stood_still", text);
        metrics_.on_pause();
    }
    return now < catch_up_until_ ? paused_since_ : now;
}

int Node::on_command(const ClientConnections::RequestHandle& client, Command&& command, double received_at) {
    const int operation = index_of(config_.names.operations, command.attributes.operation);
    const bool is_full = config_.max_open_requests > 0 && requests_.open_count() >= config_.max_open_requests;
    // Nothing of it has been sent, so its client can safely retry it at another node.
    const bool is_too_late = shutdown_.is_kill_near(monotonic_now());
    // Servers distinguish requests only by id: with a duplicate id, the response to one client's request
    // could be sent to the other client.
    const bool is_duplicate_id = requests_.is_id_open(command.id);
    // Not rejected as busy, which would promise that it has not run.
    const bool may_have_run = operation >= 0 && has_effect(operation) && repeat_guard_->contains(command.id);
    if (may_have_run)
        log_.line(Topic::node, "repeated_id",
                  "request " + command.id + " may have run before: not sent again");
    if (operation < 0 || is_duplicate_id || may_have_run || is_full || is_too_late) {
        // The request is rejected here and is not passed to the balancer.
        const std::string text = operation < 0     ? "CLIENT_ERROR unknown operation\r\n"
                                 : may_have_run    ? kFailedReply
                                 : is_duplicate_id ? "CLIENT_ERROR id in use\r\n"
                                                   : format_busy(0);
        event_queue_.emplace_back([this, client, text](double) { clients_.respond(client, text); });
        return ClientConnections::kNoRequest;
    }
    received_at = std::min(received_at, arrival_time());
    const double deadline = received_at + command.attributes.time_remaining;
    const int request = requests_.open(client, std::move(command), received_at, deadline,
                                       config_.deployment.operations[static_cast<std::size_t>(operation)]);
    event_queue_.emplace_back(
        [this, request, operation](double now) { start_request(now, request, operation); });
    return request;
}

bool Node::has_effect(int operation) const {
    return config_.deployment.operations[static_cast<std::size_t>(operation)].idempotency !=
           Idempotency::idempotent;
}

void Node::start_request(double now, int request, int operation) {
    ActiveRequest& active = requests_.at(request);
    metrics_.on_request();
    trace(TraceEvent::received, request, RequestTrace::kNoAttempt, ServerTable::kUnknown, {});
    // Safety net: normally the balancer has ended the request before this time, or its client has closed.
    active.expiry_timer =
        timers_.schedule(active.deadline + config_.deployment.response_grace, [this, request] {
            requests_.at(request).expiry_timer = {};
            event_queue_.emplace_back([this, request](double then) {
                if (requests_.at(request).answered) return;
                log_.line(Topic::node, "outlived", "a request was still open after its client's timeout");
                respond(request, "SERVER_ERROR timed out\r\n");
                abandon_request(then, request, RequestEnd::expired);
            });
        });
    Request arrival;
    arrival.id = request;
    arrival.operation = operation;
    arrival.tenant = index_of(config_.names.tenants, active.command.attributes.tenant);
    arrival.is_write = active.command.kind == Command::Kind::write;
    arrival.is_client_retry = active.command.attributes.is_client_retry;
    arrival.has_key = true;
    arrival.key = hash_key(active.command.key);
    arrival.time_remaining = std::max(0.0, active.deadline - now);
    if (gossip_ != nullptr && !arrival.is_client_retry) gossip_->on_request(now);
    if (gossip_ != nullptr) gossip_->on_tenant_request(now, arrival.tenant);
    balancer_->on_request(now, arrival);
}

// When the event is handled, another request may occupy the slot, so the client is compared.
void Node::on_connection_closed(const ClientConnections::RequestHandle& client, int request) {
    event_queue_.emplace_back([this, client, request](double now) {
        const ActiveRequest& active = requests_.at(request);
        if (active.client == client && !active.answered)
            abandon_request(now, request, RequestEnd::client_closed);
    });
}

// Whether an attempt for the request is yet to begin, or to be sent completely.
bool Node::is_unsent(int request) const {
    const ActiveRequest& active = requests_.at(request);
    if (active.in_flight == 0) return true;
    for (int attempt = 0; attempt < active.attempts; ++attempt) {
        if (pool_.is_unsent(request, attempt, kMaxDelayedAcknowledgement)) return true;
    }
    return false;
}

// The client may be gone or not. Its request is still to be answered, so attempts that may have arrived go
// on.
void Node::on_close_hidden(const ClientConnections::RequestHandle& client, int request) {
    event_queue_.emplace_back([this, client, request](double) {
        const ActiveRequest& active = requests_.at(request);
        if (active.client != client || active.answered || active.in_flight == 0) return;
        action_queue_.emplace_back(
            [this, request] { cancel_partially_sent(request, kMaxDelayedAcknowledgement); });
    });
}

// Ends a request and tells the balancer that its client no longer waits for it.
void Node::abandon_request(double now, int request, RequestEnd end) {
    finish(request, end);
    balancer_->on_client_closed(now, request);
}

void Node::on_attempt_finished(double now, UpstreamPool::AttemptResult& result) {
    if (result.request == UpstreamPool::kHealthCheck)
        return balancer_->on_health_check(now, result.server, result.outcome, result.latency);
    ActiveRequest& active = requests_.at(result.request);
    --active.in_flight;
    metrics_.on_attempt_end(result.outcome);
    trace(TraceEvent::attempt_ended, result.request, result.attempt, result.server, name_of(result.outcome));
    if (result.written && proves_not_run(result.outcome) && --active.possible_runs == 0) {
        active.may_have_run_since = 0;
        repeat_guard_->remove(active.command.id);
    }
    if (result.stream != 0 && !active.answered) {
        // The first bytes go to the client now, so no other attempt can answer the request.
        action_queue_.emplace_back(
            [this, client = active.client, stream = result.stream,
             head = format_value_header(active.command.id, result.stream_length),
             terms = ClientConnections::StreamTerms{result.stream_length,
                                                    active.deadline - kStreamGiveUpMargin}]() mutable {
                streams_.emplace(stream, client);
                clients_.begin_stream(client, std::move(head), stream, terms);
            });
        finish(result.request, RequestEnd::streamed);
    } else if (result.stream != 0) {
        pool_.abandon_stream(result.stream);
    } else if (result.outcome == AttemptOutcome::succeeded && !active.answered) {
        const Command& command = active.command;
        // The body is freed here, not with the event: many events may be queued.
        const std::string body = std::move(result.body);
        respond(result.request, command.kind == Command::Kind::read ? format_value(command.id, body)
                                                                    : format_receipt(command.id, body));
        finish(result.request, RequestEnd::served);
    }
    if (gossip_ != nullptr && !servers_.is_origin(servers_.at(result.server)))
        gossip_->on_attempt_finished(now, attempt_key(result.request, result.attempt),
                                     servers_.at(result.server).name, servers_.at(result.server).zone,
                                     result.outcome, result.latency, active.operation.latency_objective);
    balancer_->on_attempt_finished(now, result.request, result.attempt, result.outcome, result.latency,
                                   active.answered);
    finished_requests_.push_back(result.request);
}

// Applies an endpoint update. It takes effect for every later send (ServerTable::accepts_attempts) before the
// balancer's rings follow. The cost is proportional to the change, except for full lists.
void Node::apply_endpoint_update(double now, UpdateKind kind, const EndpointUpdate& update) {
    std::vector<int> changed;
    std::vector<std::string> first_seen;
    work_.list_entries += update.servers.size();
    for (const EndpointRecord& record : update.servers) {
        // The removal of a server that is unknown or already evicted must not add it.
        const bool is_known = servers_.contains(record.name);
        if (record.state == EndpointState::removed && !is_known) continue;
        if (!is_known) first_seen.push_back(record.name);
        const int server = servers_.find_or_add(record.name);
        changed.push_back(server);
        servers_.update(server, record, admin_state_.state_of(record.name), wall_clock_.read());
        const Server& s = servers_.at(server);
        pool_.add_server(server, s.name, {s.address, s.started_at}, servers_.is_origin(s));
        remove_replaced(server, changed);
    }
    if (update.is_full) remove_unlisted(changed);
    std::vector<Endpoint> entries;
    entries.reserve(changed.size());
    for (const int server : changed) {
        entries.push_back(servers_.endpoint(server));
        servers_.update_removal_time(server, now);
        if (!servers_.accepts_attempts(server)) pool_.refuse_unsent_attempts(server);
    }
    if (!entries.empty() || update.is_full) {
        log_.line(Topic::discovery, "list",
                  "version " + std::to_string(update.version) + ": " + std::to_string(update.servers.size()) +
                      " servers told, " + std::to_string(servers_.size()) + " known" +
                      (update.is_full ? " (whole list)" : ""));
    }
    if (!first_seen.empty()) admin_state_.record_listed(first_seen);
    balancer_->on_endpoints(now, kind, entries);
    if (!changed.empty()) {
        evict_removed_servers();
        publish_endpoints();
    }
    if (kind == UpdateKind::cached_on_disk) return;
    servers_.on_list_applied(now);
    endpoints_confirmed_at_ = monotonic_now();
    if (update.size > 0) metrics_.on_list(update.size, endpoints_confirmed_at_ - update.first_byte_at);
    open_for_clients();
}

// Marks as removed what the process of `server` has replaced at its address, or `server` itself if another
// one has replaced it.
void Node::remove_replaced(int server, std::vector<int>& changed) {
    const int replaced = servers_.claim_address(server);
    if (replaced == ServerTable::kUnknown) return;
    servers_.at(replaced).state = EndpointState::removed;
    if (std::find(changed.begin(), changed.end(), replaced) == changed.end()) changed.push_back(replaced);
    log_.line(Topic::discovery, "replaced",
              servers_.at(replaced).name + " counts as removed: another server is at its address");
}

// Marks all servers that a full list does not contain as removed and appends them to `changed`.
void Node::remove_unlisted(std::vector<int>& changed) {
    const std::unordered_set<int> listed(changed.begin(), changed.end());
    work_.servers += servers_.size();
    for (const auto& [name, server] : servers_.numbers()) {
        Server& s = servers_.at(server);
        if (listed.contains(server) || s.state == EndpointState::removed) continue;
        s.state = EndpointState::removed;
        changed.push_back(server);
    }
}

void Node::publish_endpoints() {
    if (gossip_ == nullptr) return;
    std::vector<std::string> names;
    int in_own_zone = 0;
    for (const auto& [name, server] : servers_.numbers()) {
        const Server& s = servers_.at(server);
        if (servers_.is_origin(s)) continue;
        names.push_back(name);
        if (s.zone == config_.deployment.zone && servers_.accepts_attempts(server)) ++in_own_zone;
    }
    gossip_->on_endpoints(names, in_own_zone);
}

// Ignores a verdict on a server that is not in the server table: only this node's own endpoint list adds
// servers, other nodes' verdicts do not.
void Node::on_outlier_verdict(double now, const std::string& name, bool is_bad, double probe_interval) {
    const int server = servers_.find(name);
    if (server != ServerTable::kUnknown) balancer_->on_outlier_verdict(now, server, is_bad, probe_interval);
}

// Converts registration changes to an endpoint update. If the start of a server was observed, it counts as
// started now, because the start time that a server reports is taken from its own clock.
void Node::on_registrations(const std::vector<RegistrationChange>& changes) {
    EndpointUpdate update;
    // Servers of the first view did not start just now, so their reported start time is used.
    const bool is_first_view = !std::exchange(has_registrations_, true);
    for (const RegistrationChange& change : changes) {
        EndpointRecord record;
        record.name = change.who.name;
        record.address = change.who.address;
        record.zone = change.who.zone;
        record.kind = change.who.kind;
        record.cell = change.who.cell;
        record.state = change.standing;
        const int server = servers_.find(record.name);
        record.started_at = is_first_view                     ? change.who.started
                            : change.fresh                    ? wall_clock_.read().wall_now()
                            : server != ServerTable::kUnknown ? servers_.at(server).started_at
                                                              : 0;
        update.servers.push_back(std::move(record));
    }
    event_queue_.emplace_back([this, update = std::move(update)](double now) {
        apply_endpoint_update(now, UpdateKind::delta, update);
    });
}

// Evicts removed servers, which would otherwise accumulate for as long as the node runs.
void Node::evict_removed_servers() {
    timers_.cancel(eviction_timer_);
    const double oldest = requests_.oldest_received_at(monotonic_now());
    const bool has_removed = servers_.evict_removed(
        oldest, [this](int server) { return pool_.in_use(server); },
        [this](int server) { pool_.remove_server(server); });
    if (!has_removed) return;
    eviction_timer_ = timers_.schedule(monotonic_now() + kEvictionInterval, [this] {
        eviction_timer_ = {};
        evict_removed_servers();
    });
}

// ---- the balancer's requests -----------------------------------------------------------------------------

bool Node::admit_slow_start(int server) {
    return gossip_ == nullptr || !gossip_->limits_slow_start() ||
           !servers_.is_cold(server, monotonic_now()) ||
           gossip_->admit_slow_start(monotonic_now(), servers_.at(server).name);
}

void Node::start_attempt(int request, int server, double limit) {
    if (gossip_ != nullptr && gossip_->limits_slow_start() && servers_.is_cold(server, monotonic_now()))
        gossip_->on_slow_start_attempt(monotonic_now(), servers_.at(server).name);
    ActiveRequest& active = requests_.at(request);
    const int attempt = active.attempts++;
    ++active.in_flight;
    trace(TraceEvent::attempt_started, request, attempt, server, {});
    action_queue_.emplace_back(
        [this, request, attempt, server, limit] { send_attempt(request, attempt, server, limit); });
}

// Called whenever an attempt is about to be written, because any condition may have changed since the
// balancer requested it.
SendRefusal Node::check_attempt(int request, int server) {
    const ActiveRequest& active = requests_.at(request);
    SendFacts facts;
    facts.answered = active.answered;
    facts.client_closed = clients_.close_if_client_closed(active.client);
    facts.close_hidden_for = clients_.close_hidden_for(active.client);
    facts.server_ready = servers_.accepts_attempts(server);
    facts.now = monotonic_now();
    facts.deadline = active.deadline;
    facts.idempotency = active.operation.idempotency;
    facts.deduplication_window = active.operation.deduplication_window;
    facts.may_have_run_since = active.may_have_run_since;
    return check_send(facts);
}

void Node::refuse_attempt(int request, int attempt, int server, SendRefusal refusal) {
    metrics_.on_send_refused(refusal);
    trace(TraceEvent::attempt_refused, request, attempt, server, name_of(refusal));
    if (refusal != SendRefusal::answered && refusal != SendRefusal::client_closed)
        log_.line(Topic::node, "attempt_refused",
                  "attempt " + std::to_string(attempt) + " of request " + requests_.at(request).command.id +
                      " at " + servers_.at(server).name + " not sent: " + std::string(name_of(refusal)));
    event_queue_.emplace_back(
        [this,
         result = UpstreamPool::AttemptResult{
             request, attempt, server, AttemptOutcome::not_sent, 0, {}, 0, 0, false}](double now) mutable {
            on_attempt_finished(now, result);
        });
}

void Node::send_attempt(int request, int attempt, int server, double limit) {
    const ActiveRequest& active = requests_.at(request);
    const double time_left = std::min(limit, active.deadline - monotonic_now());
    SendRefusal refusal = check_attempt(request, server);
    if (refusal == SendRefusal::none && time_left <= 0) refusal = SendRefusal::deadline_passed;
    if (refusal != SendRefusal::none) return refuse_attempt(request, attempt, server, refusal);
    // Above its share of the fleet's quota, a node sends no attempt to the origin; the client has to retry.
    if (gossip_ != nullptr && servers_.is_origin(servers_.at(server)) &&
        !gossip_->admit_origin_attempt(monotonic_now()))
        return refuse_attempt(request, attempt, server, SendRefusal::over_quota);
    if (gossip_ != nullptr && !servers_.is_origin(servers_.at(server)))
        gossip_->on_attempt_started(monotonic_now(), attempt_key(request, attempt), servers_.at(server).name,
                                    servers_.at(server).zone, active.operation.latency_objective);
    // The balancer assumes that a retry begins at most one connect timeout after it is requested. Later, it
    // could run when the deduplication window of the first attempt has ended.
    const bool is_keyed_retry = attempt > 0 && active.operation.idempotency == Idempotency::idempotency_key;
    pool_.start_attempt(request, attempt, server, active.command, time_left,
                        is_keyed_retry ? pool_.connect_timeout() : 0);
}

// The attempt's connection is ready, possibly long after the attempt was requested, so it is checked again.
void Node::send_on_connection(int request, int attempt, int server) {
    const SendRefusal refusal = check_attempt(request, server);
    if (refusal != SendRefusal::none) {
        metrics_.on_send_refused(refusal);
        trace(TraceEvent::attempt_refused, request, attempt, server, name_of(refusal));
        return pool_.abandon(request, attempt);
    }
    pool_.send(request, attempt, requests_.at(request).command);
}

// Called immediately before an attempt is written. Reports a violation if a rule that check_attempt()
// enforces does not hold for what is written.
void Node::on_attempt_write(int request, int attempt, int server, double time_left) {
    ActiveRequest& active = requests_.at(request);
    const double now = monotonic_now();
    const auto describe_attempt = [&] {
        return "request " + active.command.id + ", attempt " + std::to_string(attempt) + " at " +
               servers_.at(server).name;
    };
    if (active.answered || now >= active.deadline || !servers_.accepts_attempts(server))
        violations_.report(Violation::sent_despite_refusal, describe_attempt());
    if (time_left > active.deadline - now + kServerDeadlineSlack)
        violations_.report(Violation::deadline_too_long, describe_attempt());
    const bool repeats = active.possible_runs > 0;
    if (repeats && active.operation.idempotency == Idempotency::none)
        violations_.report(Violation::sent_despite_refusal, describe_attempt());
    if (repeats && active.operation.idempotency == Idempotency::idempotency_key &&
        now >= active.may_have_run_since + active.operation.deduplication_window)
        violations_.report(Violation::deduplication_window_passed, describe_attempt());
    if (active.possible_runs++ == 0) active.may_have_run_since = now;
    if (active.operation.idempotency != Idempotency::idempotent) repeat_guard_->add(active.command.id);
    metrics_.on_send(now - endpoints_confirmed_at_);
    trace(TraceEvent::attempt_written, request, attempt, server, {});
}

void Node::cancel_attempt(int request, int attempt) {
    action_queue_.emplace_back([this, request, attempt] { pool_.cancel(request, attempt); });
}

void Node::reject(int request, double retry_after) {
    respond(request, format_busy(retry_after));
    finish(request, RequestEnd::rejected);
}

void Node::fail(int request) {
    respond(request, kFailedReply);
    finish(request, RequestEnd::failed);
}

void Node::check_health(int server) {
    action_queue_.emplace_back([this, server] { pool_.check_health(server, kHealthCheckTimeout); });
}

void Node::close_idle_connections(int server) {
    action_queue_.emplace_back([this, server] { pool_.close_idle(server); });
}

void Node::poll_endpoints() {
    if (coordination_ != nullptr) return;  // it is notified without polling
    action_queue_.emplace_back([this] { endpoint_watch_.poll(); });
}

void Node::set_timer(double after, std::uint64_t token) {
    timers_.schedule(monotonic_now() + after, [this, token] {
        event_queue_.emplace_back([this, token](double now) { balancer_->on_timer(now, token); });
    });
}

void Node::log(std::string_view text) { log_.line(Topic::policy, "said", text); }

void Node::respond(int request, std::string text) {
    if (requests_.at(request).answered) return;
    action_queue_.emplace_back(
        [this, client = requests_.at(request).client, text = std::move(text)]() mutable {
            clients_.respond(client, std::move(text));
        });
}

// ---- the end of a request -----------------------------------------------------------------------------

void Node::finish(int request, RequestEnd end) {
    ActiveRequest& active = requests_.at(request);
    if (active.answered) return;
    requests_.close(request);
    timers_.cancel(active.expiry_timer);
    finished_requests_.push_back(request);
    if (active.in_flight > 0)
        action_queue_.emplace_back([this, request] { cancel_partially_sent(request, 0); });
    metrics_.on_request_end(end);
    trace(TraceEvent::ended, request, RequestTrace::kNoAttempt, ServerTable::kUnknown, name_of(end));
    const bool is_served = end == RequestEnd::served || end == RequestEnd::streamed;
    if (is_served || end == RequestEnd::client_closed || !log_.admits(Topic::request)) return;
    char text[160];
    std::snprintf(text, sizeof text, "request %.40s %s after %.3f s of %.3f s, %d attempts",
                  active.command.id.c_str(), std::string(name_of(end)).c_str(),
                  monotonic_now() - active.received_at, active.deadline - active.received_at,
                  active.attempts);
    log_.line(Topic::request, "request_ended", text);
}

void Node::trace(TraceEvent event, int request, int attempt, int server, std::string_view detail) {
    trace_.record(monotonic_now(), event, requests_.at(request).command.id, attempt,
                  server == ServerTable::kUnknown ? std::string_view() : servers_.at(server).name, detail);
}

// The request has been answered or its client is or may be gone, so attempts that have not begun to run must
// not begin.
void Node::cancel_partially_sent(int request, std::size_t tolerated_bytes) {
    const int attempts = requests_.at(request).attempts;
    const bool may_cancel = config_.deployment.may_cancel;
    for (int attempt = 0; attempt < attempts; ++attempt)
        pool_.cancel_partially_sent(request, attempt, may_cancel, tolerated_bytes);
}

// ---- what sibling processes share -------------------------------------------------------------------

void Node::retry_listed() {
    admin_state_.retry_listed();
    timers_.schedule(monotonic_now() + kListedRetryInterval, [this] { retry_listed(); });
}

// Descriptors and memory are one budget for all processes of this node. This process's share is what the
// siblings do not use.
void Node::update_budget_share() {
    if (sibling_processes_ == nullptr) return;
    sibling_processes_->publish(clients_.open_count() + pool_.open_count());
    const SiblingProcesses::Usage siblings = sibling_processes_->others_usage();
    const double total_descriptors = config_.descriptors - kReservedDescriptors;
    const double used_by_siblings =
        siblings.descriptors + siblings.processes * (kReservedDescriptors + kDescriptorMargin);
    const double share = std::max(1 - used_by_siblings / total_descriptors, kMinBudgetShare);
    if (share == budget_share_) return;
    budget_share_ = share;
    // Every process occupies memory before it has a connection.
    const MemoryPlan together = memory_plan(config_, 1 + siblings.processes);
    const double byte_share =
        share * static_cast<double>(together.client_bytes) / static_cast<double>(memory_plan_.client_bytes);
    clients_.set_budget_shares(share, byte_share);
    pool_.set_budget_shares(share, byte_share);
}

void Node::save_warm_start() {
    if (!accepts_clients_) return;
    warm_start_file_.save(balancer_->snapshot(monotonic_now()), wall_clock_.read(), config_.names.kinds,
                          [this](int server) { return servers_.at(server).name; });
    timers_.schedule(monotonic_now() + kWarmStartInterval, [this] { save_warm_start(); });
}

void Node::load_warm_start(double now) {
    if (!has_shared_listener_ || config_.state_folder.empty()) return;
    const auto snapshot =
        warm_start_file_.load(wall_clock_.read(), config_.names.kinds,
                              [this](const std::string& name) { return servers_.find(name); });
    if (!snapshot) return;
    balancer_->restore(now, *snapshot);
    log_.line(Topic::node, "recalled",
              "restored the warm-start snapshot of another process for " +
                  std::to_string(snapshot->servers.size()) + " cache servers");
}

}  // namespace brookrelay
