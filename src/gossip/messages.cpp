#include "gossip/messages.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <msgpack.hpp>

namespace brookrelay::fleet {
namespace {

constexpr std::uint32_t kHead = 12, kPerAlive = 2, kPerSight = 3, kPerFinding = 7, kPerZone = 4, kPerWant = 2,
                        kPerGrant = 3;
constexpr std::uint32_t kZoneRoom = 64;  // a node and the zone it stands in go as one number
constexpr std::uint32_t kNodesMost = 65536, kCountMost = 127, kFallsSaid = 15, kCrumbsMost = 1'000'000;

using Packer = msgpack::packer<msgpack::sbuffer>;

std::uint32_t age_steps(double age) {
    return static_cast<std::uint32_t>(std::clamp(std::ceil(age / kAgeStep), 0.0, double{kAgeStepsMost}));
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
    if (head.size() != kHead || head.next() != kVersion) return false;
    d.node = as_int(head.next(kNodesMost));
    d.stamp.start = head.next();
    d.stamp.number = head.next();
    d.zone = as_int(head.next(kZonesMost - 1));
    d.start_of_yours = head.next();
    const msgpack::object *alive = head.list(), *sights = head.list(), *findings = head.list(),
                          *zones = head.list(), *wants = head.list(), *grants = head.list();
    if (!head.sound()) return false;
    Numbers a(*alive), s(*sights), f(*findings), z(*zones), w(*wants), g(*grants);
    if (a.size() % kPerAlive != 0 || s.size() % kPerSight != 0 || f.size() % kPerFinding != 0 ||
        z.size() % kPerZone != 0 || w.size() % kPerWant != 0 || g.size() % kPerGrant != 0)
        return false;
    while (!a.at_end()) {
        const std::uint32_t who = a.next(kNodesMost * kZoneRoom);
        const double age = a.next(kAgeStepsMost) * kAgeStep;
        d.alive.push_back({as_int(who / kZoneRoom), age, std::min(as_int(who % kZoneRoom), kZonesMost) - 1});
    }
    while (!s.at_end()) {
        Sight sight;
        sight.subject = s.next();
        sight.good = as_int(s.next(kCountMost));
        sight.bad = as_int(s.next(kCountMost));
        d.sights.push_back(sight);
    }
    while (!f.at_end()) {
        Finding finding;
        finding.subject = f.next();
        finding.keeper = as_int(f.next(kNodesMost));
        finding.stamp.start = f.next();
        finding.stamp.number = f.next();
        finding.zones = f.next();
        finding.voices = as_int(f.next(kNodesMost));
        finding.age = f.next(kAgeStepsMost) * kAgeStep;
        d.findings.push_back(finding);
    }
    while (!z.at_end()) {
        const int zone = as_int(z.next(kZonesMost - 1));
        const auto seen = static_cast<ZoneSight>(z.next(static_cast<std::uint32_t>(ZoneSight::strained)));
        const int step = as_int(z.next(kStepWell));
        d.zones.push_back({zone, seen, step, as_int(z.next(kFallsSaid))});
    }
    while (!w.at_end()) {
        const LimitId limit = w.next();
        d.wants.push_back({limit, w.next(kCrumbsMost)});
    }
    while (!g.at_end()) {
        const LimitId limit = g.next();
        const std::uint32_t crumbs = g.next(kCrumbsMost);
        d.grants.push_back({limit, crumbs, g.next()});
    }
    return a.sound() && s.sound() && f.sound() && z.sound() && w.sound() && g.sound();
}

}  // namespace

// FNV-1a: the same at every node.
Subject subject_of(std::string_view name) {
    Subject h = 0x811c9dc5U;
    for (const char c : name) h = (h ^ static_cast<unsigned char>(c)) * 0x01000193U;
    return h;
}

std::string encode(const Datagram& d) {
    msgpack::sbuffer bytes(kDatagramMost);
    Packer out(bytes);
    const auto put = [&out](auto x) { out.pack(static_cast<std::uint32_t>(x)); };
    const auto list = [&out](std::size_t entries, std::uint32_t each) {
        out.pack_array(static_cast<std::uint32_t>(entries) * each);
    };
    const auto count = [](int x) {
        return std::min<std::uint32_t>(static_cast<std::uint32_t>(x), kCountMost);
    };
    out.pack_array(kHead);
    put(kVersion);
    put(d.node);
    put(d.stamp.start);
    put(d.stamp.number);
    put(std::clamp(d.zone, 0, kZonesMost - 1));
    put(d.start_of_yours);
    list(d.alive.size(), kPerAlive);
    for (const Alive& a : d.alive)
        put(static_cast<std::uint32_t>(a.node) * kZoneRoom +
            static_cast<std::uint32_t>(std::clamp(a.zone, -1, kZonesMost - 1) + 1)),
            put(age_steps(a.age));
    list(d.sights.size(), kPerSight);
    for (const Sight& s : d.sights) put(s.subject), put(count(s.good)), put(count(s.bad));
    list(d.findings.size(), kPerFinding);
    for (const Finding& f : d.findings) {
        put(f.subject), put(f.keeper), put(f.stamp.start), put(f.stamp.number), put(f.zones), put(f.voices);
        put(age_steps(f.age));
    }
    list(d.zones.size(), kPerZone);
    for (const ZoneVoice& v : d.zones)
        put(v.zone), put(v.sight), put(std::clamp(v.step, kStepLeft, kStepWell)),
            put(std::clamp(v.falls, 0, as_int(kFallsSaid)));
    list(d.wants.size(), kPerWant);
    for (const Want& w : d.wants) put(w.limit), put(w.crumbs);
    list(d.grants.size(), kPerGrant);
    for (const Grant& g : d.grants) put(g.limit), put(g.crumbs), put(g.of);
    return {bytes.data(), bytes.size()};
}

bool decode(std::string_view bytes, Datagram& datagram) {
    if (bytes.size() > kDatagramMost) return false;
    try {
        // Nothing but lists of numbers two deep, and no more of them than a datagram's bytes can hold.
        const msgpack::unpack_limit most(kDatagramMost, 0, 0, 0, 0, 2);
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

}  // namespace brookrelay::fleet
