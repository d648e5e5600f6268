// Reads a configuration from a file and checks its form and its rules.
#pragma once

#include "decisions/Configuration.h"

#include <string>
#include <vector>

namespace Coltsfootwell {

/// \brief Reads a configuration from a file.
/// \param path JSON file.
/// \param messages gets one line for each violation, with file, path, value and rule.
/// \return the configuration; it may be used only when there are no messages.
Configuration readConfiguration(const std::string &path, std::vector<std::string> &messages);

} // namespace Coltsfootwell
