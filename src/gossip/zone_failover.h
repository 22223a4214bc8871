// Whether a zone is in use by the nodes of this one's zone: left by them as one when nothing there answers,
// tried by a few for all, and taken back in steps that all go together. It owns, for each zone, what this
// node saw and what others said lately; no I/O, no chance, no clock but the `now` it is given. It never
// leaves a zone of which this node had an answer just now, and never on the word of fewer nodes than it
// states.
//
// docs/zones.md has the table of states, the ways weighed and the bounds with their runs.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <vector>

#include "gossip/messages.h"

namespace brookrelay::gossip {

enum class ZoneAttempt {
    healthy,
    strained,
    silent
};  // of a forward: strained is an answer too, only slow or none to use
enum class ZoneState { healthy, suspect, drained, probing, recovering };

class ZoneFailover {
  public:
    struct Settings {
        int node_index = 0;
        int zone = 0;
        int zone_count = 1;
        double slow_start_duration = 0;         // s that a cold cache takes: the steps back take as long
        std::vector<int> failure_domains = {};  // of each zone; empty: each is one by itself
    };
    // What the decision module is told where it changed.
    struct Change {
        int zone = 0;
        double weight = 1;          // of the keys that may go there; 0: left
        double probe_interval = 0;  // s between this node's trials of a left one
    };
    struct View {  // for operators
        ZoneState state = ZoneState::healthy;
        bool set_by_operator = false;
        double weight = 1, since = 0;  // s that it has been so
        int unreachable = 0, reachable = 0, strained = 0, reporters = 0, quorum = 0, relapses = 0;
        std::vector<int> unreachable_reporters;  // nodes
    };

    ZoneFailover(Settings settings, double now);

    void on_attempt_finished(double now, int zone, ServerKey server, ZoneAttempt outcome);
    void on_reports(double now, int from, const Stamp& stamp, const std::vector<ZoneReport>& reports,
                    double delay);
    void on_new_incarnation(int node);
    void on_process_pause(double now);
    void set_admin_state(double now, int zone, bool drain);
    // `voters`: the nodes there whose word counts here, this one among them. `turn`: whose turn it is to try,
    // the same at all nodes whose clocks agree; where they do not, others try, and as many.
    std::vector<Change> tick(double now, const std::vector<int>& voters, std::int64_t turn);

    std::vector<ZoneReport> reports(
        double now) const;  // what is not as usual, and what answers doubts of others
    int urgent_reports() const { return urgent_reports_; }  // datagrams that do not wait
    void on_report_sent() { urgent_reports_ -= urgent_reports_ > 0; }
    bool has_unhealthy_zone(double now) const { return !reports(now).empty(); }
    std::vector<int> replies_due();  // to whom an answer is due, once
    View view(double now, int zone, const std::vector<int>& voters) const;
    static double probe_turn_length();  // s

  private:
    struct PeerReport {
        Stamp stamp;
        ZoneObservation observation = ZoneObservation::nothing;
        int step = kStepHealthy;
        int relapses = 0;
        double observed_at = -1e9;
    };
    struct ZoneRecord {                                    // from this node's zone to that
        double last_answer = -1e9, last_silence = -1e9;    // when an ending there last was so
        std::array<ServerKey, 2> silent_servers{};         // the first since the last answer
        int silent_count = 0, silent_run = 0;              // of them, and of endings
        double baseline_silent = 0, baseline_answers = 4;  // before that run, the newest twenty or so
        bool was_unreachable = false, was_answered = false;
        std::array<std::array<int, 3>, 4> outcomes{};  // by kind, in buckets of a quarter of a second
        std::int64_t newest_bucket = 0;
        std::map<int, PeerReport> reports;
        int step = kStepHealthy;
        double step_since = 0;  // when the step was taken
        double drained_at = -1e9;
        double answers_since = -1e9;  // of trials; -1e9: none
        int relapses = 0;             // back again, or down a step, lately
        bool set_by_operator = false;
        double last_doubt = -1e9;
        Change last_change;
    };
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
