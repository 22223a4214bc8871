// The daemon: reads what the node is told at its start, runs the loop, and hears the signals. It owns the
// node and the log, and never touches a socket.
#pragma once

#include <functional>
#include <string>

#include "config/operator_config.h"

namespace brookrelay {

// Returns the program's exit code: kDone after SIGTERM, kWrongUse for a wrong file, kBroken where it cannot
// listen. `read_again`: the operators' own file as it is by then, for SIGHUP; throws what reading it throws.
int serve(const std::string& station_path, const OperatorConfig& operator_file,
          const std::function<OperatorConfig()>& read_again);

}  // namespace brookrelay
