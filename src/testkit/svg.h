// Line charts as SVG text for embedding in an HTML page. No I/O.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace brookrelay::testkit {

struct ChartCurve {
    std::string name;
    std::string colour = {};  // empty: the next of a fixed list
    std::vector<std::pair<double, double>> points = {};
    double width = 1.6;
    bool is_dashed = false;
    bool is_in_legend = true;
    std::vector<std::pair<double, double>> band = {};  // lower and upper bound for each point; may be empty
};

struct Chart {
    std::string title, x_label, y_label;
    std::vector<ChartCurve> curves;
    std::vector<std::pair<double, std::string>> marks;  // vertical lines, numbered in this order
    bool log_x = false;
    double y_max_at_least = 0;    // the y axis ends at this value or above
    double y_max = 0;             // if above 0, the y axis ends at exactly this value
    double x_min = 0, x_max = 0;  // range of the x axis; both 0: that of the points
};

std::string chart_svg(const Chart& chart);
std::string escape_html(const std::string& text);
// Formats a number for an axis, with k or M for large values.
std::string format_compact(double value);

}  // namespace brookrelay::testkit
