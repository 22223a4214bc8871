#include "testkit/fake_cache_server.h"

#include <algorithm>

#include "testkit/fault_schedule.h"

namespace brookrelay::testkit {
namespace {

constexpr double kMissPart = 0.3;   // part of an operation's work that a miss costs
constexpr double kBusyPart = 0.02;  // part of an operation's work that a busy response costs
constexpr double kLook = 0.1;       // s between overload checks
// For this long after a silence the kernel may still deliver, by retransmission, data written to a connection
// that was not in the accept queue during the silence. The server cannot see when such data was written.
constexpr double kLateDelivery = 2.5;  // s

}  // namespace

FakeCacheServer::FakeCacheServer(TestEnvironment& environment, int number, const ServerKind& kind)
    : environment_(environment),
      number_(number),
      kind_(kind),
      bench_(kind.slots, kind.queue, [this](double now) { return pace(now); }),
      store_(static_cast<std::size_t>(kind.keys)),
      timer_(environment.io),
      listener_(environment.io, environment.host, [this](Tcp::socket s) { accept(std::move(s)); }) {}

double FakeCacheServer::part(double now) const {
    if (!cold_) return 1;
    return ColdCurve{environment_.scenario.cold_from, kind_.warm_after}.part(now - started_);
}

double FakeCacheServer::pace(double now) const {
    double pace = kind_.speed * part(now) / factor_;
    const double over = (static_cast<double>(bench_.open()) - kind_.crowded_from) / kind_.crowded_from;
    if (over > 0) pace /= 1 + kind_.crowding * over;
    return pace;
}

double FakeCacheServer::capacity() const {
    if (!running_) return 0;
    return kind_.slots * kind_.speed * part(environment_.now()) / factor_;
}

int FakeCacheServer::most_connections() { return std::exchange(most_peers_, open_connections()); }

// ---- connections ----------------------------------------------------------------------------------------

void FakeCacheServer::accept(Tcp::socket socket) {
    if (static_cast<int>(peers_.size()) >= kind_.connections) {
        ++counts_.refused;
        Code ignored;
        socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        return;  // the socket goes out of scope, which resets the connection
    }
    const std::uint64_t id = ++last_peer_;
    ++counts_.connections;
    Peer& p = peers_[id];
    most_peers_ = std::max(most_peers_, open_connections());
    p.handshake = kind_.handshake;
    p.conn = Connection::accepted(
        std::move(socket), environment_.clock,
        {nullptr, [this, id](Connection&) { input(id); }, [this, id](Connection&) { peer_gone(id); }});
}

void FakeCacheServer::peer_gone(std::uint64_t peer) {
    const auto found = peers_.find(peer);
    if (found == peers_.end()) return;
    for (const auto& [forward, text] : found->second.answers) {
        const auto job = jobs_.find(forward);
        if (job == jobs_.end() || job->second.write) continue;
        // A queued read of a closed connection is dropped. A write stays queued: a write that its sender has
        // given up may still take effect.
        bench_.forget(forward);
    }
    peers_.erase(found);
}

void FakeCacheServer::input(std::uint64_t peer) {
    while (true) {
        const auto found = peers_.find(peer);
        if (found == peers_.end()) return;
        Connection& conn = *found->second.conn;
        Command command;
        const double first_byte = conn.first_byte_at();
        const std::size_t taken = read_command(conn.input(), command);
        if (taken == 0) return;
        begin(peer, found->second, command, first_byte);
        if (!conn.is_closed()) conn.take(taken);
    }
}

void FakeCacheServer::begin(std::uint64_t peer, Peer& p, const Command& command, double first_byte) {
    const double now = environment_.now();
    if (command.kind == Command::Kind::hello) {
        if (!silent_) p.conn->write("MN\r\n");
        return;
    }
    const int forward = environment_.forwards++;
    int inv = -1;
    const int operation = environment_.operation(command.properties.operation);
    const bool sound = (command.kind == Command::Kind::read || command.kind == Command::Kind::write) &&
                       read_id(command.id, environment_.day, inv) && operation >= 0;
    ++counts_.forwards;
    Job job;
    job.peer = peer;
    job.inv = inv;
    job.key = command.key;
    job.operation = std::max(0, operation);
    job.write = command.kind == Command::Kind::write;
    job.id = command.id;
    job.mark = command.properties.mark;
    double work =
        operation < 0 ? 0 : environment_.scenario.operations[static_cast<std::size_t>(operation)].work;
    if (sound && !job.write && !store_.get(job.key)) work *= kMissPart;
    work += p.handshake;
    p.handshake = 0;
    meter_.offered(now, work);
    environment_.auditor.on_attempt(first_byte, now, forward, sound ? inv : -1, number_, work,
                                    reads_promptly(now));
    if (sound && reads_promptly(now)) environment_.auditor.on_told_deadline(forward, command.properties.wait);
    if (!sound) {
        environment_.auditor.on_attempt_finished(now, forward, audit::Outcome::failed);
        p.conn->write("CLIENT_ERROR what no client sent\r\n");
        return;
    }
    p.answers.emplace_back(forward, "");
    if (silent_) return;
    jobs_.emplace(forward, job);
    if (!bench_.enter(now, forward, work)) {
        ++counts_.busy;
        jobs_.erase(forward);
        environment_.auditor.on_attempt_finished(now, forward, audit::Outcome::busy);
        // A busy response costs some work too, which counts towards overload.
        meter_.offered(now, work * kBusyPart);
        return answer(peer, forward, "SERVER_ERROR busy\r\n");
    }
    arm();
}

void FakeCacheServer::finish(int forward) {
    const auto found = jobs_.find(forward);
    if (found == jobs_.end()) return;
    const Job job = std::move(found->second);
    jobs_.erase(found);
    const double now = environment_.now();
    const OperationPlan& op = environment_.scenario.operations[static_cast<std::size_t>(job.operation)];
    if (job.write) {
        // Writes arrive here only in scenarios in which caches take writes for the origin.
        if (op.promised.idempotency == Idempotency::idempotency_key && job.mark != 0 &&
            marks_.seen(now, job.mark, op.promised.deduplication_window)) {
            environment_.auditor.on_duplicate_dropped(now, forward);
        } else {
            ++environment_.versions[job.key];
            environment_.auditor.on_effect(now, forward);
            environment_.drop_copies(job.key);
        }
        environment_.auditor.on_attempt_finished(now, forward, audit::Outcome::done);
        return answer(job.peer, forward, "HD O" + job.id + " cf" + std::to_string(forward) + "\r\n");
    }
    const auto version = store_.get(job.key);
    if (!version) {
        ++counts_.misses;
        environment_.missed[job.inv].push_back(number_);
        environment_.auditor.on_attempt_finished(now, forward, audit::Outcome::miss);
        return answer(job.peer, forward, "EN O" + job.id + " h0\r\n");
    }
    ++counts_.hits;
    const std::string value =
        value_text(forward, job.key, *version, static_cast<std::size_t>(op.value_bytes));
    spoil_draw_ = key_of_rank(spoil_draw_ + static_cast<std::uint64_t>(forward));
    if (spoilt_ > 0 && static_cast<double>(spoil_draw_ >> 11) < spoilt_ * 9007199254740992.0) {
        environment_.auditor.on_attempt_finished(now, forward, audit::Outcome::failed);
        return answer(job.peer, forward, "VA x9 O" + job.id + "\r\n" + value + "\r\n");
    }
    environment_.auditor.on_attempt_finished(now, forward, audit::Outcome::done);
    answer(job.peer, forward,
           "VA " + std::to_string(value.size()) + " O" + job.id + " h1\r\n" + value + "\r\n");
}

void FakeCacheServer::answer(std::uint64_t peer, int forward, std::string text) {
    const auto found = peers_.find(peer);
    if (found == peers_.end()) return;
    Peer& p = found->second;
    for (auto& [waiting, said] : p.answers) {
        // NOLINTNEXTLINE(bugprone-use-after-move): one response is pending under this number
        if (waiting == forward) said = std::move(text);
    }
    while (!p.answers.empty() && !p.answers.front().second.empty()) {
        p.conn->write(p.answers.front().second);
        p.answers.pop_front();
    }
}

// ---- time -----------------------------------------------------------------------------------------------

void FakeCacheServer::arm() {
    const double next = bench_.next_end();
    if (next >= armed_for_) return;
    armed_for_ = next;
    timer_.expires_at(environment_.clock.at(next));
    timer_.async_wait([this](const Code& bad) {
        if (bad) return;
        armed_for_ = kNever;
        while (const auto done = bench_.pop_ended(environment_.now())) finish(*done);
        arm();
    });
}

void FakeCacheServer::look() {
    if (!cold_ || !running_) return;
    const double now = environment_.now();
    if (now - started_ >= kind_.warm_after) {
        cold_ = false;
        environment_.auditor.on_server_warm(now, number_);
        return;
    }
    const Scenario& s = environment_.scenario;
    if (!silent_ && meter_.over(now, capacity(), s.fall_multiple, s.fall_time)) {
        environment_.auditor.on_server_overloaded(now, number_);
        fallen_ = true;
        stop();
        return;
    }
    environment_.at(now + kLook, [this] { look(); });
}

// ---- faults ---------------------------------------------------------------------------------------------

void FakeCacheServer::reset_all() {
    std::map<std::uint64_t, Peer> gone;
    gone.swap(peers_);
    for (auto& [id, p] : gone) p.conn->reset();
    bench_.clear();
    jobs_.clear();
    timer_.cancel();
    armed_for_ = kNever;
}

void FakeCacheServer::silence(bool on) {
    if (silent_ == on || !running_) return;
    silent_ = on;
    if (on) {
        // Pending work is discarded and no response is sent, as if the network to the machine were cut.
        bench_.clear();
        jobs_.clear();
        timer_.cancel();
        armed_for_ = kNever;
        listener_.hush();
    } else {
        silent_until_ = environment_.now();
        reset_all();
        listener_.open();
    }
}

bool FakeCacheServer::reads_promptly(double now) const {
    return !silent_ && now - silent_until_ > kLateDelivery;
}

void FakeCacheServer::stop() {
    if (!running_) return;
    running_ = false;
    silent_ = false;
    cold_ = false;
    listener_.shut();
    reset_all();
}

void FakeCacheServer::start_cold() {
    if (running_) stop();
    if (fallen_) return;  // a server that failed from overload stays down
    store_.clear();
    marks_.clear();
    meter_.clear();
    running_ = true;
    cold_ = true;
    started_ = environment_.now();
    environment_.auditor.on_server_started(started_, number_, true);
    listener_.open();
    look();
}

void FakeCacheServer::drop_part(double part, std::uint64_t chance) {
    store_.drop_if([&](std::uint64_t key) {
        return static_cast<double>(key_of_rank(key ^ chance) >> 11) < part * 9007199254740992.0;
    });
}

}  // namespace brookrelay::testkit
