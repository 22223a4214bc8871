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
#include "gossip/membership.h"
#include "gossip/messages.h"
#include "gossip/quota_leases.h"
#include "gossip/zone_failover.h"

namespace brookrelay::gossip {

constexpr double kObservationWindow = 3.0;    // s of its own endings that a node speaks of
constexpr double kObservationLifetime = 5.0;  // s that a keeper holds a sight not said again
constexpr double kVerdictLifetime = 8.0;      // s after its keeper found it that a finding counts
// How old what a verdict rests on can be at the most, where every datagram was as quick as its sender's
// quickest.
constexpr double kMaxEvidenceAge = kObservationWindow + kObservationLifetime + kVerdictLifetime;

struct GossipSettings {
    int node_index = 0;
    int node_count = 1;
    int zone = 0;
    int zone_count = 1;
    double max_bytes_per_second = 1024;     // a second, that this node sends
    double price = 0;                       // of G for 256 bytes a first try
    double max_price_ratio = 0.004;         // of G that words may cost
    bool zone_failover = false;             // whether nodes leave a zone and take it back together
    double slow_start_duration = 0;         // s that a cold cache takes
    std::vector<int> failure_domains = {};  // of each zone; empty: none
};

enum class AttemptHealth { good, bad };
// What a forward's end says of its cache; nothing where it tells of load, or of nobody.
std::optional<AttemptHealth> classify_attempt(AttemptOutcome outcome, double duration,
                                              double latency_objective);
// The same for the zone it stands in: whatever answers is no sign of a zone that is lost.
std::optional<ZoneAttempt> classify_zone_attempt(AttemptOutcome outcome, double duration,
                                                 double latency_objective);
// After so long without an answer one need not wait for the end to call it bad.
double overdue_after(double latency_objective);

struct Outgoing {
    int to = 0;
    std::string bytes;
};

// For operators: counts since the start, and what stands now.
struct GossipCounters {
    std::uint64_t sent = 0, sent_bytes = 0, received = 0;
    std::uint64_t malformed = 0, unknown_senders = 0, stale_incarnations = 0,
                  delayed = 0;  // datagrams thrown away, or late by over 1 s
    std::uint64_t process_pauses = 0, self_muted = 0;
};
struct VerdictSource {
    int owner = 0;
    std::uint32_t bad_zones = 0;
    int reporters = 0;
    double age = 0;
};
struct VerdictView {
    ServerKey server = 0;
    bool corroborated = false;  // here, for this node's zone
    double since = 0;
    std::vector<VerdictSource> sources;
};
struct GossipState {
    std::vector<std::pair<int, MemberState>> members;
    std::vector<double> ages;  // of the members, s
    std::vector<std::uint32_t> incarnations;
    std::vector<VerdictView> verdicts;
    std::size_t observations_held = 0;
    double oldest_observation = 0;
    bool doubts_own_connectivity = false;
    double bytes_per_second = 0;
    GossipCounters counts;
};

class OutlierExchange {
  public:
    // `start`: which life of this node it is, greater than any before; `now`, here and below, never goes
    // back.
    OutlierExchange(const GossipSettings& settings, std::uint32_t incarnation, std::uint64_t seed,
                    double now);

    void on_request(double now);  // a first try of a client's
    void on_attempt_finished(double now, ServerKey server, AttemptHealth health);  // a forward of this node's
    void on_zone_attempt_finished(double now, int zone, ServerKey server, ZoneAttempt outcome) {
        zone_failover_.on_attempt_finished(now, zone, server, outcome);
    }
    void set_zone_admin_state(double now, int zone, bool out) {
        zone_failover_.set_admin_state(now, zone, out);
    }
    void set_local_server_count(int servers) { servers_in_own_zone_ = servers; }  // that are listed there
    // From whom the address says that it is; -1: from no peer's.
    void on_datagram(double now, int from, std::string_view bytes);
    // To be called every kStep. `wall`: a clock that nodes may share, to agree whose turn it is to try, and
    // no more.
    std::vector<Outgoing> tick(double now, double wall);
    std::vector<Outgoing> tick(double now) { return tick(now, now); }
    static constexpr double kTickInterval = 0.125;

    struct ServerVerdict {
        ServerKey server = 0;
        bool bad = false;
        double probe_interval = 0;  // s between one node's trials, so that all nodes' together are few
    };
    // What stands, and once what no longer stands.
    std::vector<ServerVerdict> verdicts(double now);
    void set_quota_demand(double now, QuotaId quota, double units) {
        quota_leases_.set_demand(now, quota, units);
    }
    void reset_quota_leases(double now) { quota_leases_.reset(now); }
    std::uint32_t quota_share(QuotaId quota, double now) const { return quota_leases_.share(quota, now); }
    QuotaLeases::View quota_view(QuotaId quota, double now) const { return quota_leases_.view(quota, now); }
    std::vector<ZoneFailover::Change> zone_orders() {
        return std::exchange(pending_zone_changes_, {});
    }  // what changed since
    std::vector<ZoneFailover::View> zone_views(double now) const;
    GossipState state(double now) const;
    std::uint32_t incarnation() const { return incarnation_; }
    std::uint64_t process_pauses() const { return counters_.process_pauses; }

