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
// Seconds without any response, with at least two attempts in flight, after which a server is ejected; three
// times its mean latency if that is longer. A server whose mean latency is below it responds fast.
constexpr double kSilenceTimeout = 0.3;
// Minimum number of consecutive lost connections in one zone that eject the whole zone. A zone's loss rate is
// used only if it covers at least this many outcomes.
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
constexpr double kOriginLatencyRatio = 0.5;

// ---- load shedding and quotas -----------------------------------------------------------------------------
// Seconds between two adjustments of the ratios and limits below.
constexpr double kAdjustInterval = 0.25;
// Change of the shedding ratio at each adjustment.
constexpr double kSheddingStep = 0.1;
// Rate of slow responses above which the shedding ratio rises.
constexpr double kSheddingThreshold = 0.15;
// Rate of slow responses above which all servers count as full: no full server is skipped, and a failed
// attempt is retried at another cache server only if it was refused in an ejected zone.
constexpr double kOverloadSlowRate = 0.55;
// Fraction of the latency objective above which a response counts as slow.
constexpr double kSlowResponseRatio = 0.35;
// Minimum bucket size of a tenant's quota at one node, in requests. A smaller bucket is emptied by chance.
constexpr double kQuotaBurst = 10;
// Minimum number of responses in one second that distinguish slowness from chance. With fewer, shedding uses
// the rate of slow ones over kLongWindow, and the rate of late ones counts as not exceeded. For a machine
// kind, half as many over kLongWindow are sufficient.
constexpr int kMinSamples = 16;
// Length, in seconds, of the window for rates that would have too few samples in one second: slow responses
// (of all servers and of a machine kind) and lost connections of a zone.
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
// Increase of a kind's traffic share at each adjustment. It is smaller than the decrease, so a slower kind
// loses traffic faster than it regains it. Steps of half this size, up and down, were less effective.
constexpr double kKindShareIncrease = 0.005;
// Lower bound of a kind's traffic share. A larger difference between machines is a fault, not a kind.
constexpr double kMinKindShare = 0.4;
// Number of machine kinds that are tracked separately. Further kinds share the last entry.
constexpr int kMaxKinds = 64;

// ---- load reported by the endpoint list -------------------------------------------------------------------
// Requests per core above which a server counts as overloaded, if it also exceeds kOverloadToZoneMeanRatio.
constexpr double kOverloadLoadPerCore = 2.0;
// Multiple of its zone's mean load that an overloaded server exceeds. Where all servers are full, none of
// them loses traffic.
constexpr double kOverloadToZoneMeanRatio = 1.5;
// Factor applied to an overloaded server's traffic share at each update of the list.
constexpr double kOverloadShareDecrease = 0.75;
// Increase of a server's traffic share at each update while its load is below half of kOverloadLoadPerCore.
// It is small so that load returns slowly.
constexpr double kOverloadShareIncrease = 0.1;
// Lower bound of an overloaded server's traffic share.
constexpr double kMinOverloadShare = 0.05;
// Load, in requests per core, above which fewer reads are admitted. The load is the mean of reported_load()
// over the servers, weighted by their points: of the local zone, and for the spillover fraction of all zones.
// More reads are admitted again below three quarters of it; in between the admission ratio stays.
constexpr double kAdmissionLoadPerCore = 5.0;
// Factor applied to the admission ratio at each update above kAdmissionLoadPerCore.
constexpr double kAdmissionDecrease = 0.8;
// Increase of the admission ratio at each update below three quarters of kAdmissionLoadPerCore.
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
    void decrease(double factor, double min_interval, int in_flight, double now) {
        if (now - decreased_at < min_interval) return;
        decreased_at = now;
        limit = std::max(kMinLimit, std::min(limit, 2.0 * in_flight + 2) * factor);
    }
    bool back_off(double jitter, double max_backoff, double now) {
        if (now < backoff_until) return false;
        backoff_until = now + backoff * (0.75 + 0.5 * jitter);
        backoff = std::min(2 * backoff, max_backoff);
        return true;
    }
};

// The ejection of one server or of a whole zone. While ejected, it receives only occasional probes; a
// response reinstates it.
struct OutlierEjection {
    bool ejected = false;
    // Time of this node's ejection; for a server, or of its last success or miss, if later.
    double silent_since = 0;
    double next_probe = 0;
    double probe_interval = kProbeInterval;
    // Seconds between this node's probes under a verdict of the fleet; 0: no such verdict.
    double fleet_probe_interval = 0;

    void eject(double jitter, double now) {
        if (!ejected) {
            probe_interval = kProbeInterval;
            silent_since = now;
        }
        ejected = true;
        next_probe =
            now + (fleet_probe_interval > 0 ? fleet_probe_interval : probe_interval) * (0.75 + 0.5 * jitter);
        probe_interval = std::min(2 * probe_interval, kMaxProbeInterval);
    }
};

// One entry of the server table: what the list says about a server and what this node learned about it.
struct Server {
    std::uint64_t hash = 0;
    int zone = 0;
    int cell = 0;
    int kind = 0;
    int ring = -1;             // zone whose ring holds the server's points; -1: none
    int points = 0;            // number of the server's points on that ring
    double listed_weight = 0;  // last listed weight; its load lowers it where weights are load-adjusted
    double traffic_share = 1;  // fraction of its keys that it receives, based on its reported load
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
    unsigned visit_generation = 0;      // generation of the last update or ring search that saw it
};

using Outcome = AttemptOutcome;

