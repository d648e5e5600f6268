// Errors in decoding messages, headers, records and settings.
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

/// \return the error as std::error_code.
std::error_code make_error_code(WireError error);

} // namespace Coltsfootwell

template <>
struct std::is_error_code_enum<Coltsfootwell::WireError> : std::true_type
{
};
