// Plays every order of a small world's happenings to a depth, each from a copy: no state is taken for
// another, so what it does not find is not there at that depth. It knows nothing of what the worlds are
// about.
//
// A World is copied and has: `acts`, how many happenings there are; `names()`, what they are called; `kLong`,
// seconds of a step; `step(act)`, empty or what was broken by it; `at_rest()`, whether it is where it must
// come to once faults stop, within `kRest` steps.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace brookrelay::model {

struct Explored {
    std::uint64_t states = 0, ends = 0;
    double rest_most = 0;  // s from the last happening until it came to rest, at the most
    double took = 0;       // s
    std::string broken;    // the first promise that was, and by which happenings; empty: none
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
    if (depth == 0) {  // faults stop: it must come to rest within a number of steps
        ++e.ends;
        World last = from;
        int steps = 0;
        for (; steps < World::kRest && !last.at_rest(); ++steps) {
            const std::string broken = last.step(0);
            if (!broken.empty()) e.broken = told<World>(broken, path);
        }
        e.rest_most = std::max(e.rest_most, steps * World::kLong);
        if (!last.at_rest()) e.broken = told<World>("it never comes to rest", path);
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

// The happening numbered 0 is that nothing happens.
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
