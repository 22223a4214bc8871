// Tests the program over real sockets while other clients hold all of its client connections: requests on new
// connections are answered in time, whatever the others do with theirs.
#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <list>
#include <ostream>
#include <regex>
#include <string>
#include <thread>
#include <vector>

#include "fleet.h"

namespace {

using namespace brookrelay::testkit;

constexpr auto kMillisecond = std::chrono::milliseconds(1);
constexpr int kDescriptors = 64;      // allow 24 client connections
constexpr std::size_t kHolders = 60;  // more than the node has connections for
constexpr int kRequests = 12;
constexpr int kPipelined = 3;
constexpr int kClientTimeoutMs = 300;
// The grace that the configuration allows an answer, and the jitter of real sockets.
constexpr double kAnswerToleranceSeconds = 0.02 + 0.05;

// What a client sends once it is connected, and never continues.
struct Holder {
    const char* name;
    std::string text;
    friend void PrintTo(const Holder& holder, std::ostream* out) { *out << holder.name; }
};

// Keeps kHolders clients connected that do what `holder` says. One whose connection ends comes again.
class HoldingCrowd {
  public:
    HoldingCrowd(int port, std::string text) : text_(std::move(text)), thread_([this, port] { run(port); }) {}
    ~HoldingCrowd() {
        stop_ = true;
        thread_.join();
    }
    HoldingCrowd(const HoldingCrowd&) = delete;
    HoldingCrowd& operator=(const HoldingCrowd&) = delete;

  private:
    void run(int port) {
        std::list<TestSocket> holders;
        for (int n = 0; !stop_; ++n) {
            const std::string text = std::regex_replace(text_, std::regex("#"), std::to_string(n));
            holders.emplace_back(own_loopback(), port);
            if (!text.empty()) holders.back().send(text);
            if (holders.size() > kHolders) holders.pop_front();
            std::this_thread::sleep_for((holders.size() < kHolders ? 2 : 25) * kMillisecond);
        }
    }

    const std::string text_;
    std::atomic<bool> stop_{false};
    std::thread thread_;
};

class FullConnections : public testing::TestWithParam<Holder> {
  protected:
    static NodeOptions few_descriptors() {
        NodeOptions options;
        options.descriptors = kDescriptors;
        return options;
    }
    static bool is_answer(const std::string& line, const std::string& id) {
        return line == "VA 5 O" + id + "\r\n" || line == "SERVER_ERROR busy\r\n";
    }

    Fleet fleet_{1, few_descriptors()};
};

// Guards against commands that wait to be accepted until after their client's time (issue 59, soak seed 127).
TEST_P(FullConnections, NewRequestsAreAnsweredInTime) {
    const HoldingCrowd crowd(fleet_.port(), GetParam().text);
    std::this_thread::sleep_for(400 * kMillisecond);
    double slowest = 0;
    int served = 0;
    for (int n = 0; n < kRequests; ++n) {
        const std::string id = "new" + std::to_string(n);
        const double asked_at = now_seconds();
        TestSocket client(own_loopback(), fleet_.port());
        client.send(read_of("7f3a", id, kClientTimeoutMs));
        const std::string line = client.until("\r\n");
        const double taken = now_seconds() - asked_at;
        slowest = std::max(slowest, taken);
        served += line.starts_with("VA ");
        EXPECT_TRUE(is_answer(line, id)) << line;
        EXPECT_LE(taken, kClientTimeoutMs / 1e3 + kAnswerToleranceSeconds) << "request " << n;
    }
    std::printf("[ measured ] slowest answer after %.3f s, %d of %d served\n", slowest, served, kRequests);
    EXPECT_TRUE(fleet_.alive());
}

// Guards against commands that are lost with a connection that gives way to others.
TEST_P(FullConnections, EachPipelinedRequestIsAnswered) {
    const HoldingCrowd crowd(fleet_.port(), GetParam().text);
    std::this_thread::sleep_for(400 * kMillisecond);
    for (int n = 0; n < kRequests; ++n) {
        std::string commands;
        for (int k = 0; k < kPipelined; ++k)
            commands += read_of("7f3a", "p" + std::to_string(n * kPipelined + k), kClientTimeoutMs);
        TestSocket client(own_loopback(), fleet_.port());
        client.send(commands);
        for (int k = 0; k < kPipelined; ++k) {
            const std::string line = client.until("\r\n");
            EXPECT_TRUE(is_answer(line, "p" + std::to_string(n * kPipelined + k))) << line;
            if (line.starts_with("VA ")) {
                EXPECT_EQ(client.until("\r\n"), "hello\r\n");
            }
        }
    }
}

INSTANTIATE_TEST_SUITE_P(
    Holders, FullConnections,
    testing::Values(Holder{"silent", ""}, Holder{"half_heads", "mg 7f3a v Oheld#"},
                    Holder{"half_values", "ms 7f3a 30000 Oheld# Pc=put,d=5000,k=h#\r\nxxx"},
                    Holder{"half_long_values",
                           "ms 7f3a 300000 Oheld# Pc=put,d=5000,k=h#\r\n" + std::string(20000, 'x')},
                    Holder{"answered_then_half", "mn\r\nmg 7f3a v Oheld#"}),
    [](const auto& c) { return c.param.name; });

}  // namespace
