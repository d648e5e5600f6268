#include "programs/LoadReport.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace Coltsfootwell {

namespace {

constexpr double Width = 900;
constexpr double PanelHeight = 300;
constexpr double Left = 80;
constexpr double Right = 20;
constexpr double Top = 40;
constexpr double Bottom = 50;
/// Width in pixels reserved for the label of a quantile.
constexpr double QuantileLabelWidth = 120;
constexpr double NsPerMs = 1e6;
constexpr double NsPerSecond = 1e9;
/// Maximum number of points of successful calls; more would enlarge the file without adding visible
/// detail.
constexpr std::size_t MaxPoints = 5000;

/// Axis with a linear or logarithmic scale.
struct Axis
{
    double from;
    double to;
    double pixelFrom;
    double pixelTo;
    bool logarithmic;

    double at(double value) const
    {
        const double v = logarithmic ? std::log10(std::clamp(value, from, to)) : value;
        const double a = logarithmic ? std::log10(from) : from;
        const double b = logarithmic ? std::log10(to) : to;
        return pixelFrom + (v - a) / (b - a) * (pixelTo - pixelFrom);
    }
};

std::vector<double> logarithmicTicks(const Axis &axis)
{
    std::vector<double> ticks;
    // Up to two decades would have at most three ticks without intermediate ones.
    const bool addIntermediateTicks = axis.to / axis.from < 101;
    for (double v = axis.from; v <= axis.to * 1.01; v *= 10) {
        ticks.push_back(v);
        if (addIntermediateTicks && v * 9.9 < axis.to) {
            ticks.push_back(2 * v);
            ticks.push_back(5 * v);
        }
    }
    return ticks;
}

/// \return about five ticks whose spacing is 1, 2 or 5 times a power of ten.
std::vector<double> linearTicks(const Axis &axis)
{
    const double idealStep = (axis.to - axis.from) / 5;
    const double power = std::pow(10, std::floor(std::log10(idealStep)));
    const double step = power
        * (idealStep > 5 * power       ? 10
               : idealStep > 2 * power ? 5
               : idealStep > power     ? 2
                                       : 1);
    std::vector<double> ticks;
    for (int i = 0; axis.from + i * step <= axis.to * 1.0001; ++i) {
        ticks.push_back(axis.from + i * step);
    }
    return ticks;
}

void drawText(std::ostream &out, double x, double y, std::string_view anchor,
              std::string_view content)
{
    out << "<text x=\"" << x << "\" y=\"" << y << "\" text-anchor=\"" << anchor << "\">" << content
        << "</text>\n";
}

std::string formatLabel(double value)
{
    std::ostringstream out;
    out << std::setprecision(4) << value;
    return out.str();
}

void drawFrame(std::ostream &out, const Axis &x, const Axis &y, std::string_view title,
               std::string_view xTitle, std::string_view yTitle)
{
    drawText(out, Width / 2, y.pixelTo - 12, "middle", title);
    drawText(out, Width / 2, y.pixelFrom + 40, "middle", xTitle);
    const double middle = (y.pixelFrom + y.pixelTo) / 2;
    out << "<text x=\"18\" y=\"" << middle << "\" text-anchor=\"middle\" transform=\"rotate(-90 18 "
        << middle << ")\">" << yTitle << "</text>\n";
    for (const double v : x.logarithmic ? logarithmicTicks(x) : linearTicks(x)) {
        out << "<path class=\"grid\" d=\"M" << x.at(v) << ' ' << y.pixelFrom << 'V' << y.pixelTo
            << "\"/>\n";
        drawText(out, x.at(v), y.pixelFrom + 18, "middle", formatLabel(v));
    }
    for (const double v : y.logarithmic ? logarithmicTicks(y) : linearTicks(y)) {
        out << "<path class=\"grid\" d=\"M" << x.pixelFrom << ' ' << y.at(v) << 'H' << x.pixelTo
            << "\"/>\n";
        drawText(out, x.pixelFrom - 6, y.at(v) + 4, "end", formatLabel(v));
    }
}

double latencyMs(const LoadResult &result)
{
    return static_cast<double>(result.end - result.intendedStart) / NsPerMs;
}

Axis makeLatencyAxis(const LoadSummary &summary, double pixelFrom, double pixelTo)
{
    double minMs = 1;
    double maxMs = 1;
    for (const LoadResult &result : summary.results) {
        const double ms = std::max(latencyMs(result), 0.001);
        minMs = std::min(minMs, ms);
        maxMs = std::max(maxMs, ms);
    }
    return {std::pow(10, std::floor(std::log10(minMs))),
            std::max(10.0, std::pow(10, std::ceil(std::log10(maxMs)))), pixelFrom, pixelTo, true};
}

void drawLatencyOverTime(std::ostream &out, const LoadSummary &summary)
{
    std::int64_t first = summary.results.empty() ? 0 : summary.results.front().intendedStart;
    std::int64_t last = first + 1;
    for (const LoadResult &result : summary.results) {
        first = std::min(first, result.intendedStart);
        last = std::max(last, result.intendedStart);
    }
    const double seconds = std::max(static_cast<double>(last - first) / NsPerSecond, 0.001);
    const Axis x {0, seconds, Left, Width - Right, false};
    const Axis y = makeLatencyAxis(summary, Top + PanelHeight, Top);
    drawFrame(out, x, y, "Latency over time (blue: run, red: other outcomes)",
              "intended time of sending [s]", "latency [ms]");
    const std::size_t step = summary.results.size() / MaxPoints + 1;
    for (std::size_t i = 0; i < summary.results.size(); ++i) {
        const LoadResult &result = summary.results[i];
        const bool run = result.outcome == "run";
        if (run && i % step != 0) {
            continue;
        }
        out << "<circle class=\"" << (run ? "run" : "other") << "\" cx=\""
            << x.at(static_cast<double>(result.intendedStart - first) / NsPerSecond) << "\" cy=\""
            << y.at(latencyMs(result)) << "\" r=\"2\"/>\n";
    }
}

void drawHistogram(std::ostream &out, const LoadSummary &summary)
{
    LoadHistogram histogram;
    for (const LoadResult &result : summary.results) {
        histogram.add(std::chrono::nanoseconds(result.end - result.intendedStart));
    }
    const double panelTop = 2 * Top + PanelHeight + Bottom;
    std::uint64_t maxCount = 1;
    for (const LoadHistogram::Bucket &bucket : histogram.buckets()) {
        maxCount = std::max(maxCount, bucket.count);
    }
    const Axis x = makeLatencyAxis(summary, Left, Width - Right);
    const Axis y {0, static_cast<double>(maxCount), panelTop + PanelHeight, panelTop, false};
    drawFrame(out, x, y, "Histogram of latencies", "latency [ms]", "calls per bucket");
    for (const LoadHistogram::Bucket &bucket : histogram.buckets()) {
        const double from = x.at(static_cast<double>(bucket.from.count()) / NsPerMs);
        const double to = x.at(static_cast<double>(bucket.to.count()) / NsPerMs);
        const double height = y.at(0) - y.at(static_cast<double>(bucket.count));
        out << "<rect class=\"bar\" x=\"" << from << "\" y=\"" << y.at(0) - height << "\" width=\""
            << std::max(to - from, 1.0) << "\" height=\"" << height << "\"/>\n";
    }
    for (const auto &[rank, name] :
         {std::pair(0.5, "p50"), std::pair(0.99, "p99"), std::pair(0.999, "p99.9")}) {
        const double ms = static_cast<double>(histogram.quantile(rank).count()) / NsPerMs;
        out << "<path class=\"mark\" d=\"M" << x.at(ms) << ' ' << y.pixelFrom << 'V' << y.pixelTo
            << "\"/>\n";
        const double shift = rank > 0.99 ? 38 : rank > 0.9 ? 22 : 6;
        // A label to the right of a mark near the right edge would be cut off.
        const bool leftOfMark = x.at(ms) > Width - Right - QuantileLabelWidth;
        drawText(out, x.at(ms) + (leftOfMark ? -4 : 4), y.pixelTo + shift + 6,
                 leftOfMark ? "end" : "start", std::string(name) + ' ' + formatLabel(ms) + " ms");
    }
}

} // namespace

std::string renderLoadPlot(const LoadSummary &summary)
{
    const double height = 2 * (Top + PanelHeight + Bottom);
    std::ostringstream out;
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << Width << "\" height=\"" << height
        << "\" viewBox=\"0 0 " << Width << ' ' << height << "\">\n<style>"
        << "text{font:12px sans-serif;fill:#222} .grid{stroke:#ddd;fill:none} "
        << ".run{fill:#1f6fb4;fill-opacity:.5} .other{fill:#c62828} .bar{fill:#1f6fb4} "
        << ".mark{stroke:#c62828;stroke-dasharray:4 3;fill:none}</style>\n"
        << "<rect width=\"100%\" height=\"100%\" fill=\"#fff\"/>\n";
    drawLatencyOverTime(out, summary);
    drawHistogram(out, summary);
    out << "</svg>\n";
    return out.str();
}

} // namespace Coltsfootwell
