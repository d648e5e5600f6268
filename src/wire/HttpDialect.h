// Translation between the headers of HTTP messages and the daemon's own types. The daemon has a
// dialect of its own; an adapter may provide others.
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

/// \brief A malformed header.
struct HeaderFault
{
    /// Name of the header.
    std::string header;
    /// Rule that its value violates.
    std::string rule;
    std::string value;
};

/// \brief Metadata of a call, from its headers.
struct CallEnvelope
{
    /// Identifies the caller's attempt; empty if the caller sends no id.
    std::string requestId;
    /// Time for which the caller waits for an answer.
    std::optional<std::chrono::milliseconds> deadline;
    std::string customer;
    /// Regions in which the call may run; empty for all.
    std::vector<std::string> homeRegions;
    /// Nesting depth: number of calls in the chain that led to this one.
    unsigned depth = 0;
    /// Request id of the run that made this nested call; empty if it is unknown or the call is
    /// not nested.
    std::string parentId;
    /// Value of the header "traceparent".
    std::string traceParent;
};

/// \brief Metadata that the daemon sends to the backend server with a call.
struct RunEnvelope
{
    CallEnvelope call;
    /// Time until the deadline.
    std::chrono::milliseconds remaining {0};
    /// Instance id of the backend server process that is to run the call; empty if the server
    /// has announced no id.
    std::string instance;
    /// Service of the backend server beside the entry daemon.
    std::string callerService;
};

/// \brief Load as reported by a backend server. It may be outdated or wrong.
struct ServerLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /// Current processing time in percent of the typical time; 0 if the server reports none.
    std::uint32_t slownessPercent = 0;
};

/// \brief Metadata of a backend server's answer, from its status and headers.
struct AnswerEnvelope
{
    /// True if the server reports that it has not run the call.
    bool notRun = false;
    /// True if a process other than the expected one received the call and did not run it.
    bool wrongInstance = false;
    /// False if a success lacks the server's signature.
    bool trusted = true;
    /// Request id that the answer echoes; empty if it has none.
    std::string requestId;
    std::optional<ServerLoad> load;
};

/// \brief Result of a health check.
struct ProbeReport
{
    /// True if the server reports that it is healthy and not shutting down.
    bool healthy = false;
    /// Instance id of the server process.
    std::string instance;
    std::optional<ServerLoad> load;
    /// Time until the server is warm; std::nullopt if the server reports none.
    std::optional<std::chrono::milliseconds> coldRemaining;
};

/// \brief Status and headers of an answer that the daemon generates itself.
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

    /// \brief Decodes the headers of a call.
    /// \param fields all headers of the call.
    /// \param fault set to the malformed header and its rule if ec is set.
    /// \param ec set to WireError::BadHeader, or cleared.
    virtual CallEnvelope decodeCall(std::span<const HeaderField> fields, HeaderFault &fault,
                                    std::error_code &ec) const = 0;

    /// \brief Replaces the headers that the daemon sends to the backend server.
    /// \param envelope values of the headers.
    /// \param fields headers of the call, changed in place.
    virtual void encodeRun(const RunEnvelope &envelope, std::vector<HeaderField> &fields) const = 0;

    /// \brief Decodes the status and headers of a backend server's answer.
    /// \param status HTTP status.
    /// \param fields headers of the answer.
    virtual AnswerEnvelope decodeAnswer(unsigned status,
                                        std::span<const HeaderField> fields) const = 0;

    /// \brief Removes the headers of a backend server's answer that are meant for the daemon and
    /// adds those that callers expect.
    /// \param servedBy name of the serving daemon.
    /// \param fields headers of the answer, changed in place.
    virtual void encodeAnswer(std::string_view servedBy,
                              std::vector<HeaderField> &fields) const = 0;

    /// \brief Encodes the head of the daemon's own answer to a call, sent in place of an answer of
    /// a backend server.
    /// \param outcome whether the call may have run.
    /// \param reason why there is no answer of a backend server.
    /// \param requestId request id of the call.
    /// \param retryAfter time after which the caller may retry; std::nullopt if none is
    /// suggested.
    virtual RefusalHead encodeRefusal(Outcome outcome, Reason reason, std::string_view requestId,
                                      std::optional<Duration> retryAfter) const = 0;

    /// \brief Decodes the answer to a health check.
    /// \param status HTTP status.
    /// \param fields headers of the answer.
    /// \param body body of the answer.
    virtual ProbeReport decodeProbe(unsigned status, std::span<const HeaderField> fields,
                                    std::string_view body) const = 0;
};

/// \param fields headers of a message.
/// \param name name of a header, compared without regard to case.
/// \return value of the first header with that name, or std::nullopt.
std::optional<std::string_view> headerValue(std::span<const HeaderField> fields,
                                            std::string_view name);

/// \brief Removes all headers with the given names.
/// \param fields headers of a message, changed in place.
/// \param names names of headers, compared without regard to case.
void removeHeaders(std::vector<HeaderField> &fields, std::span<const std::string_view> names);

/// \param text comma-separated list.
/// \return the non-empty items, without leading and trailing blanks.
std::vector<std::string> splitList(std::string_view text);

/// \return true if two header names are equal without regard to case.
bool equalHeaderNames(std::string_view left, std::string_view right);

} // namespace Coltsfootwell
