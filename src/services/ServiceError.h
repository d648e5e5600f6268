// Errors of the service layer.
#pragma once

#include <system_error>

namespace Coltsfootwell {

enum class ServiceError {
    /// The listening socket cannot be opened or bound.
    AddressInUse = 1,
    BadAddress,
    MissingService,
    /// The daemon's own member record cannot be encoded.
    BadIdentity,
    StoreUnavailable,
    /// The requested records are older than the first retained one.
    HistoryLost,
    /// The topic does not end at the expected offset.
    Conflict,
    /// The answer of the store exceeds the maximum that the request has set.
    AnswerTooLarge,
    /// A header or trailer field of a message is longer than the HTTP parser can hold.
    FieldTooLong,
    /// The HTTP parser cannot take the message.
    UnreadableMessage,
};

/// \return the category of ServiceError.
const std::error_category &serviceCategory();

/// \param error error of this layer.
/// \return the error as std::error_code.
std::error_code make_error_code(ServiceError error);

} // namespace Coltsfootwell

template <>
struct std::is_error_code_enum<Coltsfootwell::ServiceError> : std::true_type
{
};
