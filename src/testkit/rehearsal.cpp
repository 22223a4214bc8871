#include "testkit/rehearsal.h"

#include <algorithm>
#include <random>

#include "audit/history.h"
#include "testkit/scenario_run.h"

namespace brookrelay::testkit {
namespace {

using audit::index;

constexpr double kLoopCheckInterval = 0.005;  // seconds between the checks for delays of the event loop

audit::Terms auditor_terms(const Scenario& s) {
    audit::Terms t;
    for (const OperationPlan& o : s.operations) {
        t.operations.push_back(o.promised);
        t.operation_names.push_back(o.name);
    }
    for (const TenantPlan& p : s.tenants) {
        t.tenants.push_back({p.quota});
        t.tenant_names.push_back(p.name);
    }
    t.server_names = s.server_names();
    t.origin = static_cast<int>(t.server_names.size()) - 1;
    for (std::size_t i = 0; i < t.server_names.size(); ++i) {
        t.server_zones.push_back(static_cast<int>(i % s.zones.size()));
        t.server_cells.push_back(static_cast<int>(i % s.zones.size()));
    }
    t.nodes = s.nodes;
    t.answer_grace = s.answer_grace;
    t.drain_grace = s.drain_grace;
    t.overload_window = std::max(s.fall_time, s.origin.fall_time);
    t.over_quota_value_ratio = s.beyond_share_part;
    t.origin_limit = s.talk ? s.talk_origin : 0;
    t.cold_limit = s.talk ? s.talk_cold : 0;
    for (const Trouble& one : s.troubles) {  // while a changed limit spreads, the larger one applies
        if (one.kind == TroubleKind::limits) t.origin_limit = std::max(t.origin_limit, one.origin);
    }
    t.duration = s.length;
    t.count_from = s.count_from;
    return t;
}

}  // namespace

ScenarioRun::ScenarioRun(const RunPlan& plan)
    : plan_(plan),
      scenario_(plan.scenario),
      auditor_(auditor_terms(plan.scenario)),
      environment_{io_, clock_, plan.scenario, auditor_, own_loopback(), 0, 0, {}, {}, {}, {}},
      nodes_(index(plan.scenario.nodes)) {
    std::random_device entropy;
    environment_.day =
        entropy();  // makes the request ids of concurrent runs distinct; no result depends on it
    const std::vector<std::string> names = scenario_.server_names();
    const int servers = static_cast<int>(names.size()) - 1;
    for (int i = 0; i < servers; ++i) {
        caches_.push_back(
            std::make_unique<FakeCacheServer>(environment_, i, scenario_.kinds[index(scenario_.kind_of(i))]));
        caches_by_name_[names[index(i)]] = caches_.back().get();
    }
    origin_ = std::make_unique<FakeOriginServer>(environment_, servers);
    discovery_ = std::make_unique<FakeDiscoveryServer>(environment_, scenario_.nodes);
    for (int i = 0; i < servers; ++i)
        discovery_->put(i, caches_[index(i)]->address(), EndpointState::ready, -1);
    discovery_->put(servers, origin_->address(), EndpointState::ready, -1);
    environment_.fill = [this](int to, std::uint64_t key, std::uint32_t version) {
        // A write in the meantime has dropped the copies; an older response must not restore one.
        if (version == environment_.version(key)) caches_[index(to)]->store(key, version);
    };
    environment_.drop_copies = [this](std::uint64_t key) {
        for (const auto& c : caches_) c->drop(key);
    };
    if (!scenario_.keys.filled) return;
    for (const auto& c : caches_) {
        const int most = scenario_.kinds[index(scenario_.kind_of(c->number()))].keys;
        const std::uint64_t keys =
            std::min<std::uint64_t>(scenario_.keys.count, static_cast<std::uint64_t>(most));
        for (std::uint64_t rank = keys; rank > 0; --rank) c->store(key_of_rank(rank - 1), 0);
    }
}

FakeCacheServer* ScenarioRun::find_server(const std::string& name) { return caches_by_name_.at(name); }

void ScenarioRun::fail(const std::string& why) {
    if (result_.failed.empty()) result_.failed = why;
    io_.stop();
}

void ScenarioRun::start_load() {
    if (plan_.on_started) {
        std::vector<std::string> peer_listens, managements;
        for (const Node& n : nodes_) {
            peer_listens.push_back(n.gossip.listen);
            managements.push_back(n.gossip.management);
        }
        plan_.on_started(peer_listens, managements);
    }
    clients_->start(started_at_);
    if (plan_.mannered_clients > 0) start_mannered_clients();
    for (const Trouble& t : scenario_.troubles)
        environment_.at(started_at_ + t.at, [this, &t] { inject_fault(t); });
    last_attempt_counts_.assign(caches_.size() + 1, 0);
    last_list_call_count_ = discovery_->counts().calls;
    environment_.at(started_at_ + 1, [this] { record_second(); });
    check_daemons();
    if (scenario_.talk) query_fleet_views();
    check_loop_delay(environment_.now() + kLoopCheckInterval);
    environment_.at(started_at_ + scenario_.length, [this] { check_finished(); });
}

void ScenarioRun::start_mannered_clients() {
    mannered_clients_ = std::make_unique<UnusualClients>(
        environment_,
        UnusualClients::Numbering{[this] { return clients_->take_request_id(); },
                                  [this] { return clients_->take_user_id(); }},
        plan_.seed);
    std::size_t turn = 0;
    const auto pick = [this, turn]() mutable -> std::optional<std::pair<int, Tcp::endpoint>> {
        const auto used = clients_->nodes_in_use();
        if (used.empty()) return std::nullopt;
        return used[turn++ % used.size()];
    };
    mannered_clients_->start(plan_.mannered_clients, pick, started_at_ + scenario_.length);
}

// Ends the run once every request has been answered or given up, at the latest two client timeouts and one
// second after the scenario's length.
void ScenarioRun::check_finished() {
    double max_timeout = 0;
    for (const OperationPlan& o : scenario_.operations)
        max_timeout = std::max(max_timeout, o.promised.client_timeout);
    const bool has_timed_out = to_run_time(environment_.now()) > scenario_.length + 2 * max_timeout + 1;
    if (clients_->is_finished() || has_timed_out) {
        has_ended_ = true;
        io_.stop();
        return;
    }
    environment_.at(environment_.now() + 0.02, [this] { check_finished(); });
}

// NOLINTNEXTLINE(readability-function-size): see ROADMAP
RunResult ScenarioRun::run() {
    schedule_ = draw_schedule(scenario_, plan_.seed);
    result_.digest = digest(schedule_, scenario_.troubles);
    result_.planned = schedule_.size();
    result_.series.servers = scenario_.server_names();
    clients_ = std::make_unique<LoadClients>(environment_, schedule_, plan_.seed);
    if (scenario_.talk || scenario_.has(TroubleKind::cut)) {
        network_ =
            std::make_unique<NetworkFaultProxy>(environment_, plan_.seed, scenario_.has(TroubleKind::cut));
        discovery_->dial = [this](int node, int to, const std::string& address) {
            return network_->dial(node, to, address);
        };
    }
    for (int n = 0; n < scenario_.nodes; ++n) {
        DaemonProcess::LaunchOptions place{plan_.program, plan_.folder, "n" + std::to_string(n), -1};
        if (scenario_.talk) {
            write_operator_file(n, scenario_.talk_origin);
            place.arguments = {"serve", "--operator", operator_path(n)};
            place.tmp = plan_.folder;  // keeps servers that operators removed by hand removed after a restart
            nodes_[index(n)].gossip = {network_->peer_listen(n), {}, network_->peers()};
            assign_admin_address(n);
        }
        if (plan_.keeps_state) place.tmp = plan_.folder;
        if (plan_.environment) place.environment = plan_.environment(n);
        nodes_[index(n)].daemon = std::make_unique<DaemonProcess>(std::move(place));
        assign_address(
            n, n == 0 && plan_.first_port != 0 ? plan_.first_port : free_port(io_, environment_.host));
        start_node(n);
    }
    // The event loop polls for an interruption every 50 ms.
    std::function<void()> check_interruption = [&] {
        if (is_interrupted()) {
            result_.was_interrupted = true;
            has_ended_ = true;
            io_.stop();
            return;
        }
        if (!has_ended_) environment_.at(environment_.now() + 0.05, check_interruption);
    };
    check_interruption();
    io_.run();
    has_ended_ = true;
    if (mannered_clients_ != nullptr) {
        mannered_clients_->stop();
        result_.complaints = mannered_clients_->violations();
    }
    clients_->stop();
    const double now = environment_.now();
    result_.length = has_started_ ? std::max(0.0, to_run_time(now)) : 0;
    for (Node& n : nodes_) {
        n.daemon->is_expected_to_end = true;
        n.daemon->kill();
    }
    if (result_.failed.empty()) result_.verdict = auditor_.finish(now);
    result_.latencies = clients_->latencies();
    for (const auto& c : caches_) {
        result_.hits += c->counts().hits;
        result_.misses += c->counts().misses;
        result_.server_busy += c->counts().busy;
        result_.connections += c->counts().connections;
        result_.refused_connections += c->counts().refused;
    }
    if (network_ != nullptr) {
        result_.gossip_bytes = network_->counts().bytes;
        result_.gossip_datagrams = network_->counts().datagrams;
    }
    result_.rejected_list_requests = discovery_->counts().turned_away;
    result_.origin_reads = origin_->counts().reads;
    result_.origin_writes = origin_->counts().writes;
    result_.origin_busy = origin_->counts().busy;
    result_.origin_halts = origin_->counts().halts;
    return std::move(result_);
}

RunResult execute_run(const RunPlan& plan) {
    ScenarioRun run(plan);
    return run.run();
}

}  // namespace brookrelay::testkit
