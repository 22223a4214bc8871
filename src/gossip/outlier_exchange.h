// Cross-node outlier detection as one node runs it: the attempts this node observed, the reports of other
// nodes on the servers whose verdicts it owns, the verdicts that all nodes exchange, and which of them are
// corroborated here. Every entry carries an age and expires once it exceeds its lifetime. Performs no I/O: it
// is given attempt outcomes, datagrams and the time, and returns datagrams and verdicts. It never reports as
// its own observation what it received from a peer, and a verdict is evidence for the balancer, never an
// instruction.
//
// docs/fleet.md describes the design, the alternatives considered, and every bound with the runs that
// measured it.
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

constexpr double kObservationWindow = 3.0;    // s of a node's own finished attempts that its reports cover
constexpr double kObservationLifetime = 5.0;  // s that a verdict's owner keeps a report that is not repeated
constexpr double kVerdictLifetime = 8.0;      // s that a verdict counts after its owner reached it
// Maximum age, in seconds, of the evidence behind a verdict, provided that every datagram travels as fast as
// the fastest one of its sender.
constexpr double kMaxEvidenceAge = kObservationWindow + kObservationLifetime + kVerdictLifetime;

struct GossipSettings {
    int node_index = 0;
    int node_count = 1;
    int zone = 0;
    int zone_count = 1;
    double max_bytes_per_second = 1024;     // that this node sends
    double price = 0;                       // of 256 bytes per first attempt, in units of G
    double max_price_ratio = 0.004;         // fraction of G that gossip may cost
    bool zone_failover = false;             // whether nodes drain and restore zones together
    double slow_start_duration = 0;         // s that a server with a cold cache needs
    std::vector<int> failure_domains = {};  // by zone; empty: every zone is a domain of its own
};

enum class AttemptHealth { good, bad };
// Classifies the server by the outcome of an attempt; nullopt if the outcome only indicates load or does not
// depend on the server.
std::optional<AttemptHealth> classify_attempt(AttemptOutcome outcome, double duration,
                                              double latency_objective);
// Classifies the zone of the server by the same outcome: any answer, even an error, shows that the zone is
// reachable.
std::optional<ZoneAttempt> classify_zone_attempt(AttemptOutcome outcome, double duration,
                                                 double latency_objective);
// Seconds without an answer after which an attempt counts as bad before it has finished.
double overdue_after(double latency_objective);

struct Outgoing {
    int to = 0;
    std::string bytes;
};

// Counters since the start of the process, for operators.
struct GossipCounters {
    std::uint64_t sent = 0, sent_bytes = 0, received = 0;
    std::uint64_t malformed = 0, unknown_senders = 0, stale_incarnations = 0,  // discarded datagrams
        delayed = 0;  // accepted datagrams that were delayed by over 1 s
    std::uint64_t process_pauses = 0, self_muted = 0;
};
// One owner's verdict on a server, for operators.
struct VerdictSource {
    int owner = 0;
    std::uint32_t bad_zones = 0;
    int reporters = 0;
    double age = 0;  // s
};
// One server's verdicts as this node holds them, for operators.
struct VerdictView {
    ServerKey server = 0;
    bool corroborated = false;  // enough owners agree for this node's zone
    double since = 0;           // s for which it has been corroborated
    std::vector<VerdictSource> sources;
};
// Current state, for operators.
struct GossipState {
    std::vector<std::pair<int, MemberState>> members;
    std::vector<double> ages;  // s since each member was last known to be alive
    std::vector<std::uint32_t> incarnations;
    std::vector<VerdictView> verdicts;
    std::size_t observations_held = 0;
    double oldest_observation = 0;  // age in s
    bool doubts_own_connectivity = false;
    double bytes_per_second = 0;
    GossipCounters counts;
};

class OutlierExchange {
  public:
    // `incarnation` is greater than that of any earlier process of this node. `now`, here and below, is a
    // monotonic time in seconds.
    OutlierExchange(const GossipSettings& settings, std::uint32_t incarnation, std::uint64_t seed,
                    double now);

    void on_request(double now);  // a client request arrived and gets its first attempt
    void on_attempt_finished(double now, ServerKey server, AttemptHealth health);
    void on_zone_attempt_finished(double now, int zone, ServerKey server, ZoneAttempt outcome) {
        zone_failover_.on_attempt_finished(now, zone, server, outcome);
    }
    void set_zone_admin_state(double now, int zone, bool drain) {
        zone_failover_.set_admin_state(now, zone, drain);
    }
    // Number of servers that are listed in this node's zone.
    void set_local_server_count(int servers) { servers_in_own_zone_ = servers; }
    // `from`: the peer that the source address belongs to, or -1 for any other address.
    void on_datagram(double now, int from, std::string_view bytes);
    // Must be called every kTickInterval seconds. `wall` is a clock that nodes may share; it only selects the
    // nodes whose turn it is to probe a drained zone.
    std::vector<Outgoing> tick(double now, double wall);
    std::vector<Outgoing> tick(double now) { return tick(now, now); }
    static constexpr double kTickInterval = 0.125;  // s

