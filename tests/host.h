// Helper for the balancer's tests: a host that records the balancer's actions, and a small fleet.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "balancer/balancer.h"

namespace brookrelay {

// An attempt that the balancer started.
struct StartedAttempt {
    int request;
    int server;
    double limit;
};

class RecordingHost final : public Host {
  public:
    void start_attempt(int request, int server, double limit) override {
        sent.push_back({request, server, limit});
    }
    void cancel_attempt(int request, int) override { cancelled.push_back(request); }
    void reject(int request, double) override { throttled.push_back(request); }
    void fail(int request) override { errored.push_back(request); }
    void check_health(int server) override { probes.push_back(server); }
    void close_idle_connections(int server) override { released.push_back(server); }
    void poll_endpoints() override { ++watches; }
    void set_timer(double after, std::uint64_t token) override { timers.push_back({after, token}); }
    void log(std::string_view) override {}

    struct Timer {
        double after;
        std::uint64_t token;
    };
    std::vector<StartedAttempt> sent;
    std::vector<int> cancelled, throttled, errored, probes, released;
    std::vector<Timer> timers;
    int watches = 0;
};

constexpr int kOrigin = 0;  // index of the origin in every test; the cache servers follow

// A node in zone 0 with one operation of each idempotency: 0 idempotent, 1 deduplicated, 2 non-idempotent.
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
        for (Idempotency idempotency :
             {Idempotency::idempotent, Idempotency::idempotency_key, Idempotency::none}) {
            Operation op;
            op.idempotency = idempotency;
            op.deduplication_window = 1.2;
            op.latency_objective = 0.6;
            op.client_timeout = 1.2;
            op.late_value_ratio = 0.2;
            deployment.operations.push_back(op);
        }
        for (int c = 0; c <= caches; ++c) names.push_back("10.0.0." + std::to_string(c) + ":9000");
        for (int c = 0; c <= caches; ++c) {
            Endpoint endpoint;
            endpoint.server = c;
            endpoint.zone = c == kOrigin ? 0 : (c - 1) % zones;
            endpoint.kind = c == kOrigin ? 1 : 0;
            endpoint.cell = endpoint.zone;
            list.push_back(endpoint);
        }
    }
    void start(UpdateKind kind = UpdateKind::full, std::uint64_t seed = 7) {
        node = make_balancer(deployment, seed, host);
        tell(kind);
    }
    void tell(UpdateKind kind) {
        for (Endpoint& endpoint : list) endpoint.name = names[static_cast<std::size_t>(endpoint.server)];
        node->on_endpoints(now, kind, list);
    }
    int send_request(std::uint64_t key, int operation = 0, bool write = false, double time_remaining = 1.2,
                     bool is_client_retry = false, int tenant = -1) {
        Request request;
        request.tenant = tenant;
        request.id = next++;
        request.operation = operation;
        request.has_key = true;
        request.key = key;
        request.is_write = write;
        request.time_remaining = time_remaining;
        request.is_client_retry = is_client_retry;
        node->on_request(now, request);
        return request.id;
    }
    // Returns the server that an idempotent request for this key goes to, and answers it; -1: none.
    int owner(std::uint64_t key) {
        const std::size_t before = host.sent.size();
        const int request = send_request(key);
        if (host.sent.size() == before) return -1;
        const int server = host.sent.back().server;
        end(request, 0, AttemptOutcome::succeeded, 0.05, true);
        return server;
    }
    void end(int request, int attempt, AttemptOutcome outcome, double duration = 0.05,
             bool answered = false) {
        node->on_attempt_finished(now, request, attempt, outcome, duration, answered);
    }
    int count_final_errors(int request) const {
        int count = 0;
        for (int rejected : host.throttled) count += rejected == request;
        for (int failed : host.errored) count += failed == request;
        return count;
    }
};

}  // namespace brookrelay
