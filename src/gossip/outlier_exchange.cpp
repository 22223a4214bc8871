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

// Fraction of the latency objective above which an answer counts as bad: a slower one leaves too little time
// for the origin fetch that a miss needs.
constexpr double kSlowLatencyRatio = 0.5;
// Nodes that a server's reports go to. Two that agree are enough, so one of them may be dead or wrong.
constexpr std::size_t kOwnersPerServer = 3;
// Highest-ranked nodes whose verdicts on a server count here: the views of two nodes on which nodes are
// present differ slightly.
constexpr std::size_t kOwnerCandidates = 5;
// Owners that must agree for a verdict to count, and reporters that suffice once another owner reached the
// verdict.
constexpr int kMinAgreeing = 2;
// Nodes that must report a server bad before an owner finds it bad for a zone: at least kMinReporters (in a
// zone of few nodes all but one, but at least two), and at least kMinReporterRatio of the zone's nodes.
// Reports from other zones count towards these, but at least kMinLocalReporters must come from the zone
// itself.
constexpr int kMinReporters = 3;
constexpr double kMinReporterRatio = 0.05;
constexpr int kMinLocalReporters = 2;
// Failed attempts, as a fraction of the attempts that an average server of the zone gets in the same time,
// from which a suspected server is found bad at once.
constexpr double kImmediateFailureRatio = 0.25;
// Seconds for which a server with fewer failures than kImmediateFailureRatio is watched before it is found
// bad. Meanwhile all nodes report everything that they observe there.
constexpr double kWatchDuration = 1.0;
constexpr double kSuspicionLifetime = 3.0;    // s after the last suspicion at which a watch ends
constexpr double kFailureSuccessRatio = 2.0;  // failures per success from which a server is suspected
constexpr double kReportInterval = 1.0;       // s between reports or statements of one node on one server
constexpr double kGossipInterval = 1.0 / 3;   // s between gossip datagrams, if the byte budget allows
constexpr std::size_t kMaxHeartbeatsPerDatagram = 12;
// Upper bound on the statements of one sender that are kept on one verdict.
constexpr int kMaxStatementsPerSender = 3;
// Upper bound on the statements of all senders together that are kept on one verdict.
constexpr std::size_t kMaxStatementsPerVerdict = 8;
// Times that a node relays an unchanged verdict with priority; after that it is still relayed, newest first.
constexpr int kRelayedSendLimit = 6;
constexpr int kOwnSendLimit = 12;           // times that an owner sends its own verdict without waiting
constexpr int kUrgentRelayedSendLimit = 3;  // times that a relayed verdict does not wait for kGossipInterval
// Seconds between two ticks from which the process counts as paused: what it observed in between was caused
// by the node itself.
constexpr double kProcessPauseThreshold = 0.6;
// Seconds after the end of a pause in which the node neither records nor reports attempts on servers, and
// acts on no verdict.
constexpr double kDoubtDuration = 2.0;
// With attempts on at least this many servers, of which more than kSelfCheckBadRatio fail, the cause is the
// node's own connectivity or an overload of all servers.
constexpr std::size_t kMinServersForSelfCheck = 4;
constexpr double kSelfCheckBadRatio = 0.5;
// Probes per second that all nodes of one zone together send to a server found bad.
constexpr double kProbesPerSecond = 0.7;
// Number of the newest reports of a zone that decide whether a server found bad is still bad.
constexpr std::size_t kNewestReports = 3;
// Lower bound, in seconds, of the interval between one node's probes of a server found bad.
constexpr double kMinProbeInterval = 0.5;
// Lower bound on the byte budget: a node with hardly any traffic must still be known to be alive.
constexpr double kMinBytesPerSecond = 64;
constexpr double kBudgetBurstSeconds = 2.0;  // s of unused byte budget that a node can accumulate
// Fraction of gossip that goes to any node, present or not; otherwise a partition would persist after the
// network has healed. It is larger where few nodes are known, as those would only exchange datagrams with
// each other.
constexpr double kAnyNodeGossipRatio = 0.1;
// Upper bound on the servers that this node keeps observations and records of, and on those whose verdicts it
// tracks, with up to kOwnerCandidates verdicts each.
constexpr std::size_t kMaxServers = 1024;
// Attempts of one node, good and bad each, that count in a zone's sum: no single node may dominate it.
constexpr int kMaxCountedAttempts = 8;
constexpr double kMaxIncarnationSeconds = 0x7fffffff * kTickSeconds;  // s, about 97 days
constexpr double kDelayedThreshold = 1.0;  // s from which a datagram counts as delayed
constexpr std::size_t kMaxLeaseEntriesPerDatagram = 12;
// If at least this many nodes of the own zone are present, only they vote on zones; otherwise all present
// nodes do.
constexpr std::size_t kMinZoneVoters = 3;
// Datagrams with zone reports per tick while urgent reports are pending.
constexpr int kUrgentZoneReportsPerTick = 2;
// Datagrams with zone reports per tick while more than kManyUrgentZoneReports are pending.
constexpr int kMaxUrgentZoneReportsPerTick = 6;
constexpr int kManyUrgentZoneReports = 16;
constexpr double kZoneReportInterval = 0.5;  // s between zone reports that are not urgent

std::uint32_t bit(int zone) { return 1U << std::clamp(zone, 0, kMaxZones - 1); }

