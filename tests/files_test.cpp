// The operators' TOML files: all errors are reported at once, each with file, line, key and what was
// expected, and valid values are read as written.
#include <gtest/gtest.h>
#include <unistd.h>

#include <fstream>
#include <string>

#include "config/operator_config.h"
#include "config/scenario.h"
#include "config/toml.h"

namespace {

using namespace brookrelay;

std::string write_file(const std::string& text) {
    const std::string path = testing::TempDir() + "file-" + std::to_string(getpid()) + ".toml";
    std::ofstream(path) << text;
    return path;
}

// The error of reading a file with this text, with the file's path as F; empty if it is valid.
template <typename Read>
std::string read_error(const std::string& text, Read read) {
    const std::string path = write_file(text);
    try {
        read(path);
    } catch (const ConfigurationFileError& exception) {
        std::string errors = exception.what();
        for (std::size_t at = errors.find(path); at != std::string::npos; at = errors.find(path)) {
            errors.replace(at, path.size(), "F");
        }
        return errors;
    }
    return "";
}

TEST(OperatorConfig, ReportsErrorsWithFileLineAndKey) {
    const struct {
        const char* text;
        const char* error;
    } cases[] = {
        {"", ""},
        {"[log]\nformat = \"json\"\n", ""},
        {"[log\n", "F:1: syntax: "},
        {"[log]\nformat = \"jsn\"\n",
         "F:2: log.format: expected one of \"human\", \"json\", found 'jsn'; did you mean 'json'?"},
        {"[log]\nformat = 3\n", "F:2: log.format: expected one of"},
        {"\n[log]\nfromat = \"json\"\n", "F:3: log.fromat: unknown key; did you mean 'format'?"},
        {"[log]\nzzzzzzzz = 1\n", "F:2: log.zzzzzzzz: unknown key; expected one of: format, lines_a_second"},
        {"[lag]\n", "F:1: lag: unknown key; did you mean 'log'?"},
        {"log = 1\n", "F:1: log: expected a table [log], found type integer"},
        {"[log]\nlines_a_second = 0\n", "F:2: log.lines_a_second: expected 1 to 100000, found 0"},
        {"[log]\nlines_a_second = 1.5\n", "F:2: log.lines_a_second: expected a whole number"},
        {"[registry]\naddresses = [\"127.0.0.1:2181\"]\npath = \"/fleet\"\nsession = \"4s\"\n", ""},
        {"[fleet]\ntalk = true\nverdicts = false\nbytes_a_second = 300\nprice_part = 0.01\n", ""},
        {"[fleet]\ntalk = true\nzones = true\nregions = [\"a b\", \"c d\"]\n", ""},
        {"[fleet]\ntalk = true\n[fleet.limits]\ntenants = true\norigin = 200\n", ""},
        {"[fleet.limits]\ntenants = true\n",
         "F:2: fleet.limits.tenants: is set without fleet.talk = true, so it has no effect"},
        {"[fleet]\ntalk = true\n[fleet.limits]\ncold = 12.5\nconnections = 90\n", ""},
        {"[fleet.limits]\nconnections = 90\n",
         "F:2: fleet.limits.connections: is set without fleet.talk = true, so it has no effect"},
        {"[fleet]\ntalk = true\n[fleet.limits]\ncold = 0\n", "F:4: fleet.limits.cold: expected 0.1 to"},
        {"[fleet]\ntalk = true\n[fleet.limits]\nconnections = 0.5\n",
         "F:4: fleet.limits.connections: expected a whole number"},
        {"[fleet]\ntalk = true\n[fleet.limits]\norigin = 0.2\n", "F:4: fleet.limits.origin: expected 1 to"},
        {"[fleet]\nzones = true\n", "F:2: fleet.zones: is set without talk = true, so it has no effect"},
        {"[fleet]\ntalk = true\nregions = [\"a\"]\n",
         "F:3: fleet.regions: expected at least two zone names separated by blanks, found 'a'"},
        {"[fleet]\ntalk = true\nregions = [\"a b\", \"c a\"]\n",
         "F:3: fleet.regions: zone 'a' is listed more than once"},
        {"[fleet]\nverdicts = true\n",
         "F:2: fleet.verdicts: is set without talk = true, so it has no effect"},
        {"[fleet]\ntalk = true\nbytes_a_second = 10\n", "F:3: fleet.bytes_a_second: expected 256 to"},
        {"[registry]\npath = \"/fleet\"\n", "F:1: registry.addresses: is missing; path needs it"},
        {"[registry]\naddresses = [\"here:2181\"]\npath = \"/fleet\"\n",
         "F:2: registry.addresses: expected HOST:PORT with a numeric host, found 'here:2181'"},
        {"[registry]\naddresses = [\"127.0.0.1:2181\"]\npath = \"/fleet/\"\n",
         "F:3: registry.path: expected a path such as \"/fleet\", found '/fleet/'"},
        {"[log]\nlines_a_second = 0\nformat = 1\n",
         "F:3: log.format: expected one of \"human\", \"json\", found ''\nF:2: log.lines"},
    };
    for (const auto& c : cases) {
        const std::string errors =
            read_error(c.text, [](const std::string& path) { (void)read_operator_config(path); });
        EXPECT_EQ(errors.substr(0, std::string(c.error).size()), c.error) << c.text;
        EXPECT_EQ(errors.empty(), std::string(c.error).empty()) << errors;
    }
    EXPECT_THROW((void)read_operator_config("/no/such/file.toml"), ConfigurationFileError);
    EXPECT_TRUE(read_operator_config(write_file("[log]\nformat = \"json\"\n")).json_log);
}

const char* const kScenario =
    "format = \"scenario 1\"\n"  // 1
    "[day]\n"                    // 2
    "length = \"20s\"\n"         // 3
    "[[server]]\n"               // 4
    "name = \"box\"\n"           // 5
    "count = 2\n"                // 6
    "[[operation]]\n"            // 7
    "name = \"read\"\n"          // 8
    "client_timeout = \"1s\"\n"  // 9
    "[[tenant]]\n"               // 10
    "name = \"shops\"\n"         // 11
    "[[trouble]]\n"              // 12
    "what = \"silent\"\n"        // 13
    "who = [\"box-1\"]\n"        // 14
    "at = \"5s\"\n"              // 15
    "lasts = \"2s\"\n";          // 16

TEST(Scenario, ReportsErrorsWithFileLineAndKey) {
    const struct {
        const char* from;
        const char* to;
        const char* error;
    } cases[] = {
        {"20s", "20s", ""},
        {"format = \"scenario 1\"", "", "F:1: format: is missing; expected \"scenario 1\""},
        {"scenario 1", "scenario 9", "F:1: format: expected one of \"scenario 1\", found 'scenario 9'"},
        {"\"20s\"", "20", "F:3: day.length: expected a duration with its unit"},
        {"\"20s\"", "\"20\"", "F:3: day.length: expected a duration with its unit"},
        {"\"20s\"", "\"9h\"", "F:3: day.length: expected 1s to 2h, found 9h"},
        {"count = 2", "cuont = 2", "F:6: server[0].cuont: unknown key; did you mean 'count'?"},
        {"silent", "slient", "F:13: trouble[0].what: expected one of \"silent\""},
        {"box-1", "box-3", "F:14: trouble[0].who: there is no 'box-3'; did you mean 'box-1'?"},
        {"who = [\"box-1\"]", "", "F:12: trouble[0].who: is missing; 'silent' needs a list of names"},
        {"who = [\"box-1\"]", "who = \"box-1\"",
         "F:14: trouble[0].who: expected an array of strings, found type string"},
        {"at = \"5s\"", "", "F:12: trouble[0].at: is missing"},
        {"at = \"5s\"", "at = \"21s\"", "F:15: trouble[0].at: expected 0s to 20s, found 21s"},
        {"what = \"silent\"", "what = \"cut\"\nfrom = [\"room-z\"]",
         "F:14: trouble[0].from: there is no zone, node or server 'room-z'"},
        {"what = \"silent\"", "what = \"cut\"",
         "F:12: trouble[0].from: is missing; 'cut' needs zones, nodes or servers"},
        {"what = \"silent\"", "what = \"freeze\"\nnodes = [\"n9\"]",
         "F:14: trouble[0].nodes: there is no node 'n9'"},
        {"lasts = \"2s\"", "", "F:12: trouble[0].lasts: is missing; 'silent' needs it"},
        {"client_timeout = \"1s\"", "client_timeout = \"1s\"\nlatency_objective = \"2s\"",
         "F:10: operation[0].latency_objective: expected no more than client_timeout (1s), found 2s"},
        {"client_timeout = \"1s\"", "repeat = \"deduplicated\"",
         "F:7: operation[0].dedup_window: is required"},
        {"[[tenant]]", "[clients]\nrate = 200000\ncurve = [[\"0s\", 9.0]]\n[[tenant]]",
         "F:10: clients: expected no more than 5000000 arrivals in a day, found up to 36000000"},
        {"[[operation]]", "[operation]", "F:7: operation: expected entries [[operation]], found type table"},
        {"name = \"read\"", "name = \"a b\"", "F:7: operation: expected a name without blanks"},
    };
    for (const auto& c : cases) {
        std::string text = kScenario;
        text.replace(text.find(c.from), std::string(c.from).size(), c.to);
        const std::string errors =
            read_error(text, [](const std::string& path) { (void)read_scenario(path); });
        EXPECT_EQ(errors.substr(0, std::string(c.error).size()), c.error) << c.to;
        EXPECT_EQ(errors.empty(), std::string(c.error).empty()) << errors;
    }
}

TEST(Scenario, AppliesOverrides) {
    const std::string path = write_file(kScenario);
    const Scenario s =
        read_scenario(path, {"day.length=30s", "server.0.count=5", "clients.rate=77", "trouble.0.at=\"6s\"",
                             "clients.curve=[[\"0s\", 1.0], [\"10s\", 3.0]]"});
    EXPECT_EQ(s.length, 30);
    EXPECT_EQ(s.kinds[0].count, 5);
    EXPECT_EQ(s.clients.rate, 77);
    EXPECT_EQ(s.troubles[0].at, 6);
    EXPECT_DOUBLE_EQ(at(s.clients.curve, 5, 1), 2);
    EXPECT_EQ(s.server_names(),
              (std::vector<std::string>{"box-1", "box-2", "box-3", "box-4", "box-5", "origin"}));
    for (const char* invalid : {"nothing", "=3", "server.7.count=1", "day.length.x=1", "server.0=1"}) {
        EXPECT_THROW((void)read_scenario(path, {invalid}), ConfigurationFileError) << invalid;
    }
    // Overrides are validated like the file.
    EXPECT_THROW((void)read_scenario(path, {"day.lenght=30s"}), ConfigurationFileError);
}

TEST(Durations, NeedAUnit) {
    const struct {
        const char* text;
        double seconds;  // -1: not a duration
    } cases[] = {{"250ms", 0.25}, {"3s", 3}, {"1.5m", 90}, {"2h", 7200}, {"40us", 40e-6}, {"3", -1},
                 {"", -1},        {"s", -1}, {"3 s", -1},  {"-3s", -1},  {"1.2.3s", -1},  {"3days", -1}};
    for (const auto& c : cases) {
        double seconds = -1;
        const bool is_duration = parse_duration(c.text, seconds);
        EXPECT_EQ(is_duration, c.seconds >= 0) << c.text;
        EXPECT_NEAR(is_duration ? seconds : c.seconds, c.seconds, 1e-12) << c.text;
    }
}

}  // namespace
