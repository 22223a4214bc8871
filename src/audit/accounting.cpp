#include "audit/accounting.h"

#include <algorithm>
#include <cmath>

namespace brookrelay::audit {
namespace {

constexpr std::size_t kWorstWindowSeconds = 10;

void find_worst_window(double count_from, Verdict& verdict) {
    verdict.worst_window = verdict.total.ratio();
    verdict.worst_window_from = count_from;
    for (auto from = static_cast<std::size_t>(count_from);
         from + kWorstWindowSeconds <= verdict.seconds.size(); ++from) {
        ServiceTotals window;
        for (std::size_t second = from; second < from + kWorstWindowSeconds; ++second) {
            window.offered += verdict.seconds[second].offered;
            window.earned += verdict.seconds[second].earned;
        }
        if (window.offered > 0 && window.ratio() < verdict.worst_window) {
            verdict.worst_window = window.ratio();
            verdict.worst_window_from = static_cast<double>(from);
        }
    }
}

}  // namespace

void add_service_totals(const History& history, Verdict& verdict) {
    const Terms& terms = history.terms;
    verdict.operations.resize(terms.operations.size());
    verdict.tenants.resize(terms.tenants.size());
    verdict.seconds.resize(static_cast<std::size_t>(std::ceil(std::max(0.0, terms.duration))));
    for (const UserRecord& user : history.users) {
        const double received_at = user.first_request_at - history.run_started_at;
        if (user.offered <= 0 || received_at >= terms.duration) continue;
        const auto add_to = [&user](ServiceTotals& totals) {
            totals.offered += user.offered;
            totals.earned += user.earned;
        };
        const auto second = static_cast<std::size_t>(std::max(0.0, received_at));
        if (second < verdict.seconds.size()) add_to(verdict.seconds[second]);
        if (received_at < terms.count_from) continue;
        add_to(verdict.total);
        add_to(verdict.operations[index(user.operation)]);
        if (user.tenant >= 0) add_to(verdict.tenants[index(user.tenant)]);
    }
    find_worst_window(terms.count_from, verdict);
}

}  // namespace brookrelay::audit
