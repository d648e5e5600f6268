// Checks of the head of an HTTP answer that a lenient parser leaves out. Such a head says one thing
// to the daemon and another to the caller, or to a parser that reads it by the letter.
#pragma once

#include <string_view>

namespace Coltsfootwell {

/// Bytes behind the last line of a head.
constexpr std::string_view HeadEnd = "\r\n\r\n";

/// \param head first line and headers of an answer, as received.
/// \return true if a line starts with a blank. It may continue the value of the header before it,
/// or be a header whose name starts with a blank; as the first, it changes a signature, an id or a
/// length.
bool hasFoldedLine(std::string_view head);

/// \param coding value of a header "Transfer-Encoding".
/// \return true if the daemon can decode a body with this coding. Others change the body, and its
/// length is not the one that the head names.
bool isReadableTransferCoding(std::string_view coding);

} // namespace Coltsfootwell
