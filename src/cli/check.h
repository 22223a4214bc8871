// `brookrelay check FILE`: says what kind of file of the project's it is and all that is wrong with it. It
// owns the telling of kinds apart; what a file must hold is known to src/config/ alone.
#pragma once

#include <string>

namespace brookrelay {

// Prints to standard output what it found; an exit code. Throws BadFile for a wrong TOML file.
int check_file(const std::string& path);

}  // namespace brookrelay
