#include "testkit/load_clients.h"

#include <algorithm>
#include <boost/random/uniform_01.hpp>
#include <cmath>

#include "testkit/client_reply.h"

namespace brookrelay::testkit {
namespace {

// Seconds for which a client waits beyond what the auditor allows, so that the auditor sees a late response
// as late.
constexpr double kTimeoutMargin = 0.03;
constexpr double kMinTimeout = 0.05;  // s; a request with less time left is not sent
// Seconds of a deduplication window that a client reserves for the transit of a retry.
constexpr double kDeduplicationMargin = 0.15;
constexpr std::size_t kMaxIdlePerNode = 64;
constexpr double kSlowWriteInterval = 1.0;       // s between bytes
constexpr double kUnreadRequestInterval = 0.02;  // s between requests of a non-reader

}  // namespace

struct LoadClients::ClientConnection {
    int node = 0;
    Connection::Ptr conn;
    bool is_busy = false;
    bool is_fresh = true;     // no exchange has been completed on it yet
    bool is_written = false;  // its request was sent
    bool was_resent = false;  // its request was already sent on a connection that the node closed
    int request_id = -1;      // the last request sent on it
    User user;
    double timeout = 0;
    double gives_up_at = 0;
};

LoadClients::LoadClients(TestEnvironment& environment, const std::vector<PlannedRequest>& schedule,
                         std::uint64_t seed)
    : environment_(environment),
      schedule_(schedule),
      nodes_(static_cast<std::size_t>(environment.scenario.nodes)),
      random_(seed * 7919 + 13),
      arrivals_(environment.io),
      latencies_(environment.scenario.operations.size()) {}

// A ClientConnection and its Connection hold references to one another, which are released here.
LoadClients::~LoadClients() {
    for (const Node& n : nodes_) {
        for (const std::shared_ptr<ClientConnection>& client : n.all) client->conn.reset();
    }
}

void LoadClients::set_node_address(int node, const Tcp::endpoint& where) {
    nodes_[static_cast<std::size_t>(node)].where = where;
}

void LoadClients::set_node_in_use(int node, bool yes) {
    nodes_[static_cast<std::size_t>(node)].is_in_use = yes;
}

std::vector<std::pair<int, Tcp::endpoint>> LoadClients::nodes_in_use() const {
    std::vector<std::pair<int, Tcp::endpoint>> used;
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
        if (nodes_[n].is_in_use) used.emplace_back(static_cast<int>(n), nodes_[n].where);
    }
    return used;
}

void LoadClients::start(double start_time) {
    started_at_ = start_time;
    next_arrival();
}

void LoadClients::stop() {
    is_stopped_ = true;
    next_planned_ = schedule_.size();
    arrivals_.cancel();
}

void LoadClients::next_arrival() {
    const double now = environment_.now();
    while (next_planned_ < schedule_.size() && schedule_[next_planned_].at <= now) {
        User user;
        user.plan = &schedule_[next_planned_++];
        user.number = next_user_id_++;
        user.idempotency_key = key_of_rank(static_cast<std::uint64_t>(user.plan->random_bits) << 32 |
                                           static_cast<std::uint64_t>(user.number)) |
                               1;
        attempt(user);
    }
    if (next_planned_ >= schedule_.size()) return;
    arrivals_.expires_at(environment_.clock.at(schedule_[next_planned_].at));
    arrivals_.async_wait([this](const Code& bad) {
        if (!bad) next_arrival();
    });
}

int LoadClients::pick_node(const User& user) {
    std::vector<int> usable;
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
        if (nodes_[n].is_in_use) usable.push_back(static_cast<int>(n));
    }
    // A tenant that is assigned to some nodes uses other nodes only while none of these gets requests.
    if (user.plan->tenant >= 0) {
        const TenantPlan& t = environment_.scenario.tenants[static_cast<std::size_t>(user.plan->tenant)];
        const bool has_moved = t.moves > 0 && environment_.now() >= started_at_ + t.moves;
        std::vector<int> tenant_nodes;
        for (const std::string& name : has_moved ? t.then : t.nodes) {
            const int node = std::stoi(name.substr(1));
            if (std::find(usable.begin(), usable.end(), node) != usable.end()) tenant_nodes.push_back(node);
        }
        if (!tenant_nodes.empty()) usable = std::move(tenant_nodes);
    }
    const std::size_t all = usable.empty() ? nodes_.size() : usable.size();
    const auto first_choice =
        static_cast<std::size_t>(static_cast<double>(user.plan->node_selector) * static_cast<double>(all));
    const std::size_t chosen = (first_choice + static_cast<std::size_t>(user.retry_count)) % all;
    return usable.empty() ? static_cast<int>(chosen) : usable[chosen];
}

