#include "testkit/mannered_clients.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <optional>

#include "testkit/client_reply.h"
#include "testkit/fault_schedule.h"
#include "testkit/wire.h"

namespace brookrelay::testkit {
namespace {

enum class Behaviour {
    pipelines,
    writes_in_pieces,
    stops_in_command,
    stops_in_value,
    idles,
    disconnects,
    reads_late,
    writes_long_value,
    short_deadline,
    count
};

constexpr double kStoppedCommandLimit = 3.0;       // s within which a node must end a stopped command
constexpr double kStoppedCommandTolerance = 0.15;  // s of tolerance on kStoppedCommandLimit
constexpr std::size_t kLongValueBytes = std::size_t{150} * 1000;  // bytes
constexpr double kPipelinedDeadline = 4.5;  // s; longer than a node keeps a silent client
constexpr double kBehaviourLimit = 6.5;     // s; longest time that a client spends on one behaviour
// Bounds, in s, of the deadline that a client with short deadlines sends.
constexpr double kMinShortDeadline = 0.005, kMaxShortDeadline = 0.06;

}  // namespace

// One client: its connection, the requests pending on it in order, and its current behaviour.
class UnusualClients::Client : public std::enable_shared_from_this<Client> {
  public:
    explicit Client(UnusualClients& owner) : owner_(owner) {}
    void step();
    void end();

  private:
    struct PendingRequest {
        int request = 0;
        std::uint64_t key = 0;
        audit::RequestInfo info = {};
        bool is_whole = true;  // the last byte is written; only then is it a request for the auditor
    };
    TestEnvironment& environment() { return owner_.environment_; }
    void after(double seconds, std::function<void()> action);
    void connect();
    void close_connection();
    void start_behaviour();
    std::string command(double timeout, bool write, std::size_t bytes, bool is_whole = true);
    void register_last();
    void write_in_pieces(const std::string& text, int pieces, double gap);
    void stop_inside_command(bool inside_value);
    void end_behaviour_at_limit();
    void on_input();
    void on_ended();
    void close_pending_requests();
    bool was_paused() { return environment().auditor.was_paused(stopped_at_, node_); }
    void finish_behaviour(double pause);
    int operation(bool write);

