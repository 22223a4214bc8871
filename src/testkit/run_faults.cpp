// Injects the faults of a scenario at their times.
#include <algorithm>
#include <csignal>
#include <set>

#include "audit/history.h"
#include "testkit/scenario_run.h"

namespace brookrelay::testkit {
namespace {

using audit::index;

constexpr double kDefaultRemovalDelay = 2.0;      // seconds from draining to removal
constexpr double kDefaultServerDowntime = 2.0;    // seconds until a crashed server starts again
constexpr double kBrokenFileDuration = 1.0;       // seconds for which a broken configuration file is in place
constexpr double kReloadInterval = 0.06;          // seconds between reloads in quick succession
constexpr std::size_t kServersPerIteration = 32;  // that a fault is injected into in one iteration
constexpr double kDefaultStarvedRatio = 0.8;      // fraction of each starvation period that a node is stopped

std::vector<int> affected_nodes(const Trouble& t) {
    return t.nodes.empty() ? std::vector<int>{t.node} : t.nodes;
}

}  // namespace

void ScenarioRun::inject_server_fault(const Trouble& t, FakeCacheServer& s) {
    const int number = s.number();
    const double until = environment_.now() + t.lasts;
    switch (t.kind) {
        case TroubleKind::silent:
            s.silence(true);
            environment_.at(until, [&s] { s.silence(false); });
            break;
        case TroubleKind::slow:
            s.slow(t.factor);
            environment_.at(until, [&s] { s.slow(1); });
            break;
        case TroubleKind::spoilt:
            s.corrupt_responses(t.part);
            environment_.at(until, [&s] { s.corrupt_responses(0); });
            break;
        case TroubleKind::crash:
        case TroubleKind::cold_return: {
            s.stop();
            const bool is_cold_return = t.kind == TroubleKind::cold_return;
            if (!is_cold_return) discovery_->list(number, s.address(), EndpointState::removed, s.started());
            const double downtime = is_cold_return ? 0.05 : t.lasts > 0 ? t.lasts : kDefaultServerDowntime;
            environment_.at(environment_.now() + downtime, [this, &s, number] {
                s.start_cold();
                if (s.running()) discovery_->list(number, s.address(), EndpointState::ready, s.started());
            });
            break;
        }
        case TroubleKind::drain:
            discovery_->list(number, s.address(), EndpointState::draining, s.started());
            if (t.lasts > 0) {
                environment_.at(until, [this, &s, number] {
                    discovery_->list(number, s.address(), EndpointState::ready, s.started());
                });
            }
            break;
        case TroubleKind::remove:
            discovery_->list(number, s.address(), EndpointState::draining, s.started());
            environment_.at(
                environment_.now() + (t.lasts > 0 ? t.lasts : kDefaultRemovalDelay), [this, &s, number] {
                    discovery_->list(number, s.address(), EndpointState::removed, s.started());
                    // The server stops discovery_lag + 1 s after the removal, so that open attempts can end
                    // first, as in an orderly removal.
                    environment_.at(environment_.now() + scenario_.discovery_lag + 1, [&s] { s.stop(); });
                });
            break;
        default:
            break;
    }
}

// Writes the configuration and sends SIGHUP, `repeats` times in all. Every other reload of a fault that
// rotates operations lists them in another order and adds one that no request uses.
void ScenarioRun::reload_node(const Trouble& t, int turn) {
    if (has_ended_ || turn >= t.repeats) return;
    Node& n = nodes_[index(t.node)];
    Scenario changed_scenario = scenario_;
    if (t.rotates_operations && turn % 2 == 0) {
        std::rotate(changed_scenario.operations.begin(), changed_scenario.operations.begin() + 1,
                    changed_scenario.operations.end());
        changed_scenario.operations.push_back(changed_scenario.operations.front());
        changed_scenario.operations.back().name = "unused-" + std::to_string(turn);
    }
    n.daemon->configure(node_config_json(changed_scenario, t.node, n.listen, discovery_->agent(t.node),
                                         discovery_->whole_list(t.node), 77, n.gossip));
    n.daemon->signal(SIGHUP);
    environment_.at(environment_.now() + kReloadInterval, [this, &t, turn] { reload_node(t, turn + 1); });
}

// Injects the fault into its servers, from the one at `first` on. A fault of a thousand servers takes several
// iterations of the event loop, as otherwise the clients and servers of this process would stand still.
void ScenarioRun::inject_server_faults(const Trouble& t, std::size_t first) {
    if (has_ended_) return;
    const std::size_t last = std::min(first + kServersPerIteration, t.who.size());
    for (std::size_t i = first; i < last; ++i) inject_server_fault(t, *find_server(t.who[i]));
    if (last == t.who.size()) return;
    environment_.at(environment_.now(), [this, &t, last] { inject_server_faults(t, last); });
}

// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size): see ROADMAP
void ScenarioRun::inject_fault(const Trouble& t) {
    if (has_ended_) return;
    const double until = environment_.now() + t.lasts;
    std::string text = trouble_names()[static_cast<std::size_t>(t.kind)];
    for (const std::string& name : t.who) text += " " + name;
    switch (t.kind) {
        case TroubleKind::silent:
        case TroubleKind::crash:
        case TroubleKind::slow:
        case TroubleKind::cold_return:
        case TroubleKind::drain:
        case TroubleKind::remove:
        case TroubleKind::spoilt:
            inject_server_faults(t, 0);
            break;
        case TroubleKind::void_copies:
            for (const auto& c : caches_) c->drop_part(t.part, plan_.seed);
            break;
        case TroubleKind::origin_slow:
            origin_->slow(t.factor);
            environment_.at(until, [this] { origin_->slow(1); });
            break;
        case TroubleKind::origin_stop:
            origin_->halt(t.lasts);
            break;
        case TroubleKind::discovery_down:
            discovery_->down(true);
            environment_.at(until, [this] { discovery_->down(false); });
            break;
        case TroubleKind::discovery_stale:
            discovery_->stale(true);
            environment_.at(until, [this] { discovery_->stale(false); });
            break;
        case TroubleKind::discovery_restart: {
            std::set<int> omitted_servers;
            for (const std::string& name : t.who) omitted_servers.insert(find_server(name)->number());
            discovery_->restart(omitted_servers);
            if (t.lasts > 0) environment_.at(until, [this] { discovery_->readmit(); });
            break;
        }
        case TroubleKind::node_kill:
            for (const int node : affected_nodes(t)) {
                text += " " + std::to_string(node);
                kill_node(node, t.lasts > 0 ? t.lasts : kDefaultNodeDowntime);
            }
            break;
        case TroubleKind::node_restart:
            for (const int node : affected_nodes(t)) {
                text += " " + std::to_string(node);
                terminate_node(node);
            }
            break;
        case TroubleKind::limits:
            for (const int node : affected_nodes(t)) {
                text += " " + std::to_string(node);
                write_operator_file(node, t.origin);
                nodes_[index(node)].daemon->signal(SIGHUP);
            }
            break;
        case TroubleKind::freeze:
        case TroubleKind::starved:
        case TroubleKind::list_late:
            for (const int node : affected_nodes(t)) {
                text += " " + std::to_string(node);
                if (t.kind == TroubleKind::freeze) {
                    pause_node(node, t.lasts);
                } else if (t.kind == TroubleKind::starved) {
                    starve_node(node, t.part < 1 ? t.part : kDefaultStarvedRatio, until);
                } else {
                    discovery_->hold(node, true);
                    environment_.at(until, [this, node] { discovery_->hold(node, false); });
                }
            }
            break;
        case TroubleKind::cut:
        case TroubleKind::lossy:
        case TroubleKind::late:
        case TroubleKind::doubled:
        case TroubleKind::reordered:
        case TroubleKind::garbled:
            for (const std::string& name : t.from) text += " " + name;
            if (network_ != nullptr) network_->inject(t, until);
            break;
        case TroubleKind::reload:
            text += " " + std::to_string(t.node);
            reload_node(t, 0);
            break;
        case TroubleKind::reload_bad: {
            Node& n = nodes_[index(t.node)];
            text += " " + std::to_string(t.node);
            const std::string valid_config = configuration(t.node, 77);
            n.daemon->configure(valid_config.substr(0, valid_config.size() / 2));
            n.daemon->signal(SIGHUP);
            environment_.at(environment_.now() + kBrokenFileDuration,
                            [&n, valid_config] { n.daemon->configure(valid_config); });
            break;
        }
        case TroubleKind::tricklers:
            clients_->add_slow_writers(t.node, t.count, until);
            break;
        case TroubleKind::non_readers:
            clients_->add_non_readers(t.node, t.count, until);
            break;
        case TroubleKind::hot_key:
        case TroubleKind::scan:
        case TroubleKind::over_share:
        case TroubleKind::count:
            break;  // part of the request schedule
    }
    add_mark(text);
    if (t.lasts > 0) {
        environment_.at(until, [this, text] {
            if (!has_ended_) add_mark("end of " + text);
        });
    }
}

}  // namespace brookrelay::testkit
