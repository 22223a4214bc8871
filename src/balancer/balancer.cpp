// The decision module: every choice brookrelay makes, and every constant behind one, is in this file.
//
// Invoked: make_balancer() once for each node; then one method of Balancer for each thing that happens
// (a list, an arrival, a forward's end, a timer). The module acts by calling Host inside that method.
// Interface and types: balancer.h. Why it is so: docs/design.md. At night: docs/oncall.md.
//
// The ordinary path: the key's point on the own zone's ring, the owner of the next point clockwise, unless
// that cache's load passes the bound; a read that misses and every write go on to the origin.
#include "balancer/balancer.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <memory>
#include <numeric>
#include <random>

namespace brookrelay {
namespace {

constexpr double kPoints = 100;       // points a cache of the usual size; the design's figure
constexpr double kPointsLeast = 10;   // of a very small one, and
constexpr double kPointsMost = 1000;  // of a very large one
constexpr std::uint64_t kRingSeed = 0x62726f6f6b72656cULL;  // the same at every node
constexpr double kOverMean = 3.0;     // the design: at least twice; less tears keys from their copies
constexpr int kFloor = 6;             // the design: at least two; a small floor passes over on chance alone
constexpr int kSilentRun = 3;         // failures in a row that make a suspect; fewer and chance errors do
constexpr double kSilence = 0.3;      // s without any answer, with forwards out, that make a suspect
constexpr int kZoneRun = 3;           // in a row at one zone that make all of it suspect, and
constexpr double kZoneChance = 0.01;  // how seldom chance may bring them
constexpr double kTrialGap = 0.5;     // s to the first trial of a suspect; doubles up to kTrialGapMost
constexpr double kTrialGapMost = 2.0;
constexpr double kRestart = 3.0;     // s of silence that may hide a restart; less is a jam
constexpr double kRetryPart = 0.2;   // further forwards earned by each invocation
constexpr double kRetryMost = 100;   // and saved up at the most by all nodes: one short outage, not a storm
constexpr double kRetryLeast = 2;    // and by one node, where there are many;
constexpr double kRetryNode = 20;    // at the most, where there are few
constexpr double kColdSafety = 0.8;  // part of the guaranteed warm-up that is used
constexpr double kColdBudget = 0.6;  // part of this node's even share of rule 4's budget that is used
constexpr double kAskApart = 0.12;   // s a node, on average, between first calls for the list
constexpr double kAskMost = 4.0;     // s to the next after a failure; news counts as told within 6 s
constexpr double kColdLeast = 1;     // forwards of all nodes in a fall time, if nothing tells what it bears
constexpr int kDisplaced = 1;        // closed gates that a key passes before it is throttled
constexpr double kJamStrain = 0.55;  // part of strained endings from which it passes none: all are full
constexpr int kJammed = -2;          // no cache, for load alone
constexpr double kOriginStart = 16;  // forwards of all nodes at the origin at first: it is shared and slow
constexpr double kOriginStartNode = 4;  // and of one at the most
constexpr double kCacheStart = 16;      // and at a cache; both settle within seconds
constexpr double kGentleCut = 0.8;      // of the limit left when answers turn slow
constexpr double kHardCut = 0.5;        // and when forwards fail
constexpr double kLimitLeast = 1;
constexpr double kLimitMost = 64;
constexpr double kPause = 0.1;  // s without a forward after a failure at the least limit; doubles
constexpr double kOriginPauseMost = 2.0;
constexpr double kCachePauseMost = 4.0;  // longer: with many nodes a small cache jams on one forward each
constexpr double kOriginPart = 0.5;      // the origin's pace may take this part of the shortest objective
constexpr double kPressureStep = 0.1;    // change of pressure at each look
constexpr double kPressureLook = 0.25;   // s between looks
constexpr double kShareDepth = 10;       // invocations a tenant may save up at a node; chance empties less
constexpr double kStrainPart = 0.35;     // a forward slower than this part of its objective is a strain
constexpr double kStrained = 0.15;       // part of strained endings from which pressure rises
constexpr double kKeepGrow = 1.03;  // of the time idle connections are kept, at each look without a refusal
constexpr double kQuickRefusal = 0.8;  // of the connect time-out
constexpr double kKeepLeast = 0.05;    // s; below this a burst to one cache would open a connection for each
constexpr int kEnough = 16;          // endings in a second that tell strain from chance; with fewer, those of
constexpr double kMoreSpan = 8.0;    // as many seconds
constexpr double kKindApart = 0.05;  // more strained endings than the least strained kind: its share falls
constexpr double kKindDown = 0.02;   // at each look; down in seconds,
constexpr double kKindUp = 0.005;    // back slowly, as with reach; half these steps gained less
constexpr double kKindLeast = 0.4;   // machines further apart than that are a fault, not a kind
constexpr int kKindsMost = 64;       // further ones share the last row, however the list numbers them
constexpr double kHeldMost = 2.0;    // invocations a core, as listed, from which a cache is crowded,
constexpr double kHeldTimes = 1.5;   // if also as many times its zone's mean: with all full none is spared
constexpr double kCrowdedCut = 0.75;  // of its share left, a list;
constexpr double kCrowdedUp = 0.1;    // back slowly once it holds under half as much
constexpr double kCrowdedLeast = 0.05;
constexpr double kAdmitHeld = 5.0;  // a core, on average; from three quarters of it up nothing changes
constexpr double kAdmitCut = 0.8;   // of the reads let in, a list, while all that a node reaches is crowded
constexpr double kAdmitUp = 0.1;    // of all, let in again a list
constexpr double kAdmitLeast = 0.2;
constexpr double kLostMost = 0.1;  // of forwards that come too late, from which reads are turned away,
constexpr double kLostCut = 0.95;  // at each look
constexpr double kLostUp = 0.04;
constexpr double kZoneStepLeast = 0.01;  // halved at each turn down to this, or late news makes it swing
constexpr double kZoneStep = 0.06;       // change of reach a look, while the list shows one side more crowded
constexpr double kReachStrain = 0.4;     // part of strained endings from which more keys reach out
constexpr double kReachUp = 0.25;        // change of that share at each look: out in seconds,
constexpr double kReachDown = 0.01;      // back in half a minute, or copies would be torn again and again
constexpr int kHotSample = 128;  // invocations counted before the older half of the counts is forgotten
constexpr int kHotLeast = 3;     // of one key among them; fewer are chance

std::uint64_t mix(std::uint64_t x) {
    x += 0x9e3779b97f4a7c15ULL;
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
}

std::uint64_t hash_name(std::string_view name) {
    std::uint64_t h = kRingSeed;
    for (unsigned char c : name) h = (h ^ c) * 0x100000001b3ULL;
    return mix(h);
}

double unit(std::uint64_t x) { return static_cast<double>(x >> 11) * 0x1.0p-53; }

constexpr double kPaceSpan = 4.0;
// Sums over the last few seconds, in eight buckets of time used again in a ring.
class Meter {
  public:
    explicit Meter(double span = kPaceSpan) : width_(span / kBuckets) {}
    void add(double now, double value) {
        turn(now);
        sum_[at_] += value;
        ++count_[at_];
    }
    double sum(double now) {
        turn(now);
        return std::accumulate(sum_.begin(), sum_.end(), 0.0);
    }
    int count(double now) {
        turn(now);
        return std::accumulate(count_.begin(), count_.end(), 0);
    }
    double mean(double now) { return count(now) > 0 ? sum(now) / count(now) : 0; }
    void span(double span) { width_ = std::max(span, 0.1) / kBuckets; }
    void clear() {
        sum_.fill(0);
        count_.fill(0);
    }

