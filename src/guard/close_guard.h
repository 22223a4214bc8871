// Whether the connection of a client may be closed now, and why it is. The one place that decides it, asked
// immediately before the descriptor is closed or its write side is shut down.
//
// No I/O and no state.
#pragma once

#include <cstddef>
#include <string_view>

namespace brookrelay {

/// Why this node closes the connection of a client. The set is closed: each close names one of them.
enum class CloseReason {
    peer_closed,         ///< the client closed or reset it
    idle,                ///< no command for the idle timeout
    first_command_late,  ///< no command at all
    too_many_idle,       ///< idle for longest, while idle connections take too large a share
    evicted,             ///< idle for longest, and another client needs the descriptor
    shutdown,            ///< this process ends
    rejected,            ///< its input is malformed, incomplete, or more than memory holds; it has its error
    unread_responses,    ///< it does not read its responses
    broken_value,        ///< the rest of a value that was begun is not to be had
    count                ///< the number of reasons
};

/// What is known of a connection at the moment in which it would be closed.
struct CloseFacts {
    std::size_t unanswered_commands = 0;  ///< read, and without their response
    bool has_unread_input = false;        ///< a command, or a part of one, that is not read
};

/// Whether a connection may be closed for the reason. One that only rests must hold nothing of its client's:
/// neither a command without its response nor input that is not read. The other reasons leave no choice.
bool may_close(CloseReason reason, const CloseFacts& facts);

/// Whether to close for the reason loses commands which this node has read. Only the client's own close, and
/// its refusal to read, free the node of the answers.
bool loses_commands(CloseReason reason, const CloseFacts& facts);

/// One word for the log and for metrics.
std::string_view name_of(CloseReason reason);

}  // namespace brookrelay
