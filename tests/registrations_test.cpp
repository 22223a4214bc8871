// The endpoint changes that result from views of ephemeral registrations.
#include <gtest/gtest.h>

#include <cmath>
#include <string>
#include <vector>

#include "coordination/service_registrations.h"

namespace {

using namespace brookrelay;

Registration registration(const std::string& name, std::int64_t creation_id = 1) {
    Registration result;
    result.name = name;
    result.creation_id = creation_id;
    result.address = "127.0.0.1:1";
    return result;
}

std::vector<Registration> registrations(int count, int from = 0) {
    std::vector<Registration> all;
    for (int i = from; i < count; ++i) all.push_back(registration("b" + std::to_string(i)));
    return all;
}

// The changes as text: "+a" ready after a fresh start, "=a" ready without a new start, "-a" removed.
std::string take_changes_text(ServiceRegistrations& state) {
    std::string all;
    for (const RegistrationChange& c : state.take_changes()) {
        all += (all.empty() ? "" : " ") +
               std::string(c.standing == EndpointState::removed ? "-"
                           : c.fresh                            ? "+"
                                                                : "=") +
               c.who.name;
    }
    return all;
}

TEST(Registrations, ReportsStartsAndRemovals) {
    ServiceRegistrations state;
    EXPECT_TRUE(
        state.apply_view(0, 1, {registration("a"), registration("b"), registration("c"), registration("d")}));
    EXPECT_EQ(take_changes_text(state), "+a +b +c +d");
    EXPECT_TRUE(state.apply_view(100, 2, {registration("a"), registration("c"), registration("d")}));
    EXPECT_EQ(take_changes_text(state), "-b");  // in the same call, without a delay
    EXPECT_TRUE(state.apply_view(101, 3, {registration("a"), registration("c", 9), registration("d")}));
    EXPECT_EQ(take_changes_text(state), "+c");  // re-created between two views: a new start
    EXPECT_FALSE(state.apply_view(102, 2, {registration("a")}));
    EXPECT_EQ(take_changes_text(state), "");  // older than the last view
    Registration moved = registration("a");
    moved.address = "127.0.0.2:1";
    EXPECT_TRUE(state.apply_view(103, 4, {moved, registration("c", 9), registration("d")}));
    EXPECT_EQ(take_changes_text(state), "=a");
}

TEST(Registrations, AFlappingOneIsRemovedAtOnceAndItsStartsAreDelayed) {
    ServiceRegistrations state;
    std::int64_t order = 0;
    double now = 0, delay = 0;
    int starts = 0;
    const std::vector<Registration> others = registrations(5);
    std::vector<Registration> with = others;
    // The registration flaps 5 times a second for 1 minute.
    for (int i = 0; i < 300; ++i, now += 0.2) {
        with = others;
        with.push_back(registration("flap", 100 + i));
        (void)state.apply_view(now, ++order, with);
        if (take_changes_text(state).find("+flap") != std::string::npos) ++starts;
        (void)state.apply_view(now + 0.1, ++order, others);
        (void)take_changes_text(state);
    }
    EXPECT_LE(starts, 4);  // only the first starts; the later ones are removed again before their delay ends
    EXPECT_EQ(state.count_available(), 5U);
    // It stays: its start is reported within the bound of the delay.
    with.back() = registration("flap", 999);
    (void)state.apply_view(now, ++order, with);
    EXPECT_EQ(take_changes_text(state), "");
    delay = state.next_at() - now;
    EXPECT_LE(delay, 30.0);
    EXPECT_GT(delay, 5.0);
    state.tick(state.next_at());
    EXPECT_EQ(take_changes_text(state), "+flap");
    // After a long stable time the flap count is reset, and its next start is not delayed.
    (void)state.apply_view(now + 200, ++order, with);
    (void)state.apply_view(now + 201, ++order, others);
    EXPECT_EQ(take_changes_text(state), "-flap");
    with.back() = registration("flap", 1000);
    (void)state.apply_view(now + 202, ++order, with);
    EXPECT_EQ(take_changes_text(state), "+flap");
}

TEST(Registrations, TheRemovalOfAllIsSuspected) {
    ServiceRegistrations state;
    (void)state.apply_view(0, 1, registrations(10));
    (void)take_changes_text(state);
    (void)state.apply_view(100, 2, {});
    EXPECT_EQ(take_changes_text(state),
              "=b0 =b1 =b2 =b3 =b4 =b5 =b6 =b7 =b8 =b9");  // kept, without a fresh start
    EXPECT_EQ(state.count_suspect(), 10U);
    // Some return with their old creation id, which changes nothing. One is a new start.
    std::vector<Registration> some = registrations(4);
    some.push_back(registration("b4", 77));
    (void)state.apply_view(101, 3, some);
    EXPECT_NE(take_changes_text(state).find("+b4"), std::string::npos);
    EXPECT_EQ(state.count_suspect(), 5U);
    state.tick(129.9);
    EXPECT_EQ(take_changes_text(state), "");
    state.tick(130.1);
    EXPECT_EQ(take_changes_text(state), "-b5 -b6 -b7 -b8 -b9");
    EXPECT_EQ(state.count_available(), 5U);
}

// Sessions that expire one after another within a short time, each in a separate view.
TEST(Registrations, AMassRemovalInManyViewsIsSuspected) {
    ServiceRegistrations state;
    (void)state.apply_view(0, 1, registrations(10));
    (void)take_changes_text(state);
    for (int gone = 1; gone <= 10; ++gone)
        (void)state.apply_view(100 + 0.02 * gone, 1 + gone, registrations(10, gone));
    EXPECT_EQ(state.count_available(), 10U);
    EXPECT_EQ(state.count_suspect(), 10U);
    state.confirm_removals(101);  // an operator confirms the removals
    EXPECT_EQ(state.count_available(), 0U);
    // Over a longer time each of them is removed.
    ServiceRegistrations slow_removals;
    (void)slow_removals.apply_view(0, 1, registrations(10));
    for (int gone = 1; gone <= 10; ++gone)
        (void)slow_removals.apply_view(100 + 2.0 * gone, 1 + gone, registrations(10, gone));
    EXPECT_EQ(slow_removals.count_available(), 0U);
}

TEST(Registrations, TheRemovalOfAFewIsNotSuspected) {
    const struct {
        int all, removed;
        bool is_suspected;
    } cases[] = {{2, 2, false},  {3, 3, true},  {10, 1, false},
                 {10, 5, false}, {10, 6, true}, {1000, 500, false}};
    for (const auto& c : cases) {
        ServiceRegistrations state;
        (void)state.apply_view(0, 1, registrations(c.all));
        (void)state.apply_view(100, 2, registrations(c.all, c.removed));
        EXPECT_EQ(state.count_suspect(), c.is_suspected ? static_cast<std::size_t>(c.removed) : 0U)
            << c.all << " " << c.removed;
        EXPECT_EQ(state.count_available(),
                  static_cast<std::size_t>(c.is_suspected ? c.all : c.all - c.removed));
    }
}

TEST(Registrations, WithoutTheServiceTheListStaysInUse) {
    ServiceRegistrations state;
    (void)state.apply_view(0, 1, registrations(5));
    (void)take_changes_text(state);
    state.on_connection_lost(10);
    state.tick(4000);
    EXPECT_EQ(take_changes_text(state), "");
    EXPECT_EQ(state.count_available(), 5U);
    EXPECT_DOUBLE_EQ(state.age(70), 60);
    // Suspect registrations are kept for as long as the service is unreachable.
    (void)state.apply_view(4100, 2, {});
    (void)take_changes_text(state);
    state.on_connection_lost(4101);
    state.tick(5000);
    EXPECT_EQ(state.count_available(), 5U);
    EXPECT_EQ(state.next_at(), INFINITY);
}

TEST(Registrations, NamesThatNeverReturnAreErased) {
    ServiceRegistrations state;
    for (int i = 0; i < 5000; ++i) {
        std::vector<Registration> all = registrations(4);
        all.push_back(registration("once-" + std::to_string(i), i));
        (void)state.apply_view(i, i, all);
        (void)state.take_changes();
    }
    EXPECT_EQ(state.count_available(), 5U);
}

}  // namespace
