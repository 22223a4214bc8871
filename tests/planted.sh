#!/usr/bin/env bash
# Plants one mistake at a time in a copy of src/gossip and looks that the test named beside it finds it: a test that
# cannot fail shows nothing. planted.sh ROOT BUILD COMPILER
set -u
root=$1 build=$2 compiler=$3
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
flags=(-std=c++20 -O1 -I"$root/src")
test_object() { find "$build/tests/CMakeFiles/$1_test.dir" -name "$1_test.cpp.o" | head -n 1; }

# FILE ~ what stands there (a fixed text) ~ what is planted ~ the test that must fail
mistakes=(
'outlier_exchange.cpp~if (stamp <= report.stamp) return;  // older or a duplicate~(void)0;~Merge.AnOlderWordNeverWins'
'outlier_exchange.cpp~if (stamp <= report.stamp) return;  // older or a duplicate~report.good += observation.successes, report.bad += observation.failures, report.stamp = stamp, report.observed_at = now; return;~Merge.WordsSaidAgainAreNotSummed'
'membership.cpp~result.new_incarnation = stamp.incarnation != member.incarnation;~result.new_incarnation = false;~Merge.WordsOfADeadLifeAreVoid'
'membership.cpp~if (stamp.incarnation < member.incarnation && now - member.last_heard < dead_after_) return result;~(void)0;~Merge.WordsOfADeadLifeAreVoid'
'outlier_exchange.cpp~incarnation_ = d.receiver_incarnation + 1;~(void)0;~Merge.AStartedNodeWhoseClockWasSetBackIsHeardAgain'
'membership.cpp~result.delay = clock_offset - member.min_clock_offset;~result.delay = 0;~Merge.AgesAddUpAndANodeThatStoodStillTakesNoOldNewsForNew'
'outlier_exchange.cpp~found_at = std::min(found_at, statement.found_at);~(void)0;~Merge.AnyOrderLossMadeGoodAndDoublingGiveOneResult'
'outlier_exchange.cpp~constexpr int kMinAgreeing = 2;~constexpr int kMinAgreeing = 1;~Fleet.ALyingKeeperAloneIsNotBelieved'
'outlier_exchange.cpp~return std::max(by_ratio, std::min(kMinReporters, std::max(2, nodes - 1)));~return 1;~Merge.TwoVoicesOfFourNodesAreNotEnoughHoweverLoud'
'outlier_exchange.cpp~doubts_until_ = now + kDoubtDuration;~(void)0;~Fleet.AFrozenNodeActsOnNothingOldWhenItWakes'
'outlier_exchange.cpp~now - record.watched_since >= kWatchDuration;~false;~Fleet.FindsABadCacheThatGatesLetLittleTo'
'outlier_exchange.cpp~return attempted >= kMinServersForSelfCheck &&~return false &&~Fleet.ANodeWhoseOwnWayIsBadSaysNothing'
'outlier_exchange.cpp~bad_zones |= bit(zone);~bad_zones |= 0xffU;~Fleet.ACacheBadForOneZoneOnlyIsLeftByThatZoneAlone'
'outlier_exchange.cpp~return statement.from == from && statement.stamp == verdict.stamp &&~return statement.from == from || false &&~Merge.AnyOrderLossMadeGoodAndDoublingGiveOneResult'
'outlier_exchange.cpp~return other.from != statement.from &&~return~Fleet.ANodeThatMakesUpOthersFindingsMovesNobody'
'zone_failover.cpp~kProbersPerZone;~100000;~ZoneFleet.LeavesALostZoneAndTakesItBackWithinItsBounds'
'zone_failover.cpp~return votes.unreachable >= quorum(zone, voters, now) &&~return votes.unreachable >= 1 || false &&~Zones.AreLeftByEnoughWordsAndNeverAgainstAnOwnAnswer'
'zone_failover.cpp~const ZoneObservation observation = is_outdated ? ZoneObservation::nothing : reported;~const ZoneObservation observation = reported;~Zones.WordsOfBeforeItWasLeftDoNotTakeItBack'
'zone_failover.cpp~if (is_same_domain && records_[z].step == kStepDrained)~if (false)~Zones.OfARegionOfWhichOneIsLeftTwoWordsAreEnough'
'zone_failover.cpp~enter_step(zone, record.step - 1, now);~(void)0;~Zones.HoldTheRampWhileStrainedAndGoBackAStepWhenManyAre'
'zone_failover.cpp~return now - record.step_since >= wait && 2 * votes.at_or_above >= votes.reporters;~return now - record.step_since >= wait;~Zones.NoneGoesOnBeforeTheOthers'
'zone_failover.cpp~if (now - record.last_answer <= kAnswerLifetime && observe(zone, now) != ZoneObservation::unreachable)~if (false)~Zones.AreLeftByEnoughWordsAndNeverAgainstAnOwnAnswer'
'zone_failover.cpp~report.relapses, now - delay};~report.relapses, now};~Zones.OldDoubledAndLateWordsDoNotCount'
'zone_failover.cpp~if (stamp <= stored.stamp) continue;~(void)0;~Zones.OldDoubledAndLateWordsDoNotCount'
'zone_failover.cpp~return asked > 1 && asked == silent;~return false;~Zones.WhereNothingAnswersAnywhereTheOwnWayIsAtFault'
'zone_failover.cpp~if (is_silent_run && now - record.last_answer > min_silence &&~if (is_silent_run &&~ZoneFleet.AZoneWhereSomethingAnswersIsNotLeft'
'zone_failover.cpp~if (voters.size() < 2) {  // without peers~if (voters.empty()) {  // without peers~ZoneFleet.WhoHearsNobodyDoesWhatANodeDoesAlone'
'zone_failover.cpp~const int step = record.set_by_operator ? kStepHealthy : record.step;~const int step = record.step;~Zones.ByHandAreLeftAndTakenBackThroughTheSameSteps'
'zone_failover.cpp~if (now - started_at_ <= kStartupPeriod &&~if (false &&~ZoneFleet.StartedOrWokenInTheMiddleOfARampANodeTakesTheOthersStep'
'zone_failover.cpp~const double pause = record.relapses == 0 ? 0 : kRelapsePause * std::exp2(record.relapses);~const double pause = 0;~ZoneFleet.OneThatComesAndGoesIsFollowedAtAGrowingDistance'
'quota_leases.cpp~now - started_at_ < kLeaseDuration * kLenderTimeFactor ? max_lent_units_ : 0;~0;~LimitsExplorer.InNoOrderOfFaultsIsMoreThanTheWholeInForceNorAPartLostForGood'
'quota_leases.cpp~const double expires_at = pending.sent_at + kLeaseDuration;~const double expires_at = now + kLeaseDuration;~LimitsExplorer.InNoOrderOfFaultsIsMoreThanTheWholeInForceNorAPartLostForGood'
'quota_leases.cpp~state.lent[from].push_back({grant.units, now + kLeaseDuration * kLenderTimeFactor});~state.lent[from].push_back({grant.units, now + kLeaseDuration / 2});~LimitsExplorer.InNoOrderOfFaultsIsMoreThanTheWholeInForceNorAPartLostForGood'
'quota_leases.cpp~max_units = std::max(max_units, lease.units);~max_units += lease.units;~Limits.DoubledLateUnaskedAndOverlargeGrantsAddNothing'
'quota_leases.cpp~std::min({grant.units, pending.units, max_lent_units_})~grant.units~Limits.DoubledLateUnaskedAndOverlargeGrantsAddNothing'
'quota_leases.cpp~if (match == pending_.end()) return;  // never requested~if (match == pending_.end()) { quotas_[grant.quota].borrowed[from].push_back({grant.units, now + kLeaseDuration}); return; }  // never requested~Limits.DoubledLateUnaskedAndOverlargeGrantsAddNothing'
'quota_leases.cpp~if (latest_expiry(node_leases) - now >= kRenewBefore || renewed_units < 1) continue;~continue;~LimitsFleet.FollowsADemandThatMovesAndNeverPassesTheWhole'
'quota_leases.cpp~if (held >= max_lent_units_ ||~if (lender != state.borrowed.end() ||~LimitsFleet.FollowsADemandThatGrowsSlowly'
'outlier_exchange.cpp~if (d.receiver_incarnation == incarnation_) quota_leases_.on_grant~quota_leases_.on_grant~LimitsFleet.AGrantThatAnEarlierLifeAskedForIsNone'
'fleet_quotas.cpp~return position - std::floor(position);~return 0;~Budgets.AColdServerGetsWhatAllTogetherMayFromItsFirstSecondOn'
'fleet_quotas.cpp~state->second.bucket.spend();~(void)0;~Budgets.WhoGoesToAColdServerWithoutAskingIsMadeUpFor'
'fleet_quotas.cpp~1 + static_cast<int>((totals_.connections_per_server - node_count_) * share)~1 + static_cast<int>(totals_.connections_per_server * share)~Budgets.ConnectionsOfAllNodesNeverComeToMoreThanTheWhole'
'quota_leases.cpp~tokens_ + std::max(now - filled_at_, 0.0) * rate, capacity);~tokens_ + std::max(now - filled_at_, 0.0) * rate, 1e9);~Spending.SavesUpAQuarterOfASecondsAtTheMostHoweverLongItStood'
'outlier_exchange.cpp~if (has_just_started ||~if (present_nodes_.size() < 2 || random_fraction() < kAnyNodeGossipRatio || false &&~Fleet.AllKnowAllSoonAfterTheyStartTogetherAndAfterACut'
)

