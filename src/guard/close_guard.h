// Decides whether a client connection may be closed. All closes are checked here, immediately before the
// descriptor is closed or its write side is shut down.
//
// Does no I/O and holds no state.
#pragma once

#include <cstddef>
#include <string_view>

namespace brookrelay {

/// Why this node closes a client connection. Every close has one of these reasons.
enum class CloseReason {
    peer_closed,         ///< the client closed or reset the connection
    idle,                ///< no command arrived within the idle timeout
    first_command_late,  ///< no first command arrived in time
    too_many_idle,       ///< the longest idle one, while idle connections take too large a share
    evicted,             ///< the longest idle one, while another client needs its descriptor
    shutdown,            ///< this process is shutting down
    /// its input is malformed, or is an incomplete command that has stalled, or that is long while the byte
    /// budget is exceeded; it has its error
    rejected,
    unread_responses,  ///< the client does not read its responses
    broken_value,      ///< the rest of a value that is partly sent is not available
    count              ///< the number of reasons
};

/// State of a client connection immediately before it would be closed.
struct CloseFacts {
    std::size_t unanswered_commands = 0;  ///< commands read but not yet answered
    bool has_unread_input = false;        ///< a command, or part of one, is not read yet
};

/// Returns whether a connection may be closed for the reason. Where the close is optional, the connection
/// must have neither unanswered commands nor unread input. The other reasons always allow it.
bool may_close(CloseReason reason, const CloseFacts& facts);

/// Returns whether a close for the reason loses commands that this node has read. Only a close by the client,
/// or a client that does not read its responses, releases the node from answering.
bool loses_commands(CloseReason reason, const CloseFacts& facts);

/// Returns the name of a reason in the log and in metrics.
std::string_view name_of(CloseReason reason);

}  // namespace brookrelay
