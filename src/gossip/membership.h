// Who is there of the nodes, as this one hears: directly, or through others with the age added up on the way.
// It owns one entry a node and nothing that grows; no I/O, no clock but the `now` that it is given. It never
// takes another machine's clock for its own: how late a datagram came is told only against that sender's
// quickest one.
#pragma once

#include <cstdint>
#include <vector>

#include "gossip/messages.h"

namespace brookrelay::gossip {

enum class MemberState { alive, suspect, dead };

struct Member {
    std::uint32_t incarnation = 0;  // its newest life that is known here; 0: none
    double min_clock_offset =
        0;  // s by which its ticks lie behind this clock at the least: its quickest datagram's way
    bool heard_directly = false;  // in that life
    double last_heard = -1e9;     // when it was last known to be there
    int zone = -1;
};

class Membership {
  public:
    Membership(int own, int count, double entries_a_second);

    struct HeartbeatResult {
        bool accepted = false;         // false: a dead life's word, or its own from another life
        bool new_incarnation = false;  // all that was known of an older one is void
        double delay = 0;              // s longer on its way than its quickest
    };
    HeartbeatResult on_heartbeat(double now, int node, Stamp stamp, int zone);
    void on_relayed_heartbeat(double now, const Heartbeat& alive, double late);

    MemberState state(int node, double now) const;
    bool is_present(int node, double now) const {
        return node == own_ || state(node, now) != MemberState::dead;
    }
    std::vector<int> there(double now) const;  // itself among them
    double age(int node, double now) const {
        return now - members_[static_cast<std::size_t>(node)].last_heard;
    }
    const Member& member(int node) const { return members_[static_cast<std::size_t>(node)]; }
    int count() const { return static_cast<int>(members_.size()); }
    int own() const { return own_; }
    double suspect_after() const { return fresh_; }
    double dead_after() const { return gone_; }
    // Those to speak of: the freshest first, `most` of them, older ones by turns.
    std::vector<Heartbeat> freshest(double now, std::size_t most);

  private:
    int own_;
    double fresh_, gone_;
    std::vector<Member> members_;
    std::size_t turn_ = 0;
};

}  // namespace brookrelay::gossip
