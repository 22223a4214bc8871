// The result of an audit: which rules were broken, by which request, and how much of the billed value was
// served.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace brookrelay::audit {

inline constexpr std::size_t kRuleNumbers = 6;  // rules 1 to 5, indexed by their number

// One broken rule.
struct Violation {
    int rule = 0;
    int request = -1;                // -1: not about a single request
    double at = 0;                   // seconds since the start of the run
    std::string what;                // one line
    std::vector<std::string> trace;  // requests, attempts and responses of the same user in order of time
};

// The billed value of some requests, in units of Operation::priority_weight.
struct ServiceTotals {
    double offered = 0;
    double earned = 0;
    // The ratio of earned to offered value; 1 if nothing was offered.
    double ratio() const { return offered > 0 ? earned / offered : 1; }
};

struct Verdict {
    bool is_void = false;  // the run proves nothing, for `void_reason`
    std::string void_reason;
    std::vector<Violation> violations;
    std::vector<Violation> set_aside;  // observed while the watcher was delayed, so they prove nothing
    std::vector<int> violations_by_rule = std::vector<int>(kRuleNumbers, 0);

    ServiceTotals total;
    std::vector<ServiceTotals> seconds;  // by the second of the user's first request
    std::vector<ServiceTotals> operations, tenants;
    double worst_window = 1;  // the lowest ratio of ten consecutive seconds
    double worst_window_from = 0;

    std::uint64_t requests = 0, succeeded = 0, rejected = 0, failed = 0, truncated = 0, unanswered = 0;
    std::uint64_t left = 0;            // closed by the client before the response
    std::uint64_t lost_with_node = 0;  // unanswered because the node was killed or paused: no violation
    std::uint64_t users = 0, attempts = 0, effects = 0, dropped_duplicates = 0;
    double max_watcher_delay = 0;    // seconds
    double watcher_delay_ratio = 0;  // of the run
};

}  // namespace brookrelay::audit