    struct ServerVerdict {
        ServerKey server = 0;
        bool bad = false;
        double probe_interval = 0;  // s between probes of one node; keeps the rate of all nodes together low
    };
    // All corroborated verdicts, and once each verdict that no longer is.
    std::vector<ServerVerdict> verdicts(double now);
    void set_quota_demand(double now, QuotaId quota, double units) {
        quota_leases_.set_demand(now, quota, units);
    }
    void reset_quota_leases(double now) { quota_leases_.reset(now); }
    std::uint32_t quota_share(QuotaId quota, double now) const { return quota_leases_.share(quota, now); }
    QuotaLeases::View quota_view(QuotaId quota, double now) const { return quota_leases_.view(quota, now); }
    // Returns the changes since the last call.
    std::vector<ZoneFailover::Change> take_zone_changes() { return std::exchange(pending_zone_changes_, {}); }
    std::vector<ZoneFailover::View> zone_views(double now) const;
    GossipState state(double now) const;
    std::uint32_t incarnation() const { return incarnation_; }
    std::uint64_t process_pauses() const { return counters_.process_pauses; }

  private:
    // This node's own finished attempts on one server, in a ring of time buckets.
    struct LocalObservations {
        static constexpr int kBuckets = 6;
        std::array<int, kBuckets> good{}, bad{};
        std::int64_t newest_bucket = 0;
        double last_reported = -1e9;
        bool has_new_failure = false;  // since the last report
        bool has_new_attempt = false;  // since the last report
    };
    // One node's report on one server: the one with the newest stamp counts.
    struct PeerReport {
        Stamp stamp;
        int zone = 0;
        int good = 0, bad = 0;
        double observed_at = 0;
    };
    // All reports on one server that this node collects as an owner, and its verdict from them.
    struct ServerRecord {
        std::map<int, PeerReport> reports;  // by node
        std::uint32_t bad_zones = 0;        // a bit for each zone whose nodes find the server bad
        int reporters = 0;
        double last_stated = -1e9;
        double recovered_at = -1e9;  // when the server was last found healthy again
        double suspected_at = -1e9, watched_since = -1e9;
    };
    // A verdict as one node sent it to this one.
    struct VerdictStatement {
        int from = 0;
        Stamp stamp;
        std::uint32_t bad_zones = 0;
        int reporters = 0;
        double found_at = 0;
    };
    // One owner's verdict on one server, and the statements it was derived from.
    struct TrackedVerdict {
        Verdict verdict;
        double found_at = -1e9;
        // Set if the owner itself, or two other nodes, stated the verdict here; until then it neither counts
        // nor is relayed.
        bool is_confirmed = false;
        std::vector<VerdictStatement> statements;  // newest first
        int times_sent = 0;                        // by this node since the verdict last changed
    };
    // A verdict that is corroborated at this node.
    struct ActiveVerdict {
        double since = 0;
        double last_corroborated = -1e9;  // time of the last tick in which it was corroborated
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
    std::vector<int> present_nodes_;  // as of the last tick; includes this node
    std::array<int, kMaxZones> nodes_per_zone_{};
    std::map<ServerKey, LocalObservations> local_observations_;
    std::map<ServerKey, ServerRecord> server_records_;
    std::map<std::pair<ServerKey, int>, TrackedVerdict> tracked_verdicts_;
    std::map<ServerKey, ActiveVerdict> active_verdicts_;
    std::map<ServerKey, std::pair<double, std::vector<int>>> owner_cache_;  // with the time of ranking
    int servers_in_own_zone_ = 0;
    double last_tick_ = 0, doubts_until_ = -1e9, last_gossip_ = -1e9, budgets_filled_at_ = 0;
    double report_budget_ = 0, gossip_budget_ = 0, extra_budget_ = 0, last_zone_report_ = -1e9;
    ZoneFailover zone_failover_;
    QuotaLeases quota_leases_;
    std::map<int, std::vector<LeaseGrant>> pending_grants_;  // by receiver
    std::vector<int> voters_;  // nodes whose zone reports count here, as of the last tick
    std::vector<ZoneFailover::Change> pending_zone_changes_;
    std::array<int, 8> arrivals_{};  // client requests in each of the last 8 seconds
    std::int64_t newest_arrival_second_ = 0;
    GossipCounters counters_;
};

}  // namespace brookrelay::gossip
