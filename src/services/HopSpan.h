// The span of one hop of a call: begun when the request has been read, ended with the answer.
#pragma once

#include "decisions/Outcome.h"
#include "kernel/Executor.h"
#include "kernel/Random.h"
#include "services/CallMessages.h"
#include "services/TelemetryMessages.h"

#include <optional>

namespace Coltsfootwell {

/// \brief Measures one hop at a time.
class HopSpan
{
public:
    /// \param executor gives the time; outlives the object.
    /// \param random source of span ids; outlives the object.
    HopSpan(Executor &executor, Random &random) : m_executor(executor), m_random(random) { }

    /// \brief Begins a span and passes its identity on, so that the next hop's span is joined to
    /// it. \param envelope of the call; its trace context is replaced. \param head of the call.
    void begin(CallEnvelope &envelope, const CallHead &head);

    /// \brief Ends the span.
    /// \return the span; nothing when none was begun, or for a call outside its home regions, of
    /// which nothing is kept.
    std::optional<SpanEnded> end(Outcome outcome, std::optional<Reason> reason, unsigned status);

private:
    Executor &m_executor;
    Random &m_random;
    SpanEnded m_span;
    TimePoint m_began {};
};

} // namespace Coltsfootwell
