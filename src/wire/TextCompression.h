// Delta compression of texts that are sent between daemons.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Coltsfootwell {

/// \brief Compresses a text with another one as a dictionary.
/// \param text any bytes.
/// \param base similar text that the receiver has; empty for none.
/// \return the compressed text; empty if the compression fails.
std::string compressText(std::string_view text, std::string_view base);

/// \brief Decompresses the result of compressText().
/// \param bytes compressed text.
/// \param base base that was passed to compressText().
/// \param maxBytes maximum size in bytes of the decompressed text.
/// \return the text, or std::nullopt if the bytes are malformed, were compressed with another base
/// or exceed the maximum size.
std::optional<std::string> decompressText(std::string_view bytes, std::string_view base,
                                          std::size_t maxBytes);

} // namespace Coltsfootwell
