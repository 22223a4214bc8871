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

enum class Manner {
    pipelines,
    in_pieces,
    half_command,
    half_value,
    rests,
    leaves,
    reads_late,
    long_write,
    hasty,
    count
};

constexpr double kBadClientLimit = 3.0;  // s within which a node must end a stopped command
constexpr double kSlack = 0.15;          // s of tolerance on kBadClientLimit
constexpr std::size_t kLongValue = std::size_t{150} * 1000;  // bytes
constexpr double kPipelinedWait = 4.5;                       // s; longer than a node keeps a silent client
constexpr double kMannerLimit = 6.5;  // s; longest time that a client spends on one behaviour
constexpr double kHastyLeast = 0.005, kHastyMost = 0.06;  // bounds of a hasty client's deadline, s

}  // namespace

// One client: its connection, the requests pending on it in order, and its current behaviour.
class ManneredClients::Client : public std::enable_shared_from_this<Client> {
  public:
    explicit Client(ManneredClients& crowd) : crowd_(crowd) {}
    void step();
    void end();

  private:
    struct Asked {
        int request = 0;
        std::uint64_t key = 0;
        audit::RequestInfo info = {};
        bool is_whole = true;  // the last byte is written; only then is it a request for the auditor
    };
    TestEnvironment& environment() { return crowd_.environment_; }
    void after(double seconds, std::function<void()> action);
    void connect();
    void close_connection();
    void play();
    std::string command(double wait, bool write, std::size_t bytes, bool is_whole = true);
    void register_last();
    void write_in_pieces(const std::string& text, int pieces, double gap);
    void halt_inside_command(bool inside_value);
    void give_up_manner();
    void on_input();
    void on_ended();
    void drop_asked();
    bool was_paused() { return environment().auditor.was_paused(stopped_at_, node_); }
    void finish_manner(double pause);
    int operation(bool write);

    ManneredClients& crowd_;
    Connection::Ptr connection_;
    int node_ = 0;
    std::deque<Asked> asked_;
    Manner manner_ = Manner::pipelines;
    std::uint64_t turn_ = 0;   // invalidates the timers of earlier behaviours
    bool is_fresh_ = true;     // no response was received on this connection
    bool is_halting_ = false;  // half a command is written and the rest is never sent
    double stopped_at_ = 0;
};

void ManneredClients::Client::after(double seconds, std::function<void()> action) {
    environment().at(environment().now() + seconds,
                     [self = shared_from_this(), turn = turn_, act = std::move(action)] {
                         if (self->turn_ == turn && !self->crowd_.stopped_) act();
                     });
}

void ManneredClients::Client::step() {
    if (crowd_.stopped_ || environment().now() >= crowd_.until_) return;
    ++turn_;
    manner_ = static_cast<Manner>(crowd_.draw_int(0, static_cast<int>(Manner::count) - 1));
    if (connection_ == nullptr || connection_->is_closed() || crowd_.draw() < 0.3) {
        connect();
    } else {
        play();
    }
}

void ManneredClients::Client::connect() {
    close_connection();
    const auto where = crowd_.pick_();
    if (!where) return after(0.1, [this] { step(); });
    node_ = where->first;
    is_fresh_ = true;
    is_halting_ = false;
    const auto if_current = [self = shared_from_this()](void (Client::*handle)()) {
        return [self, handle](Connection& c) {
            if (self->connection_.get() == &c) (self.get()->*handle)();
        };
    };
    connection_ = Connection::to(
        environment().io, where->second, environment().clock,
        {if_current(&Client::play), if_current(&Client::on_input), if_current(&Client::on_ended)});
}

// Closes the connection without on_ended() being called.
void ManneredClients::Client::close_connection() {
    const Connection::Ptr closed = std::move(connection_);
    connection_ = nullptr;
    if (closed != nullptr) closed->close();
}

int ManneredClients::Client::operation(bool write) {
    const auto& operations = environment().scenario.operations;
    std::vector<int> fitting;
    for (std::size_t i = 0; i < operations.size(); ++i) {
        if (operations[i].write == write) fitting.push_back(static_cast<int>(i));
    }
    return fitting[static_cast<std::size_t>(crowd_.draw_int(0, static_cast<int>(fitting.size()) - 1))];
}

