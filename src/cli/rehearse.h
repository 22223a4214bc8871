// `brookrelay rehearse`: finds the scenario, runs it once or as an experiment of many runs, shows the
// progress and writes the reports. It handles signals and the report folders; src/testkit/ runs the scenario.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace brookrelay {

struct RehearseOptions {
    std::string scenario = "festival";  // a file, or the name of an installed scenario
    std::vector<std::string> daemons;   // paths of programs; empty: this one
    std::string seeds;                  // "3", "1..5" or "1,4,9"; empty: the scenario's own
    std::vector<std::string> sets;      // PATH=VALUE or PATH=V1,V2
    int jobs = 1;                       // runs of an experiment at the same time
    std::string out;                    // the folder for reports; empty: a new one below rehearsals/
    bool quiet = false;
};

// Runs the scenario once, or an experiment if there are several daemons, seeds or values. Returns the exit
// code; throws ConfigurationFileError for an invalid scenario.
int rehearse(const RehearseOptions& options);

struct LoadOptions {
    std::vector<std::string> daemons;  // paths of programs; empty: this one
    std::vector<int> clients{16, 64};  // numbers of clients, each measured
    double rate = 0;                   // requests/s; 0: closed loop
    double seconds = 5;
    int rounds = 1;  // measurements of each daemon, which take turns
    int value_bytes = 200;
};

// `brookrelay rehearse load`: prints a line for each measurement; returns the exit code.
int measure_load(const LoadOptions& options);

// The path of a scenario given by path or by name; empty if it does not exist.
std::string find_scenario(const std::string& named);
// Creates the folder for the logs and reports of a run: `requested`, or if that is empty a new one below
// rehearsals/.
std::string new_report_folder(const std::string& requested, const std::string& name);
// The path of this executable.
std::string own_program();

}  // namespace brookrelay
