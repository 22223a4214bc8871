// What nodes say to one another, and its form in a datagram (MessagePack, by the published library). It owns
// no state and decides nothing: whether a word counts is exchange.cpp's to say. A datagram that is not wholly
// as it should be is none at all.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace brookrelay::gossip {

constexpr int kProtocolVersion = 3;
constexpr std::size_t kMaxDatagramBytes = 256;  // bytes; docs: PROTOCOL, "Between nodes"
constexpr int kMaxZones = 32;                   // further ones speak as the last: verdicts carry a bit a zone
constexpr double kTickSeconds = 1.0 / 256;      // s, of the numbers that datagrams and verdicts carry
constexpr double kAgeStepSeconds = 1.0 / 8;     // s
constexpr int kMaxAgeSteps = 127;               // older than it can be said is said to be so old

using ServerKey = std::uint32_t;  // a cache server, by its name: see subject_of()
ServerKey server_key(std::string_view name);
using QuotaId =
    std::uint32_t;  // a limit of the whole fleet's, by its name: nodes may number tenants otherwise

// When something was said, by the clock of whoever said it: the newest counts, and no other clock is asked.
struct Stamp {
    std::uint32_t incarnation = 0;  // which of its lives; a later one is greater
    std::uint32_t sequence = 0;     // ticks since that began, never the same twice
    auto operator<=>(const Stamp&) const = default;
};

struct Heartbeat {
    int node = 0;
    double age = 0;  // s since it was last heard, by whomever
    int zone = -1;   // where it stands; -1: not known
};

// What the sender itself saw of a subject in its last kSightSpan seconds; never what it was told.
struct Observation {
    ServerKey server = 0;
    int successes = 0, failures = 0;
};

// A keeper's finding, from the sights it was told.
struct Verdict {
    ServerKey server = 0;
    int owner = 0;
    Stamp stamp;
    std::uint32_t bad_zones = 0;  // a bit for each zone whose nodes find it bad; 0: it is well
    int reporters = 0;            // nodes that said so
    double age = 0;               // s since the keeper found it
};

// What the sender itself sees of a zone, and which step back into use it has taken: see zones.h.
enum class ZoneObservation { nothing, unreachable, reachable, strained };
constexpr int kStepDrained = 0, kStepHealthy = 5;
struct ZoneReport {
    int zone = 0;
    ZoneObservation observation = ZoneObservation::nothing;
    int step = kStepHealthy;
    int relapses = 0;  // that it remembers: how careful it is
};

// Of a limit that belongs to the whole fleet, in crumbs of it: see fleet_limits.h.
struct LeaseRequest {
    QuotaId quota = 0;
    std::uint32_t units = 0;
};
struct LeaseGrant {
    QuotaId quota = 0;
    std::uint32_t units = 0;
    std::uint32_t request_sequence =
        0;  // number of the datagram that asked, in the addressee's life that is named there
};

struct Datagram {
    int node = 0;  // whose it is
    Stamp stamp;
    int zone = 0;
    std::uint32_t receiver_incarnation =
        0;  // the newest life of whoever is addressed that the sender knows; 0: none
    std::vector<Heartbeat> heartbeats;
    std::vector<Observation> observations;
    std::vector<Verdict> verdicts;
    std::vector<ZoneReport> zone_reports;
    std::vector<LeaseRequest> lease_requests;
    std::vector<LeaseGrant> lease_grants;
};

std::string encode(const Datagram& datagram);
// False: not a datagram of this version, whole and within bounds.
bool decode(std::string_view bytes, Datagram& datagram);

}  // namespace brookrelay::gossip
