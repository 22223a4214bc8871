// The program as a user starts it: exit codes, messages for wrong use, an interrupted rehearsal and JSON
// logs.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <thread>

#include "testkit/connection.h"
#include "testkit/scripted_peer.h"

namespace {

struct ProgramResult {
    int code = -1;
    std::string output;
};

ProgramResult run(const std::string& arguments) {
    ProgramResult result;
    FILE* pipe = popen(("unset GW_CONFIG; " BROOKRELAY_PROGRAM " " + arguments + " 2>&1").c_str(), "r");
    char buffer[4096];
    while (std::fgets(buffer, sizeof buffer, pipe) != nullptr) result.output += buffer;
    result.code = WEXITSTATUS(pclose(pipe));
    return result;
}

std::string content(const std::string& path) {
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

std::string folder(const std::string& name) {
    const std::string path = testing::TempDir() + "cli-" + std::to_string(getpid()) + "-" + name;
    std::filesystem::create_directories(path);
    return path;
}

TEST(CommandLine, ReportsWrongUseByExitCodeAndMessage) {
    const std::string root = BROOKRELAY_ROOT;
    const std::string bad = folder("files") + "/bad.toml";
    std::ofstream(bad) << "[lgo]\n";
    const struct {
        std::string arguments;
        int code;
        const char* output;
    } cases[] = {
        {"--version", 0, "brookrelay "},
        {"--help", 0, "rehearse"},
        {"serve --help", 0, "--operator"},
        {"rehearse --help", 0, "--seeds"},
        {"rehearse load --help", 0, "--clients"},
        {"check --help", 0, "FILE"},
        {"", 2, "GW_CONFIG is not set"},
        {"serve", 2, "GW_CONFIG is not set"},
        {"serve --config /no/such/file.json", 2, "cannot read the file"},
        {"serve --log-format xml", 2, "--log-format"},
        {"dance", 2, "dance"},
        {"check", 2, "FILE is required"},
        {"check " + bad, 2, "did you mean 'log'?"},
        {"check " + root + "/README.md", 2, "expected a .json file"},
        {"check " + root + "/deploy/example.json", 0, ": node configuration:"},
        {"check " + root + "/deploy/operator.toml", 0, ": operator configuration;"},
        {"check " + root + "/deploy/fleet.toml", 0, ": operator configuration;"},
        {"check " + root + "/scenarios/fleet-faults.toml", 0, "40 nodes"},
        {"fleet status", 2, "--address is required"},
        {"fleet status --address here:1", 2, "numeric host"},
        {"fleet status --address 127.0.0.1:1", 1, "127.0.0.1:1: "},
        {"fleet zones --address here:1", 2, "numeric host"},
        {"fleet limits --address here:1", 2, "numeric host"},
        {"explore --depth 2", 0, "all promises kept"},
        {"explore --depth 20", 2, "--depth"},
        {"check-model --depth 2", 0, "all promises kept"},
        {"check-model --depth 20", 2, "--depth"},
        {"fleet zones --address 127.0.0.1:1 --leave a --take-back a", 2, "excludes"},
        {"fleet zones --address 127.0.0.1:1 --leave a", 1, "127.0.0.1:1: "},
        {"check " + root + "/scenarios/zone-lost.toml", 0, "12 nodes"},
        {"check " + root + "/scenarios/uneven-tenants.toml", 0, "12 nodes"},
        {"check " + root + "/scenarios/festival.toml", 0, "scenario: '"},
        {"rehearse nowhere", 2, "there is no scenario 'nowhere'"},
        {"rehearse festival --seeds x", 2, "expected seeds"},
        {"rehearse festival --set day.lenght=1", 2, "did you mean 'length'?"},
    };
    for (const auto& c : cases) {
        const ProgramResult result = run(c.arguments);
        EXPECT_EQ(result.code, c.code) << c.arguments << "\n" << result.output;
        EXPECT_NE(result.output.find(c.output), std::string::npos) << c.arguments << "\n" << result.output;
    }
}

TEST(CommandLine, AnInterruptedRehearsalLeavesAReportAndNoDaemon) {
    const std::string out = folder("interrupted");
    const pid_t child = fork();
    if (child == 0) {
        execl(BROOKRELAY_PROGRAM, BROOKRELAY_PROGRAM, "rehearse", "festival", "--quiet", "--out", out.c_str(),
              nullptr);
        _exit(127);
    }
    // Wait until node n1 accepts clients: the daemons are running, and the run is about to start.
    for (int i = 0; i < 1000 && content(out + "/n1.log").find("serves on") == std::string::npos; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    const std::string log = content(out + "/n1.log");
    ASSERT_NE(log.find("serves on"), std::string::npos);
    kill(child, SIGINT);
    int status = 0;
    waitpid(child, &status, 0);
    EXPECT_EQ(WEXITSTATUS(status), 1);
    EXPECT_NE(content(out + "/report.json").find("\"interrupted\": true"), std::string::npos);
    EXPECT_NE(content(out + "/report.html").find("Interrupted after"), std::string::npos);
    const std::size_t at = log.find("serves on ") + 10, colon = log.find(':', at);
    EXPECT_FALSE(
        brookrelay::testkit::TestSocket(log.substr(at, colon - at), std::stoi(log.substr(colon + 1))).up());
}

TEST(CommandLine, LogsOneObjectALine) {
    const std::string out = folder("json");
    std::ofstream(out + "/operator.toml") << "[log]\nformat = \"json\"\n";
    int port = 0;
    close(brookrelay::testkit::bound_socket(port));
    const std::string listen = brookrelay::testkit::own_loopback() + ":" + std::to_string(port);
    std::string node_config = content(BROOKRELAY_ROOT "/deploy/example.json");
    node_config.replace(node_config.find("127.0.0.1:11311"), 15, listen);
    std::ofstream(out + "/station.json") << node_config;
    const pid_t child = fork();
    if (child == 0) {
        std::freopen((out + "/log").c_str(), "w", stderr);
        execl(BROOKRELAY_PROGRAM, BROOKRELAY_PROGRAM, "serve", "--config", (out + "/station.json").c_str(),
              "--operator", (out + "/operator.toml").c_str(), nullptr);
        _exit(127);
    }
    for (int i = 0; i < 1000 && content(out + "/log").find("\"event\":\"serves\"") == std::string::npos;
         ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    kill(child, SIGTERM);
    int status = 0;
    waitpid(child, &status, 0);
    EXPECT_EQ(WEXITSTATUS(status), 0);
    const std::string log = content(out + "/log");
    const std::string serves =
        R"("node":"n0","topic":"node","event":"serves","text":"serves on )" + listen + "\"}";
    EXPECT_NE(log.find(serves), std::string::npos) << log;
    EXPECT_NE(log.find(R"("event":"ends")"), std::string::npos) << log;
}

}  // namespace
