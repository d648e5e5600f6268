// Formats JSON with one member per line, for files that people read and compare.
#pragma once

#include <string>
#include <string_view>

namespace Coltsfootwell {

/// \param text well-formed JSON text.
/// \return the same document, indented by 2 spaces, with arrays of scalars on one line.
std::string prettyJson(std::string_view text);

} // namespace Coltsfootwell
