// All routing decisions and the constants that they use. docs/design.md gives the reasons.
//
// A request normally goes to the owner of the next point clockwise from its key's position on the local
// zone's ring, unless that server's load exceeds the load bound. Reads that miss and all writes go to the
// origin.
#include "balancer/balancer.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <numeric>
#include <random>
#include <utility>

#include "balancer/hash_ring.h"
#include "balancer/routing_state.h"
#include "balancer/timer_token.h"
#include "util/key_counter.h"
#include "util/sliding_window.h"
#include "util/splitmix64.h"

namespace brookrelay {
namespace {

// ---- the ring ---------------------------------------------------------------------------------------------
// Number of ring points of a server whose weight equals the reference weight. The design fixes this figure.
constexpr double kPointsPerServer = 100;
// Lower bound of a server's number of ring points.
constexpr double kMinPoints = 10;
// Upper bound of a server's number of ring points.
constexpr double kMaxPoints = 1000;
// Seed of all ring hashes. All nodes use the same value, so that they compute the same owners.
constexpr std::uint64_t kRingSeed = 0x62726f6f6b72656cULL;
// A server is skipped when its attempts in flight exceed this multiple of its even share. The design requires
// at least 2; a smaller multiple moves keys away from the servers that hold their copies.
constexpr double kLoadBoundFactor = 3.0;
// Attempts in flight up to which a server is never skipped for its load. The design requires at least 2; with
// a small floor, servers are skipped by chance.
constexpr int kLoadBoundFloor = 6;
// Number of full or backed-off servers that a request skips before it is rejected.
constexpr int kMaxSkippedServers = 1;
// Result of a ring search that ended because too many servers were full or backed off.
constexpr int kAllOverloaded = -2;
// Number of requests that one generation of key counts holds. The older of two generations is dropped when
// the newer one is full.
constexpr int kKeySampleSize = 128;
// Number of counted requests from which a key may be treated as hot. Smaller counts occur by chance.
constexpr int kHotKeyMinCount = 3;

// ---- outlier ejection -------------------------------------------------------------------------------------
// Consecutive failures that eject a server. A smaller number would eject servers on chance errors.
constexpr int kEjectionFailures = 3;
// Seconds without any response, with attempts in flight, after which a server is ejected.
constexpr double kSilenceTimeout = 0.3;
// Minimum number of consecutive lost connections in one zone that eject the whole zone.
constexpr int kZoneFailures = 3;
// A zone is ejected only if the probability that chance causes its run of lost connections is at most this.
constexpr double kZoneFalsePositiveRate = 0.01;
// Seconds from an ejection to the first probe. Each further failure doubles the interval, up to
// kMaxProbeInterval.
constexpr double kProbeInterval = 0.5;
// Upper bound of the probe interval, in seconds.
constexpr double kMaxProbeInterval = 2.0;
// Seconds of silence from which a server may have restarted unnoticed. A shorter silence indicates an
// overload.
constexpr double kRestartSilence = 3.0;

// ---- retries ----------------------------------------------------------------------------------------------
// Retry tokens that each request adds to the node's bucket. A retry costs one token.
constexpr double kRetryTokensPerRequest = 0.2;
// Bucket size of all nodes together, in tokens: enough for one short outage and too few for a retry storm.
constexpr double kMaxFleetRetryTokens = 100;
// Lower bound of one node's bucket size, in tokens; it applies in large fleets.
constexpr double kMinRetryTokens = 2;
// Upper bound of one node's bucket size, in tokens; it applies in small fleets.
constexpr double kMaxNodeRetryTokens = 20;

// ---- slow start -------------------------------------------------------------------------------------------
// Fraction of a warming server's guaranteed capacity that is used.
constexpr double kSlowStartSafety = 0.8;
// Fraction of this node's even share of the slow-start budget (rule 4) that is used.
constexpr double kSlowStartBudgetShare = 0.6;
// Attempts that all nodes together may send a server in slow start within one overload window while nothing
// is known of its capacity.
constexpr double kMinSlowStartAttempts = 1;

// ---- polling for the endpoint list ------------------------------------------------------------------------
// Average interval, in seconds, between the first polls of two nodes that start together.
constexpr double kPollSpacing = 0.12;
// Upper bound, in seconds, of the delay after a failed poll. A change counts as notified within 6 s.
constexpr double kMaxPollDelay = 4.0;

// ---- concurrency limits and backoff -----------------------------------------------------------------------
// Initial concurrency limit of the origin for all nodes together. It is low because the origin is shared and
// slow.
constexpr double kInitialOriginLimit = 16;
// Upper bound of one node's initial concurrency limit of the origin.
constexpr double kMaxInitialOriginLimit = 4;
// Initial concurrency limit of a cache server. Like the origin's limit, it settles within seconds.
constexpr double kInitialServerLimit = 16;
// Factor applied to a concurrency limit when responses become slow.
constexpr double kSlowDecrease = 0.8;
// Factor applied to a concurrency limit when attempts fail.
constexpr double kFailureDecrease = 0.5;
// Lower bound of every concurrency limit, in attempts.
constexpr double kMinLimit = 1;
// Upper bound of every concurrency limit, in attempts.
constexpr double kMaxLimit = 64;
// First backoff, in seconds, after a failure at the minimum limit. It doubles with each further backoff.
constexpr double kMinBackoff = 0.1;
// Upper bound of the origin's backoff, in seconds.
constexpr double kMaxOriginBackoff = 2.0;
// Upper bound of a cache server's backoff, in seconds. It is longer than the origin's because, with many
// nodes, one attempt from each of them overloads a small server.
constexpr double kMaxServerBackoff = 4.0;
// Fraction of the shortest latency objective that the origin's mean latency may take.
constexpr double kOriginLatencyShare = 0.5;

// ---- load shedding and quotas -----------------------------------------------------------------------------
// Seconds between two adjustments of the ratios and limits below.
constexpr double kAdjustInterval = 0.25;
// Change of the shedding ratio at each adjustment.
constexpr double kSheddingStep = 0.1;
// Rate of slow responses above which the shedding ratio rises.
constexpr double kSheddingThreshold = 0.15;
// Rate of slow responses above which all servers count as full: no full server is skipped, and no failed
// attempt is retried at another cache server.
constexpr double kOverloadedRate = 0.55;
// Fraction of the latency objective above which a response counts as slow.
constexpr double kSlowResponseRatio = 0.35;
// Minimum bucket size of a tenant's quota at one node, in requests. A smaller bucket is emptied by chance.
constexpr double kQuotaBurst = 10;
// Minimum number of responses in one second from which their rate of slow ones is used; with fewer, the rate
// over kLongWindow is used.
constexpr int kMinSamples = 16;
// Length, in seconds, of the window for rates of rare events.
constexpr double kLongWindow = 8.0;
// Length, in seconds, of the window for request rates and mean latencies.
constexpr double kRateWindow = 4.0;
// Rate of attempts that end after their objective above which fewer reads are admitted.
constexpr double kMaxLateRate = 0.1;
// Factor applied to the admission ratio at each adjustment while that rate is exceeded.
constexpr double kLateAdmissionDecrease = 0.95;
// Increase of the admission ratio at each adjustment while that rate is not exceeded.
constexpr double kLateAdmissionIncrease = 0.04;
// Factor by which the idle timeout of server connections grows at each adjustment. Refusals by full
// connection tables halve the timeout.
constexpr double kIdleTimeoutGrowth = 1.03;
// Fraction of the connect timeout below which a refused connection indicates a full connection table.
constexpr double kFastRefusalRatio = 0.8;
// Lower bound of the idle timeout, in seconds. Below it, a burst to one server opens a connection for each
// request.
constexpr double kMinIdleTimeout = 0.05;

// ---- machine kinds ----------------------------------------------------------------------------------------
// A kind's traffic share falls while its rate of slow responses exceeds the best kind's by more than this.
constexpr double kKindSlowMargin = 0.05;
// Decrease of a slower kind's traffic share at each adjustment.
constexpr double kKindShareDecrease = 0.02;
// Increase of a kind's traffic share at each adjustment. It is smaller than the decrease, as with spillover.
// Half of both steps gained less.
constexpr double kKindShareIncrease = 0.005;
// Lower bound of a kind's traffic share. A larger difference between machines is a fault, not a kind.
constexpr double kMinKindShare = 0.4;
// Number of machine kinds that are tracked separately. Further kinds share the last entry.
constexpr int kMaxKinds = 64;

// ---- load reported by the endpoint list -------------------------------------------------------------------
// Requests per core above which a server counts as overloaded, if it also exceeds kCrowdedFactor.
constexpr double kCrowdedLoad = 2.0;
// Multiple of its zone's mean load that an overloaded server exceeds. Where all servers are full, none of
// them loses traffic.
constexpr double kCrowdedFactor = 1.5;
// Factor applied to an overloaded server's traffic share at each update of the list.
constexpr double kCrowdedDecrease = 0.75;
// Increase of a server's traffic share at each update while its load is below half of kCrowdedLoad. It is
// small so that load returns slowly.
constexpr double kCrowdedIncrease = 0.1;
// Lower bound of an overloaded server's traffic share.
constexpr double kMinCrowdedShare = 0.05;
// Mean requests per core above which fewer reads are admitted. More are admitted again below three quarters
// of it; in between the admission ratio stays.
constexpr double kAdmissionLoad = 5.0;
// Factor applied to the admission ratio at each update above kAdmissionLoad.
constexpr double kAdmissionDecrease = 0.8;
// Increase of the admission ratio at each update below three quarters of kAdmissionLoad.
constexpr double kAdmissionIncrease = 0.1;
// Lower bound of the admission ratio.
constexpr double kMinAdmission = 0.2;

// ---- cross-zone spillover ---------------------------------------------------------------------------------
// Lower bound of the spillover step. The step is halved whenever the load imbalance reverses, because late
// updates of the list would otherwise make the spillover ratio oscillate.
constexpr double kMinSpilloverStep = 0.01;
// Initial change of the spillover ratio at each adjustment while the list shows one side as more loaded.
constexpr double kSpilloverStep = 0.06;
// Rate of slow responses above which the spillover ratio rises.
constexpr double kSpilloverThreshold = 0.4;
// Increase of the spillover ratio at each adjustment: keys spill over within seconds.
constexpr double kSpilloverIncrease = 0.25;
// Decrease of the spillover ratio at each adjustment: keys return within half a minute. A faster return would
// move copies again and again.
constexpr double kSpilloverDecrease = 0.01;

// Bounds the attempts that a server may have in flight. The server's capacity is not known, so the limit
// grows by one per round of fast responses and falls on failures. At the minimum limit a failure starts a
// backoff: attempts that timed out or were rejected still cost the server work, and only a backoff lets that
// work drain.
struct ConcurrencyLimiter {
    double limit = 1;
    double backoff = kMinBackoff;
    double backoff_until = 0;
    double decreased_at = 0;

