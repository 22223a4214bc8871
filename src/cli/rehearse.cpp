#include "cli/rehearse.h"

#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <ctime>
#include <filesystem>

#include "config/scenario.h"
#include "config/toml.h"
#include "testkit/experiment.h"
#include "testkit/load.h"
#include "testkit/report.h"
#include "util/exit_codes.h"

namespace brookrelay {
namespace {

namespace fs = std::filesystem;

// The number of signals so far. It is global and atomic because the signal handler counts them.
std::atomic<int> interrupt_count{0};

extern "C" void on_interrupt(int) {
    // The first signal ends the run with a report. The second exits at once, and the kernel ends the daemons.
    if (++interrupt_count > 1) _exit(130);
}

void install_interrupt_handlers() {
    struct sigaction action {};
    action.sa_handler = on_interrupt;
    sigaction(SIGINT, &action, nullptr);
    sigaction(SIGTERM, &action, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

}  // namespace

std::string new_report_folder(const std::string& requested, const std::string& name) {
    if (!requested.empty()) {
        fs::create_directories(requested);
        return requested;
    }
    char stamp[32];
    const std::time_t now = std::time(nullptr);
    std::strftime(stamp, sizeof stamp, "%Y%m%dT%H%M%S", std::localtime(&now));
    const std::string base = "rehearsals/" + fs::path(name).stem().string() + "-" + stamp;
    std::string folder = base;
    for (int i = 2; !fs::create_directories(folder); ++i) folder = base + "-" + std::to_string(i);
    return folder;
}

std::string own_program() { return fs::read_symlink("/proc/self/exe").string(); }

std::string find_scenario(const std::string& named) {
    if (fs::is_regular_file(named)) return named;
    const std::string file = named + ".toml";
    const fs::path prefix = fs::path(own_program()).parent_path().parent_path();
    for (const fs::path& folder :
         {fs::path("scenarios"), prefix / "scenarios", prefix / "share/brookrelay/scenarios"}) {
        if (fs::is_regular_file(folder / file)) return (folder / file).string();
    }
    return {};
}

namespace {

testkit::ReportHead report_head(const RehearseOptions& options, const testkit::RunPlan& plan,
                                const std::vector<std::string>& sets) {
    testkit::ReportHead head;
    head.version = std::string("brookrelay ") + BROOKRELAY_VERSION;
    head.program = plan.program;
    head.command = "brookrelay rehearse " + options.scenario + " --seeds " + std::to_string(plan.seed);
    if (!options.daemons.empty()) head.command += " --daemon " + plan.program;
    for (const std::string& set : sets) head.command += " --set '" + set + "'";
    return head;
}

testkit::RunPlan run_plan(const std::string& path, const std::vector<std::string>& sets) {
    testkit::RunPlan plan;
    plan.scenario = read_scenario(path, sets);
    plan.interrupted = [] { return interrupt_count.load() > 0; };
    return plan;
}

int run_once(const RehearseOptions& options, const std::string& path, std::uint64_t seed,
             const std::string& program) {
    testkit::RunPlan plan = run_plan(path, options.sets);
    plan.seed = seed;
    plan.program = program;
    plan.folder = new_report_folder(options.out, path);
    const bool is_terminal = isatty(2) != 0;
    if (!options.quiet) {
        plan.progress = [is_terminal](double now, const std::string& line) {
            if (is_terminal) {
                std::fprintf(stderr, "\r%-110s", line.c_str());
            } else if (static_cast<int>(now) % 10 == 0) {
                std::fprintf(stderr, "%s\n", line.c_str());
            }
        };
    }
    const testkit::RunResult result = testkit::execute_run(plan);
    if (is_terminal && !options.quiet) std::fprintf(stderr, "\r%-110s\r", "");
    testkit::write_reports(report_head(options, plan, options.sets), plan, result);
    std::printf("%s", testkit::summary_text(plan, result).c_str());
    std::printf("report           %s/report.html\n", plan.folder.c_str());
    return testkit::verdict_word(result) == "kept" ? kExitSuccess : kExitFailure;
}

int run_experiment(const RehearseOptions& options, const std::string& path,
                   const std::vector<std::uint64_t>& seeds, std::vector<testkit::Sweep> sweeps,
                   const std::vector<std::string>& daemons) {
    testkit::ExperimentPlan plan;
    plan.scenario = path;
    plan.daemons = daemons;
    plan.seeds = seeds;
    plan.sweeps = std::move(sweeps);
    plan.folder = new_report_folder(options.out, path);
    plan.jobs = options.jobs;
    plan.interrupted = [] { return interrupt_count.load() > 0; };
    if (!options.quiet) {
        plan.progress = [](std::size_t done, std::size_t all, const testkit::ExperimentRun& c) {
            std::fprintf(stderr, "%zu of %zu: seed %llu, daemon %zu%s%s: %s, service %.4f\n", done, all,
                         static_cast<unsigned long long>(c.seed), c.daemon + 1, c.setting.empty() ? "" : ", ",
                         c.setting.c_str(), c.measures.verdict.c_str(), c.measures.whole);
        };
    }
    // Each setting is read once before the first run, so that an error in one costs no run.
    for (const testkit::ExperimentRun& c : testkit::plan_experiment_runs(plan))
        (void)read_scenario(path, c.sets);
    const testkit::ExperimentResult result =
        testkit::execute_experiment(plan, [&](const testkit::ExperimentRun& cell) {
            testkit::RunPlan day = run_plan(path, cell.sets);
            day.seed = cell.seed;
            day.program = daemons[cell.daemon];
            day.folder = cell.folder;
            testkit::write_reports(report_head(options, day, cell.sets), day, testkit::execute_run(day));
            return kExitSuccess;
        });
    testkit::write_experiment(plan, result);
    std::printf("%s", testkit::experiment_text(plan, result).c_str());
    std::printf("report           %s/experiment.html\n", plan.folder.c_str());
    const bool all_kept =
        std::all_of(result.cells.begin(), result.cells.end(),
                    [](const testkit::ExperimentRun& c) { return c.measures.verdict == "kept"; });
    return all_kept ? kExitSuccess : kExitFailure;
}

}  // namespace

int rehearse(const RehearseOptions& options) {
    const std::string path = find_scenario(options.scenario);
    if (path.empty()) {
        std::fprintf(stderr, "brookrelay: there is no scenario '%s' (a file, or a name below scenarios/)\n",
                     options.scenario.c_str());
        return kExitUsageError;
    }
    const std::vector<std::string> daemons =
        options.daemons.empty() ? std::vector{own_program()} : options.daemons;
    std::vector<std::uint64_t> seeds;
    std::vector<testkit::Sweep> sweeps;
    bool has_several_values = false;
    try {
        seeds = options.seeds.empty() ? std::vector{read_scenario(path).seed}
                                      : testkit::parse_seeds(options.seeds);
        for (const std::string& set : options.sets) {
            sweeps.push_back(testkit::parse_sweep(set));
            has_several_values = has_several_values || sweeps.back().values.size() > 1;
        }
    } catch (const std::invalid_argument& error) {
        std::fprintf(stderr, "brookrelay: %s\n", error.what());
        return kExitUsageError;
    }
    install_interrupt_handlers();
    try {
        if (has_several_values || seeds.size() > 1 || daemons.size() > 1) {
            return run_experiment(options, path, seeds, std::move(sweeps), daemons);
        }
        return run_once(options, path, seeds.front(), daemons.front());
    } catch (const ConfigurationFileError&) {
        throw;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "brookrelay: %s\n", error.what());
        return kExitFailure;
    }
}

int measure_load(const LoadOptions& options) {
    const std::vector<std::string> daemons =
        options.daemons.empty() ? std::vector{own_program()} : options.daemons;
    const std::string folder = new_report_folder("", "load");
    int exit_code = kExitSuccess;
    for (int round = 0; round < options.rounds; ++round) {
        for (const int clients : options.clients) {
            for (const std::string& daemon : daemons) {
                testkit::LoadPlan plan;
                plan.program = daemon;
                plan.folder = folder;
                plan.clients = clients;
                plan.rate = options.rate;
                plan.seconds = options.seconds;
                plan.value_bytes = options.value_bytes;
                const testkit::LoadResult result = testkit::play_load(plan);
                std::printf("%s%s%s\n", daemons.size() > 1 ? daemon.c_str() : "",
                            daemons.size() > 1 ? "  " : "", testkit::load_summary(plan, result).c_str());
                std::fflush(stdout);
                if (!result.failed.empty()) exit_code = kExitFailure;
            }
        }
    }
    return exit_code;
}

}  // namespace brookrelay
