#include "gossip/outlier_exchange.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <numeric>
#include <set>
#include <tuple>

#include "util/splitmix64.h"

namespace brookrelay::gossip {
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
constexpr int kCellMost = 8;                             // bad endings of one node that count: none may shout
constexpr double kLifeMost = 0x7fffffff * kTickSeconds;  // s, some 97 days
constexpr double kLateCounted = 1.0;
constexpr std::size_t kLimitsTold = 12;  // a datagram
constexpr std::size_t kZoneVoters =
    3;  // of the own zone's nodes there; where they are fewer all nodes' words count
constexpr int kZoneNewsEach = 2;    // datagrams a step with news,
constexpr int kZoneNewsMost = 6;    // or so many where it is for all:
constexpr int kZoneNewsMany = 16;   // more than so many are to go
constexpr double kZoneAgain = 0.5;  // s between words on zones that are no news

std::uint32_t bit(int zone) { return 1U << std::clamp(zone, 0, kMaxZones - 1); }

// What a node hears of others a second, when all say what they may: by it the times of Members are set.
double entries_heard(const GossipSettings& terms) {
    return kAliveMost / kGossipEvery * std::min(1.0, terms.max_bytes_per_second / 1024);
}

}  // namespace

OutlierExchange::OutlierExchange(const GossipSettings& terms, std::uint32_t start, std::uint64_t seed,
                                 double now)
    : terms_(terms),
      start_(start),
      began_(now),
      chance_(static_cast<std::uint32_t>(mix(seed))),
      members_(terms.node_index, std::max(1, terms.node_count), entries_heard(terms)),
      ticked_(now),
      filled_(now),
      zones_(
          {terms.node_index, terms.zone, terms.zone_count, terms.slow_start_duration, terms.failure_domains},
          now),
      limits_({terms.node_index, std::max(1, terms.node_count)}, now) {}

std::optional<AttemptHealth> classify_attempt(AttemptOutcome ending, double took, double latency_objective) {
    switch (ending) {
        case AttemptOutcome::succeeded:
        case AttemptOutcome::miss:
            return took > kSlowPart * latency_objective ? AttemptHealth::bad : AttemptHealth::good;
        case AttemptOutcome::failed:
        case AttemptOutcome::timed_out:
        case AttemptOutcome::refused:
        case AttemptOutcome::reset:
            return AttemptHealth::bad;
        case AttemptOutcome::busy:  // it says so itself, at once, and the gates answer it
        case AttemptOutcome::cancelled:
        case AttemptOutcome::not_sent:
            break;
    }
    return std::nullopt;
}

std::optional<ZoneAttempt> classify_zone_attempt(AttemptOutcome ending, double took,
                                                 double latency_objective) {
    switch (ending) {
        case AttemptOutcome::succeeded:
        case AttemptOutcome::miss:
            return took > kSlowPart * latency_objective ? ZoneAttempt::strained : ZoneAttempt::healthy;
        case AttemptOutcome::failed:
        case AttemptOutcome::busy:
            return ZoneAttempt::strained;
        case AttemptOutcome::timed_out:
        case AttemptOutcome::refused:
        case AttemptOutcome::reset:
            return ZoneAttempt::silent;
        case AttemptOutcome::cancelled:
        case AttemptOutcome::not_sent:
            break;
    }
    return std::nullopt;
}

double overdue_after(double latency_objective) { return kSlowPart * latency_objective; }

// ---- what this node sees itself -------------------------------------------------------------------------

// A process that stood still sees others' answers late and calls them slow: what it saw then is thrown away.
bool OutlierExchange::stalled(double now) {
    const bool stood = now - ticked_ > kStall;
    if (stood) {
        own_.clear();
        doubts_until_ = now + kDoubt;
        zones_.on_process_pause(now);
        ++counts_.process_pauses;
    }
    ticked_ = now;
    return stood;
}

void OutlierExchange::turn(Own& own, double now) const {
    constexpr double kBucketSeconds = kObservationWindow / Own::kBuckets;
    const auto bucket = static_cast<std::int64_t>(now / kBucketSeconds);
    const std::int64_t steps = std::min<std::int64_t>(bucket - own.turn, Own::kBuckets);
    for (std::int64_t s = 1; s <= steps; ++s) {
        const auto at = static_cast<std::size_t>((own.turn + s) % Own::kBuckets);
        own.good[at] = own.bad[at] = 0;
    }
    if (steps >= Own::kBuckets) own.good.fill(0), own.bad.fill(0);
    own.turn = std::max(own.turn, bucket);
}

