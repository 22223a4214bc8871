#include "testkit/load_clients.h"

#include <algorithm>
#include <boost/random/uniform_01.hpp>
#include <cmath>

#include "testkit/client_reply.h"

namespace brookrelay::testkit {
namespace {

constexpr double kHoldOn = 0.03;  // s beyond what the judge allows, so that it sees a late answer as one
constexpr double kLeastPatience = 0.05;
constexpr double kWindowKept = 0.15;  // s of a mark's time that a client leaves for the way
constexpr std::size_t kIdleMost = 64;
constexpr double kTrickle = 1.0;  // s between bytes
constexpr double kUnreadEvery = 0.02;

}  // namespace

struct LoadClients::Line {
    int node = 0;
    Connection::Ptr conn;
    bool busy = false;
    bool fresh = true;    // has carried no whole exchange yet
    bool resent = false;  // what is on it crossed the end of another connection
    int inv = -1;         // the last one asked on it
    User user;
    double wait = 0;
};

LoadClients::LoadClients(TestEnvironment& environment, const std::vector<PlannedRequest>& schedule,
                         std::uint64_t seed)
    : environment_(environment),
      schedule_(schedule),
      nodes_(static_cast<std::size_t>(environment.scenario.nodes)),
      chance_(seed * 7919 + 13),
      arrivals_(environment.io),
      latencies_(environment.scenario.operations.size()) {}

// A line and its connection hold one another for as long as the connection may bring news.
LoadClients::~LoadClients() {
    for (const Node& n : nodes_) {
        for (const std::shared_ptr<Line>& line : n.all) line->conn.reset();
    }
}

void LoadClients::node_at(int node, const Tcp::endpoint& where) {
    nodes_[static_cast<std::size_t>(node)].where = where;
}

void LoadClients::front_uses(int node, bool yes) { nodes_[static_cast<std::size_t>(node)].used = yes; }

std::vector<std::pair<int, Tcp::endpoint>> LoadClients::used_nodes() const {
    std::vector<std::pair<int, Tcp::endpoint>> used;
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
        if (nodes_[n].used) used.emplace_back(static_cast<int>(n), nodes_[n].where);
    }
    return used;
}

void LoadClients::begin(double day) {
    begun_ = day;
    next_arrival();
}

void LoadClients::stop() {
    stopped_ = true;
    next_ = schedule_.size();
    arrivals_.cancel();
}

void LoadClients::next_arrival() {
    const double now = environment_.now();
    while (next_ < schedule_.size() && schedule_[next_].at <= now) {
        User user;
        user.plan = &schedule_[next_++];
        user.number = last_user_++;
        user.mark = key_of_rank(static_cast<std::uint64_t>(user.plan->chance) << 32 |
                                static_cast<std::uint64_t>(user.number)) |
                    1;
        attempt(user);
    }
    if (next_ >= schedule_.size()) return;
    arrivals_.expires_at(environment_.clock.at(schedule_[next_].at));
    arrivals_.async_wait([this](const Code& bad) {
        if (!bad) next_arrival();
    });
}

int LoadClients::pick(const User& user) {
    std::vector<int> usable;
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
        if (nodes_[n].used) usable.push_back(static_cast<int>(n));
    }
    // Where a tenant's clients come to some nodes alone, the others are for when none of these is there.
    if (user.plan->tenant >= 0) {
        const TenantPlan& t = environment_.scenario.tenants[static_cast<std::size_t>(user.plan->tenant)];
        const bool moved = t.moves > 0 && environment_.now() >= begun_ + t.moves;
        std::vector<int> theirs;
        for (const std::string& name : moved ? t.then : t.nodes) {
            const int node = std::stoi(name.substr(1));
            if (std::find(usable.begin(), usable.end(), node) != usable.end()) theirs.push_back(node);
        }
        if (!theirs.empty()) usable = std::move(theirs);
    }
    const std::size_t all = usable.empty() ? nodes_.size() : usable.size();
    const auto drawn =
        static_cast<std::size_t>(static_cast<double>(user.plan->node_draw) * static_cast<double>(all));
    const std::size_t chosen = (drawn + static_cast<std::size_t>(user.tries)) % all;
    return usable.empty() ? static_cast<int>(chosen) : usable[chosen];
}