    bool has_capacity(int in_flight, double now) const { return in_flight < limit && now >= backoff_until; }
    void increase(int in_flight) {
        backoff = kMinBackoff;
        if (in_flight + 2 >= limit) limit = std::min(limit + 1 / limit, kMaxLimit);
    }
    // Decreases the limit from the number in flight: a limit that was never reached does not indicate the
    // server's capacity.
    void decrease(double to, double apart, int in_flight, double now) {
        if (now - decreased_at < apart) return;
        decreased_at = now;
        limit = std::max(kMinLimit, std::min(limit, 2.0 * in_flight + 2) * to);
    }
    bool back_off(double spread, double most, double now) {
        if (now < backoff_until) return false;
        backoff_until = now + backoff * (0.75 + 0.5 * spread);
        backoff = std::min(2 * backoff, most);
        return true;
    }
};

// The ejection of one server or of a whole zone. While ejected, it receives only occasional probes; a
// response reinstates it.
struct OutlierEjection {
    bool ejected = false;
    double since = 0;
    double next_probe = 0;
    double probe_interval = kProbeInterval;
    double apart = 0;  // s between this node's probes under a verdict of the fleet; 0: no such verdict

    void eject(double spread, double now) {
        if (!ejected) {
            probe_interval = kProbeInterval;
            since = now;
        }
        ejected = true;
        next_probe = now + (apart > 0 ? apart : probe_interval) * (0.75 + 0.5 * spread);
        probe_interval = std::min(2 * probe_interval, kMaxProbeInterval);
    }
};

struct Server {
    std::uint64_t hash = 0;
    int zone = 0;
    int cell = 0;
    int kind = 0;
    int ring = -1;             // zone whose ring holds the server's points; -1: none
    int points = 0;            // number of the server's points on that ring
    double listed_weight = 0;  // last listed weight; its load lowers it where weights are load-adjusted
    double share = 1;          // fraction of its keys that it receives, based on its reported load
    bool is_origin = false;
    EndpointState state = EndpointState::removed;
    double started_at = -1e9;  // last start, as listed or as assumed after a long silence
    int in_flight = 0;         // this node's attempts without an outcome
    double last_response_at = -1e9;
    double unanswered_since = 0;  // time of the first attempt sent since its last response; 0: none
    int consecutive_failures = 0;
    OutlierEjection ejection;
    ConcurrencyLimiter limiter{kInitialServerLimit};
    SlidingWindow latencies{kRateWindow};  // response latencies, s
    SlidingWindow slow_start_attempts{kRateWindow};
    bool may_have_connections = false;  // this node may hold connections to the server
    double last_used_at = 0;            // time when an attempt of this node last finished there
    unsigned visit_mark = 0;
};

using Outcome = AttemptOutcome;

class ConsistentHashBalancer final : public Balancer {
  public:
    ConsistentHashBalancer(const Deployment& deployment, std::uint64_t seed, Host& host)
        : host_(host), random_(static_cast<std::uint32_t>(mix(seed))), node_seed_(mix(seed + 1)) {
        apply_configuration(deployment);
        clear_rings();
        retry_tokens_ = max_retry_tokens_ / 2;
        origin_limiter_.limit = std::clamp(kInitialOriginLimit / std::max(1, deployment.node_count),
                                           kMinLimit, kMaxInitialOriginLimit);
    }
    const BalancerWork& work() const override { return work_; }
    // Keeps what this node has learned about servers and its traffic. Weights and load are learned again from
    // the endpoint list that follows.
    void on_configuration(double, const Deployment& deployment) override {
        const bool same_sizes = deployment.endpoint_weights == deployment_.endpoint_weights;
        const bool same_zones = deployment.zone_count == deployment_.zone_count;
        apply_configuration(deployment);
        // Points stay where they are; the endpoint list that follows moves the points of servers that changed
        // zone.
        if (!same_zones) clear_rings();
        if (!same_sizes) {
            for (Server& server : servers_) server.share = 1;
        }
        if (same_sizes) return;
        for (MachineKind& k : kinds_) k.size = 0;
        reference_weight_ = 0;
        admission_ratio_ = 1;
        load_imbalance_ = last_imbalance_ = 0;
        spillover_step_ = kSpilloverStep;
    }
    WarmStartSnapshot snapshot(double now) const override {
        WarmStartSnapshot l;
        l.spillover_ratio = spillover_ratio_;
        l.shedding_ratio = shedding_ratio_;
        l.admission_ratio = admission_ratio_;
        l.origin_concurrency_limit = origin_limiter_.limit;
        l.origin_latency = origin_latency_;
        for (const MachineKind& k : kinds_) l.kind_traffic_shares.push_back(k.share);
        for (std::size_t i = 0; i < servers_.size(); ++i) {
            const Server& server = servers_[i];
            if (server.state != EndpointState::ready || server.is_origin) continue;
            l.servers.push_back({static_cast<int>(i), server.limiter.limit,
                                 server.limiter.backoff_until - now, server.ejection.ejected});
        }
        return l;
    }
    // Without a snapshot, a newly started node learns from timeouts which servers are slow, and its clients
    // wait meanwhile.
    void restore(double now, const WarmStartSnapshot& l) override {
        spillover_ratio_ = std::clamp(l.spillover_ratio, 0.0, 1.0);
        shedding_ratio_ = std::clamp(l.shedding_ratio, 0.0, 1.0);
        admission_ratio_ = std::clamp(l.admission_ratio, kMinAdmission, 1.0);
        origin_limiter_.limit = std::clamp(l.origin_concurrency_limit, kMinLimit, kMaxLimit);
        origin_latency_ = std::max(l.origin_latency, 0.0);
        for (std::size_t k = 0; k < std::min(kinds_.size(), l.kind_traffic_shares.size()); ++k)
            kinds_[k].share = std::clamp(l.kind_traffic_shares[k], kMinKindShare, 1.0);
        for (const WarmStartSnapshot::ServerSnapshot& of : l.servers) {
            Server& server = server_at(of.server);
            server.limiter.limit = std::clamp(of.concurrency_limit, kMinLimit, kMaxLimit);
            server.limiter.backoff_until = now + std::min(of.backoff_remaining, kMaxServerBackoff);
            if (of.ejected) eject(server, now);
        }
    }
    // Ejects a server on the fleet's verdict unless this node's own recent responses were fast. With little
    // traffic a node uses each server too rarely to detect that it is slow or failing. The verdict covers
    // servers that are lost before the list shows it. It does harm when the reporters share a bad path, so
    // the ejection lasts only as long as the verdict and ends with a fast response to this node.
    void on_outlier_verdict(double now, int server_id, bool bad, double apart) override {
        Server& server = server_at(server_id);
        const bool known_well = server.consecutive_failures == 0 && server.latencies.count(now) > 0 &&
                                server.latencies.mean(now) < kSilenceTimeout;
        const bool anew = bad && !known_well && server.ejection.apart == 0;
        if (!bad && server.ejection.ejected && server.ejection.apart > 0 &&
            server.consecutive_failures < kEjectionFailures)
            reinstate(server, now);
        server.ejection.apart = bad && !known_well ? apart : 0;
        if (!anew) return;
        eject(server, now);
        server.ejection.next_probe = now + apart * random_unit();
    }
    // Sets the share of a zone's keys that goes there. All nodes of this node's zone drain a lost or
    // partitioned zone together and return to it with the same share of its keys. While it is drained, no
    // single response reinstates it.
    void set_zone_weight(double now, int zone, double part, double apart) override {
        if (zone < 0 || zone >= all_zones_ring()) return;  // a zone of an earlier configuration
        Zone& z = zone_at(zone);
        for (std::size_t i = 0; part == 0 && z.part > 0 && i < servers_.size(); ++i) {
            if (servers_[i].zone == zone) cancel_stalled_attempts(static_cast<int>(i), now, 0);
        }
        if (part > 0 && part < 1) z.run = 0;
        z.ejection.ejected = part == 0 || (part == 1 && z.ejection.ejected);
        z.ejection.next_probe = now + std::max(apart, kProbeInterval) * (0.75 + 0.5 * random_unit());
        z.ejection.apart = apart;
        z.part = part;
    }
    void set_tenant_quota_share(double, int tenant, double part) override {
        if (tenant >= 0 && tenant < static_cast<int>(tenants_.size()))
            tenants_[static_cast<std::size_t>(tenant)].part = part;
    }
    void on_endpoints(double, UpdateKind kind, const std::vector<Endpoint>& entries) override {
        ++update_generation_;
        warm_responses_.is_current = false;
        work_.servers += entries.size();
        std::vector<int> changed;
        changed.reserve(entries.size());
        for (const Endpoint& endpoint : entries) {
            take_over(endpoint);
            changed.push_back(endpoint.server);
        }
        if (kind != UpdateKind::delta) {
            work_.servers += servers_.size();
            for (std::size_t i = 0; i < servers_.size(); ++i) {
                Server& server = servers_[i];
                if (server.visit_mark == update_generation_ || server.state == EndpointState::removed)
                    continue;
                server.state = EndpointState::removed;
                changed.push_back(static_cast<int>(i));
            }
        }
        if (reference_weight_ == 0 && sizes_changed_) {
            reference_weight_ = compute_reference_weight();
        }
        update_rings(changed);
        if (deployment_.endpoint_weights == EndpointWeights::load_adjusted &&
            kind != UpdateKind::cached_on_disk)
            apply_reported_load();
        if (kind != UpdateKind::cached_on_disk) poll_failures_ = 0;
        // A cached list may be outdated, so the first poll is early. Its delay is random because the polls of
        // nodes that start together would otherwise be rejected together.
        else if (deployment_.polls_endpoints)
            host_.set_timer(poll_spread() * random_unit(), TimerToken{TimerToken::Kind::poll}.encode());
    }
    void on_poll_failed(double) override {
        // Exponential backoff with jitter, because all nodes lose the list at the same time and the discovery
        // service has a fixed capacity.
        const double most = std::min({std::max(0.2, poll_spread()) * std::pow(2.0, poll_failures_),
                                      deployment_.poll_interval / 2 + 0.2, kMaxPollDelay});
        poll_failures_ = std::min(poll_failures_ + 1, 10);
        host_.set_timer(most * (0.3 + 0.7 * random_unit()), TimerToken{TimerToken::Kind::poll}.encode());
    }
    void on_request(double now, const Request& a) override {
        if (a.id >= static_cast<int>(requests_.size())) requests_.resize(static_cast<std::size_t>(a.id) + 1);
        PendingRequest& request = request_at(a.id);
        request.open = true;
        request.info = a;
        request.deployment = shared_deployment_;
        if (!a.has_key) request.info.key = (static_cast<std::uint64_t>(random_()) << 24) ^ random_();
        const Operation& op = operation(request);
        request.deadline = now + a.time_remaining;
        request.objective_deadline = now + op.latency_objective;
        request.useful_until = op.late_value_ratio > 0
                                   ? request.deadline
                                   : std::min(request.deadline, request.objective_deadline);
        request.attempts.clear();
        request.in_flight = 0;
        request.missed_at = -1;
        request.waiting_for = WaitReason::none;
        request.streaming = request.leads_fetch = false;
        ++request.generation;
        retry_tokens_ = std::min(retry_tokens_ + kRetryTokensPerRequest, max_retry_tokens_);
        adjust_limits(now);
        request.over_quota = is_over_quota(request, now);
        request.key_count = a.has_key && !a.is_write ? key_counter_.add(a.key) : 0;
        const bool shed = (request.over_quota && random_unit() < shedding_ratio_) ||
                          (!a.is_write && random_unit() >= admission_ratio_);
        const bool too_late = request.useful_until - now <= 2 * deployment_.tick_interval;
        if (shed || too_late) return reject_or_fail(request);
        if (a.is_write && origin_server_ >= 0) return route_to_origin(request, now);
        route_to_cache(request, now);
    }
    void on_attempt_finished(double now, int request_id, int attempt_number, Outcome outcome, double latency,
                             bool over) override {
        PendingRequest& request = request_at(request_id);
        if (attempt_number < 0 || attempt_number >= static_cast<int>(request.attempts.size())) return;
        Attempt& attempt = request.attempts[static_cast<std::size_t>(attempt_number)];
        if (attempt.state != AttemptState::in_flight) return;
        const bool never_ran = outcome == Outcome::busy || outcome == Outcome::refused ||
                               outcome == Outcome::not_sent || outcome == Outcome::miss;
        attempt.state = never_ran ? AttemptState::never_ran : AttemptState::may_have_run;
        --request.in_flight;
        const int at = attempt.server;
        Server& server = server_at(at);
        --server.in_flight;
        count_in_flight(server, -1);
        server.last_used_at = now;
        warm_responses_.is_current = false;
        const Outcome told = is_isolated_loss(server, outcome, now) ? Outcome::failed : outcome;
        record_outcome(server, request, attempt, told, latency, now);
        if (over) {
            request.open = false;
            stop_waiting(request);
        }
        if (server.is_origin) on_origin_finished(request, told, latency, now);
        if (!request.open || request.streaming) return;
        if (outcome == Outcome::miss && !server.is_origin) {
            if (request.missed_at < 0) request.missed_at = at;
            route_to_origin(request, now);
        } else if (request.in_flight == 0 && request.waiting_for == WaitReason::none) {
            retry(request, now, server, outcome);
        }
    }
    void on_stream_started(double, int request_id, int) override { request_at(request_id).streaming = true; }
    void on_client_closed(double, int request_id) override {
        PendingRequest& request = request_at(request_id);
        if (!request.open) return;
        request.open = false;
        stop_waiting(request);
        cancel_other_attempts(request);
    }
    void on_health_check(double, int, Outcome, double) override {}
    void on_timer(double now, std::uint64_t encoded) override {
        const TimerToken token = TimerToken::decode(encoded);
        if (token.kind == TimerToken::Kind::poll) return host_.poll_endpoints();
        if (token.kind == TimerToken::Kind::origin_backoff) return drain_origin_queue(now);
        if (token.kind != TimerToken::Kind::request_expiry || token.request >= requests_.size()) return;
        PendingRequest& request = requests_[token.request];
        if (!request.open || request.waiting_for == WaitReason::none) return;
        if (!token.is_of_generation(request.generation)) return;
        stop_waiting(request);
        reject_or_fail(request);
    }

