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

// What a signal's handler may touch; nothing else is shared by the whole program.
std::atomic<int> interruptions{0};

extern "C" void on_interrupt(int) {
    // The first asks for an end with a report; one who insists gets it at once, and the kernel ends the
    // daemons.
    if (++interruptions > 1) _exit(130);
}

void hear_interruptions() {
    struct sigaction action {};
    action.sa_handler = on_interrupt;
    sigaction(SIGINT, &action, nullptr);
    sigaction(SIGTERM, &action, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

std::string new_folder(const std::string& wished, const std::string& scenario) {
    if (!wished.empty()) {
        fs::create_directories(wished);
        return wished;
    }
    char stamp[32];
    const std::time_t now = std::time(nullptr);
    std::strftime(stamp, sizeof stamp, "%Y%m%dT%H%M%S", std::localtime(&now));
    const std::string base = "rehearsals/" + fs::path(scenario).stem().string() + "-" + stamp;
    std::string folder = base;
    for (int i = 2; !fs::create_directories(folder); ++i) folder = base + "-" + std::to_string(i);
    return folder;
}

}  // namespace

std::string own_program() { return fs::read_symlink("/proc/self/exe").string(); }

std::string find_scenario(const std::string& named) {
    if (fs::is_regular_file(named)) return named;
    const std::string file = named + ".toml";
    const fs::path beside = fs::path(own_program()).parent_path().parent_path();
    for (const fs::path& folder :
         {fs::path("scenarios"), beside / "scenarios", beside / "share/brookrelay/scenarios"}) {
        if (fs::is_regular_file(folder / file)) return (folder / file).string();
    }
    return {};
}

namespace {

testkit::ReportHead head_of(const RehearseWish& wish, const testkit::DayPlan& plan,
                            const std::vector<std::string>& sets) {
    testkit::ReportHead head;
    head.version = std::string("brookrelay ") + BROOKRELAY_VERSION;
    head.program = plan.program;
    head.command = "brookrelay rehearse " + wish.scenario + " --seeds " + std::to_string(plan.seed);
    if (!wish.daemons.empty()) head.command += " --daemon " + plan.program;
    for (const std::string& set : sets) head.command += " --set '" + set + "'";
    return head;
}

testkit::DayPlan plan_of(const std::string& path, const std::vector<std::string>& sets) {
    testkit::DayPlan plan;
    plan.scenario = read_scenario(path, sets);
    plan.interrupted = [] { return interruptions.load() > 0; };
    return plan;
}

int play_one(const RehearseWish& wish, const std::string& path, std::uint64_t seed,
             const std::string& program) {
    testkit::DayPlan plan = plan_of(path, wish.sets);
    plan.seed = seed;
    plan.program = program;
    plan.folder = new_folder(wish.out, path);
    const bool terminal = isatty(2) != 0;
    if (!wish.quiet) {
        plan.progress = [terminal](double now, const std::string& line) {
            if (terminal) {
                std::fprintf(stderr, "\r%-110s", line.c_str());
            } else if (static_cast<int>(now) % 10 == 0) {
                std::fprintf(stderr, "%s\n", line.c_str());
            }
        };
    }
    const testkit::DayResult result = testkit::play_day(plan);
    if (terminal && !wish.quiet) std::fprintf(stderr, "\r%-110s\r", "");
    testkit::write_reports(head_of(wish, plan, wish.sets), plan, result);
    std::printf("%s", testkit::summary_text(plan, result).c_str());
    std::printf("report           %s/report.html\n", plan.folder.c_str());
    return testkit::verdict_word(result) == "kept" ? kDone : kBroken;
}

int play_many(const RehearseWish& wish, const std::string& path, const std::vector<std::uint64_t>& seeds,
              std::vector<testkit::Sweep> sweeps, const std::vector<std::string>& daemons) {
    testkit::ExperimentPlan plan;
    plan.scenario = path;
    plan.daemons = daemons;
    plan.seeds = seeds;
    plan.sweeps = std::move(sweeps);
    plan.folder = new_folder(wish.out, path);
    plan.jobs = wish.jobs;
    plan.interrupted = [] { return interruptions.load() > 0; };
    if (!wish.quiet) {
        plan.progress = [](std::size_t done, std::size_t all, const testkit::Cell& c) {
            std::fprintf(stderr, "%zu of %zu: seed %llu, daemon %zu%s%s: %s, service %.4f\n", done, all,
                         static_cast<unsigned long long>(c.seed), c.daemon + 1, c.setting.empty() ? "" : ", ",
                         c.setting.c_str(), c.measures.verdict.c_str(), c.measures.whole);
        };
    }
    // Each setting is read once before the first day, so that a wrong one costs none.
    for (const testkit::Cell& c : testkit::cells_of(plan)) (void)read_scenario(path, c.sets);
    const testkit::ExperimentResult result = testkit::play_experiment(plan, [&](const testkit::Cell& cell) {
        testkit::DayPlan day = plan_of(path, cell.sets);
        day.seed = cell.seed;
        day.program = daemons[cell.daemon];
        day.folder = cell.folder;
        testkit::write_reports(head_of(wish, day, cell.sets), day, testkit::play_day(day));
        return kDone;
    });
    testkit::write_experiment(plan, result);
    std::printf("%s", testkit::experiment_text(plan, result).c_str());
    std::printf("report           %s/experiment.html\n", plan.folder.c_str());
    const bool all_kept = std::all_of(result.cells.begin(), result.cells.end(),
                                      [](const testkit::Cell& c) { return c.measures.verdict == "kept"; });
    return all_kept ? kDone : kBroken;
}

}  // namespace

int rehearse(const RehearseWish& wish) {
    const std::string path = find_scenario(wish.scenario);
    if (path.empty()) {
        std::fprintf(stderr, "brookrelay: there is no scenario '%s' (a file, or a name below scenarios/)\n",
                     wish.scenario.c_str());
        return kWrongUse;
    }
    const std::vector<std::string> daemons = wish.daemons.empty() ? std::vector{own_program()} : wish.daemons;
    std::vector<std::uint64_t> seeds;
    std::vector<testkit::Sweep> sweeps;
    bool swept = false;
    try {
        seeds = wish.seeds.empty() ? std::vector{read_scenario(path).seed} : testkit::read_seeds(wish.seeds);
        for (const std::string& set : wish.sets) {
            sweeps.push_back(testkit::read_sweep(set));
            swept = swept || sweeps.back().values.size() > 1;
        }
    } catch (const std::invalid_argument& bad) {
        std::fprintf(stderr, "brookrelay: %s\n", bad.what());
        return kWrongUse;
    }
    hear_interruptions();
    try {
        if (swept || seeds.size() > 1 || daemons.size() > 1) {
            return play_many(wish, path, seeds, std::move(sweeps), daemons);
        }
        return play_one(wish, path, seeds.front(), daemons.front());
    } catch (const ConfigurationFileError&) {
        throw;
    } catch (const std::exception& bad) {
        std::fprintf(stderr, "brookrelay: %s\n", bad.what());
        return kBroken;
    }
}

int measure_load(const LoadWish& wish) {
    const std::vector<std::string> daemons = wish.daemons.empty() ? std::vector{own_program()} : wish.daemons;
    const std::string folder = new_folder("", "load");
    int code = kDone;
    for (int round = 0; round < wish.rounds; ++round) {
        for (const int clients : wish.clients) {
            for (const std::string& daemon : daemons) {
                testkit::LoadPlan plan;
                plan.program = daemon;
                plan.folder = folder;
                plan.clients = clients;
                plan.rate = wish.rate;
                plan.seconds = wish.seconds;
                plan.value_bytes = wish.value_bytes;
                const testkit::LoadResult result = testkit::play_load(plan);
                std::printf("%s%s%s\n", daemons.size() > 1 ? daemon.c_str() : "",
                            daemons.size() > 1 ? "  " : "", testkit::load_line(plan, result).c_str());
                std::fflush(stdout);
                if (!result.failed.empty()) code = kBroken;
            }
        }
    }
    return code;
}

}  // namespace brookrelay
