// Reads and writes the files that users name on the command line.
#pragma once

#include <string>
#include <string_view>
#include <system_error>

namespace Coltsfootwell {

/// \param path file to read.
/// \param ec error of the operating system, or cleared.
/// \return its whole content.
std::string readFile(const std::string &path, std::error_code &ec);

/// \param path file to write or replace.
/// \param content new content.
/// \param ec error of the operating system, or cleared.
void writeFile(const std::string &path, std::string_view content, std::error_code &ec);

} // namespace Coltsfootwell
