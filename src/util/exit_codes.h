// What the program's exit code says, the same for each of its commands.
#pragma once

namespace brookrelay {

constexpr int kDone = 0;
constexpr int kBroken = 1;    // a rule was broken, a check failed, or serving could not go on
constexpr int kWrongUse = 2;  // wrong usage, or a wrong file

}  // namespace brookrelay
