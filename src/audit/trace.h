// Formats names, times and the history of a request for the audit.
#pragma once

#include <string>
#include <vector>

#include "audit/history.h"

namespace brookrelay::audit {

const char* reply_text(Reply reply);
std::string duration_text(double seconds);
// `time` counted from the start of the run.
std::string time_text(const History& history, double time);
std::string server_name(const Terms& terms, int server);

// All requests of the user that sent `request`, one event per line in order of time; empty for an unknown
// request.
std::vector<std::string> trace_request(const History& history, int request);

}  // namespace brookrelay::audit
