// Bounded model checker: runs every sequence of actions of a model up to a depth, each from a copy of the
// model. States are not merged, so a violation that it does not find does not exist at that depth. It does
// not depend on what the models are about.
//
// A World is a copyable model with these members: `acts`, the number of actions; `names()`, their names;
// `kLong`, the seconds of a step; `step(act)`, which applies an action and returns the violated invariant or
// an empty string; and `at_rest()`, whether it is in the state that it must reach within `kRest` steps
// without faults.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace brookrelay::model {

struct Explored {
    std::uint64_t states = 0, ends = 0;  // steps taken, and sequences run to the full depth
    double rest_most = 0;                // the longest recovery after the last action, in seconds
    double took = 0;                     // seconds of the check itself
    std::string broken;  // the first violated invariant and the actions that led to it; empty: none
};

namespace detail {

template <typename World>
std::string told(const std::string& what, const std::vector<int>& path) {
    std::string text = what + ", after:";
    for (const int act : path) text += " " + World::names()[static_cast<std::size_t>(act)] + ";";
    return text;
}

template <typename World>
void explore(const World& from, int depth, std::vector<int>& path, Explored& e) {
    if (!e.broken.empty()) return;
    if (depth == 0) {  // No more faults: the model must recover within a number of steps.
        ++e.ends;
        World last = from;
        int steps = 0;
        for (; steps < World::kRest && !last.at_rest(); ++steps) {
            const std::string broken = last.step(0);
            if (!broken.empty()) e.broken = told<World>(broken, path);
        }
        e.rest_most = std::max(e.rest_most, steps * World::kLong);
        if (!last.at_rest()) e.broken = told<World>("it does not recover", path);
        return;
    }
    for (int act = 0; act < World::acts; ++act) {
        World next = from;
        path.push_back(act);
        const std::string broken = next.step(act);
        ++e.states;
        if (!broken.empty() && e.broken.empty()) e.broken = told<World>(broken, path);
        explore(next, depth - 1, path, e);
        path.pop_back();
    }
}

}  // namespace detail

// Runs every sequence of `depth` actions from `begin`. Action 0 must be the one without a fault.
template <typename World>
Explored explore(const World& begin, int depth) {
    Explored e;
    std::vector<int> path;
    const auto from = std::chrono::steady_clock::now();
    detail::explore(begin, depth, path, e);
    e.took = std::chrono::duration<double>(std::chrono::steady_clock::now() - from).count();
    return e;
}

}  // namespace brookrelay::model
