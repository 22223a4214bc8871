// The command line: reads what was asked, and hands it to the part that does it. Without arguments it serves,
// as the platform starts it. It owns the exit codes (0 done; 1 a rule broken or a check failed; 2 wrong usage
// or a wrong file) and does nothing itself.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "cli/check.h"
#include "cli/check_model.h"
#include "cli/fleet_commands.h"
#include "cli/registry_watch.h"
#include "cli/rehearse.h"
#include "config/toml.h"
#include "proxy/serve.h"
#include "util/exit_codes.h"

namespace {

int serve_with(const std::string& given, const std::string& operator_path, const std::string& log_format) {
    std::string path = given;
    if (path.empty()) {
        const char* told = std::getenv("GW_CONFIG");
        if (told == nullptr) {
            std::fprintf(stderr,
                         "brookrelay: GW_CONFIG is not set: it names the configuration file "
                         "(or give --config FILE; --help says more)\n");
            return brookrelay::kWrongUse;
        }
        path = told;
    }
    const auto read = [&] {
        brookrelay::OperatorConfig file;
        if (!operator_path.empty()) file = brookrelay::read_operator_config(operator_path);
        if (!log_format.empty()) file.json_log = log_format == "json";
        return file;
    };
    return brookrelay::serve(path, read(), read);
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{
        "brookrelay: a proxy that spreads keys over cache servers before a slow origin.\n"
        "Without a command it serves, by the file that GW_CONFIG names."};
    app.set_version_flag("--version", std::string("brookrelay ") + BROOKRELAY_VERSION);
    app.footer("Exit codes: 0 done, 1 a rule was broken or a check failed, 2 wrong usage or a wrong file.");
    app.require_subcommand(0, 1);

    std::string config, operator_path, log_format;
    CLI::App* serve = app.add_subcommand("serve", "serve until SIGTERM");
    serve->add_option("--config", config, "the station's file (JSON); without it, the one GW_CONFIG names");
    serve->add_option("--operator", operator_path, "the operators' own file (TOML)");
    serve->add_option("--log-format", log_format, "human or json; goes before the operators' file")
        ->check(CLI::IsMember({"human", "json"}));

    std::string to_check;
    CLI::App* check = app.add_subcommand("check", "say what a file is, and all that is wrong with it");
    check->add_option("FILE", to_check, "a station's, operators' or scenario file")->required();

    brookrelay::RehearseWish wish;
    CLI::App* rehearse =
        app.add_subcommand("rehearse", "play a scenario's day against stand-ins and judge it by the rules");
    rehearse->add_option("SCENARIO", wish.scenario, "a file, or the name of one below scenarios/")
        ->capture_default_str();
    rehearse
        ->add_option("--daemon", wish.daemons,
                     "the program to rehearse, this one if left out; several are compared")
        ->allow_extra_args(false);
    rehearse->add_option("--seeds", wish.seeds, "3, 1..5 or 1,4,9; the scenario's own if left out");
    rehearse->add_option("--set", wish.sets, "PATH=VALUE over the scenario's file; PATH=V1,V2 plays each")
        ->allow_extra_args(false);
    rehearse->add_option("--jobs", wish.jobs, "days of an experiment at the same time")
        ->check(CLI::Range(1, 64));
    rehearse->add_option("--out", wish.out,
                         "the folder for logs and reports; a new one below rehearsals/ if left out");
    rehearse->add_flag("--quiet", wish.quiet, "no progress");

    brookrelay::LoadWish load_wish;
    CLI::App* load =
        rehearse->add_subcommand("load", "measure one daemon on one core before caches that answer at once");
    load->add_option("--daemon", load_wish.daemons,
                     "the program, this one if left out; several are measured in turn")
        ->allow_extra_args(false);
    load->add_option("--clients", load_wish.clients,
                     "how many clients; several are measured one after another")
        ->delimiter(',')
        ->check(CLI::Range(1, 10000));
    load->add_option("--rate", load_wish.rate, "invocations a second; closed loop if left out")
        ->check(CLI::PositiveNumber);
    load->add_option("--seconds", load_wish.seconds, "of each measurement")->check(CLI::Range(0.1, 3600.0));
    load->add_option("--rounds", load_wish.rounds, "how many times in all")->check(CLI::Range(1, 1000));
    load->add_option("--value-bytes", load_wish.value_bytes, "of each value")->check(CLI::Range(64, 60000));

    brookrelay::RegistryWish registry_wish;
    CLI::App* registry = app.add_subcommand("registry", "server lists kept as ephemeral nodes");
    registry->require_subcommand(1);
    CLI::App* watch = registry->add_subcommand("watch", "print what a daemon would be told, until ended");
    watch
        ->add_option("--address", registry_wish.addresses,
                     "HOST:PORT of the coordination service; several of an ensemble")
        ->delimiter(',')
        ->required();
    watch->add_option("--path", registry_wish.path, "the path whose children are the registrations")
        ->required();
    watch->add_option("--session", registry_wish.session_timeout, "the session's time-out in seconds")
        ->check(CLI::Range(0.1, 60.0));

    brookrelay::ExploreWish explore_wish;
    CLI::App* exploring =
        app.add_subcommand("explore", "every order of faults of a small fleet of three, in simulated time");
    exploring->add_flag("--zones", explore_wish.zones, "a zone left and taken back");
    exploring->add_flag("--limits", explore_wish.limits, "parts of a limit lent");
    exploring
        ->add_option("--depth", explore_wish.depth,
                     "happenings one after another; each more takes eight to ten times as long")
        ->check(CLI::Range(1, 9));
    brookrelay::FleetWish fleet_wish;
    CLI::App* fleet = app.add_subcommand("fleet", "what nodes know of one another and of the cache servers");
    fleet->require_subcommand(1);
    CLI::App* status =
        fleet->add_subcommand("status", "what one running node thinks: peers, words, findings");
    status->add_option("--address", fleet_wish.address, "HOST:PORT of the node's operators' address")
        ->required();
    status->add_flag("--json", fleet_wish.json, "as the node says it");
    CLI::App* limits =
        fleet->add_subcommand("limits", "one running node's parts of the limits that are the whole fleet's");
    limits->add_option("--address", fleet_wish.address, "HOST:PORT of the node's operators' address")
        ->required();
    limits->add_flag("--json", fleet_wish.json, "as the node says it");
    CLI::App* zones = fleet->add_subcommand(
        "zones", "which zones one running node uses, and why; a zone left or taken back by hand");
    zones->add_option("--address", fleet_wish.address, "HOST:PORT of the node's operators' address")
        ->required();
    CLI::Option* leave = zones->add_option("--leave", fleet_wish.leave,
                                           "a zone that this node is to leave until it is taken back");
    zones->add_option("--take-back", fleet_wish.take_back, "a zone left by hand, back into use in steps")
        ->excludes(leave);
    zones->add_flag("--json", fleet_wish.json, "as the node says it");

    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& said) {
        // Help and version come this way too, with 0.
        return app.exit(said) == 0 ? brookrelay::kDone : brookrelay::kWrongUse;
    }
    try {
        if (check->parsed()) return brookrelay::check_file(to_check);
        if (watch->parsed()) return brookrelay::watch_registry(registry_wish);
        if (exploring->parsed()) return brookrelay::explore(explore_wish);
        if (status->parsed()) return brookrelay::fleet_status(fleet_wish);
        if (limits->parsed()) return brookrelay::fleet_limits(fleet_wish);
        if (zones->parsed()) return brookrelay::fleet_zones(fleet_wish);
        if (load->parsed()) return brookrelay::measure_load(load_wish);
        if (rehearse->parsed()) return brookrelay::rehearse(wish);
        return serve_with(config, operator_path, log_format);
    } catch (const brookrelay::ConfigurationFileError& bad) {
        std::fprintf(stderr, "%s\n", bad.what());
        return brookrelay::kWrongUse;
    }
}
