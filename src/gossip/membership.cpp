#include "gossip/membership.h"

#include <algorithm>

namespace brookrelay::fleet {
namespace {

// News of a node comes round to this one about once in as many seconds as there are nodes for each entry
// heard a second; at the least the times below.
constexpr double kFreshLeast = 2.0, kFreshRounds = 2.0;
constexpr double kGoneLeast = 5.0, kGoneRounds = 5.0;

}  // namespace

Members::Members(int own, int count, double entries_a_second)
    : own_(own),
      fresh_(std::max(kFreshLeast, kFreshRounds * count / entries_a_second)),
      gone_(std::max(kGoneLeast, kGoneRounds * count / entries_a_second)),
      members_(static_cast<std::size_t>(count)) {}

Members::Heard Members::heard(double now, int node, Stamp stamp, int zone) {
    Member& m = members_[static_cast<std::size_t>(node)];
    Heard h;
    // A dead life's word, late on its way. But a machine whose clock was set back must not stay unheard for
    // good.
    if (stamp.start < m.start && now - m.heard < gone_) return h;
    h.counts = true;
    const double behind = now - stamp.number * kTick;
    if (stamp.start != m.start || !m.heard_itself) {
        h.new_life = stamp.start != m.start;
        m.start = stamp.start;
        m.least = behind;
        m.heard_itself = true;
    }
    m.least = std::min(m.least, behind);
    h.late = behind - m.least;
    m.zone = zone;
    m.heard = std::max(m.heard, now - h.late);
    return h;
}

void Members::told(double now, const Alive& alive, double late) {
    if (alive.node == own_ || alive.node >= count()) return;
    Member& m = members_[static_cast<std::size_t>(alive.node)];
    m.heard = std::max(m.heard, now - alive.age - late);
    if (!m.heard_itself && alive.zone >= 0) m.zone = alive.zone;  // itself it knows best
}

Presence Members::presence(int node, double now) const {
    const double silent = age(node, now);
    return silent <= fresh_ ? Presence::fresh : silent <= gone_ ? Presence::late : Presence::gone;
}

std::vector<int> Members::there(double now) const {
    std::vector<int> all;
    for (int n = 0; n < count(); ++n) {
        if (there(n, now)) all.push_back(n);
    }
    return all;
}

std::vector<Alive> Members::freshest(double now, std::size_t most) {
    std::vector<Alive> all;
    // Half of the room for the freshest, the rest by turns, so that nobody who is there stays unsaid.
    const std::size_t count = members_.size();
    for (std::size_t looked = 0; looked < count && all.size() < most - most / 2; ++looked) {
        turn_ = (turn_ + 1) % count;
        const int node = static_cast<int>(turn_);
        if (node != own_ && presence(node, now) == Presence::fresh)
            all.push_back({node, age(node, now), members_[static_cast<std::size_t>(node)].zone});
    }
    const std::size_t by_turns = all.size();
    std::vector<Alive> rest;
    for (int n = 0; n < static_cast<int>(count); ++n) {
        const bool said = std::any_of(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(by_turns),
                                      [n](const Alive& a) { return a.node == n; });
        if (n != own_ && !said && presence(n, now) == Presence::fresh)
            rest.push_back({n, age(n, now), members_[static_cast<std::size_t>(n)].zone});
    }
    const std::size_t room = std::min(rest.size(), most - by_turns);
    std::partial_sort(rest.begin(), rest.begin() + static_cast<std::ptrdiff_t>(room), rest.end(),
                      [](const Alive& a, const Alive& b) { return a.age < b.age; });
    all.insert(all.end(), rest.begin(), rest.begin() + static_cast<std::ptrdiff_t>(room));
    return all;
}

}  // namespace brookrelay::fleet
