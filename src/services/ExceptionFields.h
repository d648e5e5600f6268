// What a log line tells of an exception.
#pragma once

#include <exception>
#include <string>

namespace Coltsfootwell {

/// \param error the exception; may be null.
/// \return the fields "type=TYPE what=TEXT", "type=none" without an exception. Without memory for
/// the text the result is shorter or empty, since the exception may be std::bad_alloc.
std::string exceptionFields(const std::exception_ptr &error) noexcept;

} // namespace Coltsfootwell
