// Converts the views of a coordination service (ephemeral registrations, each with its creation id) to the
// endpoint changes that are passed to the balancer.
//
// It owns the state of each registration, and decides when one counts as removed, how long the start of a
// flapping one is delayed, and when a view is suspected to be wrong. No I/O and no clock: `now` is an
// argument in seconds and never decreases. It reports no errors. It never empties the list because the
// service cannot be reached, and never delays the removal of a single server: the grace period of rule 3
// begins when the node learns of the removal.
//
// The rules (the defaults of their bounds are in Bounds below):
//   removed   a registration that is missing from a newer view is removed at once.
//   new       a registration that appears, or has another creation id, is a fresh start with a slow start.
//   flapping  after repeated removals soon after a start, the report of the next start is delayed, up to a
//             bound; a removal is never delayed. A long stable time resets the count.
//   order     a view older than the last one (from a lagging replica) is ignored.
//   lost      without a connection to the service, the last list stays in use, whatever its age.
//   suspect   if more than a ratio of all registrations is removed within a short window, a fault of the
//   service
//             is suspected: the registrations are kept (those already reported as removed are restored) for a
//             bounded time, or until an operator confirms the removal.
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
    std::int64_t creation_id = 0;  // the service's creation id; a different id means a new start
    std::string address;
    int zone = 0, kind = 0, cell = 0;
    double started = 0;  // wall clock, s, as registered; 0 means long ago
};

// A change of one registration to be passed to the balancer.
struct RegistrationChange {
    Registration who;
    EndpointState standing = EndpointState::ready;
    bool fresh = false;  // the start was observed, so the server needs a slow start
};

// The state of all registrations under one path.
class ServiceRegistrations {
  public:
    struct Bounds {
        double max_flap_uptime = 10;  // s; a removal at most this long after the start is a flap
        // s by which a start is delayed after the second flap; doubles with each further flap
        double initial_start_delay = 0.5;
        double max_start_delay = 30;      // s, upper bound of that delay
        double flap_reset_time = 60;      // s of stability after which the flap count is reset
        double mass_removal_window = 1;   // s, window in which removals are counted
        double mass_removal_ratio = 0.5;  // of all available registrations; above it removals are suspect
        int min_mass_removals = 3;        // removals are suspect only from this number on
        double max_suspect_time = 30;     // s that suspect registrations are kept
    };

    explicit ServiceRegistrations(Bounds bounds) : bounds_(bounds) {}
    ServiceRegistrations() : ServiceRegistrations(Bounds{}) {}

    // Applies a full view as of `order`, the service's transaction id. Returns false if the view is older
    // than an earlier one and is ignored.
    bool apply_view(double now, std::int64_t order, const std::vector<Registration>& registrations);
    // To be called when the service is reachable; apply_view() calls it.
    void on_connected(double now);
    // To be called when the session is lost or the service is unreachable.
    void on_connection_lost(double now);
    // An operator confirms that the suspect registrations are removed.
    void confirm_removals(double now);
    // Handles expired delays; to be called at next_at().
    void tick(double now);
    // The time at which the next delay expires; infinity if there is none.
    double next_at() const;

    // The changes since the last call, in the order in which they are to be applied.
    std::vector<RegistrationChange> take_changes();

    // The number of registrations reported as ready, suspect ones included.
    std::size_t count_available() const;
    // The number of suspect registrations.
    std::size_t count_suspect() const;
    // Seconds since the connection to the service was lost; 0 while connected and before the first view.
    double age(double now) const;

  private:
    enum class RegistrationState {
        ready,
        waiting,  // flapping, its start is not reported yet
        suspect,  // missing from the view but kept
        removed
    };
    struct Entry {
        Registration registration;
        RegistrationState state = RegistrationState::removed;
        double changed_at = 0;    // when it was last started or removed
        double wait_ends_at = 0;  // when a waiting or suspect state expires
        int flap_count = 0;
    };

    void on_registered(double now, const Registration& registration);
    void on_removed(double now, Entry& entry);
    void report(Entry& entry, EndpointState state, bool fresh);
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
