#include "cli/check_model.h"

#include <cstdio>
#include <string>

#include "model/model_checker.h"
#include "model/quota_lease_model.h"
#include "model/zone_failover_model.h"
#include "util/exit_codes.h"

namespace brookrelay {
namespace {

bool kept(const std::string& what, const model::Explored& e) {
    std::printf("%-44s %9llu states, %9llu ends, %7.0f states/s; at rest after %.2f s at the most: %s\n",
                what.c_str(), static_cast<unsigned long long>(e.states),
                static_cast<unsigned long long>(e.ends), static_cast<double>(e.states) / e.took, e.rest_most,
                e.broken.empty() ? "all promises kept" : ("BROKEN: " + e.broken).c_str());
    std::fflush(stdout);
    return e.broken.empty();
}

}  // namespace

int explore(const ExploreWish& wish) {
    const bool both = !wish.zones && !wish.limits;
    bool all = true;
    for (const bool liar : {false, true}) {
        for (const bool lost : {false, true}) {
            if (!wish.zones && !both) continue;
            const std::string what = std::string("zones, ") + (lost ? "from a lost one" : "from one in use") +
                                     (liar ? ", one node lies" : ", all honest");
            all = kept(what, model::explore(model::SmallZones(liar, lost), wish.depth)) && all;
        }
    }
    if (wish.limits || both)
        all = kept("limits, one node needs all", model::explore(model::SmallLimits(), wish.depth)) && all;
    return all ? kDone : kBroken;
}

}  // namespace brookrelay
