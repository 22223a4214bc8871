#include "testkit/fault_schedule.h"

#include <algorithm>
#include <boost/random/discrete_distribution.hpp>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>
#include <cmath>
#include <cstring>
#include <functional>

namespace brookrelay::testkit {
namespace {

// Boost.Random is used since its distributions draw the same numbers on every platform, unlike those of the
// standard library.
using Engine = boost::random::mt19937_64;

constexpr std::uint64_t kFirstScanRank = 1ULL << 40;  // the first rank of the keys that only scans request
constexpr std::uint64_t kFirstHotRank = 1ULL << 41;   // the first rank of the hot keys of faults

std::uint64_t mix_bits(std::uint64_t x) {  // the output function of splitmix64, which is a bijection
    x += 0x9e3779b97f4a7c15ULL;
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
}

// Zipf's distribution over ranks from 0.
class Zipf {
  public:
    Zipf(std::uint64_t count, double skew) : cumulative_weights_(count) {
        double sum = 0;
        for (std::uint64_t i = 0; i < count; ++i) {
            sum += std::pow(static_cast<double>(i + 1), -skew);
            cumulative_weights_[i] = sum;
        }
    }
    std::uint64_t rank(double draw) const {
        const auto at = std::lower_bound(cumulative_weights_.begin(), cumulative_weights_.end(),
                                         draw * cumulative_weights_.back());
        return static_cast<std::uint64_t>(at - cumulative_weights_.begin());
    }

