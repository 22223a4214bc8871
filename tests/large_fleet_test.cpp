// The program before endpoint lists of thousands of servers: what it may send before it has read its list,
// and how it takes lists that are long or slow. Real connections.
#include <gtest/gtest.h>

#include <cstddef>

#include "fleet.h"

namespace {

using namespace brookrelay::testkit;

double seconds() {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

std::string delta(int version, const std::string& hosts) {
    return R"({"seq":)" + std::to_string(version) + R"(,"whole":false,"hosts":[)" + hosts + "]}";
}

std::string full_list(int version, const std::string& hosts) {
    return R"({"seq":)" + std::to_string(version) + R"(,"whole":true,"hosts":[)" + hosts + "]}";
}

// Entries of servers that nobody ever sends to, since they drain: they make a list long.
std::string draining_entries(int count) {
    std::string entries;
    for (int i = 0; i < count; ++i)
        entries += R"({"host":"other-)" + std::to_string(i) + R"(","dial":"127.0.0.1:9",)" +
                   R"("site":"a","class":"m","block":0,"health":"DRAINING","share":1.0,"born_ms":0},)";
    return entries;
}

void expect_all_served(const Fleet& fleet, const std::string& prefix, int keys) {
    for (int k = 0; k < keys; ++k) {
        const std::string id = prefix + std::to_string(k);
        EXPECT_EQ(fleet.ask(read_of("k" + std::to_string(k), id)), "VA 5 O" + id + "\r\n");
    }
}

// What the agent holds when a process starts counts as told to it, whatever the list in its file says.
TEST(StartedNode, SendsNothingByTheListOfItsFileBeforeItsAgentAnswers) {
    std::string news;
    std::atomic<bool> ready{false};
    const auto watch = [&](const std::string& request) {
        if (request.find("index=7&") == std::string::npos) return Act{};
        wait_for([&] { return ready.load(); });
        std::this_thread::sleep_for(std::chrono::milliseconds(60));
        return Act{http(news)};
    };
    Fleet fleet(2, {256, 250, watch, true, 192, true, true});
    fleet.daemon().kill();
    ScriptedPeer& drained = fleet.caches.front();
    news = delta(8, Fleet::entry(Fleet::name(drained), drained, "DRAINING"));
    ready = true;
    // The commands wait in the listener's queue before the process is there.
    std::list<Line> clients;
    for (int k = 0; k < 12; ++k) {  // fewer than a cache may have in flight
        clients.emplace_back(own_loopback(), fleet.port());
        clients.back().send(read_of("k" + std::to_string(k), "s" + std::to_string(k)));
    }
    const std::size_t before = drained.heard().size();
    const Process next = fleet.second();
    for (Line& client : clients) EXPECT_TRUE(client.until("hello\r\n").ends_with("hello\r\n"));
    EXPECT_EQ(drained.heard().size(), before);
}

// Silence of the agent must not keep a started process from serving.
TEST(StartedNode, ServesSoonWhereItsAgentIsSilent) {
    const double from = seconds();
    const Fleet fleet(1);
    expect_all_served(fleet, "s", 5);
    EXPECT_LT(seconds() - from, 2.0);
}

// Discovery has moved, and its full list comes in pieces over `transfer` seconds: it is taken, asked for
// once.
void expect_slow_list_is_taken(double transfer) {
    Fleet fleet(2);
    ScriptedPeer& drained = fleet.caches.front();
    ScriptedPeer& kept = fleet.caches.back();
    const std::string list =
        full_list(9, Fleet::entry("origin", fleet.origin, "SERVING") + "," + draining_entries(200) +
                         Fleet::entry(Fleet::name(drained), drained, "DRAINING") + "," +
                         Fleet::entry(Fleet::name(kept), kept, "SERVING"));
    constexpr std::size_t kPieces = 30;
    std::atomic<int> asked{0};
    ScriptedPeer moved(true);
    moved.plays([&](const std::string& request) {
        if (request.find("index=") != std::string::npos) return Act{};
        ++asked;
        const std::string text = http(list);
        Act act;
        const std::size_t size = text.size() / kPieces + 1;
        for (std::size_t at = 0; at < text.size(); at += size) act.pieces.push_back(text.substr(at, size));
        act.piece_interval_ms = static_cast<int>(transfer * 1000 / kPieces);
        return act;
    });
    fleet.configure(fleet.told_with(fleet.discovery.address(), moved.address()));
    const double from = seconds();
    fleet.signal(SIGHUP);
    wait_for([&] { return fleet.logged("version 9"); });
    std::printf("a list of %.1f s was applied after %.2f s\n", transfer, seconds() - from);
    EXPECT_LT(seconds() - from, transfer + 1.0);
    EXPECT_EQ(asked, 1);
    const std::size_t before = drained.heard().size();
    expect_all_served(fleet, "l", 20);
    EXPECT_EQ(drained.heard().size(), before);
}

TEST(SlowList, IsWaitedForWhileItFlows) {
    for (const double transfer : {1.5, 3.0}) expect_slow_list_is_taken(transfer);
}

// A list that stands still in its middle is given up and asked for anew, in time for the 6 s.
TEST(SlowList, ThatStandsStillIsAskedForAnew) {
    Fleet fleet(2);
    const std::string list =
        full_list(9, Fleet::entry("origin", fleet.origin, "SERVING") + "," +
                         Fleet::entry(Fleet::name(fleet.caches.back()), fleet.caches.back(), "SERVING"));
    std::atomic<int> asked{0};
    ScriptedPeer moved(true);
    moved.plays([&](const std::string& request) {
        if (request.find("index=") != std::string::npos) return Act{};
        const std::string text = http(list);
        return ++asked == 1 ? Act{text.substr(0, text.size() / 2)} : Act{text};
    });
    fleet.configure(fleet.told_with(fleet.discovery.address(), moved.address()));
    const double from = seconds();
    fleet.signal(SIGHUP);
    wait_for([&] { return fleet.logged("version 9"); });
    EXPECT_LT(seconds() - from, 3.0);
    EXPECT_EQ(asked, 2);
}

// A list longer than one read of the socket has come whole, and requests behind it: they are begun by it.
TEST(LongList, IsReadWholeBeforeRequestsThatCameLater) {
    std::string news;
    std::atomic<bool> tell{false};
    const auto watch = [&](const std::string& request) {
        if (request.find("index=7&") == std::string::npos) return Act{};
        wait_for([&] { return tell.load(); });
        return Act{http(news)};
    };
    Fleet fleet(2, {256, 250, watch});
    ScriptedPeer& drained = fleet.caches.front();
    news = delta(8, draining_entries(600) + Fleet::entry(Fleet::name(drained), drained, "DRAINING"));
    expect_all_served(fleet, "f", 20);  // so that an idle connection to each server is at hand
    std::list<Line> clients;
    for (int k = 0; k < 20; ++k) clients.emplace_back(own_loopback(), fleet.port());
    for (Line& client : clients) {
        client.send("mn\r\n");
        EXPECT_EQ(client.until("\r\n"), "MN\r\n");
    }
    fleet.signal(SIGSTOP);
    const std::size_t before = drained.heard().size();
    tell = true;
    std::this_thread::sleep_for(std::chrono::milliseconds(100));  // until the list lies in the sockets
    int k = 0;
    for (Line& client : clients) {
        client.send(read_of("k" + std::to_string(k), "w" + std::to_string(k)));
        ++k;
    }
    fleet.signal(SIGCONT);
    for (Line& client : clients) EXPECT_FALSE(client.until("\r\n").empty());
    EXPECT_EQ(drained.heard().size(), before);
}

}  // namespace
