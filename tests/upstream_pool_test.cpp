// The program's side towards its servers, over real connections: what is sent, when, and for whom.
#include <gtest/gtest.h>

#include <atomic>

#include "fleet.h"

namespace {

using namespace brookrelay::testkit;

constexpr auto kMillisecond = std::chrono::milliseconds(1);
constexpr double kDeadlineSlack = 0.15;  // s that a server may be told more than the client has left

double seconds() {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

// The deadline that a message tells its server, in seconds from when it is sent.
double told_deadline(const std::string& message) {
    const std::size_t at = message.find(",d=");
    return at == std::string::npos ? 1e9 : std::stoi(message.substr(at + 3)) / 1e3;
}

// ---- the deadline that a server is told ------------------------------------------------------------------

// A connection that comes up late has used up a part of the client's time.
TEST(ToldDeadline, IsWhatTheClientHasLeftWhenItsConnectionComesUpLate) {
    constexpr double kClientTimeout = 4;
    for (const bool write : {false, true}) {
        Around around;
        around.connect_timeout_ms = 60000;
        Fleet fleet(1, around);
        ScriptedPeer& server = write ? fleet.origin : fleet.caches.front();
        Late late(server);
        Line line(own_loopback(), fleet.port());
        const double asked = seconds();
        line.send(write ? "ms k 1 Ow1 Pc=put,t=acme,d=4000,k=w1\r\nx\r\n" : read_of("7f3a", "r1", 4000));
        std::this_thread::sleep_for(500 * kMillisecond);
        late.come_up();
        wait_for([&] { return !server.heard().empty(); });
        const double left = kClientTimeout - (seconds() - asked);
        EXPECT_LE(told_deadline(server.heard().front()), left + kDeadlineSlack);
    }
}

// An answer over HTTP is waited for some milliseconds more before its connection carries the next request.
TEST(ToldDeadline, IsWhatTheClientHasLeftAfterThePauseOfAConnection) {
    Fleet fleet(1);
    Line line(own_loopback(), fleet.port());
    for (int n = 0; n < 20; ++n) {
        const std::string id = "w" + std::to_string(n);
        const double asked = seconds();
        line.send("ms k 1 O" + id + " Pc=put,t=acme,d=1000,k=" + id + "\r\nx\r\n");
        EXPECT_EQ(line.until("\r\n"), "HD O" + id + " cmade\r\n");
        EXPECT_LE(told_deadline(fleet.origin.heard().back()), 1.0 - (seconds() - asked) + kDeadlineSlack);
    }
}

// A process that is held up for less than a pause that it notices as one.
TEST(ToldDeadline, IsWhatTheClientHasLeftAfterAShortHoldUp) {
    Fleet fleet(1);
    Line line(own_loopback(), fleet.port());
    line.send("mn\r\n");
    ASSERT_EQ(line.until("\r\n"), "MN\r\n");
    for (int n = 0; n < 5; ++n) {
        std::this_thread::sleep_for(400 * kMillisecond);
        fleet.signal(SIGSTOP);
        const std::string id = "h" + std::to_string(n);
        const double asked = seconds();
        line.send(read_of("7f3a", id, 2000));
        std::this_thread::sleep_for(190 * kMillisecond);
        fleet.signal(SIGCONT);
        EXPECT_EQ(line.until("hello\r\n"), "VA 5 O" + id + "\r\nhello\r\n");
        EXPECT_LE(told_deadline(fleet.caches.front().heard().back()),
                  2.0 - (seconds() - asked) + kDeadlineSlack);
    }
}

// A client whose connection waits to be accepted has sent its command already.
TEST(ToldDeadline, IsWhatTheClientHasLeftWhenItsConnectionIsAcceptedLate) {
    constexpr int kOthers = 24;  // as many as 64 descriptors leave for clients
    Around around;
    around.descriptors = 64;
    Fleet fleet(1, around);
    std::list<Line> others;
    for (int n = 0; n < kOthers; ++n) {
        others.emplace_back(own_loopback(), fleet.port());
        others.back().send("mg 7f3a v Oha");  // half a command: its connection is not closed for another
    }
    wait_for([&] { return fleet.logged("all client connections are in use"); });
    Line late(own_loopback(), fleet.port());
    const double asked = seconds();
    late.send(read_of("7f3a", "late", 3000));
    std::this_thread::sleep_for(1000 * kMillisecond);
    others.clear();
    EXPECT_EQ(late.until("hello\r\n"), "VA 5 Olate\r\nhello\r\n");
    const double left = 3.0 - (seconds() - asked);
    const double told = told_deadline(fleet.caches.front().heard().back());
    EXPECT_LE(told, left + kDeadlineSlack);
}

// ---- system calls that fail for a moment -----------------------------------------------------------------

// Its first socket may be one of those that fail.
TEST(SystemCalls, ThatFailWhileItStartsKeepNobodyFromServing) {
    Around around;
    around.environment = {"LD_PRELOAD=" FAULT_SHIM_LIBRARY, "FAULT_SHIM_CALLS=0:0.6:1"};
    const double started = seconds();
    Fleet fleet(1, around);
    EXPECT_EQ(fleet.ask(read_of("7f3a", "s1")), "VA 5 Os1\r\n");
    EXPECT_LT(seconds() - started, 5.0);
    EXPECT_TRUE(fleet.alive());
}

// ---- clients that leave while their request is being sent ------------------------------------------------

// A request begins with its last byte. One whose client leaves before that must not begin any more.
TEST(ClientGoneWhileSending, ItsRequestDoesNotBegin) {
    Fleet fleet(1);
    const std::string value(3 * 1000 * 1000, 'v');
    std::atomic<int> whole{0};
    fleet.origin.plays([&](const std::string& message) {
        whole += message.size() >= value.size() ? 1 : 0;
        return Act{http("made")};
    });
    fleet.origin.takes_at_most(16 * 1024);
    fleet.origin.reads_bodies_after([] { return 1.0; });
    {
        Line line(own_loopback(), fleet.port());
        line.send("ms k " + std::to_string(value.size()) + " Ow1 Pc=put,d=60000,k=w1\r\n" + value + "\r\n");
        std::this_thread::sleep_for(400 * kMillisecond);  // a part of it is with the origin by now
    }
    std::this_thread::sleep_for(1500 * kMillisecond);
    EXPECT_EQ(whole, 0);
}

}  // namespace
