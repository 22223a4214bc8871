// Golden tests: compare the external formats (datagrams, files, output of both programs) with the files in
// tests/golden/. They guard against format changes by renames and refactorings; a failure means that a format
// has changed.
//
// If BROOKRELAY_UPDATE_GOLDEN is set in the environment, the files are written and not compared, and every
// test that writes one fails, so that such a run cannot pass as a check. The labels in the files are part of
// no format.
#include <fcntl.h>
#include <glib.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include "admin/admin_state.h"
#include "config/json.h"
#include "config/node_config.h"
#include "config/operator_config.h"
#include "config/scenario.h"
#include "config/warm_start.h"
#include "gossip/messages.h"
#include "gossip_agent/gossip_agent.h"
#include "io/log.h"
#include "io/timer_queue.h"
#include "protocol/http1.h"
#include "protocol/memcache_text.h"
#include "protocol/origin_http.h"

namespace {

gint64 clock_us = 1'000'000'000;

}  // namespace

// Replaces GLib's clocks in this binary, so that ages and timestamps in the management JSON are the same in
// every run.
extern "C" gint64 g_get_monotonic_time() { return clock_us; }
extern "C" gint64 g_get_real_time() { return 1'790'000'000'000'000 + clock_us; }

namespace {

using namespace brookrelay;

constexpr const char* kRoot = BROOKRELAY_ROOT;

// ---- golden files ---------------------------------------------------------------------------------------

std::string golden_path(const std::string& name) { return std::string(kRoot) + "/tests/golden/" + name; }

std::string content(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
}

std::string golden(const std::string& name) {
    if (!std::filesystem::exists(golden_path(name))) ADD_FAILURE() << "missing golden file " << name;
    return content(golden_path(name));
}

std::string quote(std::string_view bytes);

// Describes the first line that differs. The texts may be hundreds of kilobytes, so they are not printed
// whole.
std::string difference(const std::string& expected, const std::string& actual) {
    std::istringstream expected_lines(expected), actual_lines(actual);
    std::string expected_line, actual_line;
    for (int line = 1;; ++line) {
        const bool has_expected = static_cast<bool>(std::getline(expected_lines, expected_line)),
                   has_actual = static_cast<bool>(std::getline(actual_lines, actual_line));
        if (has_expected && has_actual && expected_line == actual_line) continue;
        if (!has_expected && !has_actual) return "the lines are equal, but only one text ends with a newline";
        const std::size_t common_size =
            has_expected && has_actual ? std::min(expected_line.size(), actual_line.size()) : 0;
        const auto offset = static_cast<std::size_t>(
            std::mismatch(expected_line.begin(),
                          expected_line.begin() + static_cast<std::ptrdiff_t>(common_size),
                          actual_line.begin())
                .first -
            expected_line.begin());
        const std::size_t from = offset < 40 ? 0 : offset - 40;
        return "line " + std::to_string(line) + ", byte " + std::to_string(offset) +
               "\n  golden: " + (has_expected ? quote(expected_line.substr(from, 120)) : "(ends)") +
               "\n  now:    " + (has_actual ? quote(actual_line.substr(from, 120)) : "(ends)");
    }
}

void expect_golden(const std::string& name, const std::string& actual) {
    if (std::getenv("BROOKRELAY_UPDATE_GOLDEN") != nullptr) {
        std::ofstream(golden_path(name), std::ios::binary) << actual;
        ADD_FAILURE() << "update mode: wrote " << name << " and compared nothing; run again without "
                      << "BROOKRELAY_UPDATE_GOLDEN";
        return;
    }
    const std::string expected = golden(name);
    if (expected != actual) ADD_FAILURE() << name << ": " << difference(expected, actual);
}

// A temporary folder that is removed at the end of the test.
class Folder {
  public:
    Folder() {
        std::string name = testing::TempDir() + "golden-XXXXXX";
        if (mkdtemp(name.data()) == nullptr) ADD_FAILURE() << "cannot create the folder " << name;
        path_ = name;
    }
    ~Folder() { std::filesystem::remove_all(path_); }
    Folder(const Folder&) = delete;
    Folder& operator=(const Folder&) = delete;
    std::string at(const std::string& name) const { return path_ + "/" + name; }

  private:
    std::string path_;
};

// ---- values as text -------------------------------------------------------------------------------------

std::string hex(std::string_view bytes) {
    std::string out;
    for (const char c : bytes) {
        char two[3];
        std::snprintf(two, sizeof two, "%02x", static_cast<unsigned>(static_cast<unsigned char>(c)));
        out += two;
    }
    return out;
}

std::string unhex(std::string_view text) {
    std::string out;
    for (std::size_t i = 0; i + 1 < text.size(); i += 2) {
        unsigned byte = 0;
        std::from_chars(text.data() + i, text.data() + i + 2, byte, 16);
        out += static_cast<char>(byte);
    }
    return out;
}

// Quotes a text. Printable ASCII characters are kept, with a backslash before " and \; every other byte
// becomes \xNN.
std::string quote(std::string_view bytes) {
    std::string out = "\"";
    for (const char c : bytes) {
        if (c == '"' || c == '\\') {
            (out += '\\') += c;
        } else if (c >= 0x20 && c < 0x7f) {
            out += c;
        } else {
            out += "\\x" + hex({&c, 1});
        }
    }
    return out + "\"";
}

template <typename T>
std::string to_text(const T& value);

std::string to_text(const std::pair<double, double>& point) {
    return "(" + to_text(point.first) + ", " + to_text(point.second) + ")";
}

template <typename T>
std::string to_text(const T& value) {
    if constexpr (std::is_same_v<T, bool>) {
        return value ? "true" : "false";
    } else if constexpr (std::is_enum_v<T>) {
        return std::to_string(static_cast<int>(value));
    } else if constexpr (std::is_arithmetic_v<T>) {
        char buffer[64];
        // The shortest decimal form that parses to the same value.
        return {buffer, std::to_chars(buffer, buffer + sizeof buffer, value).ptr};
    } else if constexpr (std::is_convertible_v<T, std::string_view>) {
        return quote(value);
    } else {  // a list
        std::string all = "[";
        for (const auto& one : value) all += (all.size() > 1 ? ", " : "") + to_text(one);
        return all + "]";
    }
}

// Text with one field per line, in the order of the put() calls.
struct Fields {
    std::string text;
    template <typename T>
    Fields& put(const char* label, const T& value) {
        text.append(label).append(" = ").append(to_text(value)).append("\n");
        return *this;
    }
    Fields& head(const std::string& title) {
        text.append("[").append(title).append("]\n");
        return *this;
    }
};

// ---- gossip datagrams -----------------------------------------------------------------------------------

gossip::Datagram datagram_with_header() {
    gossip::Datagram d;
    d.node = 513;
    d.stamp = {1'790'000'123, 70'001};
    d.zone = 7;
    d.receiver_incarnation = 1'790'000'456;
    return d;
}

std::vector<std::pair<std::string, gossip::Datagram>> datagrams() {
    const gossip::ServerKey server = gossip::server_key("10.0.0.1:9000"),
                            other_server = gossip::server_key("cache-2");
    gossip::Datagram empty = datagram_with_header(), heartbeats = datagram_with_header(),
                     observations = datagram_with_header(), verdicts = datagram_with_header(),
                     zone_reports = datagram_with_header(), lease_requests = datagram_with_header(),
                     lease_grants = datagram_with_header(), out_of_bounds = datagram_with_header(),
                     default_datagram;
    heartbeats.heartbeats = {{3, 0.375, 2}, {300, 15.875, -1}, {65'000, 1.01, 31}};
    observations.observations = {{server, 12, 3}, {other_server, 0, 127}};
    verdicts.verdicts = {{server, 5, {1'790'000'001, 255}, 0b101, 4, 0.5},
                         {other_server, 260, {1'790'000'002, 65'536}, 0x80000000U, 300, 7.25}};
    zone_reports.zone_reports = {{1, gossip::ZoneObservation::unreachable, 0, 3},
                                 {2, gossip::ZoneObservation::reachable, 4, 0},
                                 {31, gossip::ZoneObservation::strained, 2, 15},
                                 {0, gossip::ZoneObservation::nothing, 5, 1}};
    lease_requests.lease_requests = {{gossip::server_key("origin"), 250'000},
                                     {gossip::server_key("tenant first"), 1}};
    lease_grants.lease_grants = {{gossip::server_key("origin"), 125'000, 70'000},
                                 {gossip::server_key("cold"), 1'000'000, 3}};
    gossip::Datagram all = heartbeats;
    all.observations = observations.observations;
    all.verdicts = verdicts.verdicts;
    all.zone_reports = zone_reports.zone_reports;
    all.lease_requests = lease_requests.lease_requests;
    all.lease_grants = lease_grants.lease_grants;
    out_of_bounds.zone = 40;  // values beyond a field's bound are encoded as the bound
    out_of_bounds.heartbeats = {{1, 1000, 50}};
    out_of_bounds.observations = {{server, 1000, 128}};
    out_of_bounds.zone_reports = {{3, gossip::ZoneObservation::unreachable, 9, 99}};
    return {{"least", default_datagram},     {"empty", empty},         {"alive", heartbeats},
            {"sights", observations},        {"findings", verdicts},   {"zones", zone_reports},
            {"wants", lease_requests},       {"grants", lease_grants}, {"all", all},
            {"beyond bounds", out_of_bounds}};
}

std::string fields_of(const gossip::Datagram& d) {
    Fields f;
    f.put("node", d.node)
        .put("stamp.start", d.stamp.incarnation)
        .put("stamp.number", d.stamp.sequence)
        .put("zone", d.zone);
    f.put("start_of_yours", d.receiver_incarnation);
    for (const auto& a : d.heartbeats)
        f.put("alive.node", a.node).put("alive.age", a.age).put("alive.zone", a.zone);
    for (const auto& s : d.observations)
        f.put("sight.subject", s.server).put("sight.good", s.successes).put("sight.bad", s.failures);
    for (const auto& x : d.verdicts) {
        f.put("finding.subject", x.server)
            .put("finding.keeper", x.owner)
            .put("finding.stamp.start", x.stamp.incarnation);
        f.put("finding.stamp.number", x.stamp.sequence)
            .put("finding.zones", x.bad_zones)
            .put("finding.voices", x.reporters);
        f.put("finding.age", x.age);
    }
    for (const auto& z : d.zone_reports)
        f.put("zone.zone", z.zone)
            .put("zone.sight", z.observation)
            .put("zone.step", z.step)
            .put("zone.falls", z.relapses);
    for (const auto& w : d.lease_requests) f.put("want.limit", w.quota).put("want.crumbs", w.units);
    for (const auto& g : d.lease_grants)
        f.put("grant.limit", g.quota).put("grant.crumbs", g.units).put("grant.of", g.request_sequence);
    return f.text;
}

TEST(Golden, GossipDatagramsHaveTheSameBytes) {
    std::string bytes;
    for (const auto& [name, d] : datagrams()) bytes += name + ": " + hex(gossip::encode(d)) + "\n";
    expect_golden("datagrams.txt", bytes);
}

TEST(Golden, GossipDatagramFieldsMatchTheGoldenFile) {
    std::istringstream lines(golden("datagrams.txt"));
    std::string fields;
    std::size_t count = 0;
    for (std::string line; std::getline(lines, line); ++count) {
        const std::size_t colon = line.find(": ");
        const std::string bytes = unhex(line.substr(colon + 2));
        gossip::Datagram d;
        EXPECT_TRUE(gossip::decode(bytes, d)) << line;
        EXPECT_EQ(hex(gossip::encode(d)), hex(bytes)) << line;
        fields += "[" + line.substr(0, colon) + "]\n" + fields_of(d);
    }
    EXPECT_EQ(count, datagrams().size());
    expect_golden("datagram-fields.txt", fields);
}

// ---- the warm-start snapshot ----------------------------------------------------------------------------

const std::vector<std::string> kKinds{"box", "big \"x\"", "origin"};
const std::vector<std::string> kCaches{"cache-1", "10.0.0.1:9000", "odd \"name\"\\/\n\x01\xc3\xbc"};

WarmStartSnapshot learned_values() {
    WarmStartSnapshot snapshot;
    snapshot.spillover_ratio = 0.1;
    snapshot.shedding_ratio = 1.0 / 3;
    snapshot.admission_ratio = 0.875;
    snapshot.origin_concurrency_limit = 1234.5;
    snapshot.origin_latency = 2e-7;
    snapshot.kind_traffic_shares = {0.25, 1.5, 3};
    snapshot.servers = {{0, 12.75, 0.0625, true}, {2, 1e21, 3, false}, {1, 0, 1e-9, true}};
    return snapshot;
}

std::string snapshot_text(const WarmStartSnapshot& snapshot) {
    return format_warm_start(snapshot, kKinds,
                             [](int server) { return kCaches[static_cast<std::size_t>(server)]; });
}

TEST(Golden, WarmStartSnapshotHasTheSameBytes) {
    expect_golden("snapshot.json", snapshot_text(learned_values()));
}

TEST(Golden, WarmStartSnapshotIsReadAsTheSameValues) {
    const std::string text = golden("snapshot.json");
    const auto read =
        parse_warm_start(text, kKinds, [](const std::string& name) { return index_of(kCaches, name); });
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(snapshot_text(*read), text);
    Fields f;
    f.put("reach", read->spillover_ratio)
        .put("pressure", read->shedding_ratio)
        .put("admitted", read->admission_ratio);
    f.put("origin_limit", read->origin_concurrency_limit)
        .put("origin_pace", read->origin_latency)
        .put("kind_shares", read->kind_traffic_shares);
    for (const auto& c : read->servers)
        f.put("cache", c.server)
            .put("limit", c.concurrency_limit)
            .put("rest", c.backoff_remaining)
            .put("suspect", c.ejected);
    expect_golden("snapshot-fields.txt", f.text);
}

// ---- the administrative state on disk -------------------------------------------------------------------

constexpr double kWallTime = 1'790'000'000;
const std::vector<std::string> kNames{
    "cache-1", "10.0.0.1:9000", "a b/c%d", "..", "\xc3\xbc\xe2\x88\x85", "\x01zone:room-a", "line\nend"};

// Describes all files of a folder by name, with their modes, times and bytes.
std::string folder_text(const std::string& path) {
    std::map<std::string, std::string> files;
    for (const auto& entry : std::filesystem::directory_iterator(path)) {
        struct stat status {};
        EXPECT_EQ(stat(entry.path().c_str(), &status), 0);
        char line[160];
        std::snprintf(line, sizeof line, " mode %o, time %lld.%09ld, bytes ",
                      static_cast<unsigned>(status.st_mode & 0777),
                      static_cast<long long>(status.st_mtim.tv_sec), status.st_mtim.tv_nsec);
        files[entry.path().filename()] = line + hex(content(entry.path()));
    }
    std::string all;
    for (const auto& [name, line] : files) all += name + line + "\n";
    return all;
}

void set_time(const std::string& path, long long seconds, long nanoseconds) {
    const timespec times[2] = {{static_cast<time_t>(seconds), nanoseconds},
                               {static_cast<time_t>(seconds), nanoseconds}};
    EXPECT_EQ(utimensat(AT_FDCWD, path.c_str(), times, 0), 0) << path;
}

std::string admin_state_text(const AdminState& admin_state) {
    Fields f;
    for (const std::string& name : kNames) {
        const AdminState::ServerState s = admin_state.state_of(name);
        f.put("name", name)
            .put("out", s.drained)
            .put("back_at", s.restored_at)
            .put("ever_listed", admin_state.was_ever_listed(name));
    }
    return f.text;
}

TEST(Golden, AdministrativeStateIsTheSameFiles) {
    const Folder folder;
    AdminState admin_state(folder.at("state"));
    admin_state.record_listed({kNames[0], kNames[1]});
    admin_state.record_listed({kNames[1], kNames[2], kNames[3], kNames[4], kNames[6]});
    for (const std::string& name : kNames) {
        if (name == kNames[1]) continue;
        EXPECT_TRUE(admin_state.drain(name)) << name;
    }
    EXPECT_TRUE(admin_state.restore(kNames[1], kWallTime));  // was not drained, so it leaves no file
    EXPECT_TRUE(admin_state.restore(kNames[2], kWallTime));
    EXPECT_TRUE(admin_state.restore(kNames[5], kWallTime));
    EXPECT_TRUE(admin_state.restore(kNames[0], kWallTime));
    EXPECT_TRUE(admin_state.drain(kNames[0]));
    // The file time records when a server was drained or restored. It is the only part that varies between
    // runs.
    int at = 0;
    std::set<std::string> files;
    for (const auto& entry : std::filesystem::directory_iterator(folder.at("state")))
        files.insert(entry.path());
    for (const std::string& file : files)
        set_time(file, static_cast<long long>(kWallTime) + 10 * ++at, 250'000'000);
    expect_golden("by-hand-folder.txt", folder_text(folder.at("state")));
}

TEST(Golden, AdministrativeStateIsReadTheSame) {
    const Folder folder;
    std::filesystem::create_directory(folder.at("state"));
    std::istringstream lines(golden("by-hand-folder.txt"));
    std::string line;
    while (std::getline(lines, line)) {
        char name[200], bytes[800] = "";
        unsigned mode = 0;
        long long seconds = 0;
        long nanoseconds = 0;
        ASSERT_GE(std::sscanf(line.c_str(), "%199s mode %o, time %lld.%ld, bytes %799s", name, &mode,
                              &seconds, &nanoseconds, bytes),
                  4)
            << line;
        const std::string path = folder.at("state/" + std::string(name));
        std::ofstream(path, std::ios::binary) << unhex(bytes);
        std::filesystem::permissions(path, static_cast<std::filesystem::perms>(mode));
        set_time(path, seconds, nanoseconds);
    }
    AdminState admin_state(folder.at("state"));
    std::vector<std::string> changed = admin_state.reload(kWallTime + 100);
    std::sort(changed.begin(), changed.end());
    const std::string early = admin_state_text(admin_state);
    // One of the restored servers has expired by this time.
    std::vector<std::string> later = admin_state.reload(kWallTime + 615);
    std::sort(later.begin(), later.end());
    Fields f;
    f.put("changed", changed).text += early;
    f.put("changed later", later).text += admin_state_text(admin_state);
    expect_golden("by-hand-state.txt", f.text + folder_text(folder.at("state")));
}

// ---- configuration files --------------------------------------------------------------------------------

TEST(Golden, OperatorConfigFieldsMatchTheGoldenFile) {
    const OperatorConfig o = read_operator_config(golden_path("operator.toml"));
    Fields f;
    f.put("json_log", o.json_log).put("log_lines_a_second", o.log_lines_per_second);
    f.put("registry_addresses", o.registry_addresses)
        .put("registry_path", o.registry_path)
        .put("registry_session", o.registry_session_timeout);
    f.put("fleet_talk", o.gossip_enabled)
        .put("fleet_verdicts", o.apply_outlier_verdicts)
        .put("fleet_zones", o.apply_zone_failover);
    f.put("fleet_regions", o.failure_domains);
    f.put("fleet_limits.tenants", o.fleet_quotas.share_tenant_quotas)
        .put("fleet_limits.origin", o.fleet_quotas.origin_attempts_per_second);
    f.put("fleet_limits.cold", o.fleet_quotas.slow_start_attempts_per_second)
        .put("fleet_limits.connections", o.fleet_quotas.connections_per_server);
    f.put("fleet_bytes_a_second", o.gossip_bytes_per_second)
        .put("fleet_price_part", o.gossip_max_price_ratio);
    expect_golden("operator-fields.txt", f.text);
}

void put_operation(Fields& f, const Operation& o) {
    f.put("repeat", o.idempotency)
        .put("scope", o.deduplication_scope)
        .put("dedup_window", o.deduplication_window);
    f.put("latency_objective", o.latency_objective).put("client_timeout", o.client_timeout);
    f.put("billed_value", o.priority_weight)
        .put("tardy_part", o.late_value_ratio)
        .put("streamed", o.streamed);
}

std::string fields_of(const Scenario& s) {
    Fields f;
    f.put("path", std::filesystem::path(s.path).filename().string())
        .put("name", s.name)
        .put("about", s.about)
        .put("seed", s.seed);
    f.put("length", s.length).put("count_from", s.count_from).put("nodes", s.nodes).put("zones", s.zones);
    for (const auto& k : s.kinds) {
        f.head("kind")
            .put("name", k.name)
            .put("count", k.count)
            .put("slots", k.slots)
            .put("queue", k.queue)
            .put("speed", k.speed);
        f.put("keys", k.keys)
            .put("connections", k.connections)
            .put("handshake", k.handshake)
            .put("crowded_from", k.crowded_from);
        f.put("crowding", k.crowding).put("warm_after", k.warm_after);
    }
    const auto& o = s.origin;
    f.head("origin")
        .put("slots", o.slots)
        .put("queue", o.queue)
        .put("speed", o.speed)
        .put("fall_multiple", o.fall_multiple);
    f.put("fall_time", o.fall_time).put("halt", o.halt).put("limit_marked", o.limit_marked);
    f.head("more")
        .put("discovery_lag", s.discovery_lag)
        .put("discovery_asked", s.discovery_asked)
        .put("ask_every", s.ask_every);
    f.put("discovery_calls", s.discovery_calls)
        .put("node_memory_mb", s.node_memory_mb)
        .put("node_descriptors", s.node_descriptors);
    f.put("most_forwards", s.most_forwards)
        .put("most_open", s.most_open)
        .put("connect_timeout", s.connect_timeout);
    f.put("connection_idle", s.connection_idle)
        .put("talk", s.talk)
        .put("talk_bytes", s.talk_bytes)
        .put("talk_tenants", s.talk_tenants);
    f.put("talk_origin", s.talk_origin)
        .put("talk_cold", s.talk_cold)
        .put("talk_connections", s.talk_connections);
    f.put("talk_zones", s.talk_zones).put("answer_grace", s.answer_grace).put("drain_grace", s.drain_grace);
    f.put("cold_from", s.cold_from).put("warm_within", s.warm_within).put("fall_multiple", s.fall_multiple);
    f.put("fall_time", s.fall_time)
        .put("longest_advice", s.longest_advice)
        .put("beyond_share_part", s.beyond_share_part);
    for (const auto& p : s.operations) {
        f.head("operation")
            .put("name", p.name)
            .put("write", p.write)
            .put("share", p.share)
            .put("work", p.work);
        f.put("origin_work", p.origin_work).put("value_bytes", p.value_bytes);
        put_operation(f, p.promised);
    }
    for (const auto& t : s.tenants) {
        f.head("tenant")
            .put("name", t.name)
            .put("share", t.share)
            .put("quota", t.quota)
            .put("nodes", t.nodes)
            .put("then", t.then);
        f.put("moves", t.moves);
    }
    const auto& c = s.clients;
    f.head("clients").put("rate", c.rate).put("curve", c.curve).put("retries", c.retries).put("wait", c.wait);
    f.put("patience_least", c.patience_least).put("patience_most", c.patience_most).put("leave", c.leave);
    f.put("mark_repeats", c.mark_repeats).put("front_notices", c.front_notices);
    f.head("keys")
        .put("count", s.keys.count)
        .put("skew", s.keys.skew)
        .put("drift", s.keys.drift)
        .put("filled", s.keys.filled);
    for (const auto& t : s.troubles) {
        f.head("trouble")
            .put("kind", t.kind)
            .put("at", t.at)
            .put("lasts", t.lasts)
            .put("who", t.who)
            .put("node", t.node);
        f.put("factor", t.factor)
            .put("part", t.part)
            .put("count", t.count)
            .put("nodes", t.nodes)
            .put("from", t.from);
        f.put("to", t.to).put("one_way", t.one_way).put("delay", t.delay).put("origin", t.origin);
    }
    f.head("of it")
        .put("server_names", s.server_names())
        .put("capacity", s.capacity())
        .put("kind_of", s.kind_of(4));
    for (const double time : {0.0, 0.25, 30.0, 70.0}) f.put("curve at", at(c.curve, time, -1));
    return f.text;
}

TEST(Golden, ScenarioFieldsMatchTheGoldenFile) {
    const Scenario s = read_scenario(golden_path("scenario.toml"));
    for (int k = 0; k < static_cast<int>(TroubleKind::count); ++k) {
        EXPECT_TRUE(s.has(static_cast<TroubleKind>(k)))
            << "the golden scenario lacks " << trouble_names()[static_cast<std::size_t>(k)];
    }
    expect_golden("scenario-fields.txt", Fields{}.put("trouble_words", trouble_names()).text + fields_of(s));
}

TEST(Golden, ScenarioWithOverridesFieldsMatchTheGoldenFile) {
    const std::vector<std::string> overrides{"day.length=2m", "clients.rate=12.5", "server.1.speed=0.5",
                                             "name=other words", "trouble.0.at=\"7s\""};
    expect_golden("scenario-overrides-fields.txt",
                  fields_of(read_scenario(golden_path("scenario.toml"), overrides)));
}

void put_endpoints(Fields& f, const EndpointUpdate& list) {
    f.put("version", list.version).put("whole", list.is_full).put("complaints", list.errors);
    for (const auto& s : list.servers) {
        f.head("server")
            .put("name", s.name)
            .put("address", s.address)
            .put("zone", s.zone)
            .put("kind", s.kind)
            .put("cell", s.cell);
        f.put("size", s.weight).put("standing", s.state).put("born", s.started_at);
    }
}

TEST(Golden, NodeConfigFieldsMatchTheGoldenFile) {
    const NodeConfig s = read_node_config(golden_path("station.json"));
    Fields f;
    f.put("name", s.name)
        .put("listen", s.listen)
        .put("discovery", s.discovery)
        .put("management", s.admin_listen);
    f.put("peer_listen", s.peer_listen)
        .put("peers", s.peers)
        .put("peer_price", s.gossip_price)
        .put("scratch", s.state_folder);
    f.put("seed", s.seed)
        .put("descriptors", s.descriptors)
        .put("memory_mb", s.memory_mb)
        .put("most_open", s.max_open_requests);
    const auto& d = s.deployment;
    f.head("deployment")
        .put("zone", d.zone)
        .put("zones", d.zone_count)
        .put("node", d.node_index)
        .put("nodes", d.node_count)
        .put("tick", d.tick_interval);
    f.put("ask_for_list", d.polls_endpoints)
        .put("ask_every", d.poll_interval)
        .put("origin_kind", d.origin_kind);
    f.put("origin_fall_multiple", d.origin_overload_multiple)
        .put("may_duplicate", d.may_hedge)
        .put("may_cancel", d.may_cancel);
    f.put("may_probe", d.may_health_check)
        .put("may_tell_peers", d.may_gossip)
        .put("most_forwards", d.max_attempts);
    f.put("longest_retry_advice", d.max_retry_after).put("connect_timeout", d.connect_timeout);
    f.put("connection_idle", d.connection_idle_timeout)
        .put("answer_grace", d.response_grace)
        .put("drain_grace", d.drain_grace);
    f.put("cold_from", d.cold_capacity_ratio)
        .put("warm_within", d.slow_start_duration)
        .put("fall_multiple", d.overload_multiple);
    f.put("fall_time", d.overload_window)
        .put("sizes", d.endpoint_weights)
        .put("beyond_share_part", d.over_quota_value_ratio);
    for (const auto& o : d.operations) put_operation(f.head("operation"), o);
    for (const auto& t : d.tenants) f.head("tenant").put("quota", t.quota);
    f.head("names")
        .put("zones", s.names.zones)
        .put("kinds", s.names.kinds)
        .put("operations", s.names.operations);
    f.put("tenants", s.names.tenants);
    put_endpoints(f.head("known"), s.cached_endpoints);
    f.head("given");
    for (const auto& [path, keys] : s.given_keys) f.put(path.c_str(), keys);
    expect_golden("station-fields.txt", f.text);
}

TEST(Golden, ServerListFieldsAndErrorsMatchTheGoldenFile) {
    rapidjson::Document root;
    root.Parse(golden("server-list.json").c_str());
    ASSERT_FALSE(root.HasParseError());
    Fields f;
    put_endpoints(f, parse_endpoint_update(root, read_node_config(golden_path("station.json")).names));
    expect_golden("server-list-fields.txt", f.text);
}

// ---- the fleet state in the management interface --------------------------------------------------------

// A datagram socket on a free loopback port.
class Datagrams {
  public:
    Datagrams() : socket_(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0)) {
        sockaddr_in here{};
        here.sin_family = AF_INET;
        here.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof here;
        if (bind(socket_, reinterpret_cast<const sockaddr*>(&here), sizeof here) != 0 ||
            getsockname(socket_, reinterpret_cast<sockaddr*>(&here), &size) != 0)
            ADD_FAILURE() << "cannot bind a datagram socket on 127.0.0.1";
        port_ = ntohs(here.sin_port);
    }
    ~Datagrams() { close(); }
    Datagrams(const Datagrams&) = delete;
    Datagrams& operator=(const Datagrams&) = delete;
    void close() {
        if (socket_ >= 0) ::close(socket_);
        socket_ = -1;
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
    void send(const Datagrams& to, const std::string& bytes) {
        sockaddr_in there{};
        there.sin_family = AF_INET;
        there.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        there.sin_port = htons(to.port_);
        EXPECT_EQ(sendto(socket_, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&there),
                         sizeof there),
                  static_cast<ssize_t>(bytes.size()));
    }

  private:
    int socket_;
    std::uint16_t port_ = 0;
};

// Node 2 of the five in the golden configuration. The test plays its peers and advances its clock.
struct GossipingNode {
    std::array<Datagrams, 5> peers;
    NodeConfig node_config = read_node_config(golden_path("station.json"));
    OperatorConfig operator_config = read_operator_config(golden_path("operator.toml"));
    TimerQueue timers;
    Log log{"golden"};
    std::unique_ptr<GossipAgent> agent;
    int sent = 0;

    explicit GossipingNode(bool with_socket) {
        clock_us = 1'000'000'000;
        operator_config.apply_outlier_verdicts = operator_config.apply_zone_failover = true;
        node_config.peers.clear();
        for (const Datagrams& peer : peers) node_config.peers.push_back(peer.address());
        node_config.peer_listen = with_socket ? peers[2].address() : std::string();
        peers[2].close();
        EXPECT_EQ(GossipAgent::why_unavailable(node_config),
                  with_socket ? "" : "the configuration has no peer_listen");
        agent = std::make_unique<GossipAgent>(
            timers, log, node_config, operator_config, [] {}, [](double, const std::string&, bool, double) {},
            [](double, const gossip::ZoneFailover::Change&) {}, [](double, int, double) {});
        agent->on_endpoints({"cache-1", "cache-2", "origin"}, 2);
    }
    double now() const { return monotonic_now(); }
    void step() {
        clock_us += 125'000;
        agent->tick(now());
    }
    void receive(int from, const std::string& bytes) {
        peers[static_cast<std::size_t>(from)].send(peers[2], bytes);
        const std::string expected = "\"received\":" + std::to_string(++sent) + ",";
        for (int tries = 0; tries < 5000 && agent->state_json(now()).find(expected) == std::string::npos;
             ++tries) {
            if (g_main_context_iteration(nullptr, FALSE) == FALSE) usleep(1000);
        }
        EXPECT_NE(agent->state_json(now()).find(expected), std::string::npos)
            << "a datagram from node " << from << " was not received";
    }
    // Simulates the requests and attempts of this node in one step.
    void simulate_requests(int step) {
        agent->on_request(now());
        for (int t = 0; t < 3; ++t) agent->on_tenant_request(now(), 0);
        agent->admit_origin_attempt(now());
        agent->admit_slow_start(now(), "cache-2");
        agent->max_connections(now(), "cache-1", 30);
        const auto attempt = static_cast<std::uint64_t>(2 * step);
        agent->on_attempt_started(now(), attempt, "cache-1", 1, 0.4);
        agent->on_attempt_started(now(), attempt + 1, "cache-2", 0, 0.4);
        agent->on_attempt_finished(now(), attempt + 1, "cache-2", 0,
                                   step % 3 == 0 ? AttemptOutcome::busy : AttemptOutcome::succeeded, 0.05,
                                   0.4);
        if (step % 2 == 0)
            agent->on_attempt_finished(now(), attempt, "cache-1", 1, AttemptOutcome::refused, 0.05, 0.4);
    }
};

// Puts every key on a line of its own, so that a difference is reported by line. Texts in the JSON contain no
// commas or brackets.
std::string one_key_per_line(const std::string& json) {
    std::string out;
    for (const char c : json) {
        out += c;
        if (c == ',' || c == '{' || c == '[') out += '\n';
    }
    return out + "\n";
}

TEST(Golden, FleetStateOfANodeAloneIsTheSameJson) {
    GossipingNode node(false);
    for (int s = 0; s < 40; ++s) {
        node.simulate_requests(s);
        node.step();
    }
    node.agent->set_zone_admin_state(node.now(), 2, true);
    node.step();
    expect_golden("fleet-state-alone.txt", one_key_per_line(node.agent->state_json(node.now())));
}

TEST(Golden, FleetStateOfANodeWithPeersIsTheSameJson) {
    GossipingNode node(true);
    const gossip::ServerKey failing_server = gossip::server_key("cache-1");
    for (int s = 0; s < 48; ++s) {
        node.simulate_requests(s);
        node.step();
        for (const int from : {0, 1, 3, 4}) {
            if ((s + from) % 4 != 0) continue;
            gossip::Datagram d;
            d.node = from;
            d.stamp = {1'790'000'500U + static_cast<std::uint32_t>(from),
                       1000U + static_cast<std::uint32_t>(s) * 32};
            d.zone = from == 0 ? 0 : 1;
            if (from != 4 || s < 16) d.heartbeats = {{1, 0.25, 1}, {3, 0.5, 1}};
            d.observations = {{failing_server, 1, 9}};
            d.verdicts = {{failing_server, from, d.stamp, 0b11, 3, 0.125}};
            if (from != 0) d.zone_reports = {{2, gossip::ZoneObservation::unreachable, 5, 2}};
            d.lease_requests = {{gossip::server_key("origin"), 20'000}};
            if (from != 4 || s < 36) node.receive(from, gossip::encode(d));
        }
    }
    node.receive(1, "no datagram");
    gossip::Datagram outdated;
    outdated.node = 3;
    outdated.stamp = {1'789'000'000, 1};
    node.receive(3, gossip::encode(outdated));
    const std::string text = node.agent->state_json(node.now());
    for (const char* filled : {"\"said_by\":[{", "\"said_lost\":[1", "\"takers\":4"})
        EXPECT_NE(text.find(filled), std::string::npos) << filled;
    expect_golden("fleet-state.txt", one_key_per_line(text));
}

// ---- the programs ---------------------------------------------------------------------------------------

struct ProgramResult {
    int code = -1;
    std::string out, err;
};

// Runs a command in the project's root, so that the paths that it prints are the same on every machine.
ProgramResult run(const std::string& command) {
    const Folder folder;
    const std::string line = "cd '" + std::string(kRoot) + "' && unset GW_CONFIG && " + command + " >'" +
                             folder.at("out") + "' 2>'" + folder.at("err") + "'";
    const int status = std::system(line.c_str());
    return {WIFEXITED(status) ? WEXITSTATUS(status) : -1, content(folder.at("out")),
            content(folder.at("err"))};
}

TEST(Golden, AdapterGivesTheSameRepliesToABatch) {
    const ProgramResult r = run("'" BROOKRELAY_ADAPTER "' <tests/golden/adapter-input.jsonl");
    EXPECT_EQ(r.code, 0);
    EXPECT_EQ(r.err, "");
    expect_golden("adapter-replies.jsonl", r.out);
}

TEST(Golden, AdapterReportsTheSameErrorsForInvalidInput) {
    const Folder folder;
    std::istringstream lines(golden("adapter-wrong.jsonl"));
    std::string all;
    for (std::string line; std::getline(lines, line);) {
        std::ofstream(folder.at("line")) << line << "\n";
        const ProgramResult r = run("'" BROOKRELAY_ADAPTER "' <'" + folder.at("line") + "'");
        all += "code " + std::to_string(r.code) + ", out " + quote(r.out) + ", err " + quote(r.err) + "\n";
    }
    expect_golden("adapter-wrong.txt", all);
}

TEST(Golden, ProgramPrintsTheSameLinesAndExitsWithTheSameCode) {
    std::string all;
    for (const char* arguments : {
             "--version",
             "check tests/golden/operator.toml",
             "check tests/golden/operator-misspelt.toml",
             "check tests/golden/operator-no-toml.toml",
             "check tests/golden/scenario.toml",
             "check tests/golden/scenario-wrong.toml",
             "check tests/golden/station.json",
             "check tests/golden/station-wrong.json",
             "check tests/golden/no-such-file.toml",
             "check tests/golden/no-such-file.json",
             "check tests/golden",
             "check",
             "check one two",
             "",
             "dance",
             "--dance",
             "serve --log-format xml",
             "serve --config tests/golden/no-such-file.json",
             "serve --operator tests/golden/operator-misspelt.toml --config tests/golden/station.json",
             "registry",
             "explore --depth 20",
             "fleet status",
             "fleet status --address here:1",
             "fleet zones --address 127.0.0.1:1 --leave a --take-back a",
         }) {
        const ProgramResult r = run("'" BROOKRELAY_PROGRAM "' " + std::string(arguments));
        all += "$ brookrelay " + std::string(arguments) + "\n" + r.out +
               (r.err.empty() ? "" : "-- standard error\n" + r.err);
        all += "-- code " + std::to_string(r.code) + "\n";
    }
    expect_golden("command-line.txt", all);
}

// ---- memcache and HTTP ----------------------------------------------------------------------------------

TEST(Golden, CodecsWriteTheSameBytes) {
    Fields f;
    const std::string inputs[] = {
        "mg key-1 v Oid-7 Pc=read,d=1500,t=first,r=1\r\n",
        "mg a/b?c%20\xc3\xbc v Pd=20,x=y,c=lookup Oq\n",
        "ms key-2 5 Ow1 Pc=write,t=second,d=86400000\r\nab\r\nc\r\n",
        "ms empty 0 Pc=write,d=1 Ow2\r\n\r\n",
        "mn\r\n",
        "mg key-3 v Oid\r\n",
        "ms key-4 x Ow3 Pc=write,d=1\r\n",
        "get old\r\n",
    };
    for (const std::string& input : inputs) {
        Command c;
        f.head(quote(input))
            .put("taken", parse_command(input, c))
            .put("kind", c.kind)
            .put("key", c.key)
            .put("id", c.id);
        f.put("value", std::string(c.value.view()))
            .put("complaint", c.error)
            .put("framing_lost", c.framing_lost);
        f.put("operation", c.attributes.operation)
            .put("tenant", c.attributes.tenant)
            .put("repeat", c.attributes.is_client_retry);
        f.put("time_left", c.attributes.time_remaining);
        if (c.kind != Command::Kind::read && c.kind != Command::Kind::write) continue;
        for (const double left : {0.0, 0.0004, 1.2345, 3600.0}) {
            f.put("properties_text", format_attributes(c.attributes, left))
                .put("command_text", format_command(c, left));
            f.put("origin_request", format_origin_request(c, left, "127.0.0.1:8080"));
        }
    }
    f.head("answers")
        .put("value_head", format_value_header("id-7", 4'194'304))
        .put("value_text", format_value("id-7", "a\r\nb"));
    f.put("value_text", format_value("", ""))
        .put("receipt_text", format_receipt("w1", "77"))
        .put("busy_text", format_busy(0));
    f.put("busy_text", format_busy(0.25))
        .put("busy_text", format_busy(0.0004))
        .put("busy_text", format_busy(12.3456));
    f.head("http")
        .put("path_of", percent_encode_segment("a b/c?d#e%f:@~\xc3\xbc"))
        .put("path_of", percent_encode_segment(""));
    f.put("http_request",
          format_http_request("POST", "/x", "[::1]:80", {{"A", "1"}, {"B-c", "two words"}}, "body"));
    f.put("http_request", format_http_request("GET", "/", "h", {}, ""));
    expect_golden("codecs.txt", f.text);
}

TEST(Golden, CodecsReadTheSameFields) {
    Fields f;
    for (const std::string input : {"VA 3 Oid-7\r\nabc\r\n", "HD Ow1 c77\r\n", "EN Oid\r\n", "EN\r\n",
                                    "MN\r\n", "SERVER_ERROR busy\r\n", "SERVER_ERROR out of memory\r\n",
                                    "VA 3 Oid\r\nabcd\r\n", "VA 3 Oid\r\nab", "what\r\n"}) {
        Reply r;
        f.head(quote(input))
            .put("taken", parse_reply(input, r))
            .put("kind", r.kind)
            .put("id", r.id)
            .put("body", r.body);
    }
    for (const std::string input :
         {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
          "HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 500 No\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
          "HTTP/1.0 200 OK\r\n\r\nabc", "no http\r\n\r\n"}) {
        AttemptResponse a;
        f.head(quote(input))
            .put("taken", parse_origin_response(input, a))
            .put("sound", a.valid)
            .put("reusable", a.reusable);
        f.put("unsized", a.unknown_length).put("ending", a.outcome).put("body", a.body);
    }
    expect_golden("codec-fields.txt", f.text);
}

}  // namespace