  private:
    static constexpr int kBuckets = 8;
    void turn(double now) {
        const auto bucket = static_cast<std::int64_t>(now / width_);
        const std::int64_t steps = std::min<std::int64_t>(bucket - turn_, kBuckets);
        for (std::int64_t s = 0; s < steps; ++s) {
            at_ = (at_ + 1) % kBuckets;
            sum_[at_] = 0;
            count_[at_] = 0;
        }
        turn_ = std::max(turn_, bucket);
    }
    double width_;
    std::array<double, kBuckets> sum_{};
    std::array<int, kBuckets> count_{};
    std::size_t at_ = 0;
    std::int64_t turn_ = 0;
};

// How much one server is trusted with at a time. Nobody tells its capacity: the limit grows by one a round
// while answers are quick, falls at failures, and at the least limit failures bring a pause, because what
// timed out or was rejected still costs the server work, and only a pause lets that drain.
struct Gate {
    double limit = 1;
    double pause = kPause;
    double pause_until = 0;
    double cut_at = 0;

    bool open(int out, double now) const { return out < limit && now >= pause_until; }
    void grow(int out) {
        pause = kPause;
        if (out + 2 >= limit) limit = std::min(limit + 1 / limit, kLimitMost);
    }
    // From what is out: a limit never reached says nothing of what the server bears.
    void cut(double to, double apart, int out, double now) {
        if (now - cut_at < apart) return;
        cut_at = now;
        limit = std::max(kLimitLeast, std::min(limit, 2.0 * out + 2) * to);
    }
    bool rest(double spread, double most, double now) {
        if (now < pause_until) return false;
        pause_until = now + pause * (0.75 + 0.5 * spread);
        pause = std::min(2 * pause, most);
        return true;
    }
};

// Of one cache, or of all in a zone: passed over but for a trial now and then, which an answer ends.
struct Doubt {
    bool held = false;
    double since = 0;
    double next_trial = 0;
    double trial_gap = kTrialGap;
    double apart = 0;  // s between this node's trials where others found it bad and share them; else 0

    void raise(double spread, double now) {
        if (!held) {
            trial_gap = kTrialGap;
            since = now;
        }
        held = true;
        next_trial = now + (apart > 0 ? apart : trial_gap) * (0.75 + 0.5 * spread);
        trial_gap = std::min(2 * trial_gap, kTrialGapMost);
    }
};

struct Cache {
    std::uint64_t hash = 0;
    int zone = 0;
    int cell = 0;
    int kind = 0;
    int ring = -1;      // the zone whose ring holds its points; -1: none
    int points = 0;     // of them there
    double listed = 0;  // its size as listed last, lowered by its load where sizes are live
    double share = 1;   // of its keys that it takes, by the load that the list tells
    bool origin = false;
    EndpointState standing = EndpointState::removed;
    double cold_since = -1e9;  // when it last started, as told or as guessed after a silence
    int out = 0;               // forwards from this node without an ending
    double answered = -1e9;    // when it last did
    double unanswered = 0;     // when the first forward since its last answer went out; 0: none
    int failures = 0;          // in a row
    Doubt doubt;
    Gate gate{kCacheStart};
    Meter pace{kPaceSpan};  // seconds its answers took
    Meter cold_sent;
    bool connected = false;  // this node may hold connections to it
    double used = 0;         // when a forward of this node last ended there
    unsigned seen = 0;
};

enum class Fate { out, never_ran, may_have_run };

struct Forward {
    int cache = 0;
    double sent = 0;
    Fate fate = Fate::out;
};

enum class Wait { none, fetch, queue };

struct Invocation {
    bool open = false;
    Request what;
    std::shared_ptr<const Deployment> rules;  // as they were when it came

