#include "testkit/soak.h"

#include <algorithm>
#include <boost/random/mersenne_twister.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include "testkit/fault_schedule.h"

namespace brookrelay::testkit {
namespace {

constexpr double kRunLength = 11.0;  // s
constexpr double kFirstFault = 1.0;  // s after the start of the run
// Seconds after the start of the run. No burst of faults begins later, so that each has time to take effect.
constexpr double kLastFault = 8.5;
constexpr double kLateFirstFault = 5.0;  // s, in runs whose faults begin only after a time without any
constexpr double kLateFirstFaultProbability = 0.2;
constexpr double kNodeStartup = 1.0;  // approximate s from the start of a process to the start of the run
constexpr int kMemoryMegabytes = 96;
constexpr int kDescriptors = 256;
constexpr int kTightDescriptors = 72;  // so few that clients can pipeline little and hold each other back
constexpr double kTightDescriptorsProbability = 0.4;
constexpr int kClientsPerNode = 3;
constexpr int kCrowdedClientsPerNode = 15;
constexpr int kLargerFleet = 800;    // cache servers; the usual run has 6 to 10
constexpr int kLargestFleet = 3200;  // cache servers
constexpr double kLargerProbability = 0.2;
constexpr double kLargestProbability = 0.3;
// Probability that a server fault of a large fleet affects many servers at once.
constexpr double kMassFaultProbability = 0.5;
constexpr double kMaxMassFaultRatio = 0.3;  // of all servers
constexpr double kShortDeadlineProbability = 0.3;
constexpr double kSlowListProbability = 0.4;
constexpr double kCrowdedProbability = 0.15;
constexpr std::uint64_t kConditionsSeed = 0x636f6e64ULL;  // separates these draws from those of the faults
constexpr std::size_t kMaxFailures = 12;

// The random draws of one run. Boost's generator draws the same numbers on every platform.
class Random {
  public:
    explicit Random(std::uint64_t seed) : engine_(seed * 6364136223846793005ULL + 1442695040888963407ULL) {}
    double unit() { return static_cast<double>(engine_() >> 11) / 9007199254740992.0; }
    double uniform(double least, double most) { return least + (most - least) * unit(); }
    int uniform_int(int least, int most) { return least + static_cast<int>(unit() * (most - least + 1)); }
    bool bernoulli(double probability) { return unit() < probability; }