int OutlierExchange::sum(const std::array<int, Own::kBuckets>& buckets) {
    return std::accumulate(buckets.begin(), buckets.end(), 0);
}

void OutlierExchange::on_request(double now) {
    const auto second = static_cast<std::int64_t>(now);
    for (std::int64_t s = std::max(arrivals_turn_ + 1, second - 7); s <= second; ++s)
        arrivals_[static_cast<std::size_t>(s % 8)] = 0;
    arrivals_turn_ = std::max(arrivals_turn_, second);
    ++arrivals_[static_cast<std::size_t>(second % 8)];
}

void OutlierExchange::on_attempt_finished(double now, ServerKey subject, AttemptHealth seen) {
    if (now - ticked_ > kStall || now < doubts_until_) return;  // the next tick says why
    if (own_.size() >= kSubjectsMost && !own_.contains(subject)) return;
    Own& own = own_[subject];
    turn(own, now);
    const auto at = static_cast<std::size_t>(own.turn % Own::kBuckets);
    ++(seen == AttemptHealth::good ? own.good : own.bad)[at];
    own.any = true;
    own.news = own.news || seen == AttemptHealth::bad;
}

// Where most of what it touches is bad, the fault is its own way's, or all are full and none is worse.
bool OutlierExchange::own_way_bad(double now) {
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

void OutlierExchange::on_datagram(double now, int from, std::string_view bytes) {
    ++counts_.received;
    if (from < 0 || from >= terms_.node_count || from == terms_.node_index)
        return void(++counts_.unknown_senders);
    Datagram d;
    if (!decode(bytes, d) || d.node != from) return void(++counts_.malformed);
    const Membership::HeartbeatResult heard = members_.on_heartbeat(now, from, d.stamp, d.zone);
    if (!heard.accepted) return void(++counts_.stale_incarnations);
    if (heard.delay > kLateCounted) ++counts_.delayed;
    if (heard.new_incarnation) {
        for (auto& [subject, kept] : kept_) kept.cells.erase(from);
        zones_.on_new_incarnation(from);
        limits_.on_new_incarnation(from);
        owed_grants_.erase(from);  // its earlier life asked
    }
    // Somebody knows a later life of this node than this one: its clock was set back. It must outlive that.
    if (d.receiver_incarnation > start_ && d.receiver_incarnation < UINT32_MAX - 1)
        start_ = d.receiver_incarnation + 1;
    for (const Heartbeat& a : d.heartbeats) members_.on_relayed_heartbeat(now, a, heard.delay);
    for (const Observation& s : d.observations) take_sight(now, from, d.stamp, d.zone, s, heard.delay);
    for (const Verdict& f : d.verdicts) take_finding(f, now - f.age - heard.delay, from);
    for (const LeaseRequest& w : d.lease_requests) {
        const LeaseGrant grant = limits_.on_request(now, from, d.stamp.sequence, w);
        if (grant.units > 0 && owed_grants_[from].size() < kLimitsTold) owed_grants_[from].push_back(grant);
    }
    for (const LeaseGrant& g : d.lease_grants) {
        if (d.receiver_incarnation == start_) limits_.on_grant(now, from, g);
    }
    if (terms_.zone_failover && now - ticked_ <= kStall)
        zones_.on_reports(now, from, d.stamp, d.zone_reports, heard.delay);
}

void OutlierExchange::take_sight(double now, int from, const Stamp& stamp, int zone, const Observation& sight,
                                 double late) {
    if (late > kObservationLifetime || (kept_.size() >= kSubjectsMost && !kept_.contains(sight.server)))
        return;
    Cell& cell = kept_[sight.server].cells[from];
    if (stamp <= cell.stamp) return;  // older, or the same again
    cell = {stamp, zone, sight.successes, sight.failures, now - late};
}

// Findings are passed on without proof, so a node could make up another's. What did not come from its keeper
// itself waits until two nodes said the same of it, and is passed on no sooner: who lies alone is one.
void OutlierExchange::take_finding(const Verdict& finding, double born, int from) {
    if (finding.owner >= terms_.node_count || finding.owner == terms_.node_index) return;  // its own it knows
    if (spread_.size() >= kSubjectsMost * kKeepersHeard && !spread_.contains({finding.server, finding.owner}))
        return;
    Spread& s = spread_[{finding.server, finding.owner}];
    const auto same = std::find_if(s.told.begin(), s.told.end(), [&](const Told& t) {
        return t.from == from && t.stamp == finding.stamp && t.zones == finding.bad_zones;
    });
    // Again, by another way: the older account counts, since time on the way may go uncounted and is never
    // made up.
    if (same != s.told.end()) {
        same->born = std::min(same->born, born);
    } else {
        s.told.push_back({from, finding.stamp, finding.bad_zones, finding.reporters, born});
        const auto newer = [](const Told& x, const Told& y) {
            return std::tie(x.stamp, x.from, x.zones) > std::tie(y.stamp, y.from, y.zones);
        };
        std::sort(s.told.begin(), s.told.end(), newer);
        int own = 0;
        std::erase_if(s.told, [&](const Told& t) { return t.from == from && ++own > kToldEach; });
        if (s.told.size() > kToldMost) s.told.resize(kToldMost);
    }
    s.finding.server = finding.server;
    s.finding.owner = finding.owner;
    weigh(s);
}

// The newest that its keeper said here, or that of two nodes both have said or passed: by what is held alone,
// so in whatever order it came.
void OutlierExchange::weigh(Spread& s) {
    const auto best = std::find_if(s.told.begin(), s.told.end(), [&s](const Told& t) {  // newest first
        return t.from == s.finding.owner ||
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
    if (!s.stands || s.finding.bad_zones != best->zones) s.said = 0;
    s.finding.stamp = best->stamp;
    s.finding.bad_zones = best->zones;
    s.finding.reporters = best->voices;
    s.born = born;
    s.stands = true;
}

// ---- keeping --------------------------------------------------------------------------------------------

// By rendezvous: the same at all nodes that think the same of who is there, and little moved by one that
// goes.
std::vector<int> OutlierExchange::keepers(ServerKey subject) const {
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
const std::vector<int>& OutlierExchange::keepers_now(ServerKey subject, double now) {
    auto& [when, who] = keepers_[subject];
    if (who.empty() || now - when > kTellAgain) {
        when = now;
        who = keepers(subject);
    }
    return who;
}

// Once a step: all that follows in it asks for these again and again.
void OutlierExchange::look_who_is_there(double now) {
    there_ = members_.there(now);
    in_zone_.fill(0);
    for (const int n : there_) {
        const int zone = n == terms_.node_index ? terms_.zone : members_.member(n).zone;
        if (zone >= 0) ++in_zone_[static_cast<std::size_t>(std::min(zone, kMaxZones - 1))];
    }
}

int OutlierExchange::voices_needed(int zone) const {
    // Zones are known only of those heard directly; unheard ones are taken to be spread evenly.
    const int nodes = std::max(in_zone_[static_cast<std::size_t>(std::clamp(zone, 0, kMaxZones - 1))],
                               static_cast<int>(there_.size()) / std::max(1, terms_.zone_count));
    const int part = static_cast<int>(std::ceil(kVoicesPart * nodes));
    return std::max(part, std::min(kVoicesLeast, std::max(2, nodes - 1)));
}

// What the nodes of a zone together end at a usual cache of theirs in the span, by what this one ends itself.
double OutlierExchange::expected(double now) const {
    const double nodes = static_cast<double>(there_.size()) / std::max(1, terms_.zone_count);
    return rate(now) * kObservationWindow * nodes / std::max(1, caches_);
}

void OutlierExchange::judge(double now) {
    for (auto at = kept_.begin(); at != kept_.end();) {
        std::erase_if(at->second.cells,
                      [now](const auto& entry) { return now - entry.second.born > kObservationLifetime; });
        judge(now, at->first, at->second);
        const Kept& k = at->second;
        const bool done =
            k.cells.empty() && k.zones == 0 && now - std::max(k.ended, k.suspected) > kVerdictLifetime;
        at = done ? kept_.erase(at) : std::next(at);
    }
}

bool OutlierExchange::found_by_another(ServerKey subject, int zone, double now) const {
    for (auto at = spread_.lower_bound({subject, -1}); at != spread_.end() && at->first.first == subject;
         ++at) {
        const bool fresh = at->second.stands && now - at->second.born <= kVerdictLifetime;
        if (fresh && at->first.second != terms_.node_index && (at->second.finding.bad_zones & bit(zone)) != 0)
            return true;
    }
    return false;
}

// NOLINTNEXTLINE(readability-function-cognitive-complexity): see ROADMAP
void OutlierExchange::judge(double now, ServerKey subject, Kept& kept) {
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
        found != 0 ||
        now - std::max(kept.ended, kept.suspected + kWatchKept - kVerdictLifetime) <= kVerdictLifetime;
    if (!speaks || (!changed && now - kept.stated < kTellAgain)) return;
    kept.stated = now;
    Spread& s = spread_[{subject, terms_.node_index}];
    if (changed || s.finding.stamp.sequence == 0) s.said = 0;
    const auto ticks = static_cast<std::uint32_t>((now - began_) / kTickSeconds) + 1;
    s.finding = {subject, terms_.node_index, {start_, ticks}, found, kept.voices, 0};
    s.born = now;
    s.stands = true;
}

// Two of the subject's keepers must say so, and more than say otherwise: one alone may be wrong, or lie.
bool OutlierExchange::counts(ServerKey subject, double now) {
    int say = 0, deny = 0;
    for (const int keeper : keepers_now(subject, now)) {
        const auto at = spread_.find({subject, keeper});
        if (at == spread_.end() || !at->second.stands || now - at->second.born > kVerdictLifetime) continue;
        // What it found in an earlier life is void: nothing of that is kept there any more.
        if (keeper != terms_.node_index &&
            at->second.finding.stamp.incarnation < members_.member(keeper).incarnation)
            continue;
        ++((at->second.finding.bad_zones & bit(terms_.zone)) != 0 ? say : deny);
    }
    return say >= kAgree && say > deny;
}

std::vector<OutlierExchange::ServerVerdict> OutlierExchange::verdicts(double now) {
    std::vector<ServerVerdict> all;
    const double nodes = static_cast<double>(there_.size()) / std::max(1, terms_.zone_count);
    ServerKey last = 0;
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

double OutlierExchange::rate(double now) const {
    // Whole seconds that are over; the one that runs is not, and what lies over eight back was used again.
    const auto second = static_cast<std::int64_t>(now);
    int sum = 0, seconds = 0;
    for (std::int64_t s = std::max<std::int64_t>(second - 7, static_cast<std::int64_t>(began_)); s < second;
         ++s, ++seconds) {
        if (s <= arrivals_turn_ && s > arrivals_turn_ - 8) sum += arrivals_[static_cast<std::size_t>(s % 8)];
    }
    return seconds == 0 ? 0 : static_cast<double>(sum) / seconds;
}

double OutlierExchange::allowance(double now) const {
    if (terms_.price <= 0) return terms_.max_bytes_per_second;
    const double paid = terms_.max_price_ratio / terms_.price * 256 * rate(now);
    return std::clamp(paid, std::min(kBytesLeast, terms_.max_bytes_per_second), terms_.max_bytes_per_second);
}

std::vector<Outgoing> OutlierExchange::tick(double now, double wall) {
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
    const double most = std::max(bytes / 2 * kPurse, static_cast<double>(kMaxDatagramBytes));
    report_purse_ = std::min(report_purse_ + more, most);
    gossip_purse_ = std::min(gossip_purse_ + more, most);
    more_purse_ = std::min(more_purse_ + more, most);  // zones and limits: spent where they are not as usual
    for (auto& [key, s] : spread_) {
        std::erase_if(s.told, [now](const Told& t) { return now - t.born > kVerdictLifetime; });
        if (now - s.born > kVerdictLifetime) s.stands = false;
    }
    std::erase_if(spread_,
                  [](const auto& entry) { return !entry.second.stands && entry.second.told.empty(); });
    std::erase_if(keepers_, [now](const auto& entry) { return now - entry.second.first > kMaxEvidenceAge; });
    if (terms_.node_count > 1) {
        report(now, out);
        judge(now);
        gossip(now, out);
        speak_of_limits(now, out);
    }
    if (terms_.zone_failover)
        speak_of_zones(now, wall, out);  // also alone: an operator's hand needs no other node
    return out;
}

// Who was asked for a part answers before it asks itself. A grant that is lost lapses with both.
void OutlierExchange::speak_of_limits(double now, std::vector<Outgoing>& out) {
    for (auto& [to, grants] : std::exchange(owed_grants_, {})) {
        Datagram d = headed(to, now);
        d.lease_grants = std::move(grants);
        send(to, std::move(d), more_purse_, out);
    }
    std::vector<int> others = there_;
    std::erase(others, terms_.node_index);
    std::map<int, std::vector<LeaseRequest>> wants;
    std::set<int> renewed;
    for (const QuotaLeases::OutgoingRequest& ask : limits_.tick(now, others, draw())) {
        if (wants[ask.to].size() < kLimitsTold) wants[ask.to].push_back(ask.request);
        if (ask.is_renewal) renewed.insert(ask.to);
    }
    // Where bytes are short, what would lapse goes before what is asked for beside it.
    std::vector<int> order;
    for (const auto& [to, asked] : wants) order.push_back(to);
    std::stable_partition(order.begin(), order.end(), [&renewed](int to) { return renewed.contains(to); });
    for (const int to : order) {
        Datagram d = headed(to, now);
        d.lease_requests = wants[to];
        const std::uint32_t number = d.stamp.sequence;
        if (!send(to, std::move(d), more_purse_, out)) continue;
        for (const LeaseRequest& w : wants[to]) limits_.on_request_sent(to, w, number, now);
    }
}

// What is not as usual with a zone goes straight to those whose business it is: news at once to some drawn by
// chance, an answer to whoever said otherwise, and what stands again and again.
void OutlierExchange::speak_of_zones(double now, double wall, std::vector<Outgoing>& out) {
    voters_.clear();
    for (const int n : there_) {
        if (n == terms_.node_index || members_.member(n).zone == terms_.zone) voters_.push_back(n);
    }
    if (voters_.size() < kZoneVoters) voters_ = there_;
    const std::vector<ZoneFailover::Change> changed =
        zones_.tick(now, voters_, static_cast<std::int64_t>(wall / ZoneFailover::probe_turn_length()));
    zone_orders_.insert(zone_orders_.end(), changed.begin(), changed.end());
    const std::vector<int> owed = zones_.replies_due();
    if (!zones_.has_unhealthy_zone(now) && zones_.urgent_reports() == 0 && owed.empty()) return;
    const auto say = [&](int to) { return send(to, headed(to, now), more_purse_, out); };
    for (const int to : owed) say(to);
    if (voters_.size() < 2 || (zones_.urgent_reports() == 0 && now - zones_said_ < kZoneAgain)) return;
    for (int n = 0; n < (zones_.urgent_reports() > kZoneNewsMany ? kZoneNewsMost
                         : zones_.urgent_reports() > 0           ? kZoneNewsEach
                                                                 : 1);
         ++n) {
        const auto at = static_cast<std::size_t>(draw() * static_cast<double>(voters_.size() - 1));
        if (!say(voters_[at] == terms_.node_index ? voters_.back() : voters_[at])) return;
        zones_said_ = now;
        zones_.on_report_sent();
    }
}

std::vector<ZoneFailover::View> OutlierExchange::zone_views(double now) const {
    std::vector<ZoneFailover::View> all;
    for (int z = 0; z < std::min(terms_.zone_count, kMaxZones); ++z)
        all.push_back(zones_.view(now, z, voters_));
    return all;
}

Datagram OutlierExchange::headed(int to, double now) {
    Datagram d;
    d.node = terms_.node_index;
    last_number_ = std::max(last_number_ + 1, static_cast<std::uint32_t>((now - began_) / kTickSeconds) + 1);
    d.stamp = {start_, last_number_};
    d.zone = terms_.zone;
    d.receiver_incarnation = members_.member(to).incarnation;
    if (terms_.zone_failover)
        d.zone_reports = zones_.reports(now);  // in each: what is not spoken of is as usual
    return d;
}

bool OutlierExchange::send(int to, Datagram&& datagram, double& purse, std::vector<Outgoing>& out) {
    std::string bytes = encode(datagram);
    if (bytes.size() > kMaxDatagramBytes || purse < static_cast<double>(bytes.size())) return false;
    purse -= static_cast<double>(bytes.size());
    ++counts_.sent;
    counts_.sent_bytes += bytes.size();
    out.push_back({to, std::move(bytes)});
    return true;
}

// To a subject's keepers, what this node saw go wrong; of what is found bad, or was lately, all that it sees:
// those few trials are what it may be taken back by.
void OutlierExchange::report(double now, std::vector<Outgoing>& out) {
    const bool muted = own_way_bad(now);
    if (now < doubts_until_) return;
    if (muted) return void(++counts_.self_muted);
    std::map<int, std::vector<ServerKey>> to;
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
    std::map<ServerKey, bool> said;
    for (const auto& [keeper, subjects] : to) {
        // Some 13 bytes each, and a head of some 30: what does not fit waits for the next tick.
        constexpr std::size_t kSightsMost = 14;
        Datagram d = headed(keeper, now);
        for (std::size_t i = 0; i < std::min(subjects.size(), kSightsMost); ++i) {
            Own& own = own_[subjects[i]];
            turn(own, now);
            d.observations.push_back({subjects[i], sum(own.good), sum(own.bad)});
        }
        const std::vector<Observation> sights = d.observations;
        if (keeper == terms_.node_index) {
            for (const Observation& s : sights) take_sight(now, keeper, d.stamp, terms_.zone, s, 0);
        } else if (!send(keeper, std::move(d), report_purse_, out)) {
            continue;
        }
        for (const Observation& s : sights) said[s.server] = true;
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
void OutlierExchange::gossip(double now, std::vector<Outgoing>& out) {
    // A finding that changed does not wait for its turn: it goes on at each step until it was passed on a few
    // times.
    const bool news = std::any_of(spread_.begin(), spread_.end(), [this](const auto& entry) {
        return entry.second.stands &&
               entry.second.said < (entry.first.second == terms_.node_index ? kOwnSaid : kNewsSaid);
    });
    if (!news && now - gossiped_ < kGossipEvery * (0.75 + 0.5 * draw())) return;
    std::vector<int> others = there_;
    std::erase(others, terms_.node_index);
    int to = -1;
    const bool young = now - began_ < members_.dead_after();  // and knows few yet
    if (young || draw() < std::max(kStrangerPart, 1.0 / static_cast<double>(there_.size()))) {
        const int any = static_cast<int>(draw() * (terms_.node_count - 1));
        to = any >= terms_.node_index ? any + 1 : any;
    } else {
        to = others[static_cast<std::size_t>(draw() * static_cast<double>(others.size()))];
    }
    Datagram d = headed(to, now);
    d.heartbeats = members_.freshest(now, kAliveMost);
    std::vector<Spread*> findings;
    for (auto& [key, s] : spread_) {
        if (s.stands) findings.push_back(&s);
    }
    constexpr std::size_t kEach =
        22;  // bytes of a finding at the most, but for numbers that no fleet reaches
    const std::size_t room = (kMaxDatagramBytes - std::min(kMaxDatagramBytes, encode(d).size() + 4)) / kEach;
    const auto first = findings.begin() + static_cast<std::ptrdiff_t>(std::min(room, findings.size()));
    std::partial_sort(findings.begin(), first, findings.end(), [&](const Spread* a, const Spread* b) {
        const auto turn =
            [this](const Spread* s) {  // its own it says more often: only from it are they sure at once
                return s->finding.owner == terms_.node_index
                           ? std::max(0, std::min(s->said, kOwnSaid) - kOwnSaid + kSaidEnough)
                           : std::min(s->said, kSaidEnough);
            };
        const int x = turn(a), y = turn(b);
        return x != y ? x < y : a->born > b->born;
    });
    findings.erase(first, findings.end());
    for (const Spread* s : findings) {
        d.verdicts.push_back(s->finding);
        d.verdicts.back().age = now - s->born;
    }
    if (!send(to, std::move(d), gossip_purse_, out)) return;
    gossiped_ = now;
    for (Spread* s : findings) ++s->said;
}

// ---- for operators --------------------------------------------------------------------------------------

GossipState OutlierExchange::state(double now) const {
    GossipState s;
    for (int n = 0; n < members_.count(); ++n) {
        s.members.emplace_back(n, n == terms_.node_index ? MemberState::alive : members_.state(n, now));
        s.ages.push_back(n == terms_.node_index ? 0 : members_.age(n, now));
        s.incarnations.push_back(n == terms_.node_index ? start_ : members_.member(n).incarnation);
    }
    for (const auto& [subject, kept] : kept_) {
        s.observations_held += kept.cells.size();
        for (const auto& [node, cell] : kept.cells)
            s.oldest_observation = std::max(s.oldest_observation, now - cell.born);
    }
    for (const auto& [key, spread] : spread_) {
        if (!spread.stands) continue;
        if (s.verdicts.empty() || s.verdicts.back().server != key.first) {
            const auto stands = standing_.find(key.first);
            s.verdicts.push_back({key.first,
                                  stands != standing_.end(),
                                  stands == standing_.end() ? 0 : now - stands->second.since,
                                  {}});
        }
        s.verdicts.back().sources.push_back(
            {key.second, spread.finding.bad_zones, spread.finding.reporters, now - spread.born});
    }
    s.doubts_own_connectivity = now < doubts_until_;
    s.bytes_per_second = allowance(now);
    s.counts = counts_;
    return s;
}

}  // namespace brookrelay::gossip
