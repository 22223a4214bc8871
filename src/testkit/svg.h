// Line charts as SVG text for embedding in an HTML page. No I/O.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace brookrelay::testkit {

struct ChartCurve {
    std::string name;
    std::string colour = {};  // "" takes the next of a fixed row
    std::vector<std::pair<double, double>> points = {};
    double width = 1.6;
    bool is_dashed = false;
    bool is_in_legend = true;
    std::vector<std::pair<double, double>> band = {};  // lower and upper, one for each point; may be empty
};

struct Chart {
    std::string title, x_label, y_label;
    std::vector<ChartCurve> curves;
    std::vector<std::pair<double, std::string>> marks;  // upright lines, numbered in their order
    bool log_x = false;
    double y_max_at_least = 0;    // the axis goes at least to here
    double y_max = 0;             // and exactly to here, if it is above 0
    double x_min = 0, x_max = 0;  // both 0: as the points have it
};

std::string chart_svg(const Chart& chart);
std::string escape_html(const std::string& text);
std::string format_compact(double value);

}  // namespace brookrelay::testkit