void LoadClients::attempt(User user) {
    const double now = environment_.now();
    const Operation& op =
        environment_.scenario.operations[static_cast<std::size_t>(user.plan->operation)].promised;
    if (user.retry_count == 0) user.first_sent_at = now;
    double wait = op.client_timeout * static_cast<double>(user.plan->timeout_ratio);
    wait = std::min(wait, user.first_sent_at + op.client_timeout - now);
    if (op.idempotency == Idempotency::idempotency_key && user.retry_count > 0) {
        // After the deduplication window a retry would be a second write, which the client has to prevent.
        wait = std::min(wait, user.first_sent_at + op.deduplication_window - kDeduplicationMargin - now);
    }
    if (wait < kMinTimeout) return;
    const int node = pick_node(user);
    Node& n = nodes_[static_cast<std::size_t>(node)];
    std::shared_ptr<ClientConnection> client;
    if (!n.idle.empty()) {
        client = n.idle.back();
        n.idle.pop_back();
    } else {
        client = std::make_shared<ClientConnection>();
        client->node = node;
    }
    client->is_busy = true;
    client->user = user;
    client->request_id = next_request_id_++;
    client->timeout = wait;
    client->was_resent = false;
    client->is_written = false;
    ++open_requests_;
    audit::RequestInfo ask;
    ask.operation = user.plan->operation;
    ask.tenant = user.plan->tenant;
    ask.node = node;
    ask.user = user.number;
    ask.retry_number = user.retry_count;
    ask.key = user.plan->key;
    ask.timeout = wait;
    environment_.auditor.on_request(now, client->request_id, ask);
    await_response(client);
    if (client->conn == nullptr) {
        dial(node, client);
    } else {
        send(client);
    }
    const int request_id = client->request_id;
    if (user.plan->close_ratio >= 0 && user.retry_count == 0) {
        environment_.at(now + wait * static_cast<double>(user.plan->close_ratio), [this, client, request_id] {
            if (!client->is_busy || client->request_id != request_id) return;
            environment_.auditor.on_client_closed(environment_.now(), request_id);
            client->conn->close();
            discard(client);
        });
    }
}

// The client gives up once an answer is late. Its time counts from here, or from a later call.
void LoadClients::await_response(const std::shared_ptr<ClientConnection>& client) {
    const double patience = client->timeout + environment_.scenario.answer_grace + 0.05 + kTimeoutMargin;
    client->gives_up_at = environment_.now() + patience;
    const int request_id = client->request_id;
    environment_.at(client->gives_up_at, [this, client, request_id] { on_timeout(client, request_id); });
}

void LoadClients::dial(int node, const std::shared_ptr<ClientConnection>& client) {
    Node& n = nodes_[static_cast<std::size_t>(node)];
    n.all.insert(client);
    client->is_fresh = true;
    client->conn = Connection::to(
        environment_.io, n.where, environment_.clock,
        {[this, client](Connection&) { send(client); }, [this, client](Connection&) { on_input(client); },
         [this, client](Connection&) { on_connection_closed(client); }});
}

void LoadClients::send(const std::shared_ptr<ClientConnection>& client) {
    if (!client->is_busy) return;
    const PlannedRequest& plan = *client->user.plan;
    const OperationPlan& op = environment_.scenario.operations[static_cast<std::size_t>(plan.operation)];
    std::string list = "Pc=" + op.name;
    if (plan.tenant >= 0)
        list += ",t=" + environment_.scenario.tenants[static_cast<std::size_t>(plan.tenant)].name;
    list += ",d=" + std::to_string(std::llround(client->timeout * 1e3));
    if (op.promised.idempotency == Idempotency::idempotency_key)
        list += ",k=" + key_text(client->user.idempotency_key);
    if (client->user.retry_count > 0 && environment_.scenario.clients.mark_repeats) list += ",r=1";
    const std::string id = format_request_id(environment_.day, client->request_id);
    const std::string key = key_text(plan.key);
    if (op.write) {
        const std::string value = value_text(0, plan.key, 0, static_cast<std::size_t>(op.value_bytes));
        client->conn->write("ms " + key + " " + std::to_string(value.size()) + " O" + id + " " + list +
                            "\r\n" + value + "\r\n");
    } else {
        client->conn->write("mg " + key + " v O" + id + " " + list + "\r\n");
    }
    if (std::exchange(client->is_written, true)) return;
    environment_.auditor.on_request_written(environment_.now(), client->request_id);
    await_response(client);
}

