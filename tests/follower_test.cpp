// The coordination session against the fake coordination service, without sockets: the test controls the
// clock and the delivery of each message, and checks the endpoint changes that result.
#include <gtest/gtest.h>

#include <boost/random/mersenne_twister.hpp>
#include <cmath>
#include <deque>
#include <string>

#include "coordination/coordination_session.h"
#include "coordination/jute.h"
#include "testkit/fake_coordinator.h"

namespace {

using namespace brookrelay;
using testkit::FakeCoordinator;

// One session and one service. Messages to the session are queued until deliver() or deliver_one().
struct SessionAndService {
    std::deque<std::string> to_session;
    std::uint64_t connection = 0;
    double now = 0;
    std::vector<std::string> ignored, disconnects;
    FakeCoordinator service{{[this](std::uint64_t c, const std::string& frame) {
                                 if (c == connection) to_session.push_back(frame.substr(4));
                             },
                             [](std::uint64_t) {}}};
    ServiceRegistrations registrations;
    CoordinationSession session{
        "/fleet",
        4,
        registrations,
        [](const std::string&, const std::string& data, std::string& why) -> std::optional<Registration> {
            if (data == "bad") {
                why = "no address";
                return std::nullopt;
            }
            Registration r;
            r.address = data;
            return r;
        },
        {[this](const std::string& frame) { service.received(now, connection, frame.substr(4)); },
         [this](const char* why) { disconnects.emplace_back(why); },
         [this](const std::string& child, const std::string& why) {
             ignored.push_back(child + ": " + why);
         }}};
    std::int64_t owner = 0;

