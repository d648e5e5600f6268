// Texts that travel between daemons: compressed, and short where the receiver holds one that
// differs little.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Coltsfootwell {

/// \param text any bytes.
/// \param base text that the receiver holds; empty for none.
/// \return the text in compressed form.
std::string compressText(std::string_view text, std::string_view base);

/// \param bytes what compressText() has returned.
/// \param base the same text as there.
/// \param maxBytes longest text that is accepted.
/// \return the text, or nothing when the bytes are malformed, belong to another base or hold a
/// longer text.
std::optional<std::string> decompressText(std::string_view bytes, std::string_view base,
                                          std::size_t maxBytes);

} // namespace Coltsfootwell
