// The tests' one helper: a host written by hand that keeps what the module did, and a small fleet.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "balancer/balancer.h"

namespace brookrelay {

struct Sent {
    int inv;
    int cache;
    double limit;
};

class RecordingHost final : public Host {
  public:
    void start_attempt(int inv, int cache, double limit) override { sent.push_back({inv, cache, limit}); }
    void cancel_attempt(int inv, int) override { cancelled.push_back(inv); }
    void reject(int inv, double) override { throttled.push_back(inv); }
    void fail(int inv) override { errored.push_back(inv); }
    void check_health(int cache) override { probes.push_back(cache); }
    void close_idle_connections(int cache) override { released.push_back(cache); }
    void poll_endpoints() override { ++watches; }
    void set_timer(double after, std::uint64_t token) override { timers.push_back({after, token}); }
    void log(std::string_view) override {}

    struct Wake {
        double after;
        std::uint64_t token;
    };
    std::vector<Sent> sent;
    std::vector<int> cancelled, throttled, errored, probes, released;
    std::vector<Wake> timers;
    int watches = 0;
};

constexpr int kOrigin = 0;  // the origin's cache index in every test; the caches follow

// A node in zone 0 with one operation of each kind: 0 idempotent, 1 deduplicated, 2 non-idempotent.
struct Fleet {
    Deployment deployment;
    std::vector<Endpoint> list;
    std::vector<std::string> names;
    RecordingHost host;
    std::unique_ptr<Balancer> node;
    double now = 100;
    int next = 0;

    explicit Fleet(int caches, int zones = 1) {
        deployment.zone_count = zones;
        deployment.node_count = 2;
        deployment.tick_interval = 0.005;
        deployment.origin_kind = 1;
        deployment.max_attempts = 5;
        deployment.may_cancel = true;
        deployment.cold_capacity_ratio = 0.3;
        deployment.slow_start_duration = 10;
        deployment.overload_multiple = 3;
        deployment.overload_window = 3;
        deployment.poll_interval = 10;
        for (Idempotency repeat :
             {Idempotency::idempotent, Idempotency::idempotency_key, Idempotency::none}) {
            Operation op;
            op.idempotency = repeat;
            op.deduplication_window = 1.2;
            op.latency_objective = 0.6;
            op.client_timeout = 1.2;
            op.late_value_ratio = 0.2;
            deployment.operations.push_back(op);
        }
        for (int c = 0; c <= caches; ++c) names.push_back("10.0.0." + std::to_string(c) + ":9000");
        for (int c = 0; c <= caches; ++c) {
            Endpoint l;
            l.server = c;
            l.zone = c == kOrigin ? 0 : (c - 1) % zones;
            l.kind = c == kOrigin ? 1 : 0;
            l.cell = l.zone;
            list.push_back(l);
        }
    }
    void start(UpdateKind kind = UpdateKind::full, std::uint64_t seed = 7) {
        node = make_balancer(deployment, seed, host);
        tell(kind);
    }
    void tell(UpdateKind kind) {
        for (Endpoint& l : list) l.name = names[static_cast<std::size_t>(l.server)];
        node->on_endpoints(now, kind, list);
    }
    int arrive(std::uint64_t key, int operation = 0, bool write = false, double left = 1.2,
               bool repeat = false, int tenant = -1) {
        Request a;
        a.tenant = tenant;
        a.id = next++;
        a.operation = operation;
        a.has_key = true;
        a.key = key;
        a.is_write = write;
        a.time_remaining = left;
        a.is_client_retry = repeat;
        node->on_request(now, a);
        return a.id;
    }
    // Where an idempotent invocation of this key goes, answered at once; -1: nowhere.
    int owner(std::uint64_t key) {
        const std::size_t before = host.sent.size();
        const int inv = arrive(key);
        if (host.sent.size() == before) return -1;
        const int at = host.sent.back().cache;
        end(inv, 0, AttemptOutcome::succeeded, 0.05, true);
        return at;
    }
    void end(int inv, int forward, AttemptOutcome ending, double took = 0.05, bool over = false) {
        node->on_attempt_finished(now, inv, forward, ending, took, over);
    }
    int finals(int inv) const {
        int n = 0;
        for (int t : host.throttled) n += t == inv;
        for (int e : host.errored) n += e == inv;
        return n;
    }
};

}  // namespace brookrelay
