#include "rehearse.h"

#include <unistd.h>

#include <atomic>
#include <csignal>
#include <cstdio>
#include <ctime>
#include <filesystem>

#include "exit_codes.h"
#include "kit/report.h"
#include "scenario.h"
#include "toml.h"

namespace brookrelay {
namespace {

namespace fs = std::filesystem;

// What a signal's handler may touch; nothing else is shared by the whole program.
std::atomic<int> interruptions{0};

extern "C" void on_interrupt(int) {
    // The first asks for an end with a report; one who insists gets it at once, and the kernel ends the daemons.
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
    for (const fs::path& folder : {fs::path("scenarios"), beside / "scenarios", beside / "share/brookrelay/scenarios"}) {
        if (fs::is_regular_file(folder / file)) return (folder / file).string();
    }
    return {};
}

int rehearse(const RehearseWish& wish) {
    const std::string path = find_scenario(wish.scenario);
    if (path.empty()) {
        std::fprintf(stderr, "brookrelay: there is no scenario '%s' (a file, or a name below scenarios/)\n",
                     wish.scenario.c_str());
        return kWrongUse;
    }
    kit::DayPlan plan;
    plan.scenario = read_scenario(path, wish.sets);
    plan.seed = wish.seeds.empty() ? plan.scenario.seed : std::stoull(wish.seeds);
    plan.program = wish.daemons.empty() ? own_program() : wish.daemons.front();
    plan.folder = new_folder(wish.out, path);
    plan.interrupted = [] { return interruptions.load() > 0; };
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
    hear_interruptions();
    const kit::DayResult result = kit::play_day(plan);
    if (terminal && !wish.quiet) std::fprintf(stderr, "\r%-110s\r", "");
    kit::ReportHead head;
    head.version = std::string("brookrelay ") + BROOKRELAY_VERSION;
    head.program = plan.program;
    head.command = "brookrelay rehearse " + wish.scenario + " --seeds " + std::to_string(plan.seed);
    for (const std::string& set : wish.sets) head.command += " --set '" + set + "'";
    kit::write_reports(head, plan, result);
    std::printf("%s", kit::summary_text(plan, result).c_str());
    std::printf("report           %s/report.html\n", plan.folder.c_str());
    const std::string word = kit::verdict_word(result);
    return word == "kept" ? kDone : kBroken;
}

}  // namespace brookrelay
