/// The paths of the operators' HTTP interface: turns a request into a typed action, or into the error
/// response that it deserves. It knows neither the node's servers nor its zones, and carries nothing out.
#pragma once

#include <string>
#include <variant>

#include "protocol/http1.h"

namespace brookrelay {

/// POST /control/cache-servers/NAME/offline or online.
struct ServerStateChange {
    std::string server;
    bool drain = false;
};
/// POST /control/zones/NAME/offline or online.
struct ZoneStateChange {
    std::string zone;
    bool drain = false;
};
/// GET /control/fleet.
struct FleetStateQuery {};
/// GET /metrics, in the Prometheus text exposition format.
struct MetricsQuery {};
/// GET /control/trace: the last events of requests.
struct TraceQuery {};
/// GET /control/ready.
struct ReadinessQuery {};
/// A request that names no action, with the response to it.
struct AdminError {
    int status = 0;
    const char* text = "";
};
using AdminAction = std::variant<AdminError, ServerStateChange, ZoneStateChange, FleetStateQuery,
                                 ReadinessQuery, MetricsQuery, TraceQuery>;

AdminAction parse_admin_request(const HttpRequest& request);

}  // namespace brookrelay