    SessionAndService() {
        (void)service.create(0, 0, "/fleet", "", false, false);
        owner = service.open_session(0, 40);
    }
    void add(const std::string& name, const std::string& data = "127.0.0.1:1") {
        EXPECT_EQ(service.create(now, owner, "/fleet/" + name, data, true, false),
                  testkit::CoordinatorError::none);
    }
    void remove(const std::string& name) {
        EXPECT_EQ(service.remove("/fleet/" + name), testkit::CoordinatorError::none);
    }
    void connect() {
        ++connection;
        to_session.clear();
        session.on_connected(now);
    }
    bool deliver_one() {
        if (to_session.empty()) return false;
        const std::string payload = to_session.front();
        to_session.pop_front();
        session.on_frame(now, payload);
        return true;
    }
    void deliver() {
        while (deliver_one()) continue;
    }
    std::string take_changes_text() {
        std::string all;
        for (const RegistrationChange& c : registrations.take_changes()) {
            all += (all.empty() ? "" : " ") +
                   std::string(c.standing == EndpointState::removed ? "-"
                               : c.fresh                            ? "+"
                                                                    : "=") +
                   c.who.name;
        }
        return all;
    }
};

TEST(CoordinationSession, ReportsRegistrationsAndRemovals) {
    SessionAndService pair;
    for (const char* name : {"a", "b", "c", "d"}) pair.add(name);
    pair.add("e", "bad");
    pair.connect();
    pair.deliver();
    EXPECT_EQ(pair.take_changes_text(), "+a +b +c +d");
    EXPECT_EQ(pair.ignored, (std::vector<std::string>{"e: no address"}));
    pair.remove("b");
    // The watch event alone is sufficient: no reply of the service is waited for.
    EXPECT_TRUE(pair.deliver_one());
    EXPECT_EQ(pair.take_changes_text(), "-b");
    pair.deliver();
    pair.add("f");
    pair.deliver();
    EXPECT_EQ(pair.take_changes_text(), "+f");
    // Removed and created again before any event is delivered.
    pair.remove("a");
    pair.add("a");
    pair.deliver();
    EXPECT_EQ(pair.take_changes_text(), "+a");
    // The data changes while it is being read.
    (void)pair.service.set(pair.now, "/fleet/c", "127.0.0.1:2");
    EXPECT_TRUE(pair.deliver_one());
    (void)pair.service.set(pair.now, "/fleet/c", "127.0.0.1:3");
    pair.deliver();
    EXPECT_EQ(pair.take_changes_text(), "=c");
}

// A removal during the first read of the children does not cause an incomplete view to be published: replies
// arrive in order.
TEST(CoordinationSession, PublishesNoIncompleteFirstView) {
    SessionAndService pair;
    for (const char* name : {"a", "b", "c", "d", "e"}) pair.add(name);
    pair.connect();
    EXPECT_TRUE(pair.deliver_one());  // the connect response; the listing is now in flight
    pair.remove("a");
    std::string first;
    while (first.empty() && pair.deliver_one()) first = pair.take_changes_text();
    EXPECT_EQ(first, "+b +c +d +e");
}

TEST(CoordinationSession, ReportsChangesAfterAReconnect) {
    SessionAndService pair;
    for (const char* name : {"a", "b", "c", "d", "e"}) pair.add(name);
    pair.connect();
    pair.deliver();
    (void)pair.take_changes_text();
    const std::int64_t session_id = pair.session.session_id();
    pair.session.on_disconnected(pair.now);
    pair.service.ended(pair.connection);
    EXPECT_EQ(pair.take_changes_text(), "");
    pair.remove("a");
    pair.remove("b");
    pair.add("b");
    pair.connect();
    pair.deliver();
    EXPECT_EQ(pair.session.session_id(), session_id);
    EXPECT_EQ(pair.take_changes_text(), "+b -a");
    // The session expires: the service reports it on the first connection, and the next one opens a new
    // session.
    pair.service.expire(session_id);
    pair.session.on_disconnected(pair.now);
    pair.connect();
    pair.deliver();
    EXPECT_EQ(pair.disconnects, (std::vector<std::string>{"the session has expired"}));
    EXPECT_EQ(pair.take_changes_text(), "");
    pair.connect();
    pair.deliver();
    EXPECT_NE(pair.session.session_id(), session_id);
    EXPECT_TRUE(pair.session.is_established());
    EXPECT_EQ(pair.take_changes_text(), "");
}

TEST(CoordinationSession, PingsAndDisconnectsFromASilentService) {
    SessionAndService pair;
    pair.add("a");
    pair.connect();
    pair.deliver();
    for (int i = 0; i < 100; ++i) {
        pair.now = pair.session.next_at();
        pair.session.tick(pair.now);
        pair.deliver();
        pair.service.touch(pair.now, pair.owner);
        pair.service.tick(pair.now);
    }
    EXPECT_GT(pair.now, 100);  // far longer than the session timeout
    EXPECT_TRUE(pair.session.is_established());
    EXPECT_TRUE(pair.disconnects.empty());
    const double silent_from = pair.now;
    while (pair.disconnects.empty()) {
        pair.now = pair.session.next_at();
        pair.session.tick(pair.now);
    }
    EXPECT_LE(pair.now - silent_from, 4 * 2.0 / 3.0 + 0.01);
    EXPECT_EQ(pair.registrations.count_available(), 1U);
}

// Changes, lost connections and reconnects at random points between the messages: in the end the
// registrations equal those of the service.
TEST(CoordinationSession, ConvergesForRandomOrdersOfMessages) {
    for (unsigned seed = 1; seed <= 300; ++seed) {
        SCOPED_TRACE(seed);
        boost::random::mt19937 generator(seed);
        SessionAndService pair;
        pair.connect();
        for (int step = 0; step < 120; ++step) {
            pair.now += 0.4;
            pair.service.touch(pair.now, pair.owner);
            const std::string name = "s" + std::to_string(generator() % 6);
            switch (generator() % 8) {
                case 0:
                case 1:
                    if (pair.service.exists("/fleet/" + name))
                        pair.remove(name);
                    else
                        pair.add(name);
                    break;
                case 2:
                    (void)pair.service.set(pair.now, "/fleet/" + name, "127.0.0.1:" + std::to_string(step));
                    break;
                case 3:
                    if (generator() % 4 == 0) {
                        pair.session.on_disconnected(pair.now);
                        pair.service.ended(pair.connection);
                        pair.connect();
                    }
                    break;
                default:
                    (void)pair.deliver_one();
            }
            pair.session.tick(pair.now);
            if (!pair.disconnects.empty()) {
                pair.disconnects.clear();
                pair.service.ended(pair.connection);
                pair.connect();
            }
        }
        pair.deliver();
        ASSERT_TRUE(pair.session.is_established());
        // Suspect registrations and delayed starts expire.
        pair.registrations.tick(pair.now + 100);
        EXPECT_EQ(pair.registrations.count_available(), pair.service.children("/fleet").size());
    }
}

TEST(CoordinationSession, SurvivesRandomBytes) {
    boost::random::mt19937 generator(3);
    for (int i = 0; i < 3000; ++i) {
        SessionAndService pair;
        pair.add("a");
        pair.connect();
        if (generator() % 2 == 0) pair.deliver();
        std::string bytes(generator() % 80, '\0');
        for (char& b : bytes) b = static_cast<char>(generator());
        if (generator() % 2 == 0)
            bytes = JuteWriter()
                        .number(static_cast<std::int32_t>(generator() % 4) - 1)
                        .long_number(9)
                        .number(0)
                        .payload() +
                    bytes;
        pair.session.on_frame(pair.now, bytes);
        pair.deliver();
        EXPECT_LE(pair.registrations.count_available(), 1U);
    }
}

}  // namespace
