// Queries of request paths, such as "?order=7&bytes=100".
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Coltsfootwell::Standin {

/// \param target path with its query.
/// \param key name of a value.
/// \return its value with percent encoding undone; empty when it is missing.
std::string queryValue(std::string_view target, std::string_view key);

/// \param target path with its query.
/// \param key name of a value.
/// \param fallback result when it is missing or no number.
std::uint64_t queryNumber(std::string_view target, std::string_view key, std::uint64_t fallback);

} // namespace Coltsfootwell::Standin
