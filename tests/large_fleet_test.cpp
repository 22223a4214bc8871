// Tests the program with endpoint lists of thousands of servers over real connections: what it may send
// before it has read its list, and how it handles lists that are long or slow.
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

// Returns entries of draining servers, which make a list long without receiving requests.
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

// A list that the agent holds when a process starts counts as delivered to the process, whatever its cached
// list says.
TEST(StartedNode, SendsNothingByItsCachedListBeforeItsAgentAnswers) {
    std::string update;
    std::atomic<bool> ready{false};
    const auto watch = [&](const std::string& request) {
        if (request.find("index=7&") == std::string::npos) return ScriptedResponse{};
        wait_for([&] { return ready.load(); });
        std::this_thread::sleep_for(std::chrono::milliseconds(60));
        return ScriptedResponse{http(update)};
    };
    Fleet fleet(2, {256, 250, watch, true, 192, true, true});
    fleet.daemon().kill();
    ScriptedPeer& drained = fleet.caches.front();
    update = delta(8, Fleet::entry(Fleet::name(drained), drained, "DRAINING"));
    ready = true;
    // The commands wait in the listener's queue until the new process accepts connections.
    std::list<TestSocket> clients;
    for (int k = 0; k < 12; ++k) {  // fewer than one server's limit of attempts in flight
        clients.emplace_back(own_loopback(), fleet.port());
        clients.back().send(read_of("k" + std::to_string(k), "s" + std::to_string(k)));
    }
    const std::size_t before = drained.received_messages().size();
    const Process new_process = fleet.start_second_process();
    for (TestSocket& client : clients) EXPECT_TRUE(client.until("hello\r\n").ends_with("hello\r\n"));
    EXPECT_EQ(drained.received_messages().size(), before);
}

// An agent that does not respond must not keep a started process from serving.
TEST(StartedNode, ServesSoonWhileItsAgentIsSilent) {
    const double start = seconds();
    const Fleet fleet(1);
    expect_all_served(fleet, "s", 5);
    EXPECT_LT(seconds() - start, 2.0);
}

// Moves discovery to a new address whose full list arrives in pieces over `transfer_seconds` seconds, and
// expects the list to be applied after a single request.
void expect_slow_list_is_applied(double transfer_seconds) {
    Fleet fleet(2);
    ScriptedPeer& drained = fleet.caches.front();
    ScriptedPeer& kept = fleet.caches.back();
    const std::string list =
        full_list(9, Fleet::entry("origin", fleet.origin, "SERVING") + "," + draining_entries(200) +
                         Fleet::entry(Fleet::name(drained), drained, "DRAINING") + "," +
                         Fleet::entry(Fleet::name(kept), kept, "SERVING"));
    constexpr std::size_t kPieces = 30;
    std::atomic<int> list_requests{0};
    ScriptedPeer new_discovery(true);
    new_discovery.set_script([&](const std::string& request) {
        if (request.find("index=") != std::string::npos) return ScriptedResponse{};
        ++list_requests;
        const std::string text = http(list);
        ScriptedResponse act;
        const std::size_t size = text.size() / kPieces + 1;
        for (std::size_t offset = 0; offset < text.size(); offset += size)
            act.pieces.push_back(text.substr(offset, size));
        act.piece_interval_ms = static_cast<int>(transfer_seconds * 1000 / kPieces);
        return act;
    });
    fleet.configure(fleet.configuration_with(fleet.discovery.address(), new_discovery.address()));
    const double start = seconds();
    fleet.signal(SIGHUP);
    wait_for([&] { return fleet.logged("version 9"); });
    std::printf("a list sent over %.1f s was applied after %.2f s\n", transfer_seconds, seconds() - start);
    EXPECT_LT(seconds() - start, transfer_seconds + 1.0);
    EXPECT_EQ(list_requests, 1);
    const std::size_t before = drained.received_messages().size();
    expect_all_served(fleet, "l", 20);
    EXPECT_EQ(drained.received_messages().size(), before);
}

TEST(SlowList, IsAwaitedWhileDataArrives) {
    for (const double transfer_seconds : {1.5, 3.0}) expect_slow_list_is_applied(transfer_seconds);
}

// A list whose transfer stalls is abandoned and requested again early enough for a change to be applied
// within 6 s.
TEST(SlowList, ThatStallsIsRequestedAgain) {
    Fleet fleet(2);
    const std::string list =
        full_list(9, Fleet::entry("origin", fleet.origin, "SERVING") + "," +
                         Fleet::entry(Fleet::name(fleet.caches.back()), fleet.caches.back(), "SERVING"));
    std::atomic<int> list_requests{0};
    ScriptedPeer new_discovery(true);
    new_discovery.set_script([&](const std::string& request) {
        if (request.find("index=") != std::string::npos) return ScriptedResponse{};
        const std::string text = http(list);
        return ++list_requests == 1 ? ScriptedResponse{text.substr(0, text.size() / 2)}
                                    : ScriptedResponse{text};
    });
    fleet.configure(fleet.configuration_with(fleet.discovery.address(), new_discovery.address()));
    const double start = seconds();
    fleet.signal(SIGHUP);
    wait_for([&] { return fleet.logged("version 9"); });
    EXPECT_LT(seconds() - start, 3.0);
    EXPECT_EQ(list_requests, 2);
}

// Guards against requests that are routed by an outdated list: a list longer than one socket read has arrived
// completely before the requests, so it must be applied first.
TEST(LongList, IsReadCompletelyBeforeLaterRequests) {
    std::string update;
    std::atomic<bool> is_update_ready{false};
    const auto watch = [&](const std::string& request) {
        if (request.find("index=7&") == std::string::npos) return ScriptedResponse{};
        wait_for([&] { return is_update_ready.load(); });
        return ScriptedResponse{http(update)};
    };
    Fleet fleet(2, {256, 250, watch});
    ScriptedPeer& drained = fleet.caches.front();
    update = delta(8, draining_entries(600) + Fleet::entry(Fleet::name(drained), drained, "DRAINING"));
    expect_all_served(fleet, "f", 20);  // leaves an idle connection to each server
    std::list<TestSocket> clients;
    for (int k = 0; k < 20; ++k) clients.emplace_back(own_loopback(), fleet.port());
    for (TestSocket& client : clients) {
        client.send("mn\r\n");
        EXPECT_EQ(client.until("\r\n"), "MN\r\n");
    }
    fleet.signal(SIGSTOP);
    const std::size_t before = drained.received_messages().size();
    is_update_ready = true;
    std::this_thread::sleep_for(std::chrono::milliseconds(100));  // until the list is in the socket buffers
    int k = 0;
    for (TestSocket& client : clients) {
        client.send(read_of("k" + std::to_string(k), "w" + std::to_string(k)));
        ++k;
    }
    fleet.signal(SIGCONT);
    for (TestSocket& client : clients) EXPECT_FALSE(client.until("\r\n").empty());
    EXPECT_EQ(drained.received_messages().size(), before);
}

}  // namespace