// Registers a request and returns its command.
std::string ManneredClients::Client::command(double wait, bool write, std::size_t bytes, bool is_whole) {
    const int number = operation(write);
    const OperationPlan& op = environment().scenario.operations[static_cast<std::size_t>(number)];
    audit::RequestInfo info;
    info.operation = number;
    info.node = node_;
    info.user = crowd_.numbering_.next_user();
    info.key = key_of_rank(static_cast<std::uint64_t>(crowd_.draw_int(0, 400)));
    info.timeout = wait > 0 ? wait : op.promised.client_timeout;
    const int request = crowd_.numbering_.next_request();
    asked_.push_back({request, info.key, info, is_whole});
    if (is_whole) environment().auditor.on_request(environment().now(), request, info);
    std::string properties = "Pc=" + op.name + ",d=" + std::to_string(std::llround(info.timeout * 1e3));
    if (op.promised.idempotency == Idempotency::idempotency_key)
        properties += ",k=" + key_text(key_of_rank(static_cast<std::uint64_t>(request) | 1ULL << 50) | 1);
    const std::string head = " O" + id_text(environment().day, request) + " " + properties + "\r\n";
    if (!write) return "mg " + key_text(info.key) + " v" + head;
    const std::string value = value_text(0, info.key, 0, bytes);
    return "ms " + key_text(info.key) + " " + std::to_string(value.size()) + head + value + "\r\n";
}

void ManneredClients::Client::register_last() {
    if (asked_.empty() || asked_.back().is_whole) return;
    asked_.back().is_whole = true;
    environment().auditor.on_request(environment().now(), asked_.back().request, asked_.back().info);
}

