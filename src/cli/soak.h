// `brookrelay rehearse soak`: plays the soak's days of many seeds, some at the same time, prints each failing
// one with the command that plays it again, and shrinks it.
#pragma once

#include <string>
#include <vector>

namespace brookrelay {

struct SoakCommandOptions {
    std::string seeds = "1..4";  // "3", "1..200" or "1,4,9"
    double minutes = 0;          // no seed begins later; 0: no limit
    int jobs = 2;                // days at the same time
    int nodes = 10;
    std::string daemon;        // the program; empty: this one
    std::vector<int> dropped;  // faults left out, by their numbers
    bool without_shim = false;
    bool shrink = false;
    std::string out;  // the folder for logs; empty: a new one below rehearsals/
};

// Returns the exit code: 0 if all invariants held on every day that proves something, else 1.
int soak(const SoakCommandOptions& options);

}  // namespace brookrelay