void LoadClients::attempt(User user) {
    const double now = environment_.now();
    const Operation& op =
        environment_.scenario.operations[static_cast<std::size_t>(user.plan->operation)].promised;
    if (user.tries == 0) user.first_asked = now;
    double wait = op.client_timeout * static_cast<double>(user.plan->patience);
    wait = std::min(wait, user.first_asked + op.client_timeout - now);
    if (op.idempotency == Idempotency::idempotency_key && user.tries > 0) {
        // Beyond its mark's time a repeat would be a second write; that is the client's to see to.
        wait = std::min(wait, user.first_asked + op.deduplication_window - kWindowKept - now);
    }
    if (wait < kLeastPatience) return;
    const int node = pick(user);
    Node& n = nodes_[static_cast<std::size_t>(node)];
    std::shared_ptr<Line> line;
    if (!n.idle.empty()) {
        line = n.idle.back();
        n.idle.pop_back();
    } else {
        line = std::make_shared<Line>();
        line->node = node;
    }
    line->busy = true;
    line->user = user;
    line->inv = last_inv_++;
    line->wait = wait;
    line->resent = false;
    ++open_;
    audit::RequestInfo ask;
    ask.operation = user.plan->operation;
    ask.tenant = user.plan->tenant;
    ask.node = node;
    ask.user = user.number;
    ask.retry_number = user.tries;
    ask.key = user.plan->key;
    ask.timeout = wait;
    environment_.auditor.on_request(now, line->inv, ask);
    if (line->conn == nullptr) {
        dial(node, line);
    } else {
        send(line);
    }
    const int inv = line->inv;
    const double patience = wait + environment_.scenario.answer_grace + 0.05 + kHoldOn;
    environment_.at(now + patience, [this, line, inv] { expire(line, inv); });
    if (user.plan->leaves >= 0 && user.tries == 0) {
        environment_.at(now + wait * static_cast<double>(user.plan->leaves), [this, line, inv] {
            if (!line->busy || line->inv != inv) return;
            environment_.auditor.on_client_closed(environment_.now(), inv);
            line->conn->close();
            over(line);
        });
    }
}

void LoadClients::dial(int node, const std::shared_ptr<Line>& line) {
    Node& n = nodes_[static_cast<std::size_t>(node)];
    n.all.insert(line);
    line->fresh = true;
    line->conn =
        Connection::to(environment_.io, n.where, environment_.clock,
                       {[this, line](Connection&) { send(line); }, [this, line](Connection&) { input(line); },
                        [this, line](Connection&) { ended(line); }});
}

void LoadClients::send(const std::shared_ptr<Line>& line) {
    if (!line->busy) return;
    const PlannedRequest& plan = *line->user.plan;
    const OperationPlan& op = environment_.scenario.operations[static_cast<std::size_t>(plan.operation)];
    std::string list = "Pc=" + op.name;
    if (plan.tenant >= 0)
        list += ",t=" + environment_.scenario.tenants[static_cast<std::size_t>(plan.tenant)].name;
    list += ",d=" + std::to_string(std::llround(line->wait * 1e3));
    if (op.promised.idempotency == Idempotency::idempotency_key) list += ",k=" + key_text(line->user.mark);
    if (line->user.tries > 0 && environment_.scenario.clients.mark_repeats) list += ",r=1";
    const std::string id = id_text(environment_.day, line->inv);
    const std::string key = key_text(plan.key);
    if (op.write) {
        const std::string value = value_text(0, plan.key, 0, static_cast<std::size_t>(op.value_bytes));
        line->conn->write("ms " + key + " " + std::to_string(value.size()) + " O" + id + " " + list + "\r\n" +
                          value + "\r\n");
    } else {
        line->conn->write("mg " + key + " v O" + id + " " + list + "\r\n");
    }
}

void LoadClients::input(const std::shared_ptr<Line>& line) {
    Connection& conn = *line->conn;
    while (!conn.is_closed()) {
        Heard heard;
        const std::size_t taken = read_heard(conn.input(), heard);
        if (taken == 0 && line->busy && has_begun_long_value(conn.input()))
            environment_.auditor.on_response_begun(environment_.now(), line->inv);
        if (taken == 0) return;
        const double now = environment_.now();
        const ClientReply answer = classify_reply(heard, environment_.day, line->inv, line->user.plan->key);
        const audit::Reply reply = answer.kind;
        const int forward = answer.attempt;
        const double advice = answer.advice;
        conn.take(taken);
        environment_.auditor.on_response(now, line->inv, reply, forward);
        if (!line->busy) continue;  // an answer nobody waits for: the judge has it
        const User user = line->user;
        line->fresh = false;
        free_line(line);
        if (reply == audit::Reply::succeeded) {
            ++succeeded_;
            latencies_[static_cast<std::size_t>(user.plan->operation)].add(now - user.first_asked);
        } else {
            try_again(user, reply == audit::Reply::rejected ? After::busy : After::errored, advice);
        }
    }
}

void LoadClients::free_line(const std::shared_ptr<Line>& line) {
    --open_;
    line->busy = false;
    Node& n = nodes_[static_cast<std::size_t>(line->node)];
    if (line->conn->is_closed() || n.idle.size() >= kIdleMost) {
        line->conn->close();
        n.all.erase(line);
        return;
    }
    n.idle.push_back(line);
}

void LoadClients::over(const std::shared_ptr<Line>& line) {
    if (line->busy) --open_;
    line->busy = false;
    Node& n = nodes_[static_cast<std::size_t>(line->node)];
    n.all.erase(line);
    std::erase(n.idle, line);
}

