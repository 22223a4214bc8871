#include "gossip/messages.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <msgpack.hpp>

namespace brookrelay::gossip {
namespace {

constexpr std::uint32_t kHeaderFields = 12, kHeartbeatFields = 2, kObservationFields = 3, kVerdictFields = 7,
                        kZoneReportFields = 4, kLeaseRequestFields = 2, kLeaseGrantFields = 3;
constexpr std::uint32_t kZoneFactor = 64;  // a node and its zone are encoded as one number
constexpr std::uint32_t kMaxNode = 65536, kMaxCount = 127, kMaxRelapses = 15, kMaxUnits = 1'000'000;

using Packer = msgpack::packer<msgpack::sbuffer>;

std::uint32_t age_steps(double age) {
    return static_cast<std::uint32_t>(
        std::clamp(std::ceil(age / kAgeStepSeconds), 0.0, double{kMaxAgeSteps}));
}

// Reads a flat list of numbers; a wrong value makes the whole list invalid.
class NumberReader {
  public:
    explicit NumberReader(const msgpack::object& list) : list_(list) {
        if (list.type != msgpack::type::ARRAY) valid_ = false;
    }
    std::uint32_t size() const { return valid_ ? list_.via.array.size : 0; }
    std::uint32_t next(std::uint32_t max_value = std::numeric_limits<std::uint32_t>::max()) {
        if (position_ >= size()) return fail();
        const msgpack::object& object = list_.via.array.ptr[position_++];
        if (object.type != msgpack::type::POSITIVE_INTEGER || object.via.u64 > max_value) return fail();
        return static_cast<std::uint32_t>(object.via.u64);
    }
    const msgpack::object* list() {
        if (position_ >= size()) return fail(), nullptr;
        return &list_.via.array.ptr[position_++];
    }
    bool is_at_end() const { return position_ >= size(); }  // also if the list is invalid: its size is 0 then
    bool is_valid() const { return valid_; }

