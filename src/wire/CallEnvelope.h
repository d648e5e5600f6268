// The part of a call's headers that the daemons read and write.
#pragma once

#include "decisions/Configuration.h"
#include "decisions/Ids.h"
#include "decisions/Load.h"

#include <chrono>
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

/// \brief Names the attempt and its receiver in a call between daemons.
struct AttemptEnvelope
{
    AttemptId attempt;
    DaemonId target;
    ConfigurationVersion version = 0;
    std::string service;
};

/// \brief Decoded headers of one call.
struct CallEnvelope
{
    std::optional<std::chrono::milliseconds> deadline;
    std::vector<std::string> homeRegions;
    std::string tenant;
    unsigned depth = 0;
    std::string key;
    /// Unix time in seconds.
    std::optional<std::uint64_t> keyCreated;
    std::string traceParent;
    /// Present when the call comes from another daemon.
    std::optional<AttemptEnvelope> attempt;
    /// Present when another daemon forwards a keyed call to the owner of the key.
    std::optional<DaemonId> keyOwner;
};

/// \brief What a malformed header is and which rule it breaks.
struct HeaderFault
{
    std::string header;
    std::string rule;
};

/// \brief Decodes the headers of a call.
/// \param fields all headers of the request.
/// \param fault header and rule when ec is set.
/// \param ec WireError::BadHeader, or cleared.
CallEnvelope decodeEnvelope(std::span<const HeaderField> fields, HeaderFault &fault,
                            std::error_code &ec);

/// \brief Replaces the daemons' headers of a call by those of an envelope.
/// \param envelope values to write; the deadline is the time that is left.
/// \param fields headers of the request, changed in place.
void encodeEnvelope(const CallEnvelope &envelope, std::vector<HeaderField> &fields);

/// \param attempt any id.
/// \return 32 hexadecimal digits.
std::string attemptText(const AttemptId &attempt);

/// \param text result of attemptText().
/// \return the id, or nothing for malformed text.
std::optional<AttemptId> attemptFromText(std::string_view text);

/// \param daemon any id.
/// \return "name/incarnation".
std::string daemonText(const DaemonId &daemon);

/// \param text result of daemonText().
/// \return the id, or nothing for malformed text.
std::optional<DaemonId> daemonFromText(std::string_view text);

/// \param report load of a backend server.
/// \return "in use/waiting/limit/state" with the state as a number.
std::string loadText(const LoadReport &report);

/// \param text result of loadText().
/// \return the report, or nothing for malformed text.
std::optional<LoadReport> loadFromText(std::string_view text);

/// \param fields headers of a message.
/// \param name name of a header, in any case.
/// \return its first value, or nothing.
std::optional<std::string_view> headerValue(std::span<const HeaderField> fields,
                                            std::string_view name);

/// \param text comma-separated list.
/// \return its non-empty items without surrounding blanks.
std::vector<std::string> splitList(std::string_view text);

} // namespace Coltsfootwell
