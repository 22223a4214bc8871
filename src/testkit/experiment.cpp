#include "testkit/experiment.h"

#include <rapidjson/document.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/math/distributions/students_t.hpp>
#include <charconv>
#include <cmath>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "testkit/svg.h"
#include "util/parse_number.h"

namespace brookrelay::testkit {
namespace {

std::string short_name(const std::string& program) {
    // The two folders above the program distinguish builds, whose programs have the same name.
    const std::filesystem::path path(program);
    const std::string parent = path.parent_path().filename().string();
    const std::string grand = path.parent_path().parent_path().filename().string();
    return grand + "/" + parent + "/" + path.filename().string();
}

bool parse_double(const std::string& text, double& value) {
    const char* end = text.data() + text.size();
    const auto [at, error] = std::from_chars(text.data(), end, value);
    return error == std::errc() && at == end;
}

std::string format_number(double v, const char* format = "%.4f") {
    char buffer[32];
    std::snprintf(buffer, sizeof buffer, format, v);
    return buffer;
}

// Returns the x positions of the settings if a single numeric value was swept, in rising order; else an empty
// list.
std::vector<double> axis_positions(const ExperimentPlan& plan, const std::vector<std::string>& settings) {
    std::size_t swept = 0;
    for (const Sweep& s : plan.sweeps) swept += s.values.size() > 1 ? 1 : 0;
    std::vector<double> values;
    for (const std::string& s : settings) {
        double value = 0;
        const std::string digits = s.substr(s.find('=') + 1);
        if (swept != 1 || !parse_double(digits, value) || (!values.empty() && value <= values.back()))
            return {};
        values.push_back(value);
    }
    return values;
}

std::string csv_quoted(const std::string& text) {
    std::string out = "\"";
    for (const char c : text) out += c == '"' ? "\"\"" : std::string(1, c);
    return out + "\"";
}

}  // namespace

Sweep parse_sweep(const std::string& text) {
    Sweep sweep;
    const std::size_t equals = text.find('=');
    if (equals == std::string::npos || equals == 0)
        throw std::invalid_argument("expected PATH=VALUE, found '" + text + "'");
    sweep.path = text.substr(0, equals);
    int depth = 0;
    bool is_quoted = false;
    std::string value;
    for (const char c : text.substr(equals + 1)) {
        if (c == '"') is_quoted = !is_quoted;
        if (!is_quoted && c == '[') ++depth;
        if (!is_quoted && c == ']') --depth;
        if (c == ',' && depth == 0 && !is_quoted) {
            sweep.values.push_back(std::exchange(value, {}));
        } else {
            value += c;
        }
    }
    sweep.values.push_back(value);
    return sweep;
}

std::vector<std::uint64_t> parse_seeds(const std::string& text) {
    constexpr std::uint64_t kMaxSeedsInRange = 10000;
    std::vector<std::uint64_t> seeds;
    std::stringstream parts(text);
    std::string part;
    while (std::getline(parts, part, ',')) {
        const std::size_t dots = part.find("..");
        std::uint64_t first = 0, last = 0;
        const bool is_valid = dots == std::string::npos
                                  ? parse_number(part, first) && (last = first, true)
                                  : parse_number(std::string_view(part).substr(0, dots), first) &&
                                        parse_number(std::string_view(part).substr(dots + 2), last);
        if (!is_valid || last < first || last - first >= kMaxSeedsInRange) {
            throw std::invalid_argument("expected seeds such as 3, 1..5 or 1,4,9, found '" + text + "'");
        }
        for (std::uint64_t s = first; s <= last; ++s) seeds.push_back(s);
    }
    if (seeds.empty()) throw std::invalid_argument("expected at least one seed");
    return seeds;
}

const std::vector<Measure>& all_measures() {
    static const std::vector<Measure> all{{"service, whole", "", &Measures::whole},
                                          {"service, worst 10 s", "", &Measures::worst_ten},
                                          {"service, worst operation", "", &Measures::worst_operation},
                                          {"service, worst tenant", "", &Measures::worst_tenant},
                                          {"worst p99", "ms", &Measures::max_p99_ms},
                                          {"processor an invocation", "us", &Measures::cpu_us_per_request},
                                          {"origin reads", "", &Measures::origin_reads}};
    return all;
}

// NOLINTNEXTLINE(readability-function-cognitive-complexity): see ROADMAP
std::vector<ExperimentRun> plan_experiment_runs(const ExperimentPlan& plan) {
    std::vector<std::vector<std::string>> settings{{}};
    for (const Sweep& sweep : plan.sweeps) {
        std::vector<std::vector<std::string>> longer;
        for (const auto& setting : settings) {
            for (const std::string& value : sweep.values) {
                longer.push_back(setting);
                longer.back().push_back(sweep.path + "=" + value);
            }
        }
        settings = std::move(longer);
    }
    std::vector<ExperimentRun> cells;
    // Seed by seed, with the daemons of a setting in succession, so that a slowdown of the machine affects
    // all.
    for (const std::uint64_t seed : plan.seeds) {
        for (const auto& setting : settings) {
            for (std::size_t d = 0; d < plan.daemons.size(); ++d) {
                ExperimentRun c;
                c.daemon = d;
                c.sets = setting;
                c.seed = seed;
                for (std::size_t i = 0; i < setting.size(); ++i) {
                    if (plan.sweeps[i].values.size() > 1)
                        c.setting += (c.setting.empty() ? "" : ", ") + setting[i];
                }
                c.folder = plan.folder + "/day-" + std::to_string(cells.size() + 1);
                cells.push_back(std::move(c));
            }
        }
    }
    return cells;
}

Measures read_measures(const std::string& path) {
    Measures m;
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    rapidjson::Document d;
    d.Parse(text.str().c_str());
    if (d.HasParseError() || !d.IsObject() || !d.HasMember("service")) return m;
    m.verdict = d["verdict"].GetString();
    m.played = m.verdict != "not played" && !d["interrupted"].GetBool();
    const auto& service = d["service"];
    m.whole = service["whole"].GetDouble();
    m.worst_ten = service["worst_ten"].GetDouble();
    m.worst_operation = service["worst_operation"].GetDouble();
    m.worst_tenant = service["worst_tenant"].GetDouble();
    for (const auto& l : d["latency_ms"].GetArray())
        m.max_p99_ms = std::max(m.max_p99_ms, l["p99"].GetDouble());
    m.cpu_us_per_request = d["daemons"]["cpu_us_an_invocation"].GetDouble();
    m.origin_reads = d["counts"]["origin_reads"].GetDouble();
    m.kit_delay_ratio = d["kit_late"]["part_of_day"].GetDouble();
    return m;
}

// NOLINTNEXTLINE(readability-function-cognitive-complexity): see ROADMAP
ExperimentResult execute_experiment(const ExperimentPlan& plan,
                                    const std::function<int(const ExperimentRun&)>& run_cell) {
    ExperimentResult result;
    result.cells = plan_experiment_runs(plan);
    std::map<pid_t, std::size_t> running;
    std::size_t next = 0, done = 0;
    const auto stop = [&] { return plan.interrupted && plan.interrupted(); };
    while (next < result.cells.size() || !running.empty()) {
        while (next < result.cells.size() && static_cast<int>(running.size()) < plan.jobs && !stop()) {
            const ExperimentRun& cell = result.cells[next];
            std::filesystem::create_directories(cell.folder);
            const pid_t parent = getpid();
            const pid_t child = fork();
            if (child < 0) throw std::runtime_error("cannot start a child process");
            if (child == 0) {
                prctl(PR_SET_PDEATHSIG, SIGTERM);
                int code = 2;
                try {
                    if (getppid() == parent) code = run_cell(cell);
                } catch (const std::exception& bad) {
                    std::fprintf(stderr, "%s: %s\n", cell.folder.c_str(), bad.what());
                }
                std::fflush(nullptr);
                _exit(code);
            }
            running.emplace(child, next++);
        }
        if (running.empty()) break;  // interrupted before the next run was started
        int status = 0;
        const pid_t ended = waitpid(-1, &status, WNOHANG);
        if (ended <= 0) {
            if (stop() && !result.was_interrupted) {
                result.was_interrupted = true;
                for (const auto& [pid, cell] : running) kill(pid, SIGTERM);
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            continue;
        }
        const auto found = running.find(ended);
        if (found == running.end()) continue;
        ExperimentRun& cell = result.cells[found->second];
        running.erase(found);
        cell.measures = read_measures(cell.folder + "/report.json");
        ++done;
        if (plan.progress) plan.progress(done, result.cells.size(), cell);
    }
    result.was_interrupted = result.was_interrupted || next < result.cells.size();
    result.pairs = paired_differences(result.cells, plan.daemons.size());
    return result;
}

bool PairedDifference::is_significant() const { return first.size() >= 2 && std::abs(mean) > half_width; }

// NOLINTNEXTLINE(readability-function-cognitive-complexity): see ROADMAP
std::vector<PairedDifference> paired_differences(const std::vector<ExperimentRun>& cells,
                                                 std::size_t daemons) {
    std::vector<std::string> settings;
    for (const ExperimentRun& c : cells) {
        if (std::find(settings.begin(), settings.end(), c.setting) == settings.end())
            settings.push_back(c.setting);
    }
    std::vector<PairedDifference> all;
    for (const std::string& setting : settings) {
        for (std::size_t d = 1; d < daemons; ++d) {
            for (const Measure& m : all_measures()) {
                PairedDifference p;
                p.setting = setting;
                p.daemon = d;
                p.measure = m.name;
                p.unit = m.unit;
                for (const ExperimentRun& a : cells) {
                    if (a.daemon != 0 || a.setting != setting || !a.measures.played) continue;
                    const auto b = std::find_if(cells.begin(), cells.end(), [&](const ExperimentRun& c) {
                        return c.daemon == d && c.setting == setting && c.seed == a.seed && c.measures.played;
                    });
                    if (b == cells.end()) continue;
                    p.first.push_back(a.measures.*(m.value));
                    p.other.push_back(b->measures.*(m.value));
                }
                const std::size_t n = p.first.size();
                if (n == 0) continue;
                for (std::size_t i = 0; i < n; ++i)
                    p.mean += (p.other[i] - p.first[i]) / static_cast<double>(n);
                if (n >= 2) {
                    double squares = 0;
                    for (std::size_t i = 0; i < n; ++i)
                        squares += std::pow(p.other[i] - p.first[i] - p.mean, 2);
                    p.deviation = std::sqrt(squares / static_cast<double>(n - 1));
                    const boost::math::students_t spread(static_cast<double>(n - 1));
                    p.half_width = boost::math::quantile(spread, 0.975) * p.deviation /
                                   std::sqrt(static_cast<double>(n));
                }
                all.push_back(std::move(p));
            }
        }
    }
    return all;
}

// NOLINTNEXTLINE(readability-function-cognitive-complexity): see ROADMAP
std::string experiment_text(const ExperimentPlan& plan, const ExperimentResult& r) {
    std::string out;
    std::map<std::string, int> verdicts;
    for (const ExperimentRun& c : r.cells)
        ++verdicts[c.measures.verdict.empty() ? "not played" : c.measures.verdict];
    out += "days             " + std::to_string(r.cells.size()) + ":";
    for (const auto& [word, count] : verdicts) out += " " + std::to_string(count) + " " + word;
    out += r.was_interrupted ? " (interrupted)\n" : "\n";
    // For each setting and daemon: the mean and the range over the seeds.
    std::vector<std::pair<std::string, std::size_t>> groups;
    for (const ExperimentRun& c : r.cells) {
        const std::pair<std::string, std::size_t> g{c.setting, c.daemon};
        if (std::find(groups.begin(), groups.end(), g) == groups.end()) groups.push_back(g);
    }
    for (const auto& [setting, daemon] : groups) {
        out += short_name(plan.daemons[daemon]) + (setting.empty() ? "" : "  " + setting) + "\n";
        for (const Measure& m : all_measures()) {
            double sum = 0, min = 0, max = 0;
            int n = 0;
            for (const ExperimentRun& c : r.cells) {
                if (c.setting != setting || c.daemon != daemon || !c.measures.played) continue;
                const double v = c.measures.*(m.value);
                min = n == 0 ? v : std::min(min, v);
                max = n == 0 ? v : std::max(max, v);
                sum += v;
                ++n;
            }
            if (n == 0) continue;
            char line[160];
            std::snprintf(line, sizeof line, "    %-26s %12.4f  (%.4f to %.4f) %s\n", m.name, sum / n, min,
                          max, m.unit);
            out += line;
        }
    }
    for (const PairedDifference& p : r.pairs) {
        char line[240];
        std::snprintf(
            line, sizeof line, "%-30s %-26s %+.4f +- %.4f %s over %zu pairs%s\n",
            (short_name(plan.daemons[p.daemon]) + (p.setting.empty() ? "" : " " + p.setting)).c_str(),
            p.measure.c_str(), p.mean, p.half_width, p.unit.c_str(), p.first.size(),
            p.is_significant() ? "" : " (not told apart)");
        out += line;
    }
    return out;
}

// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size): see ROADMAP
void write_experiment(const ExperimentPlan& plan, const ExperimentResult& r) {
    std::ofstream csv(plan.folder + "/experiment.csv");
    csv << "day,daemon,setting,seed,verdict";
    for (const Measure& m : all_measures()) csv << "," << csv_quoted(m.name);
    csv << "\n";
    for (std::size_t i = 0; i < r.cells.size(); ++i) {
        const ExperimentRun& c = r.cells[i];
        csv << i + 1 << "," << csv_quoted(plan.daemons[c.daemon]) << "," << csv_quoted(c.setting) << ","
            << c.seed << "," << csv_quoted(c.measures.verdict);
        for (const Measure& m : all_measures()) csv << "," << format_number(c.measures.*(m.value), "%.6f");
        csv << "\n";
    }
    std::string html =
        "<!doctype html><html lang='en'><head><meta charset='utf-8'><title>experiment</title><style>"
        "body{font:15px/1.5 system-ui,sans-serif;color:#222;max-width:980px;margin:24px auto;padding:0 16px}"
        "svg{width:100%;height:auto;margin:6px 0 12px;font:11px system-ui,sans-serif}svg "
        ".title{font-size:13px;font-weight:600}"
        "svg .label{fill:#666}table{border-collapse:collapse}td,th{padding:3px 12px 3px 0;text-align:left;"
        "border-bottom:1px solid "
        "#eee}pre{background:#f6f6f6;padding:8px;overflow-x:auto}</style></head><body><h1>" +
        escape_html(std::filesystem::path(plan.scenario).stem().string()) + ": experiment</h1>";
    // One chart for each measure, with the settings on the x axis, or the seeds if nothing was swept.
    std::vector<std::string> settings;
    for (const ExperimentRun& c : r.cells) {
        if (std::find(settings.begin(), settings.end(), c.setting) == settings.end())
            settings.push_back(c.setting);
    }
    const bool swept = settings.size() > 1;
    const std::vector<double> positions = axis_positions(plan, settings);
    const bool by_value = !positions.empty();
    for (const Measure& m : all_measures()) {
        Chart chart;
        chart.title = std::string(m.name) + (*m.unit == '\0' ? "" : std::string(" (") + m.unit + ")");
        chart.x_label = by_value ? settings.front().substr(0, settings.front().find('='))
                        : swept  ? "setting, in the order of the table below"
                                 : "seed, in the order played";
        chart.y_label = m.name;
        for (std::size_t d = 0; d < plan.daemons.size(); ++d) {
            ChartCurve curve{short_name(plan.daemons[d])};
            if (swept) {
                for (std::size_t s = 0; s < settings.size(); ++s) {
                    double sum = 0, min = 0, max = 0;
                    int n = 0;
                    for (const ExperimentRun& c : r.cells) {
                        if (c.daemon != d || c.setting != settings[s] || !c.measures.played) continue;
                        const double v = c.measures.*(m.value);
                        min = n == 0 ? v : std::min(min, v);
                        max = n == 0 ? v : std::max(max, v);
                        sum += v;
                        ++n;
                    }
                    if (n == 0) continue;
                    curve.points.emplace_back(by_value ? positions[s] : static_cast<double>(s + 1), sum / n);
                    curve.band.emplace_back(min, max);
                }
            } else {
                double x = 1;
                for (const ExperimentRun& c : r.cells) {
                    if (c.daemon == d && c.measures.played)
                        curve.points.emplace_back(x++, c.measures.*(m.value));
                }
            }
            chart.curves.push_back(std::move(curve));
        }
        html += chart_svg(chart);
    }
    if (swept && !by_value) {
        html += "<table><tr><th></th><th>setting</th></tr>";
        for (std::size_t s = 0; s < settings.size(); ++s) {
            html +=
                "<tr><td>" + std::to_string(s + 1) + "</td><td>" + escape_html(settings[s]) + "</td></tr>";
        }
        html += "</table>";
    }
    html += "<pre>" + escape_html(experiment_text(plan, r)) + "</pre></body></html>\n";
    std::ofstream page(plan.folder + "/experiment.html");
    if (!(page << html << std::flush) || !(csv << std::flush)) {
        throw std::runtime_error("cannot write the experiment's files in " + plan.folder);
    }
}

}  // namespace brookrelay::testkit
