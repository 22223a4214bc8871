#include "proxy/memory_plan.h"

#include <algorithm>

#include "protocol/memcache_text.h"

namespace brookrelay {
namespace {

constexpr double kMegabyte = 1e6;
// A process without connections: the program, its libraries and the tables of a fleet of ordinary size.
constexpr double kProcessBytes = 10 * kMegabyte;
// A connection without buffers: its socket, its event sources and the entry of its request.
constexpr double kConnectionBytes = 6e3;
constexpr std::size_t kQueuedBytes = std::size_t{1024} * 1024;
// The part of the remaining memory that buffers may occupy; the rest is lost to fragmentation.
constexpr double kUsablePart = 0.75;
// Either side has at most this part of all memory, and at least the other one of it.
constexpr double kLargestPart = 0.25;
constexpr double kSmallestPart = 1.0 / 32;
// The part of a side's bytes that the input of all its connections may occupy without a reservation.
constexpr std::size_t kUnreservedDivisor = 3;

std::size_t part_of_one(std::size_t bytes, std::size_t connections, std::size_t smallest,
                        std::size_t largest) {
    const std::size_t part = bytes / kUnreservedDivisor / std::max<std::size_t>(connections, 1);
    return std::clamp(part, smallest, largest);
}

}  // namespace

MemoryPlan make_memory_plan(int memory_mb, std::size_t client_connections, std::size_t server_connections,
                            int processes) {
    constexpr std::size_t kLeastInput = 2 * kMaxLineBytes;
    constexpr std::size_t kMostInput = kMaxBufferedValueBytes + kLeastInput;
    const double memory = memory_mb * kMegabyte;
    const auto connections = static_cast<double>(client_connections + server_connections);
    const double fixed = processes * (kProcessBytes + 2.0 * kQueuedBytes) + connections * kConnectionBytes;
    const double side =
        std::clamp(kUsablePart * (memory - fixed) / 2, kSmallestPart * memory, kLargestPart * memory);
    const auto bytes = static_cast<std::size_t>(side);
    return {bytes, part_of_one(bytes, client_connections, kLeastInput, kMostInput), bytes,
            part_of_one(bytes, server_connections, kLeastInput, kMostInput), kQueuedBytes};
}

}  // namespace brookrelay