void LoadClients::on_input(const std::shared_ptr<ClientConnection>& client) {
    Connection& conn = *client->conn;
    while (!conn.is_closed()) {
        Response response;
        const std::size_t taken = read_response(conn.input(), response);
        if (taken == 0 && client->is_busy && has_begun_long_value(conn.input()))
            environment_.auditor.on_response_begun(environment_.now(), client->request_id);
        if (taken == 0) return;
        const double now = environment_.now();
        const ClientReply answer =
            classify_reply(response, environment_.day, client->request_id, client->user.plan->key);
        const audit::Reply reply = answer.kind;
        const int attempt_id = answer.attempt;
        const double retry_after = answer.advice;
        conn.take(taken);
        environment_.auditor.on_response(now, client->request_id, reply, attempt_id);
        if (!client->is_busy) continue;  // an unsolicited response, which is reported to the auditor only
        const User user = client->user;
        client->is_fresh = false;
        release(client);
        if (reply == audit::Reply::succeeded) {
            ++succeeded_;
            latencies_[static_cast<std::size_t>(user.plan->operation)].add(now - user.first_sent_at);
        } else {
            schedule_retry(user, reply == audit::Reply::rejected ? Outcome::busy : Outcome::errored,
                           retry_after);
        }
    }
}

void LoadClients::release(const std::shared_ptr<ClientConnection>& client) {
    --open_requests_;
    client->is_busy = false;
    Node& n = nodes_[static_cast<std::size_t>(client->node)];
    if (client->conn->is_closed() || n.idle.size() >= kMaxIdlePerNode) {
        client->conn->close();
        n.all.erase(client);
        return;
    }
    n.idle.push_back(client);
}

void LoadClients::discard(const std::shared_ptr<ClientConnection>& client) {
    if (client->is_busy) --open_requests_;
    client->is_busy = false;
    Node& n = nodes_[static_cast<std::size_t>(client->node)];
    n.all.erase(client);
    std::erase(n.idle, client);
}

void LoadClients::on_connection_closed(const std::shared_ptr<ClientConnection>& client) {
    const double now = environment_.now();
    const bool was_busy = client->is_busy;
    const bool was_truncated = client->conn->input().starts_with("VA ");
    const bool was_connected = client->conn->is_up();
    if (!was_busy) return discard(client);
    if (!client->is_fresh && !client->was_resent && client->conn->input().empty() &&
        !environment_.auditor.has_attempts(client->request_id)) {
        // The node closed this idle connection while the command was in transit: the unchanged request is
        // sent once more.
        std::erase(nodes_[static_cast<std::size_t>(client->node)].idle, client);
        client->was_resent = true;
        return dial(client->node, client);
    }
    const User user = client->user;
    const int request_id = client->request_id;
    discard(client);
    if (!was_connected) {
        environment_.auditor.on_unreachable(now, request_id);
        return schedule_retry(user, Outcome::unreachable, 0);
    }
    if (was_truncated) {
        environment_.auditor.on_response(now, request_id, audit::Reply::truncated, -1);
    } else {
        environment_.auditor.on_connection_closed(now, request_id);
    }
    schedule_retry(user, Outcome::lost, 0);
}

void LoadClients::on_timeout(const std::shared_ptr<ClientConnection>& client, int request_id) {
    if (!client->is_busy || client->request_id != request_id) return;
    if (environment_.now() < client->gives_up_at) return;  // a later timer ends it
    const User user = client->user;
    if (client->conn->is_up()) {
        environment_.auditor.on_client_timeout(environment_.now(), request_id);
    } else {
        environment_.auditor.on_unreachable(environment_.now(), request_id);
    }
    client->conn->close();
    discard(client);
    schedule_retry(user, Outcome::lost, 0);
}

