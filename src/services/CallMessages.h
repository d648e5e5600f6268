// Messages about calls and attempts between the services of one daemon.
#pragma once

#include "decisions/Load.h"
#include "decisions/Outcome.h"
#include "decisions/RetryBudget.h"
#include "decisions/Target.h"
#include "kernel/Mailbox.h"
#include "wire/HttpDialect.h"
#include "wire/LinkFrame.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Coltsfootwell {

/// \brief Request line and headers of a call.
struct CallHead
{
    std::string method;
    std::string target;
    std::vector<HeaderField> headers;
};

using CallHeadPtr = std::shared_ptr<const CallHead>;

/// \brief A whole body; null for none.
using BodyPtr = std::shared_ptr<const std::string>;

/// \brief The call has not run and never will at this serving daemon.
struct AttemptRefused
{
    Reason reason = Reason::Overloaded;
    std::optional<LoadReport> load;
    /// True when the backend server itself has refused, which is load for it.
    bool byServer = false;
};

/// \brief No answer came, and the call may have run.
struct AttemptLost
{
    std::optional<LoadReport> load;
};

/// \brief The backend server's whole answer.
struct AttemptAnswered
{
    unsigned status = 0;
    std::vector<HeaderField> headers;
    BodyPtr body;
    /// True when the backend server has failed.
    bool failure = false;
    std::optional<LoadReport> load;
};

using AttemptResult = std::variant<AttemptRefused, AttemptLost, AttemptAnswered>;

/// \brief To "backend" and "links": run an attempt.
struct RunAttempt
{
    AttemptId attempt;
    Target target;
    CallHeadPtr head;
    CallEnvelope call;
    std::string service;
    /// Service beside the daemon that took the call from its caller.
    std::string callerService;
    BodyPtr body;
    /// Length of a body that is still at the entry daemon; 0 when `body` is the whole body.
    std::uint64_t laterBytes = 0;
    TimePoint deadline;
    /// Time by which the answer has its full value.
    TimePoint objective;
    /// Latest useful start; later the call is better placed elsewhere.
    TimePoint startBy;
    unsigned priority = 0;
    bool nested = false;
    bool idempotent = false;
    /// True when the call may have reached another backend server before.
    bool repeat = false;
    Reply<AttemptResult> reply;
    /// Called when the run starts soon and wants its body; BodyArrived must follow.
    Task requestBody;
};

/// \brief To "backend": the body of a run that wanted it.
struct BodyArrived
{
    AttemptId attempt;
    BodyPtr body;
};

/// \brief To "backend" and "links": the answer of an attempt is no longer wanted.
struct CancelAttempt
{
    AttemptId attempt;
};

/// \brief To "backend": has this attempt started? When it has not, it never will.
struct RevokeAttempt
{
    AttemptId attempt;
    /// Process that it was sent to; 0 when the sender does not know.
    Incarnation sentTo = 0;
    /// True when it has not started and never will.
    Reply<bool> reply;
};

/// \brief To "backend": a run of the server has made a call of its own.
struct NestedCallMade
{
    /// Request id of the run.
    std::string requestId;
};

/// \brief From "backend": the load of the backend server has changed by much.
struct LoadChanged
{
    LoadReport load;
};

/// \brief To "calls": a daemon has reported the load of its backend server.
struct LoadReportReceived
{
    DaemonId daemon;
    LoadReport load;
};

/// \brief To "calls": a daemon cannot be reached.
struct DaemonUnreachable
{
    DaemonId daemon;
};

/// \brief To "links": exchange bytes with the same service of another daemon.
struct SendPeerRequest
{
    Endpoint endpoint;
    ExchangeSubject subject = ExchangeSubject::MemberSync;
    std::string bytes;
    /// Dropped unanswered when the daemon does not answer.
    Reply<std::string> reply;
};

/// \brief To the service of an exchange's subject: another daemon asks.
struct PeerRequestReceived
{
    std::string bytes;
    Reply<std::string> reply;
};

/// \brief The system answers in place of a backend server.
struct CallRefused
{
    Outcome outcome = Outcome::NotRun;
    Reason reason = Reason::Overloaded;
    /// Time after which the caller may come back.
    std::optional<Duration> retryAfter;
};

/// \brief A backend server answers.
struct CallAnswered
{
    unsigned status = 0;
    std::vector<HeaderField> headers;
    BodyPtr body;
    DaemonId servedBy;
};

using CallResult = std::variant<CallRefused, CallAnswered>;

/// \brief To "calls": carry out a caller's call.
struct SubmitCall
{
    /// Number that is unique in this daemon.
    std::uint64_t number = 0;
    CallHeadPtr head;
    CallEnvelope call;
    BodyPtr body;
    TimePoint received;
    Reply<CallResult> reply;
};

/// \brief To "calls": the caller has gone.
struct CancelCall
{
    std::uint64_t number = 0;
};

/// \brief To "calls": the backend server beside this daemon starts a repeated run.
struct RepeatedRunStarted
{
    std::string requestId;
};

/// \brief To "calls": settings that can change while the daemon runs.
struct CallSettingsChanged
{
    std::string ownService;
    RetryLimits retries;
};

using CallsMessage = std::variant<SubmitCall, CancelCall, LoadReportReceived, DaemonUnreachable,
                                  RepeatedRunStarted, CallSettingsChanged>;
using BackendMessage
    = std::variant<RunAttempt, BodyArrived, CancelAttempt, RevokeAttempt, NestedCallMade>;
using LinksMessage = std::variant<RunAttempt, CancelAttempt, LoadChanged, SendPeerRequest>;

} // namespace Coltsfootwell
