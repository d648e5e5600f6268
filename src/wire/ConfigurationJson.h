// The configuration as JSON text.
#pragma once

#include "decisions/Configuration.h"
#include "wire/JsonFault.h"

#include <string>
#include <string_view>
#include <system_error>

namespace Coltsfootwell {

/// \brief Decodes a configuration.
/// \param text JSON text.
/// \param fault first violation when ec is set.
/// \param ec WireError::BadJson or WireError::BadField, or cleared.
Configuration decodeConfiguration(std::string_view text, JsonFault &fault, std::error_code &ec);

/// \param configuration any configuration.
/// \return its JSON text, which decodeConfiguration() turns back into an equal one.
std::string encodeConfiguration(const Configuration &configuration);

} // namespace Coltsfootwell
