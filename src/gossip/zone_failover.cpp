#include "gossip/zone_failover.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "util/splitmix64.h"

namespace brookrelay::gossip {
namespace {

constexpr double kReportLifetime = 3.0;  // s for which a peer's report counts
// Seconds for which an answer counts; the node does not drain the zone meanwhile, unless it observes the zone
// unreachable itself.
constexpr double kAnswerLifetime = 1.0;
// Seconds for which an answer counts in a drained zone, where probes are seconds apart and few servers may
// answer.
constexpr double kProbeAnswerLifetime = 6.0;
// Seconds without an answer before a node reports a zone unreachable; longer in proportion as the zone gets
// less traffic, up to kMaxSilence.
constexpr double kMinSilence = 0.3;
constexpr double kMaxSilence = 3.0;
// Different servers that must be silent in a row, without an answer between.
constexpr int kMinSilentServers = 2;
// The run must be so long that, with the baseline rate of silent attempts, it happens by chance with a lower
// probability than this.
constexpr double kSilenceProbability = 0.01;
constexpr double kBaselineDecay = 0.95;  // factor on the baseline for each further attempt
// A run adds at most this many silent attempts to the baseline: a longer one is an outage, not the usual
// rate.
constexpr int kMaxRunInBaseline = 4;
constexpr double kSilenceLifetime = 3.0;  // s for which a silent run counts
// Voters that must report a zone unreachable: at least kMinQuorum, or all where there are fewer, and more
// than kQuorumRatio of them.
constexpr int kMinQuorum = 3;
constexpr double kQuorumRatio = 0.05;
// The ratio if this node has made no attempt there recently: larger than the share of nodes that may lie.
constexpr double kBlindQuorumRatio = 0.25;
// Voters needed if another zone of the failure domain is drained already.
constexpr int kFailureDomainQuorum = 2;
// Unreachable reports must exceed this multiple of those with an answer.
constexpr int kUnreachableMajority = 3;
constexpr int kMinAnsweredProbers = 2;  // nodes whose probes must be answered for a restore to begin
constexpr int kProbersPerZone = 2;      // nodes of a zone that probe a drained one at a time
constexpr double kProbeInterval = 1.0;  // s between the probes of one of them
// Seconds after which other nodes probe, so that a dead prober costs one turn.
constexpr double kProbeTurnSeconds = 2.0;
constexpr double kNoProbeInterval = 1e6;  // s; for nodes that do not probe in this turn
constexpr double kMinStepDuration = 0.5;  // s of a step of a restore
// Seconds; servers of a zone drained for less have kept their contents, so its steps take half as long.
constexpr double kShortDrain = 3.0;
constexpr double kRelapsePause =
    0.5;  // s of answered probes before a restore after relapses, times 2 for each of them
constexpr int kMaxRelapses = 4;          // that count for the pause
constexpr int kMaxSlowdownRelapses = 2;  // that double the duration of a step
constexpr double kRelapseMemory = 30.0;  // s of full use after which relapses are forgotten
// A zone is strained if at least kStrainedRatio of the attempts there go wrong, and kStrainedMultiple times
// as large a part as elsewhere: where all zones are strained, none is worse.
constexpr double kStrainedRatio = 0.5;
constexpr double kStrainedMultiple = 2.0;
constexpr int kMinStrainedAttempts = 4;  // attempts within a second that are needed to tell
// More than one strained report in this many holds the restore, or takes it back a step.
constexpr int kStrainedReportersDivisor = 3;
constexpr double kStartupPeriod = 5.0;   // s after a start in which a node adopts the step of its peers
constexpr int kMinStartupReports = 2;    // reports that suffice for it; it errs on the side of caution
constexpr int kProbeAnswerReports = 48;  // urgent datagrams after an answered probe
constexpr int kChangeReports = 16;       // urgent datagrams after any other change
constexpr double kReplyInterval = 1.0;   // s between replies to one node
constexpr double kDoubtLifetime = 2.0;  // s for which a peer's doubt is answered with this node's observation
constexpr double kBucketSeconds = 0.25;

// Fraction of a zone's keys that may go there at a step.
double weight_of(int step) { return step <= kStepDrained ? 0 : std::exp2(step - kStepHealthy); }

}  // namespace

double ZoneFailover::probe_turn_length() { return kProbeTurnSeconds; }

ZoneFailover::ZoneFailover(Settings settings, double now)
    : settings_(std::move(settings)),
      records_(static_cast<std::size_t>(std::clamp(settings_.zone_count, 1, kMaxZones))),
      started_at_(now),
      urgent_reports_(kChangeReports) {
    for (ZoneRecord& record : records_) record.step_since = now;
}

// ---- local observations --------------------------------------------------------------------------------

void ZoneFailover::advance_buckets(ZoneRecord& record, double now) {
    const auto bucket = static_cast<std::int64_t>(now / kBucketSeconds);
    const auto count = static_cast<std::int64_t>(record.outcomes.size());
    for (std::int64_t expired = std::max(record.newest_bucket + 1, bucket - count + 1); expired <= bucket;
         ++expired)
        record.outcomes[static_cast<std::size_t>(expired % count)].fill(0);
    record.newest_bucket = std::max(record.newest_bucket, bucket);
}

int ZoneFailover::count_outcomes(const ZoneRecord& record, ZoneAttempt outcome, double now) {
    int total = 0;
    const auto oldest =
        static_cast<std::int64_t>(now / kBucketSeconds) - static_cast<std::int64_t>(record.outcomes.size());
    for (std::size_t age = 0; age < record.outcomes.size(); ++age) {
        const std::int64_t bucket = record.newest_bucket - static_cast<std::int64_t>(age);
        if (bucket > oldest && bucket >= 0)
            total += record.outcomes[static_cast<std::size_t>(bucket) % record.outcomes.size()]
                                    [static_cast<std::size_t>(outcome)];
    }
    return total;
}

void ZoneFailover::on_attempt_finished(double now, int zone, ServerKey server, ZoneAttempt outcome) {
    if (zone < 0 || zone >= static_cast<int>(records_.size())) return;
    ZoneRecord& record = record_of(zone);
    advance_buckets(record, now);
    ++record.outcomes[static_cast<std::size_t>(record.newest_bucket) % record.outcomes.size()]
                     [static_cast<std::size_t>(outcome)];
    if (outcome != ZoneAttempt::silent) {
        const double decay = std::pow(kBaselineDecay, record.silent_run + 1);
        record.baseline_silent =
            record.baseline_silent * decay + std::min(record.silent_run, kMaxRunInBaseline);
        record.baseline_answers = record.baseline_answers * decay + 1;
        record.last_answer = now;
        record.silent_count = record.silent_run = 0;
        return;
    }
    record.last_silence = now;
    ++record.silent_run;
    const auto last = record.silent_servers.begin() + record.silent_count;
    if (record.silent_count < kMinSilentServers &&
        std::find(record.silent_servers.begin(), last, server) == last) {
        record.silent_servers[static_cast<std::size_t>(record.silent_count++)] = server;
    }
}

// If every zone with recent attempts is silent, this node's own connectivity is at fault.
bool ZoneFailover::is_every_zone_silent(double now) const {
    int asked = 0, silent = 0;
    for (const ZoneRecord& record : records_) {
        if (now - std::max(record.last_answer, record.last_silence) > kSilenceLifetime) continue;
        ++asked;
        if (record.silent_count > 0) ++silent;
    }
    return asked > 1 && asked == silent;
}

bool ZoneFailover::is_strained_relative_to_others(int zone, double now) const {
    double attempts_here = 0, bad_here = 0, attempts_elsewhere = 0, bad_elsewhere = 0;
    for (std::size_t z = 0; z < records_.size(); ++z) {
        const int bad = count_outcomes(records_[z], ZoneAttempt::strained, now) +
                        count_outcomes(records_[z], ZoneAttempt::silent, now);
        const int attempts = bad + count_outcomes(records_[z], ZoneAttempt::healthy, now);
        (static_cast<int>(z) == zone ? attempts_here : attempts_elsewhere) += attempts;
        (static_cast<int>(z) == zone ? bad_here : bad_elsewhere) += bad;
    }
    if (attempts_here < kMinStrainedAttempts || bad_here < kStrainedRatio * attempts_here) return false;
    return attempts_elsewhere < kMinStrainedAttempts ||
           bad_here / attempts_here >= kStrainedMultiple * bad_elsewhere / attempts_elsewhere;
}

ZoneObservation ZoneFailover::observe(int zone, double now) const {
    const ZoneRecord& record = record_of(zone);
    // If few of a zone's servers answer, probes of the drained zone seldom meet one, so any answer takes
    // precedence.
    if (record.step == kStepDrained && record.last_answer > record.step_since &&
        now - record.last_answer <= kProbeAnswerLifetime)
        return ZoneObservation::reachable;
    const double silent_probability =
        (record.baseline_silent + 0.25) / (record.baseline_silent + record.baseline_answers + 1);
    // The silence must last longer where a zone gets less traffic. If a few servers there still answer, some
    // voters had an answer just now and object.
    const double min_silence =
        record.step == kStepDrained ? 0 : std::min(kMinSilence / weight_of(record.step), kMaxSilence);
    const bool is_silent_run = record.silent_count >= kMinSilentServers &&
                               std::pow(silent_probability, record.silent_run) < kSilenceProbability;
    if (is_silent_run && now - record.last_answer > min_silence &&
        now - record.last_silence <= kSilenceLifetime)
        return is_every_zone_silent(now) ? ZoneObservation::nothing : ZoneObservation::unreachable;
    if (now - record.last_answer > kAnswerLifetime) return ZoneObservation::nothing;
    return is_strained_relative_to_others(zone, now) ? ZoneObservation::strained : ZoneObservation::reachable;
}

// ---- received reports ----------------------------------------------------------------------------------

// Counts only what a node reports itself, never what others relay: a lying node has one vote, its own.
void ZoneFailover::on_reports(double now, int from, const Stamp& stamp,
                              const std::vector<ZoneReport>& reports, double delay) {
    if (delay > kReportLifetime) return;
    std::vector<bool> is_reported(records_.size());
    bool differs = false;
    for (const ZoneReport& report : reports) {
        if (report.zone < 0 || report.zone >= static_cast<int>(records_.size())) continue;
        is_reported[static_cast<std::size_t>(report.zone)] = true;
        ZoneRecord& record = record_of(report.zone);
        PeerReport& stored = record.reports[from];
        if (stamp <= stored.stamp) continue;
        stored = {stamp, report.observation, report.step, report.relapses, now - delay};
        const bool has_doubt =
            report.observation == ZoneObservation::unreachable || report.step < kStepHealthy;
        if (has_doubt) record.last_doubt = now;
        // A node with a different observation or step must say so, or the doubting node would only hear
        // others that doubt.
        const ZoneObservation own = observe(report.zone, now);
        differs = differs || (has_doubt && (record.step != report.step || own == ZoneObservation::reachable ||
                                            own == ZoneObservation::strained));
    }
    // A zone that the sender no longer reports is healthy there.
    for (std::size_t z = 0; z < records_.size(); ++z) {
        const auto stored = records_[z].reports.find(from);
        // A node that has just started or resumed uses a zone in full while its peers restore it in steps; it
        // gets a reply.
        differs =
            differs || (!is_reported[z] && records_[z].step < kStepHealthy && !records_[z].set_by_operator);
        if (is_reported[z] || stored == records_[z].reports.end() || stamp <= stored->second.stamp) continue;
        stored->second = {stamp, ZoneObservation::nothing, kStepHealthy, 0, now - delay};
    }
    if (!differs || std::count(pending_replies_.begin(), pending_replies_.end(), from) > 0) return;
    const auto [reply, is_first] = last_reply_.try_emplace(from, -1e9);
    if (now - reply->second < kReplyInterval) return;
    reply->second = now;
    pending_replies_.push_back(from);
}

std::vector<int> ZoneFailover::replies_due() { return std::exchange(pending_replies_, {}); }

void ZoneFailover::on_new_incarnation(int node) {
    for (ZoneRecord& record : records_) record.reports.erase(node);
}

// After a pause the peers' reports are outdated, and this node's own observations may be caused by the pause;
// it starts over as after a restart. A drained zone stays drained, which is the more cautious choice.
void ZoneFailover::on_process_pause(double now) {
    for (ZoneRecord& record : records_) {
        record.reports.clear();
        record.last_answer = record.last_silence = -1e9;
        record.silent_count = record.silent_run = 0;
        record.outcomes = {};
        record.answers_since = -1e9;
    }
    started_at_ = now;
    urgent_reports_ = kChangeReports;
}

ZoneFailover::Tally ZoneFailover::tally(int zone, double now, const std::vector<int>& voters) const {
    const ZoneRecord& record = record_of(zone);
    Tally result;
    const auto count = [&](ZoneObservation reported, int step, double observed_at) {
        // An answer from before this node drained the zone says nothing of its present state.
        const bool is_outdated = record.step == kStepDrained && reported != ZoneObservation::unreachable &&
                                 observed_at <= record.step_since + kAnswerLifetime;
        const ZoneObservation observation = is_outdated ? ZoneObservation::nothing : reported;
        result.unreachable += observation == ZoneObservation::unreachable;
        result.reachable += observation == ZoneObservation::reachable;
        result.strained += observation == ZoneObservation::strained;
        result.at_or_above += step >= record.step;
        result.above += step > record.step;
        result.below_healthy += step < kStepHealthy;
        result.restored += step > kStepDrained && observation == ZoneObservation::reachable;
        result.steps.push_back(step);
    };
    for (const int voter : voters) {
        const auto report = record.reports.find(voter);
        if (voter == settings_.node_index || report == record.reports.end() ||
            now - report->second.observed_at > kReportLifetime)
            continue;
        ++result.reporters;
        count(report->second.observation, report->second.step, report->second.observed_at);
        result.relapses.push_back(report->second.relapses);
    }
    std::sort(result.steps.begin(), result.steps.end());
    std::sort(result.relapses.begin(), result.relapses.end());
    const ZoneObservation own = observe(zone, now);
    result.unreachable += own == ZoneObservation::unreachable;
    result.reachable += own == ZoneObservation::reachable;
    result.strained += own == ZoneObservation::strained;
    return result;
}

// ---- state transitions ---------------------------------------------------------------------------------

int ZoneFailover::quorum(int zone, std::size_t voters, double now) const {
    const ZoneRecord& record = record_of(zone);
    const int max_quorum = static_cast<int>(voters);
    const bool is_blind = now - std::max(record.last_silence, record.last_answer) > kSilenceLifetime;
    const double ratio = is_blind ? kBlindQuorumRatio : kQuorumRatio;
    const int required = std::max(kMinQuorum, static_cast<int>(std::floor(ratio * max_quorum)) + 1);
    for (std::size_t z = 0; z < records_.size() && z < settings_.failure_domains.size(); ++z) {
        const bool is_same_domain =
            static_cast<int>(z) != zone &&
            settings_.failure_domains[z] == settings_.failure_domains[static_cast<std::size_t>(zone)];
        if (is_same_domain && records_[z].step == kStepDrained)
            return std::min(kFailureDomainQuorum, max_quorum);
    }
    return std::min(required, max_quorum);
}

bool ZoneFailover::should_drain(int zone, const Tally& votes, std::size_t voters, double now) const {
    const ZoneRecord& record = record_of(zone);
    if (now - record.last_answer <= kAnswerLifetime && observe(zone, now) != ZoneObservation::unreachable)
        return false;
    return votes.unreachable >= quorum(zone, voters, now) &&
           votes.unreachable > kUnreachableMajority * (votes.reachable + votes.strained);
}

bool ZoneFailover::should_restore(ZoneRecord& record, const Tally& votes, std::size_t voters,
                                  double now) const {
    if (votes.reachable == 0 || votes.unreachable > votes.reachable)
        record.answers_since = -1e9;
    else if (record.answers_since < 0)
        record.answers_since = now;
    const int required = std::min(kMinAnsweredProbers, static_cast<int>(voters));
    const double pause = record.relapses == 0 ? 0 : kRelapsePause * std::exp2(record.relapses);
    return votes.reachable >= required && votes.unreachable < votes.reachable &&
           now - record.answers_since >= pause;
}

double ZoneFailover::step_duration(const ZoneRecord& record) const {
    const double duration =
        std::max(kMinStepDuration, settings_.slow_start_duration / (kStepHealthy + kMaxRelapses - 1));
    return (record.step_since - record.drained_at < kShortDrain ? duration / 2 : duration) *
           std::exp2(std::min(record.relapses, kMaxSlowdownRelapses));
}

// No node goes ahead of its peers, so that the whole fleet shares a step; the one with the lowest step may
// always advance.
bool ZoneFailover::may_advance(int zone, const Tally& votes, double now) const {
    const ZoneRecord& record = record_of(zone);
    const ZoneObservation own = observe(zone, now);
    if (own == ZoneObservation::unreachable || own == ZoneObservation::strained) return false;
    if (kStrainedReportersDivisor * votes.strained > votes.reporters + 1) return false;
    // A node without reports advances at half the pace. A node that most peers are ahead of follows them,
    // regardless of the relapses it remembers.
    const bool is_behind = votes.reporters > 0 && 2 * votes.above > votes.reporters;
    const double wait =
        is_behind ? kMinStepDuration / 2 : step_duration(record) * (votes.reporters == 0 ? 2 : 1);
    return now - record.step_since >= wait && 2 * votes.at_or_above >= votes.reporters;
}

void ZoneFailover::enter_step(int zone, int step, double now) {
    ZoneRecord& record = record_of(zone);
    // A drain or step back during a restore, or a drain soon after the zone was restored.
    const bool is_relapse =
        record.step < kStepHealthy ||
        (step == kStepDrained && record.drained_at > started_at_ && now - record.step_since < kRelapseMemory);
    if (step < record.step && is_relapse) record.relapses = std::min(record.relapses + 1, kMaxRelapses);
    if (step == kStepDrained) record.drained_at = now;
    record.step = step;
    record.step_since = now;
    record.answers_since = -1e9;
    urgent_reports_ = kChangeReports;
}

void ZoneFailover::update_step(int zone, const std::vector<int>& voters, double now) {
    ZoneRecord& record = record_of(zone);
    if (record.set_by_operator || records_.size() < 2) return;  // a single zone has no alternative
    if (voters.size() < 2) {  // without peers there is no failover, so use the zone in full
        if (record.step != kStepHealthy) enter_step(zone, kStepHealthy, now);
        return;
    }
    const Tally votes = tally(zone, now, voters);
    // Adopts the relapses that at least two peers remember: otherwise nodes that were absent during a relapse
    // would lead the others into the next one.
    if (record.step != kStepHealthy && votes.relapses.size() >= 2)
        record.relapses =
            std::max(record.relapses, std::min(votes.relapses[votes.relapses.size() - 2], kMaxRelapses));
    if (record.step != kStepDrained && should_drain(zone, votes, voters.size(), now))
        return enter_step(zone, kStepDrained, now);
    if (record.step == kStepHealthy) {
        if (now - record.step_since > kRelapseMemory) record.relapses = 0;
        if (now - started_at_ <= kStartupPeriod && votes.below_healthy >= kMinStartupReports &&
            2 * votes.below_healthy > votes.reporters)
            enter_step(zone, votes.steps[votes.steps.size() / 2], now);
    } else if (record.step == kStepDrained) {
        // Restore if enough probes are answered, or if enough peers have begun to restore and get answers.
        if (should_restore(record, votes, voters.size(), now) ||
            votes.restored >= std::min(kMinQuorum, static_cast<int>(voters.size()) - 1))
            enter_step(zone, kStepDrained + 1, now);
    } else if (votes.strained + votes.unreachable >= 2 &&
               kStrainedReportersDivisor * (votes.strained + votes.unreachable) > votes.reporters + 1) {
        enter_step(zone, record.step - 1, now);
    } else if (may_advance(zone, votes, now)) {
        enter_step(zone, record.step + 1, now);
    }
}

bool ZoneFailover::is_prober(int zone, const std::vector<int>& voters, std::int64_t turn) const {
    const auto rank = [&](int node) {
        return mix(mix(static_cast<std::uint64_t>(turn) << 8 ^ static_cast<std::uint64_t>(zone)) ^
                   static_cast<std::uint64_t>(node));
    };
    const std::uint64_t own = rank(settings_.node_index);
    return std::count_if(voters.begin(), voters.end(), [&](int n) { return rank(n) < own; }) <
           kProbersPerZone;
}

std::vector<ZoneFailover::Change> ZoneFailover::tick(double now, const std::vector<int>& voters,
                                                     std::int64_t turn) {
    std::vector<Change> changed;
    for (int z = 0; z < static_cast<int>(records_.size()); ++z) {
        ZoneRecord& record = record_of(z);
        std::erase_if(record.reports,
                      [now](const auto& entry) { return now - entry.second.observed_at > kReportLifetime; });
        update_step(z, voters, now);
        const bool is_unreachable = observe(z, now) == ZoneObservation::unreachable;
        if (is_unreachable && !record.was_unreachable) urgent_reports_ = kChangeReports;
        record.was_unreachable = is_unreachable;
        // All voters wait for an answered probe and hear of it from this node only, so it is sent to many.
        const bool is_answered = record.step == kStepDrained && observe(z, now) == ZoneObservation::reachable;
        if (is_answered && !record.was_answered)
            urgent_reports_ = std::min(kProbeAnswerReports, 3 * static_cast<int>(voters.size()));
        record.was_answered = is_answered;
        const bool is_drained = record.step == kStepDrained;
        const Change change{z, weight_of(record.step),
                            !is_drained                                             ? 0
                            : !record.set_by_operator && is_prober(z, voters, turn) ? kProbeInterval
                                                                                    : kNoProbeInterval};
        if (change.weight == record.last_change.weight &&
            change.probe_interval == record.last_change.probe_interval)
            continue;
        record.last_change = change;
        changed.push_back(change);
    }
    return changed;
}

// A zone released by an operator is restored through the same steps as any other.
void ZoneFailover::set_admin_state(double now, int zone, bool drain) {
    if (zone < 0 || zone >= static_cast<int>(records_.size()) || record_of(zone).set_by_operator == drain)
        return;
    enter_step(zone, drain ? kStepDrained : kStepDrained + 1, now);
    record_of(zone).set_by_operator = drain;
}

std::vector<ZoneReport> ZoneFailover::reports(double now) const {
    std::vector<ZoneReport> result;
    for (int z = 0; z < static_cast<int>(records_.size()); ++z) {
        const ZoneRecord& record = record_of(z);
        // An operator's decision at this node says nothing about the zone.
        const int step = record.set_by_operator ? kStepHealthy : record.step;
        const ZoneObservation observation = observe(z, now);
        const bool is_doubted = now - record.last_doubt <= kDoubtLifetime;
        if (observation == ZoneObservation::unreachable || step < kStepHealthy || is_doubted)
            result.push_back({z, observation, step, record.relapses});
    }
    return result;
}

ZoneFailover::View ZoneFailover::view(double now, int zone, const std::vector<int>& voters) const {
    const ZoneRecord& record = record_of(zone);
    const Tally votes = tally(zone, now, voters);
    View v;
    v.set_by_operator = record.set_by_operator;
    v.weight = weight_of(record.step);
    v.since = now - record.step_since;
    v.unreachable = votes.unreachable, v.reachable = votes.reachable, v.strained = votes.strained,
    v.reporters = votes.reporters;
    v.quorum = quorum(zone, voters.size(), now);
    v.relapses = record.relapses;
    if (observe(zone, now) == ZoneObservation::unreachable)
        v.unreachable_reporters.push_back(settings_.node_index);
    for (const auto& [node, report] : record.reports) {
        if (report.observation == ZoneObservation::unreachable && now - report.observed_at <= kReportLifetime)
            v.unreachable_reporters.push_back(node);
    }
    v.state = record.step == kStepDrained  ? (votes.reachable > 0 ? ZoneState::probing : ZoneState::drained)
              : record.step < kStepHealthy ? ZoneState::recovering
              : votes.unreachable > 0      ? ZoneState::suspect
                                           : ZoneState::healthy;
    return v;
}

}  // namespace brookrelay::gossip
