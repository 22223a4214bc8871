// `brookrelay check FILE`: recognizes the kind of a configuration file and reports all errors in it. Only
// src/config/ defines what a file must contain.
#pragma once

#include <string>

namespace brookrelay {

// Prints the result and returns the exit code. Throws ConfigurationFileError for an invalid TOML file.
int check_file(const std::string& path);

}  // namespace brookrelay
