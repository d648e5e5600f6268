// Errors of the wire layer: messages, headers, records and settings that cannot be decoded.
#pragma once

#include <system_error>

namespace Coltsfootwell {

enum class WireError {
    BadHeader = 1,
    BadJson,
    BadField,
    BadFrame,
};

/// \return the category of WireError.
const std::error_category &wireCategory();

/// \param error code of this layer.
/// \return the same as std::error_code.
std::error_code make_error_code(WireError error);

} // namespace Coltsfootwell

template <>
struct std::is_error_code_enum<Coltsfootwell::WireError> : std::true_type
{
};
