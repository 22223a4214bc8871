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

    ZoneFailover(Settings terms, double now);

    void on_attempt_finished(double now, int zone, ServerKey subject, ZoneAttempt end);
    void on_reports(double now, int from, const Stamp& stamp, const std::vector<ZoneReport>& voices,
                    double late);
    void on_new_incarnation(int node);
    void on_process_pause(double now);
    void set_admin_state(double now, int zone, bool out);
    // `voters`: the nodes there whose word counts here, this one among them. `turn`: whose turn it is to try,
    // the same at all nodes whose clocks agree; where they do not, others try, and as many.
    std::vector<Change> tick(double now, const std::vector<int>& voters, std::int64_t turn);

    std::vector<ZoneReport> reports(
        double now) const;                        // what is not as usual, and what answers doubts of others
    int urgent_reports() const { return news_; }  // datagrams that do not wait
    void on_report_sent() { news_ -= news_ > 0; }
    bool has_unhealthy_zone(double now) const { return !reports(now).empty(); }
    std::vector<int> replies_due();  // to whom an answer is due, once
    View view(double now, int zone, const std::vector<int>& voters) const;
    static double probe_turn_length();  // s

  private:
    struct Cell {
        Stamp stamp;
        ZoneObservation sight = ZoneObservation::nothing;
        int step = kStepHealthy;
        int falls = 0;
        double born = -1e9;
    };
    struct Pair {                                    // from this node's zone to that
        double answered = -1e9, silent = -1e9;       // when an ending there last was so
        std::array<ServerKey, 2> silent_at{};        // the first since the last answer
        int silent_count = 0, run = 0;               // of them, and of endings
        double usual_silent = 0, usual_answers = 4;  // before that run, the newest twenty or so
        bool was_lost = false, was_answered = false;
        std::array<std::array<int, 3>, 4> ends{};  // by kind, in buckets of a quarter of a second
        std::int64_t turn = 0;
        std::map<int, Cell> said;
        int step = kStepHealthy;
        double since = 0;  // when the step was taken
        double left_at = -1e9;
        double answers_since = -1e9;  // of trials; -1e9: none
        int falls = 0;                // back again, or down a step, lately
        bool hand = false;
        double doubted_by_others = -1e9;
        Change told;
    };
    struct Tally {
        int lost = 0, answers = 0, strained = 0, heard = 0, at_least = 0, further = 0, below = 0, taken = 0;
        std::vector<int> steps, falls;
    };

    Pair& pair(int zone) { return pairs_[static_cast<std::size_t>(zone)]; }
    const Pair& pair(int zone) const { return pairs_[static_cast<std::size_t>(zone)]; }
    static void turn(Pair& p, double now);
    static int sum(const Pair& p, ZoneAttempt end, double now);
    bool all_silent(double now) const;
    bool relatively_strained(int zone, double now) const;
    ZoneObservation sight(int zone, double now) const;
    Tally tally(int zone, double now, const std::vector<int>& voters) const;
    int needed(int zone, std::size_t voters, double now) const;
    bool leaves(int zone, const Tally& t, std::size_t voters, double now) const;
    bool returns(Pair& p, const Tally& t, std::size_t voters, double now) const;
    bool advances(int zone, const Tally& t, double now) const;
    double step_time(const Pair& p) const;
    void enter(int zone, int step, double now);
    void move(int zone, const std::vector<int>& voters, double now);
    bool tries(int zone, const std::vector<int>& voters, std::int64_t turn) const;

    Settings terms_;
    std::vector<Pair> pairs_;
    std::map<int, double> answered_to_;
    std::vector<int> owed_;
    double began_;
    int news_ = 0;
};

}  // namespace brookrelay::gossip
