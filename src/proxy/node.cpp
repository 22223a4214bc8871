#include "proxy/node.h"

#include <algorithm>
#include <cstdio>
#include <unordered_set>
#include <utility>
#include <variant>

#include "config/json.h"
#include "config/registration.h"
#include "proxy/admin_api.h"

namespace brookrelay {
namespace {

// Descriptors: some for the listeners, operators, discovery, the loop and the log; the rest is shared out
// once, so that neither side's flood can leave the other without any. Each forward belongs to some client,
// but not every client has one out, so the clients' part is the larger.
constexpr int kDescriptorsKept = 16 + static_cast<int>(AdminServer::kMaxCallers);
constexpr double kClientsPart = 0.6;

constexpr double kStood = 0.25;    // s without a turn; some timer is due ten times as often
constexpr double kCatchUp = 0.25;  // s after it in which what lay there meanwhile is read

constexpr double kForgetEvery = 1.0;  // s between looks, while a server that is gone is not forgotten yet
constexpr double kProbeLimit = 0.5;   // s; a probe has no limit of its own

constexpr double kLookByHand = 0.025;  // s between looks for what another process of this node was told

constexpr double kWarmStartInterval = 0.25;  // s between saves of the warm-start file

constexpr int kGrowMeanwhile = 16;   // descriptors that another process may open between two looks
constexpr double kPartLeast = 0.25;  // of the budget: two that both hold much must both go on

constexpr std::size_t kBytesPart = 4;  // of the memory: what each side's buffers may hold together

constexpr const char* kZoneByHand = "\x01zone:";  // before a zone's name, where caches by hand are remembered

constexpr const char* kNoFleet = "this node does not talk with others: [fleet] in the operators' file";
constexpr const char* kFailed = "SERVER_ERROR failed\r\n";

std::uint64_t forward_key(int request, int number) {
    return static_cast<std::uint64_t>(request) << 16 | static_cast<std::uint64_t>(number);
}

std::size_t bytes(int memory_mb) { return static_cast<std::size_t>(memory_mb) * 1'000'000 / kBytesPart; }

std::size_t budget(int descriptors, double part) {
    return static_cast<std::size_t>((descriptors - kDescriptorsKept) * part);
}

// Nodes on one machine may have one folder for what they keep.
std::string own_folder(const NodeConfig& s) {
    if (s.state_folder.empty()) return {};
    std::string name = s.name + "-" + s.listen;
    std::replace(name.begin(), name.end(), '/', '_');
    return s.state_folder + "/brookrelay-" + name;
}

// FNV-1a: the same at every node, as the ring needs it; the module mixes it further.
std::uint64_t key_number(std::string_view key) {
    std::uint64_t h = 0xcbf29ce484222325ULL;
    for (const char c : key) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    return h;
}

}  // namespace

Node::Node(const NodeConfig& station, const OperatorConfig& operator_file, Log& log)
    : station_(station),
      operator_file_(operator_file),
      log_(log),
      wall_clock_offset_(static_cast<double>(g_get_real_time()) / 1e6 - monotonic_now()),
      balancer_(make_balancer(station.deployment, station.seed, *this)),
      pool_(
          timers_, log, station.deployment, budget(station.descriptors, 1 - kClientsPart),
          bytes(station.memory_mb),
          [this](UpstreamPool::AttemptResult&& end) {
              inbox_.emplace_back([this, e = std::move(end)](double now) mutable { ended(now, e); });
          },
          // Only after all that this turn of the loop brings has been heard: whether it is still to be sent.
          [this](int request, int forward) {
              inbox_.emplace_back([this, request, forward](double) {
                  to_do_.emplace_back([this, request, forward] { begin_forward(request, forward); });
              });
          },
          {[this](std::uint64_t relay) {
               return relays_.contains(relay) ? clients_.stream_capacity(relays_[relay]) : 0;
           },
           [this](std::uint64_t relay, std::string_view piece) {
               clients_.write_chunk(relays_[relay], piece);
           },
           [this](std::uint64_t relay, bool whole) {
               const auto at = relays_.find(relay);
               if (at == relays_.end()) return;
               const ClientConnections::RequestHandle asker = at->second;
               relays_.erase(at);
               clients_.end_stream(asker, whole, kFailed);
           }}),
      clients_(
          timers_, log, budget(station.descriptors, kClientsPart), bytes(station.memory_mb),
          [this](const ClientConnections::RequestHandle& asker, Command&& command) {
              return asked(asker, std::move(command));
          },
          [this](const ClientConnections::RequestHandle& asker, int request) { left(asker, request); },
          {[this](std::uint64_t relay) { pool_.resume(relay); },
           [this](std::uint64_t relay) {
               relays_.erase(relay);
               pool_.abandon_stream(relay);
           }}),
      discovery_(
          timers_, log, station,
          [this](EndpointUpdate&& list) {
              inbox_.emplace_back([this, told = std::move(list)](double now) {
                  listed(now, told.is_full ? UpdateKind::full : UpdateKind::delta, told);
              });
          },
          [this] { inbox_.emplace_back([this](double now) { balancer_->on_poll_failed(now); }); }),
      management_(
          timers_, log,
          [this](std::uint64_t caller, const HttpRequest& call) { handle_admin_request(caller, call); }),
      by_hand_(own_folder(station)),
      warm_start_file_(own_folder(station) + "/learned"),
      servers_(station_.deployment, wall_clock_offset_) {
    if (operator_file.gossip_enabled) {
        const std::string against = GossipAgent::why_unavailable(station);
        if (against.empty()) {
            talk_ = std::make_unique<GossipAgent>(
                timers_, log, station, operator_file,
                [this] {
                    inbox_.emplace_back([this](double now) {
                        talk_->tick(now);
                        if (talk_->limits_connections()) pool_.enforce_connection_limit();
                    });
                },
                [this](double now, const std::string& name, bool bad, double apart) {
                    found_by_fleet(now, name, bad, apart);
                },
                [this](double now, const gossip::ZoneFailover::Change& o) {
                    balancer_->set_zone_weight(now, o.zone, o.weight, o.probe_interval);
                },
                [this](double now, int tenant, double part) {
                    balancer_->set_tenant_quota_share(now, tenant, part);
                });
            limit_places();
        } else {
            log.line(Topic::node, "peers_off", "tells other nodes nothing: " + against);
        }
    }
    if (operator_file.registry_addresses.empty()) return;
    const auto read = [this](const std::string&, const std::string& data,
                             std::string& why) -> std::optional<Registration> {
        try {
            return read_registration(data, station_.names);
        } catch (const ConfigurationError& bad) {
            why = bad.what();
            return std::nullopt;
        }
    };
    registry_ = std::make_unique<CoordinationClient>(
        timers_, log, operator_file.registry_addresses, operator_file.registry_path,
        operator_file.registry_session_timeout, station.seed, read,
        [this](std::vector<RegistrationChange>&& changes) { registered(changes); });
}

bool Node::start(int inherited, std::string& complaint) {
    shared_ = inherited >= 0;
    SocketRef listener =
        shared_ ? adopt_listener(inherited, complaint) : listen_on(station_.listen, complaint);
    if (listener == nullptr) {
        complaint = (shared_ ? "GW_ACCEPT_FD: " : "field 'listen': ") + complaint;
        return false;
    }
    if (!station_.admin_listen.empty() && !management_.listen(station_.admin_listen, complaint)) {
        complaint = "field 'management': " + complaint;
        return false;
    }
    turned_at_ = monotonic_now();
    const std::vector<std::string> by_hand = by_hand_.reload(wall_clock_offset_ + monotonic_now());
    inbox_.emplace_back([this, by_hand](double now) {
        listed(now, UpdateKind::cached_on_disk, station_.cached_endpoints);
        merge_by_hand(now, by_hand);
        load_warm_start(now);
    });
    run_iteration();
    if (registry_ != nullptr) {
        registry_->start();
    } else if (!station_.deployment.polls_endpoints) {
        discovery_.poll();
    }
    if (shared_) beside_ = std::make_unique<SiblingProcesses>(own_folder(station_));
    share_budget();
    if (talk_ != nullptr) talk_->start();
    clients_.listen(std::move(listener));
    timers_.schedule(monotonic_now(), [this] { look_by_hand(); });
    if (shared_ && !station_.state_folder.empty())
        timers_.schedule(monotonic_now() + kWarmStartInterval, [this] { save_warm_start(); });
    takes_clients_ = true;
    return true;
}

void Node::run_iteration() {
    (void)came_at();
    const double now = monotonic_now();
    turned_at_ = now;
    std::vector<Event> inbox;
    inbox.swap(inbox_);
    for (const Event& happening : inbox) happening(now);
    std::vector<std::function<void()>> to_do;
    to_do.swap(to_do_);
    for (const auto& action : to_do) action();
    for (const int request : to_settle_) requests_.release(request);
    to_settle_.clear();
    pool_.destroy_closed();
    clients_.destroy_closed();
    management_.destroy_closed();
}

// All or nothing: whatever speaks against the new settings is found before the first of them is taken. What
// has been asked so far is handed to the module under the old ones, by whose numbers it was read.
void Node::reload(const NodeConfig& station, const OperatorConfig& operator_file) {
    run_iteration();
    std::vector<ServerTable::Placement> placements;
    std::string against = why_not_reloadable(station_, station);
    if (against.empty()) against = servers_.translate_placements(station_.names, station.names, placements);
    if (!against.empty()) {
        log_.line(Topic::node, "configuration_refused",
                  "new configuration not taken, the old one stays: " + against);
        return;
    }
    const bool renamed = !(station.names == station_.names);
    station_ = station;
    warm_start_file_ = WarmStartFile(own_folder(station_) + "/learned");
    pool_.apply_configuration(station.deployment);
    balancer_->on_configuration(monotonic_now(), station_.deployment);
    std::vector<Endpoint> entries;
    for (const auto& [name, server] : servers_.numbers()) {
        Server& s = servers_.at(server);
        const ServerTable::Placement& placement = placements[static_cast<std::size_t>(server)];
        s.zone = placement.zone;
        s.kind = placement.kind;
        entries.push_back(servers_.endpoint(server));
    }
    balancer_->on_endpoints(monotonic_now(), UpdateKind::full, entries);
    settle_limits(operator_file);
    if (talk_ != nullptr) talk_->repeat_zone_changes(monotonic_now());
    log_.line(Topic::node, "configuration_read",
              "configuration read again: discovery at " + station.discovery + ", settings taken" +
                  (renamed ? ", names changed" : ""));
    if (registry_ == nullptr)
        discovery_.move_to(station.discovery, station.names, station.deployment.polls_endpoints);
}

// Limits of the whole fleet are taken from a running file; the rest of it waits for a restart, and is said
// to.
void Node::settle_limits(const OperatorConfig& operator_file) {
    OperatorConfig as_it_runs = operator_file_;
    as_it_runs.fleet_quotas = operator_file.fleet_quotas;
    if (!(as_it_runs == operator_file))
        log_.line(
            Topic::node, "operator_file_waits",
            "in the operators' file more than fleet.limits has changed: that counts from the next start");
    operator_file_ = as_it_runs;
    if (talk_ == nullptr) return;
    talk_->apply_configuration(station_, operator_file_.fleet_quotas);
    limit_places();
}

void Node::limit_places() {
    if (!talk_->limits_connections()) return pool_.set_connection_limit({});
    pool_.set_connection_limit([this](int server, int wanted) {
        return talk_->max_connections(monotonic_now(), servers_.at(server).name, wanted);
    });
}

// ---- what comes in -----------------------------------------------------------------------------------

// When a command that is read now came. A process that was stopped, or swapped out, finds commands that have
// lain in its sockets all that time. Taken for new, a write would run after its client asked again elsewhere
// and was served, past the time for which a repeat is known: so they count as come when the process last ran.
double Node::came_at() {
    const double now = monotonic_now();
    if (now - turned_at_ > kStood && now >= behind_until_) {
        stood_from_ = turned_at_;
        behind_until_ = now + kCatchUp;
        char text[96];
        std::snprintf(text, sizeof text, "stood still for %.2f s: what came meanwhile counts as come before",
                      now - turned_at_);
        log_.line(Topic::node, "stood_still", text);
    }
    return now < behind_until_ ? stood_from_ : now;
}

int Node::asked(const ClientConnections::RequestHandle& asker, Command&& command) {
    const int operation = index_of(station_.names.operations, command.attributes.operation);
    const bool full = station_.max_open_requests > 0 && requests_.open_count() >= station_.max_open_requests;
    // Servers tell invocations apart by their ids alone: with one that is still open the answer made for the
    // one client would be taken for the other's.
    const bool taken = requests_.is_id_open(command.id);
    if (operation < 0 || taken || full) {
        // None has been given to the module: it may not be held, or cannot be named.
        const std::string text = operation < 0 ? "CLIENT_ERROR unknown operation\r\n"
                                 : taken       ? "CLIENT_ERROR id in use\r\n"
                                               : format_busy(0);
        inbox_.emplace_back([this, asker, text](double) { clients_.respond(asker, text); });
        return ClientConnections::kNoRequest;
    }
    const double came = came_at();
    const double due = came + command.attributes.time_remaining;
    const int request = requests_.open(asker, std::move(command), came, due);
    inbox_.emplace_back([this, request, operation](double now) { arrived(now, request, operation); });
    return request;
}

void Node::arrived(double now, int request, int operation) {
    ActiveRequest& active = requests_.at(request);
    // A net under the module: its final answer comes before this, or the client has long gone.
    active.expiry_timer =
        timers_.schedule(active.deadline + station_.deployment.response_grace, [this, request] {
            requests_.at(request).expiry_timer = {};
            inbox_.emplace_back([this, request](double then) {
                if (requests_.at(request).answered) return;
                log_.line(Topic::node, "outlived", "an invocation outlived its client timeout");
                answer(request, "SERVER_ERROR timed out\r\n");
                client_left(then, request);
            });
        });
    Request a;
    a.id = request;
    a.operation = operation;
    a.tenant = index_of(station_.names.tenants, active.command.attributes.tenant);
    a.is_write = active.command.kind == Command::Kind::write;
    a.is_client_retry = active.command.attributes.is_client_retry;
    a.has_key = true;
    a.key = key_number(active.command.key);
    a.time_remaining = std::max(0.0, active.deadline - now);
    if (talk_ != nullptr && !a.is_client_retry) talk_->on_request(now);
    if (talk_ != nullptr) talk_->on_tenant_request(now, a.tenant);
    balancer_->on_request(now, a);
}

// By the time that the inbox is read its place may be another's.
void Node::left(const ClientConnections::RequestHandle& asker, int request) {
    inbox_.emplace_back([this, asker, request](double now) {
        const ActiveRequest& active = requests_.at(request);
        if (active.client == asker && !active.answered) client_left(now, request);
    });
}

void Node::client_left(double now, int request) {
    finish(request);
    balancer_->on_client_closed(now, request);
}

void Node::ended(double now, UpstreamPool::AttemptResult& e) {
    if (e.request == UpstreamPool::kHealthCheck)
        return balancer_->on_health_check(now, e.server, e.outcome, e.latency);
    ActiveRequest& active = requests_.at(e.request);
    --active.in_flight;
    if (e.stream != 0 && !active.answered) {
        // The client gets its first bytes now, and no other forward may answer it any more.
        to_do_.emplace_back([this, asker = active.client, relay = e.stream,
                             head = format_value_header(active.command.id, e.stream_length)]() mutable {
            relays_.emplace(relay, asker);
            clients_.begin_stream(asker, std::move(head), relay);
        });
        finish(e.request);
    } else if (e.stream != 0) {
        pool_.abandon_stream(e.stream);
    } else if (e.outcome == AttemptOutcome::succeeded && !active.answered) {
        const Command& c = active.command;
        answer(e.request,
               c.kind == Command::Kind::read ? format_value(c.id, e.body) : format_receipt(c.id, e.body));
        finish(e.request);
    }
    if (talk_ != nullptr && !servers_.is_origin(servers_.at(e.server))) {
        const int operation = index_of(station_.names.operations, active.command.attributes.operation);
        if (operation >= 0)
            talk_->on_attempt_finished(
                now, forward_key(e.request, e.attempt), servers_.at(e.server).name,
                servers_.at(e.server).zone, e.outcome, e.latency,
                station_.deployment.operations[static_cast<std::size_t>(operation)].latency_objective);
    }
    balancer_->on_attempt_finished(now, e.request, e.attempt, e.outcome, e.latency, active.answered);
    to_settle_.push_back(e.request);
}

void Node::listed(double now, UpdateKind kind, const EndpointUpdate& list) {
    std::vector<Endpoint> entries;
    std::unordered_set<int> told_of;
    std::vector<std::string> first_seen;
    for (const EndpointRecord& told : list.servers) {
        // What is gone and was never known, or is forgotten by now, must not become known by that.
        if (told.state == EndpointState::removed && !servers_.contains(told.name)) continue;
        if (!servers_.contains(told.name)) first_seen.push_back(told.name);
        const int server = servers_.find_or_add(told.name);
        told_of.insert(server);
        servers_.update(server, told, by_hand_.state_of(told.name));
        const Server& s = servers_.at(server);
        entries.push_back(servers_.endpoint(server));
        pool_.add_server(server, s.name, s.address, servers_.is_origin(s));
    }
    for (const auto& [name, server] : servers_.numbers()) {
        Server& s = servers_.at(server);
        if (list.is_full && !told_of.contains(server) && s.state != EndpointState::removed) {
            s.state = EndpointState::removed;
            entries.push_back(servers_.endpoint(server));
        }
        if (!servers_.accepts_attempts(server)) pool_.close_unstarted(server);
        if (s.state != EndpointState::removed) {
            s.removed_at = 0;
        } else if (s.removed_at == 0) {
            s.removed_at = now;
        }
    }
    if (!entries.empty() || list.is_full) {
        log_.line(Topic::discovery, "list",
                  "version " + std::to_string(list.version) + ": " + std::to_string(list.servers.size()) +
                      " servers told, " + std::to_string(servers_.size()) + " known" +
                      (list.is_full ? " (whole list)" : ""));
    }
    if (!first_seen.empty()) by_hand_.record_listed(first_seen);
    balancer_->on_endpoints(now, kind, entries);
    forget_gone();
    tell_talk_of_list();
}

void Node::tell_talk_of_list() {
    if (talk_ == nullptr) return;
    std::vector<std::string> names;
    int in_own_zone = 0;
    for (const auto& [name, server] : servers_.numbers()) {
        const Server& s = servers_.at(server);
        if (servers_.is_origin(s)) continue;
        names.push_back(name);
        if (s.zone == station_.deployment.zone && servers_.accepts_attempts(server)) ++in_own_zone;
    }
    talk_->on_endpoints(names, in_own_zone);
}

// Only of what this node's own list has named, and knows still: hearing of a server from others is not
// enough.
void Node::found_by_fleet(double now, const std::string& name, bool bad, double apart) {
    const int known = servers_.find(name);
    if (known != ServerTable::kUnknown) balancer_->on_outlier_verdict(now, known, bad, apart);
}

// Registrations are news like discovery's. A start that was seen counts from now: how long ago the server
// itself says that it began is its own clock's word.
void Node::registered(const std::vector<RegistrationChange>& changes) {
    EndpointUpdate list;
    // Who stands there when this node first looks did not start just now: only then the registration's word
    // counts.
    const bool first = !std::exchange(registry_heard_, true);
    for (const RegistrationChange& c : changes) {
        EndpointRecord s;
        s.name = c.who.name;
        s.address = c.who.address;
        s.zone = c.who.zone;
        s.kind = c.who.kind;
        s.cell = c.who.cell;
        s.state = c.standing;
        const int known = servers_.find(s.name);
        s.started_at = first                            ? c.who.started
                       : c.fresh                        ? monotonic_now() + wall_clock_offset_
                       : known != ServerTable::kUnknown ? servers_.at(known).started_at
                                                        : 0;
        list.servers.push_back(std::move(s));
    }
    inbox_.emplace_back([this, told = std::move(list)](double now) { listed(now, UpdateKind::delta, told); });
}

// Servers come and go for as long as the node runs, so what is gone must go here too. Its number may stand
// for another only once nothing that names it can still be heard: an invocation from its time may have a
// forward out there, or be held to where its first one went.
void Node::forget_gone() {
    timers_.cancel(forgetting_);
    const double oldest = requests_.oldest_received_at(monotonic_now());
    const bool some_left = servers_.evict_removed(
        oldest, [this](int server) { return pool_.in_use(server); },
        [this](int server) { pool_.remove_server(server); });
    if (!some_left) return;
    forgetting_ = timers_.schedule(monotonic_now() + kForgetEvery, [this] {
        forgetting_ = {};
        forget_gone();
    });
}

// ---- what the module asks for ------------------------------------------------------------------------

bool Node::admit_slow_start(int server) {
    return talk_ == nullptr || !talk_->limits_slow_start() || !servers_.is_cold(server, monotonic_now()) ||
           talk_->admit_slow_start(monotonic_now(), servers_.at(server).name);
}

void Node::start_attempt(int request, int server, double limit) {
    if (talk_ != nullptr && talk_->limits_slow_start() && servers_.is_cold(server, monotonic_now()))
        talk_->on_slow_start_attempt(monotonic_now(), servers_.at(server).name);
    ActiveRequest& active = requests_.at(request);
    const int number = active.attempts++;
    ++active.in_flight;
    to_do_.emplace_back(
        [this, request, number, server, limit] { carry_out_forward(request, number, server, limit); });
}

void Node::carry_out_forward(int request, int number, int server, double limit) {
    const ActiveRequest& active = requests_.at(request);
    const double left = std::min(limit, active.deadline - monotonic_now());
    // Decided before the turn's news of the server came, or before its client's end was read.
    const bool declined = active.answered || left <= 0 || !servers_.accepts_attempts(server) ||
                          clients_.has_closed(active.client);
    // Past its part of the fleet's limit a node sends nothing to the origin: who asked is told to come again.
    if (declined || (talk_ != nullptr && servers_.is_origin(servers_.at(server)) &&
                     !talk_->admit_origin_attempt(monotonic_now()))) {
        inbox_.emplace_back(
            [this,
             e = UpstreamPool::AttemptResult{request, number, server, AttemptOutcome::not_sent, 0, {}, 0, 0}](
                double now) mutable { ended(now, e); });
        return;
    }
    if (talk_ != nullptr && !servers_.is_origin(servers_.at(server))) {
        const int operation = index_of(station_.names.operations, active.command.attributes.operation);
        if (operation >= 0)
            talk_->on_attempt_started(
                monotonic_now(), forward_key(request, number), servers_.at(server).name,
                servers_.at(server).zone,
                station_.deployment.operations[static_cast<std::size_t>(operation)].latency_objective);
    }
    // The module reckons that a repeat has begun a connect time-out later: after that it could run beside the
    // time for which the first is remembered.
    const int operation =
        number > 0 ? index_of(station_.names.operations, active.command.attributes.operation) : -1;
    const bool repeat =
        operation >= 0 && station_.deployment.operations[static_cast<std::size_t>(operation)].idempotency ==
                              Idempotency::idempotency_key;
    pool_.start_attempt(request, number, server, active.command, left, repeat ? pool_.connect_timeout() : 0);
}

// Its connection has come up, perhaps late.
void Node::begin_forward(int request, int number) {
    const ActiveRequest& active = requests_.at(request);
    if (active.answered || clients_.has_closed(active.client)) return pool_.abandon(request, number);
    pool_.send(request, number);
}

void Node::cancel_attempt(int request, int forward) {
    to_do_.emplace_back([this, request, forward] { pool_.cancel(request, forward); });
}

void Node::reject(int request, double retry_after) {
    answer(request, format_busy(retry_after));
    finish(request);
}

void Node::fail(int request) {
    answer(request, kFailed);
    finish(request);
}

void Node::check_health(int server) {
    to_do_.emplace_back([this, server] { pool_.check_health(server, kProbeLimit); });
}

void Node::close_idle_connections(int server) {
    to_do_.emplace_back([this, server] { pool_.close_idle(server); });
}

void Node::poll_endpoints() {
    if (registry_ != nullptr) return;  // it is told without asking
    to_do_.emplace_back([this] { discovery_.poll(); });
}

void Node::set_timer(double after, std::uint64_t token) {
    timers_.schedule(monotonic_now() + after, [this, token] {
        inbox_.emplace_back([this, token](double now) { balancer_->on_timer(now, token); });
    });
}

void Node::log(std::string_view text) { log_.line(Topic::policy, "said", text); }

void Node::answer(int request, std::string text) {
    if (requests_.at(request).answered) return;
    to_do_.emplace_back([this, asker = requests_.at(request).client, said = std::move(text)]() mutable {
        clients_.respond(asker, std::move(said));
    });
}

// ---- an invocation's end -----------------------------------------------------------------------------

void Node::finish(int request) {
    ActiveRequest& active = requests_.at(request);
    if (active.answered) return;
    requests_.close(request);
    timers_.cancel(active.expiry_timer);
    to_settle_.push_back(request);
}

// ---- the operators' calls ----------------------------------------------------------------------------

void Node::handle_admin_request(std::uint64_t caller, const HttpRequest& http_request) {
    const AdminAction action = parse_admin_request(http_request);
    if (const auto* error = std::get_if<AdminError>(&action))
        return management_.respond(caller, error->status, error->text);
    if (const auto* change = std::get_if<ServerStateChange>(&action))
        return change_server_state(caller, change->server, change->drain);
    if (const auto* change = std::get_if<ZoneStateChange>(&action))
        return change_zone_state(caller, change->zone, change->drain);
    if (std::holds_alternative<FleetStateQuery>(action)) {
        return talk_ == nullptr ? management_.respond(caller, 404, kNoFleet)
                                : management_.respond(caller, 200, talk_->state_json(monotonic_now()));
    }
    return takes_clients_ ? management_.respond(caller, 200, "ready")
                          : management_.respond(caller, 503, "ends, and takes no new clients");
}

// The yes comes after the turn in which the module was told, and what it had asked for before is carried out.
void Node::change_server_state(std::uint64_t caller, const std::string& name, bool out) {
    inbox_.emplace_back([this, caller, name, out](double now) {
        const auto say = [this, caller](int status, const char* text) {
            to_do_.emplace_back([this, caller, status, text] { management_.respond(caller, status, text); });
        };
        const int known = servers_.find(name);
        if (known == ServerTable::kUnknown && !by_hand_.was_ever_listed(name))
            return say(404, "no such cache server was ever listed");
        // Without it no write and no miss could be answered, and there is no other to take its place.
        if (known != ServerTable::kUnknown && servers_.is_origin(servers_.at(known)))
            return say(409, "the origin cannot be taken out");
        if (!(out ? by_hand_.drain(name) : by_hand_.restore(name, wall_clock_offset_ + now)))
            return say(503, "could not be written down, nothing has changed");
        merge_by_hand(now, {name});
        say(200, out ? "out" : "may serve");
    });
}

// A zone is left here, or taken back, by an operator's word: this node alone, through the states of the
// fleet's own.
void Node::change_zone_state(std::uint64_t caller, const std::string& name, bool out) {
    inbox_.emplace_back([this, caller, name, out](double now) {
        const auto say = [this, caller](int status, const std::string& text) {
            to_do_.emplace_back([this, caller, status, text] { management_.respond(caller, status, text); });
        };
        const std::string kept = kZoneByHand + name;
        if (talk_ == nullptr) return say(404, kNoFleet);
        if (index_of(station_.names.zones, name) < 0) return say(404, "no such zone");
        const std::string against = talk_->why_zones_unavailable();
        if (!against.empty()) return say(409, against);
        if (out && station_.names.zones.size() < 2) return say(409, "the only zone cannot be left");
        if (!(out ? by_hand_.drain(kept) : by_hand_.restore(kept, wall_clock_offset_ + now)))
            return say(503, "could not be written down, nothing has changed");
        merge_by_hand(now, {kept});
        say(200, out ? "left" : "is taken back in steps");
    });
}

void Node::merge_by_hand(double now, const std::vector<std::string>& names) {
    std::vector<Endpoint> entries;
    for (const std::string& name : names) {
        if (name.starts_with(kZoneByHand) && talk_ != nullptr)
            talk_->set_zone_admin_state(
                now, index_of(station_.names.zones, name.substr(std::string_view(kZoneByHand).size())),
                by_hand_.state_of(name).drained);
        const int known = servers_.find(name);
        if (known == ServerTable::kUnknown) continue;
        Server& s = servers_.at(known);
        if (s.admin_state == by_hand_.state_of(name)) continue;
        s.admin_state = by_hand_.state_of(name);
        log_.line(Topic::node, s.admin_state.drained ? "taken_out" : "called_back",
                  name + (s.admin_state.drained ? " is out by hand" : " may serve again"));
        entries.push_back(servers_.endpoint(known));
        if (!servers_.accepts_attempts(known)) pool_.close_unstarted(known);
    }
    if (!entries.empty()) balancer_->on_endpoints(now, UpdateKind::delta, entries);
}

void Node::look_by_hand() {
    std::vector<std::string> changed = by_hand_.reload(wall_clock_offset_ + monotonic_now());
    if (!changed.empty()) {
        inbox_.emplace_back([this, names = std::move(changed)](double now) { merge_by_hand(now, names); });
    }
    share_budget();
    timers_.schedule(monotonic_now() + kLookByHand, [this] { look_by_hand(); });
}

// Descriptors and memory are one budget for all processes of this node: what the others hold is not this
// one's.
void Node::share_budget() {
    if (beside_ == nullptr) return;
    beside_->publish(clients_.open_count() + pool_.open_count());
    const SiblingProcesses::Usage others = beside_->others_usage();
    const double all = station_.descriptors - kDescriptorsKept;
    const double taken = others.descriptors + others.processes * (kDescriptorsKept + kGrowMeanwhile);
    const double part = std::max(1 - taken / all, kPartLeast);
    if (part == part_) return;
    part_ = part;
    clients_.set_budget_share(part);
    pool_.set_budget_share(part);
}

void Node::save_warm_start() {
    if (!takes_clients_) return;
    warm_start_file_.save(balancer_->snapshot(monotonic_now()), station_.names.kinds,
                          [this](int server) { return servers_.at(server).name; });
    timers_.schedule(monotonic_now() + kWarmStartInterval, [this] { save_warm_start(); });
}

void Node::load_warm_start(double now) {
    if (!shared_ || station_.state_folder.empty()) return;
    const auto snapshot =
        warm_start_file_.load(wall_clock_offset_ + now, station_.names.kinds,
                              [this](const std::string& name) { return servers_.find(name); });
    if (!snapshot) return;
    balancer_->restore(now, *snapshot);
    log_.line(Topic::node, "recalled",
              "goes on with what another process had learned of " + std::to_string(snapshot->servers.size()) +
                  " cache servers");
}

// ---- winding down ------------------------------------------------------------------------------------

void Node::begin_shutdown() {
    if (shutdown_.has_begun()) return;
    log_.line(Topic::node, "told_to_end",
              shared_ ? "told to end: the other processes on the listener take who comes"
                      : "told to end: serves on until the front has moved away");
    double longest = 0;
    for (const Operation& op : station_.deployment.operations) longest = std::max(longest, op.client_timeout);
    const double now = monotonic_now();
    shutdown_.begin(now, longest, shared_);
    takes_clients_ = false;
    if (shared_) {
        clients_.stop_accepting();
        clients_.begin_shutdown(true);
        return look_whether_done();
    }
    timers_.schedule(shutdown_.closes_at(), [this] { clients_.begin_shutdown(false); });
    look_whether_done();
}

void Node::look_whether_done() {
    const double now = monotonic_now();
    const bool clients_are_gone = shared_ ? clients_.empty()
                                          : shutdown_.has_front_moved_away(now) &&
                                                clients_.idle_since(GracefulShutdown::quiet_from(now));
    switch (shutdown_.next_step(now, clients_are_gone, requests_.open_count() > 0)) {
        case GracefulShutdown::Step::wait:
            break;
        case GracefulShutdown::Step::fail_open_requests:
            fail_open_requests();
            break;
        case GracefulShutdown::Step::finish:
            done_ = true;
            return;
    }
    timers_.schedule(now + GracefulShutdown::kCheckInterval, [this] { look_whether_done(); });
}

void Node::fail_open_requests() {
    log_.line(Topic::node, "errored_before_kill",
              std::to_string(requests_.open_count()) + " invocations errored before the kill");
    for (const int request : requests_.open_requests()) {
        inbox_.emplace_back([this, request](double then) {
            fail(request);
            client_left(then, request);
        });
    }
}

}  // namespace brookrelay