    UnusualClients& owner_;
    Connection::Ptr connection_;
    int node_ = 0;
    std::deque<PendingRequest> pending_requests_;
    Behaviour behaviour_ = Behaviour::pipelines;
    std::uint64_t timer_generation_ = 0;  // invalidates the timers of earlier behaviours
    bool has_no_response_ = true;         // no response was received on this connection
    bool is_stopped_in_command_ = false;  // half a command is written and the rest is never sent
    double stopped_at_ = 0;
};

void UnusualClients::Client::after(double seconds, std::function<void()> action) {
    environment().at(environment().now() + seconds,
                     [self = shared_from_this(), generation = timer_generation_, act = std::move(action)] {
                         if (self->timer_generation_ == generation && !self->owner_.stopped_) act();
                     });
}

void UnusualClients::Client::step() {
    if (owner_.stopped_ || environment().now() >= owner_.until_) return;
    ++timer_generation_;
    behaviour_ = static_cast<Behaviour>(owner_.draw_int(0, static_cast<int>(Behaviour::count) - 1));
    if (connection_ == nullptr || connection_->is_closed() || owner_.draw() < 0.3) {
        connect();
    } else {
        start_behaviour();
    }
}

void UnusualClients::Client::connect() {
    close_connection();
    const auto target = owner_.pick_();
    if (!target) return after(0.1, [this] { step(); });
    node_ = target->first;
    has_no_response_ = true;
    is_stopped_in_command_ = false;
    const auto if_current = [self = shared_from_this()](void (Client::*handle)()) {
        return [self, handle](Connection& c) {
            if (self->connection_.get() == &c) (self.get()->*handle)();
        };
    };
    connection_ = Connection::to(
        environment().io, target->second, environment().clock,
        {if_current(&Client::start_behaviour), if_current(&Client::on_input), if_current(&Client::on_ended)});
}

// Closes the connection without on_ended() being called.
void UnusualClients::Client::close_connection() {
    const Connection::Ptr old_connection = std::move(connection_);
    connection_ = nullptr;
    if (old_connection != nullptr) old_connection->close();
}

int UnusualClients::Client::operation(bool write) {
    const auto& operations = environment().scenario.operations;
    std::vector<int> fitting;
    for (std::size_t i = 0; i < operations.size(); ++i) {
        if (operations[i].write == write) fitting.push_back(static_cast<int>(i));
    }
    return fitting[static_cast<std::size_t>(owner_.draw_int(0, static_cast<int>(fitting.size()) - 1))];
}

// Registers a request and returns its command.
std::string UnusualClients::Client::command(double timeout, bool write, std::size_t bytes, bool is_whole) {
    const int number = operation(write);
    const OperationPlan& op = environment().scenario.operations[static_cast<std::size_t>(number)];
    audit::RequestInfo info;
    info.operation = number;
    info.node = node_;
    info.user = owner_.numbering_.next_user();
    info.key = key_of_rank(static_cast<std::uint64_t>(owner_.draw_int(0, 400)));
    info.timeout = timeout > 0 ? timeout : op.promised.client_timeout;
    const int request = owner_.numbering_.next_request();
    pending_requests_.push_back({request, info.key, info, is_whole});
    if (is_whole) environment().auditor.on_request(environment().now(), request, info);
    std::string properties = "Pc=" + op.name + ",d=" + std::to_string(std::llround(info.timeout * 1e3));
    if (op.promised.idempotency == Idempotency::idempotency_key)
        properties += ",k=" + key_text(key_of_rank(static_cast<std::uint64_t>(request) | 1ULL << 50) | 1);
    const std::string head = " O" + format_request_id(environment().day, request) + " " + properties + "\r\n";
    if (!write) return "mg " + key_text(info.key) + " v" + head;
    const std::string value = value_text(0, info.key, 0, bytes);
    return "ms " + key_text(info.key) + " " + std::to_string(value.size()) + head + value + "\r\n";
}

void UnusualClients::Client::register_last() {
    if (pending_requests_.empty() || pending_requests_.back().is_whole) return;
    pending_requests_.back().is_whole = true;
    environment().auditor.on_request(environment().now(), pending_requests_.back().request,
                                     pending_requests_.back().info);
}

void UnusualClients::Client::write_in_pieces(const std::string& text, int pieces, double gap) {
    const std::size_t piece = text.size() / static_cast<std::size_t>(pieces) + 1;
    for (int i = 0; i < pieces; ++i) {
        const std::size_t from = static_cast<std::size_t>(i) * piece;
        if (from >= text.size()) break;
        const bool is_last = from + piece >= text.size();
        after(gap * i, [this, part = text.substr(from, piece), is_last] {
            if (connection_ == nullptr || connection_->is_closed()) return;
            if (is_last) register_last();
            connection_->write(part);
        });
    }
}

void UnusualClients::Client::start_behaviour() {
    switch (behaviour_) {
        case Behaviour::pipelines: {
            std::string all;
            const int commands = owner_.draw_int(2, 12);
            // All commands have the same deadline, as the time that one waits behind others does not count.
            for (int i = 0; i < commands; ++i) all += command(kPipelinedDeadline, owner_.draw() < 0.2, 50);
            connection_->write(all);
            break;
        }
        case Behaviour::writes_in_pieces: {
            const double gap = 0.005 + 0.04 * owner_.draw();
            const int pieces = owner_.draw_int(2, 6);
            write_in_pieces(command(1.5, owner_.draw() < 0.5, 600, false), pieces, gap);
            break;
        }
        case Behaviour::stops_in_command:
            stop_inside_command(false);
            break;
        case Behaviour::stops_in_value:
            stop_inside_command(true);
            break;
        case Behaviour::idles:
            connection_->write(command(0, false, 0));
            break;
        case Behaviour::disconnects:
            connection_->write(command(0, owner_.draw() < 0.5, owner_.draw() < 0.3 ? kLongValueBytes : 60));
            after(0.001 + 0.2 * owner_.draw(), [this] {
                close_pending_requests();
                close_connection();
                finish_behaviour(0.05);
            });
            break;
        case Behaviour::reads_late:
            connection_->pause();
            connection_->write(command(1.9, false, 0));
            after(0.2 + 0.5 * owner_.draw(), [this] { connection_->resume(); });
            break;
        case Behaviour::writes_long_value:
            write_in_pieces(command(1.9, true, kLongValueBytes, false), owner_.draw_int(1, 5), 0.03);
            break;
        case Behaviour::short_deadline:
            connection_->write(command(
                kMinShortDeadline + (kMaxShortDeadline - kMinShortDeadline) * owner_.draw(), false, 0));
            break;
        case Behaviour::count:
            break;
    }
    // A request that is still pending then is left to the auditor; the client goes on to its next behaviour.
    after(kBehaviourLimit, [this] { end_behaviour_at_limit(); });
}

void UnusualClients::Client::stop_inside_command(bool inside_value) {
    const std::string& write = environment().scenario.operations.back().name;
    std::string text = inside_value ? "ms 00000000000000aa 100000 Ohalf Pc=" + write + ",d=1000,k=aa\r\n" +
                                          std::string(2000, 'x')
                                    : "mg 00000000000000aa v Oha";
    if (owner_.draw() < 0.4) text = command(0, false, 0) + text;
    connection_->write(text);
    is_stopped_in_command_ = true;
    stopped_at_ = environment().now();
}

void UnusualClients::Client::end_behaviour_at_limit() {
    if (is_stopped_in_command_ && !connection_->is_closed() && !was_paused())
        owner_.violations_.push_back(
            {"node " + std::to_string(node_) + " keeps a client whose command stopped for more than 6 s",
             stopped_at_, environment().now()});
    close_pending_requests();
    close_connection();
    finish_behaviour(0.1);
}

void UnusualClients::Client::on_input() {
    while (connection_ != nullptr && !connection_->is_closed()) {
        Response response;
        const std::size_t consumed = read_response(connection_->input(), response);
        if (consumed == 0 && !pending_requests_.empty() && pending_requests_.front().is_whole &&
            has_begun_long_value(connection_->input()))
            environment().auditor.on_response_begun(environment().now(), pending_requests_.front().request);
        if (consumed == 0) return;
        const double now = environment().now();
        has_no_response_ = false;
        if (pending_requests_.empty()) {
            // An error line for a command that was never complete.
            if (is_stopped_in_command_ &&
                now - stopped_at_ > kStoppedCommandLimit + kStoppedCommandTolerance && !was_paused())
                owner_.violations_.push_back({"node " + std::to_string(node_) +
                                                  " ended a stopped command after " +
                                                  std::to_string(now - stopped_at_) + " s",
                                              stopped_at_, now});
            connection_->take(consumed);
            continue;
        }
        const PendingRequest front = pending_requests_.front();
        pending_requests_.pop_front();
        if (!front.is_whole) {  // an error line in the middle of a command
            connection_->take(consumed);
            continue;
        }
        const ClientReply reply = classify_reply(response, environment().day, front.request, front.key);
        environment().auditor.on_response(now, front.request, reply.kind, reply.attempt);
        connection_->take(consumed);
    }
    if (!pending_requests_.empty() || is_stopped_in_command_ || connection_->is_closed()) return;
    // An idle client stays connected until the node closes the connection or the client sends again, which
    // may cross a close that is under way.
    finish_behaviour(behaviour_ == Behaviour::idles ? 0.05 + 2.5 * owner_.draw() : 0.02);
}

void UnusualClients::Client::on_ended() {
    const double now = environment().now();
    if (is_stopped_in_command_ && now - stopped_at_ > kStoppedCommandLimit + kStoppedCommandTolerance &&
        !was_paused())
        owner_.violations_.push_back({"node " + std::to_string(node_) + " closed a stopped command after " +
                                          std::to_string(now - stopped_at_) + " s",
                                      stopped_at_, now});
    const bool was_up = connection_->is_up();
    const bool is_cut = connection_->input().starts_with("VA ");
    for (std::size_t i = 0; i < pending_requests_.size(); ++i) {
        const int request = pending_requests_[i].request;
        if (!pending_requests_[i].is_whole) continue;
        if (!was_up) {
            environment().auditor.on_unreachable(now, request);
        } else if (is_cut && i == 0) {
            environment().auditor.on_response(now, request, audit::Reply::truncated, -1);
        } else if (!has_no_response_ && !environment().auditor.has_attempts(request)) {
            environment().auditor.on_client_closed(
                now,
                request);  // the request crossed the close of an idle connection
        } else {
            environment().auditor.on_connection_closed(now, request);
        }
    }
    pending_requests_.clear();
    finish_behaviour(0.05);
}

void UnusualClients::Client::close_pending_requests() {
    for (const PendingRequest& a : pending_requests_) {
        if (a.is_whole) environment().auditor.on_client_closed(environment().now(), a.request);
    }
    pending_requests_.clear();
}

void UnusualClients::Client::finish_behaviour(double pause) {
    ++timer_generation_;
    is_stopped_in_command_ = false;
    after(pause, [this] { step(); });
}

void UnusualClients::Client::end() {
    ++timer_generation_;
    close_pending_requests();
    close_connection();
}

UnusualClients::UnusualClients(TestEnvironment& environment, Numbering numbering, std::uint64_t seed)
    : environment_(environment), numbering_(std::move(numbering)), random_(seed * 104729 + 7) {}

UnusualClients::~UnusualClients() { stop(); }

void UnusualClients::start(int count, PickNode pick, double until) {
    pick_ = std::move(pick);
    until_ = until;
    for (int i = 0; i < count; ++i) {
        clients_.push_back(std::make_shared<Client>(*this));
        clients_.back()->step();
    }
}

void UnusualClients::stop() {
    if (std::exchange(stopped_, true)) return;
    for (const auto& client : clients_) client->end();
}

std::vector<std::string> UnusualClients::violations() const {
    std::vector<std::string> texts;
    for (const Violation& violation : violations_) {
        const double watcher_delay =
            environment_.auditor.watcher_delay_between(violation.stopped_at, violation.seen_at);
        if (violation.seen_at - violation.stopped_at - watcher_delay >
            kStoppedCommandLimit + kStoppedCommandTolerance)
            texts.push_back(violation.text);
    }
    return texts;
}

}  // namespace brookrelay::testkit
