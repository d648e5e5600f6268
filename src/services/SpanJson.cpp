#include "services/SpanJson.h"

#include "wire/TraceContext.h"

#include <boost/json.hpp>

namespace Coltsfootwell {

namespace {

namespace json = boost::json;

/// Span kinds and status codes of the OpenTelemetry protocol.
constexpr int KindServer = 2;
constexpr int StatusOk = 1;
constexpr int StatusError = 2;

json::object attribute(std::string_view key, std::string_view value)
{
    return {{"key", key}, {"value", json::object {{"stringValue", value}}}};
}

std::string nanoseconds(std::chrono::system_clock::duration sinceEpoch)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(sinceEpoch).count());
}

json::object spanObject(const SpanEnded &span)
{
    const TraceContext context = parseTraceContext(span.traceParent).value_or(TraceContext());
    const auto parent = parseTraceContext(span.parent);
    const auto startTime = span.startTime.time_since_epoch();
    json::array attributes {attribute("coltsfootwell.outcome", span.outcome),
                            attribute("http.request.method", span.method)};
    if (!span.service.empty()) {
        attributes.push_back(attribute("coltsfootwell.service", span.service));
    }
    if (!span.reason.empty()) {
        attributes.push_back(attribute("coltsfootwell.reason", span.reason));
    }
    attributes.push_back(attribute("http.response.status_code", std::to_string(span.status)));
    return {{"traceId", formatHex(context.traceHigh) + formatHex(context.traceLow)},
            {"spanId", formatHex(context.span)},
            {"parentSpanId", parent ? formatHex(parent->span) : std::string()},
            {"name", span.name},
            {"kind", KindServer},
            {"startTimeUnixNano", nanoseconds(startTime)},
            {"endTimeUnixNano",
             nanoseconds(
                 startTime
                 + std::chrono::duration_cast<std::chrono::system_clock::duration>(span.elapsed))},
            {"attributes", std::move(attributes)},
            {"status", json::object {{"code", span.outcome == "run" ? StatusOk : StatusError}}}};
}

} // namespace

std::string encodeSpans(std::span<const SpanEnded> spans, std::string_view daemon)
{
    json::array list;
    for (const SpanEnded &span : spans) {
        list.emplace_back(spanObject(span));
    }
    json::object resource {{"attributes",
                            json::array {attribute("service.name", "coltsfootwell"),
                                         attribute("service.instance.id", daemon)}}};
    json::object scope {{"scope", json::object {{"name", "coltsfootwell"}}},
                        {"spans", std::move(list)}};
    json::object resourceSpans {{"resource", std::move(resource)},
                                {"scopeSpans", json::array {std::move(scope)}}};
    return json::serialize(
        json::object {{"resourceSpans", json::array {std::move(resourceSpans)}}});
}

} // namespace Coltsfootwell