    double due = 0;      // when its client stops waiting
    double in_time = 0;  // until when an answer meets the objective
    double useful = 0;   // when an answer stops earning
    std::vector<Forward> forwards;
    int out = 0;
    int missed_at = -1;
    Wait wait = Wait::none;
    bool streaming = false, leads = false, over_share = false;
    int came = 0;            // how often its key came here lately
    std::uint32_t turn = 0;  // tells a timer's invocation from a later one in the same place
};

struct Point {
    std::uint32_t at;
    int cache;
};

enum class Timer : std::uint64_t { expiry = 1, list, origin };

class Decisions final : public Balancer {
  public:
    Decisions(const Deployment& deployment, std::uint64_t seed, Host& host)
        : host_(host), chance_(static_cast<std::uint32_t>(mix(seed))), own_(mix(seed + 1)) {
        settle_in(deployment);
        retries_ = most_retries_ / 2;
        origin_gate_.limit =
            std::clamp(kOriginStart / std::max(1, deployment.node_count), kLimitLeast, kOriginStartNode);
    }
    // What this node learned of caches, of the origin and of its traffic stays; what the settings say of them
    // goes, and sizes and load are learned anew from the list that follows.
    void on_configuration(double, const Deployment& deployment) override {
        const bool same_sizes = deployment.endpoint_weights == deployment_.endpoint_weights;
        settle_in(deployment);
        for (Cache& c : caches_) {
            c.ring = -1;
            if (!same_sizes) c.share = 1;
        }
        if (same_sizes) return;
        for (Kind& k : kinds_) k.size = 0;
        usual_size_ = 0;
        admitted_ = 1;
        lean_ = leant_ = 0;
        zone_step_ = kZoneStep;
    }
    WarmStartSnapshot snapshot(double now) const override {
        WarmStartSnapshot l{reach_, pressure_, admitted_, origin_gate_.limit, origin_pace_, {}, {}};
        for (const Kind& k : kinds_) l.kind_traffic_shares.push_back(k.share);
        for (std::size_t i = 0; i < caches_.size(); ++i) {
            const Cache& c = caches_[i];
            if (c.standing != EndpointState::ready || c.origin) continue;
            l.servers.push_back({static_cast<int>(i), c.gate.limit, c.gate.pause_until - now, c.doubt.held});
        }
        return l;
    }
    // At a start without it, time-outs teach which caches are slow, and meanwhile clients wait in all places.
    void restore(double now, const WarmStartSnapshot& l) override {
        reach_ = std::clamp(l.spillover_ratio, 0.0, 1.0);
        pressure_ = std::clamp(l.shedding_ratio, 0.0, 1.0);
        admitted_ = std::clamp(l.admission_ratio, kAdmitLeast, 1.0);
        origin_gate_.limit = std::clamp(l.origin_concurrency_limit, kLimitLeast, kLimitMost);
        origin_pace_ = std::max(l.origin_latency, 0.0);
        for (std::size_t k = 0; k < std::min(kinds_.size(), l.kind_traffic_shares.size()); ++k)
            kinds_[k].share = std::clamp(l.kind_traffic_shares[k], kKindLeast, 1.0);
        for (const WarmStartSnapshot::ServerSnapshot& of : l.servers) {
            Cache& c = caches_[static_cast<std::size_t>(of.server)];
            c.gate.limit = std::clamp(of.concurrency_limit, kLimitLeast, kLimitMost);
            c.gate.pause_until = now + std::min(of.backoff_remaining, kCachePauseMost);
            if (of.ejected) suspect(c, now);
        }
    }
    // With little traffic a node meets each cache too seldom to tell that one is slow or fails: what
    // others found is a doubt here too, unless own answers of late were quick. Covers caches lost before the
    // list says so; does harm when what those share is their own way, so it holds only while they say it, and
    // a quick answer here ends it.
    void on_outlier_verdict(double now, int cache, bool bad, double apart) override {
        Cache& c = caches_[static_cast<std::size_t>(cache)];
        const bool known_well = c.failures == 0 && c.pace.count(now) > 0 && c.pace.mean(now) < kSilence;
        const bool anew = bad && !known_well && c.doubt.apart == 0;
        if (!bad && c.doubt.held && c.doubt.apart > 0 && c.failures < kSilentRun) trust(c, now);
        c.doubt.apart = bad && !known_well ? apart : 0;
        if (!anew) return;
        suspect(c, now);
        c.doubt.next_trial = now + apart * draw();
    }
    // The nodes of this zone leave a zone as one and take it back by the same part of its keys at each. Left,
    // no one answer ends its doubt. Covers zones lost or cut off; harms if one that answers is left.
    void set_zone_weight(double now, int zone, double part, double apart) override {
        if (zone < 0 || zone >= pooled()) return;  // of other settings' zones
        Zone& z = zones_[static_cast<std::size_t>(zone)];
        for (std::size_t i = 0; part == 0 && z.part > 0 && i < caches_.size(); ++i) {
            if (caches_[i].zone == zone) call_back(static_cast<int>(i), now, 0);
        }
        if (part > 0 && part < 1) z.run = 0;
        z.doubt.held = part == 0 || (part == 1 && z.doubt.held);
        z.doubt.next_trial = now + std::max(apart, kTrialGap) * (0.75 + 0.5 * draw());
        z.doubt.apart = apart;
        z.part = part;
    }
    void set_tenant_quota_share(double, int tenant, double part) override {
        if (tenant >= 0 && tenant < static_cast<int>(tenants_.size()))
            tenants_[static_cast<std::size_t>(tenant)].part = part;
    }
    void on_endpoints(double, UpdateKind kind, const std::vector<Endpoint>& entries) override {
        ++list_turn_;
        for (const Endpoint& e : entries) {
            if (e.server >= static_cast<int>(caches_.size()))
                caches_.resize(static_cast<std::size_t>(e.server) + 1);
            Cache& c = caches_[static_cast<std::size_t>(e.server)];
            const double start = e.started_at > 0 ? e.started_at : -1e9;
            if (start > c.cold_since + 0.001 || c.hash != hash_name(e.name)) {
                // Started anew, or another under this number: it has none of the faults or memory of the old.
                Cache fresh;
                fresh.out = c.out;
                fresh.ring = c.ring;
                fresh.points = c.points;
                fresh.cold_since = start;
                c = fresh;
            }
            c.cold_sent.span(deployment_.overload_window);
            c.hash = hash_name(e.name);
            c.zone = std::clamp(e.zone, 0, pooled() - 1);
            c.cell = e.cell;
            c.kind = std::clamp(e.kind, 0, kKindsMost - 1);
            if (c.kind >= static_cast<int>(kinds_.size()))
                kinds_.resize(static_cast<std::size_t>(c.kind) + 1);
            c.origin = deployment_.origin_kind >= 0 && e.kind == deployment_.origin_kind;
            c.standing = e.state;
            Kind& k = kinds_[static_cast<std::size_t>(c.kind)];
            if (deployment_.endpoint_weights != EndpointWeights::absent && e.weight > 0)
                k.size = std::max(k.size, e.weight);
            c.listed = e.weight;
            c.seen = list_turn_;
        }
        for (Cache& c : caches_) {
            if (kind != UpdateKind::delta && c.seen != list_turn_) c.standing = EndpointState::removed;
        }
        if (usual_size_ == 0) usual_size_ = usual_size();
        update_rings();
        if (deployment_.endpoint_weights == EndpointWeights::load_adjusted &&
            kind != UpdateKind::cached_on_disk)
            weigh_listed_load();
        if (kind != UpdateKind::cached_on_disk) list_failures_ = 0;
        // What is on disk may be old in every line, so the list is asked for before anything else.
        // But nodes that start together would be turned away together, so each takes its turn by chance.
        else if (deployment_.polls_endpoints)
            host_.set_timer(ask_spread() * draw(), token(Timer::list, 0, 0));
    }
    void on_poll_failed(double) override {
        // Doubling with full jitter: all nodes lose the list at once, and its service has a fixed capacity.
        const double most = std::min({std::max(0.2, ask_spread()) * std::pow(2.0, list_failures_),
                                      deployment_.poll_interval / 2 + 0.2, kAskMost});
        list_failures_ = std::min(list_failures_ + 1, 10);
        host_.set_timer(most * (0.3 + 0.7 * draw()), token(Timer::list, 0, 0));
    }
    void on_request(double now, const Request& a) override {
        if (a.id >= static_cast<int>(invs_.size())) invs_.resize(static_cast<std::size_t>(a.id) + 1);
        Invocation& v = invs_[static_cast<std::size_t>(a.id)];
        v.open = true;
        v.what = a;
        v.rules = rules_;
        if (!a.has_key) v.what.key = (static_cast<std::uint64_t>(chance_()) << 24) ^ chance_();
        const Operation& op = operation(v);
        v.due = now + a.time_remaining;
        v.in_time = now + op.latency_objective;
        v.useful = op.late_value_ratio > 0 ? v.due : std::min(v.due, v.in_time);
        v.forwards.clear();
        v.out = 0;
        v.missed_at = -1;
        v.wait = Wait::none;
        v.streaming = v.leads = false;
        ++v.turn;
        retries_ = std::min(retries_ + kRetryPart, most_retries_);
        look(now);
        v.over_share = over_share(v, now);
        v.came = count(v.what);
        const bool shed = (v.over_share && draw() < pressure_) || (!a.is_write && draw() >= admitted_);
        if (shed || v.useful - now <= 2 * deployment_.tick_interval) {
            close(v);
            return;
        }
        a.is_write&& origin_ >= 0 ? to_origin(v, now) : to_cache(v, now);
    }
    void on_attempt_finished(double now, int inv, int forward, AttemptOutcome ending, double took,
                             bool over) override {
        Invocation& v = invs_[static_cast<std::size_t>(inv)];
        if (forward < 0 || forward >= static_cast<int>(v.forwards.size())) return;
        Forward& f = v.forwards[static_cast<std::size_t>(forward)];
        if (f.fate != Fate::out) return;
        const bool never_ran = ending == AttemptOutcome::busy || ending == AttemptOutcome::refused ||
                               ending == AttemptOutcome::not_sent || ending == AttemptOutcome::miss;
        f.fate = never_ran ? Fate::never_ran : Fate::may_have_run;
        --v.out;
        const int at = f.cache;
        Cache& c = caches_[static_cast<std::size_t>(at)];
        --c.out;
        count_out(c, -1);
        c.used = now;
        const AttemptOutcome told = lost_alone(c, ending, now) ? AttemptOutcome::failed : ending;
        judge(c, v, f, told, took, now);
        if (over) {
            v.open = false;
            leave_wait(v);
        }
        if (c.origin) origin_ended(v, told, took, now);
        if (!v.open || v.streaming) return;
        if (ending == AttemptOutcome::miss && !c.origin) {
            if (v.missed_at < 0) v.missed_at = at;
            to_origin(v, now);
        } else if (v.out == 0 && v.wait == Wait::none) {
            again(v, now, c, ending);
        }
    }
    void on_stream_started(double, int inv, int) override {
        invs_[static_cast<std::size_t>(inv)].streaming = true;
    }
    void on_client_closed(double, int inv) override {
        Invocation& v = invs_[static_cast<std::size_t>(inv)];
        if (!v.open) return;
        v.open = false;
        leave_wait(v);
        drop_copies(v);
    }
    void on_health_check(double, int, AttemptOutcome, double) override {}
    void on_timer(double now, std::uint64_t token) override {
        const auto kind = static_cast<Timer>(token >> 56);
        if (kind == Timer::list) {
            host_.poll_endpoints();
        } else if (kind == Timer::origin) {
            next_from_queue(now);
        } else if (kind == Timer::expiry) {
            const std::size_t inv = token & 0xffffffffU;
            if (inv >= invs_.size()) return;  // none of ours
            Invocation& v = invs_[inv];
            if (!v.open || v.wait == Wait::none || (v.turn & 0xffffffU) != ((token >> 32) & 0xffffffU))
                return;
            leave_wait(v);
            close(v);
        }
    }

