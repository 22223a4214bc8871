#include "testkit/fake_discovery_server.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <chrono>
#include <cmath>

#include "testkit/wire.h"
#include "util/parse_number.h"

namespace brookrelay::testkit {
namespace {

constexpr std::int64_t kFirstVersionAfterRestart = 1;  // the version with which a restarted discovery begins
constexpr double kMaxPollWait = 60;                    // s; longest long poll
constexpr std::size_t kLargeFleet = 400;               // servers from which on changes are sent in batches
constexpr double kBatchInterval = 0.05;                // s over which changes of a large fleet are batched
// Bytes of a response written at a time if the scenario limits the list rate.
constexpr std::size_t kChunkBytes = std::size_t{16} * 1024;

const char* health_name(EndpointState s) {
    return s == EndpointState::ready ? "SERVING" : s == EndpointState::draining ? "DRAINING" : "DELETED";
}

// Reads an integer query parameter (`index` or `wait`) of a request target. Returns false if it is absent.
bool read_query_parameter(std::string_view target, std::string_view name, std::int64_t& value) {
    const std::size_t at = target.find(std::string(name) + "=");
    if (at == std::string_view::npos) return false;
    std::string_view digits = target.substr(at + name.size() + 1);
    digits = digits.substr(0, std::min(digits.find('&'), digits.size()));
    return parse_number(digits, value);
}

}  // namespace

FakeDiscoveryServer::Agent::Agent(TestEnvironment& environment, int node, FakeDiscoveryServer& owner)
    : listener(environment.io, environment.host,
               [&owner, node](Tcp::socket s) { owner.accept(node, std::move(s)); }) {}

FakeDiscoveryServer::FakeDiscoveryServer(TestEnvironment& environment, int nodes)
    : environment_(environment),
      entries_(environment.scenario.server_names().size()),
      names_(environment.scenario.server_names()),
      wall_clock_at_start_(
          std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count() -
          environment.now()) {
    for (int n = 0; n < nodes; ++n) agents_.push_back(std::make_unique<Agent>(environment, n, *this));
}

void FakeDiscoveryServer::put(int server, const std::string& address, EndpointState state, double started) {
    entries_[static_cast<std::size_t>(server)] = {address, state, started, ++version_};
    entries_.size() < kLargeFleet ? send_updates() : schedule_updates();
}

// Sends changes to the nodes in batches. A release of a large fleet changes hundreds of entries at a time.
void FakeDiscoveryServer::schedule_updates() {
    if (std::exchange(updates_are_scheduled_, true)) return;
    environment_.at(environment_.now() + kBatchInterval, [this] {
        updates_are_scheduled_ = false;
        send_updates();
    });
}

void FakeDiscoveryServer::list(int server, const std::string& address, EndpointState state, double started) {
    const auto change = [this, server, address, state, started] { put(server, address, state, started); };
    environment_.at(environment_.now() + environment_.scenario.discovery_lag, [this, change] {
        if (is_stale_) {
            held_updates_.emplace_back(change);
        } else {
            change();
        }
    });
}

std::string FakeDiscoveryServer::entry_text(int node, std::size_t server) const {
    const Entry& e = entries_[server];
    const std::string address = dial ? dial(node, static_cast<int>(server), e.address) : e.address;
    const Scenario& s = environment_.scenario;
    const int kind = s.kind_of(static_cast<int>(server));
    const bool origin = static_cast<int>(server) == environment_.origin();
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> json(buffer);
    json.StartObject();
    json.Key("host"), json.String(names_[server].c_str());
    json.Key("dial"), json.String(address.c_str());
    json.Key("site"), json.String(s.zones[origin ? 0 : server % s.zones.size()].c_str());
    json.Key("class"), json.String(origin ? "origin" : s.kinds[static_cast<std::size_t>(kind)].name.c_str());
    json.Key("block"), json.Int(origin ? 0 : static_cast<int>(server % s.zones.size()));
    json.Key("health"), json.String(health_name(e.state));
    json.Key("share"), json.Double(1.0);
    json.Key("born_ms");
    if (e.started < 0) {
        json.Int64(0);
    } else {
        json.Int64(std::llround((wall_clock_at_start_ + e.started) * 1e3));
    }
    json.EndObject();
    return buffer.GetString();
}

std::string FakeDiscoveryServer::whole_list(int node) const {
    if (!dial && left_out_.empty() && whole_list_version_ == version_) return whole_list_;
    std::string hosts;
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        if (entries_[i].state == EndpointState::removed || entries_[i].address.empty()) continue;
        if (left_out_.contains(static_cast<int>(i))) continue;
        hosts += (hosts.empty() ? "" : ",") + entry_text(node, i);
    }
    whole_list_ = R"({"seq":)" + std::to_string(version_) + R"(,"whole":true,"hosts":[)" + hosts + "]}";
    whole_list_version_ = left_out_.empty() ? version_ : -1;
    return whole_list_;
}

