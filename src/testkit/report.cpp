#include "testkit/report.h"

#include <rapidjson/prettywriter.h>
#include <rapidjson/stringbuffer.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <stdexcept>

#include "testkit/fleet_views.h"
#include "testkit/svg.h"
#include "testkit/wire.h"

namespace brookrelay::testkit {
namespace {

using Json = rapidjson::PrettyWriter<rapidjson::StringBuffer>;

constexpr std::size_t kMaxViolationsShown = 20;
constexpr const char* kRuleNames[] = {"",
                                      "one final answer in time",
                                      "no effect twice",
                                      "drains kept",
                                      "nothing cold pushed over",
                                      "limits of the whole fleet kept"};

std::string format(const char* pattern, double a) {
    char buffer[64];
    std::snprintf(buffer, sizeof buffer, pattern, a);
    return buffer;
}

std::string percent(double part) { return format("%.1f%%", 100 * part); }
std::string ms(double seconds) { return format("%.1f", 1e3 * seconds); }

void put(Json& json, const char* key, double value) {
    json.Key(key);
    json.Double(std::isfinite(value) ? std::round(value * 1e6) / 1e6 : 0);
}
void put(Json& json, const char* key, std::uint64_t value) { json.Key(key), json.Uint64(value); }
void put(Json& json, const char* key, const std::string& value) {
    json.Key(key);
    json.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}
void put_bool(Json& json, const char* key, bool value) { json.Key(key), json.Bool(value); }
void put_numbers(Json& json, const char* key, const std::vector<double>& values) {
    json.Key(key);
    json.StartArray();
    for (const double v : values) json.Double(std::round(v * 1e4) / 1e4);
    json.EndArray();
}

void put_totals(Json& json, const std::string& name, const audit::ServiceTotals& a) {
    json.StartObject();
    put(json, "name", name);
    put(json, "asked", a.offered);
    put(json, "earned", a.earned);
    put(json, "part", a.ratio());
    json.EndObject();
}

void put_violations(Json& json, const char* key, const std::vector<audit::Violation>& findings) {
    json.Key(key);
    json.StartArray();
    for (const audit::Violation& f : findings) {
        json.StartObject();
        json.Key("rule"), json.Int(f.rule);
        json.Key("invocation"), json.Int(f.request);
        put(json, "at", f.at);
        put(json, "what", f.what);
        json.Key("trace");
        json.StartArray();
        for (const std::string& line : f.trace) json.String(line.c_str());
        json.EndArray();
        json.EndObject();
    }
    json.EndArray();
}

struct WorstService {
    std::string name = "-";
    double part = 1;
};

WorstService find_worst(const std::vector<audit::ServiceTotals>& accounts,
                        const std::vector<std::string>& names) {
    WorstService w;
    for (std::size_t i = 0; i < accounts.size(); ++i) {
        if (accounts[i].offered <= 0) continue;
        if (w.name == "-" || accounts[i].ratio() < w.part) w = {names[i], accounts[i].ratio()};
    }
    return w;
}

std::vector<std::string> operation_names(const Scenario& s) {
    std::vector<std::string> names;
    for (const OperationPlan& o : s.operations) names.push_back(o.name);
    return names;
}

std::vector<std::string> tenant_names(const Scenario& s) {
    std::vector<std::string> names;
    for (const TenantPlan& t : s.tenants) names.push_back(t.name);
    return names;
}

// ---- charts ---------------------------------------------------------------------------------------------

Chart make_time_chart(const RunPlan& plan, const RunResult& r, const std::string& title,
                      const std::string& y) {
    Chart c;
    c.title = title;
    c.x_label = "seconds of the day";
    c.y_label = y;
    c.x_max = plan.scenario.length;
    // The ends of faults are in the list of faults only, because a line for each would hide the curves.
    int number = 0;
    for (const auto& [at, text] : r.marks) {
        ++number;
        c.marks.emplace_back(text.starts_with("end of ") ? -1 : at, std::to_string(number));
    }
    return c;
}

std::string service_chart(const RunPlan& plan, const RunResult& r) {
    Chart c = make_time_chart(plan, r, "Billed service", "part of the billed value");
    ChartCurve part{"service", "", {}};
    double most = 0;
    for (const audit::ServiceTotals& a : r.verdict.seconds) most = std::max(most, a.offered);
    ChartCurve asked{"asked (against its highest second)", "#bbbbbb", {}};
    for (std::size_t i = 0; i < r.verdict.seconds.size(); ++i) {
        const audit::ServiceTotals& a = r.verdict.seconds[i];
        const double t = static_cast<double>(i) + 0.5;
        if (a.offered > 0) part.points.emplace_back(t, a.ratio());
        asked.points.emplace_back(t, most > 0 ? a.offered / most : 0);
    }
    c.curves = {asked, part};
    c.y_max = 1.05;
    return chart_svg(c);
}

std::string load_chart(const RunPlan& plan, const RunResult& r) {
    Chart c = make_time_chart(plan, r, "Load of each cache server against their mean", "times the mean");
    const std::size_t caches = r.series.servers.empty() ? 0 : r.series.servers.size() - 1;
    if (r.series.forwards.size() < caches + 1) return chart_svg(c);
    const std::size_t seconds = r.series.forwards[0].size();
    ChartCurve highest{"highest", "#c8553d", {}};
    for (std::size_t s = 0; s < caches; ++s) {
        ChartCurve one{r.series.servers[s], "#9fb8c4", {}, 0.8, false, false, {}};
        for (std::size_t t = 0; t < seconds; ++t) {
            double sum = 0;
            for (std::size_t i = 0; i < caches; ++i) sum += r.series.forwards[i][t];
            if (sum <= 0) continue;
            const double times = r.series.forwards[s][t] * static_cast<double>(caches) / sum;
            const double at = static_cast<double>(t) + 0.5;
            one.points.emplace_back(at, times);
            if (highest.points.empty() || highest.points.back().first < at)
                highest.points.emplace_back(at, 0.0);
        }
        c.curves.push_back(std::move(one));
    }
    for (auto& [at, value] : highest.points) {
        for (const ChartCurve& curve : c.curves) {
            for (const auto& [t, times] : curve.points) {
                if (t == at) value = std::max(value, times);
            }
        }
    }
    c.curves.push_back(std::move(highest));
    c.y_max_at_least = 2;
    return chart_svg(c);
}

std::string origin_chart(const RunPlan& plan, const RunResult& r) {
    Chart c = make_time_chart(plan, r, "Work asked of the origin against its limit", "work a second");
    ChartCurve asked{"asked", "", {}}, capacity{"capacity", "#588157", {}},
        limit{"limit", "#b08900", {}, 1.2, true, true, {}},
        stop{"stops from here", "#9b2226", {}, 1.2, true, true, {}};
    for (std::size_t i = 0; i < r.series.origin_load.size(); ++i) {
        const double t = static_cast<double>(i) + 0.5;
        asked.points.emplace_back(t, r.series.origin_load[i]);
        capacity.points.emplace_back(t, r.series.origin_capacity[i]);
        limit.points.emplace_back(t, r.series.origin_capacity[i] * plan.scenario.origin.limit_marked);
        stop.points.emplace_back(t, r.series.origin_capacity[i] * plan.scenario.origin.fall_multiple);
    }
    c.curves = {asked, limit, capacity};
    double top = 0;
    for (const auto& [t, v] : asked.points) top = std::max(top, v);
    for (const auto& [t, v] : capacity.points) top = std::max(top, v);
    c.y_max = top > 0 ? 1.15 * top : 1;
    if (plan.scenario.origin.fall_multiple > 0) c.curves.push_back(stop);
    return chart_svg(c);
}

std::string latency_chart(const RunPlan& plan, const RunResult& r) {
    Chart c;
    c.title = "Time to a success, from a user's first try";
    c.x_label = "milliseconds (log)";
    c.y_label = "part answered by then";
    c.log_x = true;
    c.y_max = 1.02;
    for (std::size_t i = 0; i < r.latencies.size(); ++i) {
        ChartCurve curve{plan.scenario.operations[i].name, "", {}};
        double seen = 0;
        for (const auto& [time, count] : r.latencies[i].bins()) {
            seen += count;
            curve.points.emplace_back(
                time * 1e3, seen / static_cast<double>(std::max<std::uint64_t>(1, r.latencies[i].count())));
        }
        if (!curve.points.empty()) c.curves.push_back(std::move(curve));
    }
    return chart_svg(c);
}

std::string cost_chart(const RunPlan& plan, const RunResult& r) {
    Chart c = make_time_chart(plan, r, "Processor time of all daemons", "seconds a second");
    ChartCurve cpu{"processor time", "", {}};
    for (std::size_t i = 0; i < r.series.cpu.size(); ++i)
        cpu.points.emplace_back(static_cast<double>(i) + 0.5, r.series.cpu[i]);
    c.curves = {cpu};
    return chart_svg(c);
}

std::string violation_html(const audit::Violation& f) {
    std::string out = "<details><summary><b>rule " + std::to_string(f.rule) + "</b> at " +
                      format("%.3f s", f.at) +
                      (f.request >= 0 ? ", invocation " + std::to_string(f.request) : "") + ": " +
                      escape_html(f.what) + "</summary><pre>";
    for (const std::string& line : f.trace) out += escape_html(line) + "\n";
    return out + "</pre></details>";
}

std::string row(std::initializer_list<std::string> cells, const char* tag = "td") {
    std::string out = "<tr>";
    for (const std::string& c : cells)
        out += std::string("<") + tag + ">" + escape_html(c) + "</" + tag + ">";
    return out + "</tr>";
}

constexpr const char* kStyle =
    "body{font:15px/1.5 system-ui,sans-serif;color:#222;max-width:980px;margin:24px auto;padding:0 16px}"
    "h1{font-size:23px;margin:0 0 4px}h2{font-size:17px;margin:28px 0 6px}"
    "svg{width:100%;height:auto;margin:6px 0 12px;font:11px system-ui,sans-serif}svg "
    ".title{font-size:13px;font-weight:600}"
    "svg .label{fill:#666}svg .mark{fill:#b5651d;font-size:9px}"
    "table{border-collapse:collapse;margin:8px 0}td,th{padding:3px 12px 3px "
    "0;text-align:left;border-bottom:1px solid #eee}"
    "td:not(:first-child),th:not(:first-child){font-variant-numeric:tabular-nums}"
    ".badge{display:inline-block;padding:2px 10px;border-radius:4px;color:#fff;font-weight:600}"
    ".kept{background:#588157}.broken{background:#9b2226}.void,.not{background:#b08900}"
    "pre{background:#f6f6f6;padding:8px;overflow-x:auto}details{margin:4px 0}.soft{color:#666}"
    ".tiles{display:flex;flex-wrap:wrap;gap:10px;margin:14px 0}.tile{border:1px solid "
    "#ddd;border-radius:6px;padding:8px 14px}"
    ".tile b{display:block;font-size:21px}";

std::string tile(const std::string& value, const std::string& name) {
    return "<div class='tile'><b>" + escape_html(value) + "</b><span class='soft'>" + escape_html(name) +
           "</span></div>";
}

}  // namespace

std::string verdict_word(const RunResult& r) {
    if (!r.failed.empty()) return "not played";
    if (!r.verdict.violations.empty() || r.crashes > 0) return "broken";
    if (r.verdict.is_void || r.was_interrupted) return "void";
    return "kept";
}

std::string summary_text(const RunPlan& plan, const RunResult& r) {
    const audit::Verdict& v = r.verdict;
    const Scenario& s = plan.scenario;
    std::string out;
    const auto add_line = [&out](const std::string& text) { out += text + "\n"; };
    if (!r.failed.empty()) return "not played: " + r.failed + "\n";
    add_line("rules            " + verdict_word(r) + (v.is_void ? ": " + v.void_reason : "") +
             (r.was_interrupted ? " (interrupted)" : ""));
    for (std::size_t rule = 1; rule < v.violations_by_rule.size(); ++rule) {
        if (v.violations_by_rule[rule] > 0) {
            add_line("  rule " + std::to_string(rule) + " (" + kRuleNames[rule] + "): broken " +
                     std::to_string(v.violations_by_rule[rule]) + " times");
        }
    }
    if (r.crashes > 0) add_line("  daemons ended by themselves " + std::to_string(r.crashes) + " times");
    const WorstService op = find_worst(v.operations, operation_names(s)),
                       tenant = find_worst(v.tenants, tenant_names(s));
    add_line("billed service   " + format("%.4f", v.total.ratio()) + " whole,  " +
             format("%.4f", v.worst_window) + " worst 10 s (from " + format("%.0f s", v.worst_window_from) +
             "),  " + format("%.4f ", op.part) + op.name + ",  " + format("%.4f ", tenant.part) +
             tenant.name);
    add_line("invocations      " + std::to_string(v.requests) + " of " + std::to_string(v.users) +
             " users: " + std::to_string(v.succeeded) + " succeeded, " + std::to_string(v.rejected) +
             " throttled, " + std::to_string(v.failed) + " errored, " + std::to_string(v.truncated) +
             " cut, " + std::to_string(v.unanswered) + " unanswered, " + std::to_string(v.left) + " left, " +
             std::to_string(v.lost_with_node) + " lost with their node");
    add_line("servers          " + std::to_string(v.attempts) + " forwards, " + std::to_string(r.hits) +
             " hits, " + std::to_string(r.misses) + " misses, " + std::to_string(r.server_busy) +
             " busy; origin " + std::to_string(r.origin_reads) + " reads, " +
             std::to_string(r.origin_writes) + " writes, " + std::to_string(r.origin_halts) + " stops; " +
             std::to_string(v.dropped_duplicates) + " repeats dropped");
    std::string times = "latency (ms)     ";
    for (std::size_t i = 0; i < r.latencies.size(); ++i) {
        const LatencyHistogram& h = r.latencies[i];
        times += (i == 0 ? "" : ",  ") + s.operations[i].name + " p50 " + ms(h.quantile(0.5)) + " p99 " +
                 ms(h.quantile(0.99)) + " p99.9 " + ms(h.quantile(0.999));
    }
    add_line(times);
    add_line(
        "daemons          " +
        format("%.1f us", v.requests > 0 ? 1e6 * r.daemon_cpu_seconds / static_cast<double>(v.requests) : 0) +
        " of processor an invocation, " + format("%.1f MB", r.daemon_rss_mb) +
        " at the most; the kit was late " + format("%.1f ms", 1e3 * v.max_watcher_delay) + " at the worst, " +
        percent(v.watcher_delay_ratio) + " of the day");
    out += zone_failover_text(s, r);
    for (std::size_t i = 0; i < std::min(v.violations.size(), std::size_t{3}); ++i) {
        const audit::Violation& f = v.violations[i];
        add_line("broken: rule " + std::to_string(f.rule) + " at " + format("%.3f s", f.at) +
                 (f.request >= 0 ? ", invocation " + std::to_string(f.request) : "") + ": " + f.what);
        for (const std::string& line : f.trace) add_line("    " + line);
    }
    if (v.violations.size() > 3) add_line("... and more: see the report");
    return out;
}

// NOLINTNEXTLINE(readability-function-size): see ROADMAP
std::string report_json(const ReportHead& head, const RunPlan& plan, const RunResult& r) {
    const audit::Verdict& v = r.verdict;
    const Scenario& s = plan.scenario;
    rapidjson::StringBuffer buffer;
    Json json(buffer);
    json.SetIndent(' ', 1);
    json.SetFormatOptions(rapidjson::kFormatSingleLineArray);
    json.StartObject();
    json.Key("schema"), json.Int(kReportSchema);
    put(json, "kit", head.version);
    put(json, "daemon", head.program);
    put(json, "command", head.command);
    put(json, "scenario", s.name);
    put(json, "scenario_file", s.path);
    put(json, "seed", plan.seed);
    put(json, "day_digest", key_text(r.digest));
    put(json, "verdict", verdict_word(r));
    put(json, "failed", r.failed);
    put_bool(json, "interrupted", r.was_interrupted);
    put_bool(json, "void", v.is_void);
    put(json, "void_why", v.void_reason);
    put(json, "length", r.length);
    json.Key("broken");
    json.StartObject();
    for (std::size_t rule = 1; rule < v.violations_by_rule.size(); ++rule) {
        json.Key(("rule_" + std::to_string(rule)).c_str());
        json.Int(v.violations_by_rule[rule]);
    }
    json.Key("crashes"), json.Int(r.crashes);
    json.EndObject();
    json.Key("service");
    json.StartObject();
    put(json, "whole", v.total.ratio());
    put(json, "worst_ten", v.worst_window);
    put(json, "worst_ten_from", v.worst_window_from);
    put(json, "worst_operation", find_worst(v.operations, operation_names(s)).part);
    put(json, "worst_tenant", find_worst(v.tenants, tenant_names(s)).part);
    const auto put_all_totals = [&json](const char* key, const std::vector<audit::ServiceTotals>& all,
                                        const std::vector<std::string>& names) {
        json.Key(key);
        json.StartArray();
        for (std::size_t i = 0; i < all.size(); ++i) put_totals(json, names[i], all[i]);
        json.EndArray();
    };
    put_all_totals("operations", v.operations, operation_names(s));
    put_all_totals("tenants", v.tenants, tenant_names(s));
    json.EndObject();
    json.Key("counts");
    json.StartObject();
    const std::pair<const char*, std::uint64_t> counts[] = {{"planned", r.planned},
                                                            {"users", v.users},
                                                            {"invocations", v.requests},
                                                            {"succeeded", v.succeeded},
                                                            {"throttled", v.rejected},
                                                            {"errored", v.failed},
                                                            {"cut", v.truncated},
                                                            {"unanswered", v.unanswered},
                                                            {"left", v.left},
                                                            {"lost_with_node", v.lost_with_node},
                                                            {"forwards", v.attempts},
                                                            {"effects", v.effects},
                                                            {"dropped_repeats", v.dropped_duplicates},
                                                            {"hits", r.hits},
                                                            {"misses", r.misses},
                                                            {"server_busy", r.server_busy},
                                                            {"origin_reads", r.origin_reads},
                                                            {"origin_writes", r.origin_writes},
                                                            {"origin_busy", r.origin_busy},
                                                            {"origin_halts", r.origin_halts},
                                                            {"server_connections", r.connections}};
    for (const auto& [name, count] : counts) put(json, name, count);
    json.EndObject();
    json.Key("latency_ms");
    json.StartArray();
    for (std::size_t i = 0; i < r.latencies.size(); ++i) {
        const LatencyHistogram& h = r.latencies[i];
        json.StartObject();
        put(json, "operation", s.operations[i].name);
        put(json, "count", h.count());
        put(json, "mean", 1e3 * h.mean());
        for (const auto& [name, part] :
             {std::pair{"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}, {"p999", 0.999}}) {
            put(json, name, 1e3 * h.quantile(part));
        }
        put(json, "most", 1e3 * h.most());
        json.EndObject();
    }
    json.EndArray();
    json.Key("daemons");
    json.StartObject();
    put(json, "cpu", r.daemon_cpu_seconds);
    put(json, "cpu_us_an_invocation",
        v.requests > 0 ? 1e6 * r.daemon_cpu_seconds / static_cast<double>(v.requests) : 0.0);
    put(json, "rss_mb_most", r.daemon_rss_mb);
    put(json, "descriptors_most", static_cast<std::uint64_t>(r.daemon_descriptors));
    json.EndObject();
    json.Key("kit_late");
    json.StartObject();
    put(json, "worst", v.max_watcher_delay);
    put(json, "part_of_day", v.watcher_delay_ratio);
    json.EndObject();
    json.Key("series");
    json.StartObject();
    json.Key("servers");
    json.StartArray();
    for (const std::string& name : r.series.servers) json.String(name.c_str());
    json.EndArray();
    json.Key("forwards");
    json.StartArray();
    for (const auto& one : r.series.forwards) {
        json.StartArray();
        for (const double n : one) json.Double(n);
        json.EndArray();
    }
    json.EndArray();
    std::vector<double> asked, earned;
    for (const audit::ServiceTotals& a : v.seconds) asked.push_back(a.offered), earned.push_back(a.earned);
    put_numbers(json, "asked", asked);
    put_numbers(json, "earned", earned);
    put_numbers(json, "origin_asked", r.series.origin_load);
    put_numbers(json, "origin_capacity", r.series.origin_capacity);
    put_numbers(json, "cpu", r.series.cpu);
    put_numbers(json, "rss_mb", r.series.rss_mb);
    json.EndObject();
    json.Key("marks");
    json.StartArray();
    for (const auto& [at, text] : r.marks) {
        json.StartObject();
        put(json, "at", at);
        put(json, "what", text);
        json.EndObject();
    }
    json.EndArray();
    put_violations(json, "findings", v.violations);
    put_violations(json, "set_aside", v.set_aside);
    json.EndObject();
    return std::string(buffer.GetString(), buffer.GetSize()) + "\n";
}

std::string report_html(const ReportHead& head, const RunPlan& plan, const RunResult& r) {
    const audit::Verdict& v = r.verdict;
    const Scenario& s = plan.scenario;
    const std::string word = verdict_word(r);
    std::string out = "<!doctype html><html lang='en'><head><meta charset='utf-8'><title>" +
                      escape_html(s.name) + " - rehearsal</title><style>" + kStyle + "</style></head><body>";
    out += "<h1>" + escape_html(s.name) + " <span class='badge " + word.substr(0, word.find(' ')) +
           "'>rules " + word + "</span></h1>";
    out += "<p class='soft'>" + escape_html(s.about) + "</p>";
    if (!r.failed.empty()) out += "<p>The day was not played: " + escape_html(r.failed) + "</p>";
    if (r.was_interrupted)
        out += "<p>Interrupted after " + format("%.1f s", r.length) + ": what follows is of that part.</p>";
    if (v.is_void) out += "<p>Void: " + escape_html(v.void_reason) + ".</p>";
    const WorstService op = find_worst(v.operations, operation_names(s)),
                       tenant = find_worst(v.tenants, tenant_names(s));
    out += "<div class='tiles'>" + tile(format("%.4f", v.total.ratio()), "billed service, whole") +
           tile(format("%.4f", v.worst_window), "worst 10 s, from " + format("%.0f s", v.worst_window_from)) +
           tile(format("%.4f", op.part), "worst operation: " + op.name) +
           tile(format("%.4f", tenant.part), "worst tenant: " + tenant.name) +
           tile(std::to_string(v.violations.size()), "broken rules") +
           tile(std::to_string(v.requests), "invocations") + "</div>";
    out += service_chart(plan, r) + load_chart(plan, r) + origin_chart(plan, r) + latency_chart(plan, r) +
           cost_chart(plan, r);
    out += "<h2>Broken rules</h2>";
    if (v.violations.empty()) out += "<p>None.</p>";
    for (std::size_t i = 0; i < std::min(kMaxViolationsShown, v.violations.size()); ++i)
        out += violation_html(v.violations[i]);
    if (v.violations.size() > kMaxViolationsShown) {
        out += "<p>" + std::to_string(v.violations.size() - kMaxViolationsShown) +
               " more are in report.json.</p>";
    }
    if (!v.set_aside.empty()) {
        out += "<h2>Set aside, as the kit itself was late then</h2>";
        for (std::size_t i = 0; i < std::min(kMaxViolationsShown, v.set_aside.size()); ++i)
            out += violation_html(v.set_aside[i]);
    }
    out += "<h2>Troubles</h2><table>" + row({"", "at", "what"}, "th");
    int number = 0;
    for (const auto& [at, text] : r.marks) out += row({std::to_string(++number), format("%.2f s", at), text});
    out += "</table><h2>Operations</h2><table>" +
           row({"operation", "asked", "service", "p50 ms", "p90 ms", "p99 ms", "p99.9 ms", "objective ms"},
               "th");
    for (std::size_t i = 0; i < s.operations.size(); ++i) {
        const audit::ServiceTotals account =
            i < v.operations.size() ? v.operations[i] : audit::ServiceTotals{};
        const LatencyHistogram h = i < r.latencies.size() ? r.latencies[i] : LatencyHistogram{};
        out += row({s.operations[i].name, format("%.0f", account.offered), format("%.4f", account.ratio()),
                    ms(h.quantile(0.5)), ms(h.quantile(0.9)), ms(h.quantile(0.99)), ms(h.quantile(0.999)),
                    ms(s.operations[i].promised.latency_objective)});
    }
    out += "</table><h2>Tenants</h2><table>" + row({"tenant", "asked", "service"}, "th");
    for (std::size_t i = 0; i < v.tenants.size(); ++i) {
        out += row(
            {s.tenants[i].name, format("%.0f", v.tenants[i].offered), format("%.4f", v.tenants[i].ratio())});
    }
    out += "</table><h2>All counts</h2><pre>" + escape_html(summary_text(plan, r)) + "</pre>";
    out += "<p class='soft'>" + escape_html(head.version) + "; daemon " + escape_html(head.program) +
           "; seed " + std::to_string(plan.seed) + "; play it again: <code>" + escape_html(head.command) +
           "</code></p>";
    return out + "</body></html>\n";
}

void write_reports(const ReportHead& head, const RunPlan& plan, const RunResult& r) {
    const std::pair<std::string, std::string> files[] = {
        {plan.folder + "/report.json", report_json(head, plan, r)},
        {plan.folder + "/report.html", report_html(head, plan, r)}};
    for (const auto& [path, content] : files) {
        std::ofstream file(path);
        if (!(file << content << std::flush)) throw std::runtime_error("cannot write " + path);
    }
}

}  // namespace brookrelay::testkit
