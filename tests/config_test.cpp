// The node configuration file: defaults, errors that name the invalid key, and which files a reload rejects.
// Also the format of the warm-start snapshot.
#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>

#include "config/json.h"
#include "config/node_config.h"
#include "config/warm_start.h"

using namespace brookrelay;

namespace {

const std::string kValidFile =
    R"({"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "known":{"seq":41,"whole":true,"hosts":[
  {"host":"s-1","dial":"127.0.0.1:3","site":"b","class":"m2","block":3,"health":"SERVING","born_ms":1500},
  {"host":"s-2","health":"DELETED"}]},
 "settings":{"az":1,"balancers":3,"localities":["a","b"],"kinds":["m1","m2","origin"],
  "granularity_us":5000,"discovery":"on_request","permissions":{"conn_idle_us":60000000,"max_open":20000},
  "specifics":{"mode":"aside","origin_kind":2},"parties":[{"name":"acme","quota_per_s":67.0}],
  "operations":[{"name":"read","repeat":"idempotent","client_timeout_us":1200000}]}})";

std::string valid_file_with(const std::string& from, const std::string& to) {
    std::string text = kValidFile;
    const std::size_t at = text.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    if (at == std::string::npos) return text;
    return text.replace(at, from.size(), to);
}

NodeConfig read(const std::string& text) {
    char path[] = "/tmp/brookrelay_config_XXXXXX";
    const int file = mkstemp(path);
    EXPECT_GE(file, 0) << path;
    close(file);
    std::ofstream(path) << text;
    struct FileRemover {
        const char* path;
        ~FileRemover() { std::remove(path); }
    } remover{path};
    return read_node_config(path);
}

TEST(NodeConfig, AValidFileIsReadInFull) {
    const NodeConfig config = read(kValidFile);
    EXPECT_EQ(config.name, "n1");
    EXPECT_EQ(config.seed, 0x8c1f30d27a5be964ULL);
    EXPECT_EQ(config.descriptors, 1024);
    EXPECT_EQ(config.memory_mb, 192);
    EXPECT_EQ(config.deployment.zone, 1);
    EXPECT_EQ(config.deployment.zone_count, 2);
    EXPECT_EQ(config.deployment.origin_kind, 2);
    EXPECT_TRUE(config.deployment.polls_endpoints);
    EXPECT_EQ(config.deployment.connection_idle_timeout, 60);
    EXPECT_EQ(config.max_open_requests, 20000);
    EXPECT_EQ(config.deployment.operations[0].latency_objective,
              1.2);  // missing in the file: the client timeout
    EXPECT_EQ(config.names.operations[0], "read");
    EXPECT_EQ(config.names.tenants[0], "acme");
    EXPECT_EQ(config.cached_endpoints.version, 41);
    EXPECT_TRUE(config.cached_endpoints.is_full);
    ASSERT_EQ(config.cached_endpoints.servers.size(), 2U);
    const EndpointRecord& first = config.cached_endpoints.servers[0];
    EXPECT_EQ(first.zone, 1);
    EXPECT_EQ(first.kind, 1);
    EXPECT_EQ(first.cell, 3);
    EXPECT_EQ(first.started_at, 1.5);
    EXPECT_EQ(config.cached_endpoints.servers[1].state, EndpointState::removed);
}

