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
'outlier_exchange.cpp~if (stamp <= cell.stamp) return;  // older, or the same again~(void)0;~Merge.AnOlderWordNeverWins'
'outlier_exchange.cpp~if (stamp <= cell.stamp) return;  // older, or the same again~cell.good += sight.successes, cell.bad += sight.failures, cell.stamp = stamp, cell.born = now; return;~Merge.WordsSaidAgainAreNotSummed'
'membership.cpp~h.new_incarnation = stamp.incarnation != m.incarnation;~h.new_incarnation = false;~Merge.WordsOfADeadLifeAreVoid'
'membership.cpp~if (stamp.incarnation < m.incarnation && now - m.last_heard < gone_) return h;~(void)0;~Merge.WordsOfADeadLifeAreVoid'
'outlier_exchange.cpp~start_ = d.receiver_incarnation + 1;~(void)0;~Merge.AStartedNodeWhoseClockWasSetBackIsHeardAgain'
'membership.cpp~h.delay = behind - m.min_clock_offset;~h.delay = 0;~Merge.AgesAddUpAndANodeThatStoodStillTakesNoOldNewsForNew'
'outlier_exchange.cpp~if (t.stamp == best->stamp && t.zones == best->zones) born = std::min(born, t.born);~(void)0;~Merge.AnyOrderLossMadeGoodAndDoublingGiveOneResult'
'outlier_exchange.cpp~constexpr int kAgree = 2;~constexpr int kAgree = 1;~Fleet.ALyingKeeperAloneIsNotBelieved'
'outlier_exchange.cpp~return std::max(part, std::min(kVoicesLeast, std::max(2, nodes - 1)));~return 1;~Merge.TwoVoicesOfFourNodesAreNotEnoughHoweverLoud'
'outlier_exchange.cpp~doubts_until_ = now + kDoubt;~(void)0;~Fleet.AFrozenNodeActsOnNothingOldWhenItWakes'
'outlier_exchange.cpp~|| now - kept.watched_since >= kWatch;~;~Fleet.FindsABadCacheThatGatesLetLittleTo'
'outlier_exchange.cpp~return touched >= kWayLeast && static_cast<double>(bad) > kWayPart * static_cast<double>(touched);~return false;~Fleet.ANodeWhoseOwnWayIsBadSaysNothing'
'outlier_exchange.cpp~found |= bit(zone);~found |= 0xffU;~Fleet.ACacheBadForOneZoneOnlyIsLeftByThatZoneAlone'
'outlier_exchange.cpp~return t.from == from && t.stamp == finding.stamp && t.zones == finding.bad_zones;~return t.from == from;~Merge.AnyOrderLossMadeGoodAndDoublingGiveOneResult'
'outlier_exchange.cpp~return other.from != t.from && other.zones~return other.zones~Fleet.ANodeThatMakesUpOthersFindingsMovesNobody'
'zone_failover.cpp~{ return rank(n) < own; }) < kTryers;~{ return rank(n) < own; }) < 100000;~ZoneFleet.LeavesALostZoneAndTakesItBackWithinItsBounds'
'zone_failover.cpp~return t.lost >= needed(zone, voters, now) && t.lost > kAgainst * (t.answers + t.strained);~return t.lost >= 1;~Zones.AreLeftByEnoughWordsAndNeverAgainstAnOwnAnswer'
'zone_failover.cpp~const ZoneObservation sight = before ? ZoneObservation::nothing : said;~const ZoneObservation sight = said;~Zones.WordsOfBeforeItWasLeftDoNotTakeItBack'
'zone_failover.cpp~if (same && pairs_[z].step == kStepDrained) return~if (false) return~Zones.OfARegionOfWhichOneIsLeftTwoWordsAreEnough'
'zone_failover.cpp~enter(zone, p.step - 1, now);~(void)0;~Zones.HoldTheRampWhileStrainedAndGoBackAStepWhenManyAre'
'zone_failover.cpp~return now - p.since >= wait && 2 * t.at_least >= t.heard;~return now - p.since >= wait;~Zones.NoneGoesOnBeforeTheOthers'
'zone_failover.cpp~if (now - p.answered <= kAnswerFresh && sight(zone, now) != ZoneObservation::unreachable) return false;~(void)0;~Zones.AreLeftByEnoughWordsAndNeverAgainstAnOwnAnswer'
'zone_failover.cpp~v.relapses, now - late};~v.relapses, now};~Zones.OldDoubledAndLateWordsDoNotCount'
'zone_failover.cpp~if (stamp <= cell.stamp) continue;~(void)0;~Zones.OldDoubledAndLateWordsDoNotCount'
'zone_failover.cpp~return asked > 1 && asked == silent;~return false;~Zones.WhereNothingAnswersAnywhereTheOwnWayIsAtFault'
'zone_failover.cpp~if (run && now - p.answered > quiet~if (run~ZoneFleet.AZoneWhereSomethingAnswersIsNotLeft'
'zone_failover.cpp~if (voters.size() < 2) {                  // who hears nobody~if (voters.empty()) {  // who hears nobody~ZoneFleet.WhoHearsNobodyDoesWhatANodeDoesAlone'
'zone_failover.cpp~const int step = p.hand ? kStepHealthy : p.step;~const int step = p.step;~Zones.ByHandAreLeftAndTakenBackThroughTheSameSteps'
'zone_failover.cpp~if (now - began_ <= kYoung~if (false~ZoneFleet.StartedOrWokenInTheMiddleOfARampANodeTakesTheOthersStep'
'zone_failover.cpp~const double pause = p.falls == 0 ? 0 : kFallPause * std::exp2(p.falls);~const double pause = 0;~ZoneFleet.OneThatComesAndGoesIsFollowedAtAGrowingDistance'
'quota_leases.cpp~const std::uint32_t earlier = now - began_ < kLeaseDuration * kClocksApart ? most_lent_ : 0;~const std::uint32_t earlier = 0;~LimitsExplorer.InNoOrderOfFaultsIsMoreThanTheWholeInForceNorAPartLostForGood'
'quota_leases.cpp~const double until = p.sent + kLeaseDuration;~const double until = now + kLeaseDuration;~LimitsExplorer.InNoOrderOfFaultsIsMoreThanTheWholeInForceNorAPartLostForGood'
'quota_leases.cpp~o.lent[from].push_back({g.units, now + kLeaseDuration * kClocksApart});~o.lent[from].push_back({g.units, now + kLeaseDuration / 2});~LimitsExplorer.InNoOrderOfFaultsIsMoreThanTheWholeInForceNorAPartLostForGood'
'quota_leases.cpp~most = std::max(most, l.crumbs);~most += l.crumbs;~Limits.DoubledLateUnaskedAndOverlargeGrantsAddNothing'
'quota_leases.cpp~std::min({grant.units, p.crumbs, most_lent_})~grant.units~Limits.DoubledLateUnaskedAndOverlargeGrantsAddNothing'
'quota_leases.cpp~if (asked == pending_.end()) return;  // never asked~if (asked == pending_.end()) { limits_[grant.quota].borrowed[from].push_back({grant.units, now + kLeaseDuration}); return; }  // never asked~Limits.DoubledLateUnaskedAndOverlargeGrantsAddNothing'
'quota_leases.cpp~if (longest(with) - now >= kAskAgain || keep < 1) continue;~continue;~LimitsFleet.FollowsADemandThatMovesAndNeverPassesTheWhole'
'quota_leases.cpp~if (held >= most_lent_ ||~if (lends != o.borrowed.end() ||~LimitsFleet.FollowsADemandThatGrowsSlowly'
'outlier_exchange.cpp~if (d.receiver_incarnation == start_) limits_.on_grant~limits_.on_grant~LimitsFleet.AGrantThatAnEarlierLifeAskedForIsNone'
'fleet_quotas.cpp~return x - std::floor(x);~return 0;~Budgets.AColdServerGetsWhatAllTogetherMayFromItsFirstSecondOn'
'fleet_quotas.cpp~c->second.spending.spend();~(void)0;~Budgets.WhoGoesToAColdServerWithoutAskingIsMadeUpFor'
'fleet_quotas.cpp~1 + static_cast<int>((wholes_.connections_per_server - nodes_) * part)~1 + static_cast<int>(wholes_.connections_per_server * part)~Budgets.ConnectionsOfAllNodesNeverComeToMoreThanTheWhole'
'quota_leases.cpp~tokens_ + std::max(now - filled_, 0.0) * a_second, most);~tokens_ + std::max(now - filled_, 0.0) * a_second, 1e9);~Spending.SavesUpAQuarterOfASecondsAtTheMostHoweverLongItStood'
'outlier_exchange.cpp~if (young || draw() < std::max(kStrangerPart, 1.0 / static_cast<double>(there_.size()))) {~if (there_.size() < 2 || draw() < kStrangerPart) {~Fleet.AllKnowAllSoonAfterTheyStartTogetherAndAfterACut'
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
