#include "coordination/service_registrations.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <utility>

namespace brookrelay {

bool ServiceRegistrations::apply_view(double now, std::int64_t order,
                                      const std::vector<Registration>& registrations) {
    tick(now);
    if (order < last_order_) return false;
    last_order_ = order;
    on_connected(now);
    std::set<std::string> names;
    for (const Registration& registration : registrations) {
        names.insert(registration.name);
        on_registered(now, registration);
    }
    for (auto& [name, entry] : entries_) {
        if (!names.contains(name) &&
            (entry.state == RegistrationState::ready || entry.state == RegistrationState::waiting))
            on_removed(now, entry);
    }
    suspect_mass_removal(now);
    return true;
}

void ServiceRegistrations::on_registered(double now, const Registration& registration) {
    const auto [found, is_new] = entries_.try_emplace(registration.name);
    Entry& entry = found->second;
    const bool is_same = !is_new && entry.registration.creation_id == registration.creation_id;
    if (entry.state == RegistrationState::suspect && is_same) {
        // The same registration is back, so it was never removed.
        entry.registration = registration;
        entry.state = RegistrationState::ready;
        return;
    }
    if ((entry.state == RegistrationState::ready || entry.state == RegistrationState::waiting) && is_same) {
        // A change of its data is reported only if the address has changed.
        const bool address_changed = entry.registration.address != registration.address;
        entry.registration = registration;
        if (address_changed && entry.state == RegistrationState::ready)
            report(entry, EndpointState::ready, false);
        if (entry.state == RegistrationState::ready && now - entry.changed_at >= bounds_.flap_reset_time)
            entry.flap_count = 0;
        return;
    }
    // The registration was re-created between two views; the removal in between counts as any other.
    if (!is_new && !is_same && entry.state != RegistrationState::removed) on_removed(now, entry);
    entry.registration = registration;
    entry.changed_at = now;
    std::erase_if(recent_removals_, [&](const auto& removal) { return removal.second == registration.name; });
    const double wait =
        entry.flap_count < 2
            ? 0
            : std::min(bounds_.max_start_delay,
                       bounds_.initial_start_delay * std::pow(2.0, std::min(entry.flap_count - 2, 30)));
    if (wait <= 0) {
        entry.state = RegistrationState::ready;
        return report(entry, EndpointState::ready, true);
    }
    entry.state = RegistrationState::waiting;
    entry.wait_ends_at = now + wait;
}

void ServiceRegistrations::on_removed(double now, Entry& entry) {
    entry.flap_count = now - entry.changed_at <= bounds_.max_flap_uptime   ? entry.flap_count + 1
                       : now - entry.changed_at >= bounds_.flap_reset_time ? 0
                                                                           : entry.flap_count;
    const bool was_available =
        entry.state == RegistrationState::ready || entry.state == RegistrationState::suspect;
    entry.state = RegistrationState::removed;
    entry.changed_at = now;
    if (!was_available) return;
    recent_removals_.emplace_back(now, entry.registration.name);
    report(entry, EndpointState::removed, false);
}

void ServiceRegistrations::suspect_mass_removal(double now) {
    std::erase_if(recent_removals_,
                  [&](const auto& removal) { return removal.first < now - bounds_.mass_removal_window; });
    const auto removed_count = static_cast<double>(recent_removals_.size());
    const auto remaining_count = static_cast<double>(count_available() - count_suspect());
    const auto suspect_count = static_cast<double>(count_suspect());
    // Suspect registrations count as removed here, so that further removals become suspect too.
    const bool is_mass_removal =
        removed_count + suspect_count >= bounds_.min_mass_removals &&
        removed_count + suspect_count >
            bounds_.mass_removal_ratio * (removed_count + suspect_count + remaining_count);
    if (!is_mass_removal) return;
    for (const auto& [when, name] : std::exchange(recent_removals_, {})) {
        Entry& entry = entries_[name];
        if (entry.state != RegistrationState::removed) continue;
        entry.state = RegistrationState::suspect;
        entry.wait_ends_at = now + bounds_.max_suspect_time;
        // Not reported as a fresh start, because the server has most likely been running all the time.
        report(entry, EndpointState::ready, false);
    }
}

void ServiceRegistrations::on_connected(double) { connected_ = true; }

void ServiceRegistrations::on_connection_lost(double now) {
    if (connected_) disconnected_at_ = now;
    connected_ = false;
}

void ServiceRegistrations::confirm_removals(double now) {
    for (auto& [name, entry] : entries_) {
        if (entry.state != RegistrationState::suspect) continue;
        entry.state = RegistrationState::removed;
        entry.changed_at = now;
        report(entry, EndpointState::removed, false);
    }
}

void ServiceRegistrations::tick(double now) {
    for (auto found = entries_.begin(); found != entries_.end();) {
        Entry& entry = found->second;
        if (entry.state == RegistrationState::waiting && now >= entry.wait_ends_at) {
            entry.state = RegistrationState::ready;
            report(entry, EndpointState::ready, true);
        }
        // Without a connection, the suspected view is the only evidence against a suspect entry, so it is
        // kept.
        if (entry.state == RegistrationState::suspect && connected_ && now >= entry.wait_ends_at) {
            entry.state = RegistrationState::removed;
            entry.changed_at = now;
            report(entry, EndpointState::removed, false);
        }
        // Names that never return are erased, so that the table does not grow without bound.
        const bool is_expired =
            entry.state == RegistrationState::removed &&
            now - entry.changed_at > std::max(bounds_.flap_reset_time, bounds_.max_start_delay);
        found = is_expired ? entries_.erase(found) : std::next(found);
    }
}

double ServiceRegistrations::next_at() const {
    double next = std::numeric_limits<double>::infinity();
    for (const auto& [name, entry] : entries_) {
        const bool has_timer = entry.state == RegistrationState::waiting ||
                               (entry.state == RegistrationState::suspect && connected_);
        if (has_timer) next = std::min(next, entry.wait_ends_at);
    }
    return next;
}

void ServiceRegistrations::report(Entry& entry, EndpointState state, bool fresh) {
    // Replaces an earlier change of the same registration that has not been taken yet.
    std::erase_if(changes_, [&](const RegistrationChange& change) {
        const bool is_same = change.who.name == entry.registration.name;
        if (is_same && change.fresh && state == EndpointState::ready) fresh = true;
        return is_same;
    });
    changes_.push_back({entry.registration, state, fresh});
}

std::vector<RegistrationChange> ServiceRegistrations::take_changes() { return std::exchange(changes_, {}); }

std::size_t ServiceRegistrations::count_available() const {
    return static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(), [](const auto& item) {
        return item.second.state == RegistrationState::ready ||
               item.second.state == RegistrationState::suspect;
    }));
}

std::size_t ServiceRegistrations::count_suspect() const {
    return static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(), [](const auto& item) {
        return item.second.state == RegistrationState::suspect;
    }));
}

double ServiceRegistrations::age(double now) const {
    return connected_ || last_order_ < 0 ? 0 : now - disconnected_at_;
}

}  // namespace brookrelay
