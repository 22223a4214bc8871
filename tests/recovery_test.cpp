// State that must survive kills, full disks and steps of the wall clock: the state folder, the warm start and
// the slow start of servers. Also the schedule of a shutdown.
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "admin/admin_state.h"
#include "proxy/graceful_shutdown.h"
#include "proxy/server_table.h"
#include "proxy/warm_start_file.h"

namespace {

using namespace brookrelay;

constexpr double kHour = 3600;

// A temporary folder, removed at the end of the test.
class TemporaryFolder {
  public:
    TemporaryFolder() {
        std::string pattern = testing::TempDir() + "recovery-XXXXXX";
        path_ = mkdtemp(pattern.data());
    }
    ~TemporaryFolder() { std::filesystem::remove_all(path_); }
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;
    std::string at(const std::string& name) const { return path_ + "/" + name; }

  private:
    std::string path_;
};

// ---- the state folder ------------------------------------------------------------------------------------

// A kill or a full disk during a write leaves an incomplete line.
TEST(StateFolder, AnIncompleteLineDamagesNoOtherName) {
    const TemporaryFolder folder;
    AdminState state(folder.at("state"));
    state.record_listed({"s-1"});
    std::ofstream(folder.at("state/listed"), std::ios::app) << "s-1";  // the beginning of "s-17"
    state.record_listed({"s-2", "s-3"});
    for (const char* name : {"s-1", "s-2", "s-3"}) EXPECT_TRUE(state.was_ever_listed(name)) << name;
    EXPECT_FALSE(state.was_ever_listed("s-17"));
}

// ---- the slow start of servers ---------------------------------------------------------------------------

constexpr double kSlowStart = 30;

// A table with one server that is known from the first list and restarts later. The wall clock of this node
// is stepped by `step_before` seconds before the process starts and by `step_after` seconds after that.
struct RestartedServer {
    Deployment deployment;
    std::unique_ptr<ServerTable> table;
    int server = 0;
    double now = 1000;
    static constexpr double kTrueOffset = 1e9;  // wall clock minus monotonic clock on the other machines, s

    explicit RestartedServer(double step_before, double step_after) {
        deployment.slow_start_duration = kSlowStart;
        table = std::make_unique<ServerTable>(deployment, kTrueOffset + step_before);
        server = table->find_or_add("s-1");
        list(0, step_before);
        now += 100;
        list(0, step_before + step_after);
        now += 1;
        list(kTrueOffset + now - 0.2, step_before + step_after);  // it started 0.2 s ago
    }
    void list(double started_at, double step) {
        EndpointRecord record;
        record.name = "s-1";
        record.address = "127.0.0.1:1";
        record.started_at = started_at;
        table->update(server, record, {}, {now, kTrueOffset + step});
        table->on_list_applied(now);
    }
};

TEST(SlowStart, IsCorrectForAnObservedRestartWhateverTheWallClockSays) {
    for (const double before : {0.0, 5.0, -5.0, kHour, -kHour}) {
        for (const double after : {0.0, 5.0, -5.0, kHour, -kHour}) {
            SCOPED_TRACE(testing::Message() << before << " s before the start, " << after << " s after it");
            const RestartedServer restart(before, after);
            EXPECT_TRUE(restart.table->is_cold(restart.server, restart.now + kSlowStart - 1));
            EXPECT_FALSE(restart.table->is_cold(restart.server, restart.now + kSlowStart + 1));
            const double started_at = restart.table->endpoint(restart.server).started_at;
            EXPECT_LE(started_at, restart.now);
            EXPECT_GE(started_at, restart.now - 1);
        }
    }
}

// ---- the warm start --------------------------------------------------------------------------------------

// A snapshot that was written an hour ago is ignored, also if the clock was set back by that hour since. A
// recent snapshot is used, also if the clock was stepped in either direction since.
TEST(WarmStart, IsLoadedByItsRealAge) {
    const TemporaryFolder folder;
    const WarmStartFile file(folder.at("learned"));
    const auto name_of = [](int) { return std::string("s-1"); };
    const auto number_of = [](const std::string&) { return 0; };
    const double offset = static_cast<double>(time(nullptr)) - 1000;
    file.save({}, {1000, offset}, {}, name_of);
    for (const double step : {0.0, kHour, -kHour}) {
        EXPECT_TRUE(file.load({1001, offset + step}, {}, number_of).has_value()) << step;
        EXPECT_FALSE(file.load({1000 + kHour, offset + step}, {}, number_of).has_value()) << step;
    }
}

// ---- the schedule of a shutdown --------------------------------------------------------------------------

constexpr GracefulShutdown::Work kOpenRequests{.has_clients = true, .has_open_requests = true};

// The kill comes min(longest client timeout, 3 s) + 0.7 s after the signal.
TEST(ShutdownTimes, OpenRequestsFailBeforeTheKillForEachTimeout) {
    for (const double timeout : {0.2, 1.0, 9.0}) {
        GracefulShutdown shutdown;
        shutdown.begin(100, timeout, false);
        const double kill = 100 + std::min(timeout, 3.0) + 0.7;
        EXPECT_EQ(shutdown.next_step(kill - 0.2, kOpenRequests), GracefulShutdown::Step::fail_open_requests);
        EXPECT_LT(shutdown.closes_at(), kill - 0.3);
    }
}

TEST(ShutdownTimes, AShorterTimeoutAfterAReloadCountsFromTheSignal) {
    GracefulShutdown shutdown;
    shutdown.begin(100, 3.0, false);
    EXPECT_EQ(shutdown.next_step(100.7, kOpenRequests), GracefulShutdown::Step::wait);
    shutdown.on_configuration(0.2);
    EXPECT_EQ(shutdown.next_step(100.7, kOpenRequests), GracefulShutdown::Step::fail_open_requests);
    shutdown.on_configuration(3.0);  // a longer timeout does not certainly delay the kill
    EXPECT_EQ(shutdown.next_step(100.7, kOpenRequests), GracefulShutdown::Step::fail_open_requests);
}

// Guards against a process that ends by itself, and truncates the values that it is sending.
TEST(ShutdownTimes, NoEndBeforeTheResponsesAreDelivered) {
    constexpr double kLongAfterTheKill = 160;  // s
    for (const bool has_shared_listener : {false, true}) {
        GracefulShutdown shutdown;
        shutdown.begin(100, 3.0, has_shared_listener);
        for (const bool has_clients : {false, true}) {
            const GracefulShutdown::Work delivering{.has_clients = has_clients,
                                                    .has_undelivered_responses = true};
            EXPECT_EQ(shutdown.next_step(kLongAfterTheKill, delivering), GracefulShutdown::Step::wait);
            EXPECT_EQ(shutdown.next_step(kLongAfterTheKill, {.has_clients = has_clients}),
                      GracefulShutdown::Step::finish);
        }
    }
}

}  // namespace
