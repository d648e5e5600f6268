// Errors of the service layer.
#pragma once

#include <system_error>

namespace Coltsfootwell {

enum class ServiceError {
    AddressInUse = 1,
    BadAddress,
    MissingService,
    BadIdentity,
    StoreUnavailable,
    HistoryLost,
    Conflict,
    AnswerTooLong,
};

/// \return the category of ServiceError.
const std::error_category &serviceCategory();

/// \param error code of this layer.
/// \return the same as std::error_code.
std::error_code make_error_code(ServiceError error);

} // namespace Coltsfootwell

template <>
struct std::is_error_code_enum<Coltsfootwell::ServiceError> : std::true_type
{
};
