#include "testkit/fake_origin_server.h"

#include <algorithm>

#include "testkit/fault_schedule.h"

namespace brookrelay::testkit {
namespace {
constexpr double kOverloadCheckInterval = 0.1;  // s between overload checks
}

FakeOriginServer::FakeOriginServer(TestEnvironment& environment, int number)
    : environment_(environment),
      number_(number),
      work_queue_(environment.scenario.origin.slots, environment.scenario.origin.queue,
                  [this](double) { return environment_.scenario.origin.speed / slowdown_; }),
      timer_(environment.io),
      listener_(environment.io, environment.host, [this](Tcp::socket s) { accept(std::move(s)); }) {
    check_overload();
}

double FakeOriginServer::capacity() const {
    return environment_.scenario.origin.slots * environment_.scenario.origin.speed / slowdown_;
}

double FakeOriginServer::asked() const { return overload_detector_.rate(environment_.now()); }

void FakeOriginServer::accept(Tcp::socket socket) {
    const std::uint64_t id = ++last_peer_;
    peers_[id].connection = Connection::accepted(
        std::move(socket), environment_.clock,
        {nullptr, [this, id](Connection&) { input(id); }, [this, id](Connection&) { on_peer_closed(id); }});
}

void FakeOriginServer::on_peer_closed(std::uint64_t peer) {
    const auto found = peers_.find(peer);
    if (found == peers_.end()) return;
    for (const auto& [attempt, text] : found->second.responses) {
        const auto job = jobs_.find(attempt);
        // A queued read of a closed connection is dropped. A write stays queued: a write that its sender has
        // given up may still take effect.
        if (job != jobs_.end() && !job->second.write) work_queue_.drop_queued(attempt);
    }
    peers_.erase(found);
}

void FakeOriginServer::input(std::uint64_t peer) {
    while (true) {
        const auto found = peers_.find(peer);
        if (found == peers_.end()) return;
        Connection& connection = *found->second.connection;
        Request request;
        const double first_byte = connection.first_byte_at();
        const std::size_t consumed = read_request(connection.input(), request);
        if (consumed == 0) return;
        start_attempt(peer, found->second, request, first_byte);
        if (!connection.is_closed()) connection.take(consumed);
    }
}

void FakeOriginServer::start_attempt(std::uint64_t peer, Peer& p, const Request& request, double first_byte) {
    const double now = environment_.now();
    const int attempt = environment_.forwards++;
    const Properties properties = read_properties(request.properties);
    Job job;
    job.peer = peer;
    job.write = request.method == "PUT";
    job.idempotency_key = properties.idempotency_key;
    const int operation = environment_.operation(properties.operation);
    job.operation = std::max(0, operation);
    Command parsed_command;
    const std::string as_command = "mg " + std::string(request.target.substr(1)) + " v O1 Pc=x\r\n";
    (void)read_command(as_command, parsed_command);
    job.key = parsed_command.key;
    const bool is_valid = request.is_valid && operation >= 0 &&
                          read_id(request.id, environment_.day, job.request_number) &&
                          (job.write || request.method == "GET") && request.target.starts_with('/');
    const double work =
        is_valid ? environment_.scenario.operations[static_cast<std::size_t>(operation)].origin_work : 0;
    ++(job.write ? counts_.writes : counts_.reads);
    overload_detector_.add_work(now, work);
    environment_.auditor.on_attempt(first_byte, now, attempt, is_valid ? job.request_number : -1, number_,
                                    work);
    if (is_valid) environment_.auditor.on_told_deadline(attempt, properties.deadline);
    p.responses.emplace_back(attempt, "");
    if (!is_valid) {
        environment_.auditor.on_attempt_finished(now, attempt, audit::Outcome::failed);
        return send_response(peer, attempt, http_response(400, "no such request"));
    }
    if (halted()) return;  // requests are received but not answered
    jobs_.emplace(attempt, job);
    if (!work_queue_.enqueue(now, attempt, work)) {
        ++counts_.busy;
        jobs_.erase(attempt);
        environment_.auditor.on_attempt_finished(now, attempt, audit::Outcome::busy);
        return send_response(peer, attempt, http_response(503, "full", "X-Never-Ran: 1"));
    }
    arm_timer();
}

void FakeOriginServer::finish_job(int attempt) {
    const auto found = jobs_.find(attempt);
    if (found == jobs_.end()) return;
    const Job job = found->second;
    jobs_.erase(found);
    const double now = environment_.now();
    const OperationPlan& op = environment_.scenario.operations[static_cast<std::size_t>(job.operation)];
    if (job.write) {
        if (op.promised.idempotency == Idempotency::idempotency_key && job.idempotency_key != 0 &&
            deduplication_window_.check_and_add(now, job.idempotency_key, op.promised.deduplication_window)) {
            environment_.auditor.on_duplicate_dropped(now, attempt);
        } else {
            ++environment_.versions[job.key];
            environment_.auditor.on_effect(now, attempt);
            environment_.drop_copies(job.key);
        }
        environment_.auditor.on_attempt_finished(now, attempt, audit::Outcome::done);
        return send_response(job.peer, attempt, http_response(200, "f" + std::to_string(attempt)));
    }
    const std::uint32_t version = environment_.version(job.key);
    environment_.auditor.on_attempt_finished(now, attempt, audit::Outcome::done);
    const auto missed = environment_.missed.find(job.request_number);
    if (missed != environment_.missed.end()) {
        for (const int server : missed->second) environment_.fill(server, job.key, version);
        environment_.missed.erase(missed);
    }
    send_response(
        job.peer, attempt,
        http_response(200, value_text(attempt, job.key, version, static_cast<std::size_t>(op.value_bytes))));
}

void FakeOriginServer::send_response(std::uint64_t peer, int attempt, std::string text) {
    const auto found = peers_.find(peer);
    if (found == peers_.end()) return;
    Peer& p = found->second;
    reset_random_ = key_of_rank(reset_random_ + static_cast<std::uint64_t>(attempt));
    if (static_cast<double>(reset_random_ >> 11) <
        environment_.scenario.origin.reset_ratio * 9007199254740992.0)
        return p.connection->reset();
    for (auto& [pending_attempt, response] : p.responses) {
        // NOLINTNEXTLINE(bugprone-use-after-move): one response is pending under this number
        if (pending_attempt == attempt) response = std::move(text);
    }
    while (!p.responses.empty() && !p.responses.front().second.empty()) {
        p.connection->write(p.responses.front().second);
        p.responses.pop_front();
    }
}

void FakeOriginServer::arm_timer() {
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

void FakeOriginServer::check_overload() {
    const double now = environment_.now();
    const OriginKind& kind = environment_.scenario.origin;
    if (!halted() && overload_detector_.is_overloaded(now, capacity(), kind.fall_multiple, kind.fall_time)) {
        environment_.auditor.on_server_overloaded(now, number_);
        halt(kind.halt);
    }
    environment_.at(now + kOverloadCheckInterval, [this] { check_overload(); });
}

void FakeOriginServer::halt(double seconds) {
    ++counts_.halts;
    halted_until_ = environment_.now() + seconds;
    work_queue_.clear();
    jobs_.clear();
    timer_.cancel();
    timer_expiry_ = kNever;
    overload_detector_.clear();
}

}  // namespace brookrelay::testkit
