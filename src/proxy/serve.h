/// The daemon: reads the configuration at start, runs the event loop and handles the signals. It owns the
/// node and the log, and never touches a socket.
#pragma once

#include <functional>
#include <string>

#include "config/operator_config.h"

namespace brookrelay {

/// Runs the node until it is done and returns the program's exit code: kDone after SIGTERM or SIGINT,
/// kWrongUse for an invalid configuration, kBroken where it cannot listen. `reload_operator_config` is called
/// on SIGHUP; what it throws as std::runtime_error is logged, and the running configuration stays.
int serve(const std::string& config_path, const OperatorConfig& operator_config,
          const std::function<OperatorConfig()>& reload_operator_config);

}  // namespace brookrelay
