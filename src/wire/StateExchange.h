// How daemons tell each other the state that operators have published.
#pragma once

#include "decisions/Configuration.h"
#include "decisions/Ids.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace Coltsfootwell {

/// \brief Asks another daemon for its state.
struct StateRequest
{
    /// Version of the configuration that the asker holds; 0 for none.
    ConfigurationVersion heldVersion = 0;

    bool operator==(const StateRequest &) const = default;
};

/// \brief The state up to a position; see ControlState.
struct StateAnswer
{
    /// Never 0.
    std::uint64_t position = 0;
    /// Data centres that are out of service.
    std::set<std::string> outOfService;
    /// Newest version that the sender knows; 0 for none.
    ConfigurationVersion version = 0;
    /// Version on whose text the content builds; 0 for none.
    ConfigurationVersion base = 0;
    /// Key of the operators' record.
    std::string key;
    /// Its text, compressed; empty when the asker holds the version.
    std::string content;

    bool operator==(const StateAnswer &) const = default;
};

/// \return the bytes of a question.
std::string encodeStateRequest(const StateRequest &question);

/// \return the question, or nothing when the bytes are malformed.
std::optional<StateRequest> decodeStateRequest(std::string_view bytes);

/// \return the bytes of an answer.
std::string encodeStateAnswer(const StateAnswer &answer);

/// \return the answer, or nothing when the bytes are malformed or cut short.
std::optional<StateAnswer> decodeStateAnswer(std::string_view bytes);

} // namespace Coltsfootwell
