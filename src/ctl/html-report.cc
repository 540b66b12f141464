// Renders the report as HTML with SVG charts.
#include "cornelhead/ctl/html-report.h"

#include <algorithm>

#include "cornelhead/ctl/output.h"

namespace cornelhead {
namespace detail {

constexpr std::int64_t chartWidth = 720;
constexpr std::int64_t chartHeight = 120;

constexpr const char *pageHeader = R"(<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>cornelhead report</title>
<style>
body { font-family: sans-serif; margin: 2em; max-width: 60em; }
table { border-collapse: collapse; }
td, th { border-bottom: 1px solid #ccc; padding: 0.2em 0.8em; text-align: left; }
svg { border: 1px solid #ccc; margin: 0.5em 0; }
.share { fill: none; stroke: #1565c0; stroke-width: 2; }
.deadline { stroke: #c62828; stroke-dasharray: 4; }
</style>
</head>
<body>
)";

std::string escapeHtml(std::string_view text)
{
    std::string escaped;
    for (const char c : text) {
        switch (c) {
        case '&':
            escaped += "&amp;";
            break;
        case '<':
            escaped += "&lt;";
            break;
        case '>':
            escaped += "&gt;";
            break;
        case '"':
            escaped += "&quot;";
            break;
        default:
            escaped += c;
        }
    }
    return escaped;
}

std::string tag(const std::string &name, std::string_view text)
{
    std::string html = "<" + name + ">";
    html += escapeHtml(text);
    return html + "</" + name + ">";
}

// Maps the time and share of a move to chart coordinates.
class ShareChart
{
public:
    ShareChart(const Move &move, std::int64_t nowMs) : move_(move), beginMs_(move.startedAtMs)
    {
        const std::int64_t lastMs = move.events.empty() ? beginMs_ : move.events.back().atMs;
        lineEndMs_ = isFinal(move.state) ? lastMs : std::max(nowMs, lastMs);
        // At least one second, which avoids a division by zero.
        endMs_ = std::max({move.deadlineMs, lineEndMs_, beginMs_ + 1000});
    }

    std::string render() const
    {
        std::string svg = "<svg viewBox=\"0 0 " + std::to_string(chartWidth) + " "
                + std::to_string(chartHeight) + "\" width=\"" + std::to_string(chartWidth)
                + "\" height=\"" + std::to_string(chartHeight) + "\">\n";
        const std::string deadline = std::to_string(x(move_.deadlineMs));
        svg += "<line class=\"deadline\" x1=\"" + deadline + "\" y1=\"0\" x2=\"" + deadline
                + "\" y2=\"" + std::to_string(chartHeight) + "\"/>\n";
        svg += "<polyline class=\"share\" points=\"" + points() + "\"/>\n";
        return svg + "</svg>\n";
    }

private:
    std::int64_t x(std::int64_t atMs) const
    {
        const std::int64_t offsetMs = std::clamp(atMs, beginMs_, endMs_) - beginMs_;
        return offsetMs * chartWidth / (endMs_ - beginMs_);
    }

    static std::int64_t y(PerMille share)
    {
        const auto height = static_cast<std::int64_t>(std::min(share, fullShare).value());
        return chartHeight - height * chartHeight / static_cast<std::int64_t>(fullShare.value());
    }

    static std::string point(std::int64_t atX, std::int64_t atY)
    {
        return std::to_string(atX) + "," + std::to_string(atY) + " ";
    }

    // A step function: each share lasts until the next event.
    std::string points() const
    {
        std::string text;
        std::int64_t lineY = y(PerMille(0));
        for (const MoveEvent &event : move_.events) {
            text += point(x(event.atMs), lineY);
            lineY = y(event.share);
            text += point(x(event.atMs), lineY);
        }
        return text + point(x(lineEndMs_), lineY);
    }

    const Move &move_;
    std::int64_t beginMs_;
    std::int64_t lineEndMs_ = 0;
    std::int64_t endMs_ = 0;
};

std::string moveToHtml(const Move &move, std::int64_t nowMs)
{
    std::string html = tag("p",
                           move.oldVersion.value() + " to " + move.newVersion.value() + ": "
                                   + std::string(moveStateName(move.state)) + ", share "
                                   + std::to_string(move.share.value()) + " of 1000, deadline "
                                   + formatTime(move.deadlineMs) + ", "
                                   + std::string(timelinessName(timelinessOf(move, nowMs))));
    if (!move.verdict.empty())
        html += tag("p", "Verdict: " + move.verdict);
    html += ShareChart(move, nowMs).render();
    html += "<table>\n<tr><th>Time</th><th>Share of 1000</th><th>Event</th></tr>\n";
    for (const MoveEvent &event : move.events) {
        html += "<tr>" + tag("td", formatTime(event.atMs));
        html += tag("td", std::to_string(event.share.value())) + tag("td", event.text) + "</tr>\n";
    }
    return html + "</table>\n";
}

} // namespace detail

std::string reportToHtml(const std::vector<ServiceReport> &reports, std::int64_t nowMs)
{
    std::string html = detail::pageHeader;
    html += detail::tag("h1", "Report of " + formatTime(nowMs)) + "\n";
    for (const ServiceReport &report : reports) {
        html += detail::tag("h2", report.service.value() + " " + report.version.value()) + "\n";
        html += report.move ? detail::moveToHtml(*report.move, nowMs)
                            : detail::tag("p", "This service has had no moves.");
    }
    return html + "</body>\n</html>\n";
}

} // namespace cornelhead
