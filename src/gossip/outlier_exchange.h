// What the fleet knows of its cache servers, as one node holds it: what it saw itself, what it keeps for
// others, the findings that are spread, and what of them counts here. All of it has an age, and goes when
// that is past its bound. I/O-free: it is given endings, datagrams and the time, and gives datagrams and
// verdicts. It never says as its own what it was told, and a verdict is evidence for the decision module,
// never an order.
//
// docs/fleet.md has the design, the ways weighed, and every bound with the runs that showed it.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "balancer/balancer.h"
#include "gossip/quota_leases.h"
#include "gossip/membership.h"
#include "gossip/messages.h"
#include "gossip/zone_failover.h"

namespace brookrelay::fleet {

constexpr double kSightSpan = 3.0;    // s of its own endings that a node speaks of
constexpr double kSightKept = 5.0;    // s that a keeper holds a sight not said again
constexpr double kFindingKept = 8.0;  // s after its keeper found it that a finding counts
// How old what a verdict rests on can be at the most, where every datagram was as quick as its sender's
// quickest.
constexpr double kOldest = kSightSpan + kSightKept + kFindingKept;

struct Terms {
    int node = 0;
    int nodes = 1;
    int zone = 0;
    int zones = 1;
    double bytes_most = 1024;       // a second, that this node sends
    double price = 0;               // of G for 256 bytes a first try
    double price_part = 0.004;      // of G that words may cost
    bool zones_as_one = false;      // whether nodes leave a zone and take it back together
    double warm_within = 0;         // s that a cold cache takes
    std::vector<int> regions = {};  // of each zone; empty: none
};

enum class Seen { good, bad };
// What a forward's end says of its cache; nothing where it tells of load, or of nobody.
std::optional<Seen> seen_as(Ending ending, double took, double latency_objective);
// The same for the zone it stands in: whatever answers is no sign of a zone that is lost.
std::optional<ZoneEnd> zone_seen_as(Ending ending, double took, double latency_objective);
// After so long without an answer one need not wait for the end to call it bad.
double overdue_after(double latency_objective);

struct Outgoing {
    int to = 0;
    std::string bytes;
};

// For operators: counts since the start, and what stands now.
struct Counts {
    std::uint64_t sent = 0, sent_bytes = 0, received = 0;
    std::uint64_t unsound = 0, strangers = 0, dead_lives = 0,
                  late = 0;  // datagrams thrown away, or late by over 1 s
    std::uint64_t stalls = 0, muted = 0;
};
struct Voice {
    int keeper = 0;
    std::uint32_t zones = 0;
    int voices = 0;
    double age = 0;
};
struct Held {
    Subject subject = 0;
    bool counts = false;  // here, for this node's zone
    double since = 0;
    std::vector<Voice> said;
};
struct State {
    std::vector<std::pair<int, Presence>> members;
    std::vector<double> ages;  // of the members, s
    std::vector<std::uint32_t> starts;
    std::vector<Held> verdicts;
    std::size_t sights_kept = 0;
    double oldest_sight = 0;
    bool doubts_itself = false;
    double bytes_a_second = 0;
    Counts counts;
};

class Exchange {
  public:
    // `start`: which life of this node it is, greater than any before; `now`, here and below, never goes
    // back.
    Exchange(const Terms& terms, std::uint32_t start, std::uint64_t seed, double now);

    void asked(double now);                              // a first try of a client's
    void ended(double now, Subject subject, Seen seen);  // a forward of this node's
    void zone_ended(double now, int zone, Subject subject, ZoneEnd end) {
        zones_.ended(now, zone, subject, end);
    }
    void zone_by_hand(double now, int zone, bool out) { zones_.by_hand(now, zone, out); }
    void caches(int in_own_zone) { caches_ = in_own_zone; }  // that are listed there
    // From whom the address says that it is; -1: from no peer's.
    void received(double now, int from, std::string_view bytes);
    // To be called every kStep. `wall`: a clock that nodes may share, to agree whose turn it is to try, and
    // no more.
    std::vector<Outgoing> tick(double now, double wall);
    std::vector<Outgoing> tick(double now) { return tick(now, now); }
    static constexpr double kStep = 0.125;

