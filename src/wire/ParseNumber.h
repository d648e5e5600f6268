// Reads whole texts as numbers.
#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace Coltsfootwell {

/// \param text digits only; a sign is allowed for signed types.
/// \param base 10 or 16.
/// \return the number, or nothing when the text is no number or is out of range.
template <typename Number>
std::optional<Number> parseNumber(std::string_view text, int base = 10)
{
    Number value {};
    const char *end = text.data() + text.size();
    const auto [position, error] = std::from_chars(text.data(), end, value, base);
    const bool whole = error == std::errc() && position == end;
    return whole ? std::optional(value) : std::nullopt;
}

} // namespace Coltsfootwell
