// Encodes and decodes the configuration as JSON.
#pragma once

#include "decisions/Configuration.h"
#include "wire/JsonFault.h"

#include <string>
#include <string_view>
#include <system_error>

namespace Coltsfootwell {

/// \brief Decodes a configuration. Missing fields get their default values.
/// \param text JSON text.
/// \param fault set to the first violation if ec is set.
/// \param ec set to WireError::BadJson or WireError::BadField, or cleared.
/// \return the configuration; incomplete if ec is set.
Configuration decodeConfiguration(std::string_view text, JsonFault &fault, std::error_code &ec);

/// \return JSON text that decodeConfiguration() decodes into an equal configuration.
std::string encodeConfiguration(const Configuration &configuration);

} // namespace Coltsfootwell