TEST(NodeConfig, AnErrorNamesTheKey) {
    struct Case {
        const char *from, *to, *key;
    };
    for (const Case& c :
         {Case{"\"name\":\"n1\",", "", "name"},
          Case{"\"127.0.0.1:1\"", "7", "listen"},
          Case{"8c1f30d27a5be964", "xyz", "seed"},
          Case{"1024", "\"many\"", "sockets"},
          Case{"1024", "10", "limits.sockets"},
          Case{"192", "\"much\"", "memory_mb"},
          Case{"192", "8", "limits.memory_mb"},
          Case{"\"seq\":41,", "", "seq"},
          Case{"\"site\":\"b\"", "\"site\":\"c\"", "site"},
          Case{"\"class\":\"m2\"", "\"class\":\"m9\"", "class"},
          Case{"SERVING", "FINE", "health"},
          Case{"\"idempotent\"", "\"often\"", "repeat"},
          Case{"\"operations\"", "\"actions\"", "operations"},
          Case{"\"az\":1", "\"az\":1.5", "az"},
          Case{"\"known\"", "\"unknown\"", "known"},
          Case{"\"settings\"", "\"set\"", "settings"},
          Case{"on_request", "sometimes", "discovery"},
          Case{"\"az\":1", "\"az\":2", "az"},
          Case{"\"az\":1", "\"az\":-1", "az"},
          Case{"client_timeout_us", "timeout_us", "client_timeout_us"},
          Case{"1200000", "0", "client_timeout_us"},
          Case{"1200000", "-5", "client_timeout_us"},
          Case{"1200000", "\"1200000\"", "client_timeout_us"},
          Case{"1200000}", "1200000,\"latency_objective_us\":0}", "latency_objective_us"},
          Case{"1200000}", "1200000,\"latency_objective_us\":-1}", "latency_objective_us"},
          Case{"\"max_open\"", "\"most_forwards\":0,\"max_open\"", "most_forwards"},
          Case{"\"max_open\"", "\"most_forwards\":-2,\"max_open\"", "most_forwards"},
          Case{"\"max_open\"", "\"most_forwards\":2.5,\"max_open\"", "most_forwards"},
          Case{"\"max_open\"", "\"most_forwards\":\"3\",\"max_open\"", "most_forwards"},
          Case{"\"max_open\"", "\"conn_idle_us\":1,\"max_open\"", "conn_idle_us"},
          Case{"[\"a\",\"b\"]", "[\"a\",\"a\"]", "localities"},
          Case{"[{\"name\":\"acme\"", "[{\"name\":\"acme\"},{\"name\":\"acme\"", "parties"},
          Case{"[{\"name\":\"read\"",
               "[{\"name\":\"read\",\"repeat\":\"idempotent\",\"client_timeout_us\":1},{\"name\":\"read\"",
               "operations"},
          Case{"60000000", "-1", "conn_idle_us"},
          Case{"127.0.0.1:1", "localhost:1", "listen"},
          Case{"127.0.0.1:2", "127.0.0.1", "discovery"},
          Case{"127.0.0.1:3", "127.0.0.1:0", "dial"},
          Case{"127.0.0.1:3", "[::1:3", "dial"},
          Case{"127.0.0.1:3", ":3", "dial"},
          Case{"{\"name\"", "\"name\"", "JSON"}}) {
        SCOPED_TRACE(std::string(c.from) + " -> " + c.to);
        std::string message;
        try {
            read(valid_file_with(c.from, c.to));
        } catch (const ConfigurationError& error) {
            message = error.what();
        }
        EXPECT_NE(message.find(c.key), std::string::npos) << message;
    }
}

TEST(EndpointList, AnInvalidEntryIsSkippedAlone) {
    rapidjson::Document list;
    list.Parse(R"({"seq":43,"whole":false,"hosts":[
        {"host":"s-1","health":"SERVING"},{"host":"s-2","health":"DRAINING"}]})");
    const EndpointUpdate update = parse_endpoint_update(list, read(kValidFile).names);
    EXPECT_EQ(update.version, 43);
    EXPECT_FALSE(update.is_full);
    ASSERT_EQ(update.servers.size(), 1U);
    EXPECT_EQ(update.servers[0].name, "s-2");
    EXPECT_EQ(update.servers[0].state, EndpointState::draining);
    EXPECT_LT(update.servers[0].zone, 0);  // unchanged
    ASSERT_EQ(update.errors.size(), 1U);
    EXPECT_NE(update.errors[0].find("dial"), std::string::npos) << update.errors[0];
}

