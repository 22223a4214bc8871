#include "gossip/outlier_exchange.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <numeric>
#include <set>
#include <tuple>

#include "util/splitmix64.h"

namespace brookrelay::fleet {
namespace {

constexpr double kSlowPart =
    0.5;  // of the objective: an answer that took longer leaves too little for a miss
constexpr std::size_t kKeepers = 3;  // a subject; two that agree are enough, so one may be dead or wrong
constexpr std::size_t kKeepersHeard =
    5;  // whose findings count here: two nodes' views of who is there differ a little
constexpr int kAgree = 2;
constexpr int kVoicesLeast = 3;       // nodes that must find a subject bad before a keeper does, for a zone,
constexpr double kVoicesPart = 0.05;  // and of the zone's nodes;
constexpr int kVoicesHere = 2;        // where other zones' nodes say so too, of this zone's
constexpr double kVolume =
    0.25;  // part of what a usual cache there ends, that ended badly, to find it so at once;
constexpr double kWatch = 1.0;  // s that it is watched where it is less: then all tell what they see there
constexpr double kWatchKept = 3.0;        // s after its voices fell away that a watch ends
constexpr double kBadTimes = 2.0;         // as many bad as good endings to find it bad; as many to let it go
constexpr double kTellAgain = 1.0;        // s between one node's words on one subject
constexpr double kGossipEvery = 1.0 / 3;  // s, if bytes allow
constexpr std::size_t kAliveMost = 12;    // a datagram
constexpr int kToldEach = 3;              // statements of one node on one finding that are held,
constexpr std::size_t kToldMost = 8;      // and of all
constexpr int kSaidEnough = 6;  // times that a node passes on one finding: some log2(700) and a few lost
constexpr int kOwnSaid = 12;    // its own finding,
constexpr int kNewsSaid = 3;    // and of these, those that do not wait for the next turn
constexpr double kStall = 0.6;  // s without a turn: what was seen meanwhile is this node's own doing
constexpr double kDoubt = 2.0;  // s after a stall in which it says nothing of others
constexpr std::size_t kWayLeast = 4;  // subjects touched, from which
constexpr double kWayPart = 0.5;      // of them bad lays it to this node's own way, or to all being full
constexpr double kTrials = 0.7;     // a second, of one zone's nodes together, at a subject that is found bad;
constexpr std::size_t kNewest = 3;  // and of these the newest words that tell whether it still is
constexpr double kTrialLeast = 0.5;
constexpr double kBytesLeast = 64;  // a second: who hardly serves must still be known to be there
constexpr double kPurse = 2.0;      // s of its bytes that a node may save up
constexpr double kStrangerPart =
    0.1;  // of gossip goes to any node, there or not, or a healed cut would stay; more of it
          // where few are known: they would speak to one another alone
constexpr std::size_t kSubjectsMost = 1024;
constexpr int kCellMost = 8;                      // bad endings of one node that count: none may shout
constexpr double kLifeMost = 0x7fffffff * kTick;  // s, some 97 days
constexpr double kLateCounted = 1.0;
constexpr std::size_t kLimitsTold = 12;  // a datagram
constexpr std::size_t kZoneVoters =
    3;  // of the own zone's nodes there; where they are fewer all nodes' words count
constexpr int kZoneNewsEach = 2;    // datagrams a step with news,
constexpr int kZoneNewsMost = 6;    // or so many where it is for all:
constexpr int kZoneNewsMany = 16;   // more than so many are to go
constexpr double kZoneAgain = 0.5;  // s between words on zones that are no news

std::uint32_t bit(int zone) { return 1U << std::clamp(zone, 0, kZonesMost - 1); }

// What a node hears of others a second, when all say what they may: by it the times of Members are set.
double entries_heard(const Terms& terms) {
    return kAliveMost / kGossipEvery * std::min(1.0, terms.bytes_most / 1024);
}

}  // namespace

Exchange::Exchange(const Terms& terms, std::uint32_t start, std::uint64_t seed, double now)
    : terms_(terms),
      start_(start),
      began_(now),
      chance_(static_cast<std::uint32_t>(mix(seed))),
      members_(terms.node, std::max(1, terms.nodes), entries_heard(terms)),
      ticked_(now),
      filled_(now),
      zones_({terms.node, terms.zone, terms.zones, terms.warm_within, terms.regions}, now),
      limits_({terms.node, std::max(1, terms.nodes)}, now) {}

std::optional<Seen> seen_as(Ending ending, double took, double latency_objective) {
    switch (ending) {
        case Ending::succeeded:
        case Ending::miss:
            return took > kSlowPart * latency_objective ? Seen::bad : Seen::good;
        case Ending::errored:
        case Ending::timed_out:
        case Ending::refused:
        case Ending::reset:
            return Seen::bad;
        case Ending::busy:  // it says so itself, at once, and the gates answer it
        case Ending::cancelled:
        case Ending::not_sent:
            break;
    }
    return std::nullopt;
}

std::optional<ZoneEnd> zone_seen_as(Ending ending, double took, double latency_objective) {
    switch (ending) {
        case Ending::succeeded:
        case Ending::miss:
            return took > kSlowPart * latency_objective ? ZoneEnd::strained : ZoneEnd::well;
        case Ending::errored:
        case Ending::busy:
            return ZoneEnd::strained;
        case Ending::timed_out:
        case Ending::refused:
        case Ending::reset:
            return ZoneEnd::silent;
        case Ending::cancelled:
        case Ending::not_sent:
            break;
    }
    return std::nullopt;
}

double overdue_after(double latency_objective) { return kSlowPart * latency_objective; }

// ---- what this node sees itself -------------------------------------------------------------------------

// A process that stood still sees others' answers late and calls them slow: what it saw then is thrown away.
bool Exchange::stalled(double now) {
    const bool stood = now - ticked_ > kStall;
    if (stood) {
        own_.clear();
        doubts_until_ = now + kDoubt;
        zones_.stood_still(now);
        ++counts_.stalls;
    }
    ticked_ = now;
    return stood;
}

void Exchange::turn(Own& own, double now) const {
    constexpr double width = kSightSpan / Own::kBuckets;
    const auto bucket = static_cast<std::int64_t>(now / width);
    const std::int64_t steps = std::min<std::int64_t>(bucket - own.turn, Own::kBuckets);
    for (std::int64_t s = 1; s <= steps; ++s) {
        const auto at = static_cast<std::size_t>((own.turn + s) % Own::kBuckets);
        own.good[at] = own.bad[at] = 0;
    }
    if (steps >= Own::kBuckets) own.good.fill(0), own.bad.fill(0);
    own.turn = std::max(own.turn, bucket);
}

int Exchange::sum(const std::array<int, Own::kBuckets>& buckets) {
    return std::accumulate(buckets.begin(), buckets.end(), 0);
}

void Exchange::asked(double now) {
    const auto second = static_cast<std::int64_t>(now);
    for (std::int64_t s = std::max(arrivals_turn_ + 1, second - 7); s <= second; ++s)
        arrivals_[static_cast<std::size_t>(s % 8)] = 0;
    arrivals_turn_ = std::max(arrivals_turn_, second);
    ++arrivals_[static_cast<std::size_t>(second % 8)];
}

void Exchange::ended(double now, Subject subject, Seen seen) {
    if (now - ticked_ > kStall || now < doubts_until_) return;  // the next tick says why
    if (own_.size() >= kSubjectsMost && !own_.contains(subject)) return;
    Own& own = own_[subject];
    turn(own, now);
    const auto at = static_cast<std::size_t>(own.turn % Own::kBuckets);
    ++(seen == Seen::good ? own.good : own.bad)[at];
    own.any = true;
    own.news = own.news || seen == Seen::bad;
}

// Where most of what it touches is bad, the fault is its own way's, or all are full and none is worse.
bool Exchange::own_way_bad(double now) {
    std::size_t touched = 0, bad = 0;
    for (auto at = own_.begin(); at != own_.end();) {
        turn(at->second, now);
        const int goods = sum(at->second.good), bads = sum(at->second.bad);
        if (goods + bads == 0) {
            at = own_.erase(at);
            continue;
        }
        ++touched;
        if (bads > goods) ++bad;
        ++at;
    }
    return touched >= kWayLeast && static_cast<double>(bad) > kWayPart * static_cast<double>(touched);
}

// ---- what others say ------------------------------------------------------------------------------------

void Exchange::received(double now, int from, std::string_view bytes) {
    ++counts_.received;
    if (from < 0 || from >= terms_.nodes || from == terms_.node) return void(++counts_.strangers);
    Datagram d;
    if (!decode(bytes, d) || d.node != from) return void(++counts_.unsound);
    const Members::Heard heard = members_.heard(now, from, d.stamp, d.zone);
    if (!heard.counts) return void(++counts_.dead_lives);
    if (heard.late > kLateCounted) ++counts_.late;
    if (heard.new_life) {
        for (auto& [subject, kept] : kept_) kept.cells.erase(from);
        zones_.new_life(from);
        limits_.new_life(from);
        owed_grants_.erase(from);  // its earlier life asked
    }
    // Somebody knows a later life of this node than this one: its clock was set back. It must outlive that.
    if (d.start_of_yours > start_ && d.start_of_yours < UINT32_MAX - 1) start_ = d.start_of_yours + 1;
    for (const Alive& a : d.alive) members_.told(now, a, heard.late);
    for (const Sight& s : d.sights) take_sight(now, from, d.stamp, d.zone, s, heard.late);
    for (const Finding& f : d.findings) take_finding(f, now - f.age - heard.late, from);
    for (const Want& w : d.wants) {
        const Grant grant = limits_.wanted(now, from, d.stamp.number, w);
        if (grant.crumbs > 0 && owed_grants_[from].size() < kLimitsTold) owed_grants_[from].push_back(grant);
    }
    for (const Grant& g : d.grants) {
        if (d.start_of_yours == start_) limits_.granted(now, from, g);
    }
    if (terms_.zones_as_one && now - ticked_ <= kStall) zones_.heard(now, from, d.stamp, d.zones, heard.late);
}

void Exchange::take_sight(double now, int from, const Stamp& stamp, int zone, const Sight& sight,
                          double late) {
    if (late > kSightKept || (kept_.size() >= kSubjectsMost && !kept_.contains(sight.subject))) return;
    Cell& cell = kept_[sight.subject].cells[from];
    if (stamp <= cell.stamp) return;  // older, or the same again
    cell = {stamp, zone, sight.good, sight.bad, now - late};
}

// Findings are passed on without proof, so a node could make up another's. What did not come from its keeper
// itself waits until two nodes said the same of it, and is passed on no sooner: who lies alone is one.
void Exchange::take_finding(const Finding& finding, double born, int from) {
    if (finding.keeper >= terms_.nodes || finding.keeper == terms_.node) return;  // its own it knows
    if (spread_.size() >= kSubjectsMost * kKeepersHeard &&
        !spread_.contains({finding.subject, finding.keeper}))
        return;
    Spread& s = spread_[{finding.subject, finding.keeper}];
    const auto same = std::find_if(s.told.begin(), s.told.end(), [&](const Told& t) {
        return t.from == from && t.stamp == finding.stamp && t.zones == finding.zones;
    });
    // Again, by another way: the older account counts, since time on the way may go uncounted and is never
    // made up.
    if (same != s.told.end()) {
        same->born = std::min(same->born, born);
    } else {
        s.told.push_back({from, finding.stamp, finding.zones, finding.voices, born});
        const auto newer = [](const Told& x, const Told& y) {
            return std::tie(x.stamp, x.from, x.zones) > std::tie(y.stamp, y.from, y.zones);
        };
        std::sort(s.told.begin(), s.told.end(), newer);
        int own = 0;
        std::erase_if(s.told, [&](const Told& t) { return t.from == from && ++own > kToldEach; });
        if (s.told.size() > kToldMost) s.told.resize(kToldMost);
    }
    s.finding.subject = finding.subject;
    s.finding.keeper = finding.keeper;
    weigh(s);
}

// The newest that its keeper said here, or that of two nodes both have said or passed: by what is held alone,
// so in whatever order it came.
void Exchange::weigh(Spread& s) {
    const auto best = std::find_if(s.told.begin(), s.told.end(), [&s](const Told& t) {  // newest first
        return t.from == s.finding.keeper ||
               std::any_of(s.told.begin(), s.told.end(), [&t](const Told& other) {
                   return other.from != t.from && other.zones == t.zones && other.stamp >= t.stamp;
               });
    });
    if (best == s.told.end() || (s.stands && best->stamp < s.finding.stamp)) return;
    double born = best->born;
    for (const Told& t : s.told) {
        if (t.stamp == best->stamp && t.zones == best->zones) born = std::min(born, t.born);
    }
    if (s.stands && best->stamp == s.finding.stamp) {
        s.born = std::min(s.born, born);
        return;
    }
    if (!s.stands || s.finding.zones != best->zones) s.said = 0;
    s.finding.stamp = best->stamp;
    s.finding.zones = best->zones;
    s.finding.voices = best->voices;
    s.born = born;
    s.stands = true;
}

// ---- keeping --------------------------------------------------------------------------------------------

// By rendezvous: the same at all nodes that think the same of who is there, and little moved by one that
// goes.
std::vector<int> Exchange::keepers(Subject subject) const {
    std::vector<std::pair<std::uint64_t, int>> ranked;
    ranked.reserve(there_.size());
    for (const int n : there_)
        ranked.emplace_back(mix(std::uint64_t{subject} << 20 ^ static_cast<std::uint64_t>(n)), n);
    const std::size_t most = std::min(kKeepersHeard, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(most), ranked.end());
    std::vector<int> first;
    for (std::size_t i = 0; i < most; ++i) first.push_back(ranked[i].second);
    return first;
}

// Ranked anew once a second: a node has some dozens of subjects to look at eight times as often.
const std::vector<int>& Exchange::keepers_now(Subject subject, double now) {
    auto& [when, who] = keepers_[subject];
    if (who.empty() || now - when > kTellAgain) {
        when = now;
        who = keepers(subject);
    }
    return who;
}

// Once a step: all that follows in it asks for these again and again.
void Exchange::look_who_is_there(double now) {
    there_ = members_.there(now);
    in_zone_.fill(0);
    for (const int n : there_) {
        const int zone = n == terms_.node ? terms_.zone : members_.of(n).zone;
        if (zone >= 0) ++in_zone_[static_cast<std::size_t>(std::min(zone, kZonesMost - 1))];
    }
}

int Exchange::voices_needed(int zone) const {
    // Zones are known only of those heard directly; unheard ones are taken to be spread evenly.
    const int nodes = std::max(in_zone_[static_cast<std::size_t>(std::clamp(zone, 0, kZonesMost - 1))],
                               static_cast<int>(there_.size()) / std::max(1, terms_.zones));
    const int part = static_cast<int>(std::ceil(kVoicesPart * nodes));
    return std::max(part, std::min(kVoicesLeast, std::max(2, nodes - 1)));
}

// What the nodes of a zone together end at a usual cache of theirs in the span, by what this one ends itself.
double Exchange::expected(double now) const {
    const double nodes = static_cast<double>(there_.size()) / std::max(1, terms_.zones);
    return rate(now) * kSightSpan * nodes / std::max(1, caches_);
}

void Exchange::judge(double now) {
    for (auto at = kept_.begin(); at != kept_.end();) {
        std::erase_if(at->second.cells,
                      [now](const auto& entry) { return now - entry.second.born > kSightKept; });
        judge(now, at->first, at->second);
        const Kept& k = at->second;
        const bool done =
            k.cells.empty() && k.zones == 0 && now - std::max(k.ended, k.suspected) > kFindingKept;
        at = done ? kept_.erase(at) : std::next(at);
    }
}

bool Exchange::found_by_another(Subject subject, int zone, double now) const {
    for (auto at = spread_.lower_bound({subject, -1}); at != spread_.end() && at->first.first == subject;
         ++at) {
        const bool fresh = at->second.stands && now - at->second.born <= kFindingKept;
        if (fresh && at->first.second != terms_.node && (at->second.finding.zones & bit(zone)) != 0)
            return true;
    }
    return false;
}

void Exchange::judge(double now, Subject subject, Kept& kept) {
    struct Sum {
        int voices = 0, good = 0, bad = 0;
        std::vector<std::pair<double, bool>> newest;  // by age, and whether bad
    };
    std::map<int, Sum> zones;
    for (const auto& [node, cell] : kept.cells) {
        Sum& sum = zones[cell.zone];
        if (cell.bad > cell.good) ++sum.voices;
        if (cell.bad + cell.good > 0) sum.newest.emplace_back(now - cell.born, cell.bad > cell.good);
        sum.good += std::min(cell.good, kCellMost);
        sum.bad += std::min(cell.bad, kCellMost);
    }
    std::uint32_t found = 0;
    kept.voices = 0;
    int voices = 0;
    for (const auto& [zone, sum] : zones) voices += sum.voices;
    for (auto& [zone, sum] : zones) {
        // Once it is left, hardly anyone asks there, and what counts is how those few fared last.
        std::sort(sum.newest.begin(), sum.newest.end());
        if (sum.newest.size() > kNewest) sum.newest.resize(kNewest);
        const auto still =
            std::count_if(sum.newest.begin(), sum.newest.end(), [](const auto& word) { return word.second; });
        const bool stays = 2 * still > static_cast<std::ptrdiff_t>(sum.newest.size());
        // Where another keeper has found it already, what this one is still told comes from few: two are
        // enough.
        const bool was = (kept.zones & bit(zone)) != 0;
        const bool joins = !was && sum.voices >= kAgree && sum.bad >= kBadTimes * sum.good &&
                           found_by_another(subject, zone, now);
        // Nobody tells of what goes well unless it is watched, and gates let little go to a cache that fails:
        // so few bad endings may be chance among many good ones, or all that there is. Being watched tells
        // which. Voices of all zones together are enough where two of this one are among them.
        const bool bad =
            sum.voices >= kVoicesHere && voices >= voices_needed(zone) && sum.bad >= kBadTimes * sum.good;
        if (bad && now - kept.suspected > kWatchKept) kept.watched_since = now;
        if (bad) kept.suspected = now;
        const bool sure = sum.bad >= kVolume * expected(now) || now - kept.watched_since >= kWatch;
        const bool is = was || joins ? stays : bad && sure;
        if (!is) continue;
        found |= bit(zone);
        kept.voices += sum.voices;
    }
    const bool changed = found != kept.zones;
    if (changed && found == 0) kept.ended = now;
    kept.zones = found;
    const bool speaks =
        found != 0 || now - std::max(kept.ended, kept.suspected + kWatchKept - kFindingKept) <= kFindingKept;
    if (!speaks || (!changed && now - kept.stated < kTellAgain)) return;
    kept.stated = now;
    Spread& s = spread_[{subject, terms_.node}];
    if (changed || s.finding.stamp.number == 0) s.said = 0;
    const auto ticks = static_cast<std::uint32_t>((now - began_) / kTick) + 1;
    s.finding = {subject, terms_.node, {start_, ticks}, found, kept.voices, 0};
    s.born = now;
    s.stands = true;
}

// Two of the subject's keepers must say so, and more than say otherwise: one alone may be wrong, or lie.
bool Exchange::counts(Subject subject, double now) {
    int say = 0, deny = 0;
    for (const int keeper : keepers_now(subject, now)) {
        const auto at = spread_.find({subject, keeper});
        if (at == spread_.end() || !at->second.stands || now - at->second.born > kFindingKept) continue;
        // What it found in an earlier life is void: nothing of that is kept there any more.
        if (keeper != terms_.node && at->second.finding.stamp.start < members_.of(keeper).start) continue;
        ++((at->second.finding.zones & bit(terms_.zone)) != 0 ? say : deny);
    }
    return say >= kAgree && say > deny;
}

std::vector<Exchange::Verdict> Exchange::verdicts(double now) {
    std::vector<Verdict> all;
    const double nodes = static_cast<double>(there_.size()) / std::max(1, terms_.zones);
    Subject last = 0;
    bool first = true;
    for (const auto& [key, s] : spread_) {
        if (!first && key.first == last) continue;
        first = false;
        last = key.first;
        if (now < doubts_until_ || !counts(key.first, now)) continue;
        Stand& stand = standing_[key.first];
        if (stand.said < 0) stand.since = now;
        stand.said = now;
        all.push_back({key.first, true, std::max(kTrialLeast, nodes / kTrials)});
    }
    for (auto at = standing_.begin(); at != standing_.end();) {
        if (at->second.said == now) {
            ++at;
            continue;
        }
        all.push_back({at->first, false, 0});
        at = standing_.erase(at);
    }
    return all;
}

// ---- what this node says --------------------------------------------------------------------------------

double Exchange::rate(double now) const {
    // Whole seconds that are over; the one that runs is not, and what lies over eight back was used again.
    const auto second = static_cast<std::int64_t>(now);
    int sum = 0, seconds = 0;
    for (std::int64_t s = std::max<std::int64_t>(second - 7, static_cast<std::int64_t>(began_)); s < second;
         ++s, ++seconds) {
        if (s <= arrivals_turn_ && s > arrivals_turn_ - 8) sum += arrivals_[static_cast<std::size_t>(s % 8)];
    }
    return seconds == 0 ? 0 : static_cast<double>(sum) / seconds;
}

double Exchange::allowance(double now) const {
    if (terms_.price <= 0) return terms_.bytes_most;
    const double paid = terms_.price_part / terms_.price * 256 * rate(now);
    return std::clamp(paid, std::min(kBytesLeast, terms_.bytes_most), terms_.bytes_most);
}

std::vector<Outgoing> Exchange::tick(double now, double wall) {
    std::vector<Outgoing> out;
    stalled(now);
    look_who_is_there(now);
    if (now - began_ > kLifeMost) {  // the numbers would begin anew: a life of their own for them
        ++start_;
        began_ = now;
        last_number_ = 0;
    }
    const double bytes = allowance(now);
    // Half of the bytes is for sights, half for what goes round: neither may starve the other.
    const double more = (now - filled_) * bytes / 2;
    filled_ = now;
    const double most = std::max(bytes / 2 * kPurse, static_cast<double>(kDatagramMost));
    report_purse_ = std::min(report_purse_ + more, most);
    gossip_purse_ = std::min(gossip_purse_ + more, most);
    more_purse_ = std::min(more_purse_ + more, most);  // zones and limits: spent where they are not as usual
    for (auto& [key, s] : spread_) {
        std::erase_if(s.told, [now](const Told& t) { return now - t.born > kFindingKept; });
        if (now - s.born > kFindingKept) s.stands = false;
    }
    std::erase_if(spread_,
                  [](const auto& entry) { return !entry.second.stands && entry.second.told.empty(); });
    std::erase_if(keepers_, [now](const auto& entry) { return now - entry.second.first > kOldest; });
    if (terms_.nodes > 1) {
        report(now, out);
        judge(now);
        gossip(now, out);
        speak_of_limits(now, out);
    }
    if (terms_.zones_as_one)
        speak_of_zones(now, wall, out);  // also alone: an operator's hand needs no other node
    return out;
}

// Who was asked for a part answers before it asks itself. A grant that is lost lapses with both.
void Exchange::speak_of_limits(double now, std::vector<Outgoing>& out) {
    for (auto& [to, grants] : std::exchange(owed_grants_, {})) {
        Datagram d = headed(to, now);
        d.grants = std::move(grants);
        send(to, std::move(d), more_purse_, out);
    }
    std::vector<int> others = there_;
    std::erase(others, terms_.node);
    std::map<int, std::vector<Want>> wants;
    std::set<int> renewed;
    for (const Limits::Ask& ask : limits_.tick(now, others, draw())) {
        if (wants[ask.to].size() < kLimitsTold) wants[ask.to].push_back(ask.want);
        if (ask.renews) renewed.insert(ask.to);
    }
    // Where bytes are short, what would lapse goes before what is asked for beside it.
    std::vector<int> order;
    for (const auto& [to, asked] : wants) order.push_back(to);
    std::stable_partition(order.begin(), order.end(), [&renewed](int to) { return renewed.contains(to); });
    for (const int to : order) {
        Datagram d = headed(to, now);
        d.wants = wants[to];
        const std::uint32_t number = d.stamp.number;
        if (!send(to, std::move(d), more_purse_, out)) continue;
        for (const Want& w : wants[to]) limits_.asked(to, w, number, now);
    }
}

// What is not as usual with a zone goes straight to those whose business it is: news at once to some drawn by
// chance, an answer to whoever said otherwise, and what stands again and again.
void Exchange::speak_of_zones(double now, double wall, std::vector<Outgoing>& out) {
    voters_.clear();
    for (const int n : there_) {
        if (n == terms_.node || members_.of(n).zone == terms_.zone) voters_.push_back(n);
    }
    if (voters_.size() < kZoneVoters) voters_ = there_;
    const std::vector<Zones::Order> changed =
        zones_.tick(now, voters_, static_cast<std::int64_t>(wall / Zones::turn_length()));
    zone_orders_.insert(zone_orders_.end(), changed.begin(), changed.end());
    const std::vector<int> owed = zones_.owed();
    if (!zones_.uneasy(now) && zones_.news() == 0 && owed.empty()) return;
    const auto say = [&](int to) { return send(to, headed(to, now), more_purse_, out); };
    for (const int to : owed) say(to);
    if (voters_.size() < 2 || (zones_.news() == 0 && now - zones_said_ < kZoneAgain)) return;
    for (int n = 0; n < (zones_.news() > kZoneNewsMany ? kZoneNewsMost
                         : zones_.news() > 0           ? kZoneNewsEach
                                                       : 1);
         ++n) {
        const auto at = static_cast<std::size_t>(draw() * static_cast<double>(voters_.size() - 1));
        if (!say(voters_[at] == terms_.node ? voters_.back() : voters_[at])) return;
        zones_said_ = now;
        zones_.told();
    }
}

std::vector<Zones::View> Exchange::zone_views(double now) const {
    std::vector<Zones::View> all;
    for (int z = 0; z < std::min(terms_.zones, kZonesMost); ++z) all.push_back(zones_.view(now, z, voters_));
    return all;
}

Datagram Exchange::headed(int to, double now) {
    Datagram d;
    d.node = terms_.node;
    last_number_ = std::max(last_number_ + 1, static_cast<std::uint32_t>((now - began_) / kTick) + 1);
    d.stamp = {start_, last_number_};
    d.zone = terms_.zone;
    d.start_of_yours = members_.of(to).start;
    if (terms_.zones_as_one) d.zones = zones_.voices(now);  // in each: what is not spoken of is as usual
    return d;
}

bool Exchange::send(int to, Datagram&& datagram, double& purse, std::vector<Outgoing>& out) {
    std::string bytes = encode(datagram);
    if (bytes.size() > kDatagramMost || purse < static_cast<double>(bytes.size())) return false;
    purse -= static_cast<double>(bytes.size());
    ++counts_.sent;
    counts_.sent_bytes += bytes.size();
    out.push_back({to, std::move(bytes)});
    return true;
}

// To a subject's keepers, what this node saw go wrong; of what is found bad, or was lately, all that it sees:
// those few trials are what it may be taken back by.
void Exchange::report(double now, std::vector<Outgoing>& out) {
    const bool muted = own_way_bad(now);
    if (now < doubts_until_) return;
    if (muted) return void(++counts_.muted);
    std::map<int, std::vector<Subject>> to;
    for (auto& [subject, own] : own_) {
        if (now - own.told < kTellAgain || !own.any) continue;
        const auto spoken = spread_.lower_bound({subject, -1});
        // By any finding that goes round, also one that only waits: all it makes a node do is tell what it
        // sees.
        const bool watched = spoken != spread_.end() && spoken->first.first == subject;
        if (!own.news && !watched) continue;
        const std::vector<int>& heard = keepers_now(subject, now);
        for (std::size_t k = 0; k < std::min(kKeepers, heard.size()); ++k) to[heard[k]].push_back(subject);
    }
    std::map<Subject, bool> said;
    for (const auto& [keeper, subjects] : to) {
        // Some 13 bytes each, and a head of some 30: what does not fit waits for the next tick.
        constexpr std::size_t kSightsMost = 14;
        Datagram d = headed(keeper, now);
        for (std::size_t i = 0; i < std::min(subjects.size(), kSightsMost); ++i) {
            Own& own = own_[subjects[i]];
            turn(own, now);
            d.sights.push_back({subjects[i], sum(own.good), sum(own.bad)});
        }
        const std::vector<Sight> sights = d.sights;
        if (keeper == terms_.node) {
            for (const Sight& s : sights) take_sight(now, keeper, d.stamp, terms_.zone, s, 0);
        } else if (!send(keeper, std::move(d), report_purse_, out)) {
            continue;
        }
        for (const Sight& s : sights) said[s.subject] = true;
    }
    for (const auto& [subject, yes] : said) {
        Own& own = own_[subject];
        own.told = now;
        own.news = own.any = false;
    }
}

// To somebody drawn by chance: who is there, and findings, those that are news first. Everything that stands
// is said again and again with its age, so a gap closes by itself, and whatever is not said again is gone by
// its bound.
void Exchange::gossip(double now, std::vector<Outgoing>& out) {
    // A finding that changed does not wait for its turn: it goes on at each step until it was passed on a few
    // times.
    const bool news = std::any_of(spread_.begin(), spread_.end(), [this](const auto& entry) {
        return entry.second.stands &&
               entry.second.said < (entry.first.second == terms_.node ? kOwnSaid : kNewsSaid);
    });
    if (!news && now - gossiped_ < kGossipEvery * (0.75 + 0.5 * draw())) return;
    std::vector<int> others = there_;
    std::erase(others, terms_.node);
    int to = -1;
    const bool young = now - began_ < members_.gone_after();  // and knows few yet
    if (young || draw() < std::max(kStrangerPart, 1.0 / static_cast<double>(there_.size()))) {
        const int any = static_cast<int>(draw() * (terms_.nodes - 1));
        to = any >= terms_.node ? any + 1 : any;
    } else {
        to = others[static_cast<std::size_t>(draw() * static_cast<double>(others.size()))];
    }
    Datagram d = headed(to, now);
    d.alive = members_.freshest(now, kAliveMost);
    std::vector<Spread*> findings;
    for (auto& [key, s] : spread_) {
        if (s.stands) findings.push_back(&s);
    }
    constexpr std::size_t kEach =
        22;  // bytes of a finding at the most, but for numbers that no fleet reaches
    const std::size_t room = (kDatagramMost - std::min(kDatagramMost, encode(d).size() + 4)) / kEach;
    const auto first = findings.begin() + static_cast<std::ptrdiff_t>(std::min(room, findings.size()));
    std::partial_sort(findings.begin(), first, findings.end(), [&](const Spread* a, const Spread* b) {
        const auto turn =
            [this](const Spread* s) {  // its own it says more often: only from it are they sure at once
                return s->finding.keeper == terms_.node
                           ? std::max(0, std::min(s->said, kOwnSaid) - kOwnSaid + kSaidEnough)
                           : std::min(s->said, kSaidEnough);
            };
        const int x = turn(a), y = turn(b);
        return x != y ? x < y : a->born > b->born;
    });
    findings.erase(first, findings.end());
    for (const Spread* s : findings) {
        d.findings.push_back(s->finding);
        d.findings.back().age = now - s->born;
    }
    if (!send(to, std::move(d), gossip_purse_, out)) return;
    gossiped_ = now;
    for (Spread* s : findings) ++s->said;
}

// ---- for operators --------------------------------------------------------------------------------------

State Exchange::state(double now) const {
    State s;
    for (int n = 0; n < members_.count(); ++n) {
        s.members.emplace_back(n, n == terms_.node ? Presence::fresh : members_.presence(n, now));
        s.ages.push_back(n == terms_.node ? 0 : members_.age(n, now));
        s.starts.push_back(n == terms_.node ? start_ : members_.of(n).start);
    }
    for (const auto& [subject, kept] : kept_) {
        s.sights_kept += kept.cells.size();
        for (const auto& [node, cell] : kept.cells)
            s.oldest_sight = std::max(s.oldest_sight, now - cell.born);
    }
    for (const auto& [key, spread] : spread_) {
        if (!spread.stands) continue;
        if (s.verdicts.empty() || s.verdicts.back().subject != key.first) {
            const auto stands = standing_.find(key.first);
            s.verdicts.push_back({key.first,
                                  stands != standing_.end(),
                                  stands == standing_.end() ? 0 : now - stands->second.since,
                                  {}});
        }
        s.verdicts.back().said.push_back(
            {key.second, spread.finding.zones, spread.finding.voices, now - spread.born});
    }
    s.doubts_itself = now < doubts_until_;
    s.bytes_a_second = allowance(now);
    s.counts = counts_;
    return s;
}

}  // namespace brookrelay::fleet
