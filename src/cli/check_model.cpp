#include "cli/check_model.h"

#include <cstdio>
#include <string>

#include "model/model_checker.h"
#include "model/quota_lease_model.h"
#include "model/zone_failover_model.h"
#include "util/exit_codes.h"

namespace brookrelay {
namespace {

// Prints the result of one model; returns whether all its invariants held.
bool print_result(const std::string& name, const model::ModelCheckResult& result) {
    std::printf("%-44s %9llu states, %9llu ends, %7.0f states/s; at rest after %.2f s at the most: %s\n",
                name.c_str(), static_cast<unsigned long long>(result.states),
                static_cast<unsigned long long>(result.ends),
                static_cast<double>(result.states) / result.took, result.max_recovery_seconds,
                result.broken.empty() ? "all promises kept" : ("BROKEN: " + result.broken).c_str());
    std::fflush(stdout);
    return result.broken.empty();
}

}  // namespace

int check_model(const CheckModelOptions& options) {
    const bool both = !options.zones && !options.limits;
    bool all_kept = true;
    for (const bool liar : {false, true}) {
        for (const bool lost : {false, true}) {
            if (!options.zones && !both) continue;
            const std::string name = std::string("zones, ") + (lost ? "from a lost one" : "from one in use") +
                                     (liar ? ", one node lies" : ", all honest");
            all_kept =
                print_result(name, model::check_model(model::ZoneFailoverModel(liar, lost), options.depth)) &&
                all_kept;
        }
    }
    if (options.limits || both)
        all_kept = print_result("limits, one node needs all",
                                model::check_model(model::QuotaLeaseModel(), options.depth)) &&
                   all_kept;
    return all_kept ? kExitSuccess : kExitFailure;
}

}  // namespace brookrelay
