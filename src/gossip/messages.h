// Messages between nodes and their encoding in a datagram (MessagePack, by the published library). Holds no
// state and decides nothing: outlier_exchange.cpp decides whether a message counts. A datagram that is not
// entirely valid is rejected as a whole.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace brookrelay::gossip {

constexpr int kProtocolVersion = 3;
constexpr std::size_t kMaxDatagramBytes = 256;  // docs: PROTOCOL, "Between nodes"
// Verdicts carry one bit per zone; zones beyond the limit are reported as the last.
constexpr int kMaxZones = 32;
constexpr double kTickSeconds = 1.0 / 256;   // s of one tick of Stamp::sequence
constexpr double kAgeStepSeconds = 1.0 / 8;  // s; ages are sent in such steps
constexpr int kMaxAgeSteps = 127;            // a greater age is sent as this one

using ServerKey = std::uint32_t;  // a cache server, see server_key()
// Hash of a server's name, the same at every node.
ServerKey server_key(std::string_view name);
// A fleet-wide quota, as a hash of its name: nodes may number tenants differently.
using QuotaId = std::uint32_t;

// When a message was made, by its sender's clock: the newest counts, and no other clock is involved.
struct Stamp {
    // Grows with each start of the node, and sometimes within one process.
    std::uint32_t incarnation = 0;
    // Ticks of kTickSeconds, from 1 at the node's start and again after kMaxIncarnationSeconds; each datagram
    // of an incarnation has a greater one than the last.
    std::uint32_t sequence = 0;
    auto operator<=>(const Stamp&) const = default;
};

// A node that the sender knows to be alive.
struct Heartbeat {
    int node = 0;
    double age = 0;  // s since any node last heard from it
    int zone = -1;   // -1: unknown
};

// The sender's own attempts on a server within kObservationWindow; never what it received from others.
struct Observation {
    ServerKey server = 0;
    int successes = 0, failures = 0;
};

// An owner's verdict on a server, from the observations that were reported to it.
struct Verdict {
    ServerKey server = 0;
    int owner = 0;
    Stamp stamp;
    std::uint32_t bad_zones = 0;  // a bit for each zone whose nodes find it bad; 0: healthy
    int reporters = 0;            // nodes that reported it bad
    double age = 0;               // s since the owner reached it
};

// The sender's own observation of a zone, and the step of its restore: see zone_failover.h.
enum class ZoneObservation { nothing, unreachable, reachable, strained };
constexpr int kStepDrained = 0, kStepHealthy = 5;
struct ZoneReport {
    int zone = 0;
    ZoneObservation observation = ZoneObservation::nothing;
    int step = kStepHealthy;
    int relapses = 0;  // that the sender remembers
};

// Units of a fleet-wide quota that are requested or granted: see quota_leases.h.
struct LeaseRequest {
    QuotaId quota = 0;
    std::uint32_t units = 0;
};
struct LeaseGrant {
    QuotaId quota = 0;
    std::uint32_t units = 0;
    // Sequence number of the datagram with the request, in the incarnation that receiver_incarnation names.
    std::uint32_t request_sequence = 0;
};

struct Datagram {
    int node = 0;  // the sender
    Stamp stamp;
    int zone = 0;
    // The newest incarnation of the receiver that the sender knows; 0: none.
    std::uint32_t receiver_incarnation = 0;
    std::vector<Heartbeat> heartbeats;
    std::vector<Observation> observations;
    std::vector<Verdict> verdicts;
    std::vector<ZoneReport> zone_reports;
    std::vector<LeaseRequest> lease_requests;
    std::vector<LeaseGrant> lease_grants;
};

std::string encode(const Datagram& datagram);
// Returns false unless the bytes are a complete datagram of this version with all values within bounds.
bool decode(std::string_view bytes, Datagram& datagram);

}  // namespace brookrelay::gossip