// Heartbeats that a node receives per second if all nodes use their byte budget; Membership derives its
// timeouts from it.
double heartbeats_received_per_second(const GossipSettings& settings) {
    return kMaxHeartbeatsPerDatagram / kGossipInterval * std::min(1.0, settings.max_bytes_per_second / 1024);
}

}  // namespace

OutlierExchange::OutlierExchange(const GossipSettings& settings, std::uint32_t incarnation,
                                 std::uint64_t seed, double now)
    : settings_(settings),
      incarnation_(incarnation),
      started_at_(now),
      random_(static_cast<std::uint32_t>(mix(seed))),
      members_(settings.node_index, std::max(1, settings.node_count),
               heartbeats_received_per_second(settings)),
      last_tick_(now),
      budgets_filled_at_(now),
      zone_failover_({settings.node_index, settings.zone, settings.zone_count, settings.slow_start_duration,
                      settings.failure_domains},
                     now),
      quota_leases_({settings.node_index, std::max(1, settings.node_count)}, now) {}

std::optional<AttemptHealth> classify_attempt(AttemptOutcome outcome, double duration,
                                              double latency_objective) {
    switch (outcome) {
        case AttemptOutcome::succeeded:
        case AttemptOutcome::miss:
            return duration > kSlowLatencyRatio * latency_objective ? AttemptHealth::bad
                                                                    : AttemptHealth::good;
        case AttemptOutcome::failed:
        case AttemptOutcome::timed_out:
        case AttemptOutcome::refused:
        case AttemptOutcome::reset:
            return AttemptHealth::bad;
        case AttemptOutcome::busy:  // answered at once; the balancer's admission limits react to it
        case AttemptOutcome::cancelled:
        case AttemptOutcome::not_sent:
            break;
    }
    return std::nullopt;
}

