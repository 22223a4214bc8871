#include "testkit/svg.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <limits>

namespace brookrelay::testkit {
namespace {

constexpr double kWidth = 940, kHeight = 250, kLeft = 58, kRight = 14, kTop = 34, kBottom = 38;
constexpr const char* kColours[] = {"#1f6f8b", "#c8553d", "#588157", "#8e5fa2", "#b08900",
                                    "#3d5a80", "#9b2226", "#6c757d", "#2a9d8f", "#e07a5f"};

std::string format_coordinate(double v) {
    char buffer[32];
    std::snprintf(buffer, sizeof buffer, "%.1f", v);
    return buffer;
}

// Returns the smallest round step that divides a span into at most `target_steps` steps.
double round_step(double span, int target_steps) {
    const double raw = span / target_steps;
    const double power = std::pow(10.0, std::floor(std::log10(raw)));
    for (const double m : {1.0, 2.0, 5.0}) {
        if (raw <= m * power) return m * power;
    }
    return 10 * power;
}

struct Frame {
    double x0 = 0, x1 = 1, y1 = 1;
    bool log_x = false;
    double x(double v) const {
        const double part = log_x ? (std::log10(v) - std::log10(x0)) / (std::log10(x1) - std::log10(x0))
                                  : (v - x0) / (x1 - x0);
        return kLeft + part * (kWidth - kLeft - kRight);
    }
    double y(double v) const {
        return kHeight - kBottom - std::clamp(v / y1, 0.0, 1.0) * (kHeight - kTop - kBottom);
    }
};

Frame compute_frame(const Chart& c) {
    Frame f;
    f.log_x = c.log_x;
    double x_min = std::numeric_limits<double>::infinity(), x_max = -x_min, y_max = c.y_max_at_least;
    for (const ChartCurve& curve : c.curves) {
        for (const auto& [x, y] : curve.points) {
            if (c.log_x && x <= 0) continue;
            x_min = std::min(x_min, x);
            x_max = std::max(x_max, x);
            y_max = std::max(y_max, y);
        }
        for (const auto& [low, high] : curve.band) y_max = std::max(y_max, high);
    }
    if (c.x_min != 0 || c.x_max != 0) x_min = c.x_min, x_max = c.x_max;
    if (!(x_max > x_min)) x_min = std::isfinite(x_min) ? x_min : 0, x_max = x_min + 1;
    if (c.log_x && x_min <= 0) x_min = x_max / 10;  // there are no points, but the axis is still drawn
    f.x0 = x_min;
    f.x1 = x_max;
    f.y1 = c.y_max > 0 ? c.y_max : y_max > 0 ? y_max * 1.05 : 1;
    return f;
}

std::string svg_line(double x1, double y1, double x2, double y2, const std::string& style) {
    return "<line x1='" + format_coordinate(x1) + "' y1='" + format_coordinate(y1) + "' x2='" +
           format_coordinate(x2) + "' y2='" + format_coordinate(y2) + "' style='" + style + "'/>";
}

std::string svg_label(double x, double y, const std::string& anchor, const std::string& text,
                      const char* attributes = "") {
    return "<text x='" + format_coordinate(x) + "' y='" + format_coordinate(y) + "' text-anchor='" + anchor +
           "' " + attributes + ">" + escape_html(text) + "</text>";
}

std::string svg_axes(const Chart& c, const Frame& f) {
    std::string out;
    const double y_step = round_step(f.y1, 5);
    for (double v = 0; v <= f.y1 * 1.0001; v += y_step) {
        out += svg_line(kLeft, f.y(v), kWidth - kRight, f.y(v), "stroke:#e5e5e5");
        out += svg_label(kLeft - 6, f.y(v) + 4, "end", format_compact(v));
    }
    if (f.log_x) {
        for (double v = std::pow(10.0, std::ceil(std::log10(f.x0) - 1e-9)); v <= f.x1 * 1.0001; v *= 10) {
            out += svg_line(f.x(v), kTop, f.x(v), kHeight - kBottom, "stroke:#e5e5e5");
            out += svg_label(f.x(v), kHeight - kBottom + 15, "middle", format_compact(v));
        }
    } else {
        const double x_step = round_step(f.x1 - f.x0, 10);
        for (double v = std::ceil(f.x0 / x_step) * x_step; v <= f.x1 * 1.0001; v += x_step) {
            out += svg_label(f.x(v), kHeight - kBottom + 15, "middle", format_compact(v));
        }
    }
    out += svg_line(kLeft, kHeight - kBottom, kWidth - kRight, kHeight - kBottom, "stroke:#888");
    out += svg_label((kLeft + kWidth) / 2, kHeight - 6, "middle", c.x_label, "class='label'");
    out += "<text class='label' text-anchor='middle' transform='translate(13," +
           format_coordinate((kTop + kHeight - kBottom) / 2) + ") rotate(-90)'>" + escape_html(c.y_label) +
           "</text>";
    return out;
}

}  // namespace

std::string escape_html(const std::string& text) {
    std::string out;
    for (const char c : text) {
        switch (c) {
            case '<':
                out += "&lt;";
                break;
            case '>':
                out += "&gt;";
                break;
            case '&':
                out += "&amp;";
                break;
            case '\'':
                out += "&#39;";
                break;
            case '"':
                out += "&quot;";
                break;
            default:
                out += c;
        }
    }
    return out;
}

std::string format_compact(double value) {
    char buffer[32];
    if (std::abs(value) >= 1e6) {
        std::snprintf(buffer, sizeof buffer, "%gM", value / 1e6);
    } else if (std::abs(value) >= 1e4) {
        std::snprintf(buffer, sizeof buffer, "%gk", value / 1e3);
    } else {
        std::snprintf(buffer, sizeof buffer, "%.4g", value);
    }
    return buffer;
}

// NOLINTNEXTLINE(readability-function-cognitive-complexity): see ROADMAP
std::string chart_svg(const Chart& c) {
    const Frame f = compute_frame(c);
    std::string out =
        "<svg viewBox='0 0 " + format_coordinate(kWidth) + " " + format_coordinate(kHeight) + "' role='img'>";
    out += svg_label(kLeft, 16, "start", c.title, "class='title'");
    out += svg_axes(c, f);
    int number = 0;
    for (const auto& [x, name] : c.marks) {
        ++number;
        if (x < f.x0 || x > f.x1) continue;
        out += svg_line(f.x(x), kTop, f.x(x), kHeight - kBottom, "stroke:#b5651d;stroke-dasharray:2 3");
        // Consecutive marks have their numbers in different rows, so that the numbers of close marks are
        // legible.
        out += svg_label(f.x(x) + 2, kTop + 8 + 9 * ((number - 1) % 3), "start", std::to_string(number),
                         "class='mark'");
    }
    std::size_t next_colour = 0;
    double legend_x = kWidth - kRight;
    std::string legend;
    for (const ChartCurve& curve : c.curves) {
        const std::string colour =
            curve.colour.empty() ? kColours[next_colour++ % std::size(kColours)] : curve.colour;
        if (curve.band.size() == curve.points.size() && !curve.band.empty()) {
            std::string area;
            for (std::size_t i = 0; i < curve.points.size(); ++i) {
                area += format_coordinate(f.x(curve.points[i].first)) + "," +
                        format_coordinate(f.y(curve.band[i].second)) + " ";
            }
            for (std::size_t i = curve.points.size(); i-- > 0;) {
                area += format_coordinate(f.x(curve.points[i].first)) + "," +
                        format_coordinate(f.y(curve.band[i].first)) + " ";
            }
            out += "<polygon points='" + area + "' style='fill:" + colour + ";opacity:.18'/>";
        }
        std::string points;
        for (const auto& [x, y] : curve.points) {
            if (c.log_x && x <= 0) continue;
            points += format_coordinate(f.x(x)) + "," + format_coordinate(f.y(y)) + " ";
        }
        out += "<polyline points='" + points + "' style='fill:none;stroke:" + colour +
               ";stroke-width:" + format_coordinate(curve.width) +
               (curve.is_dashed ? ";stroke-dasharray:5 4" : "") + "'/>";
        if (!curve.is_in_legend) continue;
        legend += svg_label(legend_x, 16, "end", curve.name, ("fill='" + colour + "'").c_str());
        legend_x -= 8.0 + 6.4 * static_cast<double>(curve.name.size());
    }
    return out + legend + "</svg>";
}

}  // namespace brookrelay::testkit
