// Draws failures and latencies of both versions as SVG.
#include "cornelhead/rollout/evidence-charts.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

namespace cornelhead {
namespace detail {
namespace {

constexpr double plotWidth = 640;
constexpr double plotHeight = 90;
constexpr double plotMargin = 48;

std::string number(double value)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.1f", value);
    return text.data();
}

/// The stretch of time of a plot.
struct TimeAxis
{
    std::int64_t fromMs = 0;
    std::int64_t toMs = 1;

    double x(std::int64_t atMs) const
    {
        const double part = static_cast<double>(atMs - fromMs)
                / static_cast<double>(std::max<std::int64_t>(1, toMs - fromMs));
        return plotMargin + std::clamp(part, 0.0, 1.0) * plotWidth;
    }
};

/// One point of a line; `value` goes from 0 to the highest of the plot.
struct PlotPoint
{
    std::int64_t atMs = 0;
    double value = 0;
};

struct PlotLine
{
    std::string colour;
    std::vector<PlotPoint> points;
};

std::string drawLine(const PlotLine &line, const TimeAxis &axis, double highest)
{
    std::string points;
    for (const PlotPoint &point : line.points) {
        const double y = plotHeight * (1.0 - point.value / highest) + 10;
        points += number(axis.x(point.atMs)) + "," + number(y) + " ";
    }
    return "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" + line.colour + "\" points=\""
            + points + "\"/>";
}

std::string drawPlot(const std::string &title, const std::vector<PlotLine> &lines,
                     const TimeAxis &axis, double highest, const std::string &highestText)
{
    std::string svg = "<svg width=\"" + number(plotWidth + 2 * plotMargin) + "\" height=\""
            + number(plotHeight + 30) + "\" role=\"img\"><title>" + title + "</title>";
    svg += "<rect x=\"" + number(plotMargin) + "\" y=\"10\" width=\"" + number(plotWidth)
            + "\" height=\"" + number(plotHeight) + "\" fill=\"#f6f6f6\"/>";
    svg += "<text x=\"2\" y=\"18\">" + highestText + "</text><text x=\"2\" y=\""
            + number(plotHeight + 10) + "\">0</text>";
    svg += "<text x=\"" + number(plotMargin) + "\" y=\"" + number(plotHeight + 26) + "\">" + title
            + "</text>";
    for (const PlotLine &line : lines)
        svg += drawLine(line, axis, highest);
    return svg + "</svg>\n";
}

PlotLine lineOf(const Move &move, const std::string &colour,
                const std::function<const VersionEvidence &(const MoveEvent &)> &version,
                const std::function<double(const VersionEvidence &)> &value)
{
    PlotLine line{colour, {}};
    for (const MoveEvent &event : move.events)
        if (version(event).calls > 0)
            line.points.push_back({event.atMs, value(version(event))});
    return line;
}

std::string drawBoth(const std::string &title, const Move &move, const TimeAxis &axis,
                     const std::function<double(const VersionEvidence &)> &value, double least,
                     const std::string &unit)
{
    const auto newer
            = [](const MoveEvent &event) -> const VersionEvidence & { return event.newer; };
    const auto older
            = [](const MoveEvent &event) -> const VersionEvidence & { return event.older; };
    const std::vector<PlotLine> lines
            = {lineOf(move, "#c0392b", newer, value), lineOf(move, "#2471a3", older, value)};
    double highest = least;
    for (const PlotLine &line : lines)
        for (const PlotPoint &point : line.points)
            highest = std::max(highest, point.value);
    return drawPlot(title, lines, axis, highest, number(highest) + unit);
}

} // namespace
} // namespace detail

std::string renderEvidenceCharts(const Move &move, std::int64_t nowMs)
{
    detail::TimeAxis axis{move.startedAtMs, std::max(move.startedAtMs + 1, nowMs)};
    if (isFinal(move.state) && !move.events.empty())
        axis.toMs = std::max(move.startedAtMs + 1, move.events.back().atMs);
    const auto failures = [](const VersionEvidence &evidence) {
        return 100.0 * static_cast<double>(evidence.failures) / static_cast<double>(evidence.calls);
    };
    const auto latency = [](const VersionEvidence &evidence) {
        return static_cast<double>(evidence.latencyP95.count()) / 1000.0;
    };
    return detail::drawBoth("failed calls, percent", move, axis, failures, 1.0, " %")
            + detail::drawBoth("latency, 95th percentile", move, axis, latency, 1.0, " ms");
}

} // namespace cornelhead
