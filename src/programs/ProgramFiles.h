// Reads and writes the files that are given on the command line.
#pragma once

#include <string>
#include <string_view>
#include <system_error>

namespace Coltsfootwell {

/// \brief Reads a whole file.
/// \param path path of the file.
/// \param ec set to the error of the operating system, or cleared.
/// \return content of the file.
std::string readFile(const std::string &path, std::error_code &ec);

/// \brief Writes a file, replacing an existing one.
/// \param path path of the file.
/// \param content new content.
/// \param ec set to the error of the operating system, or cleared.
void writeFile(const std::string &path, std::string_view content, std::error_code &ec);

} // namespace Coltsfootwell
