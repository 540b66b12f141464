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

std::string formatNumber(double value)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.1f", value);
    return text.data();
}

/// The time range of a plot.
struct TimeAxis
{
    std::int64_t fromMs = 0;
    std::int64_t toMs = 1;

    double x(std::int64_t atMs) const
    {
        const double fraction = static_cast<double>(atMs - fromMs)
                / static_cast<double>(std::max<std::int64_t>(1, toMs - fromMs));
        return plotMargin + std::clamp(fraction, 0.0, 1.0) * plotWidth;
    }
};

/// A point of a line; `value` is from 0 to the maximum of the plot.
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

std::string drawLine(const PlotLine &line, const TimeAxis &axis, double maximum)
{
    std::string points;
    for (const PlotPoint &point : line.points) {
        const double y = plotHeight * (1.0 - point.value / maximum) + 10;
        points += formatNumber(axis.x(point.atMs)) + "," + formatNumber(y) + " ";
    }
    return "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" + line.colour + "\" points=\""
            + points + "\"/>";
}

std::string drawPlot(const std::string &title, const std::vector<PlotLine> &lines,
                     const TimeAxis &axis, double maximum, const std::string &maximumText)
{
    std::string svg = "<svg width=\"" + formatNumber(plotWidth + 2 * plotMargin) + "\" height=\""
            + formatNumber(plotHeight + 30) + "\" role=\"img\"><title>" + title + "</title>";
    svg += "<rect x=\"" + formatNumber(plotMargin) + "\" y=\"10\" width=\""
            + formatNumber(plotWidth) + "\" height=\"" + formatNumber(plotHeight)
            + "\" fill=\"#f6f6f6\"/>";
    svg += "<text x=\"2\" y=\"18\">" + maximumText + "</text><text x=\"2\" y=\""
            + formatNumber(plotHeight + 10) + "\">0</text>";
    svg += "<text x=\"" + formatNumber(plotMargin) + "\" y=\"" + formatNumber(plotHeight + 26)
            + "\">" + title + "</text>";
    for (const PlotLine &line : lines)
        svg += drawLine(line, axis, maximum);
    return svg + "</svg>\n";
}

PlotLine makeLine(const Move &move, const std::string &colour,
                  const std::function<const VersionEvidence &(const MoveEvent &)> &version,
                  const std::function<double(const VersionEvidence &)> &value)
{
    PlotLine line{colour, {}};
    for (const MoveEvent &event : move.events)
        if (version(event).calls > 0)
            line.points.push_back({event.atMs, value(version(event))});
    return line;
}

std::string drawComparison(const std::string &title, const Move &move, const TimeAxis &axis,
                           const std::function<double(const VersionEvidence &)> &value,
                           double minMaximum, const std::string &unit)
{
    const auto newer
            = [](const MoveEvent &event) -> const VersionEvidence & { return event.newer; };
    const auto older
            = [](const MoveEvent &event) -> const VersionEvidence & { return event.older; };
    const std::vector<PlotLine> lines
            = {makeLine(move, "#c0392b", newer, value), makeLine(move, "#2471a3", older, value)};
    double maximum = minMaximum;
    for (const PlotLine &line : lines)
        for (const PlotPoint &point : line.points)
            maximum = std::max(maximum, point.value);
    return drawPlot(title, lines, axis, maximum, formatNumber(maximum) + unit);
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
    return detail::drawComparison("failed calls, percent", move, axis, failures, 1.0, " %")
            + detail::drawComparison("latency, 95th percentile", move, axis, latency, 1.0, " ms");
}

} // namespace cornelhead
