#include "wire/OwnDialect.h"

#include "wire/HeaderNames.h"
#include "wire/ParseNumber.h"
#include "wire/ServerReportJson.h"
#include "wire/WireError.h"

#include <algorithm>
#include <array>

namespace Coltsfootwell {

namespace {

constexpr std::chrono::milliseconds MaxDeadline = std::chrono::hours(1);
constexpr unsigned StatusServiceUnavailable = 503;
constexpr unsigned FirstRedirectStatus = 300;
/// Stands for "not reported"; servers of this dialect do not report a slowdown.
constexpr std::uint32_t UnknownSlowness = 0;

struct FieldDecoder
{
    std::string_view header;
    std::string_view rule;
    bool (*decode)(std::string_view, CallEnvelope &);
};

bool decodeDeadline(std::string_view text, CallEnvelope &envelope)
{
    const auto n = parseNumber<std::uint32_t>(text);
    if (!n || *n == 0 || std::chrono::milliseconds(*n) > MaxDeadline) {
        return false;
    }
    envelope.deadline = std::chrono::milliseconds(*n);
    return true;
}

bool decodeHomeRegions(std::string_view text, CallEnvelope &envelope)
{
    envelope.homeRegions = splitList(text);
    return !envelope.homeRegions.empty();
}

bool decodeCustomer(std::string_view text, CallEnvelope &envelope)
{
    envelope.customer = text;
    return !text.empty();
}

bool decodeDepth(std::string_view text, CallEnvelope &envelope)
{
    const auto n = parseNumber<unsigned>(text);
    envelope.depth = n.value_or(0);
    return n.has_value();
}

bool decodeRequestId(std::string_view text, CallEnvelope &envelope)
{
    envelope.requestId = text;
    return !text.empty();
}

bool decodeTraceParent(std::string_view text, CallEnvelope &envelope)
{
    envelope.traceParent = text;
    return true;
}

constexpr std::array Decoders {
    FieldDecoder {Header::Deadline, "must be a number of milliseconds from 1 to 3600000",
                  decodeDeadline},
    FieldDecoder {Header::HomeRegions, "must name at least one region", decodeHomeRegions},
    FieldDecoder {Header::Customer, "must not be empty", decodeCustomer},
    FieldDecoder {Header::Depth, "must be a number", decodeDepth},
    FieldDecoder {Header::Request, "must not be empty", decodeRequestId},
    FieldDecoder {Header::TraceParent, "", decodeTraceParent},
};

constexpr std::array RunHeaders {Header::Deadline, Header::HomeRegions, Header::Customer,
                                 Header::Depth,    Header::TraceParent, Header::Request};

/// Headers removed from an answer: a backend server may forward those of a nested call's answer,
/// which do not apply to this call.
constexpr std::array AnswerHeaders {Header::Outcome, Header::Reason, Header::ServedBy,
                                    Header::Request};

std::string joinList(std::span<const std::string> items)
{
    std::string text;
    for (const std::string &item : items) {
        text += text.empty() ? "" : ",";
        text += item;
    }
    return text;
}

class OwnDialect final : public HttpDialect
{
public:
    CallEnvelope decodeCall(std::span<const HeaderField> fields, HeaderFault &fault,
                            std::error_code &ec) const override
    {
        CallEnvelope envelope;
        ec.clear();
        for (const HeaderField &field : fields) {
            const auto *decoder = std::ranges::find_if(Decoders, [&](const FieldDecoder &row) {
                return equalHeaderNames(row.header, field.name);
            });
            if (decoder != Decoders.end() && !decoder->decode(field.value, envelope)) {
                fault = {std::string(decoder->header), std::string(decoder->rule), field.value};
                ec = WireError::BadHeader;
                return envelope;
            }
        }
        return envelope;
    }

    void encodeRun(const RunEnvelope &envelope, std::vector<HeaderField> &fields) const override
    {
        removeHeaders(fields, RunHeaders);
        const auto add = [&fields](std::string_view name, std::string value) {
            fields.push_back({std::string(name), std::move(value)});
        };
        const CallEnvelope &call = envelope.call;
        add(Header::Deadline,
            std::to_string(std::max<std::int64_t>(1, envelope.remaining.count())));
        add(Header::Depth, std::to_string(call.depth + 1));
        add(Header::Request, call.requestId);
        if (!call.homeRegions.empty()) {
            add(Header::HomeRegions, joinList(call.homeRegions));
        }
        if (!call.customer.empty()) {
            add(Header::Customer, call.customer);
        }
        if (!call.traceParent.empty()) {
            add(Header::TraceParent, call.traceParent);
        }
    }

    AnswerEnvelope decodeAnswer(unsigned status, std::span<const HeaderField> fields) const override
    {
        AnswerEnvelope envelope;
        const auto outcome = headerValue(fields, Header::Outcome);
        envelope.notRun = outcome && outcomeFromName(*outcome) == Outcome::NotRun
            && status == StatusServiceUnavailable;
        envelope.requestId = headerValue(fields, Header::Request).value_or("");
        return envelope;
    }

    void encodeAnswer(std::string_view servedBy, std::vector<HeaderField> &fields) const override
    {
        removeHeaders(fields, AnswerHeaders);
        fields.push_back({std::string(Header::Outcome), std::string(outcomeName(Outcome::Run))});
        fields.push_back({std::string(Header::ServedBy), std::string(servedBy)});
    }

    RefusalHead encodeRefusal(Outcome outcome, Reason reason, std::string_view,
                              std::optional<Duration> retryAfter) const override
    {
        RefusalHead head;
        head.status = reasonStatus(reason);
        head.headers.push_back({std::string(Header::Outcome), std::string(outcomeName(outcome))});
        head.headers.push_back({std::string(Header::Reason), std::string(reasonName(reason))});
        if (retryAfter && outcome == Outcome::NotRun && head.status == StatusServiceUnavailable) {
            const auto seconds = std::chrono::ceil<std::chrono::seconds>(*retryAfter);
            head.headers.push_back({"Retry-After", std::to_string(seconds.count())});
        }
        return head;
    }

    ProbeReport decodeProbe(unsigned status, std::span<const HeaderField>,
                            std::string_view body) const override
    {
        ProbeReport report;
        std::error_code ec;
        const ServerReport server = decodeServerReport(body, ec);
        report.healthy = status < FirstRedirectStatus && server.state != BackendState::Draining;
        if (ec) {
            return report;
        }
        if (server.state == BackendState::Cold) {
            report.coldRemaining = ColdReportLifetime;
        }
        if (server.inUse) {
            report.load = ServerLoad {*server.inUse, 0, 0, UnknownSlowness};
        }
        return report;
    }

private:
    /// Time for which a report of the state "cold" is valid; servers of this dialect do not report
    /// how long they stay cold.
    static constexpr std::chrono::milliseconds ColdReportLifetime {1000};
};

} // namespace

const HttpDialect &ownDialect()
{
    static const OwnDialect dialect;
    return dialect;
}

} // namespace Coltsfootwell
