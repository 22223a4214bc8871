#include "discovery/endpoint_watch.h"

#include <algorithm>
#include <utility>

#include "config/json.h"
#include "protocol/http1.h"

namespace brookrelay {
namespace {

// A change counts as told 6 s after discovery has it and can be reached, whatever has become of the calls
// meanwhile. What a silent watch or call costs of that is the time until it is given up, and that until the
// next is answered: docs/design.md has the sum. Longer waits would make fewer calls where each is paid for.
constexpr double kWait = 4;  // s that a watch may wait for news
constexpr double kWaitAfterSilence =
    0.25;                          // the first after silence, which discovery may be too far gone to answer
constexpr double kAnswerMost = 1;  // s that an answer may take beyond the wait before the call is given up,
constexpr double kWholeListMost = 1.25;  // and that of a call for the whole list; either with the connecting
// s to the next try after a failure; doubles, each with jitter: nodes that started together fail together,
// and would come back together for as long as they are turned away.
constexpr double kRetryLeast = 0.05;
constexpr double kRetryMost = 1;
constexpr std::int64_t kNone = -1;                  // no version: the whole list is asked for
constexpr std::size_t kListMost = 8 * 1024 * 1024;  // tens of thousands of servers

}  // namespace

EndpointWatch::EndpointWatch(TimerQueue& timers, Log& log, const NodeConfig& station, OnUpdate told,
                             OnFailed failed)
    : timers_(timers),
      log_(log),
      address_(station.discovery),
      names_(station.names),
      polls_(station.deployment.polls_endpoints),
      on_update_(std::move(told)),
      on_failed_(std::move(failed)),
      version_(station.cached_endpoints.version),
      retry_after_(kRetryLeast),
      chance_(static_cast<std::uint32_t>(station.seed ^ (station.seed >> 32))) {}

void EndpointWatch::poll() {
    if (watching_) return;
    watching_ = true;
    call();
}

void EndpointWatch::move_to(const std::string& address, const Names& names, bool asks) {
    polls_ = asks;
    const bool same = address == address_ && names == names_;
    if (same && (watching_ || asks)) return;
    address_ = address;
    names_ = names;
    version_ = kNone;
    last_call_timed_out_ = false;
    retry_after_ = kRetryLeast;
    if (connection_ != nullptr) disconnect();
    timers_.cancel(retry_timer_);
    watching_ = true;
    call();
}

void EndpointWatch::call() {
    if (connection_ == nullptr || !connection_->is_connected()) connect();
    calling_ = true;
    std::string target = "/discovery/hosts";
    double most = kWholeListMost;
    if (version_ >= 0) {
        const double wait = last_call_timed_out_ ? kWaitAfterSilence : kWait;
        most = wait + kAnswerMost;
        target +=
            "?index=" + std::to_string(version_) + "&wait=" + std::to_string(static_cast<int>(wait * 1e3));
    }
    connection_->write(format_http_request("GET", target, address_, {}, {}));
    // Discovery may be silent with its connection open, and may come back without ever answering this call.
    call_timer_ = timers_.schedule(monotonic_now() + most, [this] {
        call_timer_ = {};
        on_failure("no answer", true);
    });
}

void EndpointWatch::connect() {
    connection_ = std::make_unique<TcpConnection>(address_, kListMost, budget_,
                                                  [this](TcpConnection::Event what) { on_event(what); });
}

void EndpointWatch::on_event(TcpConnection::Event what) {
    if (what == TcpConnection::Event::readable) read_response();
    if (what != TcpConnection::Event::closed) return;
    // Closed between two calls it is only opened anew by the next.
    if (calling_ && connection_->ended_cleanly() && !connection_->input().empty()) {
        read_response(true);
    } else if (calling_) {
        on_failure("connection lost");
    } else {
        connection_->close();
    }
}

void EndpointWatch::read_response(bool ended) {
    HttpResponse response;
    const std::size_t taken = parse_http_response(connection_->input(), kListMost, response, ended);
    if (taken == 0 && ended) return on_failure("connection lost within an answer");
    // Of anything but a list the head says all: an end that may never come is not waited for.
    const bool refused = response.body_until_close && response.status != 200;
    if (taken == 0 && !connection_->is_read_buffer_full() && !refused) return;
    if (!calling_ || !response.valid || response.status != 200) {
        // It may not know the version that we hold, having lost its own; one that only turns us away still
        // does, and the whole list would cost it more.
        if (!response.valid || response.status != 503) version_ = kNone;
        return on_failure("nonsense, or status " + std::to_string(response.status));
    }
    connection_->consume(taken);
    EndpointUpdate list;
    try {
        rapidjson::Document document;
        document.Parse(response.body.data(), response.body.size());
        if (document.HasParseError()) throw ConfigurationError("the list is not JSON");
        list = parse_endpoint_update(document, names_);
    } catch (const ConfigurationError& bad) {
        return on_failure(bad.what());
    }
    // From a replica that lags behind it would bring back servers that drain. If discovery lost its versions,
    // it says so again when it is asked for all that it has.
    if (list.version < version_) {
        version_ = kNone;
        return on_failure("a list older than the one held");
    }
    for (const std::string& complaint : list.errors) {
        log_.line(Topic::discovery, "entry_left_out", "an entry was left out: " + complaint);
    }
    calling_ = false;
    timers_.cancel(call_timer_);
    retry_after_ = kRetryLeast;
    last_call_timed_out_ = false;
    version_ = list.version;
    on_update_(std::move(list));
    if (!response.keep_alive) connection_->close();
    // From the loop, not from inside the stream that the call may replace.
    retry_timer_ = timers_.schedule(monotonic_now(), [this] {
        retry_timer_ = {};
        call();
    });
}

void EndpointWatch::disconnect() {
    calling_ = false;
    timers_.cancel(call_timer_);
    connection_->close();
}

void EndpointWatch::on_failure(const std::string& why, bool given_up) {
    log_.line(Topic::discovery, "call_failed", "call failed: " + why);
    // A watch that falls silent has used up most of the time: the next call goes out at once, and those of
    // many nodes are apart as their watches were. Whatever else fails may have failed for all nodes in the
    // same moment.
    const bool silent = given_up && !std::exchange(last_call_timed_out_, given_up);
    disconnect();
    watching_ = false;
    if (polls_ && !silent) return on_failed_();
    const double spread =
        0.5 + static_cast<double>(chance_()) / static_cast<double>(std::ranlux24_base::max());
    retry_timer_ = timers_.schedule(monotonic_now() + retry_after_ * spread, [this] {
        retry_timer_ = {};
        poll();
    });
    retry_after_ = std::min(2 * retry_after_, kRetryMost);
}

}  // namespace brookrelay
