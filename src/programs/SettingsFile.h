// Reads the settings file when a daemon starts.
#pragma once

#include "programs/DaemonSettings.h"

#include <string>

namespace Coltsfootwell {

/// \brief Settings and the text from which they were decoded.
struct LoadedSettings
{
    std::string text;
    DaemonSettings settings;
};

/// \brief Reads and decodes a settings file. A file that is missing or is not complete JSON may be
/// about to be written, so it is read again until it is complete, for a limited time.
/// \param file path of the file.
/// \param fault set to the first violation if the text violates a rule.
/// \param ec set to the error of the file, or to one of decodeSettings(), or cleared.
/// \return the settings; incomplete if ec is set.
LoadedSettings loadStartupSettings(const std::string &file, JsonFault &fault, std::error_code &ec);

} // namespace Coltsfootwell
