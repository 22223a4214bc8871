// Servers that read large requests or write long answers slowly.
#include <gtest/gtest.h>

#include <algorithm>

#include "fleet.h"

namespace {

using namespace brookrelay::testkit;
using std::chrono::milliseconds;

constexpr double kAnswerGraceSeconds = 0.55;  // a final answer may come so long after its time

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

// ---- values that are still being delivered when the platform may kill the node ---------------------------

// A node of these tests must have answered its open requests 2.4 s after the signal, and 2.7 s after it the
// platform may kill it.
constexpr auto kEarliestKill = milliseconds(2700);

struct LateValue {
    const char* name;
    bool at_origin;
    bool inherits_listener;
    bool is_client_slow;  // otherwise the server is
};

class ValueInAShutdown : public testing::TestWithParam<LateValue> {
  protected:
    static constexpr std::size_t kPieces = 40;
    static constexpr int kPieceIntervalMs = 120;  // 4.8 s in all

    void SetUp() override {
        NodeOptions options;
        options.inherits_listener = GetParam().inherits_listener;
        // What a slow client has not read is held by the node, and not by the kernel.
        if (GetParam().is_client_slow)
            options.environment = {"LD_PRELOAD=" FAULT_SHIM_LIBRARY, "FAULT_SHIM_SEND_BUFFERS=16384"};
        fleet_ = std::make_unique<Fleet>(1, options);
        fleet_->caches.front().set_script([this](const std::string& m) {
            if (!id_in(m).starts_with("long")) return hit(m);
            return GetParam().at_origin ? miss(m)
                                        : value("VA " + length() + " O" + id_in(m) + " h1\r\n", "\r\n");
        });
        fleet_->origin.set_script([this](const std::string&) {
            return value("HTTP/1.1 200 OK\r\nContent-Length: " + length() + "\r\n\r\n", "");
        });
    }
    static std::size_t piece_bytes() { return GetParam().is_client_slow ? 50'000 : 10'000; }
    static std::string length() { return std::to_string(kPieces * piece_bytes()); }
    static ScriptedResponse value(const std::string& head, const std::string& end) {
        ScriptedResponse response{head};
        response.pieces.assign(kPieces, std::string(piece_bytes(), 'v'));
        response.pieces.back() += end;
        response.piece_interval_ms = GetParam().is_client_slow ? 0 : kPieceIntervalMs;
        return response;
    }
    // Returns how many bytes of the value came.
    static std::size_t read_value(TestSocket& client) {
        std::size_t bytes = 0;
        for (std::size_t piece = 0; piece < kPieces; ++piece) {
            if (GetParam().is_client_slow) std::this_thread::sleep_for(milliseconds(kPieceIntervalMs));
            bytes += client.bytes(piece_bytes()).size();
        }
        return bytes;
    }
    static int receive_buffer() { return GetParam().is_client_slow ? 4096 : 0; }

    std::unique_ptr<Fleet> fleet_;
};

// Guards against a node that ends by itself while values are passed on, and cuts them off.
TEST_P(ValueInAShutdown, IsDeliveredWhole) {
    TestSocket client(own_loopback(), fleet_->port(), receive_buffer());
    client.send(read_of("7f3a", "long", 1000));
    EXPECT_EQ(client.until("\r\n"), "VA " + length() + " Olong\r\n");
    fleet_->signal(SIGTERM);
    EXPECT_EQ(read_value(client), kPieces * piece_bytes());
    EXPECT_EQ(client.bytes(2), "\r\n");
    EXPECT_TRUE(client.closed_by_peer());
    EXPECT_EQ(fleet_->exit_code(), 0);
}

// Guards against a request that is sent to a server when the node may be killed before it is answered.
TEST_P(ValueInAShutdown, IsFollowedByARefusal) {
    TestSocket client(own_loopback(), fleet_->port(), receive_buffer());
    client.send(read_of("7f3a", "long", 1000));
    EXPECT_EQ(client.until("\r\n"), "VA " + length() + " Olong\r\n");
    fleet_->signal(SIGTERM);
    std::this_thread::sleep_for(kEarliestKill);
    client.send(read_of("7f3a", "next"));  // in the middle of the value
    EXPECT_EQ(read_value(client), kPieces * piece_bytes());
    EXPECT_EQ(client.until("\r\n"), "\r\n");
    EXPECT_EQ(client.until("\r\n"), "SERVER_ERROR busy\r\n");
    EXPECT_TRUE(client.closed_by_peer());
    EXPECT_EQ(fleet_->exit_code(), 0);
    const auto heard = fleet_->caches.front().received_messages();
    EXPECT_TRUE(std::none_of(heard.begin(), heard.end(),
                             [](const std::string& m) { return m.find("next") != std::string::npos; }));
}

INSTANTIATE_TEST_SUITE_P(Kinds, ValueInAShutdown,
                         testing::Values(LateValue{"cache", false, false, false},
                                         LateValue{"origin", true, false, false},
                                         LateValue{"cache_and_shared_listener", false, true, false},
                                         LateValue{"slow_client", false, false, true},
                                         LateValue{"slow_client_and_shared_listener", false, true, true}),
                         [](const auto& c) { return c.param.name; });

// Guards against a value that is cut off by a reset: the whole of it is in the kernel when its connection is
// shut down, and the client's next command arrives once the node has closed the connection.
class ResponseInAShutdown : public testing::TestWithParam<bool> {};

TEST_P(ResponseInAShutdown, IsNotResetByALaterCommand) {
    constexpr std::size_t kLength = 1'000'000, kPieces = 50;
    constexpr auto kPieceInterval = milliseconds(100);
    constexpr std::size_t kPiecesBeforeNextCommand = 30;  // 3 s; an idle connection is shut down after 1 s
    NodeOptions options;
    options.inherits_listener = GetParam();
    Fleet fleet(1, options);
    fleet.caches.front().set_script([](const std::string& m) {
        return ScriptedResponse{"VA " + std::to_string(kLength) + " O" + id_in(m) + " h1\r\n" +
                                std::string(kLength, 'v') + "\r\n"};
    });
    TestSocket client(own_loopback(), fleet.port(), 4096);
    client.send(read_of("7f3a", "long"));
    EXPECT_EQ(client.until("\r\n"), "VA " + std::to_string(kLength) + " Olong\r\n");
    std::this_thread::sleep_for(milliseconds(300));  // the node has written the whole value
    fleet.signal(SIGTERM);
    std::size_t bytes = 0;
    for (std::size_t piece = 0; piece < kPieces; ++piece) {
        std::this_thread::sleep_for(kPieceInterval);
        if (piece == kPiecesBeforeNextCommand) client.send(read_of("7f3a", "next"));
        bytes += client.bytes(kLength / kPieces).size();
    }
    EXPECT_EQ(bytes, kLength);
    EXPECT_EQ(client.bytes(2), "\r\n");
    EXPECT_TRUE(client.closed_by_peer());
    EXPECT_EQ(fleet.exit_code(), 0);
}

INSTANTIATE_TEST_SUITE_P(OnASharedListener, ResponseInAShutdown, testing::Bool());

}  // namespace