void ManneredClients::Client::write_in_pieces(const std::string& text, int pieces, double gap) {
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

void ManneredClients::Client::play() {
    switch (manner_) {
        case Manner::pipelines: {
            std::string all;
            const int commands = crowd_.draw_int(2, 12);
            // All commands have the same deadline, as the time that one waits behind others does not count.
            for (int i = 0; i < commands; ++i) all += command(kPipelinedWait, crowd_.draw() < 0.2, 50);
            connection_->write(all);
            break;
        }
        case Manner::in_pieces: {
            const double gap = 0.005 + 0.04 * crowd_.draw();
            const int pieces = crowd_.draw_int(2, 6);
            write_in_pieces(command(1.5, crowd_.draw() < 0.5, 600, false), pieces, gap);
            break;
        }
        case Manner::half_command:
            halt_inside_command(false);
            break;
        case Manner::half_value:
            halt_inside_command(true);
            break;
        case Manner::rests:
            connection_->write(command(0, false, 0));
            break;
        case Manner::leaves:
            connection_->write(command(0, crowd_.draw() < 0.5, crowd_.draw() < 0.3 ? kLongValue : 60));
            after(0.001 + 0.2 * crowd_.draw(), [this] {
                drop_asked();
                close_connection();
                finish_manner(0.05);
            });
            break;
        case Manner::reads_late:
            connection_->pause();
            connection_->write(command(1.9, false, 0));
            after(0.2 + 0.5 * crowd_.draw(), [this] { connection_->resume(); });
            break;
        case Manner::long_write:
            write_in_pieces(command(1.9, true, kLongValue, false), crowd_.draw_int(1, 5), 0.03);
            break;
        case Manner::hasty:
            connection_->write(command(kHastyLeast + (kHastyMost - kHastyLeast) * crowd_.draw(), false, 0));
            break;
        case Manner::count:
            break;
    }
    // A request that is still pending then is left to the auditor; the client goes on to its next behaviour.
    after(kMannerLimit, [this] { give_up_manner(); });
}

void ManneredClients::Client::halt_inside_command(bool inside_value) {
    const std::string& write = environment().scenario.operations.back().name;
    std::string text = inside_value ? "ms 00000000000000aa 100000 Ohalf Pc=" + write + ",d=1000,k=aa\r\n" +
                                          std::string(2000, 'x')
                                    : "mg 00000000000000aa v Oha";
    if (crowd_.draw() < 0.4) text = command(0, false, 0) + text;
    connection_->write(text);
    is_halting_ = true;
    stopped_at_ = environment().now();
}

void ManneredClients::Client::give_up_manner() {
    if (is_halting_ && !connection_->is_closed() && !was_paused())
        crowd_.complaints_.push_back(
            {"node " + std::to_string(node_) + " keeps a client whose command stopped for more than 6 s",
             stopped_at_, environment().now()});
    drop_asked();
    close_connection();
    finish_manner(0.1);
}

void ManneredClients::Client::on_input() {
    while (connection_ != nullptr && !connection_->is_closed()) {
        Heard heard;
        const std::size_t taken = read_heard(connection_->input(), heard);
        if (taken == 0 && !asked_.empty() && asked_.front().is_whole &&
            has_begun_long_value(connection_->input()))
            environment().auditor.on_response_begun(environment().now(), asked_.front().request);
        if (taken == 0) return;
        const double now = environment().now();
        is_fresh_ = false;
        if (asked_.empty()) {
            // An error line for a command that was never complete.
            if (is_halting_ && now - stopped_at_ > kBadClientLimit + kSlack && !was_paused())
                crowd_.complaints_.push_back({"node " + std::to_string(node_) +
                                                  " ended a stopped command after " +
                                                  std::to_string(now - stopped_at_) + " s",
                                              stopped_at_, now});
            connection_->take(taken);
            continue;
        }
        const Asked front = asked_.front();
        asked_.pop_front();
        if (!front.is_whole) {  // an error line in the middle of a command
            connection_->take(taken);
            continue;
        }
        const ClientReply reply = classify_reply(heard, environment().day, front.request, front.key);
        environment().auditor.on_response(now, front.request, reply.kind, reply.attempt);
        connection_->take(taken);
    }
    if (!asked_.empty() || is_halting_ || connection_->is_closed()) return;
    // An idle client stays connected until the node closes the connection or the client sends again, which
    // may cross a close that is under way.
    finish_manner(manner_ == Manner::rests ? 0.05 + 2.5 * crowd_.draw() : 0.02);
}

void ManneredClients::Client::on_ended() {
    const double now = environment().now();
    if (is_halting_ && now - stopped_at_ > kBadClientLimit + kSlack && !was_paused())
        crowd_.complaints_.push_back({"node " + std::to_string(node_) + " closed a stopped command after " +
                                          std::to_string(now - stopped_at_) + " s",
                                      stopped_at_, now});
    const bool was_up = connection_->is_up();
    const bool cut = connection_->input().starts_with("VA ");
    for (std::size_t i = 0; i < asked_.size(); ++i) {
        const int request = asked_[i].request;
        if (!asked_[i].is_whole) continue;
        if (!was_up) {
            environment().auditor.on_unreachable(now, request);
        } else if (cut && i == 0) {
            environment().auditor.on_response(now, request, audit::Reply::truncated, -1);
        } else if (!is_fresh_ && !environment().auditor.has_attempts(request)) {
            environment().auditor.on_client_closed(
                now,
                request);  // the request crossed the close of an idle connection
        } else {
            environment().auditor.on_connection_closed(now, request);
        }
    }
    asked_.clear();
    finish_manner(0.05);
}

void ManneredClients::Client::drop_asked() {
    for (const Asked& a : asked_) {
        if (a.is_whole) environment().auditor.on_client_closed(environment().now(), a.request);
    }
    asked_.clear();
}

void ManneredClients::Client::finish_manner(double pause) {
    ++turn_;
    is_halting_ = false;
    after(pause, [this] { step(); });
}

void ManneredClients::Client::end() {
    ++turn_;
    drop_asked();
    close_connection();
}

ManneredClients::ManneredClients(TestEnvironment& environment, Numbering numbering, std::uint64_t seed)
    : environment_(environment), numbering_(std::move(numbering)), chance_(seed * 104729 + 7) {}

ManneredClients::~ManneredClients() { stop(); }

void ManneredClients::start(int count, PickNode pick, double until) {
    pick_ = std::move(pick);
    until_ = until;
    for (int i = 0; i < count; ++i) {
        clients_.push_back(std::make_shared<Client>(*this));
        clients_.back()->step();
    }
}

void ManneredClients::stop() {
    if (std::exchange(stopped_, true)) return;
    for (const auto& client : clients_) client->end();
}

std::vector<std::string> ManneredClients::complaints() const {
    std::vector<std::string> texts;
    for (const Complaint& complaint : complaints_) {
        const double late =
            environment_.auditor.watcher_delay_between(complaint.stopped_at, complaint.seen_at);
        if (complaint.seen_at - complaint.stopped_at - late > kBadClientLimit + kSlack)
            texts.push_back(complaint.text);
    }
    return texts;
}

}  // namespace brookrelay::testkit