std::optional<ZoneAttempt> classify_zone_attempt(AttemptOutcome outcome, double duration,
                                                 double latency_objective) {
    switch (outcome) {
        case AttemptOutcome::succeeded:
        case AttemptOutcome::miss:
            return duration > kSlowLatencyRatio * latency_objective ? ZoneAttempt::strained
                                                                    : ZoneAttempt::healthy;
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

double overdue_after(double latency_objective) { return kSlowLatencyRatio * latency_objective; }

// ---- local observations ---------------------------------------------------------------------------------

// After a pause, answers that had already arrived look slow. What the node observed in that time is
// discarded.
bool OutlierExchange::detect_process_pause(double now) {
    const bool paused = now - last_tick_ > kProcessPauseThreshold;
    if (paused) {
        local_observations_.clear();
        doubts_until_ = now + kDoubtDuration;
        zone_failover_.on_process_pause(now);
        ++counters_.process_pauses;
    }
    last_tick_ = now;
    return paused;
}

void OutlierExchange::advance_buckets(LocalObservations& observations, double now) const {
    constexpr double kBucketSeconds = kObservationWindow / LocalObservations::kBuckets;
    const auto bucket = static_cast<std::int64_t>(now / kBucketSeconds);
    const std::int64_t elapsed =
        std::min<std::int64_t>(bucket - observations.newest_bucket, LocalObservations::kBuckets);
    for (std::int64_t step = 1; step <= elapsed; ++step) {
        const auto slot =
            static_cast<std::size_t>((observations.newest_bucket + step) % LocalObservations::kBuckets);
        observations.good[slot] = observations.bad[slot] = 0;
    }
    if (elapsed >= LocalObservations::kBuckets) observations.good.fill(0), observations.bad.fill(0);
    observations.newest_bucket = std::max(observations.newest_bucket, bucket);
}

int OutlierExchange::sum(const std::array<int, LocalObservations::kBuckets>& buckets) {
    return std::accumulate(buckets.begin(), buckets.end(), 0);
}

void OutlierExchange::on_request(double now) {
    const auto second = static_cast<std::int64_t>(now);
    for (std::int64_t s = std::max(newest_arrival_second_ + 1, second - 7); s <= second; ++s)
        arrivals_[static_cast<std::size_t>(s % 8)] = 0;
    newest_arrival_second_ = std::max(newest_arrival_second_, second);
    ++arrivals_[static_cast<std::size_t>(second % 8)];
}

void OutlierExchange::on_attempt_finished(double now, ServerKey server, AttemptHealth health) {
    if (now - last_tick_ > kProcessPauseThreshold || now < doubts_until_)
        return;  // the next tick detects the pause
    if (local_observations_.size() >= kMaxServers && !local_observations_.contains(server)) return;
    LocalObservations& observations = local_observations_[server];
    advance_buckets(observations, now);
    const auto slot = static_cast<std::size_t>(observations.newest_bucket % LocalObservations::kBuckets);
    ++(health == AttemptHealth::good ? observations.good : observations.bad)[slot];
    observations.has_new_attempt = true;
    observations.has_new_failure = observations.has_new_failure || health == AttemptHealth::bad;
}

// If most servers that this node uses fail, either its own connectivity is at fault or all servers are
// overloaded and none is an outlier. Also drops servers without recent attempts.
bool OutlierExchange::most_servers_failing(double now) {
    std::size_t attempted = 0, failing = 0;
    for (auto it = local_observations_.begin(); it != local_observations_.end();) {
        advance_buckets(it->second, now);
        const int successes = sum(it->second.good), failures = sum(it->second.bad);
        if (successes + failures == 0) {
            it = local_observations_.erase(it);
            continue;
        }
        ++attempted;
        if (failures > successes) ++failing;
        ++it;
    }
    return attempted >= kMinServersForSelfCheck &&
           static_cast<double>(failing) > kSelfCheckBadRatio * static_cast<double>(attempted);
}

// ---- received datagrams ---------------------------------------------------------------------------------

void OutlierExchange::on_datagram(double now, int from, std::string_view bytes) {
    ++counters_.received;
    if (from < 0 || from >= settings_.node_count || from == settings_.node_index)
        return void(++counters_.unknown_senders);
    Datagram d;
    if (!decode(bytes, d) || d.node != from) return void(++counters_.malformed);
    const Membership::HeartbeatResult heartbeat = members_.on_heartbeat(now, from, d.stamp, d.zone);
    if (!heartbeat.accepted) return void(++counters_.stale_incarnations);
    if (heartbeat.delay > kDelayedThreshold) ++counters_.delayed;
    if (heartbeat.new_incarnation) {
        for (auto& [server, record] : server_records_) record.reports.erase(from);
        zone_failover_.on_new_incarnation(from);
        quota_leases_.on_new_incarnation(from);
        pending_grants_.erase(from);  // they were requested by its previous incarnation
    }
    // A peer knows a later incarnation of this node than this one, so the clock was set back. The incarnation
    // must exceed the known one, or the node's datagrams would be discarded.
    if (d.receiver_incarnation > incarnation_ && d.receiver_incarnation < UINT32_MAX - 1)
        incarnation_ = d.receiver_incarnation + 1;
    for (const Heartbeat& relayed : d.heartbeats)
        members_.on_relayed_heartbeat(now, relayed, heartbeat.delay);
    for (const Observation& observation : d.observations)
        store_observation(now, from, d.stamp, d.zone, observation, heartbeat.delay);
    for (const Verdict& verdict : d.verdicts)
        store_verdict(verdict, now - verdict.age - heartbeat.delay, from);
    for (const LeaseRequest& request : d.lease_requests) {
        const LeaseGrant grant = quota_leases_.on_request(now, from, d.stamp.sequence, request);
        if (grant.units > 0 && pending_grants_[from].size() < kMaxLeaseEntriesPerDatagram)
            pending_grants_[from].push_back(grant);
    }
    for (const LeaseGrant& grant : d.lease_grants) {
        if (d.receiver_incarnation == incarnation_) quota_leases_.on_grant(now, from, grant);
    }
    if (settings_.zone_failover && now - last_tick_ <= kProcessPauseThreshold)
        zone_failover_.on_reports(now, from, d.stamp, d.zone_reports, heartbeat.delay);
}

void OutlierExchange::store_observation(double now, int from, const Stamp& stamp, int zone,
                                        const Observation& observation, double delay) {
    if (delay > kObservationLifetime ||
        (server_records_.size() >= kMaxServers && !server_records_.contains(observation.server)))
        return;
    PeerReport& report = server_records_[observation.server].reports[from];
    if (stamp <= report.stamp) return;  // older or a duplicate
    report = {stamp, zone, observation.successes, observation.failures, now - delay};
}

// Relayed verdicts carry no proof, so a node could forge another owner's verdict. A verdict that did not come
// from its owner is held back, neither counted nor relayed, until two nodes have stated it: a single lying
// node cannot confirm it.
void OutlierExchange::store_verdict(const Verdict& verdict, double found_at, int from) {
    if (verdict.owner >= settings_.node_count || verdict.owner == settings_.node_index)
        return;  // the node's own verdicts are authoritative here
    if (tracked_verdicts_.size() >= kMaxServers * kOwnerCandidates &&
        !tracked_verdicts_.contains({verdict.server, verdict.owner}))
        return;
    TrackedVerdict& tracked = tracked_verdicts_[{verdict.server, verdict.owner}];
    const auto same = std::find_if(tracked.statements.begin(), tracked.statements.end(),
                                   [&](const VerdictStatement& statement) {
                                       return statement.from == from && statement.stamp == verdict.stamp &&
                                              statement.bad_zones == verdict.bad_zones;
                                   });
    // The same statement by another route: the earlier time counts, because transit time can go unnoticed but
    // is never overestimated.
    if (same != tracked.statements.end()) {
        same->found_at = std::min(same->found_at, found_at);
    } else {
        tracked.statements.push_back({from, verdict.stamp, verdict.bad_zones, verdict.reporters, found_at});
        const auto newer = [](const VerdictStatement& x, const VerdictStatement& y) {
            return std::tie(x.stamp, x.from, x.bad_zones) > std::tie(y.stamp, y.from, y.bad_zones);
        };
        std::sort(tracked.statements.begin(), tracked.statements.end(), newer);
        int from_sender = 0;
        std::erase_if(tracked.statements, [&](const VerdictStatement& statement) {
            return statement.from == from && ++from_sender > kMaxStatementsPerSender;
        });
        if (tracked.statements.size() > kMaxStatementsPerVerdict)
            tracked.statements.resize(kMaxStatementsPerVerdict);
    }
    tracked.verdict.server = verdict.server;
    tracked.verdict.owner = verdict.owner;
    update_confirmed_verdict(tracked);
}

// Picks the newest verdict that its owner stated here, or that two nodes stated or superseded without a
// change. The result depends only on the statements held, so not on the order of their arrival.
void OutlierExchange::update_confirmed_verdict(TrackedVerdict& tracked) {
    const auto best =
        std::find_if(tracked.statements.begin(), tracked.statements.end(),
                     [&tracked](const VerdictStatement& statement) {  // newest first
                         return statement.from == tracked.verdict.owner ||
                                std::any_of(tracked.statements.begin(), tracked.statements.end(),
                                            [&statement](const VerdictStatement& other) {
                                                return other.from != statement.from &&
                                                       other.bad_zones == statement.bad_zones &&
                                                       other.stamp >= statement.stamp;
                                            });
                     });
    if (best == tracked.statements.end() || (tracked.is_confirmed && best->stamp < tracked.verdict.stamp))
        return;
    double found_at = best->found_at;
    for (const VerdictStatement& statement : tracked.statements) {
        if (statement.stamp == best->stamp && statement.bad_zones == best->bad_zones)
            found_at = std::min(found_at, statement.found_at);
    }
    if (tracked.is_confirmed && best->stamp == tracked.verdict.stamp) {
        tracked.found_at = std::min(tracked.found_at, found_at);
        return;
    }
    if (!tracked.is_confirmed || tracked.verdict.bad_zones != best->bad_zones) tracked.times_sent = 0;
    tracked.verdict.stamp = best->stamp;
    tracked.verdict.bad_zones = best->bad_zones;
    tracked.verdict.reporters = best->reporters;
    tracked.found_at = found_at;
    tracked.is_confirmed = true;
}

// ---- verdicts of this node as an owner ------------------------------------------------------------------

// Rendezvous hashing: all nodes with the same view of the present nodes get the same owners, and a node that
// leaves moves few servers.
std::vector<int> OutlierExchange::rank_owners(ServerKey server) const {
    std::vector<std::pair<std::uint64_t, int>> ranked;
    ranked.reserve(present_nodes_.size());
    for (const int n : present_nodes_)
        ranked.emplace_back(mix(std::uint64_t{server} << 20 ^ static_cast<std::uint64_t>(n)), n);
    const std::size_t count = std::min(kOwnerCandidates, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end());
    std::vector<int> first;
    for (std::size_t i = 0; i < count; ++i) first.push_back(ranked[i].second);
    return first;
}

// The ranking is cached for kReportInterval: a node looks up several dozen servers in each of its eight ticks
// per second.
const std::vector<int>& OutlierExchange::cached_owners(ServerKey server, double now) {
    auto& [ranked_at, owners] = owner_cache_[server];
    if (owners.empty() || now - ranked_at > kReportInterval) {
        ranked_at = now;
        owners = rank_owners(server);
    }
    return owners;
}

// Runs once per tick, because the rest of the tick reads these lists many times.
void OutlierExchange::refresh_present_nodes(double now) {
    present_nodes_ = members_.present_nodes(now);
    nodes_per_zone_.fill(0);
    for (const int n : present_nodes_) {
        const int zone = n == settings_.node_index ? settings_.zone : members_.member(n).zone;
        if (zone >= 0) ++nodes_per_zone_[static_cast<std::size_t>(std::min(zone, kMaxZones - 1))];
    }
}

int OutlierExchange::required_reporters(int zone) const {
    // The zones of nodes that neither spoke to this node nor were relayed with one are unknown; those nodes
    // are assumed to be spread evenly.
    const int nodes = std::max(nodes_per_zone_[static_cast<std::size_t>(std::clamp(zone, 0, kMaxZones - 1))],
                               static_cast<int>(present_nodes_.size()) / std::max(1, settings_.zone_count));
    const int by_ratio = static_cast<int>(std::ceil(kMinReporterRatio * nodes));
    return std::max(by_ratio, std::min(kMinReporters, std::max(2, nodes - 1)));
}

// Estimates the attempts that all nodes of a zone finish on an average server within kObservationWindow, from
// this node's own request rate.
double OutlierExchange::expected_attempts(double now) const {
    const double nodes = static_cast<double>(present_nodes_.size()) / std::max(1, settings_.zone_count);
    return request_rate(now) * kObservationWindow * nodes / std::max(1, servers_in_own_zone_);
}

void OutlierExchange::update_all_verdicts(double now) {
    for (auto it = server_records_.begin(); it != server_records_.end();) {
        std::erase_if(it->second.reports, [now](const auto& entry) {
            return now - entry.second.observed_at > kObservationLifetime;
        });
        update_verdict(now, it->first, it->second);
        const ServerRecord& record = it->second;
        const bool is_obsolete = record.reports.empty() && record.bad_zones == 0 &&
                                 now - std::max(record.recovered_at, record.suspected_at) > kVerdictLifetime;
        it = is_obsolete ? server_records_.erase(it) : std::next(it);
    }
}

bool OutlierExchange::is_found_by_other_owner(ServerKey server, int zone, double now) const {
    for (auto it = tracked_verdicts_.lower_bound({server, -1});
         it != tracked_verdicts_.end() && it->first.first == server; ++it) {
        const bool is_current = it->second.is_confirmed && now - it->second.found_at <= kVerdictLifetime;
        if (is_current && it->first.second != settings_.node_index &&
            (it->second.verdict.bad_zones & bit(zone)) != 0)
            return true;
    }
    return false;
}

// NOLINTNEXTLINE(readability-function-cognitive-complexity): see ROADMAP
void OutlierExchange::update_verdict(double now, ServerKey server, ServerRecord& record) {
    struct Sum {
        int reporters = 0, good = 0, bad = 0;
        std::vector<std::pair<double, bool>> newest;  // age, and whether the report is bad
    };
    std::map<int, Sum> zones;
    for (const auto& [node, report] : record.reports) {
        Sum& sum = zones[report.zone];
        if (report.bad > report.good) ++sum.reporters;
        if (report.bad + report.good > 0)
            sum.newest.emplace_back(now - report.observed_at, report.bad > report.good);
        sum.good += std::min(report.good, kMaxCountedAttempts);
        sum.bad += std::min(report.bad, kMaxCountedAttempts);
    }
    std::uint32_t bad_zones = 0;
    record.reporters = 0;
    int reporters = 0;
    for (const auto& [zone, sum] : zones) reporters += sum.reporters;
    for (auto& [zone, sum] : zones) {
        // An ejected server gets few attempts, so the newest reports decide whether it is still bad.
        std::sort(sum.newest.begin(), sum.newest.end());
        if (sum.newest.size() > kNewestReports) sum.newest.resize(kNewestReports);
        const auto newest_bad = std::count_if(sum.newest.begin(), sum.newest.end(),
                                              [](const auto& entry) { return entry.second; });
        const bool is_still_bad = 2 * newest_bad > static_cast<std::ptrdiff_t>(sum.newest.size());
        // After another owner's verdict, only a few nodes still report to this owner, so two are enough.
        const bool was_bad = (record.bad_zones & bit(zone)) != 0;
        const bool agrees_with_owner = !was_bad && sum.reporters >= kMinAgreeing &&
                                       sum.bad >= kFailureSuccessRatio * sum.good &&
                                       is_found_by_other_owner(server, zone, now);
        // Nodes report successes only for watched servers, and admission limits let few attempts go to a
        // failing server. A few failures may therefore be noise among many unreported successes, or all the
        // attempts there were; watching the server tells which. Reporters of all zones count together if two
        // of them are in this zone.
        const bool looks_bad = sum.reporters >= kMinLocalReporters && reporters >= required_reporters(zone) &&
                               sum.bad >= kFailureSuccessRatio * sum.good;
        if (looks_bad && now - record.suspected_at > kSuspicionLifetime) record.watched_since = now;
        if (looks_bad) record.suspected_at = now;
        const bool is_certain = sum.bad >= kImmediateFailureRatio * expected_attempts(now) ||
                                now - record.watched_since >= kWatchDuration;
        const bool is_bad = was_bad || agrees_with_owner ? is_still_bad : looks_bad && is_certain;
        if (!is_bad) continue;
        bad_zones |= bit(zone);
        record.reporters += sum.reporters;
    }
    const bool changed = bad_zones != record.bad_zones;
    if (changed && bad_zones == 0) record.recovered_at = now;
    record.bad_zones = bad_zones;
    const bool must_state =
        bad_zones != 0 ||
        now - std::max(record.recovered_at, record.suspected_at + kSuspicionLifetime - kVerdictLifetime) <=
            kVerdictLifetime;
    if (!must_state || (!changed && now - record.last_stated < kReportInterval)) return;
    record.last_stated = now;
    TrackedVerdict& tracked = tracked_verdicts_[{server, settings_.node_index}];
    if (changed || tracked.verdict.stamp.sequence == 0) tracked.times_sent = 0;
    const auto ticks = static_cast<std::uint32_t>((now - started_at_) / kTickSeconds) + 1;
    tracked.verdict = {server, settings_.node_index, {incarnation_, ticks}, bad_zones, record.reporters, 0};
    tracked.found_at = now;
    tracked.is_confirmed = true;
}

// At least two owners of the server must find it bad, and more than find it healthy: a single one may be
// wrong or lie.
bool OutlierExchange::is_corroborated(ServerKey server, double now) {
    int bad = 0, healthy = 0;
    for (const int owner : cached_owners(server, now)) {
        const auto it = tracked_verdicts_.find({server, owner});
        if (it == tracked_verdicts_.end() || !it->second.is_confirmed ||
            now - it->second.found_at > kVerdictLifetime)
            continue;
        // A verdict of an earlier incarnation is void: the owner has lost the reports behind it.
        if (owner != settings_.node_index &&
            it->second.verdict.stamp.incarnation < members_.member(owner).incarnation)
            continue;
        ++((it->second.verdict.bad_zones & bit(settings_.zone)) != 0 ? bad : healthy);
    }
    return bad >= kMinAgreeing && bad > healthy;
}

std::vector<OutlierExchange::ServerVerdict> OutlierExchange::verdicts(double now) {
    std::vector<ServerVerdict> all;
    const double nodes = static_cast<double>(present_nodes_.size()) / std::max(1, settings_.zone_count);
    ServerKey last = 0;
    bool first = true;
    for (const auto& [key, tracked] : tracked_verdicts_) {
        if (!first && key.first == last) continue;
        first = false;
        last = key.first;
        if (now < doubts_until_ || !is_corroborated(key.first, now)) continue;
        ActiveVerdict& active = active_verdicts_[key.first];
        if (active.last_corroborated < 0) active.since = now;
        active.last_corroborated = now;
        all.push_back({key.first, true, std::max(kMinProbeInterval, nodes / kProbesPerSecond)});
    }
    for (auto it = active_verdicts_.begin(); it != active_verdicts_.end();) {
        if (it->second.last_corroborated == now) {
            ++it;
            continue;
        }
        all.push_back({it->first, false, 0});
        it = active_verdicts_.erase(it);
    }
    return all;
}

// ---- sent datagrams -------------------------------------------------------------------------------------

double OutlierExchange::request_rate(double now) const {
    // Counts complete seconds only. The current second is still running, and slots more than eight seconds
    // old have been reused.
    const auto second = static_cast<std::int64_t>(now);
    int sum = 0, seconds = 0;
    for (std::int64_t past = std::max<std::int64_t>(second - 7, static_cast<std::int64_t>(started_at_));
         past < second; ++past, ++seconds) {
        if (past <= newest_arrival_second_ && past > newest_arrival_second_ - 8)
            sum += arrivals_[static_cast<std::size_t>(past % 8)];
    }
    return seconds == 0 ? 0 : static_cast<double>(sum) / seconds;
}

double OutlierExchange::byte_rate_limit(double now) const {
    if (settings_.price <= 0) return settings_.max_bytes_per_second;
    const double affordable = settings_.max_price_ratio / settings_.price * 256 * request_rate(now);
    return std::clamp(affordable, std::min(kMinBytesPerSecond, settings_.max_bytes_per_second),
                      settings_.max_bytes_per_second);
}

std::vector<Outgoing> OutlierExchange::tick(double now, double wall) {
    std::vector<Outgoing> out;
    detect_process_pause(now);
    refresh_present_nodes(now);
    if (now - started_at_ >
        // The sequence numbers would wrap around, so a new incarnation begins.
        kMaxIncarnationSeconds) {
        ++incarnation_;
        started_at_ = now;
        last_sequence_ = 0;
    }
    const double byte_rate = byte_rate_limit(now);
    // Reports and gossip get half of the bytes each, so that neither starves the other.
    const double added = (now - budgets_filled_at_) * byte_rate / 2;
    budgets_filled_at_ = now;
    const double max_budget =
        std::max(byte_rate / 2 * kBudgetBurstSeconds, static_cast<double>(kMaxDatagramBytes));
    report_budget_ = std::min(report_budget_ + added, max_budget);
    gossip_budget_ = std::min(gossip_budget_ + added, max_budget);
    extra_budget_ =
        // For zone reports and quota messages, which are sent only in unusual conditions.
        std::min(extra_budget_ + added, max_budget);
    for (auto& [key, tracked] : tracked_verdicts_) {
        std::erase_if(tracked.statements, [now](const VerdictStatement& statement) {
            return now - statement.found_at > kVerdictLifetime;
        });
        if (now - tracked.found_at > kVerdictLifetime) tracked.is_confirmed = false;
    }
    std::erase_if(tracked_verdicts_, [](const auto& entry) {
        return !entry.second.is_confirmed && entry.second.statements.empty();
    });
    std::erase_if(owner_cache_,
                  [now](const auto& entry) { return now - entry.second.first > kMaxEvidenceAge; });
    if (settings_.node_count > 1) {
        send_reports(now, out);
        update_all_verdicts(now);
        send_gossip(now, out);
        send_quota_messages(now, out);
    }
    if (settings_.zone_failover)
        // Also in a single-node fleet: an operator can drain a zone there too.
        send_zone_reports(now, wall, out);
    return out;
}

// Answers lease requests of other nodes before sending its own. If a grant is lost, the lease expires at both
// ends.
void OutlierExchange::send_quota_messages(double now, std::vector<Outgoing>& out) {
    for (auto& [to, grants] : std::exchange(pending_grants_, {})) {
        Datagram d = make_datagram(to, now);
        d.lease_grants = std::move(grants);
        send(to, std::move(d), extra_budget_, out);
    }
    std::vector<int> others = present_nodes_;
    std::erase(others, settings_.node_index);
    std::map<int, std::vector<LeaseRequest>> requests;
    std::set<int> renewed_with;
    for (const QuotaLeases::OutgoingRequest& outgoing : quota_leases_.tick(now, others, random_fraction())) {
        if (requests[outgoing.to].size() < kMaxLeaseEntriesPerDatagram)
            requests[outgoing.to].push_back(outgoing.request);
        if (outgoing.is_renewal) renewed_with.insert(outgoing.to);
    }
    // If the byte budget is short, renewals go before requests for additional leases.
    std::vector<int> order;
    for (const auto& [to, entries] : requests) order.push_back(to);
    std::stable_partition(order.begin(), order.end(),
                          [&renewed_with](int to) { return renewed_with.contains(to); });
    for (const int to : order) {
        Datagram d = make_datagram(to, now);
        d.lease_requests = requests[to];
        const std::uint32_t sequence = d.stamp.sequence;
        if (!send(to, std::move(d), extra_budget_, out)) continue;
        for (const LeaseRequest& request : requests[to])
            quota_leases_.on_request_sent(to, request, sequence, now);
    }
}

// Sends reports on zones that are not healthy directly to the voters: urgent ones at once to some chosen at
// random, replies to nodes that reported otherwise, and unchanged ones periodically.
void OutlierExchange::send_zone_reports(double now, double wall, std::vector<Outgoing>& out) {
    voters_.clear();
    for (const int n : present_nodes_) {
        if (n == settings_.node_index || members_.member(n).zone == settings_.zone) voters_.push_back(n);
    }
    if (voters_.size() < kMinZoneVoters) voters_ = present_nodes_;
    const std::vector<ZoneFailover::Change> changed = zone_failover_.tick(
        now, voters_, static_cast<std::int64_t>(wall / ZoneFailover::probe_turn_length()));
    pending_zone_changes_.insert(pending_zone_changes_.end(), changed.begin(), changed.end());
    const std::vector<int> replies = zone_failover_.replies_due();
    if (!zone_failover_.has_unhealthy_zone(now) && zone_failover_.urgent_reports() == 0 && replies.empty())
        return;
    const auto send_to = [&](int to) { return send(to, make_datagram(to, now), extra_budget_, out); };
    for (const int to : replies) send_to(to);
    if (voters_.size() < 2 ||
        (zone_failover_.urgent_reports() == 0 && now - last_zone_report_ < kZoneReportInterval))
        return;
    for (int n = 0;
         n < (zone_failover_.urgent_reports() > kManyUrgentZoneReports ? kMaxUrgentZoneReportsPerTick
              : zone_failover_.urgent_reports() > 0                    ? kUrgentZoneReportsPerTick
                                                                       : 1);
         ++n) {
        const auto index =
            static_cast<std::size_t>(random_fraction() * static_cast<double>(voters_.size() - 1));
        if (!send_to(voters_[index] == settings_.node_index ? voters_.back() : voters_[index])) return;
        last_zone_report_ = now;
        zone_failover_.on_report_sent();
    }
}

std::vector<ZoneFailover::View> OutlierExchange::zone_views(double now) const {
    std::vector<ZoneFailover::View> all;
    for (int z = 0; z < std::min(settings_.zone_count, kMaxZones); ++z)
        all.push_back(zone_failover_.view(now, z, voters_));
    return all;
}

Datagram OutlierExchange::make_datagram(int to, double now) {
    Datagram d;
    d.node = settings_.node_index;
    last_sequence_ =
        std::max(last_sequence_ + 1, static_cast<std::uint32_t>((now - started_at_) / kTickSeconds) + 1);
    d.stamp = {incarnation_, last_sequence_};
    d.zone = settings_.zone;
    d.receiver_incarnation = members_.member(to).incarnation;
    if (settings_.zone_failover)
        // In every datagram: a zone without a report is healthy.
        d.zone_reports = zone_failover_.reports(now);
    return d;
}

bool OutlierExchange::send(int to, Datagram&& datagram, double& budget, std::vector<Outgoing>& out) {
    std::string bytes = encode(datagram);
    if (bytes.size() > kMaxDatagramBytes || budget < static_cast<double>(bytes.size())) return false;
    budget -= static_cast<double>(bytes.size());
    ++counters_.sent;
    counters_.sent_bytes += bytes.size();
    out.push_back({to, std::move(bytes)});
    return true;
}

// Sends this node's failures to the owners of each server. For servers that are found bad, or were recently,
// sends all observations: those few probes are the evidence for ending the ejection.
void OutlierExchange::send_reports(double now, std::vector<Outgoing>& out) {
    const bool is_muted = most_servers_failing(now);
    if (now < doubts_until_) return;
    if (is_muted) return void(++counters_.self_muted);
    std::map<int, std::vector<ServerKey>> servers_by_owner;
    for (auto& [server, observations] : local_observations_) {
        if (now - observations.last_reported < kReportInterval || !observations.has_new_attempt) continue;
        const auto first_verdict = tracked_verdicts_.lower_bound({server, -1});
        // Any verdict in circulation makes the server watched, also an unconfirmed one: all it causes is
        // reporting.
        const bool is_watched =
            first_verdict != tracked_verdicts_.end() && first_verdict->first.first == server;
        if (!observations.has_new_failure && !is_watched) continue;
        const std::vector<int>& owners = cached_owners(server, now);
        for (std::size_t rank = 0; rank < std::min(kOwnersPerServer, owners.size()); ++rank)
            servers_by_owner[owners[rank]].push_back(server);
    }
    std::map<ServerKey, bool> reported;
    for (const auto& [owner, servers] : servers_by_owner) {
        // About 13 bytes each after a header of about 30; what does not fit waits for the next tick.
        constexpr std::size_t kMaxObservationsPerDatagram = 14;
        Datagram d = make_datagram(owner, now);
        for (std::size_t i = 0; i < std::min(servers.size(), kMaxObservationsPerDatagram); ++i) {
            LocalObservations& observations = local_observations_[servers[i]];
            advance_buckets(observations, now);
            d.observations.push_back({servers[i], sum(observations.good), sum(observations.bad)});
        }
        const std::vector<Observation> sent = d.observations;
        if (owner == settings_.node_index) {
            for (const Observation& observation : sent)
                store_observation(now, owner, d.stamp, settings_.zone, observation, 0);
        } else if (!send(owner, std::move(d), report_budget_, out)) {
            continue;
        }
        for (const Observation& observation : sent) reported[observation.server] = true;
    }
    for (const auto& [server, is_reported] : reported) {
        LocalObservations& observations = local_observations_[server];
        observations.last_reported = now;
        observations.has_new_failure = observations.has_new_attempt = false;
    }
}

// Sends heartbeats and verdicts to a random node, least-sent verdicts first. Everything that is current is
// repeated with its age, so that losses repair themselves and what is no longer repeated expires.
void OutlierExchange::send_gossip(double now, std::vector<Outgoing>& out) {
    // A changed verdict does not wait for kGossipInterval: it goes out on each tick until it was sent a few
    // times.
    const bool has_urgent_verdict =
        std::any_of(tracked_verdicts_.begin(), tracked_verdicts_.end(), [this](const auto& entry) {
            return entry.second.is_confirmed &&
                   entry.second.times_sent <
                       (entry.first.second == settings_.node_index ? kOwnSendLimit : kUrgentRelayedSendLimit);
        });
    if (!has_urgent_verdict && now - last_gossip_ < kGossipInterval * (0.75 + 0.5 * random_fraction()))
        return;
    std::vector<int> others = present_nodes_;
    std::erase(others, settings_.node_index);
    int to = -1;
    const bool has_just_started = now - started_at_ < members_.dead_after();  // few nodes are known yet
    if (has_just_started ||
        random_fraction() < std::max(kAnyNodeGossipRatio, 1.0 / static_cast<double>(present_nodes_.size()))) {
        const int random_node = static_cast<int>(random_fraction() * (settings_.node_count - 1));
        to = random_node >= settings_.node_index ? random_node + 1 : random_node;
    } else {
        to = others[static_cast<std::size_t>(random_fraction() * static_cast<double>(others.size()))];
    }
    Datagram d = make_datagram(to, now);
    d.heartbeats = members_.freshest(now, kMaxHeartbeatsPerDatagram);
    std::vector<TrackedVerdict*> candidates;
    for (auto& [key, tracked] : tracked_verdicts_) {
        if (tracked.is_confirmed) candidates.push_back(&tracked);
    }
    constexpr std::size_t kMaxVerdictBytes =
        // Bytes of an encoded verdict; larger only with numbers that no fleet reaches.
        22;
    const std::size_t max_verdicts =
        (kMaxDatagramBytes - std::min(kMaxDatagramBytes, encode(d).size() + 4)) / kMaxVerdictBytes;
    const auto end =
        candidates.begin() + static_cast<std::ptrdiff_t>(std::min(max_verdicts, candidates.size()));
    std::partial_sort(candidates.begin(), end, candidates.end(),
                      [&](const TrackedVerdict* a, const TrackedVerdict* b) {
                          const auto send_priority =
                              // Own verdicts keep their priority longer: they are confirmed at once only when
                              // received from the owner.
                              [this](const TrackedVerdict* tracked) {
                                  return tracked->verdict.owner == settings_.node_index
                                             ? std::max(0, std::min(tracked->times_sent, kOwnSendLimit) -
                                                               kOwnSendLimit + kRelayedSendLimit)
                                             : std::min(tracked->times_sent, kRelayedSendLimit);
                              };
                          const int x = send_priority(a), y = send_priority(b);
                          return x != y ? x < y : a->found_at > b->found_at;
                      });
    candidates.erase(end, candidates.end());
    for (const TrackedVerdict* tracked : candidates) {
        d.verdicts.push_back(tracked->verdict);
        d.verdicts.back().age = now - tracked->found_at;
    }
    if (!send(to, std::move(d), gossip_budget_, out)) return;
    last_gossip_ = now;
    for (TrackedVerdict* tracked : candidates) ++tracked->times_sent;
}

// ---- state for operators --------------------------------------------------------------------------------

GossipState OutlierExchange::state(double now) const {
    GossipState s;
    for (int n = 0; n < members_.count(); ++n) {
        s.members.emplace_back(n, n == settings_.node_index ? MemberState::alive : members_.state(n, now));
        s.ages.push_back(n == settings_.node_index ? 0 : members_.age(n, now));
        s.incarnations.push_back(n == settings_.node_index ? incarnation_ : members_.member(n).incarnation);
    }
    for (const auto& [server, record] : server_records_) {
        s.observations_held += record.reports.size();
        for (const auto& [node, report] : record.reports)
            s.oldest_observation = std::max(s.oldest_observation, now - report.observed_at);
    }
    for (const auto& [key, tracked] : tracked_verdicts_) {
        if (!tracked.is_confirmed) continue;
        if (s.verdicts.empty() || s.verdicts.back().server != key.first) {
            const auto active = active_verdicts_.find(key.first);
            s.verdicts.push_back({key.first,
                                  active != active_verdicts_.end(),
                                  active == active_verdicts_.end() ? 0 : now - active->second.since,
                                  {}});
        }
        s.verdicts.back().sources.push_back(
            {key.second, tracked.verdict.bad_zones, tracked.verdict.reporters, now - tracked.found_at});
    }
    s.doubts_own_connectivity = now < doubts_until_;
    s.bytes_per_second = byte_rate_limit(now);
    s.counts = counters_;
    return s;
}

}  // namespace brookrelay::gossip
