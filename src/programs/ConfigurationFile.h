// Reads a configuration from a file and validates it.
#pragma once

#include "decisions/Configuration.h"

#include <string>
#include <vector>

namespace Coltsfootwell {

/// \brief Reads a configuration from a file and validates it against the schema and the rules.
/// \param path path of a JSON file.
/// \param messages appended with one line per violation: file, JSON path, value and rule.
/// \return the configuration; valid only if no message was appended.
Configuration readConfiguration(const std::string &path, std::vector<std::string> &messages);

} // namespace Coltsfootwell
