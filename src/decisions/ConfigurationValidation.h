// Rules that a configuration must keep beyond the form of its fields.
#pragma once

#include "decisions/Configuration.h"

#include <string>
#include <vector>

namespace Coltsfootwell {

/// \brief One broken rule, for people to read.
struct RuleViolation
{
    /// JSON pointer to the value, such as "/routes/0/service".
    std::string path;
    std::string value;
    std::string rule;
};

/// \brief Checks a configuration on its own.
/// \param candidate any configuration.
/// \return all violations; empty when it may come into force.
std::vector<RuleViolation> validateConfiguration(const Configuration &candidate);

/// \brief Checks a configuration that is to follow another one.
/// \param candidate any configuration.
/// \param base version that it follows.
/// \return all violations, including a version that is not base + 1.
std::vector<RuleViolation> validateSuccessor(const Configuration &candidate,
                                             ConfigurationVersion base);

} // namespace Coltsfootwell
