#include "testkit/fake_origin_server.h"

#include <algorithm>

#include "testkit/fault_schedule.h"

namespace brookrelay::testkit {
namespace {
constexpr double kLook = 0.1;  // s between overload checks
}

FakeOriginServer::FakeOriginServer(TestEnvironment& environment, int number)
    : environment_(environment),
      number_(number),
      bench_(environment.scenario.origin.slots, environment.scenario.origin.queue,
             [this](double) { return environment_.scenario.origin.speed / factor_; }),
      timer_(environment.io),
      listener_(environment.io, environment.host, [this](Tcp::socket s) { accept(std::move(s)); }) {
    look();
}

double FakeOriginServer::capacity() const {
    return environment_.scenario.origin.slots * environment_.scenario.origin.speed / factor_;
}

double FakeOriginServer::asked() const { return meter_.rate(environment_.now()); }

void FakeOriginServer::accept(Tcp::socket socket) {
    const std::uint64_t id = ++last_peer_;
    peers_[id].conn = Connection::accepted(
        std::move(socket), environment_.clock,
        {nullptr, [this, id](Connection&) { input(id); }, [this, id](Connection&) { peer_gone(id); }});
}

void FakeOriginServer::peer_gone(std::uint64_t peer) {
    const auto found = peers_.find(peer);
    if (found == peers_.end()) return;
    for (const auto& [forward, text] : found->second.answers) {
        const auto job = jobs_.find(forward);
        // A queued read of a closed connection is dropped. A write stays queued: a write that its sender has
        // given up may still take effect.
        if (job != jobs_.end() && !job->second.write) bench_.forget(forward);
    }
    peers_.erase(found);
}

void FakeOriginServer::input(std::uint64_t peer) {
    while (true) {
        const auto found = peers_.find(peer);
        if (found == peers_.end()) return;
        Connection& conn = *found->second.conn;
        Request request;
        const double first_byte = conn.first_byte_at();
        const std::size_t taken = read_request(conn.input(), request);
        if (taken == 0) return;
        begin(peer, found->second, request, first_byte);
        if (!conn.is_closed()) conn.take(taken);
    }
}

void FakeOriginServer::begin(std::uint64_t peer, Peer& p, const Request& request, double first_byte) {
    const double now = environment_.now();
    const int forward = environment_.forwards++;
    const Properties properties = read_properties(request.properties);
    Job job;
    job.peer = peer;
    job.write = request.method == "PUT";
    job.mark = properties.mark;
    const int operation = environment_.operation(properties.operation);
    job.operation = std::max(0, operation);
    Command key;
    const std::string as_command = "mg " + std::string(request.target.substr(1)) + " v O1 Pc=x\r\n";
    (void)read_command(as_command, key);
    job.key = key.key;
    const bool sound = request.sound && operation >= 0 && read_id(request.id, environment_.day, job.inv) &&
                       (job.write || request.method == "GET") && request.target.starts_with('/');
    const double work =
        sound ? environment_.scenario.operations[static_cast<std::size_t>(operation)].origin_work : 0;
    ++(job.write ? counts_.writes : counts_.reads);
    meter_.offered(now, work);
    environment_.auditor.on_attempt(first_byte, now, forward, sound ? job.inv : -1, number_, work);
    if (sound) environment_.auditor.on_told_deadline(forward, properties.wait);
    p.answers.emplace_back(forward, "");
    if (!sound) {
        environment_.auditor.on_attempt_finished(now, forward, audit::Outcome::failed);
        return answer(peer, forward, http_response(400, "no such request"));
    }
    if (halted()) return;  // requests are received but not answered
    jobs_.emplace(forward, job);
    if (!bench_.enter(now, forward, work)) {
        ++counts_.busy;
        jobs_.erase(forward);
        environment_.auditor.on_attempt_finished(now, forward, audit::Outcome::busy);
        return answer(peer, forward, http_response(503, "full", "X-Never-Ran: 1"));
    }
    arm();
}

void FakeOriginServer::finish(int forward) {
    const auto found = jobs_.find(forward);
    if (found == jobs_.end()) return;
    const Job job = found->second;
    jobs_.erase(found);
    const double now = environment_.now();
    const OperationPlan& op = environment_.scenario.operations[static_cast<std::size_t>(job.operation)];
    if (job.write) {
        if (op.promised.idempotency == Idempotency::idempotency_key && job.mark != 0 &&
            marks_.seen(now, job.mark, op.promised.deduplication_window)) {
            environment_.auditor.on_duplicate_dropped(now, forward);
        } else {
            ++environment_.versions[job.key];
            environment_.auditor.on_effect(now, forward);
            environment_.drop_copies(job.key);
        }
        environment_.auditor.on_attempt_finished(now, forward, audit::Outcome::done);
        return answer(job.peer, forward, http_response(200, "f" + std::to_string(forward)));
    }
    const std::uint32_t version = environment_.version(job.key);
    environment_.auditor.on_attempt_finished(now, forward, audit::Outcome::done);
    const auto missed = environment_.missed.find(job.inv);
    if (missed != environment_.missed.end()) {
        for (const int server : missed->second) environment_.fill(server, job.key, version);
        environment_.missed.erase(missed);
    }
    answer(
        job.peer, forward,
        http_response(200, value_text(forward, job.key, version, static_cast<std::size_t>(op.value_bytes))));
}

void FakeOriginServer::answer(std::uint64_t peer, int forward, std::string text) {
    const auto found = peers_.find(peer);
    if (found == peers_.end()) return;
    Peer& p = found->second;
    reset_draw_ = key_of_rank(reset_draw_ + static_cast<std::uint64_t>(forward));
    if (static_cast<double>(reset_draw_ >> 11) <
        environment_.scenario.origin.reset_ratio * 9007199254740992.0)
        return p.conn->reset();
    for (auto& [waiting, said] : p.answers) {
        // NOLINTNEXTLINE(bugprone-use-after-move): one response is pending under this number
        if (waiting == forward) said = std::move(text);
    }
    while (!p.answers.empty() && !p.answers.front().second.empty()) {
        p.conn->write(p.answers.front().second);
        p.answers.pop_front();
    }
}

void FakeOriginServer::arm() {
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

void FakeOriginServer::look() {
    const double now = environment_.now();
    const OriginKind& kind = environment_.scenario.origin;
    if (!halted() && meter_.over(now, capacity(), kind.fall_multiple, kind.fall_time)) {
        environment_.auditor.on_server_overloaded(now, number_);
        halt(kind.halt);
    }
    environment_.at(now + kLook, [this] { look(); });
}

void FakeOriginServer::halt(double seconds) {
    ++counts_.halts;
    halted_until_ = environment_.now() + seconds;
    bench_.clear();
    jobs_.clear();
    timer_.cancel();
    armed_for_ = kNever;
    meter_.clear();
}

}  // namespace brookrelay::testkit
