// Formats of the records that operators publish in the store.
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

/// \brief A data centre was taken out of service or returned to service.
struct DataCentreAvailabilityChanged
{
    std::string dataCentre;
    bool outOfService = true;
};

/// \brief The record holds nothing that a daemon uses.
struct UnrelatedRecord
{
};

/// \brief The record cannot be decoded.
struct MalformedRecord
{
    JsonFault fault;
};

using ControlRecord = std::variant<ConfigurationPublished, DataCentreAvailabilityChanged,
                                   UnrelatedRecord, MalformedRecord>;

/// \brief Decodes the records that operators publish.
class ControlFormat
{
public:
    virtual ~ControlFormat() = default;

    /// \return name of the store's topic that holds the records.
    virtual std::string_view topic() const = 0;

    /// \param key key of the record.
    /// \param value value of the record; std::nullopt if the key was deleted.
    virtual ControlRecord decode(std::string_view key,
                                 const std::optional<std::string> &value) const = 0;
};

/// \return the daemon's own format: key "configuration" with the configuration as JSON.
const ControlFormat &ownControlFormat();

/// Topic of the daemon's own format.
constexpr std::string_view OwnControlTopic = "keyed.control";
/// Key of the configuration in the daemon's own format.
constexpr std::string_view OwnConfigurationKey = "configuration";

} // namespace Coltsfootwell
