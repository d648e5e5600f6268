// Request to the backend server and judgement of its answer.
#pragma once

#include "decisions/Admission.h"
#include "decisions/Place.h"
#include "services/HttpExchange.h"

namespace Coltsfootwell {

/// \brief What happened to one run so far.
struct RunRecord
{
    TimePoint began;
    TimePoint deadline;
    /// Time of the head of the answer.
    std::optional<TimePoint> answered;
    unsigned status = 0;
    /// Tells whether the reader has gone.
    std::weak_ptr<BodyPipe> body;
    /// Why the run was stopped before its first byte.
    std::optional<Reason> stopped;
    bool cancelled = false;
    /// False when no byte went to the backend server.
    bool sent = true;
    bool shed = false;
};

/// \param run the attempt.
/// \param place this daemon.
/// \param configuration version in force here; null before the first.
/// \param freshUntil last instant at which the version is known to be the newest.
/// \return why the attempt must not run here now, whatever the state of the backend server.
std::optional<Reason> refusalByRules(const RunAttempt &run, const Place &place,
                                     const Configuration *configuration, TimePoint freshUntil,
                                     TimePoint now);

/// \return true when the route of the call names its method as idempotent.
bool isIdempotent(const CallHead &head, const Configuration &configuration);

/// \param run the attempt.
/// \param idempotent false keeps the call off connections that were idle for long.
/// \return the request as the backend server gets it.
ExchangeRequest backendRequest(const RunAttempt &run, bool idempotent, TimePoint now);

/// \brief Reads and removes the headers that only daemons may write.
/// \param head answer of the backend server.
/// \return true when the server says that it has refused the call without a side effect.
bool takeShedMark(AnswerHead &head);

/// \param record the run.
/// \param whole true when the whole answer was passed on.
/// \param average moving average of answer times, zero when unknown.
/// \return what the end says about the server.
RunEnd judgeRun(const RunRecord &record, bool whole, Duration average, TimePoint now);

} // namespace Coltsfootwell
