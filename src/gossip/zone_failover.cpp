#include "gossip/zone_failover.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "util/splitmix64.h"

namespace brookrelay::gossip {
namespace {

constexpr double kVoiceKept = 3.0;    // s after it was said that a node's word counts
constexpr double kAnswerFresh = 1.0;  // s after an answer in which nothing makes this node leave the zone;
constexpr double kTrialFresh =
    6.0;  // of a left one, where trials are seconds apart and few caches may answer
constexpr double kQuiet =
    0.3;  // s without an answer that make a word of one node, by as much more as less goes there,
constexpr double kQuietMost = 3.0;
constexpr int kSilentLeast = 2;  // caches in a row without any answer between that make a word of one node,
constexpr double kSilentChance =
    0.01;  // where chance seldom brings as many endings, by what was usual there before;
constexpr double kUsualKept = 0.95;   // of what was usual, by each ending since,
constexpr int kRunCounted = 4;        // a run counts for so many: all of it were a loss, not what is usual
constexpr double kSilentKept = 3.0;   // s that it is one
constexpr int kVotersLeast = 3;       // that must say so, or all where they are fewer,
constexpr double kVotersPart = 0.05;  // and of the voters;
constexpr double kBlindPart = 0.25;  // of them, where this node has not asked there lately: more than may lie
constexpr int kVotersRegion = 2;     // where another zone of its region is left already
constexpr int kAgainst = 3;          // times as many as say that it answers
constexpr int kTakers = 2;           // whose trials were answered, and it is taken back
constexpr int kTryers = 2;           // nodes of a zone that try a left one at a time,
constexpr double kTryApart = 1.0;    // s apart each,
constexpr double kTryTurn = 2.0;     // for so long: then others do, so dead ones cost a turn
constexpr double kNever = 1e6;       // s: others try
constexpr double kStepLeast = 0.5;   // s that a step back into use takes
constexpr double kShort = 3.0;  // s: what was left for less has kept its copies; its steps take half as long
constexpr double kFallPause = 0.5;      // s before a further try after a fall; doubles by each,
constexpr int kFallsMost = 4;           // up to this;
constexpr int kFallsSlower = 2;         // and steps take longer by as much up to this
constexpr double kCalm = 30.0;          // s in full use after which falls are forgotten
constexpr double kStrainPart = 0.5;     // of endings there, and
constexpr double kStrainTimes = 2.0;    // times as much as elsewhere: where all are strained it is no worse
constexpr int kStrainLeast = 4;         // endings in a second that tell it
constexpr int kThird = 3;               // one in so many strained words hold the steps, or take one back
constexpr double kYoung = 5.0;          // s after a start in which it takes the others' step for its own
constexpr int kYoungWords = 2;          // of so many: it errs to the careful side
constexpr int kTrialNews = 48;          // datagrams of an answered trial
constexpr int kNews = 16;               // datagrams of a change that do not wait
constexpr double kAnswerApart = 1.0;    // s between answers to one node
constexpr double kDoubtAnswered = 2.0;  // s for which others' doubts are answered by what is seen here
constexpr double kBucket = 0.25;

double part_of(int step) { return step <= kStepDrained ? 0 : std::exp2(step - kStepHealthy); }

}  // namespace

double ZoneFailover::probe_turn_length() { return kTryTurn; }

ZoneFailover::ZoneFailover(Settings terms, double now)
    : terms_(std::move(terms)),
      pairs_(static_cast<std::size_t>(std::clamp(terms_.zone_count, 1, kMaxZones))),
      began_(now),
      news_(kNews) {
    for (Pair& p : pairs_) p.since = now;
}

// ---- what this node sees --------------------------------------------------------------------------------

void ZoneFailover::turn(Pair& p, double now) {
    const auto bucket = static_cast<std::int64_t>(now / kBucket);
    const auto count = static_cast<std::int64_t>(p.ends.size());
    for (std::int64_t b = std::max(p.turn + 1, bucket - count + 1); b <= bucket; ++b)
        p.ends[static_cast<std::size_t>(b % count)].fill(0);
    p.turn = std::max(p.turn, bucket);
}

int ZoneFailover::sum(const Pair& p, ZoneAttempt end, double now) {
    int n = 0;
    const auto oldest = static_cast<std::int64_t>(now / kBucket) - static_cast<std::int64_t>(p.ends.size());
    for (std::size_t back = 0; back < p.ends.size(); ++back) {
        const std::int64_t bucket = p.turn - static_cast<std::int64_t>(back);
        if (bucket > oldest && bucket >= 0)
            n += p.ends[static_cast<std::size_t>(bucket) % p.ends.size()][static_cast<std::size_t>(end)];
    }
    return n;
}

void ZoneFailover::on_attempt_finished(double now, int zone, ServerKey subject, ZoneAttempt end) {
    if (zone < 0 || zone >= static_cast<int>(pairs_.size())) return;
    Pair& p = pair(zone);
    turn(p, now);
    ++p.ends[static_cast<std::size_t>(p.turn) % p.ends.size()][static_cast<std::size_t>(end)];
    if (end != ZoneAttempt::silent) {
        const double kept = std::pow(kUsualKept, p.run + 1);
        p.usual_silent = p.usual_silent * kept + std::min(p.run, kRunCounted);
        p.usual_answers = p.usual_answers * kept + 1;
        p.answered = now;
        p.silent_count = p.run = 0;
        return;
    }
    p.silent = now;
    ++p.run;
    const auto last = p.silent_at.begin() + p.silent_count;
    if (p.silent_count < kSilentLeast && std::find(p.silent_at.begin(), last, subject) == last) {
        p.silent_at[static_cast<std::size_t>(p.silent_count++)] = subject;
    }
}

// Where nothing answers in any zone that it asked, the fault is its own way's.
bool ZoneFailover::all_silent(double now) const {
    int asked = 0, silent = 0;
    for (const Pair& p : pairs_) {
        if (now - std::max(p.answered, p.silent) > kSilentKept) continue;
        ++asked;
        if (p.silent_count > 0) ++silent;
    }
    return asked > 1 && asked == silent;
}

bool ZoneFailover::relatively_strained(int zone, double now) const {
    double here = 0, bad_here = 0, else_where = 0, bad_elsewhere = 0;
    for (std::size_t z = 0; z < pairs_.size(); ++z) {
        const int bad = sum(pairs_[z], ZoneAttempt::strained, now) + sum(pairs_[z], ZoneAttempt::silent, now);
        const int all = bad + sum(pairs_[z], ZoneAttempt::healthy, now);
        (static_cast<int>(z) == zone ? here : else_where) += all;
        (static_cast<int>(z) == zone ? bad_here : bad_elsewhere) += bad;
    }
    if (here < kStrainLeast || bad_here < kStrainPart * here) return false;
    return else_where < kStrainLeast || bad_here / here >= kStrainTimes * bad_elsewhere / else_where;
}

ZoneObservation ZoneFailover::sight(int zone, double now) const {
    const Pair& p = pair(zone);
    // Where few of a zone's caches answer, trials of a left one meet those seldom: any answer goes first
    // then.
    if (p.step == kStepDrained && p.answered > p.since && now - p.answered <= kTrialFresh)
        return ZoneObservation::reachable;
    const double usual = (p.usual_silent + 0.25) / (p.usual_silent + p.usual_answers + 1);
    // Of those who ask a zone where few caches answer, some had an answer just now, and object.
    const double quiet = p.step == kStepDrained ? 0 : std::min(kQuiet / part_of(p.step), kQuietMost);
    const bool run = p.silent_count >= kSilentLeast && std::pow(usual, p.run) < kSilentChance;
    if (run && now - p.answered > quiet && now - p.silent <= kSilentKept)
        return all_silent(now) ? ZoneObservation::nothing : ZoneObservation::unreachable;
    if (now - p.answered > kAnswerFresh) return ZoneObservation::nothing;
    return relatively_strained(zone, now) ? ZoneObservation::strained : ZoneObservation::reachable;
}

// ---- what others say ------------------------------------------------------------------------------------

// Only what a node says itself is heard, never what others say it said: who lies has one word, his own.
void ZoneFailover::on_reports(double now, int from, const Stamp& stamp, const std::vector<ZoneReport>& voices,
                              double late) {
    if (late > kVoiceKept) return;
    std::vector<bool> said(pairs_.size());
    bool differs = false;
    for (const ZoneReport& v : voices) {
        if (v.zone < 0 || v.zone >= static_cast<int>(pairs_.size())) continue;
        said[static_cast<std::size_t>(v.zone)] = true;
        Pair& p = pair(v.zone);
        Cell& cell = p.said[from];
        if (stamp <= cell.stamp) continue;
        cell = {stamp, v.observation, v.step, v.relapses, now - late};
        const bool doubts = v.observation == ZoneObservation::unreachable || v.step < kStepHealthy;
        if (doubts) p.doubted_by_others = now;
        // Who sees or does otherwise says so, or the one that doubts hears only those who doubt with it.
        const ZoneObservation own = sight(v.zone, now);
        differs = differs || (doubts && (p.step != v.step || own == ZoneObservation::reachable ||
                                         own == ZoneObservation::strained));
    }
    // What it no longer speaks of is as usual there.
    for (std::size_t z = 0; z < pairs_.size(); ++z) {
        const auto at = pairs_[z].said.find(from);
        // Who has just started, or woken, uses in full what others take back in steps, and is told so.
        differs = differs || (!said[z] && pairs_[z].step < kStepHealthy && !pairs_[z].hand);
        if (said[z] || at == pairs_[z].said.end() || stamp <= at->second.stamp) continue;
        at->second = {stamp, ZoneObservation::nothing, kStepHealthy, 0, now - late};
    }
    if (!differs || std::count(owed_.begin(), owed_.end(), from) > 0) return;
    const auto [last, first] = answered_to_.try_emplace(from, -1e9);
    if (now - last->second < kAnswerApart) return;
    last->second = now;
    owed_.push_back(from);
}

std::vector<int> ZoneFailover::replies_due() { return std::exchange(owed_, {}); }

void ZoneFailover::on_new_incarnation(int node) {
    for (Pair& p : pairs_) p.said.erase(node);
}

// What others said before is old, and what this node saw may be its own doing: it asks again, as at a start.
// A left zone stays left, since that is the more careful.
void ZoneFailover::on_process_pause(double now) {
    for (Pair& p : pairs_) {
        p.said.clear();
        p.answered = p.silent = -1e9;
        p.silent_count = p.run = 0;
        p.ends = {};
        p.answers_since = -1e9;
    }
    began_ = now;
    news_ = kNews;
}

ZoneFailover::Tally ZoneFailover::tally(int zone, double now, const std::vector<int>& voters) const {
    const Pair& p = pair(zone);
    Tally t;
    const auto count = [&](ZoneObservation said, int step, double born) {
        // Who was answered before this node left it says nothing of how it is now.
        const bool before =
            p.step == kStepDrained && said != ZoneObservation::unreachable && born <= p.since + kAnswerFresh;
        const ZoneObservation sight = before ? ZoneObservation::nothing : said;
        t.lost += sight == ZoneObservation::unreachable;
        t.answers += sight == ZoneObservation::reachable;
        t.strained += sight == ZoneObservation::strained;
        t.at_least += step >= p.step;
        t.further += step > p.step;
        t.below += step < kStepHealthy;
        t.taken += step > kStepDrained && sight == ZoneObservation::reachable;
        t.steps.push_back(step);
    };
    for (const int n : voters) {
        const auto at = p.said.find(n);
        if (n == terms_.node_index || at == p.said.end() || now - at->second.born > kVoiceKept) continue;
        ++t.heard;
        count(at->second.sight, at->second.step, at->second.born);
        t.falls.push_back(at->second.falls);
    }
    std::sort(t.steps.begin(), t.steps.end());
    std::sort(t.falls.begin(), t.falls.end());
    const ZoneObservation own = sight(zone, now);
    t.lost += own == ZoneObservation::unreachable;
    t.answers += own == ZoneObservation::reachable;
    t.strained += own == ZoneObservation::strained;
    return t;
}

// ---- the states -----------------------------------------------------------------------------------------

int ZoneFailover::needed(int zone, std::size_t voters, double now) const {
    const Pair& p = pair(zone);
    const int most = static_cast<int>(voters);
    const bool blind = now - std::max(p.silent, p.answered) > kSilentKept;
    const double part = blind ? kBlindPart : kVotersPart;
    const int need = std::max(kVotersLeast, static_cast<int>(std::floor(part * most)) + 1);
    for (std::size_t z = 0; z < pairs_.size() && z < terms_.failure_domains.size(); ++z) {
        const bool same = static_cast<int>(z) != zone &&
                          terms_.failure_domains[z] == terms_.failure_domains[static_cast<std::size_t>(zone)];
        if (same && pairs_[z].step == kStepDrained) return std::min(kVotersRegion, most);
    }
    return std::min(need, most);
}

bool ZoneFailover::leaves(int zone, const Tally& t, std::size_t voters, double now) const {
    const Pair& p = pair(zone);
    if (now - p.answered <= kAnswerFresh && sight(zone, now) != ZoneObservation::unreachable) return false;
    return t.lost >= needed(zone, voters, now) && t.lost > kAgainst * (t.answers + t.strained);
}

bool ZoneFailover::returns(Pair& p, const Tally& t, std::size_t voters, double now) const {
    if (t.answers == 0 || t.lost > t.answers)
        p.answers_since = -1e9;
    else if (p.answers_since < 0)
        p.answers_since = now;
    const int need = std::min(kTakers, static_cast<int>(voters));
    const double pause = p.falls == 0 ? 0 : kFallPause * std::exp2(p.falls);
    return t.answers >= need && t.lost < t.answers && now - p.answers_since >= pause;
}

double ZoneFailover::step_time(const Pair& p) const {
    const double usual = std::max(kStepLeast, terms_.slow_start_duration / (kStepHealthy + kFallsMost - 1));
    return (p.since - p.left_at < kShort ? usual / 2 : usual) * std::exp2(std::min(p.falls, kFallsSlower));
}

// Not before the others, so that the steps are the fleet's: whoever is lowest may always go on.
bool ZoneFailover::advances(int zone, const Tally& t, double now) const {
    const Pair& p = pair(zone);
    const ZoneObservation own = sight(zone, now);
    if (own == ZoneObservation::unreachable || own == ZoneObservation::strained) return false;
    if (kThird * t.strained > t.heard + 1) return false;
    // Who hears nobody goes at half the pace; who hears that most are further follows, whatever it remembers
    // of falls.
    const bool behind = t.heard > 0 && 2 * t.further > t.heard;
    const double wait = behind ? kStepLeast / 2 : step_time(p) * (t.heard == 0 ? 2 : 1);
    return now - p.since >= wait && 2 * t.at_least >= t.heard;
}

void ZoneFailover::enter(int zone, int step, double now) {
    Pair& p = pair(zone);
    // From a step on the way back, or left again soon after it was in full use.
    const bool again =
        p.step < kStepHealthy || (step == kStepDrained && p.left_at > began_ && now - p.since < kCalm);
    if (step < p.step && again) p.falls = std::min(p.falls + 1, kFallsMost);
    if (step == kStepDrained) p.left_at = now;
    p.step = step;
    p.since = now;
    p.answers_since = -1e9;
    news_ = kNews;
}

void ZoneFailover::move(int zone, const std::vector<int>& voters, double now) {
    Pair& p = pair(zone);
    if (p.hand || pairs_.size() < 2) return;  // where there is but one, leaving it is no way out
    if (voters.size() < 2) {                  // who hears nobody does what a node does alone
        if (p.step != kStepHealthy) enter(zone, kStepHealthy, now);
        return;
    }
    const Tally t = tally(zone, now, voters);
    // As careful as two others are: else those who were not there at a fall would lead the rest back into the
    // next.
    if (p.step != kStepHealthy && t.falls.size() >= 2)
        p.falls = std::max(p.falls, std::min(t.falls[t.falls.size() - 2], kFallsMost));
    if (p.step != kStepDrained && leaves(zone, t, voters.size(), now)) return enter(zone, kStepDrained, now);
    if (p.step == kStepHealthy) {
        if (now - p.since > kCalm) p.falls = 0;
        if (now - began_ <= kYoung && t.below >= kYoungWords && 2 * t.below > t.heard)
            enter(zone, t.steps[t.steps.size() / 2], now);
    } else if (p.step == kStepDrained) {
        // Enough others have taken it back and are answered, or trials are.
        if (returns(p, t, voters.size(), now) ||
            t.taken >= std::min(kVotersLeast, static_cast<int>(voters.size()) - 1))
            enter(zone, kStepDrained + 1, now);
    } else if (t.strained + t.lost >= 2 && kThird * (t.strained + t.lost) > t.heard + 1) {
        enter(zone, p.step - 1, now);
    } else if (advances(zone, t, now)) {
        enter(zone, p.step + 1, now);
    }
}

bool ZoneFailover::tries(int zone, const std::vector<int>& voters, std::int64_t turn) const {
    const auto rank = [&](int node) {
        return mix(mix(static_cast<std::uint64_t>(turn) << 8 ^ static_cast<std::uint64_t>(zone)) ^
                   static_cast<std::uint64_t>(node));
    };
    const std::uint64_t own = rank(terms_.node_index);
    return std::count_if(voters.begin(), voters.end(), [&](int n) { return rank(n) < own; }) < kTryers;
}

std::vector<ZoneFailover::Change> ZoneFailover::tick(double now, const std::vector<int>& voters,
                                                     std::int64_t turn) {
    std::vector<Change> changed;
    for (int z = 0; z < static_cast<int>(pairs_.size()); ++z) {
        Pair& p = pair(z);
        std::erase_if(p.said, [now](const auto& entry) { return now - entry.second.born > kVoiceKept; });
        move(z, voters, now);
        const bool lost = sight(z, now) == ZoneObservation::unreachable;
        if (lost && !p.was_lost) news_ = kNews;
        p.was_lost = lost;
        // A trial that was answered concerns all at once: they wait for it, and hear of it from this node
        // alone.
        const bool answered = p.step == kStepDrained && sight(z, now) == ZoneObservation::reachable;
        if (answered && !p.was_answered) news_ = std::min(kTrialNews, 3 * static_cast<int>(voters.size()));
        p.was_answered = answered;
        const bool left = p.step == kStepDrained;
        const Change order{z, part_of(p.step),
                           !left                               ? 0
                           : !p.hand && tries(z, voters, turn) ? kTryApart
                                                               : kNever};
        if (order.weight == p.told.weight && order.probe_interval == p.told.probe_interval) continue;
        p.told = order;
        changed.push_back(order);
    }
    return changed;
}

// Back from the operators' hand it goes through the same steps.
void ZoneFailover::set_admin_state(double now, int zone, bool out) {
    if (zone < 0 || zone >= static_cast<int>(pairs_.size()) || pair(zone).hand == out) return;
    enter(zone, out ? kStepDrained : kStepDrained + 1, now);
    pair(zone).hand = out;
}

std::vector<ZoneReport> ZoneFailover::reports(double now) const {
    std::vector<ZoneReport> all;
    for (int z = 0; z < static_cast<int>(pairs_.size()); ++z) {
        const Pair& p = pair(z);
        // What one operator's hand does here says nothing of the zone.
        const int step = p.hand ? kStepHealthy : p.step;
        const ZoneObservation seen = sight(z, now);
        const bool asked = now - p.doubted_by_others <= kDoubtAnswered;
        if (seen == ZoneObservation::unreachable || step < kStepHealthy || asked)
            all.push_back({z, seen, step, p.falls});
    }
    return all;
}

ZoneFailover::View ZoneFailover::view(double now, int zone, const std::vector<int>& voters) const {
    const Pair& p = pair(zone);
    const Tally t = tally(zone, now, voters);
    View v;
    v.set_by_operator = p.hand;
    v.weight = part_of(p.step);
    v.since = now - p.since;
    v.unreachable = t.lost, v.reachable = t.answers, v.strained = t.strained, v.reporters = t.heard;
    v.quorum = needed(zone, voters.size(), now);
    v.relapses = p.falls;
    if (sight(zone, now) == ZoneObservation::unreachable)
        v.unreachable_reporters.push_back(terms_.node_index);
    for (const auto& [node, cell] : p.said) {
        if (cell.sight == ZoneObservation::unreachable && now - cell.born <= kVoiceKept)
            v.unreachable_reporters.push_back(node);
    }
    v.state = p.step == kStepDrained  ? (t.answers > 0 ? ZoneState::probing : ZoneState::drained)
              : p.step < kStepHealthy ? ZoneState::recovering
              : t.lost > 0            ? ZoneState::suspect
                                      : ZoneState::healthy;
    return v;
}

}  // namespace brookrelay::gossip