  private:
    struct MachineKind {
        SlidingWindow slow_responses{kLongWindow};
        double share = 1;
        double size = 0;  // largest weight listed for a server of this kind; 0: none listed
    };
    struct Zone {
        SlidingWindow lost{kLongWindow};  // 1: an attempt lost its connection; 0: it had a response
        int run = 0;                      // lost connections since the last response
        double keep = 0;                  // idle timeout when the current run of losses began, s
        double part = 1;                  // share of its keys sent there, set by the fleet; 0: drained
        OutlierEjection ejection;
    };
    // Sums over the servers that are not in slow start: one entry per zone and a last one for all zones.
    struct WarmResponses {
        bool is_current = false;
        double at = 0;
        std::vector<double> answers, points;
    };
    struct TenantQuota {
        double quota = 0;
        double part = 0;  // share of the quota that the fleet leaves to this node
        double tokens = 0;
        double filled = 0;
        SlidingWindow arrivals{kRateWindow};
    };
    // Converts indices, which the host passes as int, to the unsigned index type of containers.
    template <typename Items>
    static auto& item(Items& items, int index) {
        return items[static_cast<std::size_t>(index)];
    }
    Server& server_at(int id) { return item(servers_, id); }
    const Server& server_at(int id) const { return item(servers_, id); }
    Zone& zone_at(int zone) { return item(zones_, zone); }
    const Zone& zone_at(int zone) const { return item(zones_, zone); }
    MachineKind& kind_at(int kind) { return item(kinds_, kind); }
    const MachineKind& kind_at(int kind) const { return item(kinds_, kind); }
    PendingRequest& request_at(int id) { return item(requests_, id); }
    void apply_configuration(const Deployment& deployment) {
        warm_responses_.is_current = false;
        deployment_ = deployment;
        shared_deployment_ = std::make_shared<const Deployment>(deployment);
        const auto zones = static_cast<std::size_t>(std::max(1, deployment.zone_count));
        zones_.assign(zones + 1, {});
        tenants_.assign(deployment.tenants.size(), {});
        for (std::size_t t = 0; t < tenants_.size(); ++t) tenants_[t].quota = deployment.tenants[t].quota;
        max_retry_tokens_ = std::clamp(kMaxFleetRetryTokens / std::max(1, deployment.node_count),
                                       kMinRetryTokens, kMaxNodeRetryTokens);
        retry_tokens_ = std::min(retry_tokens_, max_retry_tokens_);
        origin_latency_target_ = 1;
        for (const Operation& op : deployment.operations)
            origin_latency_target_ =
                std::min(origin_latency_target_, kOriginLatencyShare * op.latency_objective);
    }
    double poll_spread() const {
        return std::min(kPollSpacing * deployment_.node_count, deployment_.poll_interval / 2);
    }
    const Operation& operation(const PendingRequest& request) const {
        return request.deployment->operations[static_cast<std::size_t>(request.info.operation)];
    }
    double random_unit() { return static_cast<double>(random_()) / 16777216.0; }

