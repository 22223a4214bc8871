/// Divides the memory of a process among those that hold buffers, by the limit of the configuration. What is
/// not given to buffers is for the program itself, its tables, and what the allocator keeps. Sizes are bytes.
#pragma once

#include <cstddef>

namespace brookrelay {

/// What each side of the node may occupy.
struct MemoryPlan {
    std::size_t client_bytes;       ///< input, values of unanswered writes, and responses of all clients
    std::size_t client_read_limit;  ///< input of one client for which no memory is reserved
    std::size_t server_bytes;       ///< input, collected bodies and output of all server connections
    std::size_t stream_read_limit;  ///< input of one server connection whose response is streamed
    std::size_t queued_bytes;       ///< responses that are received in one iteration of the event loop
};

/// Plans for a node of `memory_mb` megabytes (10^6 bytes), whose processes have so many connections together.
/// The plan is for all `processes` together.
MemoryPlan make_memory_plan(int memory_mb, std::size_t client_connections, std::size_t server_connections,
                            int processes);

}  // namespace brookrelay
