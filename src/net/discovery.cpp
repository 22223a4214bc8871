#include "discovery.h"

#include <algorithm>
#include <utility>

#include "http1.h"
#include "json.h"

namespace brookrelay {
namespace {

constexpr double kWait = 10;          // s that a watch may wait for news
constexpr double kBeyondWait = 2;     // and that its answer may take beyond that before it is given up
// s to the next try after a failure; doubles, each with jitter: nodes that started together fail together, and
// would come back together for as long as they are turned away.
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
    if (version_ >= 0) {
        target +=
            "?index=" + std::to_string(version_) + "&wait=" + std::to_string(static_cast<int>(kWait * 1e3));
    }
    stream_->write(http_request("GET", target, address_, {}, {}));
    // Discovery may be silent with its connection open, and may come back without ever answering this call.
    limit_ = timers_.at(monotonic() + kWait + kBeyondWait, [this] {
        limit_ = {};
        failed("no answer");
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
    if (taken == 0 && !stream_->full()) return;
    if (!calling_ || !response.sound || response.status != 200) {
        // It may not know the version that we hold, having lost its own; one that only turns us away still does, and
        // the whole list would cost it more.
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
    for (const std::string& complaint : list.complaints) {
        log_.line(Topic::discovery, "entry_left_out", "an entry was left out: " + complaint);
    }
    calling_ = false;
    timers_.call_off(limit_);
    retry_after_ = kRetryLeast;
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

void Discovery::failed(const std::string& why) {
    log_.line(Topic::discovery, "call_failed", "call failed: " + why);
    hang_up();
    watching_ = false;
    if (asks_) return tell_failed_();
    const double spread = 0.5 + static_cast<double>(chance_()) / static_cast<double>(std::ranlux24_base::max());
    next_ = timers_.at(monotonic() + retry_after_ * spread, [this] {
        next_ = {};
        watch();
    });
    retry_after_ = std::min(2 * retry_after_, kRetryMost);
}

}  // namespace brookrelay
