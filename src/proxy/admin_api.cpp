#include "proxy/admin_api.h"

#include <glib.h>

#include <memory>
#include <optional>
#include <string_view>

namespace brookrelay {
namespace {

constexpr std::string_view kServersPrefix = "/control/cache-servers/";
constexpr std::string_view kZonesPrefix = "/control/zones/";
constexpr std::string_view kFleetPath = "/control/fleet";
constexpr std::string_view kReadyPath = "/control/ready";
constexpr std::string_view kMetricsPath = "/metrics";
constexpr std::string_view kTracePath = "/control/trace";
constexpr std::string_view kOffline = "/offline";
constexpr std::string_view kOnline = "/online";

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr AdminError kNoSuchPath{kNotFound, "no such path"};
constexpr AdminError kNeedsPost{kMethodNotAllowed, "the method here is POST"};
constexpr AdminError kNeedsGet{kMethodNotAllowed, "the method here is GET"};

// Decodes percent-encoding. Returns nothing if the text is malformed or encodes one of `illegal_characters`
// (null: every character is allowed).
std::optional<std::string> unescape(std::string_view text, const char* illegal_characters) {
    const std::unique_ptr<char, decltype(&g_free)> plain(
        g_uri_unescape_string(std::string(text).c_str(), illegal_characters), &g_free);
    if (plain == nullptr) return std::nullopt;
    return std::string(plain.get());
}

// Whether the target has the form PREFIX/NAME/offline or PREFIX/NAME/online.
bool is_state_change(std::string_view target, std::string_view prefix) {
    return target.starts_with(prefix) && (target.ends_with(kOffline) || target.ends_with(kOnline));
}

// The name and the direction of a state change, the same for servers and zones.
struct StateChange {
    std::string name;
    bool drain = false;
};

std::variant<AdminError, StateChange> parse_state_change(const HttpRequest& request, std::string_view prefix,
                                                         const char* illegal_characters,
                                                         const char* malformed_name) {
    const std::string_view target(request.target);
    const bool drain = target.ends_with(kOffline);
    const std::size_t affixes = prefix.size() + (drain ? kOffline : kOnline).size();
    if (target.size() <= affixes) return kNoSuchPath;
    if (request.method != "POST") return kNeedsPost;
    const auto name = unescape(target.substr(prefix.size(), target.size() - affixes), illegal_characters);
    if (!name) return AdminError{kBadRequest, malformed_name};
    return StateChange{*name, drain};
}

}  // namespace

AdminAction parse_admin_request(const HttpRequest& request) {
    const std::string_view target(request.target);
    if (is_state_change(target, kServersPrefix)) {
        const auto parsed = parse_state_change(request, kServersPrefix, "/", "no id");
        if (const auto* error = std::get_if<AdminError>(&parsed)) return *error;
        const auto& change = std::get<StateChange>(parsed);
        return ServerStateChange{change.name, change.drain};
    }
    if (is_state_change(target, kZonesPrefix)) {
        const auto parsed = parse_state_change(request, kZonesPrefix, nullptr, "no name");
        if (const auto* error = std::get_if<AdminError>(&parsed)) return *error;
        const auto& change = std::get<StateChange>(parsed);
        return ZoneStateChange{change.name, change.drain};
    }
    const bool is_known =
        target == kFleetPath || target == kReadyPath || target == kMetricsPath || target == kTracePath;
    if (!is_known) return kNoSuchPath;
    if (request.method != "GET") return kNeedsGet;
    if (target == kFleetPath) return FleetStateQuery{};
    if (target == kMetricsPath) return MetricsQuery{};
    if (target == kTracePath) return TraceQuery{};
    return ReadinessQuery{};
}

}  // namespace brookrelay
