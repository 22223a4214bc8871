#include "cli/fleet_commands.h"

#include <gio/gio.h>
#include <rapidjson/document.h>

#include <cstdio>
#include <memory>

#include "config/json.h"
#include "io/tcp_connection.h"
#include "util/address.h"
#include "util/exit_codes.h"

namespace brookrelay {
namespace {

constexpr guint kCallTimeout = 2;  // seconds; a node responds within 1 s under any load

template <typename T>
using GObjectRef = std::unique_ptr<T, GObjectUnref>;

// Calls the admin server; returns the body of the response, or sets `why` to the cause of the failure.
std::string call_admin_server(const std::string& address, const std::string& method,
                              const std::string& target, int& status, std::string& why) {
    const GObjectRef<GSocketClient> client(g_socket_client_new());
    g_socket_client_set_timeout(client.get(), kCallTimeout);
    GError* error_out = nullptr;
    const GObjectRef<GSocketConnection> connection(
        g_socket_client_connect_to_host(client.get(), address.c_str(), 0, nullptr, &error_out));
    std::string response;
    if (connection != nullptr) {
        const std::string request = method + " " + target + " HTTP/1.1\r\nHost: node\r\n\r\n";
        GOutputStream* out = g_io_stream_get_output_stream(G_IO_STREAM(connection.get()));
        GInputStream* in = g_io_stream_get_input_stream(G_IO_STREAM(connection.get()));
        if (g_output_stream_write_all(out, request.data(), request.size(), nullptr, nullptr, &error_out)) {
            char buffer[4096];
            for (gssize count = 0;
                 (count = g_input_stream_read(in, buffer, sizeof buffer, nullptr, &error_out)) > 0;)
                response.append(buffer, static_cast<std::size_t>(count));
        }
    }
    const ErrorRef error(error_out);
    const std::size_t end = response.find("\r\n\r\n");
    if (end == std::string::npos) {
        why = error != nullptr ? error->message : "incomplete response";
        return {};
    }
    status = response.starts_with("HTTP/1.1 ") ? std::atoi(response.c_str() + 9) : 0;
    return response.substr(end + 4);
}

void print_status(const rapidjson::Value& status) {
    const auto field = [](const rapidjson::Value& object, const char* key) { return number(object, key, 0); };
    std::printf("hears others: %s   doubts itself: %s   may send %.0f bytes/s   stood still %.0f times\n",
                flag(status, "hears") ? "yes" : "NO", flag(status, "doubts_itself") ? "YES" : "no",
                field(status, "bytes_a_second"), field(status, "stalls"));
    const rapidjson::Value& datagrams = get_required_member(status, "datagrams");
    std::printf(
        "datagrams: %.0f sent (%.0f bytes), %.0f heard; thrown away: %.0f unsound, %.0f from strangers, %.0f "
        "of dead lives; %.0f late\n",
        field(datagrams, "sent"), field(datagrams, "sent_bytes"), field(datagrams, "received"),
        field(datagrams, "unsound"), field(datagrams, "strangers"), field(datagrams, "dead_lives"),
        field(datagrams, "late"));
    std::printf("words kept: %.0f, the oldest %.1f s\n\npeer   state   last known\n",
                field(get_required_member(status, "words"), "kept"),
                field(get_required_member(status, "words"), "oldest_s"));
    for (const rapidjson::Value& peer : get_required_array(status, "peers").GetArray()) {
        if (find(peer, "age_s") == nullptr) {
            std::printf("n%-5.0f %-7s never\n", field(peer, "node"),
                        std::string(text(get_required_member(peer, "state"), "state")).c_str());
        } else {
            std::printf("n%-5.0f %-7s %.1f s ago\n", field(peer, "node"),
                        std::string(text(get_required_member(peer, "state"), "state")).c_str(),
                        field(peer, "age_s"));
        }
    }
    std::printf("\n%s\n", get_required_array(status, "verdicts").Empty() ? "no findings" : "findings");
    for (const rapidjson::Value& verdict : get_required_array(status, "verdicts").GetArray()) {
        std::printf("%s: %s\n", std::string(text(get_required_member(verdict, "server"), "server")).c_str(),
                    flag(verdict, "counts_here") ? "found bad, counts here" : "does not count here");
        for (const rapidjson::Value& report : get_required_array(verdict, "said_by").GetArray()) {
            std::string zones;
            for (const rapidjson::Value& zone : get_required_array(report, "zones").GetArray())
                zones += (zones.empty() ? "" : ", ") + std::string(text(zone, "zones"));
            std::printf("    keeper n%.0f: %s, %.0f voices, %.1f s old\n", field(report, "keeper"),
                        zones.empty() ? "well again" : ("bad for " + zones).c_str(), field(report, "voices"),
                        field(report, "age_s"));
        }
    }
}

void print_zones(const rapidjson::Value& status) {
    const auto field = [](const rapidjson::Value& object, const char* key) { return number(object, key, 0); };
    std::printf("%-20s %-10s %5s  %8s  why\n", "zone", "state", "part", "for");
    for (const rapidjson::Value& zone : get_required_array(status, "zones").GetArray()) {
        std::string reporters;
        for (const rapidjson::Value& node : get_required_array(zone, "said_lost").GetArray()) {
            reporters += (reporters.empty() ? ": n" : ", n") +
                         (node.IsInt() ? std::to_string(node.GetInt()) : std::string("?"));
        }
        std::printf(
            "%-20s %-10s %5.3g  %6.1f s  %s%.0f say lost of %.0f needed%s; %.0f are answered there, %.0f "
            "strained; %.0f heard; fell %.0f times lately\n",
            std::string(text(get_required_member(zone, "zone"), "zone")).c_str(),
            std::string(text(get_required_member(zone, "state"), "state")).c_str(), field(zone, "part"),
            field(zone, "since_s"), flag(zone, "by_hand") ? "BY HAND; " : "", field(zone, "lost"),
            field(zone, "needed"), reporters.c_str(), field(zone, "answers"), field(zone, "strained"),
            field(zone, "heard"), field(zone, "falls"));
    }
}

void print_limits(const rapidjson::Value& status) {
    const auto field = [](const rapidjson::Value& object, const char* key) { return number(object, key, 0); };
    if (get_required_array(status, "limits").Empty())
        std::printf("no fleet limit is configured ([fleet.limits] in the operator configuration)\n");
    for (const rapidjson::Value& limit : get_required_array(status, "limits").GetArray()) {
        const std::string kind(text(get_required_member(limit, "kind"), "kind"));
        std::printf(
            "%-24s %s  %.4g %s in all; here %.4f of it: own %.4f, borrowed %.4f from %.0f nodes (lent %.4f "
            "to %.0f), needs %.4f",
            std::string(text(get_required_member(limit, "limit"), "limit")).c_str(), kind.c_str(),
            field(limit, "whole"), std::string(text(get_required_member(limit, "unit"), "unit")).c_str(),
            field(limit, "part"), field(limit, "own"), field(limit, "borrowed"), field(limit, "lenders"),
            field(limit, "lent"), field(limit, "takers"), field(limit, "need"));
        if (kind == "strict") std::printf("; declined %.0f forwards", field(limit, "declined"));
        std::printf("\n");
    }
}

int show_status(const FleetOptions& options, void (*print)(const rapidjson::Value&)) {
    int status = 0;
    std::string why;
    const std::string body = call_admin_server(options.address, "GET", "/control/fleet", status, why);
    if (status != 200) {
        std::fprintf(stderr, "brookrelay: %s: %s\n", options.address.c_str(),
                     status == 0 ? why.c_str() : body.c_str());
        return kExitFailure;
    }
    if (options.json) return std::printf("%s", body.c_str()), kExitSuccess;
    rapidjson::Document document;
    document.Parse(body.c_str());
    try {
        if (document.HasParseError() || !document.IsObject()) throw ConfigurationError("not JSON");
        print(document);
    } catch (const ConfigurationError& error) {
        std::fprintf(stderr, "brookrelay: %s: the response is not a fleet status: %s\n",
                     options.address.c_str(), error.what());
        return kExitFailure;
    }
    return kExitSuccess;
}

bool is_valid(const FleetOptions& options) {
    if (parse_address(options.address)) return true;
    std::fprintf(stderr, "brookrelay: --address: expected HOST:PORT with a numeric host, found '%s'\n",
                 options.address.c_str());
    return false;
}

}  // namespace

int fleet_status(const FleetOptions& options) {
    return is_valid(options) ? show_status(options, print_status) : kExitUsageError;
}

int fleet_limits(const FleetOptions& options) {
    return is_valid(options) ? show_status(options, print_limits) : kExitUsageError;
}

int fleet_zones(const FleetOptions& options) {
    if (!is_valid(options)) return kExitUsageError;
    const bool leave = !options.leave.empty();
    if (!leave && options.take_back.empty()) return show_status(options, print_zones);
    const std::unique_ptr<char, decltype(&g_free)> name(
        g_uri_escape_string((leave ? options.leave : options.take_back).c_str(), nullptr, FALSE), &g_free);
    int status = 0;
    std::string why;
    const std::string body = call_admin_server(
        options.address, "POST",
        "/control/zones/" + std::string(name.get()) + (leave ? "/offline" : "/online"), status, why);
    if (status == 200) return std::printf("%s", body.c_str()), kExitSuccess;
    std::fprintf(stderr, "brookrelay: %s: %s\n", options.address.c_str(),
                 status == 0 ? why.c_str() : body.c_str());
    return kExitFailure;
}

}  // namespace brookrelay
