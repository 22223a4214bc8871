// Bounded model checker: runs every sequence of actions of a model up to a depth, each from a copy of the
// model. States are not merged, so a violation that it does not find does not exist at that depth. It does
// not depend on what the models are about.
//
// A World is a copyable model with these members: `action_count`, the number of actions; `action_names()`,
// their names; `kStepSeconds`, the seconds of a step; `step(action)`, which applies an action and returns the
// violated invariant or an empty string; and `has_recovered()`, whether it is in the state that it must reach
// within `kMaxRecoverySteps` steps without faults.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace brookrelay::model {

struct ModelCheckResult {
    std::uint64_t states = 0, ends = 0;  // steps taken, and sequences run to the full depth
    double max_recovery_seconds = 0;     // the longest recovery after the last action, in seconds
    double took = 0;                     // seconds of the check itself
    std::string broken;  // the first violated invariant and the actions that led to it; empty: none
};

namespace detail {

template <typename World>
std::string describe(const std::string& violation, const std::vector<int>& actions) {
    std::string text = violation + ", after:";
    for (const int action : actions)
        text += " " + World::action_names()[static_cast<std::size_t>(action)] + ";";
    return text;
}

template <typename World>
void check_model(const World& begin, int depth, std::vector<int>& actions, ModelCheckResult& result) {
    if (!result.broken.empty()) return;
    if (depth == 0) {  // No more faults: the model must recover within a number of steps.
        ++result.ends;
        World recovering = begin;
        int steps = 0;
        for (; steps < World::kMaxRecoverySteps && !recovering.has_recovered(); ++steps) {
            const std::string broken = recovering.step(0);
            if (!broken.empty()) result.broken = describe<World>(broken, actions);
        }
        result.max_recovery_seconds = std::max(result.max_recovery_seconds, steps * World::kStepSeconds);
        if (!recovering.has_recovered()) result.broken = describe<World>("it does not recover", actions);
        return;
    }
    for (int action = 0; action < World::action_count; ++action) {
        World copy = begin;
        actions.push_back(action);
        const std::string broken = copy.step(action);
        ++result.states;
        if (!broken.empty() && result.broken.empty()) result.broken = describe<World>(broken, actions);
        check_model(copy, depth - 1, actions, result);
        actions.pop_back();
    }
}

}  // namespace detail

// Runs every sequence of `depth` actions from `begin`. Action 0 must be the one without a fault.
template <typename World>
ModelCheckResult check_model(const World& begin, int depth) {
    ModelCheckResult result;
    std::vector<int> actions;
    const auto started_at = std::chrono::steady_clock::now();
    detail::check_model(begin, depth, actions, result);
    result.took = std::chrono::duration<double>(std::chrono::steady_clock::now() - started_at).count();
    return result;
}

}  // namespace brookrelay::model
