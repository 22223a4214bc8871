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
struct ServiceConnections {
    std::map<std::uint64_t, std::vector<std::string>> sent;
    std::vector<std::uint64_t> closed;
    FakeCoordinator service{{[this](std::uint64_t connection, const std::string& frame) {
                                 std::string_view payload;
                                 bool sound = false;
                                 EXPECT_EQ(read_frame(frame, payload, sound), frame.size());
                                 sent[connection].emplace_back(payload);
                             },
                             [this](std::uint64_t connection) { closed.push_back(connection); }}};

    std::string last(std::uint64_t connection) {
        return sent[connection].empty() ? "" : sent[connection].back();
    }
    // Opens or resumes a session. Returns its id and password.
    std::pair<std::int64_t, std::string> connect(double now, std::uint64_t connection, int timeout_ms,
                                                 std::int64_t session = 0,
                                                 const std::string& password = std::string(16, '\0'),
                                                 std::int64_t seen = 0) {
        JuteWriter writer;
        writer.number(0).long_number(seen).number(timeout_ms).long_number(session).text(password).flag(false);
        service.received(now, connection, writer.payload());
        const std::string answer = last(connection);
        JuteReader reader(answer);
        (void)reader.number(), (void)reader.number();
        const std::int64_t id = reader.long_number();
        return {id, reader.text()};
    }
    // Sends a request and returns the error code of the reply; `rest` receives the reply after its header.
    std::int32_t call(double now, std::uint64_t connection, CoordinatorCall type, const JuteWriter& body,
                      std::string* rest = nullptr) {
        JuteWriter head;
        head.number(++xid).number(static_cast<std::int32_t>(type));
        service.received(now, connection, head.payload() + body.payload());
        const std::string answer = last(connection);
        JuteReader reader(answer);
        EXPECT_EQ(reader.number(), xid);
        (void)reader.long_number();
        const std::int32_t error = reader.number();
        if (rest != nullptr) *rest = answer.substr(16);
        return error;
    }
    std::int32_t create(double now, std::uint64_t connection, const std::string& path, int flags,
                        std::string* created_path = nullptr) {
        JuteWriter writer;
        writer.text(path).text("data").number(1).number(31).text("world").text("anyone").number(flags);
        std::string rest;
        const std::int32_t error = call(now, connection, CoordinatorCall::create, writer, &rest);
        if (created_path != nullptr && error == 0) *created_path = JuteReader(rest).text();
        return error;
    }
    std::vector<std::string> children(double now, std::uint64_t connection, const std::string& path,
                                      bool watch) {
        JuteWriter writer;
        writer.text(path).flag(watch);
        std::string rest;
        EXPECT_EQ(call(now, connection, CoordinatorCall::get_children2, writer, &rest), 0);
        JuteReader reader(rest);
        auto names = reader.texts();
        for (int i = 0; i < 17; ++i) (void)reader.number();  // the stat structure: 68 bytes
        EXPECT_TRUE(reader.is_valid() && reader.at_end());
        return names;
    }
    int xid = 0;
};

// The type and path of a watch event; type 0 if the message is not an event.
std::pair<int, std::string> event_of(const std::string& payload) {
    JuteReader reader(payload);
    if (reader.number() != -1) return {0, ""};
    (void)reader.long_number(), (void)reader.number();
    const int kind = reader.number();
    (void)reader.number();
    return {kind, reader.text()};
}

TEST(FakeCoordinator, DeletesEphemeralNodesWhenTheirSessionExpires) {
    ServiceConnections connections;
    EXPECT_NE(connections.connect(0, 1, 2000).first, 0);
    EXPECT_EQ(connections.create(0, 1, "/fleet", 0), 0);
    EXPECT_EQ(connections.create(0, 1, "/fleet", 0), static_cast<int>(CoordinatorError::node_exists));
    EXPECT_EQ(connections.create(0, 1, "/none/a", 0), static_cast<int>(CoordinatorError::no_node));
    EXPECT_NE(connections.connect(0, 2, 1000).first, 0);
    std::string first, second;
    EXPECT_EQ(connections.create(0.1, 2, "/fleet/box-", 3, &first), 0);
    EXPECT_EQ(connections.create(0.1, 2, "/fleet/box-", 3, &second), 0);
    EXPECT_EQ(first, "/fleet/box-0000000000");
    EXPECT_EQ(second, "/fleet/box-0000000001");
    EXPECT_EQ(connections.create(0.1, 2, first + "/x", 0),
              static_cast<int>(CoordinatorError::no_children_for_ephemerals));
    EXPECT_EQ(connections.children(0.2, 1, "/fleet", true).size(), 2U);
    EXPECT_EQ(connections.children(0.3, 1, "/fleet", true).size(), 2U);
    connections.service.ended(2);
    connections.service.tick(1.05);
    EXPECT_EQ(connections.service.children("/fleet").size(),
              2U);  // the session may still move to another connection
    connections.service.tick(1.2);
    EXPECT_EQ(connections.service.children("/fleet").size(), 0U);
    // A watch that was set twice triggers once.
    EXPECT_EQ(event_of(connections.last(1)), (std::pair<int, std::string>{4, "/fleet"}));
    EXPECT_EQ(std::count_if(connections.sent[1].begin(), connections.sent[1].end(),
                            [](const auto& f) { return event_of(f).first != 0; }),
              1);
    EXPECT_EQ(connections.service.watches(), 0U);
}