    // ---- the ring -------------------------------------------------------------------------------------
    // Weights have no unit, and load may lower a listed weight, so the weight of a kind is the largest one
    // listed for it. The reference weight is set by the first list and is a power of two, so that nodes with
    // lists of different ages agree on it.
    double compute_reference_weight() const {
        double sum = 0, caches = 0;
        for (const Server& server : servers_) {
            if (server.is_origin || server.state == EndpointState::removed) continue;
            sum += kind_at(server.kind).size;
            ++caches;
        }
        return sum > 0 ? std::exp2(std::floor(std::log2(sum / caches))) : 0;
    }
    int point_count(const Server& server) const {
        const double size = kind_at(server.kind).size;
        if (reference_weight_ == 0 || size == 0) return static_cast<int>(kPointsPerServer);
        return static_cast<int>(
            std::clamp(kPointsPerServer * size / reference_weight_, kMinPoints, kMaxPoints));
    }
    // Creates an empty ring for each zone. The last entry stands for all zones and holds no points of its
    // own: RingWalk merges the zones' rings.
    void clear_rings() {
        rings_.assign(zones_.size(), {});
        ring_servers_.assign(zones_.size(), 0);
        ring_in_flight_.assign(zones_.size(), 0);
        for (Server& server : servers_) {
            server.ring = -1;
            server.points = 0;
        }
    }
    // Applies one entry of the endpoint list to the server table. update_rings() applies it to the rings.
    void take_over(const Endpoint& e) {
        if (e.server >= static_cast<int>(servers_.size()))
            servers_.resize(static_cast<std::size_t>(e.server) + 1);
        Server& server = server_at(e.server);
        const double start = e.started_at > 0 ? e.started_at : -1e9;
        const std::uint64_t hash = hash_text(e.name, kRingSeed);
        if (server.hash != hash) take_off_ring(e.server);  // the old hash locates its points
        if (start > server.started_at + 0.001 || server.hash != hash) {
            // The server restarted, or its id now names another server: what was learned no longer applies.
            Server fresh;
            fresh.in_flight = server.in_flight;
            fresh.ring = server.ring;
            fresh.points = server.points;
            fresh.started_at = start;
            server = fresh;
        }
        server.slow_start_attempts.set_length(deployment_.overload_window);
        server.hash = hash;
        server.zone = std::clamp(e.zone, 0, all_zones_ring() - 1);
        server.cell = e.cell;
        server.kind = std::clamp(e.kind, 0, kMaxKinds - 1);
        if (server.kind >= static_cast<int>(kinds_.size()))
            kinds_.resize(static_cast<std::size_t>(server.kind) + 1);
        server.is_origin = deployment_.origin_kind >= 0 && e.kind == deployment_.origin_kind;
        server.state = e.state;
        MachineKind& k = kind_at(server.kind);
        if (deployment_.endpoint_weights != EndpointWeights::absent && e.weight > k.size) {
            k.size = e.weight;
            sizes_changed_ = true;
        }
        server.listed_weight = e.weight;
        server.visit_mark = update_generation_;
    }
    static int wanted_ring(const Server& server) {
        return server.state == EndpointState::ready && !server.is_origin ? server.zone : -1;
    }
    static RingPoint ring_point(const Server& server, int server_id, int number) {
        return {ring_position(server.hash + static_cast<std::uint64_t>(number)), server_id};
    }
    void take_off_ring(int server_id) {
        Server& server = server_at(server_id);
        if (server.ring < 0) return;
        HashRing& ring = rings_[static_cast<std::size_t>(server.ring)];
        for (int p = 0; p < server.points; ++p)
            work_.ring_points += ring.erase(ring_point(server, server_id, p));
        --ring_servers_[static_cast<std::size_t>(server.ring)];
        --ring_servers_.back();
        count_in_flight(server, -server.in_flight);
        server.ring = -1;
    }
    // Moves the points of servers to the rings of their zones. Only servers that joined, left or changed
    // weight are touched, because requests wait during the update.
    void update_rings(const std::vector<int>& changed) {
        std::vector<HashRing::Points> added(rings_.size() - 1);
        bool origin_changed = false;
        const auto place = [&](int server_id) {
            Server& server = server_at(server_id);
            const int points = point_count(server);
            const int wanted = wanted_ring(server);
            origin_changed = origin_changed || server.is_origin || server_id == origin_server_;
            if (wanted == server.ring && points == server.points) return;
            take_off_ring(server_id);
            server.ring = wanted;
            server.points = points;
            if (wanted < 0) return;
            HashRing::Points& of_ring = added[static_cast<std::size_t>(wanted)];
            for (int p = 0; p < points; ++p) of_ring.push_back(ring_point(server, server_id, p));
            ++ring_servers_[static_cast<std::size_t>(wanted)];
            ++ring_servers_.back();
            count_in_flight(server, server.in_flight);
        };
        // A new largest weight changes the number of points of all servers of its kind.
        if (std::exchange(sizes_changed_, false)) {
            work_.servers += servers_.size();
            for (std::size_t i = 0; i < servers_.size(); ++i) place(static_cast<int>(i));
        } else {
            for (const int server_id : changed) place(server_id);
        }
        for (std::size_t z = 0; z < added.size(); ++z)
            work_.ring_points += rings_[z].insert(added[z], PointOrder{servers_});
        if (origin_changed) find_origin();
    }
    void find_origin() {
        origin_server_ = -1;
        work_.servers += servers_.size();
        for (std::size_t i = 0; i < servers_.size(); ++i) {
            const Server& server = servers_[i];
            if (server.is_origin && server.state == EndpointState::ready &&
                (origin_server_ < 0 || server.hash < hash_of(origin_server_)))
                origin_server_ = static_cast<int>(i);
        }
    }
    void count_in_flight(const Server& server, int by) {
        if (server.ring < 0) return;
        ring_in_flight_[static_cast<std::size_t>(server.ring)] += by;
        ring_in_flight_.back() += by;
    }
    // Orders points by position, and points at the same position by the hashes of their servers.
    struct PointOrder {
        const std::vector<Server>& servers;
        bool operator()(const RingPoint& a, const RingPoint& b) const {
            return a.position != b.position ? a.position < b.position
                                            : servers[static_cast<std::size_t>(a.server)].hash <
                                                  servers[static_cast<std::size_t>(b.server)].hash;
        }
    };
    static std::uint32_t ring_position(std::uint64_t x) { return static_cast<std::uint32_t>(mix(x) >> 32); }
    std::uint64_t hash_of(int server_id) const { return server_at(server_id).hash; }
    // Returns the first eligible server clockwise from the key's position, -1 if there is none, or
    // kAllOverloaded. NOLINTNEXTLINE(readability-function-cognitive-complexity): see ROADMAP
    int pick_on_ring(const PendingRequest& request, int zone, double now, bool last_resort) {
        const bool all_zones = zone == all_zones_ring();
        const HashRing* const first = all_zones ? rings_.data() : &rings_[static_cast<std::size_t>(zone)];
        const std::size_t count = all_zones ? rings_.size() - 1 : 1;
        const std::size_t points =
            std::accumulate(first, first + count, std::size_t{0},
                            [](std::size_t sum, const HashRing& ring) { return sum + ring.size(); });
        if (points == 0) return -1;
        const int members = ring_servers_[static_cast<std::size_t>(zone)];
        const double a_point = ring_in_flight_[static_cast<std::size_t>(zone)] / static_cast<double>(points);
        RingWalk walk(first, count,
                      ring_position((request.info.key ^ kRingSeed) + hot_key_replica(request, members)));
        ++walk_mark_;
        int passed = -1, full = 0, seen = 0;
        bool declined = false;
        while (seen < members) {
            const int candidate = walk.next(PointOrder{servers_});
            if (candidate < 0) break;
            ++work_.ring_points;
            Server& server = server_at(candidate);
            if (server.visit_mark == walk_mark_) continue;
            server.visit_mark = walk_mark_;
            ++seen;
            if (!may_attempt(request, candidate, now) || (!last_resort && was_tried(request, candidate)))
                continue;
            const double part = last_resort ? 1 : zone_at(server.zone).part;
            if (part > 0 && part < 1 && unit_interval(mix(request.info.key * 7 ^ kRingSeed)) >= part)
                continue;
            // Keys that an overloaded server declines would exceed the even share of a cold server next to
            // it.
            if (declined && slow_start_ratio(server, now) < 1) continue;
            if (!admits_while_cold(server, request, zone, now) || !host_.admit_slow_start(candidate))
                continue;
            if (!last_resort && !within_traffic_share(server, request)) {
                declined = true;
                continue;
            }
            OutlierEjection* ejection = active_ejection(server, now);
            if (!last_resort && ejection != nullptr && !take_probe(*ejection, request, now)) continue;
            if (!server.limiter.has_capacity(server.in_flight, now)) {
                // Servers further along the ring do not hold the key: the attempt would miss and evict
                // entries that they do hold.
                if (++full > (slow_response_rate_ > kOverloadedRate ? 0 : kMaxSkippedServers))
                    return passed >= 0 ? passed : kAllOverloaded;
                continue;
            }
            if (last_resort) return candidate;
            if (server.in_flight > kLoadBoundFloor &&
                server.in_flight > kLoadBoundFactor * a_point * server.points) {
                if (passed < 0) passed = candidate;
                continue;
            }
            return candidate;
        }
        return passed;
    }
    // Exception: a key that receives more requests than a server's even share has several positions on the
    // ring, and each request draws one of them.
    std::uint64_t hot_key_replica(const PendingRequest& request, int members) {
        if (request.key_count < kHotKeyMinCount) return 0;
        const int parts =
            std::min(request.key_count * members / std::max(key_counter_.total(), kKeySampleSize), members);
        return parts > 1 ? random_() % static_cast<unsigned>(parts) : 0;
    }
    int all_zones_ring() const { return static_cast<int>(rings_.size()) - 1; }
    // Exception: while the local zone or the origin is overloaded, a share of the keys uses the ring of all
    // zones.
    bool spills_over(const PendingRequest& request) const {
        return unit_interval(mix(request.info.key ^ 0x5a5a)) < spillover_ratio_;
    }
    // Picks a server on the local zone's ring. Exception: if every server there is ejected, full, cold or
    // already tried, the next zone's ring is used.
    int pick_server(const PendingRequest& request, double now) {
        const int zones = all_zones_ring();
        for (bool last_resort : {false, true}) {
            if (spills_over(request)) {
                const int server = pick_on_ring(request, all_zones_ring(), now, last_resort);
                if (server != -1) return server;
            }
            for (int z = 0; z < zones; ++z) {
                const int server = pick_on_ring(request, (deployment_.zone + z) % zones, now, last_resort);
                if (server != -1) return server;
            }
        }
        return -1;
    }
    bool was_tried(const PendingRequest& request, int server_id) const {
        return std::any_of(request.attempts.begin(), request.attempts.end(),
                           [server_id](const Attempt& attempt) { return attempt.server == server_id; });
    }

