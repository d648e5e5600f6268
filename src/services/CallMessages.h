// Messages about calls and attempts between the services of one daemon.
#pragma once

#include "decisions/Load.h"
#include "decisions/Outcome.h"
#include "decisions/RunLedger.h"
#include "decisions/Target.h"
#include "kernel/Mailbox.h"
#include "services/BodyPipe.h"
#include "services/ControlMessages.h"
#include "wire/CallEnvelope.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Coltsfootwell {

/// \brief Request line and headers of a call; decoded headers are in the envelope.
struct CallHead
{
    std::string method;
    std::string target;
    std::vector<HeaderField> headers;
};

/// \brief Body of a call: either held in memory and replayable, or streamed once.
struct CallBody
{
    std::shared_ptr<const std::string> bytes;
    /// Set for bodies that are too large to hold.
    BodyPipePtr stream;
    /// Length of a streamed body, when the caller has declared one.
    std::optional<std::uint64_t> streamLength;
};

/// \brief Status and headers of an answer.
struct AnswerHead
{
    unsigned status = 0;
    std::vector<HeaderField> headers;
    /// Nothing for answers of unknown length.
    std::optional<std::uint64_t> length;
};

/// \brief The serving daemon refused; no byte went to the backend server.
struct AttemptRefused
{
    Reason reason = Reason::Overloaded;
    std::optional<LoadReport> load;
    /// Configuration version of the serving daemon; 0 when it has none or did not say.
    ConfigurationVersion version = 0;
};

/// \brief No answer came.
struct AttemptLost
{
    /// False when no byte left this daemon.
    bool sent = true;
    /// True when bytes of a streamed body were taken, so that it cannot be sent again.
    bool bodyTaken = false;
};

/// \brief The backend server answers; the rest of the answer follows in the pipe.
struct AttemptAnswered
{
    AnswerHead head;
    BodyPipePtr body;
    std::optional<LoadReport> load;
};

using AttemptResult = std::variant<AttemptRefused, AttemptLost, AttemptAnswered>;

/// \brief To "backend" and "peers": run an attempt.
struct RunAttempt
{
    Target target;
    std::shared_ptr<const CallHead> head;
    /// Has its attempt set.
    CallEnvelope envelope;
    CallBody body;
    TimePoint deadline;
    Reply<AttemptResult> reply;
};

/// \brief To "backend" and "peers": the answer of an attempt is no longer wanted.
struct CancelAttempt
{
    AttemptId attempt;
};

/// \brief To "backend" and "peers": never start an attempt.
struct RevokeAttempt
{
    AttemptId attempt;
    Target target;
    Reply<RevokeVerdict> reply;
};

/// \brief The system answers in place of a backend server.
struct CallRefused
{
    Outcome outcome = Outcome::NotRun;
    Reason reason = Reason::Overloaded;
};

/// \brief A backend server answers.
struct CallAnswered
{
    AnswerHead head;
    BodyPipePtr body;
    DaemonId servedBy;
};

using CallResult = std::variant<CallRefused, CallAnswered>;

/// \brief To "calls": carry out a caller's call.
struct SubmitCall
{
    /// Number that is unique in this daemon.
    std::uint64_t number = 0;
    std::shared_ptr<const CallHead> head;
    CallEnvelope envelope;
    CallBody body;
    TimePoint received;
    /// Set when the session refuses a call with a key; "calls" decides on the outcome alone.
    std::optional<Reason> refusal;
    Reply<CallResult> reply;
};

/// \brief To "peers": let the owner of a key carry out a call as its own.
struct ForwardCall
{
    Target owner;
    std::shared_ptr<const CallHead> head;
    /// Has its key owner set.
    CallEnvelope envelope;
    CallBody body;
    TimePoint deadline;
    Reply<CallResult> reply;
};

/// \brief To "calls": the caller has gone.
struct CancelCall
{
    std::uint64_t number = 0;
};

} // namespace Coltsfootwell
