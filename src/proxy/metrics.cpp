#include "proxy/metrics.h"

#include <algorithm>
#include <cstdio>

namespace brookrelay {
namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(RequestEnd::count)> kRequestEndNames{
    "served", "streamed", "rejected", "failed", "expired", "client_closed"};
constexpr std::array<std::string_view, 9> kOutcomeNames{
    "succeeded", "failed", "busy", "timed_out", "refused", "reset", "cancelled", "not_sent", "miss"};

// Formats metrics in the Prometheus text exposition format.
class PageWriter {
  public:
    void begin(std::string_view name, std::string_view type, std::string_view help) {
        page_.append("# HELP ").append(name).append(" ").append(help).append("\n");
        page_.append("# TYPE ").append(name).append(" ").append(type).append("\n");
    }
    void sample(std::string_view name, double value) { line(name, {}, {}, value); }
    void sample(std::string_view name, std::string_view label, std::string_view label_value,
                std::uint64_t value) {
        line(name, label, label_value, static_cast<double>(value));
    }
    void counter(std::string_view name, std::string_view help, std::uint64_t value) {
        begin(name, "counter", help);
        sample(name, static_cast<double>(value));
    }
    std::string take() { return std::move(page_); }

  private:
    void line(std::string_view name, std::string_view label, std::string_view label_value, double value) {
        page_.append(name);
        if (!label.empty()) page_.append("{").append(label).append("=\"").append(label_value).append("\"}");
        std::array<char, 32> number{};
        std::snprintf(number.data(), number.size(), " %.17g\n", value);
        page_.append(number.data());
    }
    std::string page_;
};

}  // namespace

std::string_view name_of(RequestEnd end) { return kRequestEndNames[static_cast<std::size_t>(end)]; }
std::string_view name_of(AttemptOutcome outcome) { return kOutcomeNames[static_cast<std::size_t>(outcome)]; }

void Metrics::on_list(std::size_t size, double latency) {
    ++lists_;
    list_bytes_ += size;
    total_list_seconds_ += latency;
    max_list_seconds_ = std::max(max_list_seconds_, latency);
}

void Metrics::on_send(double age) {
    ++sends_;
    total_send_list_age_ += age;
    max_send_list_age_ = std::max(max_send_list_age_, age);
}

std::string Metrics::page(const Gauges& gauges, const ClientConnections& clients,
                          const ViolationCounter& violations, const IterationMonitor& iterations) const {
    PageWriter page;
    page.counter("brookrelay_requests_total", "Requests taken up.", requests_);
    page.begin("brookrelay_request_ends_total", "counter", "Requests ended, by how.");
    for (std::size_t i = 0; i < request_ends_.size(); ++i)
        page.sample("brookrelay_request_ends_total", "end", kRequestEndNames[i], request_ends_[i]);
    page.begin("brookrelay_attempts_total", "counter", "Attempts ended, by outcome.");
    for (std::size_t i = 0; i < attempt_ends_.size(); ++i)
        page.sample("brookrelay_attempts_total", "outcome", kOutcomeNames[i], attempt_ends_[i]);
    page.begin("brookrelay_attempts_refused_total", "counter",
               "Attempts that were not sent, by the guard's reason.");
    for (std::size_t i = 1; i < refusals_.size(); ++i)
        page.sample("brookrelay_attempts_refused_total", "reason", name_of(static_cast<SendRefusal>(i)),
                    refusals_[i]);
    page.begin("brookrelay_client_connections_closed_total", "counter",
               "Connections of clients closed, by reason.");
    for (std::size_t i = 0; i < static_cast<std::size_t>(CloseReason::count); ++i)
        page.sample("brookrelay_client_connections_closed_total", "reason",
                    name_of(static_cast<CloseReason>(i)), clients.closed_count(static_cast<CloseReason>(i)));
    page.begin("brookrelay_violations_total", "counter",
               "Rules that this process saw itself break, by kind.");
    for (std::size_t i = 0; i < static_cast<std::size_t>(Violation::count); ++i)
        page.sample("brookrelay_violations_total", "kind", name_of(static_cast<Violation>(i)),
                    violations.count(static_cast<Violation>(i)));
    page.counter("brookrelay_clock_steps_total", "Steps of the wall clock that were noticed.", clock_steps_);
    page.counter("brookrelay_pauses_total", "Times that the process was held up.", pauses_);
    page.counter("brookrelay_reloads_taken_total", "Configurations taken over.", reloads_taken_);
    page.counter("brookrelay_reloads_refused_total", "Configurations refused.", reloads_refused_);
    page.counter("brookrelay_deferrals_total",
                 "Iterations that left actions to the next one, to look at the sockets first.", deferrals_);
    page.counter("brookrelay_lists_total", "Endpoint updates that were applied.", lists_);
    page.counter("brookrelay_list_bytes_total", "Their bytes.", list_bytes_);
    page.begin("brookrelay_list_seconds_total", "counter",
               "From an update's first byte until it was applied.");
    page.sample("brookrelay_list_seconds_total", total_list_seconds_);
    page.begin("brookrelay_list_seconds_max", "gauge", "The longest of these.");
    page.sample("brookrelay_list_seconds_max", max_list_seconds_);
    page.counter("brookrelay_sends_total", "Attempts written.", sends_);
    page.begin("brookrelay_send_list_age_seconds_total", "counter",
               "Since the endpoints were last confirmed, when an attempt was written.");
    page.sample("brookrelay_send_list_age_seconds_total", total_send_list_age_);
    page.begin("brookrelay_send_list_age_seconds_max", "gauge", "The longest of these.");
    page.sample("brookrelay_send_list_age_seconds_max", max_send_list_age_);
    page.begin("brookrelay_iteration_seconds", "histogram", "Iterations of the event loop, by their length.");
    std::uint64_t cumulative_count = 0;
    for (std::size_t i = 0; i < iterations.histogram().size(); ++i) {
        cumulative_count += iterations.histogram()[i];
        std::array<char, 16> bound{"+Inf"};
        if (i < IterationMonitor::kBucketBounds.size())
            std::snprintf(bound.data(), bound.size(), "%g", IterationMonitor::kBucketBounds[i]);
        page.sample("brookrelay_iteration_seconds_bucket", "le", bound.data(), cumulative_count);
    }
    page.sample("brookrelay_iteration_seconds_sum", iterations.total_seconds());
    page.sample("brookrelay_iteration_seconds_count", static_cast<double>(cumulative_count));
    for (const auto& [name, value] : gauges) {
        page.begin(name, "gauge", "Present value.");
        page.sample(name, value);
    }
    return page.take();
}

}  // namespace brookrelay