  private:
    struct Kind {
        Meter strains{kMoreSpan};
        double share = 1;
        double size = 0;  // the largest that the list gave one of it; 0: none
    };
    struct Zone {
        Meter lost{kMoreSpan};  // endings there: 1 without a connection that holds, 0 with an answer
        int run = 0;            // of those without, since the last answer
        double keep = 0;        // keep_ as that began
        double part = 1;        // of its keys, that other nodes and this one use together; 0: left
        Doubt doubt;
    };
    struct Share {
        double quota = 0;
        double part = 0;  // of it, that other nodes leave to this one
        double tokens = 0;
        double filled = 0;
        Meter arrivals{kPaceSpan};
    };
    void settle_in(const Deployment& deployment) {
        deployment_ = deployment;
        rules_ = std::make_shared<const Deployment>(deployment);
        rings_.assign(static_cast<std::size_t>(std::max(1, deployment.zone_count)) + 1, {});
        zones_.assign(rings_.size(), {});
        members_.assign(rings_.size(), 0);
        outs_.assign(rings_.size(), 0);
        tenants_.assign(deployment.tenants.size(), {});
        for (std::size_t t = 0; t < tenants_.size(); ++t) tenants_[t].quota = deployment.tenants[t].quota;
        most_retries_ = std::clamp(kRetryMost / std::max(1, deployment.node_count), kRetryLeast, kRetryNode);
        retries_ = std::min(retries_, most_retries_);
        origin_target_ = 1;
        for (const Operation& op : deployment.operations)
            origin_target_ = std::min(origin_target_, kOriginPart * op.latency_objective);
    }
    double ask_spread() const {
        return std::min(kAskApart * deployment_.node_count, deployment_.poll_interval / 2);
    }
    const Operation& operation(const Invocation& v) const {
        return v.rules->operations[static_cast<std::size_t>(v.what.operation)];
    }
    double draw() { return static_cast<double>(chance_()) / 16777216.0; }
    static std::uint64_t token(Timer kind, std::uint32_t turn, int inv) {
        return (static_cast<std::uint64_t>(kind) << 56) |
               (static_cast<std::uint64_t>(turn & 0xffffffU) << 32) | static_cast<std::uint32_t>(inv);
    }

    // ---- the ring -------------------------------------------------------------------------------------
    // Sizes have no unit, and load may lower what is listed, so a kind's is the largest seen of it and the
    // usual one, set by the first list, a power of two: nodes that see lists of other ages agree on them.
    double usual_size() const {
        double sum = 0, caches = 0;
        for (const Cache& c : caches_) {
            if (c.origin || c.standing == EndpointState::removed) continue;
            sum += kinds_[static_cast<std::size_t>(c.kind)].size;
            ++caches;
        }
        return sum > 0 ? std::exp2(std::floor(std::log2(sum / caches))) : 0;
    }
    int points_of(const Cache& c) const {
        const double size = kinds_[static_cast<std::size_t>(c.kind)].size;
        if (usual_size_ == 0 || size == 0) return static_cast<int>(kPoints);
        return static_cast<int>(std::clamp(kPoints * size / usual_size_, kPointsLeast, kPointsMost));
    }
    // Only what came or went is touched: sorting all points at each change took most of a node's CPU.
    void update_rings() {
        const auto wanted = [](const Cache& c) {
            return c.standing == EndpointState::ready && !c.origin ? c.zone : -1;
        };
        const auto before = [this](const Point& a, const Point& b) {
            return a.at != b.at ? a.at < b.at : hash_of(a.cache) < hash_of(b.cache);
        };
        const auto stays = [&](const Cache& c) {
            return wanted(c) == c.ring && (c.ring < 0 || points_of(c) == c.points);
        };
        std::vector<std::vector<Point>> fresh(rings_.size());
        bool left = false;
        for (std::size_t i = 0; i < caches_.size(); ++i) {
            const Cache& c = caches_[i];
            if (stays(c)) continue;
            left = left || c.ring >= 0;
            if (wanted(c) < 0) continue;
            for (int p = 0; p < points_of(c); ++p) {
                const Point point{spot(c.hash + static_cast<std::uint64_t>(p)), static_cast<int>(i)};
                fresh[static_cast<std::size_t>(c.zone)].push_back(point);
                fresh.back().push_back(point);
            }
        }
        for (std::size_t z = 0; z < rings_.size(); ++z) {
            auto& ring = rings_[z];
            if (left) {
                std::erase_if(
                    ring, [&](const Point& p) { return !stays(caches_[static_cast<std::size_t>(p.cache)]); });
            }
            std::sort(fresh[z].begin(), fresh[z].end(), before);
            const auto old = static_cast<std::ptrdiff_t>(ring.size());
            ring.insert(ring.end(), fresh[z].begin(), fresh[z].end());
            std::inplace_merge(ring.begin(), ring.begin() + old, ring.end(), before);
        }
        members_.assign(rings_.size(), 0);
        outs_.assign(rings_.size(), 0);
        origin_ = -1;
        for (std::size_t i = 0; i < caches_.size(); ++i) {
            Cache& c = caches_[i];
            c.ring = wanted(c);
            c.points = points_of(c);
            if (c.origin && c.standing == EndpointState::ready && (origin_ < 0 || c.hash < hash_of(origin_)))
                origin_ = static_cast<int>(i);
            if (c.ring < 0) continue;
            ++members_[static_cast<std::size_t>(c.ring)];
            ++members_.back();
            count_out(c, c.out);
        }
    }
    void count_out(const Cache& c, int by) {
        if (c.ring < 0) return;
        outs_[static_cast<std::size_t>(c.ring)] += by;
        outs_.back() += by;
    }
    static std::uint32_t spot(std::uint64_t x) { return static_cast<std::uint32_t>(mix(x) >> 32); }
    std::uint64_t hash_of(int cache) const { return caches_[static_cast<std::size_t>(cache)].hash; }
    // The first cache clockwise that nothing speaks against; -1 when each one is ruled out.
    int walk(const Invocation& v, int zone, double now, bool last_resort) {
        const auto& ring = rings_[static_cast<std::size_t>(zone)];
        if (ring.empty()) return -1;
        const int members = members_[static_cast<std::size_t>(zone)];
        const double a_point = outs_[static_cast<std::size_t>(zone)] / static_cast<double>(ring.size());
        const std::uint32_t at = spot((v.what.key ^ kRingSeed) + split(v, members));
        auto p = std::lower_bound(ring.begin(), ring.end(), at,
                                  [](const Point& x, std::uint32_t key) { return x.at < key; });
        ++walk_turn_;
        int passed = -1, jammed = 0, seen = 0;
        bool declined = false;
        for (std::size_t steps = 0; steps < ring.size() && seen < members; ++steps, ++p) {
            if (p == ring.end()) p = ring.begin();
            Cache& c = caches_[static_cast<std::size_t>(p->cache)];
            if (c.seen == walk_turn_) continue;
            c.seen = walk_turn_;
            ++seen;
            if (!may_forward(v, p->cache, now) || (!last_resort && tried(v, p->cache))) continue;
            const double part = last_resort ? 1 : zones_[static_cast<std::size_t>(c.zone)].part;
            if (part > 0 && part < 1 && unit(mix(v.what.key * 7 ^ kRingSeed)) >= part) continue;
            // What a crowded cache declines would be more than its even share for a cold one next to it.
            if (declined && warmth(c, now) < 1) continue;
            if (!welcome_cold(c, v, zone, now) || !host_.admit_slow_start(p->cache)) continue;
            if (!last_resort && !within_share(c, v)) {
                declined = true;
                continue;
            }
            Doubt* doubt = doubt_of(c, now);
            if (!last_resort && doubt != nullptr && !trial_due(*doubt, v, now)) continue;
            if (!c.gate.open(c.out, now)) {
                // Further round, a cache lacks the key: a forward would miss, and push out what it holds.
                if (++jammed > (strained_ > kJamStrain ? 0 : kDisplaced))
                    return passed >= 0 ? passed : kJammed;
                continue;
            }
            if (last_resort) return p->cache;
            if (c.out > kFloor && c.out > kOverMean * a_point * c.points) {
                if (passed < 0) passed = p->cache;
                continue;
            }
            return p->cache;
        }
        return passed;
    }
    // Exception: a key hotter than a cache's even share has several points, one drawn for each invocation.
    std::uint64_t split(const Invocation& v, int members) {
        if (v.came < kHotLeast) return 0;
        const int parts =
            std::min(v.came * members / std::max(counted_[0] + counted_[1], kHotSample), members);
        return parts > 1 ? chance_() % static_cast<unsigned>(parts) : 0;
    }
    // Counted in two generations, so that a key is hot only while it is asked for.
    int count(const Request& a) {
        if (!a.has_key || a.is_write) return 0;
        if (++counted_[0] > kHotSample) {
            std::swap(counts_[0], counts_[1]);
            counts_[0].clear();
            counted_ = {1, counted_[0] - 1};
        }
        const auto old = counts_[1].find(a.key);
        return ++counts_[0][a.key] + (old == counts_[1].end() ? 0 : old->second);
    }
    int pooled() const { return static_cast<int>(rings_.size()) - 1; }
    // Exception: while the own zone or the origin is strained, a share of keys uses the ring of all zones.
    bool reaches_out(const Invocation& v) const { return unit(mix(v.what.key ^ 0x5a5a)) < reach_; }
    // Own zone first. Exception: when each cache there is suspect, full, cold or tried, the next zone's ring.
    int choose(const Invocation& v, double now) {
        const int zones = pooled();
        for (bool last_resort : {false, true}) {
            if (reaches_out(v)) {
                const int c = walk(v, pooled(), now, last_resort);
                if (c != -1) return c;
            }
            for (int z = 0; z < zones; ++z) {
                const int c = walk(v, (deployment_.zone + z) % zones, now, last_resort);
                if (c != -1) return c;
            }
        }
        return -1;
    }
    bool tried(const Invocation& v, int cache) const {
        return std::any_of(v.forwards.begin(), v.forwards.end(),
                           [cache](const Forward& f) { return f.cache == cache; });
    }

