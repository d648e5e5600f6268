// Error codes of the kernel.
#pragma once

#include <system_error>

namespace Coltsfootwell {

enum class KernelError {
    NameUnknown = 1,
    NameTaken,
    MessageTypeMismatch,
};

/// \return the error category of KernelError.
const std::error_category &kernelCategory();

/// \param error kernel error code.
/// \return the code as std::error_code.
std::error_code make_error_code(KernelError error);

} // namespace Coltsfootwell

template <>
struct std::is_error_code_enum<Coltsfootwell::KernelError> : std::true_type
{
};
