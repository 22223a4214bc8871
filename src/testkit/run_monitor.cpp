// The periodic measurements of a scenario run: delays of its event loop, resource usage of the daemons, the
// time series of the report and the fleet views of the nodes.
#include <rapidjson/document.h>

#include <algorithm>
#include <cstdio>

#include "audit/history.h"
#include "testkit/scenario_run.h"

namespace brookrelay::testkit {
namespace {

using audit::index;

constexpr double kLoopCheckInterval = 0.005;   // seconds between the checks for delays of the event loop
constexpr double kDaemonCheckInterval = 0.05;  // seconds between the checks of the daemons
constexpr double kViewInterval = 0.25;         // seconds between the queries of the fleet views
constexpr double kViewTimeout = 1.0;           // seconds for the response to one query

}  // namespace

// Reports the delay of this event loop to the auditor: during a delay, the events that fake servers and
// clients observe get timestamps that are too late.
void ScenarioRun::check_loop_delay(double expected) {
    const double now = environment_.now();
    auditor_.on_watcher_delay(now, now - expected);
    if (has_ended_) return;
    environment_.at(now + kLoopCheckInterval,
                    [this, next = now + kLoopCheckInterval] { check_loop_delay(next); });
}

// Reports the time that daemons waited for a core to the auditor, since a response that is late for that
// reason is no fault of the daemon. Also detects daemons that ended unexpectedly and starts them again.
void ScenarioRun::check_daemons() {
    if (has_ended_) return;
    const double now = environment_.now();
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        Node& n = nodes_[i];
        if (n.daemon->pid() == 0) continue;
        if (!n.daemon->running() && !n.daemon->is_expected_to_end) {
            ++result_.crashes;
            add_mark("node " + std::to_string(i) + " CRASHED, exit code " +
                     std::to_string(n.daemon->exit_code()));
            n.is_ready = false;
            n.daemon->is_expected_to_end = true;
            n.count_ended_process();
            environment_.at(now + kDefaultNodeDowntime, [this, i] {
                if (!has_ended_) start_node(static_cast<int>(i));
            });
            continue;
        }
        const ProcessUsage f = n.daemon->resource_usage();
        if (f.waited > n.last_wait_time) auditor_.on_watcher_delay(now, f.waited - n.last_wait_time);
        n.last_wait_time = std::max(n.last_wait_time, f.waited);
        n.last_cpu_time = std::max(n.last_cpu_time, f.cpu);
        result_.daemon_rss_mb = std::max(result_.daemon_rss_mb, f.max_rss_mb);
        result_.daemon_descriptors = std::max(result_.daemon_descriptors, f.descriptors);
    }
    environment_.at(now + kDaemonCheckInterval, [this] { check_daemons(); });
}

void ScenarioRun::record_second() {
    Series& s = result_.series;
    const double now = environment_.now();
    s.forwards.resize(caches_.size() + 1);
    s.connections.resize(caches_.size());
    for (std::size_t i = 0; i < caches_.size(); ++i)
        s.connections[i].push_back(caches_[i]->most_connections());
    for (std::size_t i = 0; i <= caches_.size(); ++i) {
        const std::uint64_t all = i < caches_.size() ? caches_[i]->counts().forwards
                                                     : origin_->counts().reads + origin_->counts().writes;
        s.forwards[i].push_back(static_cast<double>(all - last_attempt_counts_[i]));
        last_attempt_counts_[i] = all;
    }
    s.list_calls.push_back(static_cast<double>(discovery_->counts().calls - last_list_call_count_));
    last_list_call_count_ = discovery_->counts().calls;
    s.origin_load.push_back(origin_->asked());
    s.origin_capacity.push_back(origin_->halted() ? 0 : origin_->capacity());
    double cpu = 0, rss = 0;
    for (const Node& n : nodes_) {
        cpu += n.last_cpu_time + n.ended_cpu_time;
        rss = std::max(rss, n.daemon->resource_usage().rss_mb);
    }
    const double before = result_.daemon_cpu_seconds;
    s.cpu.push_back(std::max(0.0, cpu - before));
    s.rss_mb.push_back(rss);
    result_.daemon_cpu_seconds = cpu;
    if (plan_.progress) {
        char line[160];
        std::snprintf(line, sizeof line,
                      "%4.0f s of %.0f  asked %llu  succeeded %llu  open %d  origin %.0f%%", to_run_time(now),
                      scenario_.length, static_cast<unsigned long long>(clients_->request_count()),
                      static_cast<unsigned long long>(clients_->succeeded()), clients_->open_request_count(),
                      100 * origin_->asked() / std::max(1e-9, origin_->capacity()));
        plan_.progress(to_run_time(now), line);
    }
    if (!has_ended_) environment_.at(now + 1, [this] { record_second(); });
}

void ScenarioRun::query_fleet_views() {
    if (has_ended_) return;
    for (int n = 0; n < scenario_.nodes; ++n) query_fleet_view(n);
    environment_.at(environment_.now() + kViewInterval, [this] { query_fleet_views(); });
}

void ScenarioRun::query_fleet_view(int node) {
    const std::string& address = nodes_[index(node)].gossip.management;
    const std::size_t colon = address.find(':');
    const Tcp::endpoint where(boost::asio::ip::make_address(address.substr(0, colon)),
                              static_cast<unsigned short>(std::stoul(address.substr(colon + 1))));
    const double requested_at = environment_.now();
    const auto conn = Connection::to(
        io_, where, clock_,
        {[](Connection& c) { c.write("GET /control/fleet HTTP/1.1\r\nHost: node\r\n\r\n"); }, nullptr,
         [this, node, requested_at](Connection& c) { parse_fleet_view(node, requested_at, c.input()); }});
    environment_.at(requested_at + kViewTimeout, [conn] { conn->close(); });
}

void ScenarioRun::parse_fleet_view(int node, double requested_at, std::string_view response) {
    const std::size_t body = response.find("\r\n\r\n");
    if (body == std::string_view::npos || !response.starts_with("HTTP/1.1 200")) return;
    rapidjson::Document d;
    d.Parse(response.data() + body + 4, response.size() - body - 4);
    if (d.HasParseError() || !d.IsObject()) return;
    FleetView v;
    v.time = to_run_time(requested_at);
    v.node = node;
    v.doubts_itself = d["doubts_itself"].GetBool();
    for (const auto& p : d["peers"].GetArray()) {
        v.states.emplace_back(p["state"].GetString());
        v.starts.push_back(p["start"].GetUint());
    }
    for (const auto& f : d["verdicts"].GetArray()) {
        if (f["counts_here"].GetBool()) v.found.emplace_back(f["server"].GetString());
    }
    for (const auto& z : d["zones"].GetArray()) {
        v.zones.emplace_back(z["state"].GetString());
        v.parts.push_back(z["part"].GetDouble());
    }
    for (const auto& l : d["limits"].GetArray()) {
        const bool strict = l.HasMember("declined");
        v.limits[l["limit"].GetString()] = {l["part"].GetDouble(), l["need"].GetDouble(),
                                            strict ? l["declined"].GetDouble() : 0};
    }
    v.oldest_report_age = d["words"]["oldest_s"].GetDouble();
    v.sent_bytes = d["datagrams"]["sent_bytes"].GetDouble();
    v.unsound = d["datagrams"]["unsound"].GetDouble();
    v.strangers = d["datagrams"]["strangers"].GetDouble();
    result_.views.push_back(std::move(v));
}

}  // namespace brookrelay::testkit