    // ---- rule 2: may this be forwarded there, may it be throttled ---------------------------------------
    bool may_forward(const Invocation& v, int cache, double now) const {
        const Operation& op = operation(v);
        const Cache& to = caches_[static_cast<std::size_t>(cache)];
        if (to.standing != EndpointState::ready) return false;
        if (static_cast<int>(v.forwards.size()) >= v.rules->max_attempts) return false;
        if (v.out > 0 && !deployment_.may_hedge) return false;
        if (op.idempotency == Idempotency::idempotent) return true;
        for (const Forward& f : v.forwards) {
            if (f.fate == Fate::never_ran) continue;
            if (op.idempotency == Idempotency::none) return false;
            const Cache& from = caches_[static_cast<std::size_t>(f.cache)];
            if (op.deduplication_scope == DeduplicationScope::zone && from.zone != to.zone) return false;
            if (op.deduplication_scope == DeduplicationScope::cell &&
                (from.cell != to.cell || from.zone != to.zone))
                return false;
            // The margin: a repeat counts from when it gets there, behind a connect and a tick.
            if (now + deployment_.connect_timeout + deployment_.tick_interval >=
                f.sent + op.deduplication_window)
                return false;
        }
        return true;
    }
    bool may_throttle(const Invocation& v) const {
        const Operation& op = operation(v);
        if (op.idempotency == Idempotency::idempotent) return true;
        if (op.idempotency == Idempotency::idempotency_key &&
            op.deduplication_scope == DeduplicationScope::all)
            return true;
        return std::all_of(v.forwards.begin(), v.forwards.end(),
                           [](const Forward& f) { return f.fate == Fate::never_ran; });
    }

    // ---- what a cold cache may be sent -------------------------------------------------------------------
    double warmth(const Cache& c, double now) const {
        if (deployment_.slow_start_duration <= 0) return 1;
        const double age = std::max(0.0, now - c.cold_since);
        if (age >= deployment_.slow_start_duration) return 1;
        return kColdSafety * (deployment_.cold_capacity_ratio +
                              (1 - deployment_.cold_capacity_ratio) * age / deployment_.slow_start_duration);
    }
    // The same keys at every node, more of them as it warms; and this node's part of rule 4's budget.
    bool welcome_cold(Cache& c, const Invocation& v, int zone, double now) {
        double warm = warmth(c, now);
        if (warm >= 1) return true;
        // In a zone with few caches left, the first that come back cold would have all of its traffic.
        const int zones = zone == pooled() ? 1 : pooled();
        warm *= std::min(1.0, 1.0 * zones * members_[static_cast<std::size_t>(zone)] / members_.back());
        return unit(mix(v.what.key * 3 ^ c.hash)) < warm && has_cold_budget(c, warm, now);
    }
    bool has_cold_budget(Cache& c, double warm, double now) {
        if (warm >= 1) return true;
        // What warm caches answer, not what they are sent: an overloaded fleet rejects most of that.
        const double part = deployment_.overload_multiple * warm * c.points * answered_by_warm(c.zone, now);
        // With many nodes each part is under one forward, and one each would be many: what it has over whole
        // ones is drawn for each fall time and node. The sum is the parts and chance, even if all ask for one
        const std::uint64_t own = mix(own_ ^ c.hash);
        const double span = std::max(deployment_.overload_window, 0.1);
        const auto window = static_cast<std::uint64_t>(now / span + unit(own));
        const double least = kColdLeast / std::max(1, deployment_.node_count);
        const double most = std::max({kColdBudget * part, std::min(part, 1.0), least});
        return c.cold_sent.count(now) < std::floor(most + unit(mix(own + window)));
    }
    // Answers to this node in one fall time, a point of a warm cache of the zone, or of all if it has none:
    // its part of a cache's capacity. Those that answered none of late count too: most, if traffic is thin.
    double answered_by_warm(int zone, double now) {
        std::array<double, 2> answers{}, points{};
        for (Cache& c : caches_) {
            if (c.origin || c.standing != EndpointState::ready || warmth(c, now) < 1) continue;
            for (std::size_t all = c.zone == zone ? 0 : 1; all < 2; ++all) {
                answers[all] += c.pace.count(now);
                points[all] += c.points;
            }
        }
        const std::size_t of = points[0] > 0 ? 0 : 1;
        return points[of] == 0 ? 0 : deployment_.overload_window * answers[of] / points[of] / kPaceSpan;
    }
    // Exception: machines of one kind that strain more than another take a lesser share of their keys, the
    // same ones at every node with that share. Nobody tells speeds, and the list's sizes may mislead.
    // A key that this node often sees goes by chance, since it alone may be more than a cache carries; so do
    // all where the caches are too many for counts to tell such keys, and what a crowded cache declines.
    bool within_share(const Cache& c, const Invocation& v) {
        if (c.share < 1 && draw() >= c.share) return false;
        const double share = kinds_[static_cast<std::size_t>(c.kind)].share;
        const bool seen = kHotLeast * members_.back() <= kHotSample * pooled();
        return share >= 1 || (v.came > 1 || !seen ? draw() : unit(mix(v.what.key * 5 ^ c.hash))) < share;
    }
    double held(const Cache& c) const {
        return c.listed > 0 ? kinds_[static_cast<std::size_t>(c.kind)].size / c.listed - 1 : 0;
    }
    // A list that lowers sizes by load tells all nodes alike, if late, what one node sees too little to know.
    void weigh_listed_load() {
        std::vector<double> sums(rings_.size()), sizes(rings_.size());
        for (const Cache& c : caches_) {
            if (c.ring < 0) continue;
            for (std::size_t z : {static_cast<std::size_t>(c.ring), rings_.size() - 1}) {
                sums[z] += held(c) * c.points;
                sizes[z] += c.points;
            }
        }
        for (Cache& c : caches_) {
            if (c.ring < 0) continue;
            const auto z = static_cast<std::size_t>(c.ring);
            const double h = held(c);
            if (h > kHeldMost && h > kHeldTimes * sums[z] / sizes[z])
                c.share = std::max(kCrowdedLeast, c.share * kCrowdedCut);
            else if (h < kHeldMost / 2)
                c.share = std::min(1.0, c.share + kCrowdedUp);
        }
        const auto own = static_cast<std::size_t>(deployment_.zone);
        if (sizes[own] <= 0) return;
        const double mean = sums[own] / sizes[own];
        const bool alone = sizes.back() <= sizes[own];
        const double rest = alone ? mean : (sums.back() - sums[own]) / (sizes.back() - sizes[own]);
        const double reached = mean * (1 - reach_) + sums.back() / sizes.back() * reach_;
        if (reached > kAdmitHeld)
            admitted_ = std::max(admitted_ * kAdmitCut, kAdmitLeast);
        else if (reached < 0.75 * kAdmitHeld)
            admitted_ = std::min(admitted_ + kAdmitUp, 1.0);
        const double least = kHeldMost / 2;
        lean_ = (mean > std::max(least, kHeldTimes * rest)) - (rest > std::max(least, kHeldTimes * mean));
        if (lean_ * leant_ < 0) zone_step_ = std::max(zone_step_ / 2, kZoneStepLeast);
        if (lean_ != 0) leant_ = lean_;
    }
    void weigh_kinds(double now) {
        double least = 1;
        for (Kind& k : kinds_) {
            if (k.strains.count(now) >= kEnough / 2) least = std::min(least, k.strains.mean(now));
        }
        for (Kind& k : kinds_) {
            const bool over = k.strains.count(now) >= kEnough / 2 && k.strains.mean(now) > least + kKindApart;
            k.share = std::clamp(k.share + (over ? -kKindDown : kKindUp), kKindLeast, 1.0);
        }
    }

