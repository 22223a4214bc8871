// Turns the views of a coordination service (ephemeral registrations, each with its creation id) into the
// endpoint changes that the balancer is given.
//
// It owns what is known of each registration, and decides when one counts as removed, how long a flapping one
// has to wait, and when a view is not believed. No I/O and no clock: `now` is an argument in seconds and
// never decreases. It reports no errors. It never empties the list because the service cannot be reached, and
// never delays the removal of a single server: rule 3's grace begins when the node learns of the removal.
//
// The rules, with their bounds (the defaults are in Bounds below):
//   removed   a registration that is missing from a newer view is removed at once.
//   new       one that appears, or has another creation id, is a fresh start and gets a slow start.
//   flapping  after repeated removals soon after a start, the next start is reported later, up to a bound; a
//             removal is never delayed. A long stable time resets the count.
//   order     a view older than the last one (from a lagging replica) is ignored.
//   lost      without the service the last list stays in use, whatever its age.
//   suspect   when more than a ratio of all registrations is removed within a short window, the service is
//             suspected and not the fleet: they are kept (those already reported as removed are restored) for
//             a bounded time, or until an operator confirms the removal.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "balancer/balancer.h"

namespace brookrelay {

// One ephemeral registration, as decoded from the service.
struct Registration {
    std::string name;
    std::int64_t created = 0;  // the service's creation id: a different one means another start
    std::string address;
    int zone = 0, kind = 0, cell = 0;
    double started = 0;  // wall clock, s, as registered; 0: long ago
};

// A change of one registration that the balancer has to be given.
struct RegistrationChange {
    Registration who;
    EndpointState standing = EndpointState::ready;
    bool fresh = false;  // the start was observed, so the server needs a slow start
};

// The state of all registrations under one path.
class ServiceRegistrations {
  public:
    struct Bounds {
        double flap_within = 10;  // s from start to removal that count as a flap
        double trust_after =
            0.5;                 // s that a start waits after the second flap; doubles with each further one
        double trust_most = 30;  // s, upper bound of that wait
        double forgiven_after = 60;  // s of stability that reset the flap count
        double wiped_within = 1;     // s, window in which removals are counted
        double wiped_part = 0.5;     // suspect above this ratio of all available registrations
        int wiped_least = 3;         // and from this number of removals
        double doubted_most = 30;    // s that suspect registrations are kept
    };

    explicit ServiceRegistrations(Bounds bounds) : bounds_(bounds) {}
    ServiceRegistrations() : ServiceRegistrations(Bounds{}) {}

    // Applies a full view as of `order`, the service's transaction id. False: it is older than an earlier
    // one.
    bool view(double now, std::int64_t order, const std::vector<Registration>& all);
    void connected(double now);
    // The session is lost, or the service unreachable.
    void lost(double now);
    // An operator confirms that the suspect registrations are removed.
    void believe(double now);
    // Handles expired waits; to be called at next_at().
    void tick(double now);
    // The time of the next wait to expire; infinity if there is none.
    double next_at() const;

    // The changes since the last call, in the order in which they are to be applied.
    std::vector<RegistrationChange> take_changes();

    // The number of registrations reported as ready, suspect ones included.
    std::size_t standing() const;
    // The number of suspect registrations.
    std::size_t doubted() const;
    // Seconds since the service was lost: 0 while it is connected, or before the first view.
    double age(double now) const;

  private:
    enum class RegistrationState {
        ready,
        waiting,  // flapping: its start is not reported yet
        suspect,  // missing from the view, but kept
        removed
    };
    struct Entry {
        Registration registration;
        RegistrationState state = RegistrationState::removed;
        double changed_at = 0;    // time of the last start or removal
        double wait_ends_at = 0;  // when a waiting or suspect state expires
        int flap_count = 0;
    };

    void on_registered(double now, const Registration& registration);
    void on_removed(double now, Entry& entry);
    void report(Entry& entry, EndpointState standing, bool fresh);
    void suspect_mass_removal(double now);

    Bounds bounds_;
    std::map<std::string, Entry> entries_;
    std::deque<std::pair<double, std::string>> recent_removals_;  // time and name, oldest first
    std::vector<RegistrationChange> changes_;
    std::int64_t last_order_ = -1;
    bool connected_ = false;
    double disconnected_at_ = 0;
};

}  // namespace brookrelay
