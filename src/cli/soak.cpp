#include "cli/soak.h"

#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

#include "cli/rehearse.h"
#include "testkit/experiment.h"
#include "testkit/soak.h"
#include "util/exit_codes.h"

namespace brookrelay {
namespace {

namespace fs = std::filesystem;

constexpr int kVoidExitCode = 3;    // exit code of a child whose run is void
constexpr int kMaxShrinkRuns = 16;  // the most runs to shrink one failing seed

double seconds_now() {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

std::string replay_command(std::uint64_t seed, const testkit::SoakOptions& options) {
    std::string command = "brookrelay rehearse soak --seeds " + std::to_string(seed) + " --nodes " +
                          std::to_string(options.nodes);
    for (std::size_t i = 0; i < options.dropped_faults.size(); ++i)
        command += (i == 0 ? " --drop " : ",") + std::to_string(options.dropped_faults[i]);
    if (!options.with_shim) command += " --without-shim";
    return command;
}

std::string format_result(const testkit::SoakResult& result, const testkit::SoakOptions& options) {
    std::ostringstream text;
    text << "seed " << result.seed << ": "
         << (result.has_failed() ? "FAILED"
             : result.is_void    ? "void, " + result.void_reason
                                 : "kept");
    text << ", " << result.requests << " requests, " << result.attempts << " attempts, served "
         << result.served_ratio << "\n";
    if (result.is_void) {
        for (const std::string& violation : result.set_aside) text << "  set aside: " << violation << "\n";
    }
    if (!result.has_failed()) return text.str();
    for (const std::string& failure : result.failures) text << "  " << failure << "\n";
    for (const std::string& fault : result.faults) text << "  fault " << fault << "\n";
    text << "  again: " << replay_command(result.seed, options) << "\n";
    return text.str();
}

// A run needs a descriptor for each of its thousands of servers. The daemons set limits of their own.
void raise_descriptor_limit() {
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

// Runs one seed in this process, a child made for it, and writes the result to the file `report`.
int run_in_child(std::uint64_t seed, const testkit::SoakOptions& options, bool shrink,
                 const std::string& report) {
    raise_descriptor_limit();
    const testkit::SoakResult result = testkit::execute_soak(seed, options);
    std::ofstream file(report);
    file << format_result(result, options);
    if (result.has_failed() && shrink) {
        testkit::SoakOptions shrink_options = options;
        shrink_options.folder += "-shrink";
        file << "  shrunk: "
             << replay_command(seed, testkit::shrink_soak(seed, shrink_options, kMaxShrinkRuns)) << "\n";
    }
    file.flush();
    return result.has_failed() ? kExitFailure : result.is_void ? kVoidExitCode : kExitSuccess;
}

struct Tally {
    int kept = 0, failed = 0, void_runs = 0;
};

void count_child(int status, const std::string& report, Tally& tally) {
    std::ifstream file(report);
    std::printf("%s", std::string(std::istreambuf_iterator<char>(file), {}).c_str());
    std::fflush(stdout);
    const int code = WIFEXITED(status) ? WEXITSTATUS(status) : kExitFailure;
    if (!WIFEXITED(status)) std::printf("the process of one seed was ended by signal %d\n", WTERMSIG(status));
    ++(code == kExitSuccess ? tally.kept : code == kVoidExitCode ? tally.void_runs : tally.failed);
}

}  // namespace

int soak(const SoakCommandOptions& command) {
    testkit::SoakOptions options;
    options.program = command.daemon.empty() ? own_program() : command.daemon;
    options.shim = (fs::path(own_program()).parent_path() / "libfault_shim.so").string();
    options.nodes = command.nodes;
    options.dropped_faults = command.dropped;
    options.with_shim = !command.without_shim;
    if (options.with_shim && !fs::exists(options.shim)) {
        std::fprintf(stderr, "brookrelay: %s is missing: build it, or give --without-shim\n",
                     options.shim.c_str());
        return kExitUsageError;
    }
    const std::string folder = new_report_folder(command.out, "soak");
    const double started = seconds_now();
    std::map<pid_t, std::string> running;  // by child: the path of its report
    Tally tally;
    const auto wait_for_one = [&] {
        int status = 0;
        const pid_t child = waitpid(-1, &status, 0);
        const auto entry = running.find(child);
        if (entry == running.end()) return;
        count_child(status, entry->second, tally);
        running.erase(entry);
    };
    for (const std::uint64_t seed : testkit::parse_seeds(command.seeds)) {
        if (command.minutes > 0 && seconds_now() - started > command.minutes * 60) break;
        options.folder = folder + "/seed-" + std::to_string(seed);
        fs::remove_all(options.folder);  // the logs of an earlier run would be checked with those of this one
        fs::create_directories(options.folder);
        const std::string report = options.folder + "/report.txt";
        const pid_t child = fork();
        if (child == 0) _exit(run_in_child(seed, options, command.shrink, report));
        running.emplace(child, report);
        if (static_cast<int>(running.size()) >= command.jobs) wait_for_one();
    }
    while (!running.empty()) wait_for_one();
    std::printf("soak: %d kept, %d failed, %d void, %.0f s, logs in %s\n", tally.kept, tally.failed,
                tally.void_runs, seconds_now() - started, folder.c_str());
    return tally.failed == 0 && tally.kept > 0 ? kExitSuccess : kExitFailure;
}

}  // namespace brookrelay
