#!/usr/bin/env bash
# Mutation test of src/gossip: plants one mistake at a time in a copy of its sources and checks that the test named
# beside the mistake fails. A test that cannot fail proves nothing.
# Usage: planted.sh ROOT BUILD COMPILER
set -u
root=$1 build=$2 compiler=$3
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
flags=(-std=c++20 -O1 -I"$root/src")
test_object() { find "$build/tests/CMakeFiles/$1_test.dir" -name "$1_test.cpp.o" | head -n 1; }

# FILE ~ original text (a fixed string, found in exactly one line) ~ replacement ~ the test that must fail
mistakes=(
'outlier_exchange.cpp~if (stamp <= report.stamp) return;  // older or a duplicate~(void)0;~Merge.AnOlderReportNeverReplacesANewerOne'
'outlier_exchange.cpp~if (stamp <= report.stamp) return;  // older or a duplicate~report.good += observation.successes, report.bad += observation.failures, report.stamp = stamp, report.observed_at = now; return;~Merge.RepeatedReportsAreNotSummed'
'membership.cpp~result.new_incarnation = stamp.incarnation != member.incarnation;~result.new_incarnation = false;~Merge.ReportsOfAnEarlierIncarnationAreDropped'
'membership.cpp~if (stamp.incarnation < member.incarnation && now - member.last_heard < dead_after_) return result;~(void)0;~Merge.ReportsOfAnEarlierIncarnationAreDropped'
'outlier_exchange.cpp~incarnation_ = d.receiver_incarnation + 1;~(void)0;~Merge.ARestartedNodeWhoseClockWasSetBackIsAcceptedAgain'
'membership.cpp~result.delay = clock_offset - member.min_clock_offset;~result.delay = 0;~Merge.AgesAddUpAndAResumedNodeTreatsNoOldReportAsNew'
'outlier_exchange.cpp~found_at = std::min(found_at, statement.found_at);~(void)0;~Merge.AnyOrderAndDuplicationGiveOneResult'
'outlier_exchange.cpp~constexpr int kMinAgreeing = 2;~constexpr int kMinAgreeing = 1;~Fleet.AFalseVerdictOfASingleOwnerIsNotConfirmed'
'outlier_exchange.cpp~return std::max(by_ratio, std::min(kMinReporters, std::max(2, nodes - 1)));~return 1;~Merge.TwoReportersOfFourNodesAreTooFewHoweverManyFailures'
'outlier_exchange.cpp~doubts_until_ = now + kDoubtDuration;~(void)0;~Fleet.AResumedNodeActsOnNoOutdatedVerdict'
'outlier_exchange.cpp~now - record.watched_since >= kWatchDuration;~false;~Fleet.FindsABadServerThatGetsFewAttempts'
'outlier_exchange.cpp~return attempted >= kMinServersForSelfCheck &&~return false &&~Fleet.ANodeWithBadConnectivityReportsNothing'
'outlier_exchange.cpp~bad_zones |= bit(zone);~bad_zones |= 0xffU;~Fleet.AServerBadForOneZoneIsEjectedByThatZoneOnly'
'outlier_exchange.cpp~return statement.from == from && statement.stamp == verdict.stamp &&~return statement.from == from || false &&~Merge.AnyOrderAndDuplicationGiveOneResult'
'outlier_exchange.cpp~return other.from != statement.from &&~return~Fleet.ForgedVerdictsOfOtherOwnersChangeNoVerdict'
'zone_failover.cpp~kProbersPerZone;~100000;~ZoneFleet.DrainsALostZoneAndRestoresItWithinTheBounds'
'zone_failover.cpp~return votes.unreachable >= quorum(zone, voters, now) &&~return votes.unreachable >= 1 || false &&~Zones.AreDrainedByAQuorumButNotAgainstTheNodesOwnAnswer'
'zone_failover.cpp~const ZoneObservation observation = is_outdated ? ZoneObservation::nothing : reported;~const ZoneObservation observation = reported;~Zones.ReportsFromBeforeTheDrainDoNotRestore'
'zone_failover.cpp~if (is_same_domain && records_[z].step == kStepDrained)~if (false)~Zones.TwoReportsSufficeInAFailureDomainWithADrainedZone'
'zone_failover.cpp~enter_step(zone, record.step - 1, now);~(void)0;~Zones.ARestoreHoldsWhileStrainedAndStepsBackWhenManyPeersAre'
'zone_failover.cpp~return now - record.step_since >= wait && 2 * votes.at_or_above >= votes.reporters;~return now - record.step_since >= wait;~Zones.ARestoreStaysWithinOneStepOfThePeers'
'zone_failover.cpp~if (now - record.last_answer <= kAnswerLifetime && observe(zone, now) != ZoneObservation::unreachable)~if (false)~Zones.AreDrainedByAQuorumButNotAgainstTheNodesOwnAnswer'
'zone_failover.cpp~report.relapses, now - delay};~report.relapses, now};~Zones.OldDuplicateAndLateReportsDoNotCount'
'zone_failover.cpp~if (stamp <= stored.stamp) continue;~(void)0;~Zones.OldDuplicateAndLateReportsDoNotCount'
'zone_failover.cpp~return asked > 1 && asked == silent;~return false;~Zones.NoZoneIsReportedWhenAllZonesAreSilent'
'zone_failover.cpp~if (is_silent_run && now - record.last_answer > min_silence &&~if (is_silent_run &&~ZoneFleet.AZoneWhereSomeServersAnswerIsNotDrained'
'zone_failover.cpp~if (voters.size() < 2) {  // without peers~if (voters.empty()) {  // without peers~ZoneFleet.ANodeWithoutPeersUsesAllZonesInFull'
'zone_failover.cpp~const int step = record.set_by_operator ? kStepHealthy : record.step;~const int step = record.step;~Zones.AnOperatorsDrainAndRestoreUseTheSameSteps'
'zone_failover.cpp~if (now - started_at_ <= kStartupPeriod &&~if (false &&~ZoneFleet.ANodeStartedOrResumedDuringARestoreAdoptsThePeersStep'
'zone_failover.cpp~const double pause = record.relapses == 0 ? 0 : kRelapsePause * std::exp2(record.relapses);~const double pause = 0;~ZoneFleet.AFlappingZoneIsRestoredAfterGrowingPauses'
'quota_leases.cpp~now - started_at_ < kLeaseDuration * kLenderTimeFactor ? max_lent_units_ : 0;~0;~LimitsExplorer.EveryOrderOfFaultsKeepsToTheTotalAndLosesNoUnits'
'quota_leases.cpp~const double expires_at = pending.sent_at + kLeaseDuration;~const double expires_at = now + kLeaseDuration;~LimitsExplorer.EveryOrderOfFaultsKeepsToTheTotalAndLosesNoUnits'
'quota_leases.cpp~state.lent[from].push_back({grant.units, now + kLeaseDuration * kLenderTimeFactor});~state.lent[from].push_back({grant.units, now + kLeaseDuration / 2});~LimitsExplorer.EveryOrderOfFaultsKeepsToTheTotalAndLosesNoUnits'
'quota_leases.cpp~max_units = std::max(max_units, lease.units);~max_units += lease.units;~Limits.DuplicateLateUnrequestedAndExcessiveGrantsAddNothing'
'quota_leases.cpp~std::min({grant.units, pending.units, max_lent_units_})~grant.units~Limits.DuplicateLateUnrequestedAndExcessiveGrantsAddNothing'
'quota_leases.cpp~if (match == pending_.end()) return;  // never requested~if (match == pending_.end()) { quotas_[grant.quota].borrowed[from].push_back({grant.units, now + kLeaseDuration}); return; }  // never requested~Limits.DuplicateLateUnrequestedAndExcessiveGrantsAddNothing'
'quota_leases.cpp~if (latest_expiry(node_leases) - now >= kRenewBefore || renewed_units < 1) continue;~continue;~LimitsFleet.FollowsAMovingDemandWithinTheTotal'
'quota_leases.cpp~if (held >= max_lent_units_ ||~if (lender != state.borrowed.end() ||~LimitsFleet.FollowsADemandThatGrowsSlowly'
'outlier_exchange.cpp~if (d.receiver_incarnation == incarnation_) quota_leases_.on_grant~quota_leases_.on_grant~LimitsFleet.AGrantToAnEarlierIncarnationIsIgnored'
'fleet_quotas.cpp~return position - std::floor(position);~return 0;~FleetQuotas.AServerInSlowStartGetsTheFleetTotalFromTheFirstSecond'
'fleet_quotas.cpp~state->second.bucket.spend();~(void)0;~FleetQuotas.SlowStartAttemptsWithoutATokenAreChargedLater'
'fleet_quotas.cpp~1 + static_cast<int>((totals_.connections_per_server - node_count_) * share)~1 + static_cast<int>(totals_.connections_per_server * share)~FleetQuotas.ConnectionsOfAllNodesStayWithinTheTotal'
'quota_leases.cpp~tokens_ + std::max(now - filled_at_, 0.0) * rate, capacity);~tokens_ + std::max(now - filled_at_, 0.0) * rate, 1e9);~TokenBucket.SavesAtMostAQuarterSecondOfTokensHoweverLongItWasIdle'
'outlier_exchange.cpp~if (has_just_started ||~if (present_nodes_.size() < 2 || random_fraction() < kAnyNodeGossipRatio || false &&~Fleet.MembershipConvergesAfterASimultaneousStartAndAPartition'
)

