#include "coordination/service_registrations.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <utility>

namespace brookrelay {

bool ServiceRegistrations::view(double now, std::int64_t order, const std::vector<Registration>& all) {
    tick(now);
    if (order < order_) return false;
    order_ = order;
    connected(now);
    std::set<std::string> named;
    for (const Registration& r : all) {
        named.insert(r.name);
        came(now, r);
    }
    for (auto& [name, k] : known_) {
        if (!named.contains(name) && (k.state == State::ready || k.state == State::waiting)) went(now, k);
    }
    doubt_if_wiped(now);
    return true;
}

void ServiceRegistrations::came(double now, const Registration& r) {
    const auto [at, is_new] = known_.try_emplace(r.name);
    Known& k = at->second;
    const bool same = !is_new && k.registration.created == r.created;
    if (k.state == State::doubted && same) {
        // It was there all the time, as was thought.
        k.registration = r;
        k.state = State::ready;
        return;
    }
    if ((k.state == State::ready || k.state == State::waiting) && same) {
        // Its data may have changed: where it is, is news; that it is there, is none.
        const bool moved = k.registration.address != r.address;
        k.registration = r;
        if (moved && k.state == State::ready) tell(k, EndpointState::ready, false);
        if (k.state == State::ready && now - k.since >= bounds_.forgiven_after) k.flaps = 0;
        return;
    }
    // Replaced between two views: its former self went in the meantime, and that counts as any going.
    if (!is_new && !same && k.state != State::gone) went(now, k);
    k.registration = r;
    k.since = now;
    std::erase_if(lately_gone_, [&](const auto& gone) { return gone.second == r.name; });
    const double wait =
        k.flaps < 2
            ? 0
            : std::min(bounds_.trust_most, bounds_.trust_after * std::pow(2.0, std::min(k.flaps - 2, 30)));
    if (wait <= 0) {
        k.state = State::ready;
        return tell(k, EndpointState::ready, true);
    }
    k.state = State::waiting;
    k.waits_until = now + wait;
}

void ServiceRegistrations::went(double now, Known& k) {
    k.flaps = now - k.since <= bounds_.flap_within      ? k.flaps + 1
              : now - k.since >= bounds_.forgiven_after ? 0
                                                        : k.flaps;
    const bool stood = k.state == State::ready || k.state == State::doubted;
    k.state = State::gone;
    k.since = now;
    if (!stood) return;
    lately_gone_.emplace_back(now, k.registration.name);
    tell(k, EndpointState::removed, false);
}

void ServiceRegistrations::doubt_if_wiped(double now) {
    std::erase_if(lately_gone_, [&](const auto& gone) { return gone.first < now - bounds_.wiped_within; });
    const auto going = static_cast<double>(lately_gone_.size());
    const auto left = static_cast<double>(standing() - doubted());
    const auto in_doubt = static_cast<double>(doubted());
    // Where some are doubted already, whoever goes too is doubted with them.
    const bool wiped = going + in_doubt >= bounds_.wiped_least &&
                       going + in_doubt > bounds_.wiped_part * (going + in_doubt + left);
    if (!wiped) return;
    for (const auto& [when, name] : std::exchange(lately_gone_, {})) {
        Known& k = known_[name];
        if (k.state != State::gone) continue;
        k.state = State::doubted;
        k.waits_until = now + bounds_.doubted_most;
        // It left no forward undone and is as warm as it was: no start has been seen.
        tell(k, EndpointState::ready, false);
    }
}

void ServiceRegistrations::connected(double) { connected_ = true; }

void ServiceRegistrations::lost(double now) {
    if (connected_) lost_at_ = now;
    connected_ = false;
}

void ServiceRegistrations::believe(double now) {
    for (auto& [name, k] : known_) {
        if (k.state != State::doubted) continue;
        k.state = State::gone;
        k.since = now;
        tell(k, EndpointState::removed, false);
    }
}

void ServiceRegistrations::tick(double now) {
    for (auto at = known_.begin(); at != known_.end();) {
        Known& k = at->second;
        if (k.state == State::waiting && now >= k.waits_until) {
            k.state = State::ready;
            tell(k, EndpointState::ready, true);
        }
        // While the coordinator is away nothing speaks against those who are doubted but its last word.
        if (k.state == State::doubted && connected_ && now >= k.waits_until) {
            k.state = State::gone;
            k.since = now;
            tell(k, EndpointState::removed, false);
        }
        // What is long gone is forgotten, so that names that never return do not fill the table.
        const bool forgotten =
            k.state == State::gone && now - k.since > std::max(bounds_.forgiven_after, bounds_.trust_most);
        at = forgotten ? known_.erase(at) : std::next(at);
    }
}

double ServiceRegistrations::next_at() const {
    double next = std::numeric_limits<double>::infinity();
    for (const auto& [name, k] : known_) {
        const bool waits = k.state == State::waiting || (k.state == State::doubted && connected_);
        if (waits) next = std::min(next, k.waits_until);
    }
    return next;
}

void ServiceRegistrations::tell(Known& k, EndpointState standing, bool fresh) {
    // Event that nobody has taken yet is overtaken by this.
    std::erase_if(changes_, [&](const RegistrationChange& c) {
        const bool same = c.who.name == k.registration.name;
        if (same && c.fresh && standing == EndpointState::ready) fresh = true;
        return same;
    });
    changes_.push_back({k.registration, standing, fresh});
}

std::vector<RegistrationChange> ServiceRegistrations::take_changes() { return std::exchange(changes_, {}); }

std::size_t ServiceRegistrations::standing() const {
    return static_cast<std::size_t>(std::count_if(known_.begin(), known_.end(), [](const auto& one) {
        return one.second.state == State::ready || one.second.state == State::doubted;
    }));
}

std::size_t ServiceRegistrations::doubted() const {
    return static_cast<std::size_t>(std::count_if(
        known_.begin(), known_.end(), [](const auto& one) { return one.second.state == State::doubted; }));
}

double ServiceRegistrations::age(double now) const { return connected_ || order_ < 0 ? 0 : now - lost_at_; }

}  // namespace brookrelay
