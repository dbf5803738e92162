#pragma once

#include <string>
#include <vector>

namespace almondscale {

struct ChartPoint {
    double x = 0;
    double y = 0;
};

// One line of a chart, with its name in the legend.
struct ChartSeries {
    std::string name;
    std::vector<ChartPoint> points;
};

// One pair of axes; the panels of a chart lie below each other.
struct ChartPanel {
    std::string title;
    std::string yLabel;
    std::vector<ChartSeries> series;
};

// A picture of lines over a common horizontal axis.
struct SvgChart {
    std::string title;
    std::string xLabel;
    std::vector<ChartPanel> panels;

    std::string render() const;
};

} // namespace almondscale
