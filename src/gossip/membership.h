// Membership by heartbeats: which nodes are alive as this one knows, from their own datagrams or relayed by
// others with the age added up on the way. Holds one entry per node and nothing that grows. Performs no I/O
// and uses no clock but the `now` it is given. It never relies on another machine's clock: the delay of a
// datagram is measured only against the fastest datagram of the same sender.
#pragma once

#include <cstdint>
#include <vector>

#include "gossip/messages.h"

namespace brookrelay::gossip {

enum class MemberState { alive, suspect, dead };

struct Member {
    std::uint32_t incarnation = 0;  // the newest that is known here; 0: none
    // Smallest difference, in seconds, between this clock and the sender's ticks: that of its fastest
    // datagram.
    double min_clock_offset = 0;
    bool heard_directly = false;  // in this incarnation
    double last_heard = -1e9;     // when it was last known to be alive
    int zone = -1;
};

class Membership {
  public:
    Membership(int own, int count, double heartbeats_per_second);

    struct HeartbeatResult {
        bool accepted = false;         // false: the datagram is of an outdated incarnation
        bool new_incarnation = false;  // state kept for an older one is void
        double delay = 0;              // s longer in transit than the sender's fastest datagram
    };
    HeartbeatResult on_heartbeat(double now, int node, Stamp stamp, int zone);
    void on_relayed_heartbeat(double now, const Heartbeat& heartbeat, double delay);

    MemberState state(int node, double now) const;
    bool is_present(int node, double now) const {
        return node == own_ || state(node, now) != MemberState::dead;
    }
    std::vector<int> present_nodes(double now) const;  // including this node
    double age(int node, double now) const {
        return now - members_[static_cast<std::size_t>(node)].last_heard;
    }
    const Member& member(int node) const { return members_[static_cast<std::size_t>(node)]; }
    int count() const { return static_cast<int>(members_.size()); }
    int own() const { return own_; }
    double suspect_after() const { return suspect_after_; }
    double dead_after() const { return dead_after_; }
    // Returns up to `max_count` heartbeats of living nodes to relay: half of them in turn, the rest the most
    // recent.
    std::vector<Heartbeat> freshest(double now, std::size_t max_count);

  private:
    int own_;
    double suspect_after_, dead_after_;
    std::vector<Member> members_;
    std::size_t next_in_turn_ = 0;
};

}  // namespace brookrelay::gossip
