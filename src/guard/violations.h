// Counts violations of the program's own rules. Each violation is a fault of the program: it is logged with
// the ids concerned, counted by kind in every build, and exported as a metric.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

namespace brookrelay {

/// Kinds of violations that are detected at run time.
enum class Violation {
    sent_despite_refusal,  ///< an attempt was written although the send guard would refuse it
    deadline_too_long,     ///< the deadline sent to a server exceeds the client's by more than the slack
    commands_lost,         ///< a connection was closed without the responses to commands read from it
    closed_while_in_use,   ///< an optional close had unanswered commands or unread input
    deduplication_window_passed,  ///< a retry was sent after its idempotency key may have expired
    count                         ///< the number of kinds
};

/// Returns the name of a kind in the log and in metrics.
std::string_view name_of(Violation kind);

/// Counts violations and passes each of them to a callback. Not thread-safe.
class ViolationCounter {
  public:
    using OnViolation = std::function<void(Violation kind, std::string_view details)>;

    /// Calls `on_violation` for each violation.
    explicit ViolationCounter(OnViolation on_violation);
    /// Counts a violation. `details` identifies the request, attempt, connection or server concerned.
    void report(Violation kind, std::string_view details);
    std::uint64_t count(Violation kind) const { return counts_[static_cast<std::size_t>(kind)]; }
    std::uint64_t total() const;

  private:
    OnViolation on_violation_;
    std::array<std::uint64_t, static_cast<std::size_t>(Violation::count)> counts_{};
};

}  // namespace brookrelay
