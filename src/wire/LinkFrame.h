// Messages on links between daemons, independent of their encoding.
#pragma once

#include "decisions/Ids.h"
#include "decisions/Load.h"
#include "decisions/Outcome.h"
#include "wire/HttpDialect.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Coltsfootwell {

/// \brief First frame that each peer sends.
struct HelloFrame
{
    DaemonId daemon;
    /// True if the sender can receive the body of an answer after its AnswerFrame.
    bool acceptsAnswerParts = false;
};

/// \brief Requests that the serving daemon run an attempt.
struct RunFrame
{
    std::string service;
    std::string callerService;
    std::string method;
    std::string target;
    std::vector<HeaderField> fields;
    std::string body;
    /// Length of a body that is sent after a ProceedFrame; 0 if `body` is the whole body.
    std::uint64_t pendingBodyBytes = 0;
    /// Time until the deadline.
    std::chrono::microseconds deadlineIn {0};
    /// Time until the objective.
    std::chrono::microseconds objectiveIn {0};
    /// Time until the latest useful start.
    std::chrono::microseconds startWithin {0};
    unsigned priority = 0;
    bool nested = false;
    bool idempotent = false;
    /// True if an earlier attempt of the call may have reached another backend server.
    bool repeat = false;
    CallEnvelope call;
};

/// \brief Requests the body of a run that is about to start, or of an answer.
struct ProceedFrame
{
};

/// \brief Chunk of the body of a request or of an answer.
struct BodyPartFrame
{
    std::string bytes;
    bool last = false;
};

/// \brief Ends an attempt whose answer is no longer needed, or has been received whole after a
/// ProceedFrame. The serving daemon cancels the run or drops its result.
struct CancelFrame
{
};

/// \brief Answer of the backend server.
struct AnswerFrame
{
    unsigned status = 0;
    std::vector<HeaderField> fields;
    std::string body;
    /// True if the answer counts as a failure of the backend server.
    bool failure = false;
    /// Length of a body that is sent after a ProceedFrame; 0 if `body` is the whole body.
    std::uint64_t pendingBodyBytes = 0;
};

/// \brief Refuses an attempt: it has not run and never will.
struct RefusalFrame
{
    Reason reason = Reason::Overloaded;
    /// True if the backend server itself refused the call.
    bool byServer = false;
};

/// \brief Reports that there will be no answer to an attempt, which may have run.
struct LostFrame
{
};

/// \brief Resumes an attempt that was sent over a connection that has failed since.
struct ResumeFrame
{
    /// Incarnation of the process that the attempt was sent to; 0 if the sender has not received
    /// it.
    Incarnation sentTo = 0;
};

struct PingFrame
{
    std::uint64_t nonce = 0;
};

struct PongFrame
{
    std::uint64_t nonce = 0;
};

/// \brief Carries a changed load of the sender's backend server, in LinkFrame::load.
struct LoadUpdateFrame
{
};

/// \brief Subjects of the requests and answers that a service exchanges with the same service of
/// another daemon.
enum class ExchangeSubject {
    /// Anti-entropy of the member lists.
    MemberSync,
    /// Newest control state.
    ControlState,
};

/// \brief Opaque request or answer of a service for the same service of another daemon.
struct ExchangeFrame
{
    ExchangeSubject subject = ExchangeSubject::MemberSync;
    bool isAnswer = false;
    std::uint64_t nonce = 0;
    std::string bytes;
};

/// \brief One message on a link.
struct LinkFrame
{
    /// Attempt that the message refers to; zero for none.
    AttemptId attempt;
    /// Load of the sender's backend server, which any frame may carry.
    std::optional<LoadReport> load;
    std::variant<HelloFrame, RunFrame, ProceedFrame, BodyPartFrame, CancelFrame, AnswerFrame,
                 RefusalFrame, LostFrame, ResumeFrame, PingFrame, PongFrame, LoadUpdateFrame,
                 ExchangeFrame>
        body;
};

} // namespace Coltsfootwell
