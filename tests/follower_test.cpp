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
struct Pair {
    std::deque<std::string> to_session;
    std::uint64_t connection = 0;
    double now = 0;
    std::vector<std::string> left_out, hung_up;
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
         [this](const char* why) { hung_up.emplace_back(why); },
         [this](const std::string& child, const std::string& why) {
             left_out.push_back(child + ": " + why);
         }}};
    std::int64_t owner = 0;

    Pair() {
        (void)service.create(0, 0, "/fleet", "", false, false);
        owner = service.open_session(0, 40);
    }
    void add(const std::string& name, const std::string& data = "127.0.0.1:1") {
        EXPECT_EQ(service.create(now, owner, "/fleet/" + name, data, true, false),
                  testkit::CoordinatorError::none);
    }
    void drop(const std::string& name) {
        EXPECT_EQ(service.remove("/fleet/" + name), testkit::CoordinatorError::none);
    }
    void up() {
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
    std::string told() {
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

TEST(Follower, ShowsWhoIsThereAndWhoGoes) {
    Pair p;
    for (const char* name : {"a", "b", "c", "d"}) p.add(name);
    p.add("e", "bad");
    p.up();
    p.deliver();
    EXPECT_EQ(p.told(), "+a +b +c +d");
    EXPECT_EQ(p.left_out, (std::vector<std::string>{"e: no address"}));
    p.drop("b");
    // The watch event alone is sufficient: no reply of the service is waited for.
    EXPECT_TRUE(p.deliver_one());
    EXPECT_EQ(p.told(), "-b");
    p.deliver();
    p.add("f");
    p.deliver();
    EXPECT_EQ(p.told(), "+f");
    // Removed and created again before any event is delivered.
    p.drop("a");
    p.add("a");
    p.deliver();
    EXPECT_EQ(p.told(), "+a");
    // The data changes while it is being read.
    (void)p.service.set(p.now, "/fleet/c", "127.0.0.1:2");
    EXPECT_TRUE(p.deliver_one());
    (void)p.service.set(p.now, "/fleet/c", "127.0.0.1:3");
    p.deliver();
    EXPECT_EQ(p.told(), "=c");
}

// A removal during the first read of the children does not cause an incomplete view to be published: replies
// arrive in order.
TEST(Follower, ShowsNoPartOfTheFirstPicture) {
    Pair p;
    for (const char* name : {"a", "b", "c", "d", "e"}) p.add(name);
    p.up();
    EXPECT_TRUE(p.deliver_one());  // the connect response; the listing is now in flight
    p.drop("a");
    std::string first;
    while (first.empty() && p.deliver_one()) first = p.told();
    EXPECT_EQ(first, "+b +c +d +e");
}

TEST(Follower, SeesWhatHappenedWhileItWasAway) {
    Pair p;
    for (const char* name : {"a", "b", "c", "d", "e"}) p.add(name);
    p.up();
    p.deliver();
    (void)p.told();
    const std::int64_t session_id = p.session.session_id();
    p.session.on_disconnected(p.now);
    p.service.ended(p.connection);
    EXPECT_EQ(p.told(), "");
    p.drop("a");
    p.drop("b");
    p.add("b");
    p.up();
    p.deliver();
    EXPECT_EQ(p.session.session_id(), session_id);
    EXPECT_EQ(p.told(), "+b -a");
    // The session expires: the first connection is told so, and the next one opens a new session.
    p.service.expire(session_id);
    p.session.on_disconnected(p.now);
    p.up();
    p.deliver();
    EXPECT_EQ(p.hung_up, (std::vector<std::string>{"the session has expired"}));
    EXPECT_EQ(p.told(), "");
    p.up();
    p.deliver();
    EXPECT_NE(p.session.session_id(), session_id);
    EXPECT_TRUE(p.session.is_established());
    EXPECT_EQ(p.told(), "");
}

TEST(Follower, PingsAndLeavesASilentService) {
    Pair p;
    p.add("a");
    p.up();
    p.deliver();
    for (int i = 0; i < 100; ++i) {
        p.now = p.session.next_at();
        p.session.tick(p.now);
        p.deliver();
        p.service.touch(p.now, p.owner);
        p.service.tick(p.now);
    }
    EXPECT_GT(p.now, 100);  // far longer than the session timeout
    EXPECT_TRUE(p.session.is_established());
    EXPECT_TRUE(p.hung_up.empty());
    const double silent_from = p.now;
    while (p.hung_up.empty()) {
        p.now = p.session.next_at();
        p.session.tick(p.now);
    }
    EXPECT_LE(p.now - silent_from, 4 * 2.0 / 3.0 + 0.01);
    EXPECT_EQ(p.registrations.count_available(), 1U);
}

// Changes, lost connections and reconnects at random points between the messages: in the end the
// registrations equal those of the service.
TEST(Follower, EndsWithTheTruthWhateverTheOrder) {
    for (unsigned seed = 1; seed <= 300; ++seed) {
        SCOPED_TRACE(seed);
        boost::random::mt19937 chance(seed);
        Pair p;
        p.up();
        for (int step = 0; step < 120; ++step) {
            p.now += 0.4;
            p.service.touch(p.now, p.owner);
            const std::string name = "s" + std::to_string(chance() % 6);
            switch (chance() % 8) {
                case 0:
                case 1:
                    if (p.service.exists("/fleet/" + name))
                        p.drop(name);
                    else
                        p.add(name);
                    break;
                case 2:
                    (void)p.service.set(p.now, "/fleet/" + name, "127.0.0.1:" + std::to_string(step));
                    break;
                case 3:
                    if (chance() % 4 == 0) {
                        p.session.on_disconnected(p.now);
                        p.service.ended(p.connection);
                        p.up();
                    }
                    break;
                default:
                    (void)p.deliver_one();
            }
            p.session.tick(p.now);
            if (!p.hung_up.empty()) {
                p.hung_up.clear();
                p.service.ended(p.connection);
                p.up();
            }
        }
        p.deliver();
        ASSERT_TRUE(p.session.is_established());
        // Suspect registrations and delayed starts expire.
        p.registrations.tick(p.now + 100);
        EXPECT_EQ(p.registrations.count_available(), p.service.children("/fleet").size());
    }
}

TEST(Follower, SurvivesBytesThatAreNone) {
    boost::random::mt19937 chance(3);
    for (int i = 0; i < 3000; ++i) {
        Pair p;
        p.add("a");
        p.up();
        if (chance() % 2 == 0) p.deliver();
        std::string bytes(chance() % 80, '\0');
        for (char& b : bytes) b = static_cast<char>(chance());
        if (chance() % 2 == 0)
            bytes = JuteWriter()
                        .number(static_cast<std::int32_t>(chance() % 4) - 1)
                        .long_number(9)
                        .number(0)
                        .payload() +
                    bytes;
        p.session.on_frame(p.now, bytes);
        p.deliver();
        EXPECT_LE(p.registrations.count_available(), 1U);
    }
}

}  // namespace
