// What a list of ephemeral registrations means: it turns the views that a coordination service gives
// (children, each with when it was created there) into the changes that the decision module is told. It owns
// what is known of each registration and decides what counts as gone, what a flapping one is worth, and what
// is not believed of a coordinator. No I/O and no clock: `now` is told, in seconds, and never goes back. It
// never empties the list because the coordinator cannot be reached, and never holds back news that one server
// alone is gone: rule 3's grace begins for the node when it learns of it.
//
// The rules, with their bounds (Bounds below has the figures):
//   gone      a registration that is missing from a newer view is gone at once.
//   new       one that appears, or stands there under another creation id, is a fresh start: cold.
//   flapping  each time one goes soon after it came, its next coming is trusted later, up to a bound; its
//   going
//             is never told later. Long enough steady, and it is forgiven.
//   order     a view older than the last one taken (a follower that lags) is no news.
//   lost      without the coordinator the last list stands, whatever its age.
//   wiped     when more than a part of all go within a moment, it is the coordinator that is doubted, not the
//             fleet: they are kept (those already told as gone come back as they were), for a bounded time or
//             until an operator says that it is so.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "balancer/balancer.h"

namespace brookrelay {

struct Registration {
    std::string name;
    std::int64_t created = 0;  // the coordinator's id of its creation: another one is another start
    std::string address;
    int zone = 0, kind = 0, cell = 0;
    double started = 0;  // wall clock, as the registration says; 0: long ago
};

struct RegistrationChange {
    Registration who;
    EndpointState standing = EndpointState::ready;
    bool fresh = false;  // a start that was seen: to be treated as cold
};

class ServiceRegistrations {
  public:
    struct Bounds {
        double flap_within = 10;     // s from coming to going that make it a flap
        double trust_after = 0.5;    // s that the next coming waits after the second flap; doubles with each
        double trust_most = 30;      // and no longer than this
        double forgiven_after = 60;  // s of standing steady
        double wiped_within = 1;     // s in which so many go
        double wiped_part = 0.5;     // more than this part of all that stood
        int wiped_least = 3;         // and at least so many
        double doubted_most = 30;    // s that they are kept
    };

    explicit ServiceRegistrations(Bounds bounds) : bounds_(bounds) {}
    ServiceRegistrations() : ServiceRegistrations(Bounds{}) {}

    // A whole view as of `order` (the coordinator's transaction id): false if it is older than one taken
    // before.
    bool view(double now, std::int64_t order, const std::vector<Registration>& all);
    void connected(double now);
    void lost(double now);     // the session is gone, or the coordinator out of reach
    void believe(double now);  // an operator says that those who are doubted are gone indeed
    void tick(double now);     // what waits for its time; call it at next_at()
    double next_at() const;    // infinity: nothing waits

    // What is to be told, in its order; told once.
    std::vector<RegistrationChange> take_changes();

    std::size_t standing() const;  // told as ready, doubted ones among them
    std::size_t doubted() const;
    double age(double now) const;  // of the list: 0 while the coordinator is connected

  private:
    enum class State { ready, waiting, doubted, gone };
    struct Known {
        Registration registration;
        State state = State::gone;
        double since = 0;        // when it came, or went
        double waits_until = 0;  // for trust, or for doubt to end
        int flaps = 0;
    };

    void came(double now, const Registration& r);
    void went(double now, Known& k);
    void tell(Known& k, EndpointState standing, bool fresh);
    void doubt_if_wiped(double now);

    Bounds bounds_;
    std::map<std::string, Known> known_;
    std::deque<std::pair<double, std::string>> lately_gone_;
    std::vector<RegistrationChange> changes_;
    std::int64_t order_ = -1;
    bool connected_ = false;
    double lost_at_ = 0;
};

}  // namespace brookrelay