    // ---- health --------------------------------------------------------------------------------------
    Doubt* doubt_of(Cache& c, double now) {
        const double silent = c.out >= 2 && c.unanswered > 0 ? now - c.unanswered : 0;
        if (!c.doubt.held && silent > std::max(kSilence, 3 * c.pace.mean(now))) suspect(c, now);
        Doubt& of_zone = zones_[static_cast<std::size_t>(c.zone)].doubt;
        return of_zone.held ? &of_zone : c.doubt.held ? &c.doubt : nullptr;
    }
    void suspect(Cache& c, double now) {
        if (!c.doubt.held) call_back(static_cast<int>(&c - caches_.data()), now);
        c.doubt.raise(draw(), now);
    }
    // A zone that is lost or cut off shows at a node with little traffic by one lost connection at each of
    // many caches, and none is suspect by itself. So they are taken together: as many in a row without an
    // answer from the zone as chance would seldom bring at the share that the best zone loses. Where tables
    // are full that share is high and so is the number. Covers racks and power lost by zone; when one zone
    // alone has full tables it turns from that zone for a trial's gap.
    void judge_zone(const Cache& c, const Forward& f, AttemptOutcome ending, double now) {
        Zone& z = zones_[static_cast<std::size_t>(c.zone)];
        if (ending == AttemptOutcome::refused || ending == AttemptOutcome::reset) {
            z.lost.add(now, 1);
            if (++z.run == 1) z.keep = keep_;
            double least = 1;
            for (Zone& other : zones_) {
                if (other.lost.count(now) >= kZoneRun) least = std::min(least, other.lost.mean(now));
            }
            const bool chance = z.run < kZoneRun || std::pow(least, z.run) > kZoneChance;
            if (pooled() < 2 || (z.doubt.held ? f.sent < z.doubt.since : chance)) return;
            if (!z.doubt.held) keep_ = std::max(keep_, z.keep);  // it was not for full tables
            z.doubt.raise(draw(), now);
        } else if (ending != AttemptOutcome::timed_out && ending != AttemptOutcome::cancelled &&
                   ending != AttemptOutcome::not_sent) {
            z.lost.add(now, 0);
            z.run = 0;
            z.doubt.held = z.doubt.apart > 0;  // left by the fleet, it is taken back by it
        }
    }
    // Exception: what a lost zone refuses is no sign of load.
    bool lost_with_zone(const Cache& c, AttemptOutcome ending) const {
        return (ending == AttemptOutcome::refused || ending == AttemptOutcome::reset) && !c.origin &&
               zones_[static_cast<std::size_t>(c.zone)].doubt.held;
    }
    // Silent for long, it may have restarted: cold until the list says otherwise.
    static void trust(Cache& c, double now) {
        if (now - c.doubt.since > kRestart) c.cold_since = std::max(c.cold_since, now);
        c.doubt.held = false;
    }
    // What a silent cache holds would wait out its time there; called back, it goes on to another cache.
    void call_back(int cache, double now, double out_for = kSilence) {
        if (!deployment_.may_cancel) return;
        for (Invocation& v : invs_) {
            if (!v.open || v.streaming || v.out != 1 || v.forwards.back().cache != cache) continue;
            const Idempotency repeat = operation(v).idempotency;
            if (repeat != Idempotency::idempotent || now - v.forwards.back().sent < out_for) continue;
            host_.cancel_attempt(v.what.id, static_cast<int>(v.forwards.size()) - 1);
        }
    }
    // A suspect gets one invocation now and then, only one that may be forwarded again.
    bool trial_due(Doubt& d, const Invocation& v, double now) {
        if (now < d.next_trial || operation(v).idempotency != Idempotency::idempotent || !v.forwards.empty())
            return false;
        d.next_trial = now + (d.apart > 0 ? d.apart : d.trial_gap);
        return true;
    }
    // Exception: lost by its connection alone, while others are answered quickly: no sign of load or health.
    bool lost_alone(Cache& c, AttemptOutcome ending, double now) {
        if (ending != AttemptOutcome::timed_out && ending != AttemptOutcome::reset) return false;
        return now - c.answered < kSilence && c.pace.mean(now) < kSilence;
    }
    void judge(Cache& c, const Invocation& v, const Forward& f, AttemptOutcome ending, double took,
               double now) {
        const Operation& op = operation(v);
        if (!c.origin) judge_zone(c, f, ending, now);
        const bool with_zone = lost_with_zone(c, ending);
        if (!c.origin && !with_zone) {
            const bool strain = ending == AttemptOutcome::busy || ending == AttemptOutcome::timed_out ||
                                ending == AttemptOutcome::refused ||
                                took > kStrainPart * op.latency_objective;
            endings_.add(now, strain);
            more_endings_.add(now, strain);
            lost_.add(now, ending == AttemptOutcome::timed_out || took > op.latency_objective);
            kinds_[static_cast<std::size_t>(c.kind)].strains.add(now, strain);
        }
        switch (ending) {
            case AttemptOutcome::succeeded:
            case AttemptOutcome::miss:
                c.failures = 0;
                c.unanswered = c.out > 0 ? now : 0;
                c.answered = now;
                c.pace.add(now, took);
                if (c.origin) return;
                if (took > kStrainPart * op.latency_objective) {
                    // With many nodes, one forward from each may be too much: pause as long as it took.
                    ease_off(c, kGentleCut, took, took, now);
                } else {
                    c.gate.grow(c.out);
                }
                if (c.doubt.held && (c.doubt.apart == 0 || took <= kStrainPart * op.latency_objective)) {
                    trust(c, now);
                    c.pace.clear();
                }
                c.doubt.since = now;  // whatever it is, it was not silent until now
                break;
            case AttemptOutcome::busy:
                c.failures = 0;
                c.unanswered = c.out > 0 ? now : 0;
                if (!c.origin) ease_off(c, kHardCut, kPause, 0, now);
                break;
            case AttemptOutcome::failed:
                c.unanswered = c.out > 0 ? now : 0;
                break;
            case AttemptOutcome::timed_out:
            case AttemptOutcome::refused:
            case AttemptOutcome::reset:
                // A machine that has gone silent takes all of the connect time; a full table says so at once.
                if (!with_zone && ending == AttemptOutcome::refused &&
                    took < kQuickRefusal * deployment_.connect_timeout)
                    keep_ = std::max(keep_ / 2, kKeepLeast);
                if (f.sent < c.unanswered) c.unanswered = f.sent;
                if (c.origin) return;
                ease_off(c, kHardCut, kPause, 0, now);
                if (++c.failures >= kSilentRun) suspect(c, now);
                break;
            default:
                break;
        }
        if (c.out == 0) c.unanswered = 0;
    }
    void ease_off(Cache& c, double to, double apart, double pause, double now) {
        if (c.gate.limit <= kLimitLeast) {
            c.gate.pause = std::max(c.gate.pause, pause);
            c.gate.rest(draw(), kCachePauseMost, now);
        }
        c.gate.cut(to, apart, c.out, now);
    }

