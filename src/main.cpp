// The command line: parses the arguments and calls the module that implements the command. Without a command,
// the program runs the proxy node, which is how the platform starts it. Exit codes: 0 success; 1 a violated
// rule or a failed check; 2 wrong usage or an invalid file.
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

// Runs the node with the configuration file `config_path`, or if that is empty with the file named by
// GW_CONFIG.
int run_node(const std::string& config_path, const std::string& operator_path,
             const std::string& log_format) {
    std::string path = config_path;
    if (path.empty()) {
        const char* variable = std::getenv("GW_CONFIG");
        if (variable == nullptr) {
            std::fprintf(stderr,
                         "brookrelay: GW_CONFIG is not set: it names the configuration file "
                         "(or give --config FILE; --help says more)\n");
            return brookrelay::kExitUsageError;
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

// The options of all commands and the command to run.
struct CommandLine {
    std::string config, operator_path, log_format;
    std::string file_to_check;
    brookrelay::RehearseOptions rehearse;
    brookrelay::LoadOptions load;
    brookrelay::SoakCommandOptions soak;
    brookrelay::RegistryWatchOptions registry_watch;
    brookrelay::CheckModelOptions check_model;
    brookrelay::FleetOptions fleet;
    std::function<int()> run;  // runs the given command; empty if none was given
};

void add_serve(CLI::App& app, CommandLine& line) {
    CLI::App* serve = app.add_subcommand("serve", "run the proxy node until SIGTERM");
    serve->add_option("--config", line.config,
                      "the node's configuration file (JSON); default: the file that GW_CONFIG names");
    serve->add_option("--operator", line.operator_path, "the operators' configuration file (TOML)");
    serve->add_option("--log-format", line.log_format, "human or json; overrides the operators' file")
        ->check(CLI::IsMember({"human", "json"}));
}

void add_check(CLI::App& app, CommandLine& line) {
    CLI::App* check =
        app.add_subcommand("check", "validate a configuration or scenario file and print all errors");
    check->add_option("FILE", line.file_to_check, "a node's, operators' or scenario file")->required();
    check->callback([&line] { line.run = [&line] { return brookrelay::check_file(line.file_to_check); }; });
}

void add_load(CLI::App& rehearse, CommandLine& line) {
    brookrelay::LoadOptions& options = line.load;
    CLI::App* load =
        rehearse.add_subcommand("load", "benchmark one daemon on one core with cache servers without delay");
    load->add_option("--daemon", options.daemons,
                     "the daemon program, default: this one; several are measured in turn")
        ->allow_extra_args(false);
    load->add_option("--clients", options.clients,
                     "number of clients; several are measured one after another")
        ->delimiter(',')
        ->check(CLI::Range(1, 10000));
    load->add_option("--rate", options.rate, "requests per second; default: closed loop")
        ->check(CLI::PositiveNumber);
    load->add_option("--seconds", options.seconds, "duration of each measurement")
        ->check(CLI::Range(0.1, 3600.0));
    load->add_option("--rounds", options.rounds, "number of rounds of measurements")
        ->check(CLI::Range(1, 1000));
    load->add_option("--value-bytes", options.value_bytes, "size of each value")
        ->check(CLI::Range(64, 60000));
    load->callback([&line] { line.run = [&line] { return brookrelay::measure_load(line.load); }; });
}

void add_soak(CLI::App& rehearse, CommandLine& line) {
    brookrelay::SoakCommandOptions& options = line.soak;
    CLI::App* soak = rehearse.add_subcommand(
        "soak",
        "run many daemons with overlapping random faults derived from a seed, and print each failing seed");
    soak->add_option("--seeds", options.seeds, "seeds, such as 3, 1..200 or 1,4,9")->capture_default_str();
    soak->add_option("--minutes", options.minutes, "start no further seed after this many minutes")
        ->check(CLI::PositiveNumber);
    soak->add_option("--jobs", options.jobs, "number of seeds run at the same time")
        ->check(CLI::Range(1, 16));
    soak->add_option("--nodes", options.nodes, "number of daemons per run")->check(CLI::Range(2, 40));
    soak->add_option("--daemon", options.daemon, "the daemon program, default: this one");
    soak->add_option("--drop", options.dropped, "numbers of the faults to omit")->delimiter(',');
    soak->add_flag("--without-shim", options.without_shim,
                   "inject no clock steps and no system call failures");
    soak->add_flag("--shrink", options.shrink, "run a failing seed again with fewer of its faults");
    soak->add_option("--out", options.out, "the folder for logs; default: a new one below rehearsals/");
    soak->callback([&line] { line.run = [&line] { return brookrelay::soak(line.soak); }; });
}

void add_rehearse(CLI::App& app, CommandLine& line) {
    brookrelay::RehearseOptions& options = line.rehearse;
    CLI::App* rehearse =
        app.add_subcommand("rehearse", "run a scenario against fake servers and check it against the rules");
    rehearse->add_option("SCENARIO", options.scenario, "a scenario file, or the name of one below scenarios/")
        ->capture_default_str();
    rehearse
        ->add_option("--daemon", options.daemons,
                     "the daemon program, default: this one; several are compared")
        ->allow_extra_args(false);
    rehearse->add_option("--seeds", options.seeds,
                         "seeds, such as 3, 1..5 or 1,4,9; default: the scenario's seed");
    rehearse
        ->add_option("--set", options.sets,
                     "PATH=VALUE overrides the scenario's file; PATH=V1,V2 runs each value")
        ->allow_extra_args(false);
    rehearse->add_option("--jobs", options.jobs, "number of scenario runs at the same time")
        ->check(CLI::Range(1, 64));
    rehearse->add_option("--out", options.out,
                         "the folder for logs and reports; default: a new one below rehearsals/");
    rehearse->add_flag("--quiet", options.quiet, "print no progress");
    add_load(*rehearse, line);
    add_soak(*rehearse, line);
    // The callback of a subcommand runs before that of its parent.
    rehearse->callback([&line] {
        if (!line.run) line.run = [&line] { return brookrelay::rehearse(line.rehearse); };
    });
}

void add_registry(CLI::App& app, CommandLine& line) {
    brookrelay::RegistryWatchOptions& options = line.registry_watch;
    CLI::App* registry =
        app.add_subcommand("registry", "inspect endpoint lists kept as ephemeral registrations");
    registry->require_subcommand(1);
    CLI::App* watch = registry->add_subcommand(
        "watch", "print the endpoint changes that a daemon would apply, until SIGINT or SIGTERM");
    watch
        ->add_option("--address", options.addresses,
                     "HOST:PORT of the coordination service; several for an ensemble")
        ->delimiter(',')
        ->required();
    watch->add_option("--path", options.path, "the path whose children are the registrations")->required();
    watch->add_option("--session", options.session_timeout, "the session timeout in seconds")
        ->check(CLI::Range(0.1, 60.0));
    watch->callback(
        [&line] { line.run = [&line] { return brookrelay::watch_registry(line.registry_watch); }; });
}

// The command has two names: `explore`, the former one, and `check-model`, the current one, which --help does
// not list.
void add_check_model(CLI::App& app, CommandLine& line) {
    brookrelay::CheckModelOptions& options = line.check_model;
    for (const char* name : {"explore", "check-model"}) {
        CLI::App* command = app.add_subcommand(
            name, "check every order of faults in a fleet of three nodes, in simulated time");
        command->add_flag("--zones", options.zones, "check zone failover");
        command->add_flag("--limits", options.limits, "check the lending of quota shares");
        command
            ->add_option("--depth", options.depth,
                         "number of consecutive events; each further one takes eight to ten times as long")
            ->check(CLI::Range(1, 9));
        command->callback(
            [&line] { line.run = [&line] { return brookrelay::check_model(line.check_model); }; });
        if (std::string_view(name) != "explore") command->group("");
    }
}

void add_fleet(CLI::App& app, CommandLine& line) {
    brookrelay::FleetOptions& options = line.fleet;
    CLI::App* fleet =
        app.add_subcommand("fleet", "show a node's state of peers, cache servers, quotas and zones");
    fleet->require_subcommand(1);
    CLI::App* status =
        fleet->add_subcommand("status", "show one running node's peers, reports and outlier verdicts");
    status->add_option("--address", options.address, "HOST:PORT of the node's admin interface")->required();
    status->add_flag("--json", options.json, "print the node's response as JSON");
    CLI::App* limits =
        fleet->add_subcommand("limits", "show one running node's shares of the fleet-wide quotas");
    limits->add_option("--address", options.address, "HOST:PORT of the node's admin interface")->required();
    limits->add_flag("--json", options.json, "print the node's response as JSON");
    CLI::App* zones = fleet->add_subcommand(
        "zones", "show which zones one running node uses, and why; drain or restore a zone");
    zones->add_option("--address", options.address, "HOST:PORT of the node's admin interface")->required();
    CLI::Option* leave = zones->add_option("--leave", options.leave,
                                           "drain this zone at the node until it is restored by --take-back");
    zones->add_option("--take-back", options.take_back, "restore a zone drained by --leave, in steps")
        ->excludes(leave);
    zones->add_flag("--json", options.json, "print the node's response as JSON");
    status->callback([&line] { line.run = [&line] { return brookrelay::fleet_status(line.fleet); }; });
    limits->callback([&line] { line.run = [&line] { return brookrelay::fleet_limits(line.fleet); }; });
    zones->callback([&line] { line.run = [&line] { return brookrelay::fleet_zones(line.fleet); }; });
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{
        "brookrelay: a proxy that distributes keys over cache servers in front of a slow origin.\n"
        "Without a command it runs the proxy node with the configuration file that GW_CONFIG names."};
    app.set_version_flag("--version", std::string("brookrelay ") + BROOKRELAY_VERSION);
    app.footer(
        "Exit codes: 0 success, 1 a rule was violated or a check failed, 2 wrong usage or an invalid file.");
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
        // --help and --version are reported as exceptions too, with exit code 0.
        return app.exit(error) == 0 ? brookrelay::kExitSuccess : brookrelay::kExitUsageError;
    }
    try {
        if (line.run) return line.run();
        return run_node(line.config, line.operator_path, line.log_format);
    } catch (const brookrelay::ConfigurationFileError& error) {
        std::fprintf(stderr, "%s\n", error.what());
        return brookrelay::kExitUsageError;
    }
}
