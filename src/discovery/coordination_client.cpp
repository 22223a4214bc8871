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

Registry::Registry(Timers& timers, Log& log, std::vector<std::string> addresses, std::string path,
                   double session_timeout, std::uint64_t seed, Follower::Read read, Told told)
    : timers_(timers),
      log_(log),
      addresses_(std::move(addresses)),
      chance_(static_cast<std::ranlux24_base::result_type>(seed)),
      told_(std::move(told)),
      follower_(std::move(path), session_timeout, registrations_, std::move(read),
                {[this](const std::string& frame) { stream_->write(frame); },
                 [this](const char* why) {
                     log_.line(Topic::discovery, "registry_lost", std::string("registry: ") + why);
                     hung_up_ = true;
                 },
                 [this](const std::string& child, const std::string& why) {
                     log_.line(Topic::discovery, "registration_left_out",
                               "registry: " + child + " is left out: " + why);
                 }}),
      pause_(kPauseLeast) {
    std::shuffle(addresses_.begin(), addresses_.end(), chance_);
}

void Registry::start() { connect(); }

void Registry::connect() {
    const std::string& address = addresses_[next_address_++ % addresses_.size()];
    hung_up_ = false;
    stream_ =
        std::make_unique<Stream>(address, kInputMost, budget_, [this](Stream::News what) { news(what); });
    timers_.call_off(due_);
    due_ = timers_.at(monotonic() + kConnectMost, [this] {
        due_ = {};
        failed("no connection came up");
    });
}

void Registry::news(Stream::News what) {
    if (what == Stream::News::up) {
        follower_.up(monotonic());
        after();
    }
    if (what == Stream::News::input) read_frames();
    if (what == Stream::News::ended) failed("connection lost");
}

void Registry::read_frames() {
    while (!hung_up_) {
        std::string_view payload;
        bool sound = true;
        const std::size_t taken = read_frame(stream_->input(), payload, sound);
        if (!sound) return failed("a frame of an impossible length");
        if (taken == 0) break;
        const std::string whole(payload);  // what is taken may be moved
        stream_->take(taken);
        follower_.received(monotonic(), whole);
        if (follower_.follows()) pause_ = kPauseLeast;
    }
    after();
}

void Registry::failed(const std::string& why) {
    if (!hung_up_) log_.line(Topic::discovery, "registry_lost", "registry: " + why);
    hung_up_ = true;
    after();
}

void Registry::after() {
    const double now = monotonic();
    timers_.call_off(due_);
    if (hung_up_ && again_ == Timers::Handle{}) {
        follower_.broke(now);
        stream_->close();
        // Many nodes lose one service at the same moment, and must not all come back in another.
        const double jitter = 0.5 + static_cast<double>(chance_() - chance_.min()) /
                                        static_cast<double>(chance_.max() - chance_.min());
        again_ = timers_.at(now + pause_ * jitter, [this] {
            again_ = {};
            connect();
        });
        pause_ = std::min(2 * pause_, kPauseMost);
    }
    std::vector<RegistrationChange> changes = registrations_.take_changes();
    if (!changes.empty()) told_(std::move(changes));
    const double next = std::min(follower_.next_at(), registrations_.next_at());
    if (!std::isfinite(next)) return;
    due_ = timers_.at(next, [this] {
        due_ = {};
        follower_.tick(monotonic());
        registrations_.tick(monotonic());
        after();
    });
}

}  // namespace brookrelay