// A reload may add keys and remove entries, but not keys: a file that lacks one was truncated, or was not
// generated for this node.
TEST(NodeConfigReload, RejectsAFileThatLacksAKeyOfTheRunningOne) {
    const std::string running_text =
        valid_file_with(R"({"name":"read","repeat":"idempotent","client_timeout_us":1200000})",
                        R"({"name":"read","repeat":"idempotent","client_timeout_us":1200000,"billed_value":1},
  {"name":"put","repeat":"deduplicated","client_timeout_us":900000,"billed_value":2,"key_ttl_us":3000000})");
    const NodeConfig running = read(running_text);
    struct Case {
        const char *from, *to, *key;  // the key that the error names; empty: the file is accepted
    };
    for (const Case& c :
         {Case{"", "", ""}, Case{"\"conn_idle_us\":60000000,", "", "settings.permissions.conn_idle_us"},
          Case{"\"conn_idle_us\":60000000", "\"conn_idle_us\":null", "settings.permissions.conn_idle_us"},
          Case{"\"permissions\":{\"conn_idle_us\":60000000,\"max_open\":20000},", "", "settings.permissions"},
          Case{"\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},", "", "limits"},
          Case{",\"billed_value\":1", "", "settings.operations[].billed_value"},
          Case{",\"key_ttl_us\":3000000", "", "settings.operations[deduplicated].key_ttl_us"},
          Case{"\"parties\":[{\"name\":\"acme\",\"quota_per_s\":67.0}],", "", "settings.parties"},
          Case{",\"quota_per_s\":67.0", "", "settings.parties[].quota_per_s"},
          Case{"{\"name\":\"read\",\"repeat\":\"idempotent\",\"client_timeout_us\":1200000,\"billed_value\":"
               "1},",
               "", ""},
          Case{"{\"name\":\"read\"",
               "{\"name\":\"bid\",\"repeat\":\"at_most_once\",\"client_timeout_us\":1,\"billed_value\":1},{"
               "\"name\":\"read\"",
               ""},
          Case{"{\"name\":\"read\"",
               "{\"name\":\"bid\",\"repeat\":\"at_most_once\",\"client_timeout_us\":1},{\"name\":\"read\"",
               "settings.operations[].billed_value"},
          Case{",\"born_ms\":1500", "", ""}}) {
        SCOPED_TRACE(std::string(c.from) + " -> " + c.to);
        std::string text = running_text;
        if (*c.from != 0) {
            const std::size_t at = text.find(c.from);
            ASSERT_NE(at, std::string::npos);
            text.replace(at, std::string(c.from).size(), c.to);
        }
        const std::string reason = why_not_reloadable(running, read(text));
        if (*c.key == 0) {
            EXPECT_EQ(reason, "");
        } else {
            EXPECT_NE(reason.find("'" + std::string(c.key) + "'"), std::string::npos) << reason;
        }
    }
}

TEST(NodeConfig, ATruncatedFileIsRejected) {
    for (std::size_t length = 0; length < kValidFile.size(); ++length) {
        bool is_rejected = false;
        try {
            read(kValidFile.substr(0, length));
        } catch (const ConfigurationError&) {
            is_rejected = true;
        }
        EXPECT_TRUE(is_rejected) << "cut at " << length;
    }
}

TEST(WarmStart, MapsKindsAndServersByName) {
    const WarmStartSnapshot snapshot{
        0.25, 0.5, 0.75, 3, 0.125, {1, 0.5}, {{0, 2.5, -4, false}, {1, 1, 0.5, true}}};
    const std::string text =
        format_warm_start(snapshot, {"m1", "m2"}, [](int server) { return server == 0 ? "s-1" : "s-2"; });
    const auto index_of_server = [](const std::string& name) { return name == "s-2" ? 7 : -1; };
    const auto decoded = parse_warm_start(text, {"m2", "new"}, index_of_server);
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(decoded->spillover_ratio, 0.25);
    EXPECT_EQ(decoded->shedding_ratio, 0.5);
    EXPECT_EQ(decoded->admission_ratio, 0.75);
    EXPECT_EQ(decoded->origin_concurrency_limit, 3);
    EXPECT_EQ(decoded->origin_latency, 0.125);
    EXPECT_EQ(decoded->kind_traffic_shares, std::vector<double>({0.5, 1}));
    ASSERT_EQ(decoded->servers.size(), 1U);
    EXPECT_EQ(decoded->servers[0].server, 7);
    EXPECT_EQ(decoded->servers[0].concurrency_limit, 1);
    EXPECT_EQ(decoded->servers[0].backoff_remaining, 0.5);
    EXPECT_TRUE(decoded->servers[0].ejected);
    for (std::size_t length = 0; length < text.size(); ++length)
        EXPECT_FALSE(parse_warm_start(text.substr(0, length), {"m2"}, index_of_server).has_value())
            << "cut at " << length;
    EXPECT_FALSE(parse_warm_start("[]", {}, index_of_server).has_value());
    EXPECT_FALSE(parse_warm_start(R"({"reach":"far"})", {}, index_of_server).has_value());
}

}  // namespace
