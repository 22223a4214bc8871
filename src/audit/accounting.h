// How much of the billed value was served: in total, by second, by operation and by tenant.
#pragma once

#include "audit/history.h"
#include "audit/verdict.h"

namespace brookrelay::audit {

// Fills in the service totals and the worst window of `verdict`.
void add_service_totals(const History& history, Verdict& verdict);

}  // namespace brookrelay::audit
