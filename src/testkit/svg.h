// Line charts as SVG text for embedding in an HTML page. No I/O.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace brookrelay::testkit {

struct Curve2d {
    std::string name;
    std::string colour = {};  // "" takes the next of a fixed row
    std::vector<std::pair<double, double>> points = {};
    double width = 1.6;
    bool dashed = false;
    bool in_legend = true;
    std::vector<std::pair<double, double>> band = {};  // lower and upper, one for each point; may be empty
};

struct Chart {
    std::string title, x_label, y_label;
    std::vector<Curve2d> curves;
    std::vector<std::pair<double, std::string>> marks;  // upright lines, numbered in their order
    bool log_x = false;
    double y_least_top = 0;       // the axis goes at least to here
    double y_top = 0;             // and exactly to here, if it is above 0
    double x_from = 0, x_to = 0;  // both 0: as the points have it
};

std::string svg_text(const Chart& chart);
std::string html_escaped(const std::string& text);
std::string short_number(double value);

}  // namespace brookrelay::testkit