try() {
    local number=$1 line=$2 file stands planted name dir suite=exchange
    IFS='~' read -r file stands planted name <<<"$line"
    [[ $name == Zone* ]] && suite=zones
    [[ $name == Limits* || $name == Budgets* || $name == Spending* ]] && suite=limits
    dir=$work/$number
    mkdir -p "$dir/gossip"
    cp "$root"/src/gossip/* "$dir/gossip"
    STANDS=$stands PLANTED=$planted awk '
        { at = index($0, ENVIRON["STANDS"])
          if (at) { $0 = substr($0, 1, at - 1) ENVIRON["PLANTED"] substr($0, at + length(ENVIRON["STANDS"])); n++ }
          print }
        END { exit n == 1 ? 0 : 1 }' "$root/src/gossip/$file" >"$dir/gossip/$file" ||
        { echo "mistake $number: its place in $file is not there once: $stands"; return 1; }
    "$compiler" -I"$dir" "${flags[@]}" -o "$dir/test" "$dir"/gossip/*.cpp "$(test_object "$suite")" -lgtest -lgtest_main -lpthread \
        2>"$dir/said" || { echo "mistake $number: does not build:"; head -n 5 "$dir/said"; return 1; }
    if timeout 60 "$dir/test" --gtest_filter="$name" >"$dir/said" 2>&1; then
        echo "mistake $number ($planted in place of: $stands): $name does not find it"
        return 1
    fi
    grep -q '1 FAILED TEST' "$dir/said" || { echo "mistake $number: $name did not run to its end"; return 1; }
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