void LoadClients::ended(const std::shared_ptr<Line>& line) {
    const double now = environment_.now();
    const bool was_busy = line->busy;
    const bool cut = line->conn->input().starts_with("VA ");
    const bool was_up = line->conn->is_up();
    if (!was_busy) return over(line);
    if (!line->fresh && !line->resent && line->conn->input().empty() &&
        !environment_.auditor.has_attempts(line->inv)) {
        // The node closed this idle connection just when the command was on its way: asked once more, as it
        // is.
        std::erase(nodes_[static_cast<std::size_t>(line->node)].idle, line);
        line->resent = true;
        return dial(line->node, line);
    }
    const User user = line->user;
    const int inv = line->inv;
    over(line);
    if (!was_up) {
        environment_.auditor.on_unreachable(now, inv);
        return try_again(user, After::unreachable, 0);
    }
    if (cut) {
        environment_.auditor.on_response(now, inv, audit::Reply::truncated, -1);
    } else {
        environment_.auditor.on_connection_closed(now, inv);
    }
    try_again(user, After::lost, 0);
}

void LoadClients::expire(const std::shared_ptr<Line>& line, int inv) {
    if (!line->busy || line->inv != inv) return;
    const User user = line->user;
    if (line->conn->is_up()) {
        environment_.auditor.on_client_timeout(environment_.now(), inv);
    } else {
        environment_.auditor.on_unreachable(environment_.now(), inv);
    }
    line->conn->close();
    over(line);
    try_again(user, After::lost, 0);
}

void LoadClients::try_again(const User& user, After after, double advice) {
    const Operation& op =
        environment_.scenario.operations[static_cast<std::size_t>(user.plan->operation)].promised;
    if (stopped_ || user.tries >= environment_.scenario.clients.retries) return;
    const bool may_have_run = after == After::errored || after == After::lost;
    if (op.idempotency == Idempotency::none && may_have_run) return;
    User again = user;
    ++again.tries;
    boost::random::uniform_01<double> unit;
    double wait = environment_.scenario.clients.wait * std::pow(2.0, user.tries) * (0.5 + unit(chance_));
    if (advice > 0) wait = advice * (1 + 0.25 * unit(chance_));
    ++waiting_;
    environment_.at(environment_.now() + wait, [this, again] {
        --waiting_;
        if (!stopped_) attempt(again);
    });
}

// ---- who only hinders -----------------------------------------------------------------------------------

// One connection that says a byte of a command a second and never ends it; let go, it comes again.
struct LoadClients::Trickler : std::enable_shared_from_this<Trickler> {
    Trickler(TestEnvironment& w, Tcp::endpoint to, double end)
        : environment(w), where(std::move(to)), until(end) {}
    void step() {
        static constexpr std::string_view kEndless = "mg 00000000000000000000000000000000000000000000000000";
        if (environment.now() >= until) {
            if (conn) conn->close();
            return;
        }
        if (!conn || conn->is_closed()) {
            conn = Connection::to(environment.io, where, environment.clock, {});
            said = 0;
        } else if (conn->is_up()) {
            conn->write(kEndless.substr(said++ % kEndless.size(), 1));
        }
        environment.at(environment.now() + kTrickle, [self = shared_from_this()] { self->step(); });
    }
    TestEnvironment& environment;
    const Tcp::endpoint where;
    const double until;
    Connection::Ptr conn;
    std::size_t said = 0;
};

// One connection that asks again and again and reads nothing of what comes.
struct LoadClients::NonReader : std::enable_shared_from_this<NonReader> {
    NonReader(LoadClients& c, int at_node, int op, double end)
        : crowd(c), node(at_node), operation(op), until(end) {}
    void step() {
        TestEnvironment& environment = crowd.environment_;
        const double now = environment.now();
        if (now >= until) {
            if (conn) conn->close();
            return;
        }
        if (!conn || conn->is_closed()) {
            conn = Connection::to(environment.io, crowd.nodes_[static_cast<std::size_t>(node)].where,
                                  environment.clock, {});
            conn->pause();
        }
        const OperationPlan& op = environment.scenario.operations[static_cast<std::size_t>(operation)];
        const int inv = crowd.last_inv_++;
        audit::RequestInfo asked;
        asked.operation = operation;
        asked.node = node;
        asked.user = crowd.last_user_++;
        asked.key = key_of_rank(0);
        asked.timeout = op.promised.client_timeout;
        asked.is_counted = false;
        environment.auditor.on_request(now, inv, asked);
        environment.auditor.on_client_closed(now, inv);
        conn->write("mg " + key_text(asked.key) + " v O" + id_text(environment.day, inv) + " Pc=" + op.name +
                    ",d=" + std::to_string(std::llround(asked.timeout * 1e3)) + "\r\n");
        environment.at(now + kUnreadEvery, [self = shared_from_this()] { self->step(); });
    }
    LoadClients& crowd;
    const int node, operation;
    const double until;
    Connection::Ptr conn;
};

void LoadClients::trickle(int node, int count, double until) {
    for (int i = 0; i < count; ++i) {
        std::make_shared<Trickler>(environment_, nodes_[static_cast<std::size_t>(node)].where, until)->step();
    }
}

void LoadClients::never_read(int node, int count, double until) {
    for (std::size_t i = 0; i < environment_.scenario.operations.size(); ++i) {
        if (environment_.scenario.operations[i].write) continue;
        for (int n = 0; n < count; ++n) {
            std::make_shared<NonReader>(*this, node, static_cast<int>(i), until)->step();
        }
        return;
    }
}

}  // namespace brookrelay::testkit
