// JSON schemas of the configuration and of the daemon settings.
#pragma once

#include "wire/JsonFault.h"

#include <string_view>
#include <system_error>
#include <vector>

namespace Coltsfootwell {

/// \brief Kinds of documents for which there is a schema.
enum class SchemaKind {
    Configuration,
    DaemonSettings,
};

/// \brief Validates a document against its schema: types, ranges, missing and unknown fields.
/// \param kind schema to use.
/// \param text JSON text.
/// \param ec set to WireError::BadJson or WireError::BadField, or cleared.
/// \return all violations with JSON path, value and rule; empty if ec is cleared.
std::vector<JsonFault> checkSchema(SchemaKind kind, std::string_view text, std::error_code &ec);

} // namespace Coltsfootwell
