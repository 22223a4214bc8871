// `brookrelay check FILE`: recognizes the kind of a configuration file and reports all errors in it. What a
// file must contain is defined in src/config/ alone.
#pragma once

#include <string>

namespace brookrelay {

// Prints the result and returns the exit code. Throws ConfigurationFileError for a wrong TOML file.
int check_file(const std::string& path);

}  // namespace brookrelay
