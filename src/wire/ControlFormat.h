// How operators spell what they publish in the store.
#pragma once

#include "decisions/Configuration.h"
#include "wire/JsonFault.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Coltsfootwell {

/// \brief A configuration was published.
struct ConfigurationPublished
{
    ConfigurationPtr configuration;
};

/// \brief A data centre was taken out of service or brought back.
struct DataCentreAvailabilityChanged
{
    std::string dataCentre;
    bool outOfService = true;
};

/// \brief The record is none of the daemon's concern.
struct UnrelatedRecord
{
};

/// \brief The record cannot be used.
struct MalformedRecord
{
    JsonFault fault;
};

using ControlRecord = std::variant<ConfigurationPublished, DataCentreAvailabilityChanged,
                                   UnrelatedRecord, MalformedRecord>;

/// \brief Decodes the records of operators.
class ControlFormat
{
public:
    virtual ~ControlFormat() = default;

    /// \return name of the topic.
    virtual std::string_view topic() const = 0;

    /// \param key of the record.
    /// \param value of the record; nothing when the key was removed.
    virtual ControlRecord decode(std::string_view key,
                                 const std::optional<std::string> &value) const = 0;
};

/// \return the daemon's own format: key "configuration" with the configuration as JSON.
const ControlFormat &ownControlFormat();

/// Topic of the own format.
constexpr std::string_view OwnControlTopic = "keyed.control";
constexpr std::string_view OwnConfigurationKey = "configuration";

} // namespace Coltsfootwell