    // ---- forwards --------------------------------------------------------------------------------------
    void send(Invocation& v, int cache, double limit, double now) {
        Cache& c = caches_[static_cast<std::size_t>(cache)];
        v.forwards.push_back({cache, now, Fate::out});
        ++v.out;
        ++c.out;
        count_out(c, 1);
        c.connected = true;
        if (c.unanswered == 0) c.unanswered = now;
        if (!c.origin) c.cold_sent.add(now, 1);
        host_.start_attempt(v.what.id, cache, limit);
    }
    void to_cache(Invocation& v, double now) {
        const int cache = choose(v, now);
        if (cache < 0) {
            const bool straight = !v.what.is_write && origin_ >= 0 && members_.back() == 0;
            straight ? to_origin(v, now) : close(v);
            return;
        }
        send(v, cache, v.useful - now, now);
    }
    // After a failed forward: another if rule 2, the time left and the budget all allow it; but in a jam none
    // to a further cache: all are full, and each try costs one of them a handshake and a place in vain; and
    // none to an origin that the node did not send to: past its part of the fleet's limit it would not again.
    void again(Invocation& v, double now, const Cache& from, AttemptOutcome ending) {
        // What a lost zone refused cost nobody work, so it needs no token while another zone stands.
        const auto stands = [](const Zone& z) { return !z.doubt.held; };
        const bool free = ending == AttemptOutcome::refused && lost_with_zone(from, ending) &&
                          std::any_of(zones_.begin(), zones_.end() - 1, stands);
        const bool may = from.origin ? ending != AttemptOutcome::not_sent : strained_ <= kJamStrain;
        if (v.useful - now > 2 * deployment_.tick_interval && (free || (retries_ >= 1 && may))) {
            if (!free) retries_ -= 1;
            from.origin ? to_origin(v, now) : to_cache(v, now);
            return;
        }
        close(v);
    }
    // The final answer of a given-up invocation, at once: throttled where rule 2 lets it, else errored.
    void close(Invocation& v) {
        v.open = false;
        leave_wait(v);
        if (may_throttle(v)) {
            const double wait = 0.2 + std::max(pressure_, 1 - admitted_) * (0.5 + draw());
            const double advice = std::min(deployment_.max_retry_after, wait);
            host_.reject(v.what.id, deployment_.max_retry_after > 0 ? advice : 0);
        } else {
            host_.fail(v.what.id);
        }
        drop_copies(v);
    }
    // Work for nobody is called back, except a fetch: its answer still fills the cache for those who wait.
    void drop_copies(Invocation& v) {
        if (!deployment_.may_cancel || v.streaming) return;
        for (std::size_t i = 0; i < v.forwards.size(); ++i) {
            const Forward& f = v.forwards[i];
            if (f.fate == Fate::out && !caches_[static_cast<std::size_t>(f.cache)].origin)
                host_.cancel_attempt(v.what.id, static_cast<int>(i));
        }
    }

