#include "testkit/fake_cache_server.h"

#include <algorithm>

#include "testkit/fault_schedule.h"

namespace brookrelay::testkit {
namespace {

constexpr double kMissWorkRatio = 0.3;          // part of an operation's work that a miss costs
constexpr double kBusyWorkRatio = 0.02;         // part of an operation's work that a busy response costs
constexpr double kOverloadCheckInterval = 0.1;  // s between overload checks
// For this long after a silence the kernel may still deliver, by retransmission, data written to a connection
// that was not in the accept queue during the silence. The server cannot see when such data was written.
constexpr double kRetransmissionPeriod = 2.5;  // s

}  // namespace

FakeCacheServer::FakeCacheServer(TestEnvironment& environment, int number, const ServerKind& kind)
    : environment_(environment),
      number_(number),
      kind_(kind),
      work_queue_(kind.slots, kind.queue, [this](double now) { return work_rate(now); }),
      store_(static_cast<std::size_t>(kind.keys)),
      timer_(environment.io),
      listener_(environment.io, environment.host, [this](Tcp::socket s) { accept(std::move(s)); }) {}

double FakeCacheServer::capacity_ratio(double now) const {
    if (!is_cold_) return 1;
    return ColdCurve{environment_.scenario.cold_from, kind_.warm_after}.capacity_ratio(now - started_);
}

double FakeCacheServer::work_rate(double now) const {
    double rate = kind_.speed * capacity_ratio(now) / slowdown_;
    const double excess =
        (static_cast<double>(work_queue_.open_jobs()) - kind_.crowded_from) / kind_.crowded_from;
    if (excess > 0) rate /= 1 + kind_.crowding * excess;
    return rate;
}

double FakeCacheServer::capacity() const {
    if (!is_running_) return 0;
    return kind_.slots * kind_.speed * capacity_ratio(environment_.now()) / slowdown_;
}

int FakeCacheServer::most_connections() { return std::exchange(max_peers_, open_connections()); }

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
    max_peers_ = std::max(max_peers_, open_connections());
    p.handshake = kind_.handshake;
    p.connection = Connection::accepted(
        std::move(socket), environment_.clock,
        {nullptr, [this, id](Connection&) { input(id); }, [this, id](Connection&) { on_peer_closed(id); }});
}

void FakeCacheServer::on_peer_closed(std::uint64_t peer) {
    const auto found = peers_.find(peer);
    if (found == peers_.end()) return;
    for (const auto& [attempt, text] : found->second.responses) {
        const auto job = jobs_.find(attempt);
        if (job == jobs_.end() || job->second.write) continue;
        // A queued read of a closed connection is dropped. A write stays queued: a write that its sender has
        // given up may still take effect.
        work_queue_.drop_queued(attempt);
    }
    peers_.erase(found);
}

void FakeCacheServer::input(std::uint64_t peer) {
    while (true) {
        const auto found = peers_.find(peer);
        if (found == peers_.end()) return;
        Connection& connection = *found->second.connection;
        Command command;
        const double first_byte = connection.first_byte_at();
        const std::size_t consumed = read_command(connection.input(), command);
        if (consumed == 0) return;
        start_attempt(peer, found->second, command, first_byte);
        if (!connection.is_closed()) connection.take(consumed);
    }
}

void FakeCacheServer::start_attempt(std::uint64_t peer, Peer& p, const Command& command, double first_byte) {
    const double now = environment_.now();
    if (command.kind == Command::Kind::hello) {
        if (!is_silent_) p.connection->write("MN\r\n");
        return;
    }
    const int attempt = environment_.forwards++;
    int request_number = -1;
    const int operation = environment_.operation(command.properties.operation);
    const bool is_valid = (command.kind == Command::Kind::read || command.kind == Command::Kind::write) &&
                          read_id(command.id, environment_.day, request_number) && operation >= 0;
    ++counts_.forwards;
    Job job;
    job.peer = peer;
    job.request_number = request_number;
    job.key = command.key;
    job.operation = std::max(0, operation);
    job.write = command.kind == Command::Kind::write;
    job.id = command.id;
    job.idempotency_key = command.properties.idempotency_key;
    double work =
        operation < 0 ? 0 : environment_.scenario.operations[static_cast<std::size_t>(operation)].work;
    if (is_valid && !job.write && !store_.get(job.key)) work *= kMissWorkRatio;
    work += p.handshake;
    p.handshake = 0;
    overload_detector_.add_work(now, work);
    environment_.auditor.on_attempt(first_byte, now, attempt, is_valid ? request_number : -1, number_, work,
                                    is_reading_promptly(now));
    if (is_valid && is_reading_promptly(now))
        environment_.auditor.on_told_deadline(attempt, command.properties.deadline);
    if (!is_valid) {
        environment_.auditor.on_attempt_finished(now, attempt, audit::Outcome::failed);
        p.connection->write("CLIENT_ERROR what no client sent\r\n");
        return;
    }
    p.responses.emplace_back(attempt, "");
    if (is_silent_) return;
    jobs_.emplace(attempt, job);
    if (!work_queue_.enqueue(now, attempt, work)) {
        ++counts_.busy;
        jobs_.erase(attempt);
        environment_.auditor.on_attempt_finished(now, attempt, audit::Outcome::busy);
        // A busy response costs some work too, which counts towards overload.
        overload_detector_.add_work(now, work * kBusyWorkRatio);
        return send_response(peer, attempt, "SERVER_ERROR busy\r\n");
    }
    arm_timer();
}

