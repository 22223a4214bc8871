// Zone failover as the nodes of one zone agree on it: they drain a zone together when nothing there answers,
// a few of them probe it for all, and they restore it in steps that all take together. Holds, for each zone,
// what this node observed and what peers reported recently. Performs no I/O, uses no randomness, and no clock
// but the `now` it is given. It never drains a zone from which this node had an answer just now, and never on
// the reports of fewer nodes than the quorum that it shows.
//
// docs/zones.md has the state table, the alternatives considered, and the bounds with the runs that measured
// them.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <vector>

#include "gossip/messages.h"

namespace brookrelay::gossip {

// What the outcome of an attempt says of the zone. `strained` is an answer too, but a slow or unusable one.
enum class ZoneAttempt { healthy, strained, silent };
enum class ZoneState { healthy, suspect, drained, probing, recovering };

class ZoneFailover {
  public:
    struct Settings {
        int node_index = 0;
        int zone = 0;
        int zone_count = 1;
        // s that a cold cache needs; a step of a restore takes an eighth of it, at least kMinStepDuration,
        // before step_duration() adjusts it to a short drain and to relapses
        double slow_start_duration = 0;
        std::vector<int> failure_domains = {};  // by zone; empty: every zone is one of its own
    };
    // A change of which the balancer is notified.
    struct Change {
        int zone = 0;
        double weight = 1;          // fraction of the zone's keys that may go there; 0: drained
        double probe_interval = 0;  // s between this node's probes of a drained zone
    };
    struct View {  // for operators
        ZoneState state = ZoneState::healthy;
        bool set_by_operator = false;
        double weight = 1, since = 0;  // since: s since the last step
        int unreachable = 0, reachable = 0, strained = 0, reporters = 0, quorum = 0, relapses = 0;
        std::vector<int> unreachable_reporters;  // node numbers
    };

    ZoneFailover(Settings settings, double now);

    void on_attempt_finished(double now, int zone, ServerKey server, ZoneAttempt outcome);
    void on_reports(double now, int from, const Stamp& stamp, const std::vector<ZoneReport>& reports,
                    double delay);
    void on_new_incarnation(int node);
    void on_process_pause(double now);
    void set_admin_state(double now, int zone, bool drain);
    // `voters`: the present nodes whose reports count here, including this one. `turn` selects the nodes that
    // probe and is the same at all nodes whose clocks agree; where clocks differ, other nodes probe, but as
    // many.
    std::vector<Change> tick(double now, const std::vector<int>& voters, std::int64_t turn);

    // Reports on all zones that are not healthy, and on those that peers recently reported as such.
    std::vector<ZoneReport> reports(double now) const;
    int urgent_reports() const { return urgent_reports_; }  // datagrams to send without waiting
    void on_report_sent() { urgent_reports_ -= urgent_reports_ > 0; }
    bool has_unhealthy_zone(double now) const { return !reports(now).empty(); }
    // Returns, once each, the nodes that this node must send its differing report to.
    std::vector<int> replies_due();
    View view(double now, int zone, const std::vector<int>& voters) const;
    static double probe_turn_length();  // s

  private:
    // One node's last report on a zone.
    struct PeerReport {
        Stamp stamp;
        ZoneObservation observation = ZoneObservation::nothing;
        int step = kStepHealthy;
        int relapses = 0;
        double observed_at = -1e9;
    };
    // One zone as seen from this node's zone.
    struct ZoneRecord {
        double last_answer = -1e9, last_silence = -1e9;  // when an attempt there last ended so
        std::array<ServerKey, 2> silent_servers{};       // the first ones since the last answer
        // Number of entries in silent_servers, and of consecutive attempts without an answer.
        int silent_count = 0, silent_run = 0;
        // Attempts without and with an answer before the current run, decaying over about the last twenty.
        double baseline_silent = 0, baseline_answers = 4;
        bool was_unreachable = false, was_answered = false;
        std::array<std::array<int, 3>, 4> outcomes{};  // by ZoneAttempt, in buckets of kBucketSeconds
        std::int64_t newest_bucket = 0;
        std::map<int, PeerReport> reports;  // by node
        int step = kStepHealthy;
        double step_since = 0;
        double drained_at = -1e9;
        double answers_since = -1e9;  // start of the period in which probes are answered; -1e9: none
        int relapses = 0;             // recent drains and steps back during a restore
        bool set_by_operator = false;
        double last_doubt = -1e9;  // when a peer last reported the zone as not healthy
        Change last_change;
    };
    // Counts of the voters' current reports, this node's observation included where it has one.
    struct Tally {
        int unreachable = 0, reachable = 0, strained = 0, reporters = 0, at_or_above = 0, above = 0,
            below_healthy = 0, restored = 0;
        std::vector<int> steps, relapses;
    };

    ZoneRecord& record_of(int zone) { return records_[static_cast<std::size_t>(zone)]; }
    const ZoneRecord& record_of(int zone) const { return records_[static_cast<std::size_t>(zone)]; }
    static void advance_buckets(ZoneRecord& record, double now);
    static int count_outcomes(const ZoneRecord& record, ZoneAttempt outcome, double now);
    bool is_every_zone_silent(double now) const;
    bool is_strained_relative_to_others(int zone, double now) const;
    ZoneObservation observe(int zone, double now) const;
    Tally tally(int zone, double now, const std::vector<int>& voters) const;
    int quorum(int zone, std::size_t voters, double now) const;
    bool should_drain(int zone, const Tally& votes, std::size_t voters, double now) const;
    bool should_restore(ZoneRecord& record, const Tally& votes, std::size_t voters, double now) const;
    bool may_advance(int zone, const Tally& votes, double now) const;
    double step_duration(const ZoneRecord& record) const;
    void enter_step(int zone, int step, double now);
    void update_step(int zone, const std::vector<int>& voters, double now);
    bool is_prober(int zone, const std::vector<int>& voters, std::int64_t turn) const;

    Settings settings_;
    std::vector<ZoneRecord> records_;
    std::map<int, double> last_reply_;
    std::vector<int> pending_replies_;
    double started_at_;
    int urgent_reports_ = 0;
};

}  // namespace brookrelay::gossip
