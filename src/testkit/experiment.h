// Experiments: many runs of one scenario over seeds, swept values and daemons, each in a child process. The
// runs are interleaved, so that drift of the machine affects all daemons alike. Also the statistics of paired
// differences.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace brookrelay::testkit {

// The values of one scenario setting over which an experiment varies.
struct Sweep {
    std::string path;
    std::vector<std::string> values;
};
// Parses "PATH=V1,V2"; commas inside brackets and quotes do not separate values. A single value sets the
// setting without a sweep. Throws std::invalid_argument.
Sweep parse_sweep(const std::string& text);
// Parses "3", "1..5" or "1,4,9". Throws std::invalid_argument.
std::vector<std::uint64_t> parse_seeds(const std::string& text);

// The results of one run that are compared.
struct Measures {
    bool played = false;
    std::string verdict;
    double whole = 0, worst_ten = 0, worst_operation = 0, worst_tenant = 0, max_p99_ms = 0,
           cpu_us_per_request = 0;
    double origin_reads = 0, kit_delay_ratio = 0;
};
// The name, the unit and the field of one result.
struct Measure {
    const char* name;
    const char* unit;
    double Measures::*value;
};
const std::vector<Measure>& all_measures();

// One run of an experiment.
struct ExperimentRun {
    std::size_t daemon = 0;
    std::vector<std::string> sets;  // PATH=VALUE, all settings of the run
    std::string setting;            // the swept settings as text
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
    std::function<void(std::size_t done, std::size_t all, const ExperimentRun&)> progress;
};

// The differences of one measure in one setting between a daemon and the first one, paired by seed.
struct PairedDifference {
    std::string setting;
    std::size_t daemon = 1;
    std::string measure, unit;
    std::vector<double> first, other;
    double mean = 0, deviation = 0,
           half_width = 0;        // of the differences; half width of the 95% confidence interval
    bool is_significant() const;  // whether 0 is outside the confidence interval
};

struct ExperimentResult {
    std::vector<ExperimentRun> cells;
    std::vector<PairedDifference> pairs;
    bool was_interrupted = false;
};

std::vector<ExperimentRun> plan_experiment_runs(const ExperimentPlan& plan);  // in the order of execution
// Executes each run by calling `run_cell` in a child process, whose exit code it returns; it must write
// report.json into the folder of the run.
ExperimentResult execute_experiment(const ExperimentPlan& plan,
                                    const std::function<int(const ExperimentRun&)>& run_cell);
std::vector<PairedDifference> paired_differences(const std::vector<ExperimentRun>& cells,
                                                 std::size_t daemons);
Measures read_measures(const std::string& report_json_path);

std::string experiment_text(const ExperimentPlan& plan, const ExperimentResult& result);
// Writes experiment.csv and experiment.html into the plan's folder.
void write_experiment(const ExperimentPlan& plan, const ExperimentResult& result);

}  // namespace brookrelay::testkit