  private:
    boost::random::mt19937_64 engine_;
};

OperationPlan read_operation(Random& rng) {
    OperationPlan read;
    read.name = "read";
    read.share = 8;
    read.work = 2e-3;
    read.origin_work = 6e-3;
    read.value_bytes = rng.bernoulli(0.3) ? 90 * 1000 : 200;  // a value over 64 KiB is streamed
    read.promised.client_timeout = rng.uniform(0.5, 1.5);
    read.promised.latency_objective = read.promised.client_timeout / 2;
    read.promised.late_value_ratio = 0.2;
    return read;
}

OperationPlan keyed_write(Random& rng) {
    OperationPlan submit;
    submit.name = "submit";
    submit.write = true;
    submit.share = 1.5;
    submit.origin_work = 6e-3;
    submit.promised.idempotency = Idempotency::idempotency_key;
    submit.promised.deduplication_window = rng.uniform(0.9, 3);
    submit.promised.client_timeout = rng.uniform(0.8, 1.9);
    submit.promised.latency_objective = submit.promised.client_timeout / 2;
    return submit;
}

OperationPlan single_write(Random& rng) {
    OperationPlan once = keyed_write(rng);
    once.name = "once";
    once.share = 0.5;
    once.promised.idempotency = Idempotency::none;
    once.promised.deduplication_window = 0;
    return once;
}

Scenario draw_fleet(Random& rng, int nodes) {
    Scenario s;
    s.name = "soak";
    s.length = kRunLength;
    s.count_from = 0.5;
    s.nodes = nodes;
    s.zones.clear();
    const int zones = rng.uniform_int(1, 3);
    for (int z = 0; z < zones; ++z) s.zones.push_back("room-" + std::string(1, static_cast<char>('a' + z)));
    ServerKind box;
    box.count = rng.uniform_int(6, 10);
    box.slots = 4;
    box.connections = rng.bernoulli(0.3) ? 40 : 400;
    box.warm_after = 3;
    s.kinds = {box};
    s.warm_within = 4;
    s.fall_time = 1.0;
    s.origin.slots = 12;
    s.origin.reset_ratio = rng.bernoulli(0.4) ? 0.08 : 0;
    s.discovery_asked = rng.bernoulli(0.3);
    s.ask_every = 4;
    s.discovery_lag = rng.uniform(0.05, 0.6);
    s.node_memory_mb = kMemoryMegabytes;
    s.node_descriptors = rng.bernoulli(kTightDescriptorsProbability) ? kTightDescriptors : kDescriptors;
    s.connect_timeout = rng.bernoulli(0.5) ? 0.25 : 0.6;
    s.connection_idle = rng.bernoulli(0.5) ? 1.5 : 15;
    s.operations = {read_operation(rng), keyed_write(rng), single_write(rng)};
    s.clients.rate = 8.0 * nodes;
    s.clients.leave = 0.06;
    s.clients.front_notices = 0.6;
    s.keys.count = 2000;
    s.keys.skew = 0.6;
    return s;
}

// Draws the size of the fleet, short deadlines, and the conditions of signals, files and endpoint lists.
void draw_conditions(Random& rng, Scenario& s) {
    const double size = rng.unit();
    const bool is_largest = size < kLargestProbability;
    if (is_largest || size < kLargestProbability + kLargerProbability) {
        s.kinds.front().count = is_largest ? kLargestFleet : kLargerFleet;
        s.keys.filled = false;  // thousands of filled caches would take too much memory in this process
    }
    s.stale_files = rng.bernoulli(0.6);
    s.signal_series = rng.bernoulli(0.5);
    if (rng.bernoulli(kSlowListProbability)) s.list_rate = rng.uniform(200e3, 1500e3);
    if (!rng.bernoulli(kShortDeadlineProbability)) return;
    for (OperationPlan& operation : s.operations) {
        operation.promised.client_timeout = rng.uniform(0.15, 0.35);
        operation.promised.latency_objective = operation.promised.client_timeout / 2;
    }
}

// Draws one fault of servers, the origin, discovery, the network, clients or nodes.
Trouble draw_fault(Random& rng, const Scenario& s, double at) {
    static constexpr TroubleKind kKinds[] = {TroubleKind::silent,          TroubleKind::slow,
                                             TroubleKind::cold_return,     TroubleKind::crash,
                                             TroubleKind::drain,           TroubleKind::remove,
                                             TroubleKind::spoilt,          TroubleKind::origin_slow,
                                             TroubleKind::origin_stop,     TroubleKind::discovery_down,
                                             TroubleKind::discovery_stale, TroubleKind::list_late,
                                             TroubleKind::node_kill,       TroubleKind::node_restart,
                                             TroubleKind::node_restart,    TroubleKind::reload,
                                             TroubleKind::reload,          TroubleKind::reload_bad,
                                             TroubleKind::freeze,          TroubleKind::tricklers,
                                             TroubleKind::non_readers,     TroubleKind::cut,
                                             TroubleKind::void_copies};
    constexpr int kCount = static_cast<int>(std::size(kKinds));
    Trouble t;
    t.kind = kKinds[rng.uniform_int(0, kCount - 1)];
    t.at = at;
    t.lasts = rng.uniform(0.2, 3.0);
    t.factor = rng.uniform(5, 60);
    t.part = rng.uniform(0.1, 0.6);
    t.count = rng.uniform_int(2, 8);
    t.node = rng.uniform_int(0, s.nodes - 1);
    const int max_nodes = rng.uniform_int(1, std::max(1, s.nodes / 3));
    for (int n = 0; n < s.nodes && static_cast<int>(t.nodes.size()) < max_nodes; ++n) {
        if (rng.bernoulli(0.4)) t.nodes.push_back(n);
    }
    if (t.nodes.empty()) t.nodes = {t.node};
    const int servers = static_cast<int>(s.server_names().size()) - 1;
    const bool is_mass_fault = servers >= kLargerFleet && rng.bernoulli(kMassFaultProbability);
    const int most = static_cast<int>(kMaxMassFaultRatio * servers);
    for (int i = 0, count = is_mass_fault ? rng.uniform_int(most / 4, most) : rng.uniform_int(1, 2);
         i < count; ++i) {
        const std::string name = s.server_names()[static_cast<std::size_t>(rng.uniform_int(0, servers - 1))];
        if (std::find(t.who.begin(), t.who.end(), name) == t.who.end()) t.who.push_back(name);
    }
    t.from = {s.zones[static_cast<std::size_t>(rng.uniform_int(0, static_cast<int>(s.zones.size()) - 1))]};
    t.one_way = rng.bernoulli(0.4);
    // A cut needs a relay for each pair of node and server, for which a large fleet has too few ports.
    if (t.kind == TroubleKind::cut && servers >= kLargerFleet) t.kind = TroubleKind::list_late;
    if (t.kind == TroubleKind::freeze && rng.bernoulli(0.6)) t.lasts = rng.uniform(0.02, 0.15);
    if (t.kind == TroubleKind::reload) {
        t.repeats = rng.uniform_int(1, 4);
        t.rotates_operations = rng.bernoulli(0.6);
    }
    if (t.kind == TroubleKind::node_kill) t.lasts = rng.uniform(0.1, 1.0);
    return t;
}

// Draws bursts of two or three faults that begin within 0.4 s, so that most of them overlap in time.
void draw_faults(Random& rng, Scenario& s) {
    double at = rng.bernoulli(kLateFirstFaultProbability) ? kLateFirstFault : rng.uniform(kFirstFault, 2.0);
    while (at < kLastFault) {
        const int burst_size = rng.uniform_int(2, 3);
        for (int i = 0; i < burst_size; ++i)
            s.troubles.push_back(draw_fault(rng, s, at + rng.uniform(0, 0.4)));
        at += rng.uniform(1.2, 3.0);
    }
}

std::string decimal(double number) {
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", number);
    return text;
}

std::string shim_window(Random& rng, double probability) {
    const double from = kNodeStartup + rng.uniform(0, 8);
    return decimal(from) + ":" + decimal(from + rng.uniform(0.1, 1.5)) + ":" + decimal(probability);
}

// Draws the shim faults of one node, independently of other nodes. The draws do not depend on the options.
std::vector<std::string> draw_environment(Random& rng, std::uint64_t seed, int node,
                                          const SoakOptions& options) {
    const bool steps_clock = rng.bernoulli(0.35), fails_calls = rng.bernoulli(0.35),
               fails_disk = rng.bernoulli(0.35);
    static constexpr double kSteps[] = {3600, -3600, 4, -4, 90};
    const double step = kSteps[rng.uniform_int(0, 4)];
    const std::string clock = decimal(kNodeStartup + rng.uniform(0, 8)) + ":" + decimal(step);
    const std::string calls = shim_window(rng, rng.uniform(0.01, 0.08));
    const std::string disk = shim_window(rng, rng.uniform(0.2, 1.0));
    if (!options.with_shim || options.shim.empty()) return {};
    std::vector<std::string> environment{
        "LD_PRELOAD=" + options.shim,
        "FAULT_SHIM_SEED=" + std::to_string(seed * 100 + static_cast<std::uint64_t>(node))};
    if (steps_clock) environment.push_back("FAULT_SHIM_CLOCK=" + clock);
    if (fails_calls) environment.push_back("FAULT_SHIM_CALLS=" + calls);
    if (fails_disk) environment.push_back("FAULT_SHIM_DISK=" + disk);
    return environment;
}

std::string fault_text(std::size_t number, const Trouble& t) {
    std::string text = std::to_string(number) + ": " + decimal(t.at) + " s " +
                       trouble_names()[static_cast<std::size_t>(t.kind)] + " for " + decimal(t.lasts) + " s";
    for (const std::string& who : t.who) text += " " + who;
    for (const int node : t.nodes) text += " n" + std::to_string(node);
    return text;
}

// Collects the violations that the guards of the daemons logged.
void collect_guard_failures(const RunPlan& plan, std::vector<std::string>& failures) {
    for (int node = 0; node < plan.scenario.nodes; ++node) {
        std::ifstream log(plan.folder + "/n" + std::to_string(node) + ".log");
        for (std::string line; std::getline(log, line);) {
            if (line.find("rule broken: ") != std::string::npos && failures.size() < kMaxFailures)
                failures.push_back("guard: " + line);
        }
    }
}

// The violation and the events of its request, a line each.
std::string violation_text(const audit::Violation& violation) {
    std::string text =
        "rule " + std::to_string(violation.rule) + " at " + decimal(violation.at) + " s: " + violation.what;
    for (const std::string& event : violation.trace) text += "\n    " + event;
    return text;
}

void collect_failures(const RunPlan& plan, const RunResult& run, SoakResult& result) {
    if (!run.failed.empty()) result.failures.push_back("not played: " + run.failed);
    for (const audit::Violation& v : run.verdict.violations) {
        if (result.failures.size() < kMaxFailures) result.failures.push_back(violation_text(v));
    }
    for (const std::string& complaint : run.complaints) {
        if (result.failures.size() < kMaxFailures) result.failures.push_back("client: " + complaint);
    }
    if (run.crashes > 0)
        result.failures.push_back(std::to_string(run.crashes) + " daemons ended unexpectedly");
    if (run.daemon_descriptors > plan.scenario.node_descriptors)
        result.failures.push_back("a daemon had " + std::to_string(run.daemon_descriptors) +
                                  " open descriptors; the limit is " +
                                  std::to_string(plan.scenario.node_descriptors));
    if (run.daemon_rss_mb > plan.scenario.node_memory_mb)
        result.failures.push_back("a daemon held " + decimal(run.daemon_rss_mb) +
                                  " MB of memory; the limit in MB is " +
                                  std::to_string(plan.scenario.node_memory_mb));
    collect_guard_failures(plan, result.failures);
    result.is_void = run.verdict.is_void && result.failures.empty();
    result.void_reason = run.verdict.void_reason;
    for (const audit::Violation& v : run.verdict.set_aside) result.set_aside.push_back(violation_text(v));
    result.requests = run.verdict.requests;
    result.attempts = run.verdict.attempts;
    result.served_ratio = run.verdict.total.ratio();
}

}  // namespace

SoakPlan draw_soak_plan(std::uint64_t seed, const SoakOptions& options) {
    Random rng(seed);
    SoakPlan soak_plan;
    soak_plan.scenario = draw_fleet(rng, options.nodes);
    Random conditions(seed ^ kConditionsSeed);
    draw_conditions(conditions, soak_plan.scenario);
    draw_faults(rng, soak_plan.scenario);
    for (int node = 0; node < options.nodes; ++node)
        soak_plan.node_environment.push_back(draw_environment(rng, seed, node, options));
    const bool is_crowded = conditions.bernoulli(kCrowdedProbability);
    soak_plan.mannered_clients = (is_crowded ? kCrowdedClientsPerNode : kClientsPerNode) * options.nodes;
    return soak_plan;
}

SoakResult execute_soak(std::uint64_t seed, const SoakOptions& options) {
    SoakPlan soak_plan = draw_soak_plan(seed, options);
    SoakResult result;
    result.seed = seed;
    std::vector<Trouble> kept_faults;
    for (std::size_t i = 0; i < soak_plan.scenario.troubles.size(); ++i) {
        const auto& dropped = options.dropped_faults;
        result.faults.push_back(fault_text(i, soak_plan.scenario.troubles[i]));
        if (std::find(dropped.begin(), dropped.end(), static_cast<int>(i)) == dropped.end())
            kept_faults.push_back(soak_plan.scenario.troubles[i]);
    }
    soak_plan.scenario.troubles = std::move(kept_faults);
    RunPlan plan;
    plan.scenario = soak_plan.scenario;
    plan.seed = seed;
    plan.program = options.program;
    plan.folder = options.folder;
    plan.interrupted = options.interrupted;
    plan.mannered_clients = soak_plan.mannered_clients;
    plan.keeps_state = true;
    plan.environment = [&soak_plan](int node) {
        return soak_plan.node_environment[static_cast<std::size_t>(node)];
    };
    collect_failures(plan, execute_run(plan), result);
    return result;
}

SoakOptions shrink_soak(std::uint64_t seed, const SoakOptions& options, int max_runs) {
    SoakOptions smallest = options;
    const std::size_t faults = draw_soak_plan(seed, options).scenario.troubles.size();
    const auto still_fails = [&](const SoakOptions& candidate) {
        std::filesystem::remove_all(candidate.folder);
        std::filesystem::create_directories(candidate.folder);
        return max_runs-- > 0 && execute_soak(seed, candidate).has_failed();
    };
    for (std::size_t i = 0; i < faults && max_runs > 0; ++i) {
        SoakOptions candidate = smallest;
        candidate.dropped_faults.push_back(static_cast<int>(i));
        if (still_fails(candidate)) smallest = candidate;
    }
    if (smallest.with_shim) {
        SoakOptions candidate = smallest;
        candidate.with_shim = false;
        if (still_fails(candidate)) smallest = candidate;
    }
    return smallest;
}

}  // namespace brookrelay::testkit
