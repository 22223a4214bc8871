// What nodes say to one another, and its form in a datagram (MessagePack, by the published library). It owns
// no state and decides nothing: whether a word counts is exchange.cpp's to say. A datagram that is not wholly
// as it should be is none at all.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace brookrelay::fleet {

constexpr int kVersion = 3;
constexpr std::size_t kDatagramMost = 256;  // bytes; docs: PROTOCOL, "Between nodes"
constexpr int kZonesMost = 32;              // further ones speak as the last: verdicts carry a bit a zone
constexpr double kTick = 1.0 / 256;         // s, of the numbers that datagrams and verdicts carry
constexpr double kAgeStep = 1.0 / 8;        // s
constexpr int kAgeStepsMost = 127;          // older than it can be said is said to be so old

using Subject = std::uint32_t;  // a cache server, by its name: see subject_of()
Subject subject_of(std::string_view name);
using LimitId =
    std::uint32_t;  // a limit of the whole fleet's, by its name: nodes may number tenants otherwise

// When something was said, by the clock of whoever said it: the newest counts, and no other clock is asked.
struct Stamp {
    std::uint32_t start = 0;   // which of its lives; a later one is greater
    std::uint32_t number = 0;  // ticks since that began, never the same twice
    auto operator<=>(const Stamp&) const = default;
};

struct Alive {
    int node = 0;
    double age = 0;  // s since it was last heard, by whomever
    int zone = -1;   // where it stands; -1: not known
};

// What the sender itself saw of a subject in its last kSightSpan seconds; never what it was told.
struct Sight {
    Subject subject = 0;
    int good = 0, bad = 0;
};

// A keeper's finding, from the sights it was told.
struct Finding {
    Subject subject = 0;
    int keeper = 0;
    Stamp stamp;
    std::uint32_t zones = 0;  // a bit for each zone whose nodes find it bad; 0: it is well
    int voices = 0;           // nodes that said so
    double age = 0;           // s since the keeper found it
};

// What the sender itself sees of a zone, and which step back into use it has taken: see zones.h.
enum class ZoneSight { nothing, lost, answers, strained };
constexpr int kStepLeft = 0, kStepWell = 5;
struct ZoneVoice {
    int zone = 0;
    ZoneSight sight = ZoneSight::nothing;
    int step = kStepWell;
    int falls = 0;  // that it remembers: how careful it is
};

// Of a limit that belongs to the whole fleet, in crumbs of it: see fleet_limits.h.
struct Want {
    LimitId limit = 0;
    std::uint32_t crumbs = 0;
};
struct Grant {
    LimitId limit = 0;
    std::uint32_t crumbs = 0;
    std::uint32_t of = 0;  // number of the datagram that asked, in the addressee's life that is named there
};

struct Datagram {
    int node = 0;  // whose it is
    Stamp stamp;
    int zone = 0;
    std::uint32_t start_of_yours =
        0;  // the newest life of whoever is addressed that the sender knows; 0: none
    std::vector<Alive> alive;
    std::vector<Sight> sights;
    std::vector<Finding> findings;
    std::vector<ZoneVoice> zones;
    std::vector<Want> wants;
    std::vector<Grant> grants;
};

std::string encode(const Datagram& datagram);
// False: not a datagram of this version, whole and within bounds.
bool decode(std::string_view bytes, Datagram& datagram);

}  // namespace brookrelay::fleet
