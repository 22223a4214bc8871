// Tests how the memory of a process is divided.
#include "proxy/memory_plan.h"

#include <gtest/gtest.h>

namespace {

using brookrelay::make_memory_plan;
using brookrelay::MemoryPlan;

constexpr std::size_t kMegabyte = 1'000'000;

// What the plan gives away has to leave room for the program and for what the allocator keeps.
TEST(MemoryPlan, LeavesRoomForTheProgramAtEverySize) {
    for (const int memory_mb : {32, 48, 96, 192}) {
        for (const std::size_t connections : {240U, 500U, 1000U}) {
            const std::size_t clients = connections * 6 / 10, servers = connections - clients;
            const MemoryPlan plan = make_memory_plan(memory_mb, clients, servers, 1);
            const std::size_t memory = static_cast<std::size_t>(memory_mb) * kMegabyte;
            EXPECT_LE(plan.client_bytes + plan.server_bytes, memory / 2);
            EXPECT_LE(2 * plan.queued_bytes, memory / 8);
            // The least input that a connection needs may come to more than its part, but not to much more.
            EXPECT_LE(plan.client_read_limit * clients, plan.client_bytes);
            EXPECT_LE(plan.stream_read_limit * servers, plan.server_bytes);
        }
    }
}

TEST(MemoryPlan, OfTwoProcessesGivesLessThanOfOne) {
    const MemoryPlan one = make_memory_plan(48, 600, 400, 1), two = make_memory_plan(48, 600, 400, 2);
    EXPECT_LT(two.client_bytes, one.client_bytes);
    EXPECT_GT(two.client_bytes, kMegabyte);
}

TEST(MemoryPlan, OfTooLittleMemoryStillGivesSome) {
    const MemoryPlan plan = make_memory_plan(16, 600, 400, 2);
    EXPECT_EQ(plan.client_bytes, 16 * kMegabyte / 32);
    EXPECT_GE(plan.client_read_limit, 4096U);
}

}  // namespace
