#include "testkit/rehearsal.h"

#include <rapidjson/document.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/signal_set.hpp>
#include <cmath>
#include <csignal>
#include <fstream>
#include <iterator>
#include <memory>
#include <random>
#include <utility>

#include "testkit/fake_cache_server.h"
#include "testkit/fake_discovery_server.h"
#include "testkit/fake_origin_server.h"
#include "testkit/fault_schedule.h"
#include "testkit/load_clients.h"
#include "testkit/network_fault_proxy.h"

namespace brookrelay::testkit {
namespace {

constexpr double kStartMost = 15;    // s for a daemon to answer at all
constexpr double kAnswerMost = 0.5;  // s for an answer to the question whether it serves
constexpr int kCannotListen = 1;     // the exit code of a daemon whose port is taken
constexpr std::uint64_t kStartsMost = 4;
constexpr double kLookAtSelf = 0.005;  // s between looks at the own lateness
constexpr double kLookAtDaemons = 0.05;
constexpr double kFrontMovesAway = 0.3;  // s after SIGTERM until the front deals a node nothing new
constexpr double kKillAfter = 0.7;       // s more than the longest client timeout, after SIGTERM
constexpr double kKillMost = 3.0;
constexpr double kNodeAwayUnsaid = 1.0;  // s until a killed node starts again
constexpr double kRemoveUnsaid = 2.0;    // s from draining to gone
constexpr double kCrashUnsaid = 2.0;
constexpr double kReloadBadFor = 1.0;
constexpr double kAfterStop = 0.2;      // s after a stop in which what it held meanwhile still comes late
constexpr double kStarvedUnsaid = 0.8;  // part of the time that it is stopped
constexpr double kStarvedTurn = 1.0;    // s
constexpr double kLookAtViews =
    0.25;  // s between the times that nodes are asked what they think of the fleet
constexpr double kViewMost = 1.0;
constexpr double kScheduleFrom = 0.5;  // s between the nodes' being ready and the day's begin

std::size_t index(int i) { return static_cast<std::size_t>(i); }

std::vector<int> struck(const Trouble& t) { return t.nodes.empty() ? std::vector<int>{t.node} : t.nodes; }

audit::Terms terms_of(const Scenario& s) {
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
    for (const Trouble& one : s.troubles) {  // while a change goes round the larger one holds
        if (one.kind == TroubleKind::limits) t.origin_limit = std::max(t.origin_limit, one.origin);
    }
    t.duration = s.length;
    t.count_from = s.count_from;
    return t;
}

class Day {
  public:
    explicit Day(const DayPlan& plan);
    DayResult play();

  private:
    struct Node {
        std::unique_ptr<DaemonProcess> daemon;
        std::string listen;
        GossipAddresses talk;
        std::uint64_t starts = 0;
        bool ready = false;
        double waited_before = 0, cpu_before = 0, cpu_gone = 0;
        // Its process has ended: what that used stays counted, once.
        void bury() {
            cpu_gone += cpu_before;
            cpu_before = waited_before = 0;
        }
    };

    std::string configuration(int node, std::uint64_t seed) const;
    void kill_node(int node, double away);
    void freeze(int node, double lasts);
    void starve(int node, double part, double until);
    std::string operator_path(int node) const {
        return plan_.folder + "/operator-n" + std::to_string(node) + ".toml";
    }
    void write_operator_file(int node, double origin) const;
    void ask_for_views();
    void ask_for_view(int node);
    void take_view(int node, double asked, std::string_view said);
    void place_node(int node, unsigned short port);
    void place_management(int node);
    void start_node(int node);
    void ask_whether_ready(int node, double until);
    void ready(int node);
    void begin();
    void bring_about(const Trouble& trouble);
    void strike(const Trouble& trouble, FakeCacheServer& server);
    void terminate_node(int node);
    void when_ended(int node, double kill_at);
    void look_at_self(double expected);
    void look_at_daemons();
    void each_second();
    void look_whether_over();
    void mark(const std::string& text) { result_.marks.emplace_back(clock_.now() - begun_, text); }
    FakeCacheServer* server(const std::string& name);
    bool interrupted() const { return plan_.interrupted && plan_.interrupted(); }
    void fail(const std::string& why);
    // Times of the day against the clock of the stand-ins, which starts earlier.
    double of_day(double clock_time) const { return clock_time - begun_; }