    // ---- the origin ------------------------------------------------------------------------------------
    void to_origin(Invocation& v, double now) {
        const int at = origin_;
        if (at < 0 || !may_forward(v, at, now)) {
            if (v.out == 0) close(v);
            return;
        }
        if (!v.what.is_write && v.what.has_key) {
            // One fetch a key: a void or new popular key would otherwise cost a fetch for each who asks.
            const auto fetch = fetches_.find(v.what.key);
            if (fetch != fetches_.end()) {
                fetch->second.push_back(v.what.id);
                wait(v, Wait::fetch, now);
                return;
            }
        }
        if (origin_gate_.open(origin_out_, now)) {
            fetch_now(v, at, now);
        } else if (origin_wait(now) < v.useful - now) {
            queue_.push_back(v.what.id);
            wait(v, Wait::queue, now);
        } else {
            close(v);
        }
    }
    // How long a newcomer waits and is then fetched for: one who cannot make it is told so at once.
    double origin_wait(double now) const {
        const double pace = std::max(origin_pace_, 0.01);
        const double turns = static_cast<double>(queue_.size() + 1) / origin_gate_.limit + 1;
        return std::max(0.0, origin_gate_.pause_until - now) + turns * pace;
    }
    void fetch_now(Invocation& v, int at, double now) {
        ++origin_out_;
        if (!v.what.is_write && v.what.has_key) {
            fetches_[v.what.key];
            v.leads = true;
        }
        send(v, at, v.due - now, now);  // past its use to this client, the answer still fills the cache
    }
    void wait(Invocation& v, Wait how, double now) {
        v.wait = how;
        host_.set_timer(std::max(v.useful - now - 2 * deployment_.tick_interval, 0.0),
                        token(Timer::expiry, v.turn, v.what.id));
    }
    void leave_wait(Invocation& v) {
        if (v.wait == Wait::queue) std::erase(queue_, v.what.id);
        if (v.wait == Wait::fetch) {
            const auto fetch = fetches_.find(v.what.key);
            if (fetch != fetches_.end()) std::erase(fetch->second, v.what.id);
        }
        v.wait = Wait::none;
    }
    void origin_ended(Invocation& v, AttemptOutcome ending, double took, double now) {
        --origin_out_;
        adapt_origin(ending, took, now);
        std::vector<int> waiting;
        if (v.leads) {
            v.leads = false;
            const auto fetch = fetches_.find(v.what.key);
            waiting.swap(fetch->second);
            fetches_.erase(fetch);
        }
        for (int inv : waiting) {
            Invocation& w = invs_[static_cast<std::size_t>(inv)];
            w.wait = Wait::none;
            Cache& missed = caches_[static_cast<std::size_t>(std::max(v.missed_at, 0))];
            if (ending == AttemptOutcome::succeeded && v.missed_at >= 0 && may_forward(w, v.missed_at, now) &&
                has_cold_budget(missed, warmth(missed, now), now)) {
                send(w, v.missed_at, w.useful - now, now);  // it is stored there now
            } else {
                to_origin(w, now);
            }
        }
        next_from_queue(now);
    }
    double still_earns(const Invocation& v, double now) const {
        const Operation& op = operation(v);
        const bool late = now + origin_pace_ > v.in_time;
        return op.priority_weight * (late ? op.late_value_ratio : 1) *
               (v.over_share ? deployment_.over_quota_value_ratio : 1);
    }
    void next_from_queue(double now) {
        while (origin_gate_.open(origin_out_, now) && !queue_.empty()) {
            // What an answer would still earn first, then whoever has the least time left.
            const auto next = std::min_element(queue_.begin(), queue_.end(), [this, now](int a, int b) {
                const Invocation& x = invs_[static_cast<std::size_t>(a)];
                const Invocation& y = invs_[static_cast<std::size_t>(b)];
                const double vx = still_earns(x, now);
                const double vy = still_earns(y, now);
                return vx != vy ? vx > vy : x.useful < y.useful;
            });
            Invocation& w = invs_[static_cast<std::size_t>(*next)];
            queue_.erase(next);
            w.wait = Wait::none;
            to_origin(w, now);
        }
    }
    void adapt_origin(AttemptOutcome ending, double took, double now) {
        if (ending == AttemptOutcome::succeeded) {
            origin_pace_ = origin_pace_ == 0 ? took : origin_pace_ + (took - origin_pace_) / 8;
            if (origin_pace_ > origin_target_)
                origin_gate_.cut(kGentleCut, std::max(origin_pace_, 0.05), origin_out_, now);
            else
                origin_gate_.grow(origin_out_);
        } else if (ending != AttemptOutcome::cancelled && ending != AttemptOutcome::not_sent &&
                   ending != AttemptOutcome::failed) {
            origin_gate_.cut(kHardCut, std::max(origin_pace_, 0.05), origin_out_, now);
            if (origin_gate_.rest(draw(), kOriginPauseMost, now))
                host_.set_timer(origin_gate_.pause_until - now, token(Timer::origin, 0, 0));
        }
    }

    // ---- shares, and pressure ------------------------------------------------------------------------
    // Over its share at this node: quotas hold for all nodes together, so each is scaled by this node's
    // part of the traffic, guessed from the tenants in the middle, which are seldom the greedy ones.
    bool over_share(const Invocation& v, double now) {
        if (v.what.tenant < 0 || v.what.tenant >= static_cast<int>(tenants_.size()) || tenants_.size() < 2)
            return false;
        Share& s = tenants_[static_cast<std::size_t>(v.what.tenant)];
        s.arrivals.add(now, 1);
        if (s.quota <= 0) return false;
        const double rate = s.quota * std::max(node_part_, s.part);
        s.tokens = std::min(s.tokens + (now - s.filled) * rate, std::max(rate, kShareDepth));
        s.filled = now;
        if (s.tokens < 1) return true;
        s.tokens -= 1;
        return false;
    }
    void look(double now) {
        if (now - looked_ < kPressureLook) return;
        looked_ = now;
        close_idle(now);
        const bool live = deployment_.endpoint_weights == EndpointWeights::load_adjusted;
        if (!live) weigh_kinds(now);
        strained_ = endings_.mean(now);
        if (!live) {
            const bool wasted = lost_.count(now) >= kEnough && lost_.mean(now) > kLostMost;
            admitted_ = std::clamp(wasted ? admitted_ * kLostCut : admitted_ + kLostUp, kAdmitLeast, 1.0);
        }
        // One second of a node with little traffic is chance, and shedding by chance spares the greedy.
        const double steady = endings_.count(now) < kEnough ? more_endings_.mean(now) : strained_;
        const bool tight = strained_ > kReachStrain || !queue_.empty();
        const double step = live ? lean_ * zone_step_ : tight ? kReachUp : -kReachDown;
        reach_ = std::clamp(reach_ + step, 0.0, 1.0);
        pressure_ = std::clamp(pressure_ + (steady > kStrained ? kPressureStep : -kPressureStep), 0.0, 1.0);
        std::vector<double> parts;
        for (Share& s : tenants_) {
            if (s.quota > 0) parts.push_back(s.arrivals.sum(now) / kPaceSpan / s.quota);
        }
        node_part_ = 1.0 / std::max(1, deployment_.node_count);
        std::sort(parts.begin(), parts.end());
        if (!parts.empty()) node_part_ = std::clamp(parts[parts.size() / 2], node_part_, 1.0);
    }
    // An idle connection is kept until it closes by itself; after refusals for less: they fill the tables.
    void close_idle(double now) {
        const double most =
            deployment_.connection_idle_timeout > 0 ? deployment_.connection_idle_timeout : 1e9;
        keep_ = std::min(keep_ * kKeepGrow, most);
        for (Cache& c : caches_) {
            if (!c.connected || c.out > 0 || now - c.used < keep_) continue;
            c.connected = false;
            host_.close_idle_connections(static_cast<int>(&c - caches_.data()));
        }
    }
    Deployment deployment_;
    std::shared_ptr<const Deployment> rules_;
    Host& host_;
    std::ranlux24_base chance_;
    std::uint64_t own_;  // for draws that have to be this node's alone
    std::vector<Cache> caches_;
    std::vector<std::vector<Point>> rings_;
    std::vector<int> members_;  // caches a ring, and forwards out there
    std::vector<int> outs_;
    double usual_size_ = 0;  // of a cache, by the first list that gave sizes; 0: none does
    int origin_ = -1;
    std::vector<Invocation> invs_;
    std::vector<Kind> kinds_;
    std::vector<Zone> zones_;
    std::vector<Share> tenants_;
    std::array<std::map<std::uint64_t, int>, 2> counts_;  // how often each key came, this generation and last
    std::array<int, 2> counted_{};
    Meter endings_{1.0};
    Meter more_endings_{kMoreSpan};
    Meter lost_{1.0};  // timed out or past the objective, at caches
    unsigned list_turn_ = 0;
    unsigned walk_turn_ = 1U << 31;
    int list_failures_ = 0;
    double most_retries_ = 0;
    double retries_ = 0;
    double strained_ = 0;  // part of the last second's endings at caches, as of the last look
    double pressure_ = 0;
    double reach_ = 0;
    double admitted_ = 1;  // part of the reads let in, by the load that the list tells
    double zone_step_ = kZoneStep;
    int leant_ = 0;  // which way last
    int lean_ = 0;   // 1: by the list, the own zone is more crowded than the rest; -1: less
    double looked_ = 0;
    double keep_ = 1e9;  // s that an idle connection is kept
    double node_part_ = 1;
    std::map<std::uint64_t, std::vector<int>> fetches_;  // key: who waits for its fetch
    std::vector<int> queue_;                             // who waits for a place at the origin
    Gate origin_gate_;
    double origin_pace_ = 0;
    double origin_target_ = 1;
    int origin_out_ = 0;
};

}  // namespace

std::unique_ptr<Balancer> make_balancer(const Deployment& deployment, std::uint64_t seed, Host& host) {
    return std::make_unique<Decisions>(deployment, seed, host);
}

}  // namespace brookrelay
