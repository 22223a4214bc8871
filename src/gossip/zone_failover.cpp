#include "gossip/zone_failover.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "util/splitmix64.h"

namespace brookrelay::fleet {
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

double part_of(int step) { return step <= kStepLeft ? 0 : std::exp2(step - kStepWell); }

}  // namespace

double Zones::turn_length() { return kTryTurn; }

Zones::Zones(Terms terms, double now)
    : terms_(std::move(terms)),
      pairs_(static_cast<std::size_t>(std::clamp(terms_.zones, 1, kZonesMost))),
      began_(now),
      news_(kNews) {
    for (Pair& p : pairs_) p.since = now;
}

// ---- what this node sees --------------------------------------------------------------------------------

void Zones::turn(Pair& p, double now) {
    const auto bucket = static_cast<std::int64_t>(now / kBucket);
    const auto count = static_cast<std::int64_t>(p.ends.size());
    for (std::int64_t b = std::max(p.turn + 1, bucket - count + 1); b <= bucket; ++b)
        p.ends[static_cast<std::size_t>(b % count)].fill(0);
    p.turn = std::max(p.turn, bucket);
}

int Zones::sum(const Pair& p, ZoneEnd end, double now) {
    int n = 0;
    const auto oldest = static_cast<std::int64_t>(now / kBucket) - static_cast<std::int64_t>(p.ends.size());
    for (std::size_t back = 0; back < p.ends.size(); ++back) {
        const std::int64_t bucket = p.turn - static_cast<std::int64_t>(back);
        if (bucket > oldest && bucket >= 0)
            n += p.ends[static_cast<std::size_t>(bucket) % p.ends.size()][static_cast<std::size_t>(end)];
    }
    return n;
}