    const DayPlan& plan_;
    const Scenario& scenario_;
    Io io_;
    Clock clock_;
    audit::Auditor auditor_;
    TestEnvironment environment_;
    std::vector<PlannedRequest> schedule_;
    std::vector<std::unique_ptr<FakeCacheServer>> caches_;
    std::unique_ptr<FakeOriginServer> origin_;
    std::unique_ptr<FakeDiscoveryServer> discovery_;
    std::unique_ptr<NetworkFaultProxy> links_;  // on days on which nodes talk, or ways are cut
    std::unique_ptr<LoadClients> crowd_;
    std::vector<Node> nodes_;
    double begun_ = 0;
    bool has_begun_ = false, ended_ = false;
    std::vector<std::uint64_t> forwards_before_;
    std::uint64_t list_calls_before_ = 0;
    DayResult result_;
};

Day::Day(const DayPlan& plan)
    : plan_(plan),
      scenario_(plan.scenario),
      auditor_(terms_of(plan.scenario)),
      environment_{io_, clock_, plan.scenario, auditor_, own_loopback(), 0, 0, {}, {}, {}, {}},
      nodes_(index(plan.scenario.nodes)) {
    std::random_device any;
    environment_.day =
        any();  // ids of days that run side by side must not meet; nothing that counts hangs on it
    const int servers = static_cast<int>(scenario_.server_names().size()) - 1;
    for (int i = 0; i < servers; ++i) {
        caches_.push_back(
            std::make_unique<FakeCacheServer>(environment_, i, scenario_.kinds[index(scenario_.kind_of(i))]));
    }
    origin_ = std::make_unique<FakeOriginServer>(environment_, servers);
    discovery_ = std::make_unique<FakeDiscoveryServer>(environment_, scenario_.nodes);
    for (int i = 0; i < servers; ++i)
        discovery_->put(i, caches_[index(i)]->address(), EndpointState::ready, -1);
    discovery_->put(servers, origin_->address(), EndpointState::ready, -1);
    environment_.fill = [this](int to, std::uint64_t key, std::uint32_t version) {
        // A write since then has dropped the copies; an older answer must not bring one back.
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

FakeCacheServer* Day::server(const std::string& name) {
    const std::vector<std::string> names = scenario_.server_names();
    const auto at = std::find(names.begin(), names.end(), name);
    return caches_[static_cast<std::size_t>(at - names.begin())].get();
}

void Day::fail(const std::string& why) {
    if (result_.failed.empty()) result_.failed = why;
    io_.stop();
}

// ---- nodes ----------------------------------------------------------------------------------------------

void Day::place_node(int node, unsigned short port) {
    Node& n = nodes_[index(node)];
    // A port that is free now may be another node's that has not started yet: that one's answer would pass
    // for this one's.
    const auto taken = [&](const Node& other) {
        const std::string address = environment_.host + ":" + std::to_string(port);
        return &other != &n && (other.listen == address || other.talk.management == address);
    };
    while (std::any_of(nodes_.begin(), nodes_.end(), taken)) port = free_port(io_, environment_.host);
    n.listen = environment_.host + ":" + std::to_string(port);
    crowd_->node_at(node, {boost::asio::ip::make_address(environment_.host), port});
}

// Apart from all that the day's nodes are told already: a port that is free now is not held until its node
// starts.
void Day::place_management(int node) {
    if (!scenario_.talk) return;
    std::string address;
    const auto taken = [&](const Node& n) { return n.listen == address || n.talk.management == address; };
    do {
        address = environment_.host + ":" + std::to_string(free_port(io_, environment_.host));
    } while (std::any_of(nodes_.begin(), nodes_.end(), taken));
    nodes_[index(node)].talk.management = address;
}

std::string Day::configuration(int node, std::uint64_t seed) const {
    const Node& n = nodes_[index(node)];
    return station_json(scenario_, node, n.listen, discovery_->agent(node), discovery_->whole_list(node),
                        seed, n.talk);
}

void Day::start_node(int node) {
    Node& n = nodes_[index(node)];
    n.ready = false;
    ++n.starts;
    const std::uint64_t seed =
        key_of_rank(plan_.seed * 1000 + static_cast<std::uint64_t>(node) * 100 + n.starts);
    n.daemon->configure(configuration(node, seed));
    auditor_.on_node_started(environment_.now(), node);
    n.daemon->expected_to_end = false;
    n.daemon->start();
    ask_whether_ready(node, environment_.now() + kStartMost);
}

void Day::ask_whether_ready(int node, double until) {
    Node& n = nodes_[index(node)];
    if (ended_) return;
    if (!n.daemon->running()) {
        if (n.daemon->expected_to_end) return;
        if (has_begun_) return;  // look_at_daemons() says so
        // Between the look for a free port and the daemon's own start somebody else may have taken it.
        if (n.daemon->exit_code() == kCannotListen && n.starts < kStartsMost) {
            place_node(node, free_port(io_, environment_.host));
            place_management(node);
            return start_node(node);
        }
        return fail("the daemon ended at its start with exit code " + std::to_string(n.daemon->exit_code()) +
                    "; see " + n.daemon->log_path());
    }
    if (environment_.now() > until) return fail("the daemon does not answer; see " + n.daemon->log_path());
    const std::size_t colon = n.listen.find(':');
    const Tcp::endpoint where(boost::asio::ip::make_address(n.listen.substr(0, colon)),
                              static_cast<unsigned short>(std::stoul(n.listen.substr(colon + 1))));
    // Whoever listens there may be somebody else, who never answers.
    const auto asked_again = std::make_shared<bool>(false);
    const auto again = [this, node, until, asked_again] {
        if (std::exchange(*asked_again, true)) return;
        environment_.at(environment_.now() + 0.02, [this, node, until] { ask_whether_ready(node, until); });
    };
    const auto conn = Connection::to(io_, where, clock_,
                                     {[](Connection& c) { c.write("mn\r\n"); },
                                      [this, node, asked_again](Connection& c) {
                                          if (!c.input().starts_with("MN")) return;
                                          *asked_again = true;
                                          c.close();
                                          ready(node);
                                      },
                                      [again](Connection&) { again(); }});
    environment_.at(environment_.now() + kAnswerMost, [conn, again] {
        conn->close();
        again();
    });
}

void Day::ready(int node) {
    Node& n = nodes_[index(node)];
    if (n.ready || ended_) return;
    n.ready = true;
    crowd_->front_uses(node, true);
    if (has_begun_) return mark("node " + std::to_string(node) + " serves again");
    if (!std::all_of(nodes_.begin(), nodes_.end(), [](const Node& one) { return one.ready; })) return;
    has_begun_ = true;
    // Only now is it known when the day begins, and the day's times are the clock's from here on.
    begun_ = environment_.now() + kScheduleFrom;
    auditor_.start_run(begun_);
    for (PlannedRequest& p : schedule_) p.at += begun_;
    begin();
}

void Day::begin() {
    if (plan_.begun) {
        std::vector<std::string> all, managements;
        for (const Node& n : nodes_) {
            all.push_back(n.talk.listen);
            managements.push_back(n.talk.management);
        }
        plan_.begun(all, managements);
    }
    crowd_->begin(begun_);
    for (const Trouble& t : scenario_.troubles)
        environment_.at(begun_ + t.at, [this, &t] { bring_about(t); });
    forwards_before_.assign(caches_.size() + 1, 0);
    list_calls_before_ = discovery_->counts().calls;
    environment_.at(begun_ + 1, [this] { each_second(); });
    look_at_daemons();
    if (scenario_.talk) ask_for_views();
    look_at_self(environment_.now() + kLookAtSelf);
    environment_.at(begun_ + scenario_.length, [this] { look_whether_over(); });
}

void Day::terminate_node(int node) {
    Node& n = nodes_[index(node)];
    n.daemon->expected_to_end = true;
    n.daemon->signal(SIGTERM);
    double longest = 0;
    for (const OperationPlan& o : scenario_.operations)
        longest = std::max(longest, o.promised.client_timeout);
    const double kill_at = environment_.now() + std::min(longest, kKillMost) + kKillAfter;
    environment_.at(environment_.now() + kFrontMovesAway, [this, node] { crowd_->front_uses(node, false); });
    when_ended(node, kill_at);
}

void Day::when_ended(int node, double kill_at) {
    Node& n = nodes_[index(node)];
    if (ended_) return;
    if (n.daemon->running()) {
        if (environment_.now() >= kill_at) {
            // It was told long enough ago: what it still holds now is lost, and by its own fault.
            n.daemon->kill();
            mark("node " + std::to_string(node) + " had to be killed after SIGTERM");
        } else {
            environment_.at(environment_.now() + 0.02, [this, node, kill_at] { when_ended(node, kill_at); });
            return;
        }
    }
    n.bury();
    if (n.daemon->exit_code() != 0 && n.daemon->exit_code() != 128 + SIGKILL) ++result_.crashes;
    mark("node " + std::to_string(node) + " has ended, exit code " + std::to_string(n.daemon->exit_code()));
    start_node(node);
}

// ---- troubles -------------------------------------------------------------------------------------------

void Day::strike(const Trouble& t, FakeCacheServer& s) {
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
            s.spoil(t.part);
            environment_.at(until, [&s] { s.spoil(0); });
            break;
        case TroubleKind::crash:
        case TroubleKind::cold_return: {
            s.stop();
            const bool at_once = t.kind == TroubleKind::cold_return;
            if (!at_once) discovery_->list(number, s.address(), EndpointState::removed, s.started());
            const double away = at_once ? 0.05 : t.lasts > 0 ? t.lasts : kCrashUnsaid;
            environment_.at(environment_.now() + away, [this, &s, number] {
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
            environment_.at(environment_.now() + (t.lasts > 0 ? t.lasts : kRemoveUnsaid), [this, &s, number] {
                discovery_->list(number, s.address(), EndpointState::removed, s.started());
                // Work that is out there is ended first; a well-kept server goes only then.
                environment_.at(environment_.now() + scenario_.discovery_lag + 1, [&s] { s.stop(); });
            });
            break;
        default:
            break;
    }
}

void Day::kill_node(int node, double away) {
    Node& n = nodes_[index(node)];
    n.daemon->expected_to_end = true;
    // The judge hears of it first: what breaks from here on is the kill's doing.
    auditor_.on_node_killed(environment_.now(), node);
    n.daemon->kill();
    n.bury();
    environment_.at(environment_.now() + scenario_.clients.front_notices, [this, node] {
        if (!nodes_[index(node)].ready) crowd_->front_uses(node, false);
    });
    n.ready = false;
    environment_.at(environment_.now() + away, [this, node] {
        if (!ended_) start_node(node);
    });
}

// Stopped as a machine that pages or is moved: its sockets stand, and nothing is read from them.
void Day::freeze(int node, double lasts) {
    const double until = environment_.now() + lasts;
    auditor_.on_node_paused(until + kAfterStop, node);
    nodes_[index(node)].daemon->signal(SIGSTOP);
    environment_.at(environment_.now() + scenario_.clients.front_notices, [this, node, until] {
        if (environment_.now() < until) crowd_->front_uses(node, false);
    });
    environment_.at(until, [this, node] {
        nodes_[index(node)].daemon->signal(SIGCONT);
        if (!ended_) crowd_->front_uses(node, true);
    });
}

// Stopped and let on by turns, as on a crowded core.
void Day::starve(int node, double part, double until) {
    if (ended_ || environment_.now() >= until) return;
    auditor_.on_node_paused(until + kAfterStop, node);
    nodes_[index(node)].daemon->signal(SIGSTOP);
    environment_.at(environment_.now() + part * kStarvedTurn,
                    [this, node] { nodes_[index(node)].daemon->signal(SIGCONT); });
    environment_.at(environment_.now() + kStarvedTurn,
                    [this, node, part, until] { starve(node, part, until); });
}

void Day::write_operator_file(int node, double origin) const {
    std::ofstream file(operator_path(node));
    file << "[fleet]\ntalk = true\nbytes_a_second = " << scenario_.talk_bytes
         << "\nzones = " << (scenario_.talk_zones ? "true" : "false")
         << "\n[fleet.limits]\ntenants = " << (scenario_.talk_tenants ? "true" : "false") << "\n";
    if (origin > 0) file << "origin = " << origin << "\n";
    if (scenario_.talk_cold > 0) file << "cold = " << scenario_.talk_cold << "\n";
    if (scenario_.talk_connections > 0) file << "connections = " << scenario_.talk_connections << "\n";
}

// ---- what nodes say of the fleet ------------------------------------------------------------------------

void Day::ask_for_views() {
    if (ended_) return;
    for (int n = 0; n < scenario_.nodes; ++n) ask_for_view(n);
    environment_.at(environment_.now() + kLookAtViews, [this] { ask_for_views(); });
}

void Day::ask_for_view(int node) {
    const std::string& address = nodes_[index(node)].talk.management;
    const std::size_t colon = address.find(':');
    const Tcp::endpoint where(boost::asio::ip::make_address(address.substr(0, colon)),
                              static_cast<unsigned short>(std::stoul(address.substr(colon + 1))));
    const double asked = environment_.now();
    const auto conn =
        Connection::to(io_, where, clock_,
                       {[](Connection& c) { c.write("GET /control/fleet HTTP/1.1\r\nHost: node\r\n\r\n"); },
                        nullptr, [this, node, asked](Connection& c) { take_view(node, asked, c.input()); }});
    environment_.at(asked + kViewMost, [conn] { conn->close(); });
}

void Day::take_view(int node, double asked, std::string_view said) {
    const std::size_t body = said.find("\r\n\r\n");
    if (body == std::string_view::npos || !said.starts_with("HTTP/1.1 200")) return;
    rapidjson::Document d;
    d.Parse(said.data() + body + 4, said.size() - body - 4);
    if (d.HasParseError() || !d.IsObject()) return;
    FleetView v;
    v.time = of_day(asked);
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
    v.oldest_word = d["words"]["oldest_s"].GetDouble();
    v.sent_bytes = d["datagrams"]["sent_bytes"].GetDouble();
    v.unsound = d["datagrams"]["unsound"].GetDouble();
    v.strangers = d["datagrams"]["strangers"].GetDouble();
    result_.views.push_back(std::move(v));
}

void Day::bring_about(const Trouble& t) {
    if (ended_) return;
    const double until = environment_.now() + t.lasts;
    std::string text = trouble_words()[static_cast<std::size_t>(t.kind)];
    for (const std::string& name : t.who) text += " " + name;
    switch (t.kind) {
        case TroubleKind::silent:
        case TroubleKind::crash:
        case TroubleKind::slow:
        case TroubleKind::cold_return:
        case TroubleKind::drain:
        case TroubleKind::remove:
        case TroubleKind::spoilt:
            for (const std::string& name : t.who) strike(t, *server(name));
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
            std::set<int> left_out;
            for (const std::string& name : t.who) left_out.insert(server(name)->number());
            discovery_->restart(left_out);
            if (t.lasts > 0) environment_.at(until, [this] { discovery_->readmit(); });
            break;
        }
        case TroubleKind::node_kill:
            for (const int node : struck(t)) {
                text += " " + std::to_string(node);
                kill_node(node, t.lasts > 0 ? t.lasts : kNodeAwayUnsaid);
            }
            break;
        case TroubleKind::node_restart:
            for (const int node : struck(t)) {
                text += " " + std::to_string(node);
                terminate_node(node);
            }
            break;
        case TroubleKind::limits:
            for (const int node : struck(t)) {
                text += " " + std::to_string(node);
                write_operator_file(node, t.origin);
                nodes_[index(node)].daemon->signal(SIGHUP);
            }
            break;
        case TroubleKind::freeze:
        case TroubleKind::starved:
        case TroubleKind::list_late:
            for (const int node : struck(t)) {
                text += " " + std::to_string(node);
                if (t.kind == TroubleKind::freeze) {
                    freeze(node, t.lasts);
                } else if (t.kind == TroubleKind::starved) {
                    starve(node, t.part < 1 ? t.part : kStarvedUnsaid, until);
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
            if (links_ != nullptr) links_->strike(t, until);
            break;
        case TroubleKind::reload:
        case TroubleKind::reload_bad: {
            Node& n = nodes_[index(t.node)];
            text += " " + std::to_string(t.node);
            const std::string good = configuration(t.node, 77);
            n.daemon->configure(t.kind == TroubleKind::reload ? good : good.substr(0, good.size() / 2));
            n.daemon->signal(SIGHUP);
            if (t.kind == TroubleKind::reload_bad) {
                environment_.at(environment_.now() + kReloadBadFor,
                                [&n, good] { n.daemon->configure(good); });
            }
            break;
        }
        case TroubleKind::tricklers:
            crowd_->trickle(t.node, t.count, until);
            break;
        case TroubleKind::non_readers:
            crowd_->never_read(t.node, t.count, until);
            break;
        case TroubleKind::hot_key:
        case TroubleKind::scan:
        case TroubleKind::over_share:
        case TroubleKind::count:
            break;  // drawn into the schedule
    }
    mark(text);
    if (t.lasts > 0) {
        environment_.at(until, [this, text] {
            if (!ended_) mark("end of " + text);
        });
    }
}

// ---- watching -------------------------------------------------------------------------------------------

// The loop's own lateness: whatever a stand-in or a client saw in such a time is dated late.
void Day::look_at_self(double expected) {
    const double now = environment_.now();
    auditor_.on_watcher_delay(now, now - expected);
    if (ended_) return;
    environment_.at(now + kLookAtSelf, [this, next = now + kLookAtSelf] { look_at_self(next); });
}

// A daemon that waits for a core is late by no fault of its own. It also learns here of one that has ended.
void Day::look_at_daemons() {
    if (ended_) return;
    const double now = environment_.now();
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        Node& n = nodes_[i];
        if (n.daemon->pid() == 0) continue;
        if (!n.daemon->running() && !n.daemon->expected_to_end) {
            ++result_.crashes;
            mark("node " + std::to_string(i) + " CRASHED, exit code " +
                 std::to_string(n.daemon->exit_code()));
            n.ready = false;
            n.daemon->expected_to_end = true;
            n.bury();
            environment_.at(now + kNodeAwayUnsaid, [this, i] {
                if (!ended_) start_node(static_cast<int>(i));
            });
            continue;
        }
        const ProcessUsage f = n.daemon->figures();
        if (f.waited > n.waited_before) auditor_.on_watcher_delay(now, f.waited - n.waited_before);
        n.waited_before = std::max(n.waited_before, f.waited);
        n.cpu_before = std::max(n.cpu_before, f.cpu);
        result_.daemon_rss_mb = std::max(result_.daemon_rss_mb, f.rss_most_mb);
        result_.daemon_descriptors = std::max(result_.daemon_descriptors, f.descriptors);
    }
    environment_.at(now + kLookAtDaemons, [this] { look_at_daemons(); });
}

void Day::each_second() {
    Series& s = result_.series;
    const double now = environment_.now();
    s.forwards.resize(caches_.size() + 1);
    s.connections.resize(caches_.size());
    for (std::size_t i = 0; i < caches_.size(); ++i)
        s.connections[i].push_back(caches_[i]->most_connections());
    for (std::size_t i = 0; i <= caches_.size(); ++i) {
        const std::uint64_t all = i < caches_.size() ? caches_[i]->counts().forwards
                                                     : origin_->counts().reads + origin_->counts().writes;
        s.forwards[i].push_back(static_cast<double>(all - forwards_before_[i]));
        forwards_before_[i] = all;
    }
    s.list_calls.push_back(static_cast<double>(discovery_->counts().calls - list_calls_before_));
    list_calls_before_ = discovery_->counts().calls;
    s.origin_asked.push_back(origin_->asked());
    s.origin_capacity.push_back(origin_->halted() ? 0 : origin_->capacity());
    double cpu = 0, rss = 0;
    for (const Node& n : nodes_) {
        cpu += n.cpu_before + n.cpu_gone;
        rss = std::max(rss, n.daemon->figures().rss_mb);
    }
    const double before = result_.daemon_cpu;
    s.cpu.push_back(std::max(0.0, cpu - before));
    s.rss_mb.push_back(rss);
    result_.daemon_cpu = cpu;
    if (plan_.progress) {
        char line[160];
        std::snprintf(line, sizeof line,
                      "%4.0f s of %.0f  asked %llu  succeeded %llu  open %d  origin %.0f%%", of_day(now),
                      scenario_.length, static_cast<unsigned long long>(crowd_->asked()),
                      static_cast<unsigned long long>(crowd_->succeeded()), crowd_->open(),
                      100 * origin_->asked() / std::max(1e-9, origin_->capacity()));
        plan_.progress(of_day(now), line);
    }
    if (!ended_) environment_.at(now + 1, [this] { each_second(); });
}

// The day is over once whoever asked has been answered, or has waited as long as anyone waits.
void Day::look_whether_over() {
    double longest = 0;
    for (const OperationPlan& o : scenario_.operations)
        longest = std::max(longest, o.promised.client_timeout);
    const bool long_enough = of_day(environment_.now()) > scenario_.length + 2 * longest + 1;
    if (crowd_->all_over() || long_enough) {
        ended_ = true;
        io_.stop();
        return;
    }
    environment_.at(environment_.now() + 0.02, [this] { look_whether_over(); });
}

DayResult Day::play() {
    schedule_ = draw_schedule(scenario_, plan_.seed);
    result_.digest = digest(schedule_, scenario_.troubles);
    result_.planned = schedule_.size();
    result_.series.servers = scenario_.server_names();
    crowd_ = std::make_unique<LoadClients>(environment_, schedule_, plan_.seed);
    if (scenario_.talk || scenario_.has(TroubleKind::cut)) {
        links_ =
            std::make_unique<NetworkFaultProxy>(environment_, plan_.seed, scenario_.has(TroubleKind::cut));
        discovery_->dial = [this](int node, int to, const std::string& address) {
            return links_->dial(node, to, address);
        };
    }
    for (int n = 0; n < scenario_.nodes; ++n) {
        DaemonProcess::Place place{plan_.program, plan_.folder, "n" + std::to_string(n), -1};
        if (scenario_.talk) {
            write_operator_file(n, scenario_.talk_origin);
            place.arguments = {"serve", "--operator", operator_path(n)};
            place.tmp = plan_.folder;  // what operators take out by hand stays out over a restart
            nodes_[index(n)].talk = {links_->peer_listen(n), {}, links_->peers()};
            place_management(n);
        }
        if (plan_.environment) place.environment = plan_.environment(n);
        nodes_[index(n)].daemon = std::make_unique<DaemonProcess>(std::move(place));
        place_node(n, n == 0 && plan_.first_port != 0 ? plan_.first_port : free_port(io_, environment_.host));
        start_node(n);
    }
    // The loop wakes at least this often to hear of an interruption.
    std::function<void()> listen_for_end = [&] {
        if (interrupted()) {
            result_.was_interrupted = true;
            ended_ = true;
            io_.stop();
            return;
        }
        if (!ended_) environment_.at(environment_.now() + 0.05, listen_for_end);
    };
    listen_for_end();
    io_.run();
    ended_ = true;
    crowd_->stop();
    const double now = environment_.now();
    result_.length = has_begun_ ? std::max(0.0, of_day(now)) : 0;
    for (Node& n : nodes_) {
        n.daemon->expected_to_end = true;
        n.daemon->kill();
    }
    if (result_.failed.empty()) result_.verdict = auditor_.finish(now);
    result_.latencies = crowd_->latencies();
    for (const auto& c : caches_) {
        result_.hits += c->counts().hits;
        result_.misses += c->counts().misses;
        result_.server_busy += c->counts().busy;
        result_.connections += c->counts().connections;
        result_.refused_connections += c->counts().refused;
    }
    if (links_ != nullptr) {
        result_.peer_bytes = links_->counts().bytes;
        result_.peer_datagrams = links_->counts().datagrams;
    }
    result_.lists_turned_away = discovery_->counts().turned_away;
    result_.origin_reads = origin_->counts().reads;
    result_.origin_writes = origin_->counts().writes;
    result_.origin_busy = origin_->counts().busy;
    result_.origin_halts = origin_->counts().halts;
    return std::move(result_);
}

}  // namespace

DayResult play_day(const DayPlan& plan) {
    Day day(plan);
    return day.play();
}

}  // namespace brookrelay::testkit
