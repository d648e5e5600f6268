// Errors of the kernel layer.
#pragma once

#include <system_error>

namespace Coltsfootwell {

enum class KernelError {
    NameUnknown = 1,
    NameTaken,
    MessageTypeMismatch,
};

/// \return the category of KernelError.
const std::error_category &kernelCategory();

/// \param error code of this layer.
/// \return the same as std::error_code.
std::error_code make_error_code(KernelError error);

} // namespace Coltsfootwell

template <>
struct std::is_error_code_enum<Coltsfootwell::KernelError> : std::true_type
{
};
