#include "discovery/endpoint_watch.h"

#include <algorithm>
#include <utility>

#include "protocol/http1.h"
#include "config/json.h"

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

Discovery::Discovery(Timers& timers, Log& log, const Station& station, Told told, Failed failed)
    : timers_(timers),
      log_(log),
      address_(station.discovery),
      names_(station.names),
      asks_(station.deployment.ask_for_list),
      told_(std::move(told)),
      tell_failed_(std::move(failed)),
      version_(station.known.version),
      retry_after_(kRetryLeast),
      chance_(static_cast<std::uint32_t>(station.seed ^ (station.seed >> 32))) {}

void Discovery::watch() {
    if (watching_) return;
    watching_ = true;
    call();
}

void Discovery::move_to(const std::string& address, const Names& names, bool asks) {
    asks_ = asks;
    const bool same = address == address_ && names == names_;
    if (same && (watching_ || asks)) return;
    address_ = address;
    names_ = names;
    version_ = kNone;
    gave_up_ = false;
    retry_after_ = kRetryLeast;
    if (stream_ != nullptr) hang_up();
    timers_.call_off(next_);
    watching_ = true;
    call();
}

void Discovery::call() {
    if (stream_ == nullptr || !stream_->up()) connect();
    calling_ = true;
    std::string target = "/discovery/hosts";
    double most = kWholeListMost;
    if (version_ >= 0) {
        const double wait = gave_up_ ? kWaitAfterSilence : kWait;
        most = wait + kAnswerMost;
        target +=
            "?index=" + std::to_string(version_) + "&wait=" + std::to_string(static_cast<int>(wait * 1e3));
    }
    stream_->write(http_request("GET", target, address_, {}, {}));
    // Discovery may be silent with its connection open, and may come back without ever answering this call.
    limit_ = timers_.at(monotonic() + most, [this] {
        limit_ = {};
        failed("no answer", true);
    });
}

void Discovery::connect() {
    stream_ =
        std::make_unique<Stream>(address_, kListMost, budget_, [this](Stream::News what) { news(what); });
}

void Discovery::news(Stream::News what) {
    if (what == Stream::News::input) read_answer();
    if (what != Stream::News::ended) return;
    // Closed between two calls it is only opened anew by the next.
    if (calling_ && stream_->ended_in_order() && !stream_->input().empty()) {
        read_answer(true);
    } else if (calling_) {
        failed("connection lost");
    } else {
        stream_->close();
    }
}

void Discovery::read_answer(bool ended) {
    HttpResponse response;
    const std::size_t taken = read_response(stream_->input(), kListMost, response, ended);
    if (taken == 0 && ended) return failed("connection lost within an answer");
    // Of anything but a list the head says all: an end that may never come is not waited for.
    const bool refused = response.until_close && response.status != 200;
    if (taken == 0 && !stream_->full() && !refused) return;
    if (!calling_ || !response.sound || response.status != 200) {
        // It may not know the version that we hold, having lost its own; one that only turns us away still
        // does, and the whole list would cost it more.
        if (!response.sound || response.status != 503) version_ = kNone;
        return failed("nonsense, or status " + std::to_string(response.status));
    }
    stream_->take(taken);
    ServerList list;
    try {
        rapidjson::Document document;
        document.Parse(response.body.data(), response.body.size());
        if (document.HasParseError()) throw BadInput("the list is not JSON");
        list = read_server_list(document, names_);
    } catch (const BadInput& bad) {
        return failed(bad.what());
    }
    // From a replica that lags behind it would bring back servers that drain. If discovery lost its versions,
    // it says so again when it is asked for all that it has.
    if (list.version < version_) {
        version_ = kNone;
        return failed("a list older than the one held");
    }
    for (const std::string& complaint : list.complaints) {
        log_.line(Topic::discovery, "entry_left_out", "an entry was left out: " + complaint);
    }
    calling_ = false;
    timers_.call_off(limit_);
    retry_after_ = kRetryLeast;
    gave_up_ = false;
    version_ = list.version;
    told_(std::move(list));
    if (!response.keep_open) stream_->close();
    // From the loop, not from inside the stream that the call may replace.
    next_ = timers_.at(monotonic(), [this] {
        next_ = {};
        call();
    });
}

void Discovery::hang_up() {
    calling_ = false;
    timers_.call_off(limit_);
    stream_->close();
}

void Discovery::failed(const std::string& why, bool given_up) {
    log_.line(Topic::discovery, "call_failed", "call failed: " + why);
    // A watch that falls silent has used up most of the time: the next call goes out at once, and those of
    // many nodes are apart as their watches were. Whatever else fails may have failed for all nodes in the
    // same moment.
    const bool silent = given_up && !std::exchange(gave_up_, given_up);
    hang_up();
    watching_ = false;
    if (asks_ && !silent) return tell_failed_();
    const double spread =
        0.5 + static_cast<double>(chance_()) / static_cast<double>(std::ranlux24_base::max());
    next_ = timers_.at(monotonic() + retry_after_ * spread, [this] {
        next_ = {};
        watch();
    });
    retry_after_ = std::min(2 * retry_after_, kRetryMost);
}

}  // namespace brookrelay
