#include "Report/SvgChart.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <sstream>

namespace almondscale {

namespace {

    // All lengths are in pixels.
    constexpr double width = 960;
    constexpr double panelHeight = 260;
    constexpr double titleHeight = 44;
    constexpr double leftMargin = 84;
    constexpr double rightMargin = 24;
    constexpr double panelTop = 58;
    constexpr double panelBottom = 30;
    constexpr double axisHeight = 44;
    constexpr double legendStep = 210;
    constexpr int maxTickIntervals = 5;

    // A palette that readers with red-green colour blindness can distinguish.
    constexpr std::array<const char*, 8> colours { "#0072b2", "#d55e00", "#009e73", "#cc79a7", "#56b4e9",
        "#e69f00", "#000000", "#999999" };
    constexpr std::array<const char*, 4> dashes { "none", "8 3", "2 3", "10 3 2 3" };

    struct Range {
        double low = 0;
        double high = 0;
    };

    std::string escaped(const std::string& text)
    {
        std::string result;
        for (const char c : text) {
            if (c == '&')
                result += "&amp;";
            else if (c == '<')
                result += "&lt;";
            else if (c == '>')
                result += "&gt;";
            else if (c == '"')
                result += "&quot;";
            else
                result += c;
        }
        return result;
    }

    std::string formatNumber(double value)
    {
        char text[32];
        std::snprintf(text, sizeof text, "%.6g", value);
        return text;
    }

    // Returns a tick step of 1, 2 or 5 times a power of ten.
    double tickStep(const Range& range)
    {
        const double minStep = (range.high - range.low) / maxTickIntervals;
        const double power = std::pow(10, std::floor(std::log10(minStep)));
        for (const double factor : { 1.0, 2.0, 5.0 }) {
            if (minStep <= factor * power)
                return factor * power;
        }
        return 10 * power;
    }

    // Both axes start at zero.
    Range xRange(const std::vector<ChartPanel>& panels)
    {
        Range range;
        for (const auto& panel : panels) {
            for (const auto& series : panel.series) {
                for (const auto& point : series.points)
                    range.high = std::max(range.high, point.x);
            }
        }
        if (range.high <= 0)
            range.high = 1;
        return range;
    }

    Range yRange(const ChartPanel& panel)
    {
        Range range;
        for (const auto& series : panel.series) {
            for (const auto& point : series.points)
                range.high = std::max(range.high, point.y);
        }
        if (range.high <= 0)
            range.high = 1;
        range.high = std::ceil(range.high / tickStep(range)) * tickStep(range);
        return range;
    }

    // Maps values to pixel coordinates within one panel.
    class PlotArea {
    public:
        PlotArea(const Range& x, const Range& y, double top)
            : m_x(x)
            , m_y(y)
            , m_top(top)
        {
        }

        double x(double value) const
        {
            return leftMargin + (value - m_x.low) / (m_x.high - m_x.low) * (width - leftMargin - rightMargin);
        }
        double y(double value) const
        {
            return bottom() - (value - m_y.low) / (m_y.high - m_y.low) * (bottom() - top());
        }
        double top() const { return m_top + panelTop; }
        double bottom() const { return m_top + panelHeight - panelBottom; }

    private:
        Range m_x;
        Range m_y;
        double m_top;
    };

    void drawText(std::ostream& out, double x, double y, const std::string& text, const char* attributes)
    {
        out << "<text x=\"" << formatNumber(x) << "\" y=\"" << formatNumber(y) << "\" " << attributes << ">"
            << escaped(text) << "</text>\n";
    }

    void drawLine(std::ostream& out, double x1, double y1, double x2, double y2, const char* attributes)
    {
        out << "<line x1=\"" << formatNumber(x1) << "\" y1=\"" << formatNumber(y1) << "\" x2=\""
            << formatNumber(x2) << "\" y2=\"" << formatNumber(y2) << "\" " << attributes << "/>\n";
    }

    void drawAxes(std::ostream& out, const PlotArea& area, const Range& x, const Range& y)
    {
        for (double value = y.low; value <= y.high * 1.0001; value += tickStep(y)) {
            drawLine(
                out, leftMargin, area.y(value), width - rightMargin, area.y(value), "stroke=\"#dddddd\"");
            drawText(out, leftMargin - 8, area.y(value) + 4, formatNumber(value), "text-anchor=\"end\"");
        }
        for (double value = x.low; value <= x.high * 1.0001; value += tickStep(x)) {
            drawLine(
                out, area.x(value), area.bottom(), area.x(value), area.bottom() + 5, "stroke=\"#333333\"");
            drawText(out, area.x(value), area.bottom() + 19, formatNumber(value), "text-anchor=\"middle\"");
        }
        drawLine(out, leftMargin, area.bottom(), width - rightMargin, area.bottom(), "stroke=\"#333333\"");
        drawLine(out, leftMargin, area.top(), leftMargin, area.bottom(), "stroke=\"#333333\"");
    }

    std::string strokeAttributes(std::size_t index)
    {
        return std::string("stroke=\"") + colours[index % colours.size()]
            + "\" stroke-width=\"2\" stroke-dasharray=\"" + dashes[index % dashes.size()]
            + "\" fill=\"none\"";
    }

    void drawSeries(std::ostream& out, const PlotArea& area, const ChartSeries& series, std::size_t index)
    {
        out << "<polyline " << strokeAttributes(index) << " points=\"";
        for (const auto& point : series.points)
            out << formatNumber(area.x(point.x)) << "," << formatNumber(area.y(point.y)) << " ";
        out << "\"/>\n";
    }

    void drawLegend(std::ostream& out, const ChartPanel& panel, double top)
    {
        const double y = top + 40;
        double x = leftMargin;
        for (std::size_t i = 0; i < panel.series.size(); ++i) {
            drawLine(out, x, y - 4, x + 32, y - 4, strokeAttributes(i).c_str());
            drawText(out, x + 38, y, panel.series[i].name, "text-anchor=\"start\"");
            x += legendStep;
        }
    }

    void drawPanel(std::ostream& out, const ChartPanel& panel, const Range& x, double top)
    {
        const Range y = yRange(panel);
        const PlotArea area(x, y, top);
        drawText(out, leftMargin, top + 18, panel.title, "font-weight=\"bold\"");
        drawLegend(out, panel, top);
        drawAxes(out, area, x, y);
        const double middle = (area.top() + area.bottom()) / 2;
        const std::string rotated
            = "text-anchor=\"middle\" transform=\"rotate(-90 20 " + formatNumber(middle) + ")\"";
        drawText(out, 20, middle, panel.yLabel, rotated.c_str());
        for (std::size_t i = 0; i < panel.series.size(); ++i)
            drawSeries(out, area, panel.series[i], i);
    }

} // namespace

std::string SvgChart::render() const
{
    const double height = titleHeight + panelHeight * static_cast<double>(panels.size()) + axisHeight;
    const Range x = xRange(panels);
    std::ostringstream out;
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << formatNumber(width) << "\" height=\""
        << formatNumber(height) << "\" font-family=\"sans-serif\" font-size=\"13\">\n"
        << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
    drawText(out, leftMargin, 28, title, "font-size=\"17\" font-weight=\"bold\"");
    double top = titleHeight;
    for (const auto& panel : panels) {
        drawPanel(out, panel, x, top);
        top += panelHeight;
    }
    drawText(out, (leftMargin + width - rightMargin) / 2, top + 20, xLabel, "text-anchor=\"middle\"");
    out << "</svg>\n";
    return out.str();
}

} // namespace almondscale