    // ---- rule 2: whether another attempt is allowed, and whether the request may be rejected -------------
    bool may_attempt(const PendingRequest& request, int server_id, double now) const {
        const Operation& op = operation(request);
        const Server& to = server_at(server_id);
        if (to.state != EndpointState::ready) return false;
        if (static_cast<int>(request.attempts.size()) >= request.deployment->max_attempts) return false;
        if (request.in_flight > 0 && !deployment_.may_hedge) return false;
        if (op.idempotency == Idempotency::idempotent) return true;
        for (const Attempt& attempt : request.attempts) {
            if (attempt.state == AttemptState::never_ran) continue;
            if (op.idempotency == Idempotency::none) return false;
            const Server& from = server_at(attempt.server);
            if (op.deduplication_scope == DeduplicationScope::zone && from.zone != to.zone) return false;
            if (op.deduplication_scope == DeduplicationScope::cell &&
                (from.cell != to.cell || from.zone != to.zone))
                return false;
            // The server checks the window when the retry arrives, which may be a connect timeout and a tick
            // later.
            if (now + deployment_.connect_timeout + deployment_.tick_interval >=
                attempt.sent_at + op.deduplication_window)
                return false;
        }
        return true;
    }
    bool may_reject(const PendingRequest& request) const {
        const Operation& op = operation(request);
        if (op.idempotency == Idempotency::idempotent) return true;
        const bool has_key = op.idempotency == Idempotency::idempotency_key;
        if (has_key && op.deduplication_scope == DeduplicationScope::all) return true;
        return std::all_of(request.attempts.begin(), request.attempts.end(),
                           [](const Attempt& attempt) { return attempt.state == AttemptState::never_ran; });
    }