  private:
    struct LocalObservations {  // of one subject, in buckets of time used again in a ring
        static constexpr int kBuckets = 6;
        std::array<int, kBuckets> good{}, bad{};
        std::int64_t newest_bucket = 0;
        double last_reported = -1e9;   // when it last was
        bool has_new_failure = false;  // bad since then
        bool has_new_attempt = false;  // anything since then
    };
    struct PeerReport {  // one node's word on one subject: the newest by its stamp counts
        Stamp stamp;
        int zone = 0;
        int good = 0, bad = 0;
        double observed_at = 0;
    };
    struct ServerRecord {  // what this node keeps of a subject for all
        std::map<int, PeerReport> reports;
        std::uint32_t bad_zones = 0;  // found bad
        int reporters = 0;
        double last_stated = -1e9;
        double recovered_at = -1e9;  // when it was last found well again
        double suspected_at = -1e9, watched_since = -1e9;
    };
    struct VerdictStatement {  // a finding as one node passed it on
        int from = 0;
        Stamp stamp;
        std::uint32_t bad_zones = 0;
        int reporters = 0;
        double found_at = 0;
    };
    struct TrackedVerdict {  // a keeper's finding as it goes round
        Verdict verdict;
        double found_at = -1e9;
        bool is_confirmed =
            false;  // its keeper said so here, or two others that it did; else it only waits for that
        std::vector<VerdictStatement> statements;  // the newest, few
        int times_sent = 0;                        // times, by this node, since it changed
    };
    struct ActiveVerdict {
        double since = 0;
        double last_confirmed = -1e9;
    };

    bool detect_process_pause(double now);
    void advance_buckets(LocalObservations& observations, double now) const;
    static int sum(const std::array<int, LocalObservations::kBuckets>& buckets);
    bool most_servers_failing(double now);
    void store_observation(double now, int from, const Stamp& stamp, int zone, const Observation& observation,
                           double delay);
    void store_verdict(const Verdict& verdict, double found_at, int from);
    static void update_confirmed_verdict(TrackedVerdict& tracked);
    void update_all_verdicts(double now);
    void update_verdict(double now, ServerKey server, ServerRecord& record);
    bool is_found_by_other_owner(ServerKey server, int zone, double now) const;
    void refresh_present_nodes(double now);
    int required_reporters(int zone) const;
    double expected_attempts(double now) const;
    std::vector<int> rank_owners(ServerKey server) const;
    const std::vector<int>& cached_owners(ServerKey server, double now);
    bool is_corroborated(ServerKey server, double now);
    void send_reports(double now, std::vector<Outgoing>& out);
    void send_gossip(double now, std::vector<Outgoing>& out);
    void send_zone_reports(double now, double wall, std::vector<Outgoing>& out);
    void send_quota_messages(double now, std::vector<Outgoing>& out);
    Datagram make_datagram(int to, double now);
    bool send(int to, Datagram&& datagram, double& budget, std::vector<Outgoing>& out);
    double byte_rate_limit(double now) const;
    double request_rate(double now) const;
    double random_fraction() { return static_cast<double>(random_()) / 16777216.0; }

    GossipSettings settings_;
    std::uint32_t incarnation_;
    double started_at_;
    std::uint32_t last_sequence_ = 0;
    std::ranlux24_base random_;
    Membership members_;
    std::vector<int> present_nodes_;  // as of this step, this node among them
    std::array<int, kMaxZones> nodes_per_zone_{};
    std::map<ServerKey, LocalObservations> local_observations_;
    std::map<ServerKey, ServerRecord> server_records_;
    std::map<std::pair<ServerKey, int>, TrackedVerdict> tracked_verdicts_;
    std::map<ServerKey, ActiveVerdict> active_verdicts_;
    std::map<ServerKey, std::pair<double, std::vector<int>>> owner_cache_;  // as of some time
    int servers_in_own_zone_ = 0;
    double last_tick_ = 0, doubts_until_ = -1e9, last_gossip_ = -1e9, budgets_filled_at_ = 0;
    double report_budget_ = 0, gossip_budget_ = 0, extra_budget_ = 0, last_zone_report_ = -1e9;
    ZoneFailover zone_failover_;
    QuotaLeases quota_leases_;
    std::map<int, std::vector<LeaseGrant>> pending_grants_;  // to whom
    std::vector<int> voters_;  // whose word on zones counts here, as of this step
    std::vector<ZoneFailover::Change> pending_zone_changes_;
    std::array<int, 8> arrivals_{};  // a second
    std::int64_t newest_arrival_second_ = 0;
    GossipCounters counters_;
};

}  // namespace brookrelay::gossip
