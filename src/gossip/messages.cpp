#include "gossip/messages.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <msgpack.hpp>

namespace brookrelay::gossip {
namespace {

constexpr std::uint32_t kHead = 12, kPerAlive = 2, kPerSight = 3, kPerFinding = 7, kPerZone = 4, kPerWant = 2,
                        kPerGrant = 3;
constexpr std::uint32_t kZoneRoom = 64;  // a node and the zone it stands in go as one number
constexpr std::uint32_t kNodesMost = 65536, kCountMost = 127, kFallsSaid = 15, kCrumbsMost = 1'000'000;

using Packer = msgpack::packer<msgpack::sbuffer>;

std::uint32_t age_steps(double age) {
    return static_cast<std::uint32_t>(
        std::clamp(std::ceil(age / kAgeStepSeconds), 0.0, double{kMaxAgeSteps}));
}

// Reads one flat list of numbers; remembers that something was wrong.
class Numbers {
  public:
    explicit Numbers(const msgpack::object& list) : list_(list) {
        if (list.type != msgpack::type::ARRAY) sound_ = false;
    }
    std::uint32_t size() const { return sound_ ? list_.via.array.size : 0; }
    std::uint32_t next(std::uint32_t most = std::numeric_limits<std::uint32_t>::max()) {
        if (at_ >= size()) return wrong();
        const msgpack::object& o = list_.via.array.ptr[at_++];
        if (o.type != msgpack::type::POSITIVE_INTEGER || o.via.u64 > most) return wrong();
        return static_cast<std::uint32_t>(o.via.u64);
    }
    const msgpack::object* list() {
        if (at_ >= size()) return wrong(), nullptr;
        return &list_.via.array.ptr[at_++];
    }
    bool at_end() const { return at_ >= size(); }  // also of what is unsound: its size is none
    bool sound() const { return sound_; }

