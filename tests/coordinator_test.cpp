// The fake coordination service at the level of its protocol: single messages, and random bytes.
#include <gtest/gtest.h>

#include <algorithm>
#include <boost/random/mersenne_twister.hpp>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "coordination/jute.h"
#include "testkit/fake_coordinator.h"

namespace {

using namespace brookrelay;
using namespace brookrelay::testkit;

// Connections to the service, with the frames that it sent to each of them.
struct Peer {
    std::map<std::uint64_t, std::vector<std::string>> sent;
    std::vector<std::uint64_t> hung_up;
    FakeCoordinator service{{[this](std::uint64_t c, const std::string& frame) {
                                 std::string_view payload;
                                 bool sound = false;
                                 EXPECT_EQ(read_frame(frame, payload, sound), frame.size());
                                 sent[c].emplace_back(payload);
                             },
                             [this](std::uint64_t c) { hung_up.push_back(c); }}};

    std::string last(std::uint64_t c) { return sent[c].empty() ? "" : sent[c].back(); }
    // Opens or resumes a session. Returns its id and password.
    std::pair<std::int64_t, std::string> connect(double now, std::uint64_t c, int timeout_ms,
                                                 std::int64_t session = 0,
                                                 const std::string& password = std::string(16, '\0'),
                                                 std::int64_t seen = 0) {
        JuteWriter w;
        w.number(0).long_number(seen).number(timeout_ms).long_number(session).text(password).flag(false);
        service.received(now, c, w.payload());
        const std::string answer = last(c);
        JuteReader in(answer);
        (void)in.number(), (void)in.number();
        const std::int64_t id = in.long_number();
        return {id, in.text()};
    }
    // Sends a request and returns the error code of the reply; `rest` receives the reply after its header.
    std::int32_t call(double now, std::uint64_t c, CoordinatorCall type, const JuteWriter& body,
                      std::string* rest = nullptr) {
        JuteWriter head;
        head.number(++xid).number(static_cast<std::int32_t>(type));
        service.received(now, c, head.payload() + body.payload());
        const std::string answer = last(c);
        JuteReader in(answer);
        EXPECT_EQ(in.number(), xid);
        (void)in.long_number();
        const std::int32_t error = in.number();
        if (rest != nullptr) *rest = answer.substr(16);
        return error;
    }
    std::int32_t create(double now, std::uint64_t c, const std::string& path, int flags,
                        std::string* made = nullptr) {
        JuteWriter w;
        w.text(path).text("data").number(1).number(31).text("world").text("anyone").number(flags);
        std::string rest;
        const std::int32_t error = call(now, c, CoordinatorCall::create, w, &rest);
        if (made != nullptr && error == 0) *made = JuteReader(rest).text();
        return error;
    }
    std::vector<std::string> children(double now, std::uint64_t c, const std::string& path, bool watch) {
        JuteWriter w;
        w.text(path).flag(watch);
        std::string rest;
        EXPECT_EQ(call(now, c, CoordinatorCall::get_children2, w, &rest), 0);
        JuteReader in(rest);
        auto names = in.texts();
        for (int i = 0; i < 17; ++i) (void)in.number();  // the stat structure: 68 bytes
        EXPECT_TRUE(in.sound() && in.at_end());
        return names;
    }
    int xid = 0;
};

// The type and path of a watch event; type 0 if the message is not an event.
std::pair<int, std::string> event_of(const std::string& payload) {
    JuteReader in(payload);
    if (in.number() != -1) return {0, ""};
    (void)in.long_number(), (void)in.number();
    const int kind = in.number();
    (void)in.number();
    return {kind, in.text()};
}

TEST(FakeCoordinator, KeepsEphemeralNodesForAsLongAsTheirSession) {
    Peer p;
    EXPECT_NE(p.connect(0, 1, 2000).first, 0);
    EXPECT_EQ(p.create(0, 1, "/fleet", 0), 0);
    EXPECT_EQ(p.create(0, 1, "/fleet", 0), static_cast<int>(CoordinatorError::node_exists));
    EXPECT_EQ(p.create(0, 1, "/none/a", 0), static_cast<int>(CoordinatorError::no_node));
    EXPECT_NE(p.connect(0, 2, 1000).first, 0);
    std::string first, second;
    EXPECT_EQ(p.create(0.1, 2, "/fleet/box-", 3, &first), 0);
    EXPECT_EQ(p.create(0.1, 2, "/fleet/box-", 3, &second), 0);
    EXPECT_EQ(first, "/fleet/box-0000000000");
    EXPECT_EQ(second, "/fleet/box-0000000001");
    EXPECT_EQ(p.create(0.1, 2, first + "/x", 0),
              static_cast<int>(CoordinatorError::no_children_for_ephemerals));
    EXPECT_EQ(p.children(0.2, 1, "/fleet", true).size(), 2U);
    EXPECT_EQ(p.children(0.3, 1, "/fleet", true).size(), 2U);
    p.service.ended(2);
    p.service.tick(1.05);
    EXPECT_EQ(p.service.children("/fleet").size(), 2U);  // the session may still move to another connection
    p.service.tick(1.2);
    EXPECT_EQ(p.service.children("/fleet").size(), 0U);
    // A watch that was set twice triggers once.
    EXPECT_EQ(event_of(p.last(1)), (std::pair<int, std::string>{4, "/fleet"}));
    EXPECT_EQ(std::count_if(p.sent[1].begin(), p.sent[1].end(),
                            [](const auto& f) { return event_of(f).first != 0; }),
              1);
    EXPECT_EQ(p.service.watches(), 0U);
}

TEST(FakeCoordinator, ASessionMovesAndExpires) {
    Peer p;
    const auto [id, password] = p.connect(0, 1, 1000);
    EXPECT_EQ(p.create(0, 1, "/a", 1), 0);
    EXPECT_EQ(p.connect(0.5, 2, 1000, id, password).first, id);
    EXPECT_EQ(p.hung_up, (std::vector<std::uint64_t>{1}));
    p.service.tick(1.2);
    EXPECT_TRUE(p.service.exists("/a"));
    EXPECT_EQ(p.connect(1.2, 3, 1000, id, std::string(16, 'x')).first, 0);  // wrong password
    p.service.tick(2);
    EXPECT_FALSE(p.service.exists("/a"));
    EXPECT_EQ(p.connect(2, 4, 1000, id, password).first, 0);  // expired
    // A client that has seen a later transaction than this server is disconnected, to try another server.
    p.connect(2, 5, 1000, 0, std::string(16, '\0'), 1 << 20);
    EXPECT_EQ(p.hung_up.back(), 5U);
}

// Changes between a lost connection and the next one are reported when the watches are set again.
TEST(FakeCoordinator, SetsWatchesAgainWithoutAGap) {
    Peer p;
    const auto [id, password] = p.connect(0, 1, 5000);
    (void)p.create(0, 1, "/fleet", 0);
    (void)p.create(0, 1, "/fleet/a", 0);
    (void)p.children(0.1, 1, "/fleet", true);
    const std::int64_t seen = p.service.order();
    p.service.ended(1);
    EXPECT_EQ(p.service.watches(), 0U);
    (void)p.service.remove("/fleet/a");
    (void)p.connect(0.5, 2, 5000, id, password, seen);
    JuteWriter w;
    w.long_number(seen).texts({}).texts({"/fleet/b"}).texts({"/fleet"});
    EXPECT_EQ(p.call(0.6, 2, CoordinatorCall::set_watches, w), 0);
    const auto told = std::count_if(p.sent[2].begin(), p.sent[2].end(), [](const auto& f) {
        return event_of(f) == std::pair<int, std::string>{4, "/fleet"};
    });
    EXPECT_EQ(told, 1);
    EXPECT_EQ(p.service.watches(), 1U);
    (void)p.service.create(1, 0, "/fleet/b", "", false, false);
    EXPECT_EQ(event_of(p.last(2)), (std::pair<int, std::string>{1, "/fleet/b"}));
}

TEST(FakeCoordinator, BytesThatAreNoneEndTheConnectionAndNothingElse) {
    boost::random::mt19937 chance(7);
    Peer p;
    p.connect(0, 1, 5000);
    (void)p.create(0, 1, "/kept", 0);
    for (std::uint64_t c = 10; c < 3000; ++c) {
        p.connect(1, c, 1000);
        std::string bytes(chance() % 60, '\0');
        for (char& b : bytes) b = static_cast<char>(chance());
        // Three of four messages have a request type with malformed arguments, which random bytes alone would
        // hardly ever have.
        if (chance() % 4 != 0) {
            JuteWriter head;
            head.number(1).number(static_cast<std::int32_t>(chance() % 14));
            bytes = head.payload() + bytes;
        }
        p.service.received(1, c, bytes);
        p.service.ended(c);
    }
    EXPECT_TRUE(p.service.exists("/kept"));
    EXPECT_EQ(p.create(1, 1, "/more", 0), 0);
}

TEST(Jute, NeverBelievesACount) {
    std::string_view payload;
    bool sound = true;
    EXPECT_EQ(read_frame(std::string("\x7f\xff\xff\xff", 4), payload, sound), 0U);
    EXPECT_FALSE(sound);
    EXPECT_EQ(read_frame(std::string("\xff\xff\xff\xff", 4), payload, sound), 0U);
    EXPECT_FALSE(sound);
    EXPECT_EQ(read_frame(std::string("\0\0\0\5abc", 7), payload, sound), 0U);
    EXPECT_TRUE(sound);
    JuteWriter w;
    w.number(0x7fffffff).text("x");
    const std::string lies = w.payload();
    JuteReader texts(lies), text(lies);
    EXPECT_TRUE(texts.texts().empty());
    EXPECT_FALSE(texts.sound());
    EXPECT_EQ(text.text(), "");
    EXPECT_FALSE(text.sound());
}

}  // namespace
