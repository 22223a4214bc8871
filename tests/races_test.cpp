// The program over real connections, each time with the bad order of events brought about: an answer, a close, a
// signal or a connection that comes between two steps of the node.
#include <gtest/gtest.h>

#include "fleet.h"

namespace {

using namespace brookrelay::kit;

double seconds() {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

std::string read_whole(Line& line, const std::string& head, std::size_t length) {
    const std::string first = line.until("\r\n");
    return first == head ? line.bytes(length + 2) : first;
}

// ---- answers over HTTP whose end is the connection's ----------------------------------------------------

struct Untold {
    const char* name;
    std::string head;
    std::size_t length;
    bool reset;
    bool served;
};

class OriginWithoutLength : public testing::TestWithParam<Untold> {};

TEST_P(OriginWithoutLength, IsServedAfterAnOrderlyEndAlone) {
    const Untold& c = GetParam();
    Fleet fleet(1);
    fleet.caches.front().plays(miss);
    const std::string body(c.length, 'v');
    std::atomic<int> asked{0};
    fleet.origin.plays([&](const std::string&) {
        ++asked;
        Act act{c.head + "\r\n" + body};
        act.close = !c.reset;
        act.reset = c.reset;
        // The bytes are there before the end is: an end that came with them would prove nothing about a reset.
        act.wait = [] { std::this_thread::sleep_for(std::chrono::milliseconds(30)); };
        return act;
    });
    Line line(own_loopback(), fleet.port());
    line.send(read_of("7f3a", "u1", 1500));
    const std::string answer = read_whole(line, "VA " + std::to_string(c.length) + " Ou1\r\n", c.length);
    if (c.served) {
        EXPECT_EQ(answer, body + "\r\n");
        EXPECT_EQ(asked, 1);
    } else {
        EXPECT_TRUE(answer.starts_with("SERVER_ERROR ")) << answer.substr(0, 40);
        EXPECT_GE(asked, 1);
    }
}

const std::string kOk = "HTTP/1.1 200 OK\r\n";
INSTANTIATE_TEST_SUITE_P(
    Answers, OriginWithoutLength,
    testing::Values(Untold{"empty", kOk, 0, false, true}, Untold{"short", kOk, 5, false, true},
                    Untold{"longer_than_is_held_whole", kOk, 900 * 1000, false, true},
                    Untold{"old_protocol", "HTTP/1.0 200 OK\r\n", 5, false, true},
                    Untold{"reset", kOk, 5, true, false}, Untold{"long_reset", kOk, 900 * 1000, true, false},
                    Untold{"beyond_all_bounds", kOk, 5 * 1000 * 1000, false, false},
                    Untold{"ended_within_its_length", kOk + "Content-Length: 9\r\n", 5, false, false},
                    Untold{"ended_within_a_chunk", kOk + "Transfer-Encoding: chunked\r\n", 5, false, false}),
    [](const auto& c) { return c.param.name; });

TEST(OriginWithoutLength, ThatNeverEndsIsGivenUpInTime) {
    Fleet fleet(1);
    fleet.caches.front().plays(miss);
    fleet.origin.plays([](const std::string&) { return Act{kOk + "\r\nhello"}; });
    const double asked = seconds();
    EXPECT_EQ(fleet.ask(read_of("7f3a", "u1", 600)), "SERVER_ERROR busy\r\n");
    EXPECT_LT(seconds() - asked, 0.65);
}

// What its head says is all there is to know: whoever asked is not kept waiting for a body's end.
TEST(OriginWithoutLength, ARefusalCountsFromItsHead) {
    Fleet fleet(1);
    fleet.origin.plays([](const std::string&) { return Act{"HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\n\r\n"}; });
    wait_for([&] {
        const double asked = seconds();
        EXPECT_EQ(fleet.ask("ms k 1 Ow1 Pc=put,d=1500\r\nx\r\n"), "SERVER_ERROR busy\r\n");
        return seconds() - asked < 0.5;
    });
}

TEST(DiscoveryWithoutLength, ListCountsAfterAnOrderlyEndAlone) {
    for (const bool reset : {false, true}) {
        std::string news;
        std::atomic<bool> tell{false};
        std::atomic<int> told{0};
        const auto watch = [&](const std::string& request) {
            while (!tell) std::this_thread::sleep_for(std::chrono::milliseconds(1));
            if (request.find("index=8&") != std::string::npos) return Act{};
            ++told;
            Act act{"HTTP/1.1 200 OK\r\n\r\n" + news};
            act.close = !reset;
            act.reset = reset;
            act.wait = [] { std::this_thread::sleep_for(std::chrono::milliseconds(30)); };
            return act;
        };
        Fleet fleet(2, {256, 250, watch});
        ScriptedPeer& kept = fleet.caches.back();
        // Indented, as some write it.
        news = "{\n  \"seq\": 8,\n  \"whole\": true,\n  \"hosts\": [\n    " +
               Fleet::entry(Fleet::name(kept), kept, "SERVING") + "\n  ]\n}\n";
        tell = true;
        if (reset) {
            wait_for([&] { return told >= 3; });  // it is asked again and again, and the list held stays
            EXPECT_FALSE(fleet.logged("version 8"));
        } else {
            wait_for([&] { return fleet.logged("version 8"); });
            EXPECT_EQ(told, 1);
        }
        EXPECT_TRUE(fleet.alive());
    }
}

}  // namespace
