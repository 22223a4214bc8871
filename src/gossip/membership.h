// Who is there of the nodes, as this one hears: directly, or through others with the age added up on the way.
// It owns one entry a node and nothing that grows; no I/O, no clock but the `now` that it is given. It never
// takes another machine's clock for its own: how late a datagram came is told only against that sender's
// quickest one.
#pragma once

#include <cstdint>
#include <vector>

#include "gossip/messages.h"

namespace brookrelay::fleet {

enum class Presence { fresh, late, gone };

struct Member {
    std::uint32_t start = 0;  // its newest life that is known here; 0: none
    double least = 0;  // s by which its ticks lie behind this clock at the least: its quickest datagram's way
    bool heard_itself = false;  // in that life
    double heard = -1e9;        // when it was last known to be there
    int zone = -1;
};

class Members {
  public:
    Members(int own, int count, double entries_a_second);

    struct Heard {
        bool counts = false;    // false: a dead life's word, or its own from another life
        bool new_life = false;  // all that was known of an older one is void
        double late = 0;        // s longer on its way than its quickest
    };
    Heard heard(double now, int node, Stamp stamp, int zone);
    void told(double now, const Alive& alive, double late);

    Presence presence(int node, double now) const;
    bool there(int node, double now) const { return node == own_ || presence(node, now) != Presence::gone; }
    std::vector<int> there(double now) const;  // itself among them
    double age(int node, double now) const { return now - members_[static_cast<std::size_t>(node)].heard; }
    const Member& of(int node) const { return members_[static_cast<std::size_t>(node)]; }
    int count() const { return static_cast<int>(members_.size()); }
    int own() const { return own_; }
    double fresh_within() const { return fresh_; }
    double gone_after() const { return gone_; }
    // Those to speak of: the freshest first, `most` of them, older ones by turns.
    std::vector<Alive> freshest(double now, std::size_t most);

  private:
    int own_;
    double fresh_, gone_;
    std::vector<Member> members_;
    std::size_t turn_ = 0;
};

}  // namespace brookrelay::fleet