  private:
    std::uint32_t fail() {
        valid_ = false;
        return 0;
    }
    const msgpack::object& list_;
    std::uint32_t position_ = 0;
    bool valid_ = true;
};

int as_int(std::uint32_t x) { return static_cast<int>(x); }

bool read(const msgpack::object& root, Datagram& datagram) {
    NumberReader header(root);
    if (header.size() != kHeaderFields || header.next() != kProtocolVersion) return false;
    datagram.node = as_int(header.next(kMaxNode));
    datagram.stamp.incarnation = header.next();
    datagram.stamp.sequence = header.next();
    datagram.zone = as_int(header.next(kMaxZones - 1));
    datagram.receiver_incarnation = header.next();
    const msgpack::object *heartbeats = header.list(), *observations = header.list(),
                          *verdicts = header.list(), *zones = header.list(), *requests = header.list(),
                          *grants = header.list();
    if (!header.is_valid()) return false;
    NumberReader heartbeat_list(*heartbeats), observation_list(*observations), verdict_list(*verdicts),
        zone_list(*zones), request_list(*requests), grant_list(*grants);
    if (heartbeat_list.size() % kHeartbeatFields != 0 || observation_list.size() % kObservationFields != 0 ||
        verdict_list.size() % kVerdictFields != 0 || zone_list.size() % kZoneReportFields != 0 ||
        request_list.size() % kLeaseRequestFields != 0 || grant_list.size() % kLeaseGrantFields != 0)
        return false;
    while (!heartbeat_list.is_at_end()) {
        const std::uint32_t node_and_zone = heartbeat_list.next(kMaxNode * kZoneFactor);
        const double age = heartbeat_list.next(kMaxAgeSteps) * kAgeStepSeconds;
        datagram.heartbeats.push_back({as_int(node_and_zone / kZoneFactor), age,
                                       std::min(as_int(node_and_zone % kZoneFactor), kMaxZones) - 1});
    }
    while (!observation_list.is_at_end()) {
        Observation observation;
        observation.server = observation_list.next();
        observation.successes = as_int(observation_list.next(kMaxCount));
        observation.failures = as_int(observation_list.next(kMaxCount));
        datagram.observations.push_back(observation);
    }
    while (!verdict_list.is_at_end()) {
        Verdict verdict;
        verdict.server = verdict_list.next();
        verdict.owner = as_int(verdict_list.next(kMaxNode));
        verdict.stamp.incarnation = verdict_list.next();
        verdict.stamp.sequence = verdict_list.next();
        verdict.bad_zones = verdict_list.next();
        verdict.reporters = as_int(verdict_list.next(kMaxNode));
        verdict.age = verdict_list.next(kMaxAgeSteps) * kAgeStepSeconds;
        datagram.verdicts.push_back(verdict);
    }
    while (!zone_list.is_at_end()) {
        const int zone = as_int(zone_list.next(kMaxZones - 1));
        const auto observation = static_cast<ZoneObservation>(
            zone_list.next(static_cast<std::uint32_t>(ZoneObservation::strained)));
        const int step = as_int(zone_list.next(kStepHealthy));
        datagram.zone_reports.push_back({zone, observation, step, as_int(zone_list.next(kMaxRelapses))});
    }
    while (!request_list.is_at_end()) {
        const QuotaId quota = request_list.next();
        datagram.lease_requests.push_back({quota, request_list.next(kMaxUnits)});
    }
    while (!grant_list.is_at_end()) {
        const QuotaId quota = grant_list.next();
        const std::uint32_t units = grant_list.next(kMaxUnits);
        datagram.lease_grants.push_back({quota, units, grant_list.next()});
    }
    return heartbeat_list.is_valid() && observation_list.is_valid() && verdict_list.is_valid() &&
           zone_list.is_valid() && request_list.is_valid() && grant_list.is_valid();
}

}  // namespace

// FNV-1a.
ServerKey server_key(std::string_view name) {
    ServerKey hash = 0x811c9dc5U;
    for (const char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * 0x01000193U;
    return hash;
}

std::string encode(const Datagram& datagram) {
    msgpack::sbuffer bytes(kMaxDatagramBytes);
    Packer out(bytes);
    const auto put = [&out](auto number) { out.pack(static_cast<std::uint32_t>(number)); };
    const auto list = [&out](std::size_t entries, std::uint32_t fields) {
        out.pack_array(static_cast<std::uint32_t>(entries) * fields);
    };
    const auto count = [](int number) {
        return std::min<std::uint32_t>(static_cast<std::uint32_t>(number), kMaxCount);
    };
    out.pack_array(kHeaderFields);
    put(kProtocolVersion);
    put(datagram.node);
    put(datagram.stamp.incarnation);
    put(datagram.stamp.sequence);
    put(std::clamp(datagram.zone, 0, kMaxZones - 1));
    put(datagram.receiver_incarnation);
    list(datagram.heartbeats.size(), kHeartbeatFields);
    for (const Heartbeat& heartbeat : datagram.heartbeats)
        put(static_cast<std::uint32_t>(heartbeat.node) * kZoneFactor +
            static_cast<std::uint32_t>(std::clamp(heartbeat.zone, -1, kMaxZones - 1) + 1)),
            put(age_steps(heartbeat.age));
    list(datagram.observations.size(), kObservationFields);
    for (const Observation& observation : datagram.observations)
        put(observation.server), put(count(observation.successes)), put(count(observation.failures));
    list(datagram.verdicts.size(), kVerdictFields);
    for (const Verdict& verdict : datagram.verdicts) {
        put(verdict.server), put(verdict.owner), put(verdict.stamp.incarnation), put(verdict.stamp.sequence),
            put(verdict.bad_zones), put(verdict.reporters);
        put(age_steps(verdict.age));
    }
    list(datagram.zone_reports.size(), kZoneReportFields);
    for (const ZoneReport& report : datagram.zone_reports)
        put(report.zone), put(report.observation), put(std::clamp(report.step, kStepDrained, kStepHealthy)),
            put(std::clamp(report.relapses, 0, as_int(kMaxRelapses)));
    list(datagram.lease_requests.size(), kLeaseRequestFields);
    for (const LeaseRequest& request : datagram.lease_requests) put(request.quota), put(request.units);
    list(datagram.lease_grants.size(), kLeaseGrantFields);
    for (const LeaseGrant& grant : datagram.lease_grants)
        put(grant.quota), put(grant.units), put(grant.request_sequence);
    return {bytes.data(), bytes.size()};
}

bool decode(std::string_view bytes, Datagram& datagram) {
    if (bytes.size() > kMaxDatagramBytes) return false;
    try {
        // Only lists of numbers, nested two deep, with no more elements than the bytes of a datagram can
        // hold.
        const msgpack::unpack_limit limits(kMaxDatagramBytes, 0, 0, 0, 0, 2);
        std::size_t consumed = 0;
        const msgpack::object_handle root =
            msgpack::unpack(bytes.data(), bytes.size(), consumed, nullptr, nullptr, limits);
        Datagram decoded;
        if (consumed != bytes.size() || !read(root.get(), decoded)) return false;
        datagram = std::move(decoded);
        return true;
    } catch (const std::exception&) {  // thrown by the library for invalid bytes
        return false;
    }
}

}  // namespace brookrelay::gossip
