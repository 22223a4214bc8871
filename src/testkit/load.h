// Load measurement: one daemon on one core in front of cache servers that respond at once, in closed loop or
// at a given rate. In open loop the latency of a request counts from its scheduled time, so that the queue
// that a slow daemon causes is part of it.
#pragma once

#include <string>
#include <vector>

#include "testkit/histogram.h"

namespace brookrelay::testkit {

struct LoadPlan {
    std::string program;
    std::string folder;
    int clients = 16;    // connections, each with one request at a time
    double rate = 0;     // requests/s; 0: closed loop
    double seconds = 5;  // of the measurement, after the warm-up
    double warm_up = 1;  // seconds
    int caches = 4;
    int value_bytes = 200;
    int keys = 10000;
    int cpu = -1;     // the core to which the daemon is pinned; -1: the last one
    int threads = 2;  // of the clients, and as many of the cache servers
};

struct LoadResult {
    std::string failed;  // why the measurement could not be completed; empty: it was
    double seconds = 0;
    std::uint64_t succeeded = 0, throttled = 0, other = 0;
    LatencyHistogram latency;
    double cpu = 0;          // CPU seconds of the daemon during the measurement
    double rss_mb = 0;       // at the end of the measurement
    double idle_rss_mb = 0;  // before the first client connects
    double successes_per_second() const { return seconds > 0 ? static_cast<double>(succeeded) / seconds : 0; }
    double cpu_us_per_request() const {
        return succeeded > 0 ? 1e6 * cpu / static_cast<double>(succeeded) : 0;
    }
};

// Starts the daemon and runs one measurement.
LoadResult play_load(const LoadPlan& plan);
// Returns the result as one line of text.
std::string load_summary(const LoadPlan& plan, const LoadResult& result);

}  // namespace brookrelay::testkit
