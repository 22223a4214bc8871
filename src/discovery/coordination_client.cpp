#include "discovery/coordination_client.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "coordination/jute.h"

namespace brookrelay {
namespace {

// Bounds of the delay before a reconnect, in seconds. The delay doubles with each failure, and each delay is
// multiplied by a random factor of 0.5 to 1.5.
constexpr double kMinReconnectDelay = 0.05;
constexpr double kMaxReconnectDelay = 2;
constexpr double kConnectTimeout = 1;                              // s
constexpr std::size_t kMaxInputSize = 2 * (std::size_t{1} << 20);  // bytes of unread input

}  // namespace

CoordinationClient::CoordinationClient(TimerQueue& timers, Log& log, std::vector<std::string> addresses,
                                       std::string path, double session_timeout, std::uint64_t seed,
                                       CoordinationSession::Decode decode, OnChanges on_changes)
    : timers_(timers),
      log_(log),
      addresses_(std::move(addresses)),
      random_(static_cast<std::ranlux24_base::result_type>(seed)),
      on_changes_(std::move(on_changes)),
      session_(std::move(path), session_timeout, registrations_, std::move(decode),
               {[this](const std::string& frame) { connection_->write(frame); },
                [this](const char* reason) {
                    log_.line(Topic::discovery, "registry_lost", std::string("registry: ") + reason);
                    disconnected_ = true;
                },
                [this](const std::string& child, const std::string& reason) {
                    log_.line(Topic::discovery, "registration_left_out",
                              "registry: " + child + " is ignored: " + reason);
                }}),
      reconnect_delay_(kMinReconnectDelay) {
    std::shuffle(addresses_.begin(), addresses_.end(), random_);
}

void CoordinationClient::start() { connect(); }

void CoordinationClient::connect() {
    const std::string& address = addresses_[next_address_++ % addresses_.size()];
    disconnected_ = false;
    connection_ = std::make_unique<TcpConnection>(address, kMaxInputSize, budget_,
                                                  [this](TcpConnection::Event event) { on_event(event); });
    timers_.cancel(session_timer_);
    session_timer_ = timers_.schedule(monotonic_now() + kConnectTimeout, [this] {
        session_timer_ = {};
        on_failure("connect timeout");
    });
}

void CoordinationClient::on_event(TcpConnection::Event event) {
    if (event == TcpConnection::Event::connected) {
        session_.on_connected(monotonic_now());
        process_changes();
    }
    if (event == TcpConnection::Event::readable) read_frames();
    if (event == TcpConnection::Event::closed) on_failure("connection lost");
}

void CoordinationClient::read_frames() {
    while (!disconnected_) {
        std::string_view payload;
        bool is_valid = true;
        const std::size_t frame_size = read_frame(connection_->input(), payload, is_valid);
        if (!is_valid) return on_failure("received a frame with an invalid length");
        if (frame_size == 0) break;
        const std::string frame(payload);  // copied, because consume() may move the buffer of the payload
        connection_->consume(frame_size);
        session_.on_frame(monotonic_now(), frame);
        if (session_.is_established()) reconnect_delay_ = kMinReconnectDelay;
    }
    process_changes();
}

void CoordinationClient::on_failure(const std::string& reason) {
    if (!disconnected_) log_.line(Topic::discovery, "registry_lost", "registry: " + reason);
    disconnected_ = true;
    process_changes();
}

void CoordinationClient::process_changes() {
    const double now = monotonic_now();
    timers_.cancel(session_timer_);
    if (disconnected_ && reconnect_timer_ == TimerQueue::Handle{}) {
        session_.on_disconnected(now);
        connection_->close();
        // Many nodes lose the service at the same moment; jitter prevents simultaneous reconnects.
        const double jitter =
            0.5 + static_cast<double>(random_() - std::ranlux24_base::min()) /
                      static_cast<double>(std::ranlux24_base::max() - std::ranlux24_base::min());
        reconnect_timer_ = timers_.schedule(now + reconnect_delay_ * jitter, [this] {
            reconnect_timer_ = {};
            connect();
        });
        reconnect_delay_ = std::min(2 * reconnect_delay_, kMaxReconnectDelay);
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
