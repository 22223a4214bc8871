// Experiments: many runs of one scenario over seeds, swept values and daemons, interleaved so that drift of
// the machine affects all alike, each in a child process; and the statistics of paired differences.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace brookrelay::testkit {

struct Sweep {
    std::string path;
    std::vector<std::string> values;
};
// "PATH=V1,V2" with the commas inside brackets and quotes left alone; one value: nothing is swept.
Sweep read_sweep(const std::string& text);
// "3", "1..5" or "1,4,9"; throws std::invalid_argument.
std::vector<std::uint64_t> read_seeds(const std::string& text);

struct Measures {
    bool played = false;
    std::string verdict;
    double whole = 0, worst_ten = 0, worst_operation = 0, worst_tenant = 0, p99_ms = 0, cpu_us = 0;
    double origin_reads = 0, late = 0;
};
struct Measure {
    const char* name;
    const char* unit;
    double Measures::*value;
};
const std::vector<Measure>& all_measures();

struct Cell {
    std::size_t daemon = 0;
    std::vector<std::string> sets;  // PATH=VALUE
    std::string setting;            // the same, for people
    std::uint64_t seed = 0;
    std::string folder;
    Measures measures;
};

struct ExperimentPlan {
    std::string scenario;
    std::vector<std::string> daemons;
    std::vector<std::uint64_t> seeds;
    std::vector<Sweep> sweeps;
    std::string folder;
    int jobs = 1;
    std::function<bool()> interrupted;
    std::function<void(std::size_t done, std::size_t all, const Cell&)> progress;
};

struct Paired {  // of one measure, in one setting: a daemon less the first one, seed by seed
    std::string setting;
    std::size_t daemon = 1;
    std::string measure, unit;
    std::vector<double> first, other;
    double mean = 0, deviation = 0, half_width = 0;  // of the differences; the half width of 95% confidence
    bool told_apart() const;                         // 0 is outside
};

struct ExperimentResult {
    std::vector<Cell> cells;
    std::vector<Paired> pairs;
    bool was_interrupted = false;
};

std::vector<Cell> cells_of(const ExperimentPlan& plan);  // in the order in which they are played
// Plays each cell by `day`, in a child process; it returns what play and write of one day gave.
ExperimentResult play_experiment(const ExperimentPlan& plan, const std::function<int(const Cell&)>& day);
std::vector<Paired> paired(const std::vector<Cell>& cells, std::size_t daemons);
Measures read_measures(const std::string& report_json_path);

std::string experiment_text(const ExperimentPlan& plan, const ExperimentResult& result);
// experiment.csv and experiment.html in the plan's folder.
void write_experiment(const ExperimentPlan& plan, const ExperimentResult& result);

}  // namespace brookrelay::testkit
