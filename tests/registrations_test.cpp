// The endpoint changes that result from views of ephemeral registrations.
#include <gtest/gtest.h>

#include <cmath>
#include <string>
#include <vector>

#include "coordination/service_registrations.h"

namespace {

using namespace brookrelay;

Registration box(const std::string& name, std::int64_t creation_id = 1) {
    Registration r;
    r.name = name;
    r.creation_id = creation_id;
    r.address = "127.0.0.1:1";
    return r;
}

std::vector<Registration> boxes(int count, int from = 0) {
    std::vector<Registration> all;
    for (int i = from; i < count; ++i) all.push_back(box("b" + std::to_string(i)));
    return all;
}

// The changes as text: "+a" ready after a fresh start, "=a" ready without a new start, "-a" removed.
std::string told(ServiceRegistrations& r) {
    std::string all;
    for (const RegistrationChange& c : r.take_changes()) {
        all += (all.empty() ? "" : " ") +
               std::string(c.standing == EndpointState::removed ? "-"
                           : c.fresh                            ? "+"
                                                                : "=") +
               c.who.name;
    }
    return all;
}

TEST(Registrations, TellsWhoComesAndGoes) {
    ServiceRegistrations r;
    EXPECT_TRUE(r.apply_view(0, 1, {box("a"), box("b"), box("c"), box("d")}));
    EXPECT_EQ(told(r), "+a +b +c +d");
    EXPECT_TRUE(r.apply_view(100, 2, {box("a"), box("c"), box("d")}));
    EXPECT_EQ(told(r), "-b");  // in the same call, without a delay
    EXPECT_TRUE(r.apply_view(101, 3, {box("a"), box("c", 9), box("d")}));
    EXPECT_EQ(told(r), "+c");  // re-created between two views: a new start
    EXPECT_FALSE(r.apply_view(102, 2, {box("a")}));
    EXPECT_EQ(told(r), "");  // older than the last view
    Registration moved = box("a");
    moved.address = "127.0.0.2:1";
    EXPECT_TRUE(r.apply_view(103, 4, {moved, box("c", 9), box("d")}));
    EXPECT_EQ(told(r), "=a");
}

TEST(Registrations, AFlappingOneIsToldGoneAtOnceAndTrustedLaterEachTime) {
    ServiceRegistrations r;
    std::int64_t order = 0;
    double now = 0, longest = 0;
    int comings = 0;
    const std::vector<Registration> others = boxes(5);
    std::vector<Registration> with = others;
    // The registration flaps 5 times a second for 1 minute.
    for (int i = 0; i < 300; ++i, now += 0.2) {
        with = others;
        with.push_back(box("flap", 100 + i));
        (void)r.apply_view(now, ++order, with);
        if (told(r).find("+flap") != std::string::npos) ++comings;
        (void)r.apply_view(now + 0.1, ++order, others);
        (void)told(r);
    }
    EXPECT_LE(comings, 4);  // only the first starts; the later ones are removed again before their delay ends
    EXPECT_EQ(r.count_available(), 5U);
    // It stays: its start is reported within the bound of the delay.
    with.back() = box("flap", 999);
    (void)r.apply_view(now, ++order, with);
    EXPECT_EQ(told(r), "");
    longest = r.next_at() - now;
    EXPECT_LE(longest, 30.0);
    EXPECT_GT(longest, 5.0);
    r.tick(r.next_at());
    EXPECT_EQ(told(r), "+flap");
    // After a long stable time the flap count is reset, and its next start is not delayed.
    (void)r.apply_view(now + 200, ++order, with);
    (void)r.apply_view(now + 201, ++order, others);
    EXPECT_EQ(told(r), "-flap");
    with.back() = box("flap", 1000);
    (void)r.apply_view(now + 202, ++order, with);
    EXPECT_EQ(told(r), "+flap");
}

TEST(Registrations, AListWipedCleanIsDoubted) {
    ServiceRegistrations r;
    (void)r.apply_view(0, 1, boxes(10));
    (void)told(r);
    (void)r.apply_view(100, 2, {});
    EXPECT_EQ(told(r), "=b0 =b1 =b2 =b3 =b4 =b5 =b6 =b7 =b8 =b9");  // kept, without a fresh start
    EXPECT_EQ(r.count_suspect(), 10U);
    // Some return with their old creation id, which changes nothing. One is a new start.
    std::vector<Registration> some = boxes(4);
    some.push_back(box("b4", 77));
    (void)r.apply_view(101, 3, some);
    EXPECT_NE(told(r).find("+b4"), std::string::npos);
    EXPECT_EQ(r.count_suspect(), 5U);
    r.tick(129.9);
    EXPECT_EQ(told(r), "");
    r.tick(130.1);
    EXPECT_EQ(told(r), "-b5 -b6 -b7 -b8 -b9");
    EXPECT_EQ(r.count_available(), 5U);
}

// Sessions that expire one after another within a short time, each in a separate view.
TEST(Registrations, AWipeInManyViewsIsDoubtedToo) {
    ServiceRegistrations r;
    (void)r.apply_view(0, 1, boxes(10));
    (void)told(r);
    for (int gone = 1; gone <= 10; ++gone) (void)r.apply_view(100 + 0.02 * gone, 1 + gone, boxes(10, gone));
    EXPECT_EQ(r.count_available(), 10U);
    EXPECT_EQ(r.count_suspect(), 10U);
    r.confirm_removals(101);  // an operator confirms the removals
    EXPECT_EQ(r.count_available(), 0U);
    // Over a longer time each of them is removed.
    ServiceRegistrations slow;
    (void)slow.apply_view(0, 1, boxes(10));
    for (int gone = 1; gone <= 10; ++gone) (void)slow.apply_view(100 + 2.0 * gone, 1 + gone, boxes(10, gone));
    EXPECT_EQ(slow.count_available(), 0U);
}

TEST(Registrations, FewAreNeverHeldBack) {
    const struct {
        int all, go;
        bool doubted;
    } cases[] = {{2, 2, false},  {3, 3, true},  {10, 1, false},
                 {10, 5, false}, {10, 6, true}, {1000, 500, false}};
    for (const auto& c : cases) {
        ServiceRegistrations r;
        (void)r.apply_view(0, 1, boxes(c.all));
        (void)r.apply_view(100, 2, boxes(c.all, c.go));
        EXPECT_EQ(r.count_suspect(), c.doubted ? static_cast<std::size_t>(c.go) : 0U) << c.all << " " << c.go;
        EXPECT_EQ(r.count_available(), static_cast<std::size_t>(c.doubted ? c.all : c.all - c.go));
    }
}

TEST(Registrations, WithoutTheCoordinatorTheListStands) {
    ServiceRegistrations r;
    (void)r.apply_view(0, 1, boxes(5));
    (void)told(r);
    r.on_connection_lost(10);
    r.tick(4000);
    EXPECT_EQ(told(r), "");
    EXPECT_EQ(r.count_available(), 5U);
    EXPECT_DOUBLE_EQ(r.age(70), 60);
    // Suspect registrations are kept for as long as the service is unreachable.
    (void)r.apply_view(4100, 2, {});
    (void)told(r);
    r.on_connection_lost(4101);
    r.tick(5000);
    EXPECT_EQ(r.count_available(), 5U);
    EXPECT_EQ(r.next_at(), INFINITY);
}

TEST(Registrations, NamesThatNeverReturnAreForgotten) {
    ServiceRegistrations r;
    for (int i = 0; i < 5000; ++i) {
        std::vector<Registration> all = boxes(4);
        all.push_back(box("once-" + std::to_string(i), i));
        (void)r.apply_view(i, i, all);
        (void)r.take_changes();
    }
    EXPECT_EQ(r.count_available(), 5U);
}

}  // namespace