    // ---- slow start --------------------------------------------------------------------------------------
    double slow_start_ratio(const Server& server, double now) const {
        if (deployment_.slow_start_duration <= 0) return 1;
        const double age = std::max(0.0, now - server.started_at);
        if (age >= deployment_.slow_start_duration) return 1;
        return kSlowStartSafety *
               (deployment_.cold_capacity_ratio +
                (1 - deployment_.cold_capacity_ratio) * age / deployment_.slow_start_duration);
    }
    // Admits a share of the keys that grows as the server warms up and is the same at every node, within this
    // node's share of the slow-start budget (rule 4).
    bool admits_while_cold(Server& server, const PendingRequest& request, int zone, double now) {
        double warm = slow_start_ratio(server, now);
        if (warm >= 1) return true;
        // In a zone with few servers left, the first ones to return cold would otherwise receive all of its
        // traffic.
        const int zones = zone == all_zones_ring() ? 1 : all_zones_ring();
        warm *=
            std::min(1.0, 1.0 * zones * ring_servers_[static_cast<std::size_t>(zone)] / ring_servers_.back());
        return unit_interval(mix(request.info.key * 3 ^ server.hash)) < warm &&
               has_slow_start_budget(server, warm, now);
    }
    bool has_slow_start_budget(Server& server, double warm, double now) {
        if (warm >= 1) return true;
        // Capacity is estimated from the responses of warm servers and not from the attempts sent to them: an
        // overloaded fleet rejects most attempts.
        const double part =
            deployment_.overload_multiple * warm * server.points * responses_per_warm_point(server.zone, now);
        // With many nodes each share is below one attempt, and one attempt per node would be too many. Each
        // node therefore rounds its share up or down at random for each overload window, so that the expected
        // sum equals the sum of the shares.
        const std::uint64_t own = mix(node_seed_ ^ server.hash);
        const double span = std::max(deployment_.overload_window, 0.1);
        const auto window = static_cast<std::uint64_t>(now / span + unit_interval(own));
        const double least = kMinSlowStartAttempts / std::max(1, deployment_.node_count);
        const double most = std::max({kSlowStartBudgetShare * part, std::min(part, 1.0), least});
        return server.slow_start_attempts.count(now) < std::floor(most + unit_interval(mix(own + window)));
    }
    // Estimates this node's part of a server's capacity: the responses that this node receives in one
    // overload window per ring point of the zone's warm servers, or of all warm servers if the zone has none.
    // Servers without a recent response count too.
    double responses_per_warm_point(int zone, double now) {
        if (!warm_responses_.is_current || warm_responses_.at != now) count_warm_responses(now);
        const double in_zone = item(warm_responses_.points, zone);
        const double answers =
            in_zone > 0 ? item(warm_responses_.answers, zone) : warm_responses_.answers.back();
        const double points = in_zone > 0 ? in_zone : warm_responses_.points.back();
        return points == 0 ? 0 : deployment_.overload_window * answers / points / kRateWindow;
    }
    // Computes the sums over warm servers. They are kept while `now` stays the same, because a request that
    // passes many cold servers needs them at each.
    void count_warm_responses(double now) {
        work_.servers += servers_.size();
        warm_responses_.is_current = true;
        warm_responses_.at = now;
        warm_responses_.answers.assign(rings_.size(), 0);
        warm_responses_.points.assign(rings_.size(), 0);
        for (Server& server : servers_) {
            if (server.is_origin || server.state != EndpointState::ready || slow_start_ratio(server, now) < 1)
                continue;
            const int answers = server.latencies.count(now);
            item(warm_responses_.answers, server.zone) += answers;
            item(warm_responses_.points, server.zone) += server.points;
            warm_responses_.answers.back() += answers;
            warm_responses_.points.back() += server.points;
        }
    }
    // Exception: machines of a slower kind receive a smaller share of their keys, because speeds are not
    // reported and listed weights may mislead. Nodes with the same share choose the same keys. Requests for a
    // hot key are chosen at random, since it alone may exceed a server's capacity; where there are too many
    // servers for key counts to detect hot keys, all requests are.
    bool within_traffic_share(const Server& server, const PendingRequest& request) {
        if (server.share < 1 && random_unit() >= server.share) return false;
        const double share = kind_at(server.kind).share;
        const bool seen = kHotKeyMinCount * ring_servers_.back() <= kKeySampleSize * all_zones_ring();
        return share >= 1 || (request.key_count > 1 || !seen
                                  ? random_unit()
                                  : unit_interval(mix(request.info.key * 5 ^ server.hash))) < share;
    }
    double reported_load(const Server& server) const {
        return server.listed_weight > 0 ? kind_at(server.kind).size / server.listed_weight - 1 : 0;
    }
    // Adjusts traffic shares, admission and spillover to the load in load-adjusted weights. These reach all
    // nodes alike, although late, and show what a single node has too little traffic to observe.
    void apply_reported_load() {
        std::vector<double> sums(rings_.size()), sizes(rings_.size());
        for (const Server& server : servers_) {
            if (server.ring < 0) continue;
            for (std::size_t z : {static_cast<std::size_t>(server.ring), rings_.size() - 1}) {
                sums[z] += reported_load(server) * server.points;
                sizes[z] += server.points;
            }
        }
        for (Server& server : servers_) {
            if (server.ring < 0) continue;
            const auto z = static_cast<std::size_t>(server.ring);
            const double h = reported_load(server);
            if (h > kCrowdedLoad && h > kCrowdedFactor * sums[z] / sizes[z])
                server.share = std::max(kMinCrowdedShare, server.share * kCrowdedDecrease);
            else if (h < kCrowdedLoad / 2)
                server.share = std::min(1.0, server.share + kCrowdedIncrease);
        }
        const auto own = static_cast<std::size_t>(deployment_.zone);
        if (sizes[own] <= 0) return;
        const double mean = sums[own] / sizes[own];
        const bool alone = sizes.back() <= sizes[own];
        const double rest = alone ? mean : (sums.back() - sums[own]) / (sizes.back() - sizes[own]);
        const double reached = mean * (1 - spillover_ratio_) + sums.back() / sizes.back() * spillover_ratio_;
        if (reached > kAdmissionLoad)
            admission_ratio_ = std::max(admission_ratio_ * kAdmissionDecrease, kMinAdmission);
        else if (reached < 0.75 * kAdmissionLoad)
            admission_ratio_ = std::min(admission_ratio_ + kAdmissionIncrease, 1.0);
        const double least = kCrowdedLoad / 2;
        load_imbalance_ =
            (mean > std::max(least, kCrowdedFactor * rest)) - (rest > std::max(least, kCrowdedFactor * mean));
        if (load_imbalance_ * last_imbalance_ < 0)
            spillover_step_ = std::max(spillover_step_ / 2, kMinSpilloverStep);
        if (load_imbalance_ != 0) last_imbalance_ = load_imbalance_;
    }
    void adjust_kind_shares(double now) {
        double least = 1;
        for (MachineKind& k : kinds_) {
            if (k.slow_responses.count(now) >= kMinSamples / 2)
                least = std::min(least, k.slow_responses.mean(now));
        }
        for (MachineKind& k : kinds_) {
            const bool over = k.slow_responses.count(now) >= kMinSamples / 2 &&
                              k.slow_responses.mean(now) > least + kKindSlowMargin;
            k.share =
                std::clamp(k.share + (over ? -kKindShareDecrease : kKindShareIncrease), kMinKindShare, 1.0);
        }
    }

    // ---- health --------------------------------------------------------------------------------------
    OutlierEjection* active_ejection(Server& server, double now) {
        const double silent =
            server.in_flight >= 2 && server.unanswered_since > 0 ? now - server.unanswered_since : 0;
        if (!server.ejection.ejected && silent > std::max(kSilenceTimeout, 3 * server.latencies.mean(now)))
            eject(server, now);
        OutlierEjection& of_zone = zone_at(server.zone).ejection;
        return of_zone.ejected ? &of_zone : server.ejection.ejected ? &server.ejection : nullptr;
    }
    void eject(Server& server, double now) {
        if (!server.ejection.ejected)
            cancel_stalled_attempts(static_cast<int>(&server - servers_.data()), now);
        server.ejection.eject(random_unit(), now);
    }
    // Detects a lost or partitioned zone. A node with little traffic then loses one connection at each of
    // many servers, and no server is ejected by itself. The zone is ejected after as many consecutive losses
    // as chance rarely causes at the loss rate of the best zone. Where connection tables are full, that rate
    // is high and so is the required number. A zone that alone has full tables is ejected for one probe
    // interval.
    void record_zone_outcome(const Server& server, const Attempt& attempt, Outcome outcome, double now) {
        Zone& z = zone_at(server.zone);
        if (outcome == Outcome::refused || outcome == Outcome::reset) {
            z.lost.add(now, 1);
            if (++z.run == 1) z.keep = idle_timeout_;
            double least = 1;
            for (Zone& other : zones_) {
                if (other.lost.count(now) >= kZoneFailures) least = std::min(least, other.lost.mean(now));
            }
            const bool chance = z.run < kZoneFailures || std::pow(least, z.run) > kZoneFalsePositiveRate;
            if (all_zones_ring() < 2 || (z.ejection.ejected ? attempt.sent_at < z.ejection.since : chance))
                return;
            if (!z.ejection.ejected)
                idle_timeout_ = std::max(idle_timeout_, z.keep);  // its tables were not full
            z.ejection.eject(random_unit(), now);
        } else if (outcome != Outcome::timed_out && outcome != Outcome::cancelled &&
                   outcome != Outcome::not_sent) {
            z.lost.add(now, 0);
            z.run = 0;
            z.ejection.ejected = z.ejection.apart > 0;  // only the fleet ends a drain of its own
        }
    }
    // Exception: a refused or reset connection in an ejected zone does not indicate load.
    bool is_lost_with_zone(const Server& server, Outcome outcome) const {
        return (outcome == Outcome::refused || outcome == Outcome::reset) && !server.is_origin &&
               zone_at(server.zone).ejection.ejected;
    }
    // Ends an ejection. A server that was silent for long may have restarted and counts as cold unless the
    // list says otherwise.
    void reinstate(Server& server, double now) {
        warm_responses_.is_current = false;
        if (now - server.ejection.since > kRestartSilence)
            server.started_at = std::max(server.started_at, now);
        server.ejection.ejected = false;
    }
    // Cancels attempts at a silent server, so that their requests are retried elsewhere and do not wait for
    // the timeout.
    void cancel_stalled_attempts(int server_id, double now, double out_for = kSilenceTimeout) {
        if (!deployment_.may_cancel) return;
        for (PendingRequest& request : requests_) {
            if (!request.open || request.streaming || request.in_flight != 1) continue;
            const Attempt& last = request.attempts.back();
            if (last.server != server_id || now - last.sent_at < out_for) continue;
            if (operation(request).idempotency != Idempotency::idempotent) continue;
            host_.cancel_attempt(request.info.id, static_cast<int>(request.attempts.size()) - 1);
        }
    }
    // Returns whether the request is sent as a probe of an ejected server. Only first attempts of idempotent
    // requests are, once per probe interval.
    bool take_probe(OutlierEjection& d, const PendingRequest& request, double now) {
        const bool may_repeat = operation(request).idempotency == Idempotency::idempotent;
        if (now < d.next_probe || !may_repeat || !request.attempts.empty()) return false;
        d.next_probe = now + (d.apart > 0 ? d.apart : d.probe_interval);
        return true;
    }
    // Exception: one attempt that is lost with its connection while others receive fast responses does not
    // indicate load or failure.
    bool is_isolated_loss(Server& server, Outcome outcome, double now) {
        if (outcome != Outcome::timed_out && outcome != Outcome::reset) return false;
        return now - server.last_response_at < kSilenceTimeout &&
               server.latencies.mean(now) < kSilenceTimeout;
    }
    // NOLINTNEXTLINE(readability-function-cognitive-complexity): see ROADMAP
    void record_outcome(Server& server, const PendingRequest& request, const Attempt& attempt,
                        Outcome outcome, double latency, double now) {
        const Operation& op = operation(request);
        if (!server.is_origin) record_zone_outcome(server, attempt, outcome, now);
        const bool with_zone = is_lost_with_zone(server, outcome);
        if (!server.is_origin && !with_zone) {
            const bool slow = outcome == Outcome::busy || outcome == Outcome::timed_out ||
                              outcome == Outcome::refused ||
                              latency > kSlowResponseRatio * op.latency_objective;
            recent_outcomes_.add(now, slow);
            longer_outcomes_.add(now, slow);
            late_outcomes_.add(now, outcome == Outcome::timed_out || latency > op.latency_objective);
            kind_at(server.kind).slow_responses.add(now, slow);
        }
        switch (outcome) {
            case Outcome::succeeded:
            case Outcome::miss:
                server.consecutive_failures = 0;
                server.unanswered_since = server.in_flight > 0 ? now : 0;
                server.last_response_at = now;
                server.latencies.add(now, latency);
                if (server.is_origin) return;
                if (latency > kSlowResponseRatio * op.latency_objective) {
                    // With many nodes, one attempt from each may be too much, so the node backs off for as
                    // long as the response took.
                    decrease_limit(server, kSlowDecrease, latency, latency, now);
                } else {
                    server.limiter.increase(server.in_flight);
                }
                if (server.ejection.ejected &&
                    (server.ejection.apart == 0 || latency <= kSlowResponseRatio * op.latency_objective)) {
                    reinstate(server, now);
                    server.latencies.clear();
                }
                server.ejection.since = now;  // silence is counted from its last response
                break;
            case Outcome::busy:
                server.consecutive_failures = 0;
                server.unanswered_since = server.in_flight > 0 ? now : 0;
                if (!server.is_origin) decrease_limit(server, kFailureDecrease, kMinBackoff, 0, now);
                break;
            case Outcome::failed:
                server.unanswered_since = server.in_flight > 0 ? now : 0;
                break;
            case Outcome::timed_out:
            case Outcome::refused:
            case Outcome::reset:
                // A connection to a silent machine fails after the whole connect timeout; a full connection
                // table refuses at once.
                if (!with_zone && outcome == Outcome::refused &&
                    latency < kFastRefusalRatio * deployment_.connect_timeout)
                    idle_timeout_ = std::max(idle_timeout_ / 2, kMinIdleTimeout);
                if (attempt.sent_at < server.unanswered_since) server.unanswered_since = attempt.sent_at;
                if (server.is_origin) return;
                decrease_limit(server, kFailureDecrease, kMinBackoff, 0, now);
                if (++server.consecutive_failures >= kEjectionFailures) eject(server, now);
                break;
            default:
                break;
        }
        if (server.in_flight == 0) server.unanswered_since = 0;
    }
    void decrease_limit(Server& server, double to, double apart, double backoff, double now) {
        if (server.limiter.limit <= kMinLimit) {
            server.limiter.backoff = std::max(server.limiter.backoff, backoff);
            server.limiter.back_off(random_unit(), kMaxServerBackoff, now);
        }
        server.limiter.decrease(to, apart, server.in_flight, now);
    }

