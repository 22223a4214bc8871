// The count of rules that this process has seen itself break. Each is a fault of the program: it is logged
// with its ids, counted by kind in every build, and shown among the metrics.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

namespace brookrelay {

/// The rules that are checked while the program runs.
enum class Violation {
    sent_unasked,         ///< an attempt was written although the send guard refuses it
    deadline_too_long,    ///< a server was told more time than the client has left
    commands_lost,        ///< commands were read and their connection closed without their responses
    closed_while_in_use,  ///< a connection was closed as idle while it held something of its client's
    window_passed,        ///< a retry was sent after its idempotency key may be forgotten
    count                 ///< the number of kinds
};

/// One word for the log and for metrics.
std::string_view name_of(Violation kind);

/// Counts violations and passes each on to the log. Used from one thread.
class ViolationCounter {
  public:
    using OnViolation = std::function<void(Violation kind, std::string_view details)>;

    /// `on_violation` is called for each one.
    explicit ViolationCounter(OnViolation on_violation);
    /// `details` names the request, attempt, connection or server.
    void report(Violation kind, std::string_view details);
    std::uint64_t count(Violation kind) const { return counts_[static_cast<std::size_t>(kind)]; }
    std::uint64_t total() const;

  private:
    OnViolation on_violation_;
    std::array<std::uint64_t, static_cast<std::size_t>(Violation::count)> counts_{};
};

}  // namespace brookrelay
