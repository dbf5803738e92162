#pragma once

#include <string>
#include <vector>

namespace almondscale {

struct ChartPoint {
    double x = 0;
    double y = 0;
};

// One line of a chart; the name is shown in the legend.
struct ChartSeries {
    std::string name;
    std::vector<ChartPoint> points;
};

// One pair of axes. The panels of a chart are stacked vertically.
struct ChartPanel {
    std::string title;
    std::string yLabel;
    std::vector<ChartSeries> series;
};

// A line chart whose panels share the range of the horizontal axis.
struct SvgChart {
    std::string title;
    std::string xLabel;
    std::vector<ChartPanel> panels;

    std::string render() const;
};

} // namespace almondscale
