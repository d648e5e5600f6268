// Messages on the connections between daemons, free of any encoding.
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

/// \brief First frame of either side.
struct HelloFrame
{
    DaemonId daemon;
};

/// \brief Run a call.
struct RunFrame
{
    std::string service;
    std::string callerService;
    std::string method;
    std::string target;
    std::vector<HeaderField> fields;
    std::string body;
    /// Length of a body that follows after ProceedFrame; 0 when `body` is the whole body.
    std::uint64_t laterBytes = 0;
    /// Time that is left until the deadline, the objective and the latest start.
    std::chrono::microseconds deadlineIn {0};
    std::chrono::microseconds objectiveIn {0};
    std::chrono::microseconds startWithin {0};
    unsigned priority = 0;
    bool nested = false;
    bool idempotent = false;
    /// True when the call may have reached another backend server before.
    bool repeat = false;
    CallEnvelope call;
};

/// \brief The run starts soon and wants its body.
struct ProceedFrame
{
};

/// \brief Part of a body.
struct BodyPartFrame
{
    std::string bytes;
    bool last = false;
};

/// \brief The answer is no longer wanted.
struct CancelFrame
{
};

/// \brief Answer of the backend server.
struct AnswerFrame
{
    unsigned status = 0;
    std::vector<HeaderField> fields;
    std::string body;
    /// True when the backend server has failed.
    bool failure = false;
};

/// \brief The call has not run and never will.
struct RefusalFrame
{
    Reason reason = Reason::Overloaded;
    /// True when the backend server itself has refused.
    bool byServer = false;
};

/// \brief The call may have run, and there is no answer.
struct LostFrame
{
};

/// \brief Asks for an attempt that was sent over a connection that has broken.
struct ResumeFrame
{
    /// Process that the attempt was sent to; 0 when the sender does not know.
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

/// \brief The load of the sender's backend server has changed.
struct LoadUpdateFrame
{
};

/// \brief Subjects of an exchange of bytes between two services of the same kind.
enum class ExchangeSubject {
    /// Lists of members.
    MemberSync,
    /// Newest state that operators have published.
    ControlState,
};

struct ExchangeFrame
{
    ExchangeSubject subject = ExchangeSubject::MemberSync;
    bool isAnswer = false;
    std::uint64_t nonce = 0;
    std::string bytes;
};

/// \brief One message.
struct LinkFrame
{
    /// Attempt that the message is about; zero for none.
    AttemptId attempt;
    std::optional<LoadReport> load;
    std::variant<HelloFrame, RunFrame, ProceedFrame, BodyPartFrame, CancelFrame, AnswerFrame,
                 RefusalFrame, LostFrame, ResumeFrame, PingFrame, PongFrame, LoadUpdateFrame,
                 ExchangeFrame>
        body;
};

} // namespace Coltsfootwell
