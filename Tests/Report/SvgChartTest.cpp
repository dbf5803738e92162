#include "Report/SvgChart.h"

#include <catch2/catch.hpp>

using namespace almondscale;

namespace {

std::size_t occurrences(const std::string& text, const std::string& part)
{
    std::size_t found = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++found;
    return found;
}

} // namespace

TEST_CASE("SvgChart, two panels, draws a line and a legend entry for each series")
{
    const SvgChart chart { "title", "time (s)",
        { { "first", "a", { { "one", { { 0, 1 }, { 5, 2 } } }, { "two", { { 0, 3 } } } } },
            { "second", "b", { { "three", { { 2, 2 } } } } } } };
    const auto svg = chart.render();
    CHECK(occurrences(svg, "<polyline ") == 3);
    for (const char* text : { ">title<", ">time (s)<", ">first<", ">second<", ">one<", ">two<", ">three<" })
        CHECK(occurrences(svg, text) == 1);
}

TEST_CASE("SvgChart, markup in a name, is escaped")
{
    const SvgChart chart { "a<b & \"c\">", "x", { { "p", "y", {} } } };
    const auto svg = chart.render();
    CHECK(svg.find("a&lt;b &amp; &quot;c&quot;&gt;") != std::string::npos);
}

TEST_CASE("SvgChart, values from zero to the maximum, lie within the plot area")
{
    const SvgChart chart { "t", "x", { { "p", "y", { { "s", { { 0, 0 }, { 10, 7 } } } } } } };
    const auto svg = chart.render();
    // The point at the origin lies on the left margin, the one with the highest x on the right margin.
    CHECK(svg.find("points=\"84,") != std::string::npos);
    CHECK(svg.find(" 936,") != std::string::npos);
}