void FakeDiscoveryServer::accept(int node, Tcp::socket socket) {
    Agent& agent = *agents_[static_cast<std::size_t>(node)];
    agent.conns.insert(Connection::accepted(std::move(socket), environment_.clock,
                                            {nullptr, [this, node](Connection& c) { input(node, c); },
                                             [&agent](Connection& c) {
                                                 if (agent.watch && agent.watch->connection.get() == &c)
                                                     agent.watch.reset();
                                                 agent.conns.erase(c.shared_from_this());
                                             }}));
}

bool FakeDiscoveryServer::admit_call() {
    const double second = std::floor(environment_.now());
    if (second != current_second_) calls_in_second_ = 0;
    current_second_ = second;
    if (environment_.scenario.discovery_calls > 0 &&
        calls_in_second_ >= environment_.scenario.discovery_calls)
        return false;
    ++calls_in_second_;
    return true;
}

void FakeDiscoveryServer::input(int node, Connection& connection) {
    Request request;
    if (is_down_ || agents_[static_cast<std::size_t>(node)]->is_held)
        return;  // the request is read when the fault ends
    const std::size_t consumed = read_request(connection.input(), request);
    if (consumed == 0) return;
    const std::string target(request.target);
    connection.take(consumed);
    ++counts_.calls;
    if (!admit_call()) {
        ++counts_.turned_away;
        return connection.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    }
    std::int64_t index = -1, wait = 0;
    const bool is_poll = read_query_parameter(target, "index", index);
    (void)read_query_parameter(target, "wait", wait);
    if (!is_poll || index > version_ || index < version_ || wait <= 0)
        return respond(node, connection, is_poll ? index : -1);
    Agent& agent = *agents_[static_cast<std::size_t>(node)];
    agent.watch = std::make_unique<Watch>(Watch{connection.shared_from_this(), index, ++last_watch_number_});
    const double poll_timeout = std::min(static_cast<double>(wait) / 1e3, kMaxPollWait);
    environment_.at(environment_.now() + poll_timeout, [this, &agent, node, number = last_watch_number_] {
        if (!agent.watch || agent.watch->number != number || is_down_ || agent.is_held) return;
        const auto watch = std::move(agent.watch);
        respond(node, *watch->connection, watch->index);
    });
}

void FakeDiscoveryServer::send_updates() {
    if (is_down_) return;
    for (std::size_t n = 0; n < agents_.size(); ++n) {
        if (!agents_[n]->watch || agents_[n]->is_held) continue;
        const auto watch = std::move(agents_[n]->watch);
        respond(static_cast<int>(n), *watch->connection, watch->index);
    }
}

void FakeDiscoveryServer::on_node_started(int node) {
    if (environment_.scenario.discovery_asked || is_down_ || agents_[static_cast<std::size_t>(node)]->is_held)
        return;
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        if (entries_[i].address.empty() || left_out_.contains(static_cast<int>(i))) continue;
        environment_.auditor.on_endpoint_state(environment_.now(), node, static_cast<int>(i),
                                               entries_[i].state, entries_[i].started >= 0);
    }
}

