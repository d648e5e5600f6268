#include "services/HopSpan.h"

#include "wire/TraceContext.h"

#include <utility>

namespace Coltsfootwell {

void HopSpan::begin(CallEnvelope &envelope, const CallHead &head)
{
    m_span = {};
    m_span.parent = envelope.traceParent;
    m_span.name = envelope.attempt ? "run" : "call";
    m_span.service = envelope.attempt ? envelope.attempt->service : std::string();
    m_span.method = head.method;
    m_span.began = std::chrono::system_clock::now();
    m_began = m_executor.now();
    envelope.traceParent = traceText(childSpan(envelope.traceParent, m_random));
    m_span.traceParent = envelope.traceParent;
}

std::optional<SpanEnded> HopSpan::end(Outcome outcome, std::optional<Reason> reason,
                                      unsigned status)
{
    SpanEnded span = std::exchange(m_span, {});
    if (span.traceParent.empty() || reason == Reason::OutsideHomeRegions) {
        return std::nullopt;
    }
    span.outcome = outcomeName(outcome);
    span.reason = reason ? std::string(reasonName(*reason)) : std::string();
    span.status = status;
    span.elapsed = m_executor.now() - m_began;
    return span;
}

} // namespace Coltsfootwell