    struct Verdict {
        Subject subject = 0;
        bool bad = false;
        double apart = 0;  // s between one node's trials, so that all nodes' together are few
    };
    // What stands, and once what no longer stands.
    std::vector<Verdict> verdicts(double now);
    void limit_needs(double now, LimitId limit, double crumbs) { limits_.needs(now, limit, crumbs); }
    void limits_anew(double now) { limits_.anew(now); }
    std::uint32_t limit_part(LimitId limit, double now) const { return limits_.part(limit, now); }
    Limits::View limit_view(LimitId limit, double now) const { return limits_.view(limit, now); }
    std::vector<Zones::Order> zone_orders() { return std::exchange(zone_orders_, {}); }  // what changed since
    std::vector<Zones::View> zone_views(double now) const;
    State state(double now) const;
    std::uint32_t start() const { return start_; }
    std::uint64_t stalls() const { return counts_.stalls; }

  private:
    struct Own {  // of one subject, in buckets of time used again in a ring
        static constexpr int kBuckets = 6;
        std::array<int, kBuckets> good{}, bad{};
        std::int64_t turn = 0;
        double told = -1e9;  // when it last was
        bool news = false;   // bad since then
        bool any = false;    // anything since then
    };
    struct Cell {  // one node's word on one subject: the newest by its stamp counts
        Stamp stamp;
        int zone = 0;
        int good = 0, bad = 0;
        double born = 0;
    };
    struct Kept {  // what this node keeps of a subject for all
        std::map<int, Cell> cells;
        std::uint32_t zones = 0;  // found bad
        int voices = 0;
        double stated = -1e9;
        double ended = -1e9;  // when it was last found well again
        double suspected = -1e9, watched_since = -1e9;
    };
    struct Told {  // a finding as one node passed it on
        int from = 0;
        Stamp stamp;
        std::uint32_t zones = 0;
        int voices = 0;
        double born = 0;
    };
    struct Spread {  // a keeper's finding as it goes round
        Finding finding;
        double born = -1e9;
        bool stands =
            false;  // its keeper said so here, or two others that it did; else it only waits for that
        std::vector<Told> told;  // the newest, few
        int said = 0;            // times, by this node, since it changed
    };
    struct Stand {
        double since = 0;
        double said = -1e9;
    };

    bool stalled(double now);
    void turn(Own& own, double now) const;
    static int sum(const std::array<int, Own::kBuckets>& buckets);
    bool own_way_bad(double now);
    void take_sight(double now, int from, const Stamp& stamp, int zone, const Sight& sight, double late);
    void take_finding(const Finding& finding, double born, int from);
    static void weigh(Spread& s);
    void judge(double now);
    void judge(double now, Subject subject, Kept& kept);
    bool found_by_another(Subject subject, int zone, double now) const;
    void look_who_is_there(double now);
    int voices_needed(int zone) const;
    double expected(double now) const;
    std::vector<int> keepers(Subject subject) const;
    const std::vector<int>& keepers_now(Subject subject, double now);
    bool counts(Subject subject, double now);
    void report(double now, std::vector<Outgoing>& out);
    void gossip(double now, std::vector<Outgoing>& out);
    void speak_of_zones(double now, double wall, std::vector<Outgoing>& out);
    void speak_of_limits(double now, std::vector<Outgoing>& out);
    Datagram headed(int to, double now);
    bool send(int to, Datagram&& datagram, double& purse, std::vector<Outgoing>& out);
    double allowance(double now) const;
    double rate(double now) const;
    double draw() { return static_cast<double>(chance_()) / 16777216.0; }

    Terms terms_;
    std::uint32_t start_;
    double began_;
    std::uint32_t last_number_ = 0;
    std::ranlux24_base chance_;
    Members members_;
    std::vector<int> there_;  // as of this step, this node among them
    std::array<int, kZonesMost> in_zone_{};
    std::map<Subject, Own> own_;
    std::map<Subject, Kept> kept_;
    std::map<std::pair<Subject, int>, Spread> spread_;
    std::map<Subject, Stand> standing_;
    std::map<Subject, std::pair<double, std::vector<int>>> keepers_;  // as of some time
    int caches_ = 0;
    double ticked_ = 0, doubts_until_ = -1e9, gossiped_ = -1e9, filled_ = 0;
    double report_purse_ = 0, gossip_purse_ = 0, more_purse_ = 0, zones_said_ = -1e9;
    Zones zones_;
    Limits limits_;
    std::map<int, std::vector<Grant>> owed_grants_;  // to whom
    std::vector<int> voters_;                        // whose word on zones counts here, as of this step
    std::vector<Zones::Order> zone_orders_;
    std::array<int, 8> arrivals_{};  // a second
    std::int64_t arrivals_turn_ = 0;
    Counts counts_;
};

}  // namespace brookrelay::fleet
