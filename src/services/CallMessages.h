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

/// \brief A complete body; null if there is none.
using BodyPtr = std::shared_ptr<const std::string>;

/// \brief The attempt has not run and never will on this serving daemon.
struct AttemptRefused
{
    Reason reason = Reason::Overloaded;
    std::optional<LoadReport> load;
    /// True if the backend server itself refused the call, which costs it capacity.
    bool byServer = false;
};

/// \brief No answer was received, and the call may have run.
struct AttemptLost
{
    std::optional<LoadReport> load;
};

/// Lowest HTTP status of a failure answer.
constexpr unsigned FirstServerErrorStatus = 500;

/// \brief The complete answer of the backend server.
struct AttemptAnswered
{
    unsigned status = 0;
    std::vector<HeaderField> headers;
    BodyPtr body;
    /// True if the answer is a failure of the backend server; false for a failure that has another
    /// cause, see FailureAttribution.
    bool failure = false;
    std::optional<LoadReport> load;
};

using AttemptResult = std::variant<AttemptRefused, AttemptLost, AttemptAnswered>;

/// \brief To "backend" and "links": runs an attempt.
struct RunAttempt
{
    AttemptId attempt;
    Target target;
    CallHeadPtr head;
    CallEnvelope call;
    std::string service;
    /// Service of the backend server beside the entry daemon.
    std::string callerService;
    BodyPtr body;
    /// Length in bytes of a body that is still on the entry daemon; 0 if `body` is complete.
    std::uint64_t pendingBodyBytes = 0;
    TimePoint deadline;
    /// Time by which the answer has its full value.
    TimePoint objective;
    /// Latest useful start; after it the call should be placed on another server.
    TimePoint startBy;
    /// Priority among the calls of the service; 0 is the highest.
    unsigned priority = 0;
    /// True for a call that a backend server makes while it runs another.
    bool nested = false;
    bool idempotent = false;
    /// True if the call may already have reached another backend server.
    bool repeat = false;
    Reply<AttemptResult> reply;
    /// Requests the body shortly before the run starts, over a link by a ProceedFrame. BodyArrived
    /// delivers it. Used only if `pendingBodyBytes` is not 0. Returns false if this daemon has no
    /// memory for the body now.
    std::function<bool()> requestBody;
};

/// \brief To "backend": delivers the body that a run has requested.
struct BodyArrived
{
    AttemptId attempt;
    BodyPtr body;
};

/// \brief To "backend" and "links": cancels an attempt whose answer is no longer needed.
struct CancelAttempt
{
    AttemptId attempt;
};

/// \brief To "backend": prevents an attempt from starting if it has not started yet.
struct RevokeAttempt
{
    AttemptId attempt;
    /// Incarnation of the daemon that it was sent to; 0 if the sender has not received it.
    Incarnation sentTo = 0;
    /// True if the attempt has not started and never will.
    Reply<bool> reply;
};

/// \brief To "backend": a run of the local server has made a nested call.
struct NestedCallMade
{
    /// Request id of the run.
    std::string requestId;
};

/// \brief To "backend": a nested call of a run of the local server was refused and has not run.
struct NestedCallRefused
{
    /// Request id of the run.
    std::string requestId;
    Reason reason = Reason::Overloaded;
};

/// \brief From "backend": the load of the local backend server has changed significantly.
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

/// \brief To "links": sends a request to the same service of another daemon.
struct SendPeerRequest
{
    Endpoint endpoint;
    ExchangeSubject subject = ExchangeSubject::MemberSync;
    std::string bytes;
    /// Dropped without an answer if the daemon does not answer.
    Reply<std::string> reply;
};

/// \brief To the service of the request's subject: another daemon has sent a request.
struct PeerRequestReceived
{
    std::string bytes;
    Reply<std::string> reply;
};

/// \brief The call was refused by the load balancer instead of answered by a backend server.
struct CallRefused
{
    Outcome outcome = Outcome::NotRun;
    Reason reason = Reason::Overloaded;
    /// Delay after which the caller may retry; std::nullopt if none is suggested.
    std::optional<Duration> retryAfter;
};

/// \brief A backend server has answered the call.
struct CallAnswered
{
    unsigned status = 0;
    std::vector<HeaderField> headers;
    BodyPtr body;
    DaemonId servedBy;
};

using CallResult = std::variant<CallRefused, CallAnswered>;

/// \brief To "calls": submits a call that was received from a caller.
struct SubmitCall
{
    /// Number that identifies the call within this daemon.
    std::uint64_t number = 0;
    CallHeadPtr head;
    CallEnvelope call;
    BodyPtr body;
    TimePoint received;
    Reply<CallResult> reply;
};

/// \brief To "calls": cancels a call because its caller has disconnected.
struct CancelCall
{
    std::uint64_t number = 0;
};

/// \brief To "calls": the local backend server starts a run that may repeat an earlier one.
struct RepeatedRunStarted
{
    std::string requestId;
};

/// \brief To "calls": new values of the settings that can change while the daemon runs.
struct CallSettingsChanged
{
    std::string ownService;
    RetryLimits retries;
};

using CallsMessage = std::variant<SubmitCall, CancelCall, LoadReportReceived, DaemonUnreachable,
                                  RepeatedRunStarted, CallSettingsChanged>;
using BackendMessage = std::variant<RunAttempt, BodyArrived, CancelAttempt, RevokeAttempt,
                                    NestedCallMade, NestedCallRefused>;
using LinksMessage = std::variant<RunAttempt, CancelAttempt, LoadChanged, SendPeerRequest>;

} // namespace Coltsfootwell