  private:
    std::uint32_t wrong() {
        sound_ = false;
        return 0;
    }
    const msgpack::object& list_;
    std::uint32_t at_ = 0;
    bool sound_ = true;
};

int as_int(std::uint32_t x) { return static_cast<int>(x); }

bool read(const msgpack::object& root, Datagram& d) {
    Numbers head(root);
    if (head.size() != kHead || head.next() != kProtocolVersion) return false;
    d.node = as_int(head.next(kNodesMost));
    d.stamp.incarnation = head.next();
    d.stamp.sequence = head.next();
    d.zone = as_int(head.next(kMaxZones - 1));
    d.receiver_incarnation = head.next();
    const msgpack::object *alive = head.list(), *sights = head.list(), *findings = head.list(),
                          *zones = head.list(), *wants = head.list(), *grants = head.list();
    if (!head.sound()) return false;
    Numbers a(*alive), s(*sights), f(*findings), z(*zones), w(*wants), g(*grants);
    if (a.size() % kPerAlive != 0 || s.size() % kPerSight != 0 || f.size() % kPerFinding != 0 ||
        z.size() % kPerZone != 0 || w.size() % kPerWant != 0 || g.size() % kPerGrant != 0)
        return false;
    while (!a.at_end()) {
        const std::uint32_t who = a.next(kNodesMost * kZoneRoom);
        const double age = a.next(kMaxAgeSteps) * kAgeStepSeconds;
        d.heartbeats.push_back(
            {as_int(who / kZoneRoom), age, std::min(as_int(who % kZoneRoom), kMaxZones) - 1});
    }
    while (!s.at_end()) {
        Observation sight;
        sight.server = s.next();
        sight.successes = as_int(s.next(kCountMost));
        sight.failures = as_int(s.next(kCountMost));
        d.observations.push_back(sight);
    }
    while (!f.at_end()) {
        Verdict finding;
        finding.server = f.next();
        finding.owner = as_int(f.next(kNodesMost));
        finding.stamp.incarnation = f.next();
        finding.stamp.sequence = f.next();
        finding.bad_zones = f.next();
        finding.reporters = as_int(f.next(kNodesMost));
        finding.age = f.next(kMaxAgeSteps) * kAgeStepSeconds;
        d.verdicts.push_back(finding);
    }
    while (!z.at_end()) {
        const int zone = as_int(z.next(kMaxZones - 1));
        const auto seen =
            static_cast<ZoneObservation>(z.next(static_cast<std::uint32_t>(ZoneObservation::strained)));
        const int step = as_int(z.next(kStepHealthy));
        d.zone_reports.push_back({zone, seen, step, as_int(z.next(kFallsSaid))});
    }
    while (!w.at_end()) {
        const QuotaId limit = w.next();
        d.lease_requests.push_back({limit, w.next(kCrumbsMost)});
    }
    while (!g.at_end()) {
        const QuotaId limit = g.next();
        const std::uint32_t crumbs = g.next(kCrumbsMost);
        d.lease_grants.push_back({limit, crumbs, g.next()});
    }
    return a.sound() && s.sound() && f.sound() && z.sound() && w.sound() && g.sound();
}

}  // namespace

// FNV-1a: the same at every node.
ServerKey server_key(std::string_view name) {
    ServerKey h = 0x811c9dc5U;
    for (const char c : name) h = (h ^ static_cast<unsigned char>(c)) * 0x01000193U;
    return h;
}

std::string encode(const Datagram& d) {
    msgpack::sbuffer bytes(kMaxDatagramBytes);
    Packer out(bytes);
    const auto put = [&out](auto x) { out.pack(static_cast<std::uint32_t>(x)); };
    const auto list = [&out](std::size_t entries, std::uint32_t each) {
        out.pack_array(static_cast<std::uint32_t>(entries) * each);
    };
    const auto count = [](int x) {
        return std::min<std::uint32_t>(static_cast<std::uint32_t>(x), kCountMost);
    };
    out.pack_array(kHead);
    put(kProtocolVersion);
    put(d.node);
    put(d.stamp.incarnation);
    put(d.stamp.sequence);
    put(std::clamp(d.zone, 0, kMaxZones - 1));
    put(d.receiver_incarnation);
    list(d.heartbeats.size(), kPerAlive);
    for (const Heartbeat& a : d.heartbeats)
        put(static_cast<std::uint32_t>(a.node) * kZoneRoom +
            static_cast<std::uint32_t>(std::clamp(a.zone, -1, kMaxZones - 1) + 1)),
            put(age_steps(a.age));
    list(d.observations.size(), kPerSight);
    for (const Observation& s : d.observations)
        put(s.server), put(count(s.successes)), put(count(s.failures));
    list(d.verdicts.size(), kPerFinding);
    for (const Verdict& f : d.verdicts) {
        put(f.server), put(f.owner), put(f.stamp.incarnation), put(f.stamp.sequence), put(f.bad_zones),
            put(f.reporters);
        put(age_steps(f.age));
    }
    list(d.zone_reports.size(), kPerZone);
    for (const ZoneReport& v : d.zone_reports)
        put(v.zone), put(v.observation), put(std::clamp(v.step, kStepDrained, kStepHealthy)),
            put(std::clamp(v.relapses, 0, as_int(kFallsSaid)));
    list(d.lease_requests.size(), kPerWant);
    for (const LeaseRequest& w : d.lease_requests) put(w.quota), put(w.units);
    list(d.lease_grants.size(), kPerGrant);
    for (const LeaseGrant& g : d.lease_grants) put(g.quota), put(g.units), put(g.request_sequence);
    return {bytes.data(), bytes.size()};
}

bool decode(std::string_view bytes, Datagram& datagram) {
    if (bytes.size() > kMaxDatagramBytes) return false;
    try {
        // Nothing but lists of numbers two deep, and no more of them than a datagram's bytes can hold.
        const msgpack::unpack_limit most(kMaxDatagramBytes, 0, 0, 0, 0, 2);
        std::size_t taken = 0;
        const msgpack::object_handle root =
            msgpack::unpack(bytes.data(), bytes.size(), taken, nullptr, nullptr, most);
        Datagram d;
        if (taken != bytes.size() || !read(root.get(), d)) return false;
        datagram = std::move(d);
        return true;
    } catch (const std::exception&) {  // what the library says of bytes that are none of its own
        return false;
    }
}

}  // namespace brookrelay::gossip
