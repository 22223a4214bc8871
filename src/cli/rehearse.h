// `brookrelay rehearse`: finds the scenario, plays one day or an experiment of many, shows how it goes and
// writes the reports. It owns the interruption by Ctrl-C and the folders; the kit does the rest.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace brookrelay {

struct RehearseWish {
    std::string scenario = "festival";  // a file, or the name of one that is shipped
    std::vector<std::string> daemons;   // programs; none: this one
    std::string seeds;                  // "3", "1..5" or "1,4,9"; empty: the scenario's own
    std::vector<std::string> sets;      // PATH=VALUE or PATH=V1,V2
    int jobs = 1;                       // days of an experiment at the same time
    std::string out;                    // the folder for reports; empty: a new one below rehearsals/
    bool quiet = false;
};

// An exit code. Throws BadFile for a wrong scenario. One day, or an experiment where there are several
// daemons, seeds or values.
int rehearse(const RehearseWish& wish);

struct LoadWish {
    std::vector<std::string> daemons;  // programs; none: this one
    std::vector<int> clients{16, 64};
    double rate = 0;  // 0: closed loop
    double seconds = 5;
    int rounds = 1;  // the daemons in turn, so many times
    int value_bytes = 200;
};
int measure_load(const LoadWish& wish);

// The file of a scenario that was named; empty if there is none.
std::string find_scenario(const std::string& named);
std::string own_program();

}  // namespace brookrelay