    // ---- attempts --------------------------------------------------------------------------------------
    void start_attempt(PendingRequest& request, int server_id, double limit, double now) {
        Server& server = server_at(server_id);
        request.attempts.push_back({server_id, now, AttemptState::in_flight});
        ++request.in_flight;
        ++server.in_flight;
        count_in_flight(server, 1);
        server.may_have_connections = true;
        if (server.unanswered_since == 0) server.unanswered_since = now;
        if (!server.is_origin) server.slow_start_attempts.add(now, 1);
        host_.start_attempt(request.info.id, server_id, limit);
    }
    void route_to_cache(PendingRequest& request, double now) {
        const int server_id = pick_server(request, now);
        if (server_id < 0) {
            const bool straight = !request.info.is_write && origin_server_ >= 0 && ring_servers_.back() == 0;
            return straight ? route_to_origin(request, now) : reject_or_fail(request);
        }
        start_attempt(request, server_id, request.useful_until - now, now);
    }
    // Retries after a failed attempt if rule 2, the remaining time and the retry budget allow it. Under
    // overload no other cache server is tried, since all are full and each try costs a handshake. The origin
    // is not tried again after this node itself declined to send because its share of the fleet's limit is
    // used up.
    void retry(PendingRequest& request, double now, const Server& from, Outcome outcome) {
        // An attempt refused in an ejected zone caused no work, so its retry needs no token while another
        // zone is healthy.
        const auto stands = [](const Zone& z) { return !z.ejection.ejected; };
        const bool free = outcome == Outcome::refused && is_lost_with_zone(from, outcome) &&
                          std::any_of(zones_.begin(), zones_.end() - 1, stands);
        const bool may =
            from.is_origin ? outcome != Outcome::not_sent : slow_response_rate_ <= kOverloadedRate;
        const bool in_time = request.useful_until - now > 2 * deployment_.tick_interval;
        if (in_time && (free || (retry_tokens_ >= 1 && may))) {
            if (!free) retry_tokens_ -= 1;
            return from.is_origin ? route_to_origin(request, now) : route_to_cache(request, now);
        }
        reject_or_fail(request);
    }
    // Gives up a request with an immediate final answer: rejected if rule 2 allows it, failed otherwise.
    void reject_or_fail(PendingRequest& request) {
        request.open = false;
        stop_waiting(request);
        if (may_reject(request)) {
            const double wait = 0.2 + std::max(shedding_ratio_, 1 - admission_ratio_) * (0.5 + random_unit());
            const double advice = std::min(deployment_.max_retry_after, wait);
            host_.reject(request.info.id, deployment_.max_retry_after > 0 ? advice : 0);
        } else {
            host_.fail(request.info.id);
        }
        cancel_other_attempts(request);
    }
    // Cancels attempts whose responses are no longer needed, except fetches from the origin: their responses
    // still fill the cache for the requests that wait.
    void cancel_other_attempts(PendingRequest& request) {
        if (!deployment_.may_cancel || request.streaming) return;
        for (std::size_t i = 0; i < request.attempts.size(); ++i) {
            const Attempt& attempt = request.attempts[i];
            if (attempt.state == AttemptState::in_flight && !server_at(attempt.server).is_origin)
                host_.cancel_attempt(request.info.id, static_cast<int>(i));
        }
    }

    // ---- the origin ------------------------------------------------------------------------------------
    void route_to_origin(PendingRequest& request, double now) {
        const int at = origin_server_;
        if (at < 0 || !may_attempt(request, at, now)) {
            if (request.in_flight == 0) reject_or_fail(request);
            return;
        }
        if (!request.info.is_write && request.info.has_key) {
            // Only one fetch per key is in flight: a popular key that is new or invalidated would otherwise
            // cost one fetch per request.
            const auto fetch = fetch_waiters_.find(request.info.key);
            if (fetch != fetch_waiters_.end()) {
                fetch->second.push_back(request.info.id);
                wait_for(request, WaitReason::fetch, now);
                return;
            }
        }
        if (origin_limiter_.has_capacity(origin_in_flight_, now)) {
            start_fetch(request, at, now);
        } else if (expected_origin_wait(now) < request.useful_until - now) {
            origin_queue_.push_back(request.info.id);
            wait_for(request, WaitReason::queue, now);
        } else {
            reject_or_fail(request);
        }
    }
    // Estimates how long a new request would take to wait for and fetch from the origin. A request that
    // cannot finish in time is rejected at once.
    double expected_origin_wait(double now) const {
        const double latency = std::max(origin_latency_, 0.01);
        const double turns = static_cast<double>(origin_queue_.size() + 1) / origin_limiter_.limit + 1;
        return std::max(0.0, origin_limiter_.backoff_until - now) + turns * latency;
    }
    void start_fetch(PendingRequest& request, int at, double now) {
        ++origin_in_flight_;
        if (!request.info.is_write && request.info.has_key) {
            fetch_waiters_[request.info.key];
            request.leads_fetch = true;
        }
        // A response that is too late to be of use to this client still fills the cache.
        start_attempt(request, at, request.deadline - now, now);
    }
    void wait_for(PendingRequest& request, WaitReason how, double now) {
        request.waiting_for = how;
        const TimerToken expiry{TimerToken::Kind::request_expiry, request.generation,
                                static_cast<std::uint32_t>(request.info.id)};
        host_.set_timer(std::max(request.useful_until - now - 2 * deployment_.tick_interval, 0.0),
                        expiry.encode());
    }
    void stop_waiting(PendingRequest& request) {
        if (request.waiting_for == WaitReason::queue) std::erase(origin_queue_, request.info.id);
        if (request.waiting_for == WaitReason::fetch) {
            const auto fetch = fetch_waiters_.find(request.info.key);
            if (fetch != fetch_waiters_.end()) std::erase(fetch->second, request.info.id);
        }
        request.waiting_for = WaitReason::none;
    }
    void on_origin_finished(PendingRequest& request, Outcome outcome, double latency, double now) {
        --origin_in_flight_;
        adjust_origin_limit(outcome, latency, now);
        std::vector<int> waiting;
        if (request.leads_fetch) {
            request.leads_fetch = false;
            const auto fetch = fetch_waiters_.find(request.info.key);
            waiting.swap(fetch->second);
            fetch_waiters_.erase(fetch);
        }
        for (int request_id : waiting) {
            PendingRequest& w = request_at(request_id);
            w.waiting_for = WaitReason::none;
            Server& missed = server_at(std::max(request.missed_at, 0));
            if (outcome == Outcome::succeeded && request.missed_at >= 0 &&
                may_attempt(w, request.missed_at, now) &&
                has_slow_start_budget(missed, slow_start_ratio(missed, now), now)) {
                start_attempt(w, request.missed_at, w.useful_until - now,
                              now);  // that server now holds the value
            } else {
                route_to_origin(w, now);
            }
        }
        drain_origin_queue(now);
    }
    double remaining_value(const PendingRequest& request, double now) const {
        const Operation& op = operation(request);
        const bool late = now + origin_latency_ > request.objective_deadline;
        return op.priority_weight * (late ? op.late_value_ratio : 1) *
               (request.over_quota ? deployment_.over_quota_value_ratio : 1);
    }
    void drain_origin_queue(double now) {
        while (origin_limiter_.has_capacity(origin_in_flight_, now) && !origin_queue_.empty()) {
            // The request with the highest value goes first; among equals, the one with the least time left.
            const auto next =
                std::min_element(origin_queue_.begin(), origin_queue_.end(), [this, now](int a, int b) {
                    const PendingRequest& x = request_at(a);
                    const PendingRequest& y = request_at(b);
                    const double vx = remaining_value(x, now);
                    const double vy = remaining_value(y, now);
                    return vx != vy ? vx > vy : x.useful_until < y.useful_until;
                });
            PendingRequest& w = request_at(*next);
            origin_queue_.erase(next);
            w.waiting_for = WaitReason::none;
            route_to_origin(w, now);
        }
    }
    void adjust_origin_limit(Outcome outcome, double latency, double now) {
        if (outcome == Outcome::succeeded) {
            origin_latency_ =
                origin_latency_ == 0 ? latency : origin_latency_ + (latency - origin_latency_) / 8;
            if (origin_latency_ > origin_latency_target_)
                origin_limiter_.decrease(kSlowDecrease, std::max(origin_latency_, 0.05), origin_in_flight_,
                                         now);
            else
                origin_limiter_.increase(origin_in_flight_);
        } else if (outcome != Outcome::cancelled && outcome != Outcome::not_sent &&
                   outcome != Outcome::failed) {
            origin_limiter_.decrease(kFailureDecrease, std::max(origin_latency_, 0.05), origin_in_flight_,
                                     now);
            if (origin_limiter_.back_off(random_unit(), kMaxOriginBackoff, now))
                host_.set_timer(origin_limiter_.backoff_until - now,
                                TimerToken{TimerToken::Kind::origin_backoff}.encode());
        }
    }

