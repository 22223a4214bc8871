// The exit codes of the program, shared by all its commands.
#pragma once

namespace brookrelay {

constexpr int kExitSuccess = 0;     // success
constexpr int kExitFailure = 1;     // a rule was violated, a check failed, or serving could not continue
constexpr int kExitUsageError = 2;  // invalid usage or an invalid file

}  // namespace brookrelay
