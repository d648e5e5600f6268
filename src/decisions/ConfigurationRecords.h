// Records of the log stream "configuration", without their encoding.
#pragma once

#include "decisions/Configuration.h"

#include <cstdint>
#include <string>
#include <variant>

namespace Coltsfootwell {

/// Position of a record in its stream of the log.
using LogOffset = std::uint64_t;

/// \brief An operator's proposal for the version after `base`.
struct PublishRecord
{
    /// Unique, so that the sender finds its record after a lost answer.
    std::string id;
    ConfigurationVersion base = 0;
    ConfigurationVersion version = 0;
    std::string author;
    ConfigurationPtr configuration;
};

/// \brief The state of a fold: the version in force once all records before an offset are folded.
struct ConfigurationSnapshot
{
    ConfigurationVersion version = 0;
    /// Offset after the last folded record.
    LogOffset through = 0;
    ConfigurationPtr configuration;
};

/// \brief A snapshot that was written to the log.
struct CheckpointRecord
{
    ConfigurationSnapshot snapshot;
    /// True when the history before the snapshot is lost, so that the record itself sets the state.
    bool reset = false;
    /// Who has asked for the reset.
    std::string author;
    std::string id;
};

/// \brief A record that cannot be decoded.
struct MalformedRecord
{
    std::string fault;
};

using ConfigurationRecord = std::variant<PublishRecord, CheckpointRecord, MalformedRecord>;

/// \brief A record with its place in the log.
struct ConfigurationEntry
{
    LogOffset offset = 0;
    ConfigurationRecord record;
};

} // namespace Coltsfootwell
