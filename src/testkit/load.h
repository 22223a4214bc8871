// Load measurement: one daemon on one core in front of cache servers that respond at once, in closed loop or
// at a given rate. In open loop latency counts from the scheduled time of a request, so that a slow daemon
// cannot hide the queue it causes.
#pragma once

#include <string>
#include <vector>

#include "testkit/histogram.h"

namespace brookrelay::testkit {

struct LoadPlan {
    std::string program;
    std::string folder;
    int clients = 16;
    double rate = 0;  // requests/s; 0: closed loop
    double seconds = 5;
    double warm_up = 1;
    int caches = 4;
    int value_bytes = 200;
    int keys = 10000;
    int cpu = -1;     // the daemon's core; -1: the last one
    int threads = 2;  // of clients, and as many of caches
};

struct LoadResult {
    std::string failed;
    double seconds = 0;
    std::uint64_t succeeded = 0, throttled = 0, other = 0;
    LatencyHistogram latency;
    double cpu = 0;          // seconds of the daemon in that time
    double rss_mb = 0;       // at its end
    double idle_rss_mb = 0;  // before the first client
    double successes_per_second() const { return seconds > 0 ? static_cast<double>(succeeded) / seconds : 0; }
    double cpu_us_per_request() const {
        return succeeded > 0 ? 1e6 * cpu / static_cast<double>(succeeded) : 0;
    }
};

LoadResult play_load(const LoadPlan& plan);
std::string load_line(const LoadPlan& plan, const LoadResult& result);

}  // namespace brookrelay::testkit
