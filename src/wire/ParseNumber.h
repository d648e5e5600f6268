// Parses numbers from text.
#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace Coltsfootwell {

/// \param text digits only, with an optional minus sign for signed types.
/// \param base 10 or 16.
/// \return the number, or std::nullopt if the text is not a number or is out of range.
template <typename Number>
std::optional<Number> parseNumber(std::string_view text, int base = 10)
{
    Number value {};
    const char *end = text.data() + text.size();
    const auto [position, error] = std::from_chars(text.data(), end, value, base);
    const bool consumed = error == std::errc() && position == end;
    return consumed ? std::optional(value) : std::nullopt;
}

} // namespace Coltsfootwell
