// How callers and backend servers spell what a daemon reads and writes in HTTP messages. The daemon
// has one dialect of its own; an adapter brings others.
#pragma once

#include "decisions/Ids.h"
#include "decisions/Outcome.h"
#include "kernel/Time.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace Coltsfootwell {

/// \brief One HTTP header.
struct HeaderField
{
    std::string name;
    std::string value;
};

/// \brief What a malformed header is and which rule it breaks.
struct HeaderFault
{
    std::string header;
    std::string rule;
};

/// \brief What the headers of a call tell the daemon.
struct CallEnvelope
{
    /// Names the caller's attempt; empty when the caller gives none.
    std::string requestId;
    /// Time that the caller waits.
    std::optional<std::chrono::milliseconds> deadline;
    std::string customer;
    /// Regions that the caller allows; empty for all.
    std::vector<std::string> homeRegions;
    /// Number of calls above this one.
    unsigned depth = 0;
    /// Request whose run makes this call; empty when it is unknown or no run makes it.
    std::string parentId;
    std::string traceParent;
};

/// \brief What the daemon tells the backend server with a call.
struct RunEnvelope
{
    CallEnvelope call;
    /// Time that is left.
    std::chrono::milliseconds remaining {0};
    /// Process of the backend server that is meant; empty when it has named none.
    std::string instance;
    /// Service beside the daemon that took the call from its caller.
    std::string callerService;
};

/// \brief What a backend server says of its load. It may lag or mislead.
struct ServerLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /// Time that work takes at this moment, in percent of the usual time; 0 when it does not say.
    std::uint32_t slowness = 0;
};

/// \brief What the head of a backend server's answer tells the daemon.
struct AnswerEnvelope
{
    /// The server says that it has not run the call.
    bool notRun = false;
    /// Another process than the one meant has answered, and has not run the call.
    bool wrongInstance = false;
    /// False for a success that lacks the server's signature.
    bool trusted = true;
    /// Request that the answer names; empty when it names none.
    std::string requestId;
    std::optional<ServerLoad> load;
};

/// \brief Answer of a health check.
struct ProbeReport
{
    /// The server says that it is well and stays.
    bool healthy = false;
    std::string instance;
    std::optional<ServerLoad> load;
    /// How much longer the server stays cold; nothing when it does not say.
    std::optional<std::chrono::milliseconds> coldRemaining;
};

/// \brief Status and headers of an answer of the daemon's own.
struct RefusalHead
{
    unsigned status = 503;
    std::vector<HeaderField> headers;
};

/// \brief Translates between HTTP messages and the daemon's own types.
class HttpDialect
{
public:
    virtual ~HttpDialect() = default;

    /// \param fields all headers of a call.
    /// \param fault header and rule when ec is set.
    /// \param ec WireError::BadHeader, or cleared.
    virtual CallEnvelope decodeCall(std::span<const HeaderField> fields, HeaderFault &fault,
                                    std::error_code &ec) const = 0;

    /// \brief Replaces the headers that the daemon sets.
    /// \param envelope values to write.
    /// \param fields headers of the call, changed in place.
    virtual void encodeRun(const RunEnvelope &envelope, std::vector<HeaderField> &fields) const = 0;

    /// \param status of the answer.
    /// \param fields its headers.
    virtual AnswerEnvelope decodeAnswer(unsigned status,
                                        std::span<const HeaderField> fields) const = 0;

    /// \brief Removes the headers that only daemons read from a backend server's answer and adds
    /// those that callers expect.
    /// \param servedBy daemon beside the backend server.
    virtual void encodeAnswer(std::string_view servedBy,
                              std::vector<HeaderField> &fields) const = 0;

    /// \param outcome whether the call may have run.
    /// \param reason why there is no answer.
    /// \param requestId of the call.
    /// \param retryAfter time after which the caller may come back; nothing when it need not.
    virtual RefusalHead encodeRefusal(Outcome outcome, Reason reason, std::string_view requestId,
                                      std::optional<Duration> retryAfter) const = 0;

    /// \param status of the answer to a health check.
    /// \param fields its headers.
    /// \param body its body.
    virtual ProbeReport decodeProbe(unsigned status, std::span<const HeaderField> fields,
                                    std::string_view body) const = 0;
};

/// \param fields headers of a message.
/// \param name name of a header, in any case.
/// \return its first value, or nothing.
std::optional<std::string_view> headerValue(std::span<const HeaderField> fields,
                                            std::string_view name);

/// \brief Removes all headers of some names.
/// \param fields changed in place.
/// \param names in any case.
void removeHeaders(std::vector<HeaderField> &fields, std::span<const std::string_view> names);

/// \param text comma-separated list.
/// \return its non-empty items without surrounding blanks.
std::vector<std::string> splitList(std::string_view text);

/// \return true when two header names are the same but for their case.
bool equalHeaderNames(std::string_view left, std::string_view right);

} // namespace Coltsfootwell
