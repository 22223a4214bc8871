#include "discovery/coordination_client.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "coordination/jute.h"

namespace brookrelay {
namespace {

constexpr double kPauseLeast = 0.05,
                 kPauseMost = 2;    // s to the next try; doubles, times a half to one and a half
constexpr double kConnectMost = 1;  // s for a connection to come up
constexpr std::size_t kInputMost = 2 * (std::size_t{1} << 20);

}  // namespace

CoordinationClient::CoordinationClient(TimerQueue& timers, Log& log, std::vector<std::string> addresses,
                                       std::string path, double session_timeout, std::uint64_t seed,
                                       CoordinationSession::Read read, OnChanges told)
    : timers_(timers),
      log_(log),
      addresses_(std::move(addresses)),
      chance_(static_cast<std::ranlux24_base::result_type>(seed)),
      on_changes_(std::move(told)),
      session_(std::move(path), session_timeout, registrations_, std::move(read),
               {[this](const std::string& frame) { connection_->write(frame); },
                [this](const char* why) {
                    log_.line(Topic::discovery, "registry_lost", std::string("registry: ") + why);
                    disconnected_ = true;
                },
                [this](const std::string& child, const std::string& why) {
                    log_.line(Topic::discovery, "registration_left_out",
                              "registry: " + child + " is left out: " + why);
                }}),
      reconnect_delay_(kPauseLeast) {
    std::shuffle(addresses_.begin(), addresses_.end(), chance_);
}

void CoordinationClient::start() { connect(); }

void CoordinationClient::connect() {
    const std::string& address = addresses_[next_address_++ % addresses_.size()];
    disconnected_ = false;
    connection_ = std::make_unique<TcpConnection>(address, kInputMost, budget_,
                                                  [this](TcpConnection::Event what) { on_event(what); });
    timers_.cancel(session_timer_);
    session_timer_ = timers_.schedule(monotonic_now() + kConnectMost, [this] {
        session_timer_ = {};
        on_failure("no connection came up");
    });
}

void CoordinationClient::on_event(TcpConnection::Event what) {
    if (what == TcpConnection::Event::connected) {
        session_.up(monotonic_now());
        process_changes();
    }
    if (what == TcpConnection::Event::readable) read_frames();
    if (what == TcpConnection::Event::closed) on_failure("connection lost");
}

void CoordinationClient::read_frames() {
    while (!disconnected_) {
        std::string_view payload;
        bool sound = true;
        const std::size_t taken = read_frame(connection_->input(), payload, sound);
        if (!sound) return on_failure("a frame of an impossible length");
        if (taken == 0) break;
        const std::string whole(payload);  // what is taken may be moved
        connection_->consume(taken);
        session_.received(monotonic_now(), whole);
        if (session_.follows()) reconnect_delay_ = kPauseLeast;
    }
    process_changes();
}

void CoordinationClient::on_failure(const std::string& why) {
    if (!disconnected_) log_.line(Topic::discovery, "registry_lost", "registry: " + why);
    disconnected_ = true;
    process_changes();
}

void CoordinationClient::process_changes() {
    const double now = monotonic_now();
    timers_.cancel(session_timer_);
    if (disconnected_ && reconnect_timer_ == TimerQueue::Handle{}) {
        session_.broke(now);
        connection_->close();
        // Many nodes lose one service at the same moment, and must not all come back in another.
        const double jitter = 0.5 + static_cast<double>(chance_() - chance_.min()) /
                                        static_cast<double>(chance_.max() - chance_.min());
        reconnect_timer_ = timers_.schedule(now + reconnect_delay_ * jitter, [this] {
            reconnect_timer_ = {};
            connect();
        });
        reconnect_delay_ = std::min(2 * reconnect_delay_, kPauseMost);
    }
    std::vector<RegistrationChange> changes = registrations_.take_changes();
    if (!changes.empty()) on_changes_(std::move(changes));
    const double next = std::min(session_.next_at(), registrations_.next_at());
    if (!std::isfinite(next)) return;
    session_timer_ = timers_.schedule(next, [this] {
        session_timer_ = {};
        session_.tick(monotonic_now());
        registrations_.tick(monotonic_now());
        process_changes();
    });
}

}  // namespace brookrelay