  private:
    std::vector<double> cumulative_weights_;
};

// A Poisson stream of arrivals with a rate that varies over time; `fill` draws the rest of an arrival.
struct ArrivalStream {
    double from = 0, until = 0, max_rate = 0;
    std::function<double(double)> rate;
    std::function<void(PlannedRequest&, Engine&)> fill;
};

void draw_arrivals(const ArrivalStream& stream, Engine& engine, std::vector<PlannedRequest>& out) {
    if (stream.max_rate <= 0) return;
    boost::random::uniform_01<double> unit;
    boost::random::exponential_distribution<double> interval(stream.max_rate);
    // Thinning: arrivals are drawn at the highest rate, and each is kept with the probability that the rate
    // at its time gives. Dropped arrivals use up the same draws.
    for (double t = stream.from + interval(engine); t < stream.until; t += interval(engine)) {
        const bool is_kept = unit(engine) * stream.max_rate < stream.rate(t);
        PlannedRequest p;
        p.at = t;
        stream.fill(p, engine);
        if (is_kept) out.push_back(p);
    }
}

}  // namespace

std::uint64_t key_of_rank(std::uint64_t rank) { return mix_bits(rank); }

// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size): see ROADMAP
std::vector<PlannedRequest> draw_schedule(const Scenario& s, std::uint64_t seed) {
    const Zipf zipf(s.keys.count, s.keys.skew);
    std::vector<double> operation_shares, tenant_shares, read_shares;
    for (const OperationPlan& o : s.operations) {
        operation_shares.push_back(o.share);
        read_shares.push_back(o.write ? 0 : o.share);
    }
    for (const TenantPlan& t : s.tenants) tenant_shares.push_back(t.share);
    boost::random::discrete_distribution<int> operation(operation_shares);
    boost::random::discrete_distribution<int> read(read_shares);
    boost::random::uniform_01<double> unit;

    const auto fill_common = [&](PlannedRequest& p, Engine& e) {
        p.operation = operation(e);
        if (!tenant_shares.empty()) p.tenant = boost::random::discrete_distribution<int>(tenant_shares)(e);
        const auto rank_shift = static_cast<std::uint64_t>(s.keys.drift * p.at);
        p.key = key_of_rank((zipf.rank(unit(e)) + rank_shift) % s.keys.count);
        p.timeout_ratio = static_cast<float>(s.clients.patience_least +
                                             (s.clients.patience_most - s.clients.patience_least) * unit(e));
        p.close_ratio = unit(e) < s.clients.leave ? static_cast<float>(unit(e)) : -1.0F;
        p.node_selector = static_cast<float>(unit(e));
        p.random_bits = static_cast<std::uint32_t>(e());
        // During a hot_key fault a part of the arrivals is moved to the hot key; the fault adds no arrivals.
        const double draw = unit(e);
        for (std::size_t i = 0; i < s.troubles.size(); ++i) {
            const Trouble& t = s.troubles[i];
            if (t.kind == TroubleKind::hot_key && p.at >= t.at && p.at < t.at + t.lasts && draw < t.part) {
                p.key = key_of_rank(kFirstHotRank + i);
            }
        }
    };
    const double max_multiplier = [&] {
        double most = s.clients.curve.empty() ? 1 : 0;
        for (const auto& [time, value] : s.clients.curve) most = std::max(most, value);
        return most;
    }();
    const auto rate = [&](double t) { return s.clients.rate * at(s.clients.curve, t, 1); };

    std::vector<PlannedRequest> all;
    // Each stream has a generator of its own, so that a fault that adds arrivals changes no other stream.
    Engine base_engine(seed * 1000003);
    draw_arrivals({0, s.length, s.clients.rate * max_multiplier, rate, fill_common}, base_engine, all);
    for (std::size_t i = 0; i < s.troubles.size(); ++i) {
        const Trouble& t = s.troubles[i];
        Engine fault_engine(seed * 1000003 + 17 * (i + 1));
        const double until = std::min(s.length, t.at + t.lasts);
        if (t.kind == TroubleKind::scan) {
            std::uint64_t next_rank = kFirstScanRank + (static_cast<std::uint64_t>(i) << 30);
            draw_arrivals(
                {t.at, until, s.clients.rate * t.part, [&](double) { return s.clients.rate * t.part; },
                 [&](PlannedRequest& p, Engine& e) {
                     fill_common(p, e);
                     if (!read.probabilities().empty()) p.operation = read(e);
                     p.key = key_of_rank(next_rank++);
                 }},
                fault_engine, all);
        }
        if (t.kind == TroubleKind::over_share && t.factor > 1) {
            for (const std::string& name : t.who) {
                double share = 0, sum = 0;
                int tenant = 0;
                for (std::size_t n = 0; n < s.tenants.size(); ++n) {
                    sum += s.tenants[n].share;
                    if (s.tenants[n].name != name) continue;
                    share = s.tenants[n].share;
                    tenant = static_cast<int>(n);
                }
                const double extra_rate = s.clients.rate * (t.factor - 1) * (sum > 0 ? share / sum : 0);
                draw_arrivals({t.at, until, extra_rate, [&](double) { return extra_rate; },
                               [&](PlannedRequest& p, Engine& e) {
                                   fill_common(p, e);
                                   p.tenant = tenant;
                               }},
                              fault_engine, all);
            }
        }
    }
    std::stable_sort(all.begin(), all.end(),
                     [](const PlannedRequest& a, const PlannedRequest& b) { return a.at < b.at; });
    return all;
}

std::uint64_t digest(const std::vector<PlannedRequest>& schedule, const std::vector<Trouble>& troubles) {
    std::uint64_t h = 0;
    const auto add = [&h](std::uint64_t x) { h = mix_bits(h ^ x); };
    const auto bits = [](double d) {
        std::uint64_t x = 0;
        std::memcpy(&x, &d, sizeof x);
        return x;
    };
    for (const PlannedRequest& p : schedule) {
        add(bits(p.at));
        add(p.key);
        add(static_cast<std::uint64_t>(p.operation) << 32 | static_cast<std::uint32_t>(p.tenant));
        add(bits(static_cast<double>(p.timeout_ratio)) ^ bits(static_cast<double>(p.close_ratio)));
    }
    for (const Trouble& t : troubles) {
        add(static_cast<std::uint64_t>(t.kind));
        add(bits(t.at));
        add(bits(t.lasts));
    }
    return h;
}

}  // namespace brookrelay::testkit