void LoadClients::schedule_retry(const User& user, Outcome outcome, double retry_after) {
    const Operation& op =
        environment_.scenario.operations[static_cast<std::size_t>(user.plan->operation)].promised;
    if (is_stopped_ || user.retry_count >= environment_.scenario.clients.retries) return;
    const bool may_have_run = outcome == Outcome::errored || outcome == Outcome::lost;
    if (op.idempotency == Idempotency::none && may_have_run) return;
    User retry = user;
    ++retry.retry_count;
    boost::random::uniform_01<double> unit;
    double wait =
        environment_.scenario.clients.wait * std::pow(2.0, user.retry_count) * (0.5 + unit(random_));
    if (retry_after > 0) wait = retry_after * (1 + 0.25 * unit(random_));
    ++pending_retries_;
    environment_.at(environment_.now() + wait, [this, retry] {
        --pending_retries_;
        if (!is_stopped_) attempt(retry);
    });
}

// ---- misbehaving clients ---------------------------------------------------------------------------------

// A client that writes one byte of a command per second and never completes it. It connects again when the
// node closes the connection.
struct LoadClients::SlowWriter : std::enable_shared_from_this<SlowWriter> {
    SlowWriter(TestEnvironment& w, Tcp::endpoint to, double end)
        : environment(w), where(std::move(to)), until(end) {}
    void step() {
        static constexpr std::string_view kUnfinishedCommand =
            "mg 00000000000000000000000000000000000000000000000000";
        if (environment.now() >= until) {
            if (conn) conn->close();
            return;
        }
        if (!conn || conn->is_closed()) {
            conn = Connection::to(environment.io, where, environment.clock, {});
            written = 0;
        } else if (conn->is_up()) {
            conn->write(kUnfinishedCommand.substr(written++ % kUnfinishedCommand.size(), 1));
        }
        environment.at(environment.now() + kSlowWriteInterval, [self = shared_from_this()] { self->step(); });
    }
    TestEnvironment& environment;
    const Tcp::endpoint where;
    const double until;
    Connection::Ptr conn;
    std::size_t written = 0;
};

// A client that sends requests continuously and never reads a response.
struct LoadClients::NonReader : std::enable_shared_from_this<NonReader> {
    NonReader(LoadClients& c, int at_node, int op, double end)
        : clients(c), node(at_node), operation(op), until(end) {}
    void step() {
        TestEnvironment& environment = clients.environment_;
        const double now = environment.now();
        if (now >= until) {
            if (conn) conn->close();
            return;
        }
        if (!conn || conn->is_closed()) {
            conn = Connection::to(environment.io, clients.nodes_[static_cast<std::size_t>(node)].where,
                                  environment.clock, {});
            conn->pause();
        }
        const OperationPlan& op = environment.scenario.operations[static_cast<std::size_t>(operation)];
        const int request_id = clients.next_request_id_++;
        audit::RequestInfo asked;
        asked.operation = operation;
        asked.node = node;
        asked.user = clients.next_user_id_++;
        asked.key = key_of_rank(0);
        asked.timeout = op.promised.client_timeout;
        asked.is_counted = false;
        environment.auditor.on_request(now, request_id, asked);
        environment.auditor.on_client_closed(now, request_id);
        conn->write("mg " + key_text(asked.key) + " v O" + format_request_id(environment.day, request_id) +
                    " Pc=" + op.name + ",d=" + std::to_string(std::llround(asked.timeout * 1e3)) + "\r\n");
        environment.at(now + kUnreadRequestInterval, [self = shared_from_this()] { self->step(); });
    }
    LoadClients& clients;
    const int node, operation;
    const double until;
    Connection::Ptr conn;
};

void LoadClients::add_slow_writers(int node, int count, double until) {
    for (int i = 0; i < count; ++i) {
        std::make_shared<SlowWriter>(environment_, nodes_[static_cast<std::size_t>(node)].where, until)
            ->step();
    }
}

void LoadClients::add_non_readers(int node, int count, double until) {
    for (std::size_t i = 0; i < environment_.scenario.operations.size(); ++i) {
        if (environment_.scenario.operations[i].write) continue;
        for (int n = 0; n < count; ++n) {
            std::make_shared<NonReader>(*this, node, static_cast<int>(i), until)->step();
        }
        return;
    }
}

}  // namespace brookrelay::testkit
