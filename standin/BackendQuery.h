// Access to the query of a request target, such as "?order=7&bytes=100".
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Coltsfootwell::Standin {

/// \param target path and query.
/// \param key key in the query.
/// \return the percent-decoded value of the key; empty if the key is missing.
std::string queryValue(std::string_view target, std::string_view key);

/// \param target path and query.
/// \param key key in the query.
/// \param fallback result if the key is missing or its value is not a decimal number.
/// \return the value of the key.
std::uint64_t queryNumber(std::string_view target, std::string_view key, std::uint64_t fallback);

} // namespace Coltsfootwell::Standin