// Routes requests by consistent hashing with bounded loads, as the head of this file describes.
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
        const bool is_same_weight_mode = deployment.endpoint_weights == deployment_.endpoint_weights;
        const bool is_same_zone_count = deployment.zone_count == deployment_.zone_count;
        apply_configuration(deployment);
        // Points stay where they are; the endpoint list that follows moves the points of servers that changed
        // zone.
        if (!is_same_zone_count) clear_rings();
        if (!is_same_weight_mode) {
            for (Server& server : servers_) server.traffic_share = 1;
        }
        if (is_same_weight_mode) return;
        for (MachineKind& kind : kinds_) kind.max_weight = 0;
        reference_weight_ = 0;
        admission_ratio_ = 1;
        load_imbalance_ = last_imbalance_ = 0;
        spillover_step_ = kSpilloverStep;
    }
    WarmStartSnapshot snapshot(double now) const override {
        WarmStartSnapshot result;
        result.spillover_ratio = spillover_ratio_;
        result.shedding_ratio = shedding_ratio_;
        result.admission_ratio = admission_ratio_;
        result.origin_concurrency_limit = origin_limiter_.limit;
        result.origin_latency = origin_latency_;
        for (const MachineKind& kind : kinds_) result.kind_traffic_shares.push_back(kind.traffic_share);
        for (std::size_t i = 0; i < servers_.size(); ++i) {
            const Server& server = servers_[i];
            if (server.state != EndpointState::ready || server.is_origin) continue;
            result.servers.push_back({static_cast<int>(i), server.limiter.limit,
                                      server.limiter.backoff_until - now, server.ejection.ejected});
        }
        return result;
    }
    // Without a snapshot, a newly started node learns from timeouts which servers are slow, and its clients
    // wait meanwhile.
    void restore(double now, const WarmStartSnapshot& snapshot) override {
        spillover_ratio_ = std::clamp(snapshot.spillover_ratio, 0.0, 1.0);
        shedding_ratio_ = std::clamp(snapshot.shedding_ratio, 0.0, 1.0);
        admission_ratio_ = std::clamp(snapshot.admission_ratio, kMinAdmission, 1.0);
        origin_limiter_.limit = std::clamp(snapshot.origin_concurrency_limit, kMinLimit, kMaxLimit);
        origin_latency_ = std::max(snapshot.origin_latency, 0.0);
        for (std::size_t kind = 0; kind < std::min(kinds_.size(), snapshot.kind_traffic_shares.size());
             ++kind)
            kinds_[kind].traffic_share = std::clamp(snapshot.kind_traffic_shares[kind], kMinKindShare, 1.0);
        for (const WarmStartSnapshot::ServerSnapshot& entry : snapshot.servers) {
            Server& server = server_at(entry.server);
            server.limiter.limit = std::clamp(entry.concurrency_limit, kMinLimit, kMaxLimit);
            server.limiter.backoff_until = now + std::min(entry.backoff_remaining, kMaxServerBackoff);
            if (entry.ejected) eject(server, now);
        }
    }
    // Ejects a server on the fleet's verdict unless this node's own recent responses were fast. With little
    // traffic a node uses each server too rarely to detect that it is slow or failing. The verdict covers
    // servers that are lost before the list shows it. It does harm when the reporters share a bad path, so
    // the ejection lasts only as long as the verdict and ends with a fast response to this node.
    void on_outlier_verdict(double now, int server_id, bool bad, double probe_interval) override {
        Server& server = server_at(server_id);
        const bool is_known_healthy = server.consecutive_failures == 0 && server.latencies.count(now) > 0 &&
                                      server.latencies.mean(now) < kSilenceTimeout;
        const bool is_new_verdict = bad && !is_known_healthy && server.ejection.fleet_probe_interval == 0;
        if (!bad && server.ejection.ejected && server.ejection.fleet_probe_interval > 0 &&
            server.consecutive_failures < kEjectionFailures)
            reinstate(server, now);
        server.ejection.fleet_probe_interval = bad && !is_known_healthy ? probe_interval : 0;
        if (!is_new_verdict) return;
        eject(server, now);
        server.ejection.next_probe = now + probe_interval * random_unit();
    }
    // Sets the share of a zone's keys that goes there. All nodes of this node's zone drain a lost or
    // partitioned zone together and return to it with the same share of its keys. While it is drained, no
    // single response reinstates it.
    void set_zone_weight(double now, int zone_id, double weight, double probe_interval) override {
        if (zone_id < 0 || zone_id >= all_zones_ring()) return;  // a zone of an earlier configuration
        Zone& zone = zone_at(zone_id);
        for (std::size_t i = 0; weight == 0 && zone.weight > 0 && i < servers_.size(); ++i) {
            if (servers_[i].zone == zone_id) cancel_stalled_attempts(static_cast<int>(i), now, 0);
        }
        if (weight > 0 && weight < 1) zone.consecutive_losses = 0;
        zone.ejection.ejected = weight == 0 || (weight == 1 && zone.ejection.ejected);
        zone.ejection.next_probe =
            now + std::max(probe_interval, kProbeInterval) * (0.75 + 0.5 * random_unit());
        zone.ejection.fleet_probe_interval = probe_interval;
        zone.weight = weight;
    }
    void set_tenant_quota_share(double, int tenant, double share) override {
        if (tenant >= 0 && tenant < static_cast<int>(tenants_.size()))
            tenants_[static_cast<std::size_t>(tenant)].fleet_share = share;
    }
    void on_endpoints(double, UpdateKind kind, const std::vector<Endpoint>& entries) override {
        ++update_generation_;
        warm_responses_.is_current = false;
        work_.servers += entries.size();
        std::vector<int> changed;
        changed.reserve(entries.size());
        for (const Endpoint& endpoint : entries) {
            update_server(endpoint);
            changed.push_back(endpoint.server);
        }
        if (kind != UpdateKind::delta) {
            work_.servers += servers_.size();
            for (std::size_t i = 0; i < servers_.size(); ++i) {
                Server& server = servers_[i];
                if (server.visit_generation == update_generation_ || server.state == EndpointState::removed)
                    continue;
                server.state = EndpointState::removed;
                changed.push_back(static_cast<int>(i));
            }
        }
        if (reference_weight_ == 0 && kind_weights_changed_) {
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
        const double max_delay = std::min({std::max(0.2, poll_spread()) * std::pow(2.0, poll_failures_),
                                           deployment_.poll_interval / 2 + 0.2, kMaxPollDelay});
        poll_failures_ = std::min(poll_failures_ + 1, 10);
        host_.set_timer(max_delay * (0.3 + 0.7 * random_unit()), TimerToken{TimerToken::Kind::poll}.encode());
    }
    void on_request(double now, const Request& arrival) override {
        if (arrival.id >= static_cast<int>(requests_.size()))
            requests_.resize(static_cast<std::size_t>(arrival.id) + 1);
        PendingRequest& request = request_at(arrival.id);
        request.open = true;
        request.info = arrival;
        request.deployment = shared_deployment_;
        if (!arrival.has_key) request.info.key = (static_cast<std::uint64_t>(random_()) << 24) ^ random_();
        const Operation& op = operation(request);
        request.deadline = now + arrival.time_remaining;
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
        request.key_count = arrival.has_key && !arrival.is_write ? key_counter_.add(arrival.key) : 0;
        const bool shed = (request.over_quota && random_unit() < shedding_ratio_) ||
                          (!arrival.is_write && random_unit() >= admission_ratio_);
        const bool too_late = request.useful_until - now <= 2 * deployment_.tick_interval;
        if (shed || too_late) return reject_or_fail(request);
        if (arrival.is_write && origin_server_ >= 0) return route_to_origin(request, now);
        route_to_cache(request, now);
    }
    void on_attempt_finished(double now, int request_id, int attempt_number, Outcome outcome, double latency,
                             bool answered) override {
        PendingRequest& request = request_at(request_id);
        if (attempt_number < 0 || attempt_number >= static_cast<int>(request.attempts.size())) return;
        Attempt& attempt = request.attempts[static_cast<std::size_t>(attempt_number)];
        if (attempt.state != AttemptState::in_flight) return;
        const bool never_ran = outcome == Outcome::busy || outcome == Outcome::refused ||
                               outcome == Outcome::not_sent || outcome == Outcome::miss;
        attempt.state = never_ran ? AttemptState::never_ran : AttemptState::may_have_run;
        --request.in_flight;
        const int server_id = attempt.server;
        Server& server = server_at(server_id);
        --server.in_flight;
        add_ring_in_flight(server, -1);
        server.last_used_at = now;
        warm_responses_.is_current = false;
        const Outcome recorded_outcome = is_isolated_loss(server, outcome, now) ? Outcome::failed : outcome;
        record_outcome(server, request, attempt, recorded_outcome, latency, now);
        if (answered) {
            request.open = false;
            stop_waiting(request);
        }
        if (server.is_origin) on_origin_finished(request, recorded_outcome, latency, now);
        if (!request.open || request.streaming) return;
        if (outcome == Outcome::miss && !server.is_origin) {
            if (request.missed_at < 0) request.missed_at = server_id;
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
    // What this node learned about the servers of one kind.
    struct MachineKind {
        SlidingWindow slow_responses{kLongWindow};
        double traffic_share = 1;
        double max_weight = 0;  // largest weight listed for a server of this kind; 0: none listed
    };
    // What this node learned about one zone, and the share of its keys that the fleet sends there.
    struct Zone {
        // 1 for an attempt that lost its connection, 0 for one with a response.
        SlidingWindow lost_connections{kLongWindow};
        int consecutive_losses = 0;             // lost connections since the last response
        double idle_timeout_before_losses = 0;  // idle timeout when the current run of losses began, s
        double weight = 1;                      // share of its keys sent there, set by the fleet; 0: drained
        OutlierEjection ejection;
    };
    // Sums over the servers that are not in slow start: one entry per zone and a last one for all zones.
    struct WarmResponses {
        bool is_current = false;
        double computed_at = 0;
        std::vector<double> responses, points;
    };
    // The token bucket of one tenant at this node.
    struct TenantQuota {
        double quota = 0;
        double fleet_share = 0;  // share of the quota that the fleet leaves to this node
        double tokens = 0;
        double refilled_at = 0;
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
                std::min(origin_latency_target_, kOriginLatencyRatio * op.latency_objective);
    }
    // Seconds over which the first polls of all nodes are spread.
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
        double weight_sum = 0, server_count = 0;
        for (const Server& server : servers_) {
            if (server.is_origin || server.state == EndpointState::removed) continue;
            weight_sum += kind_at(server.kind).max_weight;
            ++server_count;
        }
        return weight_sum > 0 ? std::exp2(std::floor(std::log2(weight_sum / server_count))) : 0;
    }
    int point_count(const Server& server) const {
        const double weight = kind_at(server.kind).max_weight;
        if (reference_weight_ == 0 || weight == 0) return static_cast<int>(kPointsPerServer);
        return static_cast<int>(
            std::clamp(kPointsPerServer * weight / reference_weight_, kMinPoints, kMaxPoints));
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
    void update_server(const Endpoint& endpoint) {
        if (endpoint.server >= static_cast<int>(servers_.size()))
            servers_.resize(static_cast<std::size_t>(endpoint.server) + 1);
        Server& server = server_at(endpoint.server);
        const double started_at = endpoint.started_at > 0 ? endpoint.started_at : -1e9;
        const std::uint64_t hash = hash_text(endpoint.name, kRingSeed);
        if (server.hash != hash) remove_from_ring(endpoint.server);  // the old hash locates its points
        if (started_at > server.started_at + 0.001 || server.hash != hash) {
            // The server restarted, or its id now names another server: what was learned no longer applies.
            Server replacement;
            replacement.in_flight = server.in_flight;
            replacement.ring = server.ring;
            replacement.points = server.points;
            replacement.started_at = started_at;
            server = replacement;
        }
        server.slow_start_attempts.set_length(deployment_.overload_window);
        server.hash = hash;
        server.zone = std::clamp(endpoint.zone, 0, all_zones_ring() - 1);
        server.cell = endpoint.cell;
        server.kind = std::clamp(endpoint.kind, 0, kMaxKinds - 1);
        if (server.kind >= static_cast<int>(kinds_.size()))
            kinds_.resize(static_cast<std::size_t>(server.kind) + 1);
        server.is_origin = deployment_.origin_kind >= 0 && endpoint.kind == deployment_.origin_kind;
        server.state = endpoint.state;
        MachineKind& kind = kind_at(server.kind);
        if (deployment_.endpoint_weights != EndpointWeights::absent && endpoint.weight > kind.max_weight) {
            kind.max_weight = endpoint.weight;
            kind_weights_changed_ = true;
        }
        server.listed_weight = endpoint.weight;
        server.visit_generation = update_generation_;
    }
    static int target_ring(const Server& server) {
        return server.state == EndpointState::ready && !server.is_origin ? server.zone : -1;
    }
    static RingPoint ring_point(const Server& server, int server_id, int point_number) {
        return {ring_position(server.hash + static_cast<std::uint64_t>(point_number)), server_id};
    }
    void remove_from_ring(int server_id) {
        Server& server = server_at(server_id);
        if (server.ring < 0) return;
        HashRing& ring = rings_[static_cast<std::size_t>(server.ring)];
        for (int p = 0; p < server.points; ++p)
            work_.ring_points += ring.erase(ring_point(server, server_id, p));
        --ring_servers_[static_cast<std::size_t>(server.ring)];
        --ring_servers_.back();
        add_ring_in_flight(server, -server.in_flight);
        server.ring = -1;
    }
    // Moves the points of servers to the rings of their zones. Only servers that joined, left, changed zone
    // or have a different number of points are touched, because requests wait during the update.
    void update_rings(const std::vector<int>& changed) {
        std::vector<HashRing::Points> added(rings_.size() - 1);
        bool origin_changed = false;
        const auto place_on_ring = [&](int server_id) {
            Server& server = server_at(server_id);
            const int points = point_count(server);
            const int target = target_ring(server);
            origin_changed = origin_changed || server.is_origin || server_id == origin_server_;
            if (target == server.ring && points == server.points) return;
            remove_from_ring(server_id);
            server.ring = target;
            server.points = points;
            if (target < 0) return;
            HashRing::Points& added_points = added[static_cast<std::size_t>(target)];
            for (int p = 0; p < points; ++p) added_points.push_back(ring_point(server, server_id, p));
            ++ring_servers_[static_cast<std::size_t>(target)];
            ++ring_servers_.back();
            add_ring_in_flight(server, server.in_flight);
        };
        // A new largest weight changes the number of points of all servers of its kind.
        if (std::exchange(kind_weights_changed_, false)) {
            work_.servers += servers_.size();
            for (std::size_t i = 0; i < servers_.size(); ++i) place_on_ring(static_cast<int>(i));
        } else {
            for (const int server_id : changed) place_on_ring(server_id);
        }
        for (std::size_t zone = 0; zone < added.size(); ++zone)
            work_.ring_points += rings_[zone].insert(added[zone], PointOrder{servers_});
        if (origin_changed) select_origin();
    }
    // Selects the ready origin server with the lowest hash, so that all nodes use the same one.
    void select_origin() {
        origin_server_ = -1;
        work_.servers += servers_.size();
        for (std::size_t i = 0; i < servers_.size(); ++i) {
            const Server& server = servers_[i];
            if (server.is_origin && server.state == EndpointState::ready &&
                (origin_server_ < 0 || server.hash < hash_of(origin_server_)))
                origin_server_ = static_cast<int>(i);
        }
    }
    void add_ring_in_flight(const Server& server, int change) {
        if (server.ring < 0) return;
        ring_in_flight_[static_cast<std::size_t>(server.ring)] += change;
        ring_in_flight_.back() += change;
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
    // kAllOverloaded.
    //
    // NOLINTNEXTLINE(readability-function-cognitive-complexity): see ROADMAP
    int pick_on_ring(const PendingRequest& request, int zone, double now, bool last_resort) {
        const bool all_zones = zone == all_zones_ring();
        const HashRing* const first_ring =
            all_zones ? rings_.data() : &rings_[static_cast<std::size_t>(zone)];
        const std::size_t ring_count = all_zones ? rings_.size() - 1 : 1;
        const std::size_t points =
            std::accumulate(first_ring, first_ring + ring_count, std::size_t{0},
                            [](std::size_t sum, const HashRing& ring) { return sum + ring.size(); });
        if (points == 0) return -1;
        const int ring_server_count = ring_servers_[static_cast<std::size_t>(zone)];
        const double in_flight_per_point =
            ring_in_flight_[static_cast<std::size_t>(zone)] / static_cast<double>(points);
        RingWalk walk(
            first_ring, ring_count,
            ring_position((request.info.key ^ kRingSeed) + hot_key_replica(request, ring_server_count)));
        ++walk_generation_;
        int first_over_bound = -1, full_servers = 0, visited = 0;
        bool is_share_declined = false;
        while (visited < ring_server_count) {
            const int candidate = walk.next(PointOrder{servers_});
            if (candidate < 0) break;
            ++work_.ring_points;
            Server& server = server_at(candidate);
            if (server.visit_generation == walk_generation_) continue;
            server.visit_generation = walk_generation_;
            ++visited;
            if (!may_attempt(request, candidate, now) || (!last_resort && was_tried(request, candidate)))
                continue;
            const double zone_weight = last_resort ? 1 : zone_at(server.zone).weight;
            if (zone_weight > 0 && zone_weight < 1 &&
                unit_interval(mix(request.info.key * 7 ^ kRingSeed)) >= zone_weight)
                continue;
            // Keys that an overloaded server declines would exceed the even share of a cold server next to
            // it.
            if (is_share_declined && slow_start_ratio(server, now) < 1) continue;
            if (!admits_in_slow_start(server, request, zone, now) || !host_.admit_slow_start(candidate))
                continue;
            if (!last_resort && !within_traffic_share(server, request)) {
                is_share_declined = true;
                continue;
            }
            OutlierEjection* ejection = active_ejection(server, now);
            if (!last_resort && ejection != nullptr && !take_probe(*ejection, request, now)) continue;
            if (!server.limiter.has_capacity(server.in_flight, now)) {
                // Servers further along the ring do not hold the key: the attempt would miss and evict
                // entries that they do hold.
                if (++full_servers > (slow_response_rate_ > kOverloadSlowRate ? 0 : kMaxSkippedServers))
                    return first_over_bound >= 0 ? first_over_bound : kAllOverloaded;
                continue;
            }
            if (last_resort) return candidate;
            if (server.in_flight > kLoadBoundFloor &&
                server.in_flight > kLoadBoundFactor * in_flight_per_point * server.points) {
                if (first_over_bound < 0) first_over_bound = candidate;
                continue;
            }
            return candidate;
        }
        return first_over_bound;
    }
    // Exception: a key that receives more requests than a server's even share has several positions on the
    // ring, and each request draws one of them.
    std::uint64_t hot_key_replica(const PendingRequest& request, int ring_server_count) {
        if (request.key_count < kHotKeyMinCount) return 0;
        const int replicas =
            std::min(request.key_count * ring_server_count / std::max(key_counter_.total(), kKeySampleSize),
                     ring_server_count);
        return replicas > 1 ? random_() % static_cast<unsigned>(replicas) : 0;
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
            for (int offset = 0; offset < zones; ++offset) {
                const int server =
                    pick_on_ring(request, (deployment_.zone + offset) % zones, now, last_resort);
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
        const Server& target = server_at(server_id);
        if (target.state != EndpointState::ready) return false;
        if (static_cast<int>(request.attempts.size()) >= request.deployment->max_attempts) return false;
        if (request.in_flight > 0 && !deployment_.may_hedge) return false;
        if (op.idempotency == Idempotency::idempotent) return true;
        for (const Attempt& attempt : request.attempts) {
            if (attempt.state == AttemptState::never_ran) continue;
            if (op.idempotency == Idempotency::none) return false;
            if (op.deduplication_scope == DeduplicationScope::zone && attempt.zone != target.zone)
                return false;
            if (op.deduplication_scope == DeduplicationScope::cell &&
                (attempt.cell != target.cell || attempt.zone != target.zone))
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
    // Fraction of its capacity that a server may be used for: 1 unless it is in slow start.
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
    bool admits_in_slow_start(Server& server, const PendingRequest& request, int zone, double now) {
        double warm_ratio = slow_start_ratio(server, now);
        if (warm_ratio >= 1) return true;
        // In a zone with few servers left, the first ones to return cold would otherwise receive all of its
        // traffic.
        const int zones = zone == all_zones_ring() ? 1 : all_zones_ring();
        warm_ratio *=
            std::min(1.0, 1.0 * zones * ring_servers_[static_cast<std::size_t>(zone)] / ring_servers_.back());
        return unit_interval(mix(request.info.key * 3 ^ server.hash)) < warm_ratio &&
               has_slow_start_budget(server, warm_ratio, now);
    }
    bool has_slow_start_budget(Server& server, double warm_ratio, double now) {
        if (warm_ratio >= 1) return true;
        // Capacity is estimated from the responses of warm servers and not from the attempts sent to them: an
        // overloaded fleet rejects most attempts.
        const double even_share = deployment_.overload_multiple * warm_ratio * server.points *
                                  responses_per_warm_point(server.zone, now);
        // With many nodes each share is below one attempt, and one attempt per node would be too many. Each
        // node therefore rounds its share up or down at random for each overload window, so that the expected
        // sum equals the sum of the shares.
        const std::uint64_t server_seed = mix(node_seed_ ^ server.hash);
        const double window_length = std::max(deployment_.overload_window, 0.1);
        const auto window_number =
            static_cast<std::uint64_t>(now / window_length + unit_interval(server_seed));
        const double min_attempts = kMinSlowStartAttempts / std::max(1, deployment_.node_count);
        const double attempt_budget =
            std::max({kSlowStartBudgetShare * even_share, std::min(even_share, 1.0), min_attempts});
        return server.slow_start_attempts.count(now) <
               std::floor(attempt_budget + unit_interval(mix(server_seed + window_number)));
    }
    // Estimates this node's part of a server's capacity: the responses that this node receives in one
    // overload window per ring point of the zone's warm servers, or of all warm servers if the zone has none.
    // Servers without a recent response count too.
    double responses_per_warm_point(int zone, double now) {
        if (!warm_responses_.is_current || warm_responses_.computed_at != now) update_warm_responses(now);
        const double zone_points = item(warm_responses_.points, zone);
        const double responses =
            zone_points > 0 ? item(warm_responses_.responses, zone) : warm_responses_.responses.back();
        const double points = zone_points > 0 ? zone_points : warm_responses_.points.back();
        return points == 0 ? 0 : deployment_.overload_window * responses / points / kRateWindow;
    }
    // Computes the sums over warm servers. They are kept while `now` stays the same, because a request that
    // passes many cold servers needs them at each.
    void update_warm_responses(double now) {
        work_.servers += servers_.size();
        warm_responses_.is_current = true;
        warm_responses_.computed_at = now;
        warm_responses_.responses.assign(rings_.size(), 0);
        warm_responses_.points.assign(rings_.size(), 0);
        for (Server& server : servers_) {
            if (server.is_origin || server.state != EndpointState::ready || slow_start_ratio(server, now) < 1)
                continue;
            const int responses = server.latencies.count(now);
            item(warm_responses_.responses, server.zone) += responses;
            item(warm_responses_.points, server.zone) += server.points;
            warm_responses_.responses.back() += responses;
            warm_responses_.points.back() += server.points;
        }
    }
    // Exception: machines of a slower kind receive a smaller share of their keys, because speeds are not
    // reported and listed weights may mislead. Nodes with the same share choose the same keys. Requests for a
    // hot key are chosen at random, since it alone may exceed a server's capacity; where there are too many
    // servers for key counts to detect hot keys, all requests are.
    bool within_traffic_share(const Server& server, const PendingRequest& request) {
        if (server.traffic_share < 1 && random_unit() >= server.traffic_share) return false;
        const double kind_share = kind_at(server.kind).traffic_share;
        const bool can_detect_hot_keys =
            kHotKeyMinCount * ring_servers_.back() <= kKeySampleSize * all_zones_ring();
        return kind_share >= 1 || (request.key_count > 1 || !can_detect_hot_keys
                                       ? random_unit()
                                       : unit_interval(mix(request.info.key * 5 ^ server.hash))) < kind_share;
    }
    // Requests per core that the listed weight of a server implies: load lowers a load-adjusted weight.
    double reported_load(const Server& server) const {
        return server.listed_weight > 0 ? kind_at(server.kind).max_weight / server.listed_weight - 1 : 0;
    }
    // Adjusts traffic shares, admission and spillover to the load in load-adjusted weights. These reach all
    // nodes alike, although late, and show what a single node has too little traffic to observe.
    void apply_reported_load() {
        std::vector<double> load_sums(rings_.size()), point_sums(rings_.size());
        for (const Server& server : servers_) {
            if (server.ring < 0) continue;
            for (std::size_t zone : {static_cast<std::size_t>(server.ring), rings_.size() - 1}) {
                load_sums[zone] += reported_load(server) * server.points;
                point_sums[zone] += server.points;
            }
        }
        for (Server& server : servers_) {
            if (server.ring < 0) continue;
            const auto zone = static_cast<std::size_t>(server.ring);
            const double load = reported_load(server);
            if (load > kOverloadLoadPerCore &&
                load > kOverloadToZoneMeanRatio * load_sums[zone] / point_sums[zone])
                server.traffic_share =
                    std::max(kMinOverloadShare, server.traffic_share * kOverloadShareDecrease);
            else if (load < kOverloadLoadPerCore / 2)
                server.traffic_share = std::min(1.0, server.traffic_share + kOverloadShareIncrease);
        }
        const auto local_zone = static_cast<std::size_t>(deployment_.zone);
        if (point_sums[local_zone] <= 0) return;
        const double local_mean = load_sums[local_zone] / point_sums[local_zone];
        const bool is_only_zone = point_sums.back() <= point_sums[local_zone];
        const double other_zones_mean = is_only_zone ? local_mean
                                                     : (load_sums.back() - load_sums[local_zone]) /
                                                           (point_sums.back() - point_sums[local_zone]);
        const double reached_load =
            local_mean * (1 - spillover_ratio_) + load_sums.back() / point_sums.back() * spillover_ratio_;
        if (reached_load > kAdmissionLoadPerCore)
            admission_ratio_ = std::max(admission_ratio_ * kAdmissionDecrease, kMinAdmission);
        else if (reached_load < 0.75 * kAdmissionLoadPerCore)
            admission_ratio_ = std::min(admission_ratio_ + kAdmissionIncrease, 1.0);
        const double min_imbalanced_load = kOverloadLoadPerCore / 2;
        load_imbalance_ =
            (local_mean > std::max(min_imbalanced_load, kOverloadToZoneMeanRatio * other_zones_mean)) -
            (other_zones_mean > std::max(min_imbalanced_load, kOverloadToZoneMeanRatio * local_mean));
        if (load_imbalance_ * last_imbalance_ < 0)
            spillover_step_ = std::max(spillover_step_ / 2, kMinSpilloverStep);
        if (load_imbalance_ != 0) last_imbalance_ = load_imbalance_;
    }
    // Lowers the traffic share of kinds whose rate of slow responses exceeds the best kind's, and raises the
    // others'.
    void adjust_kind_shares(double now) {
        double lowest_slow_rate = 1;
        for (MachineKind& kind : kinds_) {
            if (kind.slow_responses.count(now) >= kMinSamples / 2)
                lowest_slow_rate = std::min(lowest_slow_rate, kind.slow_responses.mean(now));
        }
        for (MachineKind& kind : kinds_) {
            const bool is_slower = kind.slow_responses.count(now) >= kMinSamples / 2 &&
                                   kind.slow_responses.mean(now) > lowest_slow_rate + kKindSlowMargin;
            kind.traffic_share =
                std::clamp(kind.traffic_share + (is_slower ? -kKindShareDecrease : kKindShareIncrease),
                           kMinKindShare, 1.0);
        }
    }

    // ---- health --------------------------------------------------------------------------------------
    // Returns the ejection that applies to a server, its zone's first, or nullptr. Ejects a server that is
    // silent.
    OutlierEjection* active_ejection(Server& server, double now) {
        const double silence =
            server.in_flight >= 2 && server.unanswered_since > 0 ? now - server.unanswered_since : 0;
        if (!server.ejection.ejected && silence > std::max(kSilenceTimeout, 3 * server.latencies.mean(now)))
            eject(server, now);
        OutlierEjection& zone_ejection = zone_at(server.zone).ejection;
        return zone_ejection.ejected ? &zone_ejection : server.ejection.ejected ? &server.ejection : nullptr;
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
        Zone& zone = zone_at(server.zone);
        if (outcome == Outcome::refused || outcome == Outcome::reset) {
            zone.lost_connections.add(now, 1);
            if (++zone.consecutive_losses == 1) zone.idle_timeout_before_losses = idle_timeout_;
            double lowest_loss_rate = 1;
            for (Zone& other : zones_) {
                if (other.lost_connections.count(now) >= kZoneFailures)
                    lowest_loss_rate = std::min(lowest_loss_rate, other.lost_connections.mean(now));
            }
            const bool may_be_chance =
                zone.consecutive_losses < kZoneFailures ||
                std::pow(lowest_loss_rate, zone.consecutive_losses) > kZoneFalsePositiveRate;
            if (all_zones_ring() < 2 ||
                (zone.ejection.ejected ? attempt.sent_at < zone.ejection.silent_since : may_be_chance))
                return;
            // The refusals came from a lost zone and not from full connection tables.
            if (!zone.ejection.ejected)
                idle_timeout_ = std::max(idle_timeout_, zone.idle_timeout_before_losses);
            zone.ejection.eject(random_unit(), now);
        } else if (outcome != Outcome::timed_out && outcome != Outcome::cancelled &&
                   outcome != Outcome::not_sent) {
            zone.lost_connections.add(now, 0);
            zone.consecutive_losses = 0;
            // Only the fleet ends a drain that it decided.
            zone.ejection.ejected = zone.ejection.fleet_probe_interval > 0;
        }
    }
    // Exception: a refused or reset connection in an ejected zone does not indicate load.
    bool is_zone_loss(const Server& server, Outcome outcome) const {
        return (outcome == Outcome::refused || outcome == Outcome::reset) && !server.is_origin &&
               zone_at(server.zone).ejection.ejected;
    }
    // Ends an ejection. A server that was silent for long may have restarted, so it counts as started now
    // unless the list gives a later start.
    void reinstate(Server& server, double now) {
        warm_responses_.is_current = false;
        if (now - server.ejection.silent_since > kRestartSilence)
            server.started_at = std::max(server.started_at, now);
        server.ejection.ejected = false;
    }
    // Cancels attempts at a silent server, so that their requests are retried elsewhere and do not wait for
    // the timeout.
    void cancel_stalled_attempts(int server_id, double now, double min_age = kSilenceTimeout) {
        if (!deployment_.may_cancel) return;
        for (PendingRequest& request : requests_) {
            if (!request.open || request.streaming || request.in_flight != 1) continue;
            const Attempt& attempt = request.attempts.back();
            if (attempt.server != server_id || now - attempt.sent_at < min_age) continue;
            if (operation(request).idempotency != Idempotency::idempotent) continue;
            host_.cancel_attempt(request.info.id, static_cast<int>(request.attempts.size()) - 1);
        }
    }
    // Returns whether the request is sent as a probe of an ejected server. Only first attempts of idempotent
    // requests are, once per probe interval.
    bool take_probe(OutlierEjection& ejection, const PendingRequest& request, double now) {
        const bool is_idempotent = operation(request).idempotency == Idempotency::idempotent;
        if (now < ejection.next_probe || !is_idempotent || !request.attempts.empty()) return false;
        ejection.next_probe = now + (ejection.fleet_probe_interval > 0 ? ejection.fleet_probe_interval
                                                                       : ejection.probe_interval);
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
        const bool is_lost_with_zone = is_zone_loss(server, outcome);
        if (!server.is_origin && !is_lost_with_zone) {
            const bool is_slow = outcome == Outcome::busy || outcome == Outcome::timed_out ||
                                 outcome == Outcome::refused ||
                                 latency > kSlowResponseRatio * op.latency_objective;
            recent_outcomes_.add(now, is_slow);
            long_window_outcomes_.add(now, is_slow);
            late_outcomes_.add(now, outcome == Outcome::timed_out || latency > op.latency_objective);
            kind_at(server.kind).slow_responses.add(now, is_slow);
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
                if (server.ejection.ejected && (server.ejection.fleet_probe_interval == 0 ||
                                                latency <= kSlowResponseRatio * op.latency_objective)) {
                    reinstate(server, now);
                    server.latencies.clear();
                }
                server.ejection.silent_since = now;  // silence is counted from its last success or miss
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
                if (!is_lost_with_zone && outcome == Outcome::refused &&
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
    void decrease_limit(Server& server, double factor, double min_interval, double min_backoff, double now) {
        if (server.limiter.limit <= kMinLimit) {
            server.limiter.backoff = std::max(server.limiter.backoff, min_backoff);
            server.limiter.back_off(random_unit(), kMaxServerBackoff, now);
        }
        server.limiter.decrease(factor, min_interval, server.in_flight, now);
    }

    // ---- attempts --------------------------------------------------------------------------------------
    void start_attempt(PendingRequest& request, int server_id, double timeout, double now) {
        Server& server = server_at(server_id);
        request.attempts.push_back({server_id, server.zone, server.cell, now, AttemptState::in_flight});
        ++request.in_flight;
        ++server.in_flight;
        add_ring_in_flight(server, 1);
        server.may_have_connections = true;
        if (server.unanswered_since == 0) server.unanswered_since = now;
        if (!server.is_origin) server.slow_start_attempts.add(now, 1);
        host_.start_attempt(request.info.id, server_id, timeout);
    }
    void route_to_cache(PendingRequest& request, double now) {
        const int server_id = pick_server(request, now);
        if (server_id < 0) {
            const bool goes_to_origin =
                !request.info.is_write && origin_server_ >= 0 && ring_servers_.back() == 0;
            return goes_to_origin ? route_to_origin(request, now) : reject_or_fail(request);
        }
        start_attempt(request, server_id, request.useful_until - now, now);
    }
    // Retries after a failed attempt if rule 2, the remaining time and the retry budget allow it. Under
    // overload no other cache server is tried, except after a refusal in an ejected zone, since all are full
    // and each try costs a handshake. The origin is not tried again after this node itself declined to send
    // because its share of the fleet's limit is used up.
    void retry(PendingRequest& request, double now, const Server& failed_server, Outcome outcome) {
        // An attempt refused in an ejected zone caused no work, so its retry needs no token while another
        // zone is healthy.
        const auto is_healthy = [](const Zone& zone) { return !zone.ejection.ejected; };
        const bool is_free = outcome == Outcome::refused && is_zone_loss(failed_server, outcome) &&
                             std::any_of(zones_.begin(), zones_.end() - 1, is_healthy);
        const bool may_retry =
            failed_server.is_origin ? outcome != Outcome::not_sent : slow_response_rate_ <= kOverloadSlowRate;
        const bool has_time = request.useful_until - now > 2 * deployment_.tick_interval;
        if (has_time && (is_free || (retry_tokens_ >= 1 && may_retry))) {
            if (!is_free) retry_tokens_ -= 1;
            return failed_server.is_origin ? route_to_origin(request, now) : route_to_cache(request, now);
        }
        reject_or_fail(request);
    }
    // Gives up a request with an immediate final answer: rejected if rule 2 allows it, failed otherwise.
    void reject_or_fail(PendingRequest& request) {
        request.open = false;
        stop_waiting(request);
        if (may_reject(request)) {
            const double retry_after =
                0.2 + std::max(shedding_ratio_, 1 - admission_ratio_) * (0.5 + random_unit());
            const double capped_retry_after = std::min(deployment_.max_retry_after, retry_after);
            host_.reject(request.info.id, deployment_.max_retry_after > 0 ? capped_retry_after : 0);
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
        const int server_id = origin_server_;
        if (server_id < 0 || !may_attempt(request, server_id, now)) {
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
            start_fetch(request, server_id, now);
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
        const double rounds = static_cast<double>(origin_queue_.size() + 1) / origin_limiter_.limit + 1;
        return std::max(0.0, origin_limiter_.backoff_until - now) + rounds * latency;
    }
    void start_fetch(PendingRequest& request, int server_id, double now) {
        ++origin_in_flight_;
        if (!request.info.is_write && request.info.has_key) {
            fetch_waiters_[request.info.key];
            request.leads_fetch = true;
        }
        // A response that is too late to be of use to this client still fills the cache.
        start_attempt(request, server_id, request.deadline - now, now);
    }
    void wait_for(PendingRequest& request, WaitReason reason, double now) {
        request.waiting_for = reason;
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
            PendingRequest& waiter = request_at(request_id);
            waiter.waiting_for = WaitReason::none;
            Server& missed_server = server_at(std::max(request.missed_at, 0));
            if (outcome == Outcome::succeeded && request.missed_at >= 0 &&
                may_attempt(waiter, request.missed_at, now) &&
                has_slow_start_budget(missed_server, slow_start_ratio(missed_server, now), now)) {
                // The server that missed the key holds the value now.
                start_attempt(waiter, request.missed_at, waiter.useful_until - now, now);
            } else {
                route_to_origin(waiter, now);
            }
        }
        drain_origin_queue(now);
    }
    // Value of a response to the request that arrives after the origin's mean latency.
    double remaining_value(const PendingRequest& request, double now) const {
        const Operation& op = operation(request);
        const bool is_late = now + origin_latency_ > request.objective_deadline;
        return op.priority_weight * (is_late ? op.late_value_ratio : 1) *
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
            PendingRequest& request = request_at(*next);
            origin_queue_.erase(next);
            request.waiting_for = WaitReason::none;
            route_to_origin(request, now);
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
        const int tenant_id = request.info.tenant;
        if (tenant_id < 0 || tenant_id >= static_cast<int>(tenants_.size()) || tenants_.size() < 2)
            return false;
        TenantQuota& tenant = item(tenants_, tenant_id);
        tenant.arrivals.add(now, 1);
        if (tenant.quota <= 0) return false;
        const double rate = tenant.quota * std::max(node_traffic_share_, tenant.fleet_share);
        tenant.tokens =
            std::min(tenant.tokens + (now - tenant.refilled_at) * rate, std::max(rate, kQuotaBurst));
        tenant.refilled_at = now;
        if (tenant.tokens < 1) return true;
        tenant.tokens -= 1;
        return false;
    }
    void adjust_limits(double now) {
        if (now - adjusted_at_ < kAdjustInterval) return;
        adjusted_at_ = now;
        expire_idle_connections(now);
        const bool is_load_adjusted = deployment_.endpoint_weights == EndpointWeights::load_adjusted;
        if (!is_load_adjusted) adjust_kind_shares(now);
        slow_response_rate_ = recent_outcomes_.mean(now);
        if (!is_load_adjusted) {
            const bool is_late_rate_high =
                late_outcomes_.count(now) >= kMinSamples && late_outcomes_.mean(now) > kMaxLateRate;
            admission_ratio_ = std::clamp(is_late_rate_high ? admission_ratio_ * kLateAdmissionDecrease
                                                            : admission_ratio_ + kLateAdmissionIncrease,
                                          kMinAdmission, 1.0);
        }
        // With little traffic, the rate over one second depends on chance, and shedding by chance spares the
        // largest tenants.
        const double steady_slow_rate =
            recent_outcomes_.count(now) < kMinSamples ? long_window_outcomes_.mean(now) : slow_response_rate_;
        const bool is_overloaded = slow_response_rate_ > kSpilloverThreshold || !origin_queue_.empty();
        const double step = is_load_adjusted ? load_imbalance_ * spillover_step_
                            : is_overloaded  ? kSpilloverIncrease
                                             : -kSpilloverDecrease;
        spillover_ratio_ = std::clamp(spillover_ratio_ + step, 0.0, 1.0);
        shedding_ratio_ = std::clamp(
            shedding_ratio_ + (steady_slow_rate > kSheddingThreshold ? kSheddingStep : -kSheddingStep), 0.0,
            1.0);
        std::vector<double> traffic_shares;
        for (TenantQuota& tenant : tenants_) {
            if (tenant.quota > 0)
                traffic_shares.push_back(tenant.arrivals.sum(now) / kRateWindow / tenant.quota);
        }
        node_traffic_share_ = 1.0 / std::max(1, deployment_.node_count);
        std::sort(traffic_shares.begin(), traffic_shares.end());
        if (!traffic_shares.empty())
            node_traffic_share_ =
                std::clamp(traffic_shares[traffic_shares.size() / 2], node_traffic_share_, 1.0);
    }
    // Closes connections that are idle for longer than the configured timeout, or for less after refusals,
    // since idle connections fill the servers' connection tables.
    void expire_idle_connections(double now) {
        const double max_idle_timeout =
            deployment_.connection_idle_timeout > 0 ? deployment_.connection_idle_timeout : 1e9;
        idle_timeout_ = std::min(idle_timeout_ * kIdleTimeoutGrowth, max_idle_timeout);
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
    // A kind's weight or the reference weight changed: the points of any server may change.
    bool kind_weights_changed_ = false;
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
    SlidingWindow long_window_outcomes_{kLongWindow};
    SlidingWindow late_outcomes_{1.0};  // 1: timed out or finished after the objective; 0: in time
    unsigned update_generation_ = 0;
    unsigned walk_generation_ = 1U << 31;
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