// Reports the entries to the auditor once the last piece of the response is written.
void FakeDiscoveryServer::respond(int node, Connection& connection, std::int64_t index) {
    const bool is_full_list = index < 0 || index > version_;
    struct SentEntry {
        int server;
        EndpointState state;
        bool is_new_start;
    };
    std::vector<SentEntry> sent_entries;
    std::string body;
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        const Entry& e = entries_[i];
        const int server = static_cast<int>(i);
        const bool absent = left_out_.contains(server) ||
                            (e.state == EndpointState::removed && is_full_list) || e.address.empty();
        if (is_full_list) {
            // A server that is not in a whole list counts as removed.
            sent_entries.push_back(
                {server, absent ? EndpointState::removed : e.state, !absent && e.started >= 0});
            continue;
        }
        if (e.changed <= index || left_out_.contains(server)) continue;
        body += (body.empty() ? "" : ",") + entry_text(node, i);
        sent_entries.push_back({server, e.state, e.started >= 0});
    }
    body = is_full_list
               ? whole_list(node)
               : R"({"seq":)" + std::to_string(version_) + R"(,"whole":false,"hosts":[)" + body + "]}";
    send_in_chunks(connection.shared_from_this(), http_response(200, body, "Content-Type: application/json"),
                   0, [this, node, sent_entries = std::move(sent_entries)] {
                       for (const SentEntry& t : sent_entries)
                           environment_.auditor.on_endpoint_state(environment_.now(), node, t.server, t.state,
                                                                  t.is_new_start);
                   });
}

void FakeDiscoveryServer::send_in_chunks(const Connection::Ptr& connection, const std::string& text,
                                         std::size_t offset, const std::function<void()>& on_sent) {
    if (connection->is_closed()) return;
    const double rate = environment_.scenario.list_rate;
    const std::size_t remaining = text.size() - offset;
    const std::size_t size = rate > 0 ? std::min(remaining, kChunkBytes) : remaining;
    if (size == remaining) on_sent();
    connection->write(text.substr(offset, size));
    if (size == remaining) return;
    environment_.at(environment_.now() + static_cast<double>(size) / rate,
                    [this, connection, text, offset = offset + size, on_sent] {
                        send_in_chunks(connection, text, offset, on_sent);
                    });
}

void FakeDiscoveryServer::down(bool on) {
    if (is_down_ == on) return;
    is_down_ = on;
    if (on) return;
    for (std::size_t n = 0; n < agents_.size(); ++n) {
        const std::set<Connection::Ptr> conns = agents_[n]->conns;
        for (const Connection::Ptr& c : conns) {
            if (!c->is_closed() && !c->input().empty()) input(static_cast<int>(n), *c);
        }
    }
    send_updates();
}

void FakeDiscoveryServer::hold(int node, bool on) {
    Agent& agent = *agents_[static_cast<std::size_t>(node)];
    agent.is_held = on;
    if (on) return;
    const std::set<Connection::Ptr> conns = agent.conns;
    for (const Connection::Ptr& c : conns) {
        if (!c->is_closed() && !c->input().empty()) input(node, *c);
    }
    send_updates();
}

void FakeDiscoveryServer::stale(bool on) {
    is_stale_ = on;
    if (on) return;
    for (const auto& change : std::exchange(held_updates_, {})) change();
}

void FakeDiscoveryServer::restart(std::set<int> left_out) {
    left_out_ = std::move(left_out);
    version_ = kFirstVersionAfterRestart;
    whole_list_version_ = -1;
    for (Entry& e : entries_) e.changed = kFirstVersionAfterRestart;
    for (auto& agent : agents_) {
        agent->watch.reset();
        const std::set<Connection::Ptr> conns = std::exchange(agent->conns, {});
        for (const Connection::Ptr& c : conns) c->reset();
    }
}

void FakeDiscoveryServer::readmit() {
    for (const int server : std::exchange(left_out_, {}))
        entries_[static_cast<std::size_t>(server)].changed = ++version_;
    send_updates();
}

}  // namespace brookrelay::testkit