try() {
    local number=$1 line=$2 file original replacement name dir suite=exchange
    IFS='~' read -r file original replacement name <<<"$line"
    [[ $name == Zone* ]] && suite=zones
    [[ $name == Limits* || $name == FleetQuotas* || $name == TokenBucket* ]] && suite=limits
    dir=$work/$number
    mkdir -p "$dir/gossip"
    cp "$root"/src/gossip/* "$dir/gossip"
    ORIGINAL=$original REPLACEMENT=$replacement awk '
        { at = index($0, ENVIRON["ORIGINAL"])
          if (at) { $0 = substr($0, 1, at - 1) ENVIRON["REPLACEMENT"] substr($0, at + length(ENVIRON["ORIGINAL"])); n++ }
          print }
        END { exit n == 1 ? 0 : 1 }' "$root/src/gossip/$file" >"$dir/gossip/$file" ||
        { echo "mistake $number: expected exactly one line of $file with the text: $original"; return 1; }
    "$compiler" -I"$dir" "${flags[@]}" -o "$dir/test" "$dir"/gossip/*.cpp "$(test_object "$suite")" -lgtest -lgtest_main -lpthread \
        2>"$dir/output" || { echo "mistake $number: the changed source does not build:"; head -n 5 "$dir/output"; return 1; }
    if timeout 60 "$dir/test" --gtest_filter="$name" >"$dir/output" 2>&1; then
        echo "mistake $number ($replacement in place of: $original): not found, $name passes"
        return 1
    fi
    grep -q '1 FAILED TEST' "$dir/output" || { echo "mistake $number: $name did not run to completion"; return 1; }
    echo "mistake $number found by $name"
}

pids=()
for i in "${!mistakes[@]}"; do
    try "$i" "${mistakes[$i]}" &
    pids+=($!)
    [ $(((i + 1) % 4)) -ne 0 ] || wait "${pids[@]: -4}"
done
failed=0
for pid in "${pids[@]}"; do wait "$pid" || failed=$((failed + 1)); done
echo "$((${#mistakes[@]} - failed)) of ${#mistakes[@]} planted mistakes found"
[ "$failed" -eq 0 ]
