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
    void forward(int inv, int cache, double limit) override { sent.push_back({inv, cache, limit}); }
    void cancel(int inv, int) override { cancelled.push_back(inv); }
    void throttle(int inv, double) override { throttled.push_back(inv); }
    void error(int inv) override { errored.push_back(inv); }
    void probe(int cache) override { probes.push_back(cache); }
    void release(int cache) override { released.push_back(cache); }
    void watch_list() override { ++watches; }
    void wake(double after, std::uint64_t token) override { timers.push_back({after, token}); }
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
    std::vector<Listing> list;
    std::vector<std::string> names;
    RecordingHost host;
    std::unique_ptr<Balancer> node;
    double now = 100;
    int next = 0;

    explicit Fleet(int caches, int zones = 1) {
        deployment.zones = zones;
        deployment.nodes = 2;
        deployment.tick = 0.005;
        deployment.origin_kind = 1;
        deployment.most_forwards = 5;
        deployment.may_cancel = true;
        deployment.cold_from = 0.3;
        deployment.warm_within = 10;
        deployment.fall_multiple = 3;
        deployment.fall_time = 3;
        deployment.ask_every = 10;
        for (Repeat repeat : {Repeat::idempotent, Repeat::deduplicated, Repeat::non_idempotent}) {
            Operation op;
            op.repeat = repeat;
            op.dedup_window = 1.2;
            op.latency_objective = 0.6;
            op.client_timeout = 1.2;
            op.tardy_part = 0.2;
            deployment.operations.push_back(op);
        }
        for (int c = 0; c <= caches; ++c) names.push_back("10.0.0." + std::to_string(c) + ":9000");
        for (int c = 0; c <= caches; ++c) {
            Listing l;
            l.cache = c;
            l.zone = c == kOrigin ? 0 : (c - 1) % zones;
            l.kind = c == kOrigin ? 1 : 0;
            l.cell = l.zone;
            list.push_back(l);
        }
    }
    void start(ListKind kind = ListKind::whole, std::uint64_t seed = 7) {
        node = make_balancer(deployment, seed, host);
        tell(kind);
    }
    void tell(ListKind kind) {
        for (Listing& l : list) l.name = names[static_cast<std::size_t>(l.cache)];
        node->listed(now, kind, list);
    }
    int arrive(std::uint64_t key, int operation = 0, bool write = false, double left = 1.2,
               bool repeat = false, int tenant = -1) {
        Arrival a;
        a.tenant = tenant;
        a.inv = next++;
        a.operation = operation;
        a.has_key = true;
        a.key = key;
        a.write = write;
        a.time_left = left;
        a.repeat = repeat;
        node->arrived(now, a);
        return a.inv;
    }
    // Where an idempotent invocation of this key goes, answered at once; -1: nowhere.
    int owner(std::uint64_t key) {
        const std::size_t before = host.sent.size();
        const int inv = arrive(key);
        if (host.sent.size() == before) return -1;
        const int at = host.sent.back().cache;
        end(inv, 0, Ending::succeeded, 0.05, true);
        return at;
    }
    void end(int inv, int forward, Ending ending, double took = 0.05, bool over = false) {
        node->ended(now, inv, forward, ending, took, over);
    }
    int finals(int inv) const {
        int n = 0;
        for (int t : host.throttled) n += t == inv;
        for (int e : host.errored) n += e == inv;
        return n;
    }
};

}  // namespace brookrelay
