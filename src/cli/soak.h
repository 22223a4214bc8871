// `brookrelay rehearse soak`: runs the soak with many seeds, some at the same time, prints each failing seed
// with the command that repeats it, and shrinks it if requested.
#pragma once

#include <string>
#include <vector>

namespace brookrelay {

struct SoakCommandOptions {
    std::string seeds = "1..4";  // "3", "1..200" or "1,4,9"
    double minutes = 0;          // no seed is started later; 0: no limit
    int jobs = 2;                // runs at the same time
    int nodes = 10;
    std::string daemon;        // path of the program; empty: this one
    std::vector<int> dropped;  // numbers of the faults to leave out
    bool without_shim = false;
    bool shrink = false;
    std::string out;  // the folder for logs; empty: a new one below rehearsals/
};

// Returns the exit code: 0 if at least one run is kept and none has failed, else 1.
int soak(const SoakCommandOptions& options);

}  // namespace brookrelay
