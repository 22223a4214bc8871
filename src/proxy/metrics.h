/// The node's counters since its start, as a page in the Prometheus text exposition format (version 0.0.4).
/// Counters only grow; gauges are passed in when the page is formatted. No I/O and no clock.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "balancer/balancer.h"
#include "downstream/client_connections.h"
#include "guard/send_guard.h"
#include "guard/violations.h"
#include "proxy/iteration_monitor.h"

namespace brookrelay {

/// How a request ended. Each accepted request ends in exactly one of these ways; `count` is their number.
enum class RequestEnd { served, streamed, rejected, failed, expired, client_closed, count };

/// The name in the log, the trace and the metrics; one word.
std::string_view name_of(RequestEnd end);
std::string_view name_of(AttemptOutcome outcome);

/// Counts events and formats the metrics page.
class Metrics {
  public:
    void on_request() { ++requests_; }
    void on_request_end(RequestEnd end) { ++request_ends_[static_cast<std::size_t>(end)]; }
    void on_attempt_end(AttemptOutcome outcome) { ++attempt_ends_[static_cast<std::size_t>(outcome)]; }
    void on_send_refused(SendRefusal refusal) { ++refusals_[static_cast<std::size_t>(refusal)]; }
    void on_clock_step() { ++clock_steps_; }
    void on_pause() { ++pauses_; }
    /// An endpoint update of `size` bytes was applied `latency` seconds after its first byte was read.
    void on_list(std::size_t size, double latency);
    /// An attempt is written `age` seconds after the endpoint source last confirmed its list.
    void on_send(double age);
    /// Actions were deferred to the next iteration, because the last poll of the sockets was too old.
    void on_deferral() { ++deferrals_; }
    void on_reload(bool taken) { ++(taken ? reloads_taken_ : reloads_refused_); }

    /// Current values of gauges, by metric name.
    using Gauges = std::vector<std::pair<std::string_view, double>>;
    /// The metrics page in the Prometheus text exposition format.
    std::string page(const Gauges& gauges, const ClientConnections& clients,
                     const ViolationCounter& violations, const IterationMonitor& iterations) const;

  private:
    static constexpr std::size_t kOutcomes = static_cast<std::size_t>(AttemptOutcome::miss) + 1;
    static constexpr std::size_t kRefusals = static_cast<std::size_t>(SendRefusal::over_quota) + 1;
    std::uint64_t deferrals_ = 0, lists_ = 0, list_bytes_ = 0, sends_ = 0;
    double total_list_seconds_ = 0, max_list_seconds_ = 0, total_send_list_age_ = 0,
           max_send_list_age_ = 0;  // s
    std::uint64_t requests_ = 0, clock_steps_ = 0, pauses_ = 0, reloads_taken_ = 0, reloads_refused_ = 0;
    std::array<std::uint64_t, static_cast<std::size_t>(RequestEnd::count)> request_ends_{};
    std::array<std::uint64_t, kOutcomes> attempt_ends_{};
    std::array<std::uint64_t, kRefusals> refusals_{};
};

}  // namespace brookrelay
