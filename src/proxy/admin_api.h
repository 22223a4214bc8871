/// The paths of the admin HTTP interface: parses a request into a typed action or an error response. The
/// parser does not know the node's servers and zones, and executes nothing.
#pragma once

#include <string>
#include <variant>

#include "protocol/http1.h"

namespace brookrelay {

/// POST /control/cache-servers/NAME/offline or /online: drains or restores a server.
struct ServerStateChange {
    std::string server;
    bool drain = false;
};
/// POST /control/zones/NAME/offline or /online: drains or restores a zone.
struct ZoneStateChange {
    std::string zone;
    bool drain = false;
};
/// GET /control/fleet: the node's gossip state as JSON.
struct FleetStateQuery {};
/// GET /metrics, in the Prometheus text exposition format.
struct MetricsQuery {};
/// GET /control/trace: the most recent request events.
struct TraceQuery {};
/// GET /control/ready: whether the node accepts clients.
struct ReadinessQuery {};
/// The error response to a request that is not a valid action.
struct AdminError {
    int status = 0;
    const char* text = "";
};
using AdminAction = std::variant<AdminError, ServerStateChange, ZoneStateChange, FleetStateQuery,
                                 ReadinessQuery, MetricsQuery, TraceQuery>;

/// Parses the method and the target of `request`.
AdminAction parse_admin_request(const HttpRequest& request);

}  // namespace brookrelay