    // ---- quotas, shedding and spillover --------------------------------------------------------------
    // Quotas apply to all nodes together, so each is scaled by this node's share of the traffic. The share is
    // estimated from the median tenant, which is rarely over its quota.
    bool is_over_quota(const PendingRequest& request, double now) {
        const int tenant = request.info.tenant;
        if (tenant < 0 || tenant >= static_cast<int>(tenants_.size()) || tenants_.size() < 2) return false;
        TenantQuota& s = item(tenants_, tenant);
        s.arrivals.add(now, 1);
        if (s.quota <= 0) return false;
        const double rate = s.quota * std::max(node_traffic_share_, s.part);
        s.tokens = std::min(s.tokens + (now - s.filled) * rate, std::max(rate, kQuotaBurst));
        s.filled = now;
        if (s.tokens < 1) return true;
        s.tokens -= 1;
        return false;
    }
    void adjust_limits(double now) {
        if (now - adjusted_at_ < kAdjustInterval) return;
        adjusted_at_ = now;
        expire_idle_connections(now);
        const bool live = deployment_.endpoint_weights == EndpointWeights::load_adjusted;
        if (!live) adjust_kind_shares(now);
        slow_response_rate_ = recent_outcomes_.mean(now);
        if (!live) {
            const bool wasted =
                late_outcomes_.count(now) >= kMinSamples && late_outcomes_.mean(now) > kMaxLateRate;
            admission_ratio_ = std::clamp(wasted ? admission_ratio_ * kLateAdmissionDecrease
                                                 : admission_ratio_ + kLateAdmissionIncrease,
                                          kMinAdmission, 1.0);
        }
        // With little traffic, the rate over one second depends on chance, and shedding by chance spares the
        // largest tenants.
        const double steady =
            recent_outcomes_.count(now) < kMinSamples ? longer_outcomes_.mean(now) : slow_response_rate_;
        const bool tight = slow_response_rate_ > kSpilloverThreshold || !origin_queue_.empty();
        const double step = live    ? load_imbalance_ * spillover_step_
                            : tight ? kSpilloverIncrease
                                    : -kSpilloverDecrease;
        spillover_ratio_ = std::clamp(spillover_ratio_ + step, 0.0, 1.0);
        shedding_ratio_ = std::clamp(
            shedding_ratio_ + (steady > kSheddingThreshold ? kSheddingStep : -kSheddingStep), 0.0, 1.0);
        std::vector<double> parts;
        for (TenantQuota& s : tenants_) {
            if (s.quota > 0) parts.push_back(s.arrivals.sum(now) / kRateWindow / s.quota);
        }
        node_traffic_share_ = 1.0 / std::max(1, deployment_.node_count);
        std::sort(parts.begin(), parts.end());
        if (!parts.empty())
            node_traffic_share_ = std::clamp(parts[parts.size() / 2], node_traffic_share_, 1.0);
    }
    // Closes connections that are idle for longer than the configured timeout, or for less after refusals,
    // since idle connections fill the servers' connection tables.
    void expire_idle_connections(double now) {
        const double most =
            deployment_.connection_idle_timeout > 0 ? deployment_.connection_idle_timeout : 1e9;
        idle_timeout_ = std::min(idle_timeout_ * kIdleTimeoutGrowth, most);
        for (Server& server : servers_) {
            if (!server.may_have_connections || server.in_flight > 0) continue;
            if (now - server.last_used_at < idle_timeout_) continue;
            server.may_have_connections = false;
            host_.close_idle_connections(static_cast<int>(&server - servers_.data()));
        }
    }
    Deployment deployment_;
    std::shared_ptr<const Deployment> shared_deployment_;
    Host& host_;
    std::ranlux24_base random_;
    std::uint64_t node_seed_;  // seeds random choices that have to differ between nodes
    std::vector<Server> servers_;
    BalancerWork work_;
    WarmResponses warm_responses_;
    bool sizes_changed_ = false;  // a kind's weight or the reference changed: any server's points may change
    std::vector<HashRing> rings_;
    std::vector<int> ring_servers_, ring_in_flight_;  // per ring: servers and attempts in flight
    double reference_weight_ = 0;  // set by the first list with weights; 0: no list had any
    int origin_server_ = -1;
    std::vector<PendingRequest> requests_;
    std::vector<MachineKind> kinds_;
    std::vector<Zone> zones_;
    std::vector<TenantQuota> tenants_;
    KeyCounter key_counter_{kKeySampleSize};
    SlidingWindow recent_outcomes_{1.0};
    SlidingWindow longer_outcomes_{kLongWindow};
    SlidingWindow late_outcomes_{1.0};  // 1: timed out or finished after the objective; 0: in time
    unsigned update_generation_ = 0;
    unsigned walk_mark_ = 1U << 31;
    int poll_failures_ = 0;
    double max_retry_tokens_ = 0;
    double retry_tokens_ = 0;
    double slow_response_rate_ = 0;  // at cache servers in the last second, as of the last adjustment
    double shedding_ratio_ = 0;
    double spillover_ratio_ = 0;
    double admission_ratio_ = 1;  // share of reads admitted, by reported load or by the rate of late attempts
    double spillover_step_ = kSpilloverStep;
    int last_imbalance_ = 0;  // the last load_imbalance_ that was not 0
    int load_imbalance_ = 0;  // 1: the list shows more load in the local zone than elsewhere; -1: less
    double adjusted_at_ = 0;
    double idle_timeout_ = 1e9;  // s until an idle connection is closed
    double node_traffic_share_ = 1;
    std::map<std::uint64_t, std::vector<int>> fetch_waiters_;  // requests that wait for the fetch, by key
    std::vector<int> origin_queue_;                            // requests that wait for the origin's limit
    ConcurrencyLimiter origin_limiter_;
    double origin_latency_ = 0;
    double origin_latency_target_ = 1;
    int origin_in_flight_ = 0;
};

}  // namespace

std::unique_ptr<Balancer> make_balancer(const Deployment& deployment, std::uint64_t seed, Host& host) {
    return std::make_unique<ConsistentHashBalancer>(deployment, seed, host);
}

}  // namespace brookrelay