TEST(FakeCoordinator, ASessionMovesAndExpires) {
    ServiceConnections connections;
    const auto [id, password] = connections.connect(0, 1, 1000);
    EXPECT_EQ(connections.create(0, 1, "/a", 1), 0);
    EXPECT_EQ(connections.connect(0.5, 2, 1000, id, password).first, id);
    EXPECT_EQ(connections.closed, (std::vector<std::uint64_t>{1}));
    connections.service.tick(1.2);
    EXPECT_TRUE(connections.service.exists("/a"));
    EXPECT_EQ(connections.connect(1.2, 3, 1000, id, std::string(16, 'x')).first, 0);  // wrong password
    connections.service.tick(2);
    EXPECT_FALSE(connections.service.exists("/a"));
    EXPECT_EQ(connections.connect(2, 4, 1000, id, password).first, 0);  // expired
    // A client that has seen a later transaction than this server is disconnected, to try another server.
    connections.connect(2, 5, 1000, 0, std::string(16, '\0'), 1 << 20);
    EXPECT_EQ(connections.closed.back(), 5U);
}

// Changes between a lost connection and the next one are reported when the watches are set again.
TEST(FakeCoordinator, ReportsChangesWhenWatchesAreSetAgain) {
    ServiceConnections connections;
    const auto [id, password] = connections.connect(0, 1, 5000);
    (void)connections.create(0, 1, "/fleet", 0);
    (void)connections.create(0, 1, "/fleet/a", 0);
    (void)connections.children(0.1, 1, "/fleet", true);
    const std::int64_t seen = connections.service.order();
    connections.service.ended(1);
    EXPECT_EQ(connections.service.watches(), 0U);
    (void)connections.service.remove("/fleet/a");
    (void)connections.connect(0.5, 2, 5000, id, password, seen);
    JuteWriter writer;
    writer.long_number(seen).texts({}).texts({"/fleet/b"}).texts({"/fleet"});
    EXPECT_EQ(connections.call(0.6, 2, CoordinatorCall::set_watches, writer), 0);
    const auto event_count =
        std::count_if(connections.sent[2].begin(), connections.sent[2].end(), [](const auto& f) {
            return event_of(f) == std::pair<int, std::string>{4, "/fleet"};
        });
    EXPECT_EQ(event_count, 1);
    EXPECT_EQ(connections.service.watches(), 1U);
    (void)connections.service.create(1, 0, "/fleet/b", "", false, false);
    EXPECT_EQ(event_of(connections.last(2)), (std::pair<int, std::string>{1, "/fleet/b"}));
}

TEST(FakeCoordinator, RandomBytesEndOnlyTheirConnection) {
    boost::random::mt19937 generator(7);
    ServiceConnections connections;
    connections.connect(0, 1, 5000);
    (void)connections.create(0, 1, "/kept", 0);
    for (std::uint64_t connection = 10; connection < 3000; ++connection) {
        connections.connect(1, connection, 1000);
        std::string bytes(generator() % 60, '\0');
        for (char& b : bytes) b = static_cast<char>(generator());
        // Three of four messages have a request type with malformed arguments, which random bytes alone would
        // hardly ever have.
        if (generator() % 4 != 0) {
            JuteWriter head;
            head.number(1).number(static_cast<std::int32_t>(generator() % 14));
            bytes = head.payload() + bytes;
        }
        connections.service.received(1, connection, bytes);
        connections.service.ended(connection);
    }
    EXPECT_TRUE(connections.service.exists("/kept"));
    EXPECT_EQ(connections.create(1, 1, "/more", 0), 0);
}

TEST(Jute, RejectsACountBeyondTheInput) {
    std::string_view payload;
    bool sound = true;
    EXPECT_EQ(read_frame(std::string("\x7f\xff\xff\xff", 4), payload, sound), 0U);
    EXPECT_FALSE(sound);
    EXPECT_EQ(read_frame(std::string("\xff\xff\xff\xff", 4), payload, sound), 0U);
    EXPECT_FALSE(sound);
    EXPECT_EQ(read_frame(std::string("\0\0\0\5abc", 7), payload, sound), 0U);
    EXPECT_TRUE(sound);
    JuteWriter writer;
    writer.number(0x7fffffff).text("x");
    const std::string invalid = writer.payload();
    JuteReader texts(invalid), text(invalid);
    EXPECT_TRUE(texts.texts().empty());
    EXPECT_FALSE(texts.is_valid());
    EXPECT_EQ(text.text(), "");
    EXPECT_FALSE(text.is_valid());
}

}  // namespace
