#include "discovery/endpoint_watch.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "config/json.h"
#include "protocol/http1.h"

namespace brookrelay {
namespace {

// A change must reach the node within 6 s after discovery has it and is reachable, also if requests fail in
// the meantime. A watch without a response uses up its timeout and the time until the next request is
// answered; docs/design.md adds these times up. Longer timeouts would save requests where each one is paid
// for.

constexpr double kWatchTimeout = 4;  // s that discovery may hold a watch until there is a change
// Watch timeout in seconds of the first request after a timeout, when discovery may be down.
constexpr double kWatchTimeoutAfterSilence = 0.25;
constexpr double kResponseAllowance = 1;   // s beyond the watch timeout until the first byte, with connecting
constexpr double kFullListTimeout = 1.25;  // s until the first byte of a full list, with connecting
// Seconds without a byte after which a response that has begun counts as stalled. A response that makes
// progress is waited for: a list of thousands of servers takes seconds over a slow connection, and a new
// request would transfer it from the beginning.
constexpr double kStallTimeout = 0.75;
constexpr double kMaxTransfer = 30;     // s from a response's first byte to its last, if it only trickles
constexpr double kRecheckDelay = 0.01;  // s until the next check if the timer expires with unread input
// Watch timeout in seconds of the first request of a process. Until then only the list of the configuration
// file is known, and any response, even one without changes, tells whether that list is current.
constexpr double kConfirmationTimeout = 0.001;
// Bounds of the delay before a retry, in seconds. The delay doubles and is jittered, because nodes that
// started together fail together, and would otherwise retry together for as long as they are rejected.
constexpr double kMinRetryDelay = 0.05;
constexpr double kMaxRetryDelay = 1;
constexpr std::int64_t kNoVersion = -1;                  // requests the full list
constexpr std::size_t kMaxListSize = 8UL * 1024 * 1024;  // bytes, enough for tens of thousands of servers
constexpr std::string_view kHeadEnd = "\r\n\r\n";

// Whether body bytes have arrived. The head of a watch's response may arrive at once, but its body only with
// a change.
bool has_begun_body(std::string_view response) {
    const std::size_t head = response.find(kHeadEnd);
    return head != std::string_view::npos && response.size() > head + kHeadEnd.size();
}

}  // namespace

EndpointWatch::EndpointWatch(TimerQueue& timers, Log& log, const NodeConfig& config, OnUpdate on_update,
                             OnFailed on_failed)
    : timers_(timers),
      log_(log),
      address_(config.discovery),
      names_(config.names),
      polls_(config.deployment.polls_endpoints),
      on_update_(std::move(on_update)),
      on_failed_(std::move(on_failed)),
      version_(config.cached_endpoints.version),
      // Each polled request is paid for, so none is sent only to confirm the list.
      is_confirmed_(config.deployment.polls_endpoints),
      retry_delay_(kMinRetryDelay),
      random_(static_cast<std::uint32_t>(config.seed ^ (config.seed >> 32))) {}

void EndpointWatch::poll() {
    if (is_watching_) return;
    is_watching_ = true;
    send_request();
}

void EndpointWatch::reconfigure(const std::string& address, const Names& names, bool polls) {
    polls_ = polls;
    const bool unchanged = address == address_ && names == names_;
    if (unchanged && (is_watching_ || polls)) return;
    address_ = address;
    names_ = names;
    version_ = kNoVersion;
    last_request_timed_out_ = false;
    retry_delay_ = kMinRetryDelay;
    if (connection_ != nullptr) disconnect();
    timers_.cancel(retry_timer_);
    is_watching_ = true;
    send_request();
}

void EndpointWatch::send_request() {
    if (connection_ == nullptr || !connection_->is_connected()) connect();
    request_pending_ = true;
    first_byte_at_ = last_byte_at_ = 0;
    std::string target = "/discovery/hosts";
    double timeout = kFullListTimeout;
    if (version_ >= 0) {
        const double wait = !is_confirmed_            ? kConfirmationTimeout
                            : last_request_timed_out_ ? kWatchTimeoutAfterSilence
                                                      : kWatchTimeout;
        timeout = wait + kResponseAllowance;
        target +=
            "?index=" + std::to_string(version_) + "&wait=" + std::to_string(static_cast<int>(wait * 1e3));
    }
    connection_->write(format_http_request("GET", target, address_, {}, {}));
    // Discovery may stop responding with its connection open, and may recover without ever answering this
    // request.
    arm_request_timer(monotonic_now() + timeout);
}

void EndpointWatch::arm_request_timer(double due) {
    timers_.cancel(request_timer_);
    request_timer_ = timers_.schedule(due, [this] {
        request_timer_ = {};
        on_request_timeout();
    });
}

// After a delay of the event loop, the timer may expire while the response is unread in the socket.
void EndpointWatch::on_request_timeout() {
    const double now = monotonic_now();
    if (connection_->has_unreceived_input()) return arm_request_timer(now + kRecheckDelay);
    const double stalls_at = last_byte_at_ + kStallTimeout;
    if (first_byte_at_ > 0 && now < std::min(stalls_at, first_byte_at_ + kMaxTransfer))
        return arm_request_timer(stalls_at);
    on_failure(first_byte_at_ == 0 ? "response timeout" : "the response stalled", true);
}

void EndpointWatch::connect() {
    connection_ = std::make_unique<TcpConnection>(
        address_, kMaxListSize, budget_, [this](TcpConnection::Event event) { on_event(event); },
        G_PRIORITY_HIGH);
    connection_->read_until_empty();
}

void EndpointWatch::on_event(TcpConnection::Event event) {
    if (event == TcpConnection::Event::readable) read_response();
    if (event != TcpConnection::Event::closed) return;
    // A connection that was closed between two requests is reopened by the next request.
    if (request_pending_ && connection_->ended_cleanly() && !connection_->input().empty()) {
        read_response(true);
    } else if (request_pending_) {
        on_failure("connection lost");
    } else {
        connection_->close();
    }
}

void EndpointWatch::read_response(bool ended) {
    last_byte_at_ = monotonic_now();
    if (first_byte_at_ == 0) first_byte_at_ = last_byte_at_;
    HttpResponse response;
    const std::size_t response_size =
        parse_http_response(connection_->input(), kMaxListSize, response, ended);
    if (response_size == 0 && ended) return on_failure("connection lost within a response");
    // For a status other than 200 the header is sufficient, because the end of such a body may never arrive.
    const bool refused = response.body_until_close && response.status != 200;
    if (response_size == 0 && !connection_->is_read_buffer_full() && !refused) {
        if (request_pending_ && has_begun_body(connection_->input()))
            arm_request_timer(std::min(last_byte_at_ + kStallTimeout, first_byte_at_ + kMaxTransfer));
        return;
    }
    if (!request_pending_ || !response.valid || response.status != 200) {
        // Discovery may have lost its versions and no longer know the one held here, so the full list is
        // requested. If it only rejects with 503, it still knows the version, and a full list would cost
        // more.
        if (!response.valid || response.status != 503) version_ = kNoVersion;
        return on_failure("malformed response, or status " + std::to_string(response.status));
    }
    connection_->consume(response_size);
    EndpointUpdate update;
    try {
        rapidjson::Document document;
        document.Parse(response.body.data(), response.body.size());
        if (document.HasParseError()) throw ConfigurationError("the endpoint list is not valid JSON");
        update = parse_endpoint_update(document, names_);
    } catch (const ConfigurationError& error) {
        return on_failure(error.what());
    }
    // An older list, from a lagging replica, would restore draining servers. If discovery has lost its
    // versions, its response to the following request for the full list is accepted.
    if (update.version < version_) {
        version_ = kNoVersion;
        return on_failure("a list older than the one held");
    }
    for (const std::string& error : update.errors) {
        log_.line(Topic::discovery, "entry_left_out",
                  "ignored an invalid entry of the endpoint list: " + error);
    }
    request_pending_ = false;
    timers_.cancel(request_timer_);
    retry_delay_ = kMinRetryDelay;
    last_request_timed_out_ = false;
    is_confirmed_ = true;
    version_ = update.version;
    update.size = response_size;
    update.first_byte_at = first_byte_at_;
    on_update_(std::move(update));
    if (!response.keep_alive) connection_->close();
    // Sent from the event loop, not from a callback of the connection, which the request may replace.
    retry_timer_ = timers_.schedule(monotonic_now(), [this] {
        retry_timer_ = {};
        send_request();
    });
}

void EndpointWatch::disconnect() {
    request_pending_ = false;
    timers_.cancel(request_timer_);
    connection_->close();
}

void EndpointWatch::on_failure(const std::string& why, bool timed_out) {
    log_.line(Topic::discovery, "call_failed", "request failed: " + why);
    // After the first timeout of a watch, most of the 6 s for a change are used up, so the next request does
    // not wait for the owner. That is safe, because the watches of many nodes end at different times; any
    // other failure may have affected all nodes at the same moment.
    const bool is_first_timeout = timed_out && !std::exchange(last_request_timed_out_, timed_out);
    disconnect();
    // Unsolicited bytes may cause a failure while the next request is scheduled.
    timers_.cancel(retry_timer_);
    is_watching_ = false;
    if (polls_ && !is_first_timeout) return on_failed_();
    const double jitter =
        0.5 + static_cast<double>(random_()) / static_cast<double>(std::ranlux24_base::max());
    retry_timer_ = timers_.schedule(monotonic_now() + retry_delay_ * jitter, [this] {
        retry_timer_ = {};
        poll();
    });
    retry_delay_ = std::min(2 * retry_delay_, kMaxRetryDelay);
}

}  // namespace brookrelay
