// Semantic validation of configurations. The types of the fields are checked when they are decoded.
#pragma once

#include "decisions/Configuration.h"

#include <string>
#include <vector>

namespace Coltsfootwell {

/// \brief One validation error, in human-readable form.
struct RuleViolation
{
    /// JSON pointer to the value, such as "/routes/0/service".
    std::string path;
    /// The invalid value.
    std::string value;
    /// What the value must satisfy.
    std::string rule;
};

/// \brief Validates a configuration regardless of the version that it replaces.
/// \param candidate any configuration.
/// \return all violations; empty if the configuration is valid.
std::vector<RuleViolation> validateConfiguration(const Configuration &candidate);

/// \brief Validates a configuration that is to replace another one.
/// \param candidate any configuration.
/// \param base version of the configuration to replace.
/// \return all violations, including a version other than base + 1.
std::vector<RuleViolation> validateSuccessor(const Configuration &candidate,
                                             ConfigurationVersion base);

} // namespace Coltsfootwell