void Zones::ended(double now, int zone, Subject subject, ZoneEnd end) {
    if (zone < 0 || zone >= static_cast<int>(pairs_.size())) return;
    Pair& p = pair(zone);
    turn(p, now);
    ++p.ends[static_cast<std::size_t>(p.turn) % p.ends.size()][static_cast<std::size_t>(end)];
    if (end != ZoneEnd::silent) {
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
bool Zones::all_silent(double now) const {
    int asked = 0, silent = 0;
    for (const Pair& p : pairs_) {
        if (now - std::max(p.answered, p.silent) > kSilentKept) continue;
        ++asked;
        if (p.silent_count > 0) ++silent;
    }
    return asked > 1 && asked == silent;
}

bool Zones::relatively_strained(int zone, double now) const {
    double here = 0, bad_here = 0, else_where = 0, bad_elsewhere = 0;
    for (std::size_t z = 0; z < pairs_.size(); ++z) {
        const int bad = sum(pairs_[z], ZoneEnd::strained, now) + sum(pairs_[z], ZoneEnd::silent, now);
        const int all = bad + sum(pairs_[z], ZoneEnd::well, now);
        (static_cast<int>(z) == zone ? here : else_where) += all;
        (static_cast<int>(z) == zone ? bad_here : bad_elsewhere) += bad;
    }
    if (here < kStrainLeast || bad_here < kStrainPart * here) return false;
    return else_where < kStrainLeast || bad_here / here >= kStrainTimes * bad_elsewhere / else_where;
}

ZoneSight Zones::sight(int zone, double now) const {
    const Pair& p = pair(zone);
    // Where few of a zone's caches answer, trials of a left one meet those seldom: any answer goes first
    // then.
    if (p.step == kStepLeft && p.answered > p.since && now - p.answered <= kTrialFresh)
        return ZoneSight::answers;
    const double usual = (p.usual_silent + 0.25) / (p.usual_silent + p.usual_answers + 1);
    // Of those who ask a zone where few caches answer, some had an answer just now, and object.
    const double quiet = p.step == kStepLeft ? 0 : std::min(kQuiet / part_of(p.step), kQuietMost);
    const bool run = p.silent_count >= kSilentLeast && std::pow(usual, p.run) < kSilentChance;
    if (run && now - p.answered > quiet && now - p.silent <= kSilentKept)
        return all_silent(now) ? ZoneSight::nothing : ZoneSight::lost;
    if (now - p.answered > kAnswerFresh) return ZoneSight::nothing;
    return relatively_strained(zone, now) ? ZoneSight::strained : ZoneSight::answers;
}

// ---- what others say ------------------------------------------------------------------------------------

// Only what a node says itself is heard, never what others say it said: who lies has one word, his own.
void Zones::heard(double now, int from, const Stamp& stamp, const std::vector<ZoneVoice>& voices,
                  double late) {
    if (late > kVoiceKept) return;
    std::vector<bool> said(pairs_.size());
    bool differs = false;
    for (const ZoneVoice& v : voices) {
        if (v.zone < 0 || v.zone >= static_cast<int>(pairs_.size())) continue;
        said[static_cast<std::size_t>(v.zone)] = true;
        Pair& p = pair(v.zone);
        Cell& cell = p.said[from];
        if (stamp <= cell.stamp) continue;
        cell = {stamp, v.sight, v.step, v.falls, now - late};
        const bool doubts = v.sight == ZoneSight::lost || v.step < kStepWell;
        if (doubts) p.doubted_by_others = now;
        // Who sees or does otherwise says so, or the one that doubts hears only those who doubt with it.
        const ZoneSight own = sight(v.zone, now);
        differs = differs ||
                  (doubts && (p.step != v.step || own == ZoneSight::answers || own == ZoneSight::strained));
    }
    // What it no longer speaks of is as usual there.
    for (std::size_t z = 0; z < pairs_.size(); ++z) {
        const auto at = pairs_[z].said.find(from);
        // Who has just started, or woken, uses in full what others take back in steps, and is told so.
        differs = differs || (!said[z] && pairs_[z].step < kStepWell && !pairs_[z].hand);
        if (said[z] || at == pairs_[z].said.end() || stamp <= at->second.stamp) continue;
        at->second = {stamp, ZoneSight::nothing, kStepWell, 0, now - late};
    }
    if (!differs || std::count(owed_.begin(), owed_.end(), from) > 0) return;
    const auto [last, first] = answered_to_.try_emplace(from, -1e9);
    if (now - last->second < kAnswerApart) return;
    last->second = now;
    owed_.push_back(from);
}

std::vector<int> Zones::owed() { return std::exchange(owed_, {}); }

void Zones::new_life(int node) {
    for (Pair& p : pairs_) p.said.erase(node);
}

// What others said before is old, and what this node saw may be its own doing: it asks again, as at a start.
// A left zone stays left, since that is the more careful.
void Zones::stood_still(double now) {
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

Zones::Tally Zones::tally(int zone, double now, const std::vector<int>& voters) const {
    const Pair& p = pair(zone);
    Tally t;
    const auto count = [&](ZoneSight said, int step, double born) {
        // Who was answered before this node left it says nothing of how it is now.
        const bool before = p.step == kStepLeft && said != ZoneSight::lost && born <= p.since + kAnswerFresh;
        const ZoneSight sight = before ? ZoneSight::nothing : said;
        t.lost += sight == ZoneSight::lost;
        t.answers += sight == ZoneSight::answers;
        t.strained += sight == ZoneSight::strained;
        t.at_least += step >= p.step;
        t.further += step > p.step;
        t.below += step < kStepWell;
        t.taken += step > kStepLeft && sight == ZoneSight::answers;
        t.steps.push_back(step);
    };
    for (const int n : voters) {
        const auto at = p.said.find(n);
        if (n == terms_.node || at == p.said.end() || now - at->second.born > kVoiceKept) continue;
        ++t.heard;
        count(at->second.sight, at->second.step, at->second.born);
        t.falls.push_back(at->second.falls);
    }
    std::sort(t.steps.begin(), t.steps.end());
    std::sort(t.falls.begin(), t.falls.end());
    const ZoneSight own = sight(zone, now);
    t.lost += own == ZoneSight::lost;
    t.answers += own == ZoneSight::answers;
    t.strained += own == ZoneSight::strained;
    return t;
}

// ---- the states -----------------------------------------------------------------------------------------

int Zones::needed(int zone, std::size_t voters, double now) const {
    const Pair& p = pair(zone);
    const int most = static_cast<int>(voters);
    const bool blind = now - std::max(p.silent, p.answered) > kSilentKept;
    const double part = blind ? kBlindPart : kVotersPart;
    const int need = std::max(kVotersLeast, static_cast<int>(std::floor(part * most)) + 1);
    for (std::size_t z = 0; z < pairs_.size() && z < terms_.regions.size(); ++z) {
        const bool same = static_cast<int>(z) != zone &&
                          terms_.regions[z] == terms_.regions[static_cast<std::size_t>(zone)];
        if (same && pairs_[z].step == kStepLeft) return std::min(kVotersRegion, most);
    }
    return std::min(need, most);
}

bool Zones::leaves(int zone, const Tally& t, std::size_t voters, double now) const {
    const Pair& p = pair(zone);
    if (now - p.answered <= kAnswerFresh && sight(zone, now) != ZoneSight::lost) return false;
    return t.lost >= needed(zone, voters, now) && t.lost > kAgainst * (t.answers + t.strained);
}

bool Zones::returns(Pair& p, const Tally& t, std::size_t voters, double now) const {
    if (t.answers == 0 || t.lost > t.answers)
        p.answers_since = -1e9;
    else if (p.answers_since < 0)
        p.answers_since = now;
    const int need = std::min(kTakers, static_cast<int>(voters));
    const double pause = p.falls == 0 ? 0 : kFallPause * std::exp2(p.falls);
    return t.answers >= need && t.lost < t.answers && now - p.answers_since >= pause;
}

double Zones::step_time(const Pair& p) const {
    const double usual = std::max(kStepLeast, terms_.warm_within / (kStepWell + kFallsMost - 1));
    return (p.since - p.left_at < kShort ? usual / 2 : usual) * std::exp2(std::min(p.falls, kFallsSlower));
}

// Not before the others, so that the steps are the fleet's: whoever is lowest may always go on.
bool Zones::advances(int zone, const Tally& t, double now) const {
    const Pair& p = pair(zone);
    const ZoneSight own = sight(zone, now);
    if (own == ZoneSight::lost || own == ZoneSight::strained) return false;
    if (kThird * t.strained > t.heard + 1) return false;
    // Who hears nobody goes at half the pace; who hears that most are further follows, whatever it remembers
    // of falls.
    const bool behind = t.heard > 0 && 2 * t.further > t.heard;
    const double wait = behind ? kStepLeast / 2 : step_time(p) * (t.heard == 0 ? 2 : 1);
    return now - p.since >= wait && 2 * t.at_least >= t.heard;
}

void Zones::enter(int zone, int step, double now) {
    Pair& p = pair(zone);
    // From a step on the way back, or left again soon after it was in full use.
    const bool again =
        p.step < kStepWell || (step == kStepLeft && p.left_at > began_ && now - p.since < kCalm);
    if (step < p.step && again) p.falls = std::min(p.falls + 1, kFallsMost);
    if (step == kStepLeft) p.left_at = now;
    p.step = step;
    p.since = now;
    p.answers_since = -1e9;
    news_ = kNews;
}

void Zones::move(int zone, const std::vector<int>& voters, double now) {
    Pair& p = pair(zone);
    if (p.hand || pairs_.size() < 2) return;  // where there is but one, leaving it is no way out
    if (voters.size() < 2) {                  // who hears nobody does what a node does alone
        if (p.step != kStepWell) enter(zone, kStepWell, now);
        return;
    }
    const Tally t = tally(zone, now, voters);
    // As careful as two others are: else those who were not there at a fall would lead the rest back into the
    // next.
    if (p.step != kStepWell && t.falls.size() >= 2)
        p.falls = std::max(p.falls, std::min(t.falls[t.falls.size() - 2], kFallsMost));
    if (p.step != kStepLeft && leaves(zone, t, voters.size(), now)) return enter(zone, kStepLeft, now);
    if (p.step == kStepWell) {
        if (now - p.since > kCalm) p.falls = 0;
        if (now - began_ <= kYoung && t.below >= kYoungWords && 2 * t.below > t.heard)
            enter(zone, t.steps[t.steps.size() / 2], now);
    } else if (p.step == kStepLeft) {
        // Enough others have taken it back and are answered, or trials are.
        if (returns(p, t, voters.size(), now) ||
            t.taken >= std::min(kVotersLeast, static_cast<int>(voters.size()) - 1))
            enter(zone, kStepLeft + 1, now);
    } else if (t.strained + t.lost >= 2 && kThird * (t.strained + t.lost) > t.heard + 1) {
        enter(zone, p.step - 1, now);
    } else if (advances(zone, t, now)) {
        enter(zone, p.step + 1, now);
    }
}

bool Zones::tries(int zone, const std::vector<int>& voters, std::int64_t turn) const {
    const auto rank = [&](int node) {
        return mix(mix(static_cast<std::uint64_t>(turn) << 8 ^ static_cast<std::uint64_t>(zone)) ^
                   static_cast<std::uint64_t>(node));
    };
    const std::uint64_t own = rank(terms_.node);
    return std::count_if(voters.begin(), voters.end(), [&](int n) { return rank(n) < own; }) < kTryers;
}

std::vector<Zones::Order> Zones::tick(double now, const std::vector<int>& voters, std::int64_t turn) {
    std::vector<Order> changed;
    for (int z = 0; z < static_cast<int>(pairs_.size()); ++z) {
        Pair& p = pair(z);
        std::erase_if(p.said, [now](const auto& entry) { return now - entry.second.born > kVoiceKept; });
        move(z, voters, now);
        const bool lost = sight(z, now) == ZoneSight::lost;
        if (lost && !p.was_lost) news_ = kNews;
        p.was_lost = lost;
        // A trial that was answered concerns all at once: they wait for it, and hear of it from this node
        // alone.
        const bool answered = p.step == kStepLeft && sight(z, now) == ZoneSight::answers;
        if (answered && !p.was_answered) news_ = std::min(kTrialNews, 3 * static_cast<int>(voters.size()));
        p.was_answered = answered;
        const bool left = p.step == kStepLeft;
        const Order order{z, part_of(p.step),
                          !left                               ? 0
                          : !p.hand && tries(z, voters, turn) ? kTryApart
                                                              : kNever};
        if (order.part == p.told.part && order.apart == p.told.apart) continue;
        p.told = order;
        changed.push_back(order);
    }
    return changed;
}

// Back from the operators' hand it goes through the same steps.
void Zones::by_hand(double now, int zone, bool out) {
    if (zone < 0 || zone >= static_cast<int>(pairs_.size()) || pair(zone).hand == out) return;
    enter(zone, out ? kStepLeft : kStepLeft + 1, now);
    pair(zone).hand = out;
}

std::vector<ZoneVoice> Zones::voices(double now) const {
    std::vector<ZoneVoice> all;
    for (int z = 0; z < static_cast<int>(pairs_.size()); ++z) {
        const Pair& p = pair(z);
        // What one operator's hand does here says nothing of the zone.
        const int step = p.hand ? kStepWell : p.step;
        const ZoneSight seen = sight(z, now);
        const bool asked = now - p.doubted_by_others <= kDoubtAnswered;
        if (seen == ZoneSight::lost || step < kStepWell || asked) all.push_back({z, seen, step, p.falls});
    }
    return all;
}

Zones::View Zones::view(double now, int zone, const std::vector<int>& voters) const {
    const Pair& p = pair(zone);
    const Tally t = tally(zone, now, voters);
    View v;
    v.by_hand = p.hand;
    v.part = part_of(p.step);
    v.since = now - p.since;
    v.lost = t.lost, v.answers = t.answers, v.strained = t.strained, v.heard = t.heard;
    v.needed = needed(zone, voters.size(), now);
    v.falls = p.falls;
    if (sight(zone, now) == ZoneSight::lost) v.said_lost.push_back(terms_.node);
    for (const auto& [node, cell] : p.said) {
        if (cell.sight == ZoneSight::lost && now - cell.born <= kVoiceKept) v.said_lost.push_back(node);
    }
    v.state = p.step == kStepLeft  ? (t.answers > 0 ? ZoneState::on_trial : ZoneState::left)
              : p.step < kStepWell ? ZoneState::returning
              : t.lost > 0         ? ZoneState::doubted
                                   : ZoneState::well;
    return v;
}

}  // namespace brookrelay::fleet
