#include "guard/violations.h"

#include <numeric>
#include <utility>

namespace brookrelay {
namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(Violation::count)> kNames{
    "sent_unasked", "deadline_too_long", "commands_lost", "closed_while_in_use", "window_passed"};

}  // namespace

std::string_view name_of(Violation kind) { return kNames[static_cast<std::size_t>(kind)]; }

ViolationCounter::ViolationCounter(OnViolation on_violation) : on_violation_(std::move(on_violation)) {}

void ViolationCounter::report(Violation kind, std::string_view details) {
    ++counts_[static_cast<std::size_t>(kind)];
    on_violation_(kind, details);
}

std::uint64_t ViolationCounter::total() const {
    return std::accumulate(counts_.begin(), counts_.end(), std::uint64_t{0});
}

}  // namespace brookrelay
