// The command line: parses the arguments and calls the module that carries the command out. Without a command
// it serves, as the platform starts it. Exit codes: 0 done; 1 a rule broken or a check failed; 2 wrong usage
// or a wrong file.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <string>
#include <string_view>

#include "cli/check.h"
#include "cli/check_model.h"
#include "cli/fleet_commands.h"
#include "cli/registry_watch.h"
#include "cli/rehearse.h"
#include "cli/soak.h"
#include "config/toml.h"
#include "proxy/serve.h"
#include "util/exit_codes.h"

namespace {

int serve_with(const std::string& given, const std::string& operator_path, const std::string& log_format) {
    std::string path = given;
    if (path.empty()) {
        const char* variable = std::getenv("GW_CONFIG");
        if (variable == nullptr) {
            std::fprintf(stderr,
                         "brookrelay: GW_CONFIG is not set: it names the configuration file "
                         "(or give --config FILE; --help says more)\n");
            return brookrelay::kWrongUse;
        }
        path = variable;
    }
    const auto read = [&] {
        brookrelay::OperatorConfig file;
        if (!operator_path.empty()) file = brookrelay::read_operator_config(operator_path);
        if (!log_format.empty()) file.json_log = log_format == "json";
        return file;
    };
    return brookrelay::serve(path, read(), read);
}

// Everything that the command line may hold, and which command it names.
struct CommandLine {
    std::string config, operator_path, log_format;
    std::string file_to_check;
    brookrelay::RehearseOptions rehearse;
    brookrelay::LoadOptions load;
    brookrelay::SoakCommandOptions soak;
    brookrelay::RegistryWatchOptions registry_watch;
    brookrelay::CheckModelOptions check_model;
    brookrelay::FleetOptions fleet;
    std::function<int()> run;  // of the command that was given; empty: none
};

void add_serve(CLI::App& app, CommandLine& line) {
    CLI::App* serve = app.add_subcommand("serve", "serve until SIGTERM");
    serve->add_option("--config", line.config,
                      "the station's file (JSON); without it, the one GW_CONFIG names");
    serve->add_option("--operator", line.operator_path, "the operators' own file (TOML)");
    serve->add_option("--log-format", line.log_format, "human or json; goes before the operators' file")
        ->check(CLI::IsMember({"human", "json"}));
}

void add_check(CLI::App& app, CommandLine& line) {
    CLI::App* check = app.add_subcommand("check", "say what a file is, and all that is wrong with it");
    check->add_option("FILE", line.file_to_check, "a station's, operators' or scenario file")->required();
    check->callback([&line] { line.run = [&line] { return brookrelay::check_file(line.file_to_check); }; });
}

void add_load(CLI::App& rehearse, CommandLine& line) {
    brookrelay::LoadOptions& options = line.load;
    CLI::App* load =
        rehearse.add_subcommand("load", "measure one daemon on one core before caches that answer at once");
    load->add_option("--daemon", options.daemons,
                     "the program, this one if left out; several are measured in turn")
        ->allow_extra_args(false);
    load->add_option("--clients", options.clients, "how many clients; several are measured one after another")
        ->delimiter(',')
        ->check(CLI::Range(1, 10000));
    load->add_option("--rate", options.rate, "invocations a second; closed loop if left out")
        ->check(CLI::PositiveNumber);
    load->add_option("--seconds", options.seconds, "of each measurement")->check(CLI::Range(0.1, 3600.0));
    load->add_option("--rounds", options.rounds, "how many times in all")->check(CLI::Range(1, 1000));
    load->add_option("--value-bytes", options.value_bytes, "of each value")->check(CLI::Range(64, 60000));
    load->callback([&line] { line.run = [&line] { return brookrelay::measure_load(line.load); }; });
}

void add_soak(CLI::App& rehearse, CommandLine& line) {
    brookrelay::SoakCommandOptions& options = line.soak;
    CLI::App* soak = rehearse.add_subcommand(
        "soak",
        "days of many daemons with faults drawn from a seed, that overlap; each failing one is printed");
    soak->add_option("--seeds", options.seeds, "3, 1..200 or 1,4,9")->capture_default_str();
    soak->add_option("--minutes", options.minutes, "no seed begins later")->check(CLI::PositiveNumber);
    soak->add_option("--jobs", options.jobs, "days at the same time")->check(CLI::Range(1, 16));
    soak->add_option("--nodes", options.nodes, "daemons of a day")->check(CLI::Range(2, 40));
    soak->add_option("--daemon", options.daemon, "the program, this one if left out");
    soak->add_option("--drop", options.dropped, "numbers of faults that are left out")->delimiter(',');
    soak->add_flag("--without-shim", options.without_shim, "no steps of the clock, no failing system calls");
    soak->add_flag("--shrink", options.shrink, "play a failing seed again without some of its faults");
    soak->add_option("--out", options.out, "the folder for logs; a new one below rehearsals/ if left out");
    soak->callback([&line] { line.run = [&line] { return brookrelay::soak(line.soak); }; });
}

void add_rehearse(CLI::App& app, CommandLine& line) {
    brookrelay::RehearseOptions& options = line.rehearse;
    CLI::App* rehearse =
        app.add_subcommand("rehearse", "play a scenario's day against stand-ins and judge it by the rules");
    rehearse->add_option("SCENARIO", options.scenario, "a file, or the name of one below scenarios/")
        ->capture_default_str();
    rehearse
        ->add_option("--daemon", options.daemons,
                     "the program to rehearse, this one if left out; several are compared")
        ->allow_extra_args(false);
    rehearse->add_option("--seeds", options.seeds, "3, 1..5 or 1,4,9; the scenario's own if left out");
    rehearse->add_option("--set", options.sets, "PATH=VALUE over the scenario's file; PATH=V1,V2 plays each")
        ->allow_extra_args(false);
    rehearse->add_option("--jobs", options.jobs, "days of an experiment at the same time")
        ->check(CLI::Range(1, 64));
    rehearse->add_option("--out", options.out,
                         "the folder for logs and reports; a new one below rehearsals/ if left out");
    rehearse->add_flag("--quiet", options.quiet, "no progress");
    add_load(*rehearse, line);
    add_soak(*rehearse, line);
    // The callback of a subcommand runs before that of its parent.
    rehearse->callback([&line] {
        if (!line.run) line.run = [&line] { return brookrelay::rehearse(line.rehearse); };
    });
}

void add_registry(CLI::App& app, CommandLine& line) {
    brookrelay::RegistryWatchOptions& options = line.registry_watch;
    CLI::App* registry = app.add_subcommand("registry", "server lists kept as ephemeral nodes");
    registry->require_subcommand(1);
    CLI::App* watch = registry->add_subcommand("watch", "print what a daemon would be told, until ended");
    watch
        ->add_option("--address", options.addresses,
                     "HOST:PORT of the coordination service; several of an ensemble")
        ->delimiter(',')
        ->required();
    watch->add_option("--path", options.path, "the path whose children are the registrations")->required();
    watch->add_option("--session", options.session_timeout, "the session's time-out in seconds")
        ->check(CLI::Range(0.1, 60.0));
    watch->callback(
        [&line] { line.run = [&line] { return brookrelay::watch_registry(line.registry_watch); }; });
}

// The command under its name of before, and under its present one, which --help does not list.
void add_check_model(CLI::App& app, CommandLine& line) {
    brookrelay::CheckModelOptions& options = line.check_model;
    for (const char* name : {"explore", "check-model"}) {
        CLI::App* command =
            app.add_subcommand(name, "every order of faults of a small fleet of three, in simulated time");
        command->add_flag("--zones", options.zones, "a zone left and taken back");
        command->add_flag("--limits", options.limits, "parts of a limit lent");
        command
            ->add_option("--depth", options.depth,
                         "happenings one after another; each more takes eight to ten times as long")
            ->check(CLI::Range(1, 9));
        command->callback(
            [&line] { line.run = [&line] { return brookrelay::check_model(line.check_model); }; });
        if (std::string_view(name) != "explore") command->group("");
    }
}

void add_fleet(CLI::App& app, CommandLine& line) {
    brookrelay::FleetOptions& options = line.fleet;
    CLI::App* fleet = app.add_subcommand("fleet", "what nodes know of one another and of the cache servers");
    fleet->require_subcommand(1);
    CLI::App* status =
        fleet->add_subcommand("status", "what one running node thinks: peers, words, findings");
    status->add_option("--address", options.address, "HOST:PORT of the node's operators' address")
        ->required();
    status->add_flag("--json", options.json, "as the node says it");
    CLI::App* limits =
        fleet->add_subcommand("limits", "one running node's parts of the limits that are the whole fleet's");
    limits->add_option("--address", options.address, "HOST:PORT of the node's operators' address")
        ->required();
    limits->add_flag("--json", options.json, "as the node says it");
    CLI::App* zones = fleet->add_subcommand(
        "zones", "which zones one running node uses, and why; a zone left or taken back by hand");
    zones->add_option("--address", options.address, "HOST:PORT of the node's operators' address")->required();
    CLI::Option* leave = zones->add_option("--leave", options.leave,
                                           "a zone that this node is to leave until it is taken back");
    zones->add_option("--take-back", options.take_back, "a zone left by hand, back into use in steps")
        ->excludes(leave);
    zones->add_flag("--json", options.json, "as the node says it");
    status->callback([&line] { line.run = [&line] { return brookrelay::fleet_status(line.fleet); }; });
    limits->callback([&line] { line.run = [&line] { return brookrelay::fleet_limits(line.fleet); }; });
    zones->callback([&line] { line.run = [&line] { return brookrelay::fleet_zones(line.fleet); }; });
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{
        "brookrelay: a proxy that spreads keys over cache servers before a slow origin.\n"
        "Without a command it serves, by the file that GW_CONFIG names."};
    app.set_version_flag("--version", std::string("brookrelay ") + BROOKRELAY_VERSION);
    app.footer("Exit codes: 0 done, 1 a rule was broken or a check failed, 2 wrong usage or a wrong file.");
    app.require_subcommand(0, 1);

    CommandLine line;
    add_serve(app, line);
    add_check(app, line);
    add_rehearse(app, line);
    add_registry(app, line);
    add_check_model(app, line);
    add_fleet(app, line);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        // Help and version come this way too, with 0.
        return app.exit(error) == 0 ? brookrelay::kDone : brookrelay::kWrongUse;
    }
    try {
        if (line.run) return line.run();
        return serve_with(line.config, line.operator_path, line.log_format);
    } catch (const brookrelay::ConfigurationFileError& error) {
        std::fprintf(stderr, "%s\n", error.what());
        return brookrelay::kWrongUse;
    }
}
