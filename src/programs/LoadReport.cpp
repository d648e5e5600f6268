#include "programs/LoadReport.h"

#include <boost/json.hpp>

namespace Coltsfootwell {

namespace {

namespace json = boost::json;

constexpr double NsPerMs = 1e6;

json::object countsJson(const std::map<std::string, std::uint64_t> &counts)
{
    json::object object;
    for (const auto &[name, n] : counts) {
        object[name] = n;
    }
    return object;
}

json::object latencyJson(const LoadHistogram &histogram)
{
    const auto ms
        = [](std::chrono::nanoseconds ns) { return static_cast<double>(ns.count()) / NsPerMs; };
    return {{"calls", histogram.count()},
            {"p50Ms", ms(histogram.quantile(0.5))},
            {"p90Ms", ms(histogram.quantile(0.9))},
            {"p99Ms", ms(histogram.quantile(0.99))},
            {"p99.9Ms", ms(histogram.quantile(0.999))},
            {"maxMs", ms(histogram.max())}};
}

} // namespace

std::string formatOutcome(const LoadResult &result)
{
    return result.reason.empty() ? result.outcome : result.outcome + '/' + result.reason;
}

std::string encodeLoadReport(const LoadSummary &summary)
{
    LoadHistogram all;
    LoadHistogram run;
    std::map<std::string, LoadHistogram> kinds;
    std::uint64_t crossed = 0;
    std::uint64_t truncated = 0;
    for (const LoadResult &result : summary.results) {
        const std::chrono::nanoseconds latency(result.end - result.intendedStart);
        all.add(latency);
        kinds[result.kind].add(latency);
        if (result.outcome == "run") {
            run.add(latency);
        }
        crossed += result.crossed ? 1 : 0;
        truncated += result.status != 0 && !result.complete ? 1 : 0;
    }
    json::object byKind;
    for (const auto &[name, histogram] : kinds) {
        byKind[name] = latencyJson(histogram);
    }
    const json::object report {{"planned", summary.planned},
                               {"finished", summary.results.size()},
                               {"latency", latencyJson(all)},
                               {"latencyOfRun", latencyJson(run)},
                               {"latencyByKind", byKind},
                               {"status", countsJson(summary.countBy([](const LoadResult &r) {
                                    return r.status == 0 ? std::string("none")
                                                         : std::to_string(r.status);
                                }))},
                               {"outcome", countsJson(summary.countBy(formatOutcome))},
                               {"servedBy", countsJson(summary.countBy([](const LoadResult &r) {
                                    return r.servedBy.empty() ? std::string("none") : r.servedBy;
                                }))},
                               {"cutAnswers", truncated},
                               {"crossedAnswers", crossed}};
    return json::serialize(report) + '\n';
}

std::string encodeHistoryLine(const LoadResult &result)
{
    return json::serialize(json::object {{"call", result.call},
                                         {"order", result.order},
                                         {"kind", result.kind},
                                         {"begin", result.intendedStart},
                                         {"end", result.end},
                                         {"status", result.status},
                                         {"outcome", result.outcome},
                                         {"reason", result.reason},
                                         {"servedBy", result.servedBy},
                                         {"answerBytes", result.answerBytes},
                                         {"answerHash", result.answerHash},
                                         {"whole", result.complete},
                                         {"crossed", result.crossed},
                                         {"tries", result.tries},
                                         {"target", result.target}})
        + '\n';
}

} // namespace Coltsfootwell
