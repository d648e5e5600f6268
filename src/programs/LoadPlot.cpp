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
/// Room in pixels that the label of a quantile takes.
constexpr double MarkLabelWidth = 120;
constexpr double NsPerMs = 1e6;
constexpr double NsPerSecond = 1e9;
/// More points make the file large without showing more.
constexpr std::size_t MaxPoints = 5000;

/// One axis with a linear or logarithmic scale.
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

std::vector<double> decades(const Axis &axis)
{
    std::vector<double> ticks;
    // Up to two decades would have no more than three ticks without those between.
    const bool few = axis.to / axis.from < 101;
    for (double v = axis.from; v <= axis.to * 1.01; v *= 10) {
        ticks.push_back(v);
        if (few && v * 9.9 < axis.to) {
            ticks.push_back(2 * v);
            ticks.push_back(5 * v);
        }
    }
    return ticks;
}

/// \return about five ticks at multiples of 1, 2 or 5 times a power of ten.
std::vector<double> roundSteps(const Axis &axis)
{
    const double rough = (axis.to - axis.from) / 5;
    const double power = std::pow(10, std::floor(std::log10(rough)));
    const double step = power
        * (rough > 5 * power       ? 10
               : rough > 2 * power ? 5
               : rough > power     ? 2
                                   : 1);
    std::vector<double> ticks;
    for (int i = 0; axis.from + i * step <= axis.to * 1.0001; ++i) {
        ticks.push_back(axis.from + i * step);
    }
    return ticks;
}

void text(std::ostream &out, double x, double y, std::string_view anchor, std::string_view content)
{
    out << "<text x=\"" << x << "\" y=\"" << y << "\" text-anchor=\"" << anchor << "\">" << content
        << "</text>\n";
}

std::string label(double value)
{
    std::ostringstream out;
    out << std::setprecision(4) << value;
    return out.str();
}

void drawFrame(std::ostream &out, const Axis &x, const Axis &y, std::string_view title,
               std::string_view xTitle, std::string_view yTitle)
{
    text(out, Width / 2, y.pixelTo - 12, "middle", title);
    text(out, Width / 2, y.pixelFrom + 40, "middle", xTitle);
    const double middle = (y.pixelFrom + y.pixelTo) / 2;
    out << "<text x=\"18\" y=\"" << middle << "\" text-anchor=\"middle\" transform=\"rotate(-90 18 "
        << middle << ")\">" << yTitle << "</text>\n";
    for (const double v : x.logarithmic ? decades(x) : roundSteps(x)) {
        out << "<path class=\"grid\" d=\"M" << x.at(v) << ' ' << y.pixelFrom << 'V' << y.pixelTo
            << "\"/>\n";
        text(out, x.at(v), y.pixelFrom + 18, "middle", label(v));
    }
    for (const double v : y.logarithmic ? decades(y) : roundSteps(y)) {
        out << "<path class=\"grid\" d=\"M" << x.pixelFrom << ' ' << y.at(v) << 'H' << x.pixelTo
            << "\"/>\n";
        text(out, x.pixelFrom - 6, y.at(v) + 4, "end", label(v));
    }
}

double latencyMs(const LoadResult &result)
{
    return static_cast<double>(result.end - result.begin) / NsPerMs;
}

Axis latencyAxis(const LoadSummary &summary, double pixelFrom, double pixelTo)
{
    double low = 1;
    double high = 1;
    for (const LoadResult &result : summary.results) {
        const double ms = std::max(latencyMs(result), 0.001);
        low = std::min(low, ms);
        high = std::max(high, ms);
    }
    return {std::pow(10, std::floor(std::log10(low))),
            std::max(10.0, std::pow(10, std::ceil(std::log10(high)))), pixelFrom, pixelTo, true};
}

void drawOverTime(std::ostream &out, const LoadSummary &summary)
{
    std::int64_t first = summary.results.empty() ? 0 : summary.results.front().begin;
    std::int64_t last = first + 1;
    for (const LoadResult &result : summary.results) {
        first = std::min(first, result.begin);
        last = std::max(last, result.begin);
    }
    const double seconds = std::max(static_cast<double>(last - first) / NsPerSecond, 0.001);
    const Axis x {0, seconds, Left, Width - Right, false};
    const Axis y = latencyAxis(summary, Top + PanelHeight, Top);
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
            << x.at(static_cast<double>(result.begin - first) / NsPerSecond) << "\" cy=\""
            << y.at(latencyMs(result)) << "\" r=\"2\"/>\n";
    }
}

void drawHistogram(std::ostream &out, const LoadSummary &summary)
{
    LoadHistogram histogram;
    for (const LoadResult &result : summary.results) {
        histogram.add(std::chrono::nanoseconds(result.end - result.begin));
    }
    const double top = 2 * Top + PanelHeight + Bottom;
    std::uint64_t most = 1;
    for (const LoadHistogram::Bucket &bucket : histogram.buckets()) {
        most = std::max(most, bucket.count);
    }
    const Axis x = latencyAxis(summary, Left, Width - Right);
    const Axis y {0, static_cast<double>(most), top + PanelHeight, top, false};
    drawFrame(out, x, y, "Histogram of latencies", "latency [ms]", "calls per bucket");
    for (const LoadHistogram::Bucket &bucket : histogram.buckets()) {
        const double from = x.at(static_cast<double>(bucket.from.count()) / NsPerMs);
        const double to = x.at(static_cast<double>(bucket.to.count()) / NsPerMs);
        const double height = y.at(0) - y.at(static_cast<double>(bucket.count));
        out << "<rect class=\"bar\" x=\"" << from << "\" y=\"" << y.at(0) - height << "\" width=\""
            << std::max(to - from, 1.0) << "\" height=\"" << height << "\"/>\n";
    }
    for (const auto &[share, name] :
         {std::pair(0.5, "p50"), std::pair(0.99, "p99"), std::pair(0.999, "p99.9")}) {
        const double ms = static_cast<double>(histogram.quantile(share).count()) / NsPerMs;
        out << "<path class=\"mark\" d=\"M" << x.at(ms) << ' ' << y.pixelFrom << 'V' << y.pixelTo
            << "\"/>\n";
        const double shift = share > 0.99 ? 38 : share > 0.9 ? 22 : 6;
        // A label beside a mark near the right edge would leave the picture.
        const bool left = x.at(ms) > Width - Right - MarkLabelWidth;
        text(out, x.at(ms) + (left ? -4 : 4), y.pixelTo + shift + 6, left ? "end" : "start",
             std::string(name) + ' ' + label(ms) + " ms");
    }
}

} // namespace

std::string loadPlotSvg(const LoadSummary &summary)
{
    const double height = 2 * (Top + PanelHeight + Bottom);
    std::ostringstream out;
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << Width << "\" height=\"" << height
        << "\" viewBox=\"0 0 " << Width << ' ' << height << "\">\n<style>"
        << "text{font:12px sans-serif;fill:#222} .grid{stroke:#ddd;fill:none} "
        << ".run{fill:#1f6fb4;fill-opacity:.5} .other{fill:#c62828} .bar{fill:#1f6fb4} "
        << ".mark{stroke:#c62828;stroke-dasharray:4 3;fill:none}</style>\n"
        << "<rect width=\"100%\" height=\"100%\" fill=\"#fff\"/>\n";
    drawOverTime(out, summary);
    drawHistogram(out, summary);
    out << "</svg>\n";
    return out.str();
}

} // namespace Coltsfootwell
