/// The daemon: reads the configuration, runs the event loop and handles signals. It owns the node and the
/// log; all sockets belong to the node.
#pragma once

#include <functional>
#include <string>

#include "config/operator_config.h"

namespace brookrelay {

/// Runs the node until its shutdown is complete and returns the program's exit code: kExitSuccess after
/// SIGTERM or SIGINT, kExitUsageError for an invalid configuration, kExitFailure if it cannot listen.
/// `reload_operator_config` is called on SIGHUP; a std::runtime_error from it is logged and the current
/// configuration is kept.
int serve(const std::string& config_path, const OperatorConfig& operator_config,
          const std::function<OperatorConfig()>& reload_operator_config);

}  // namespace brookrelay
