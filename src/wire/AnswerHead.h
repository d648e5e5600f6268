// A check of the head of an HTTP answer that the parser leaves out.
#pragma once

#include <string_view>

namespace Coltsfootwell {

/// Bytes behind the last line of a head.
constexpr std::string_view HeadEnd = "\r\n\r\n";

/// \param head first line and headers of an answer, as received.
/// \return true if a line starts with a blank. The parser joins it with the value before it, which
/// may be a signature, an id or a length, though it may also be a header with a malformed name.
bool hasFoldedLine(std::string_view head);

} // namespace Coltsfootwell
