// The state that the parts of one scenario run share: event loop, clock, auditor, scenario, the versions of
// the origin's values and the numbering of attempts.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "audit/auditor.h"
#include "config/scenario.h"
#include "testkit/connection.h"

namespace brookrelay::testkit {

// The referenced objects must outlive it.
struct TestEnvironment {
    Io& io;
    const Clock& clock;
    const Scenario& scenario;
    audit::Auditor& auditor;
    std::string host;       // the loopback address of all fake servers
    std::uint32_t day = 0;  // distinguishes the request ids of concurrent runs
    int forwards = 0;       // the number of attempts that have reached a server so far
    std::unordered_map<std::uint64_t, std::uint32_t>
        versions;  // of the values at the origin, by key; absent: 0
    // By request, the servers at which it missed and which are to store the origin's response.
    std::unordered_map<int, std::vector<int>> missed;
    // Stores a value of the origin in the cache of a server.
    std::function<void(int server, std::uint64_t key, std::uint32_t version)> fill;
    // Drops the copies of a key at all cache servers.
    std::function<void(std::uint64_t key)> drop_copies;

    double now() const { return clock.now(); }
    // Returns the index of the origin, which follows those of the cache servers (Scenario::server_names).
    int origin() const {
        int cache_servers = 0;
        for (const ServerKind& kind : scenario.kinds) cache_servers += kind.count;
        return cache_servers;
    }
    std::uint32_t version(std::uint64_t key) const {
        const auto found = versions.find(key);
        return found == versions.end() ? 0 : found->second;
    }
    // Returns the index of the operation with this name, -1 if there is none.
    int operation(std::string_view name) const {
        for (std::size_t i = 0; i < scenario.operations.size(); ++i) {
            if (scenario.operations[i].name == name) return static_cast<int>(i);
        }
        return -1;
    }
    // Runs an action at a time of the clock. The action must own what it uses.
    void at(double time, std::function<void()> action) {
        auto timer = std::make_shared<boost::asio::steady_timer>(io, clock.at(time));
        timer->async_wait([timer, act = std::move(action)](const Code& bad) {
            if (!bad) act();
        });
    }
};

}  // namespace brookrelay::testkit
