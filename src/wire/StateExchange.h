// Messages with which daemons exchange the control state.
#pragma once

#include "decisions/AvailabilityTable.h"
#include "decisions/ControlStateSummary.h"
#include "decisions/Ids.h"

#include <optional>
#include <string>
#include <string_view>

namespace Coltsfootwell {

/// \brief Requests the control state of another daemon.
struct StateRequest
{
    /// Configuration version that the requester has; 0 for none.
    ConfigurationVersion heldVersion = 0;

    bool operator==(const StateRequest &) const = default;
};

/// \brief Control state of a daemon; see ControlState.
struct StateAnswer
{
    AvailabilityState availability;
    /// Newest configuration version that the sender has; 0 for none.
    ConfigurationVersion version = 0;
    /// Configuration version whose text is the base of the compressed content; 0 for none.
    ConfigurationVersion base = 0;
    /// Key of the operators' record that holds the configuration.
    std::string key;
    /// Value of the record, compressed; empty if the requester has the version already.
    std::string content;

    /// \return the summary of the state in this answer.
    ControlStateSummary summary() const
    {
        return {availability.position, version, availability.origin.epoch, availability.digest()};
    }

    bool operator==(const StateAnswer &) const = default;
};

/// \return the encoded request.
std::string encodeStateRequest(const StateRequest &request);

/// \return the request, or std::nullopt if the bytes are malformed.
std::optional<StateRequest> decodeStateRequest(std::string_view bytes);

/// \return the encoded answer.
std::string encodeStateAnswer(const StateAnswer &answer);

/// \return the answer, or std::nullopt if the bytes are malformed or truncated.
std::optional<StateAnswer> decodeStateAnswer(std::string_view bytes);

} // namespace Coltsfootwell
