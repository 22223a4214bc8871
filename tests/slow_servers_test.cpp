// Servers that read large requests or write long answers slowly.
#include <gtest/gtest.h>

#include "fleet.h"

namespace {

using namespace brookrelay::testkit;
using std::chrono::milliseconds;

constexpr double kAnswerGraceSeconds = 0.55;  // a final answer may come so long after its time

double now_seconds() {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

struct SlowReader {
    const char* name;
    const char* write_idempotency;
    std::size_t bytes;
};

class ServerThatReadsSlowly : public testing::TestWithParam<SlowReader> {};

// Guards against a final answer that comes seconds after its time.
TEST_P(ServerThatReadsSlowly, DoesNotDelayTheFinalAnswer) {
    constexpr int kMs = 1000;
    const SlowReader& c = GetParam();
    NodeOptions options;
    options.write_idempotency = c.write_idempotency;
    options.environment = {"LD_PRELOAD=" FAULT_SHIM_LIBRARY, "FAULT_SHIM_SEND_BUFFERS=16384"};
    Fleet fleet(2, options);
    fleet.origin.set_receive_buffer(16 * 1024);
    fleet.origin.delay_bodies([] { return 6.0; });
    TestSocket client(own_loopback(), fleet.port());
    client.send("ms k " + std::to_string(c.bytes) + " Ow1 Pc=put,d=" + std::to_string(kMs) + ",k=w1\r\n" +
                std::string(c.bytes, 'v') + "\r\n");
    const double sent_at = now_seconds();
    const std::string line = client.until("\r\n");
    const double waited = now_seconds() - sent_at;
    std::printf("%.3f s: %s", waited, line.c_str());
    EXPECT_TRUE(line.starts_with("SERVER_ERROR ")) << line;
    EXPECT_LT(waited, kMs / 1e3 + kAnswerGraceSeconds);
    // The connection is as usable as before.
    client.send("mn\r\n");
    EXPECT_EQ(client.until("\r\n"), "MN\r\n");
}

INSTANTIATE_TEST_SUITE_P(
    Kinds, ServerThatReadsSlowly,
    testing::Values(
        SlowReader{"keyed_at_the_origin", R"("deduplicated","group":"all","key_ttl_us":3000000)", 2'000'000},
        SlowReader{"short_at_the_origin", R"("deduplicated","group":"all","key_ttl_us":3000000)", 64'000},
        SlowReader{"idempotent", R"("idempotent")", 2'000'000},
        SlowReader{"once", R"("at_most_once")", 2'000'000}),
    [](const auto& c) { return c.param.name; });

struct SlowWriter {
    const char* name;
    bool at_origin;
    bool is_shutting_down;  // the node is told to end while the answer comes
};

class ServerThatWritesSlowly : public testing::TestWithParam<SlowWriter> {};

// Guards against a long answer that is cut off although its server still writes it.
TEST_P(ServerThatWritesSlowly, IsForwardedToItsEnd) {
    constexpr int kMs = 1000, kPieces = 28, kPieceIntervalMs = 90;
    constexpr std::size_t kPieceBytes = 10'000;
    const SlowWriter& c = GetParam();
    Fleet fleet(1);
    const auto slowly = [](const std::string& head, const std::string& end) {
        ScriptedResponse response{head};
        response.pieces.assign(kPieces, std::string(kPieceBytes, 'v'));
        response.pieces.back() += end;
        response.piece_interval_ms = kPieceIntervalMs;
        return response;
    };
    const std::string length = std::to_string(kPieces * kPieceBytes);
    fleet.caches.front().set_script([&](const std::string& m) {
        return c.at_origin ? miss(m) : slowly("VA " + length + " O" + id_in(m) + " h1\r\n", "\r\n");
    });
    fleet.origin.set_script([&](const std::string&) {
        return slowly("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n", "");
    });
    TestSocket client(own_loopback(), fleet.port());
    client.send(read_of("7f3a", "r1", kMs));
    EXPECT_EQ(client.until("\r\n"), "VA " + length + " Or1\r\n");
    if (c.is_shutting_down) fleet.signal(SIGTERM);
    EXPECT_EQ(client.bytes(kPieces * kPieceBytes).size(), kPieces * kPieceBytes);
    EXPECT_EQ(client.bytes(2), "\r\n");
}

INSTANTIATE_TEST_SUITE_P(Kinds, ServerThatWritesSlowly,
                         testing::Values(SlowWriter{"cache", false, false}, SlowWriter{"origin", true, false},
                                         SlowWriter{"cache_in_a_shutdown", false, true},
                                         SlowWriter{"origin_in_a_shutdown", true, true}),
                         [](const auto& c) { return c.param.name; });

}  // namespace
