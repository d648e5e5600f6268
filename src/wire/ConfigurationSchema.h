// JSON schemas of the configuration and of the daemon's settings.
#pragma once

#include "wire/JsonFault.h"

#include <string_view>
#include <system_error>
#include <vector>

namespace Coltsfootwell {

/// \brief Documents that have a schema.
enum class SchemaKind {
    Configuration,
    DaemonSettings,
};

/// \brief Checks the form of a document: types, ranges, missing and unknown fields.
/// \param kind which schema.
/// \param text JSON text.
/// \param ec WireError::BadJson or WireError::BadField, or cleared.
/// \return all violations with JSON path, value and rule; empty when ec is cleared.
std::vector<JsonFault> checkSchema(SchemaKind kind, std::string_view text, std::error_code &ec);

} // namespace Coltsfootwell
