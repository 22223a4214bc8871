#include "gossip/membership.h"

#include <algorithm>

namespace brookrelay::gossip {
namespace {

// A node hears of each other node about once in (nodes / heartbeats received per second) seconds. It is
// suspected after kSuspectRounds such periods and dead after kDeadRounds, but never earlier than the minimum
// times (seconds).
constexpr double kMinSuspectAfter = 2.0, kSuspectRounds = 2.0;
constexpr double kMinDeadAfter = 5.0, kDeadRounds = 5.0;

}  // namespace

Membership::Membership(int own, int count, double heartbeats_per_second)
    : own_(own),
      suspect_after_(std::max(kMinSuspectAfter, kSuspectRounds * count / heartbeats_per_second)),
      dead_after_(std::max(kMinDeadAfter, kDeadRounds * count / heartbeats_per_second)),
      members_(static_cast<std::size_t>(count)) {}

Membership::HeartbeatResult Membership::on_heartbeat(double now, int node, Stamp stamp, int zone) {
    Member& member = members_[static_cast<std::size_t>(node)];
    HeartbeatResult result;
    // A late datagram of an earlier incarnation is rejected. A node whose clock was set back also sends a
    // lower incarnation, and is accepted once its newer one counts as dead.
    if (stamp.incarnation < member.incarnation && now - member.last_heard < dead_after_) return result;
    result.accepted = true;
    const double clock_offset = now - stamp.sequence * kTickSeconds;
    if (stamp.incarnation != member.incarnation || !member.heard_directly) {
        result.new_incarnation = stamp.incarnation != member.incarnation;
        member.incarnation = stamp.incarnation;
        member.min_clock_offset = clock_offset;
        member.heard_directly = true;
    }
    member.min_clock_offset = std::min(member.min_clock_offset, clock_offset);
    result.delay = clock_offset - member.min_clock_offset;
    member.zone = zone;
    member.last_heard = std::max(member.last_heard, now - result.delay);
    return result;
}

void Membership::on_relayed_heartbeat(double now, const Heartbeat& heartbeat, double delay) {
    if (heartbeat.node == own_ || heartbeat.node >= count()) return;
    Member& member = members_[static_cast<std::size_t>(heartbeat.node)];
    member.last_heard = std::max(member.last_heard, now - heartbeat.age - delay);
    if (!member.heard_directly && heartbeat.zone >= 0)
        member.zone = heartbeat.zone;  // the node's own statement of its zone takes precedence
}

MemberState Membership::state(int node, double now) const {
    const double silent = age(node, now);
    return silent <= suspect_after_ ? MemberState::alive
           : silent <= dead_after_  ? MemberState::suspect
                                    : MemberState::dead;
}

std::vector<int> Membership::present_nodes(double now) const {
    std::vector<int> present;
    for (int node = 0; node < count(); ++node) {
        if (is_present(node, now)) present.push_back(node);
    }
    return present;
}

std::vector<Heartbeat> Membership::freshest(double now, std::size_t max_count) {
    std::vector<Heartbeat> heartbeats;
    // Half of the entries are filled in turn, so that every living node is relayed at some time; the rest
    // with the most recent ones.
    const std::size_t count = members_.size();
    for (std::size_t examined = 0; examined < count && heartbeats.size() < max_count - max_count / 2;
         ++examined) {
        next_in_turn_ = (next_in_turn_ + 1) % count;
        const int node = static_cast<int>(next_in_turn_);
        if (node != own_ && state(node, now) == MemberState::alive)
            heartbeats.push_back({node, age(node, now), members_[static_cast<std::size_t>(node)].zone});
    }
    const std::size_t in_turn = heartbeats.size();
    std::vector<Heartbeat> others;
    for (int other = 0; other < static_cast<int>(count); ++other) {
        const bool is_included =
            std::any_of(heartbeats.begin(), heartbeats.begin() + static_cast<std::ptrdiff_t>(in_turn),
                        [other](const Heartbeat& heartbeat) { return heartbeat.node == other; });
        if (other != own_ && !is_included && state(other, now) == MemberState::alive)
            others.push_back({other, age(other, now), members_[static_cast<std::size_t>(other)].zone});
    }
    const std::size_t count_left = std::min(others.size(), max_count - in_turn);
    std::partial_sort(others.begin(), others.begin() + static_cast<std::ptrdiff_t>(count_left), others.end(),
                      [](const Heartbeat& a, const Heartbeat& b) { return a.age < b.age; });
    heartbeats.insert(heartbeats.end(), others.begin(),
                      others.begin() + static_cast<std::ptrdiff_t>(count_left));
    return heartbeats;
}

}  // namespace brookrelay::gossip