void FakeCacheServer::finish_job(int attempt) {
    const auto found = jobs_.find(attempt);
    if (found == jobs_.end()) return;
    const Job job = std::move(found->second);
    jobs_.erase(found);
    const double now = environment_.now();
    const OperationPlan& op = environment_.scenario.operations[static_cast<std::size_t>(job.operation)];
    if (job.write) {
        // Writes arrive here only in scenarios in which caches take writes for the origin.
        if (op.promised.idempotency == Idempotency::idempotency_key && job.idempotency_key != 0 &&
            deduplication_window_.check_and_add(now, job.idempotency_key, op.promised.deduplication_window)) {
            environment_.auditor.on_duplicate_dropped(now, attempt);
        } else {
            ++environment_.versions[job.key];
            environment_.auditor.on_effect(now, attempt);
            environment_.drop_copies(job.key);
        }
        environment_.auditor.on_attempt_finished(now, attempt, audit::Outcome::done);
        return send_response(job.peer, attempt, "HD O" + job.id + " cf" + std::to_string(attempt) + "\r\n");
    }
    const auto version = store_.get(job.key);
    if (!version) {
        ++counts_.misses;
        environment_.missed[job.request_number].push_back(number_);
        environment_.auditor.on_attempt_finished(now, attempt, audit::Outcome::miss);
        return send_response(job.peer, attempt, "EN O" + job.id + " h0\r\n");
    }
    ++counts_.hits;
    const std::string value =
        value_text(attempt, job.key, *version, static_cast<std::size_t>(op.value_bytes));
    corruption_random_ = key_of_rank(corruption_random_ + static_cast<std::uint64_t>(attempt));
    if (corruption_ratio_ > 0 &&
        static_cast<double>(corruption_random_ >> 11) < corruption_ratio_ * 9007199254740992.0) {
        environment_.auditor.on_attempt_finished(now, attempt, audit::Outcome::failed);
        return send_response(job.peer, attempt, "VA x9 O" + job.id + "\r\n" + value + "\r\n");
    }
    environment_.auditor.on_attempt_finished(now, attempt, audit::Outcome::done);
    send_response(job.peer, attempt,
                  "VA " + std::to_string(value.size()) + " O" + job.id + " h1\r\n" + value + "\r\n");
}

void FakeCacheServer::send_response(std::uint64_t peer, int attempt, std::string text) {
    const auto found = peers_.find(peer);
    if (found == peers_.end()) return;
    Peer& p = found->second;
    for (auto& [pending_attempt, response] : p.responses) {
        // NOLINTNEXTLINE(bugprone-use-after-move): one response is pending under this number
        if (pending_attempt == attempt) response = std::move(text);
    }
    while (!p.responses.empty() && !p.responses.front().second.empty()) {
        p.connection->write(p.responses.front().second);
        p.responses.pop_front();
    }
}

// ---- time -----------------------------------------------------------------------------------------------

void FakeCacheServer::arm_timer() {
    const double next = work_queue_.next_finish_time();
    if (next >= timer_expiry_) return;
    timer_expiry_ = next;
    timer_.expires_at(environment_.clock.at(next));
    timer_.async_wait([this](const Code& error) {
        if (error) return;
        timer_expiry_ = kNever;
        while (const auto done = work_queue_.pop_finished(environment_.now())) finish_job(*done);
        arm_timer();
    });
}

void FakeCacheServer::check_overload() {
    if (!is_cold_ || !is_running_) return;
    const double now = environment_.now();
    if (now - started_ >= kind_.warm_after) {
        is_cold_ = false;
        environment_.auditor.on_server_warm(now, number_);
        return;
    }
    const Scenario& s = environment_.scenario;
    if (!is_silent_ && overload_detector_.is_overloaded(now, capacity(), s.fall_multiple, s.fall_time)) {
        environment_.auditor.on_server_overloaded(now, number_);
        has_failed_from_overload_ = true;
        stop();
        return;
    }
    environment_.at(now + kOverloadCheckInterval, [this] { check_overload(); });
}

// ---- faults ---------------------------------------------------------------------------------------------

void FakeCacheServer::reset_all() {
    std::map<std::uint64_t, Peer> closing;
    closing.swap(peers_);
    for (auto& [id, p] : closing) p.connection->reset();
    work_queue_.clear();
    jobs_.clear();
    timer_.cancel();
    timer_expiry_ = kNever;
}

void FakeCacheServer::silence(bool on) {
    if (is_silent_ == on || !is_running_) return;
    is_silent_ = on;
    if (on) {
        // Pending work is discarded and no response is sent, as if the network to the machine were cut.
        work_queue_.clear();
        jobs_.clear();
        timer_.cancel();
        timer_expiry_ = kNever;
        listener_.make_unresponsive();
    } else {
        silence_ended_at_ = environment_.now();
        reset_all();
        listener_.open();
    }
}

bool FakeCacheServer::is_reading_promptly(double now) const {
    return !is_silent_ && now - silence_ended_at_ > kRetransmissionPeriod;
}

void FakeCacheServer::stop() {
    if (!is_running_) return;
    is_running_ = false;
    is_silent_ = false;
    is_cold_ = false;
    listener_.close();
    reset_all();
}

void FakeCacheServer::start_cold() {
    if (is_running_) stop();
    if (has_failed_from_overload_) return;  // a server that failed from overload stays down
    store_.clear();
    deduplication_window_.clear();
    overload_detector_.clear();
    is_running_ = true;
    is_cold_ = true;
    started_ = environment_.now();
    environment_.auditor.on_server_started(started_, number_, true);
    listener_.open();
    check_overload();
}

void FakeCacheServer::drop_part(double ratio, std::uint64_t seed) {
    store_.drop_if([&](std::uint64_t key) {
        return static_cast<double>(key_of_rank(key ^ seed) >> 11) < ratio * 9007199254740992.0;
    });
}

}  // namespace brookrelay::testkit
