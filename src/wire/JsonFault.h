// Violations of rules in JSON documents.
#pragma once

#include <string>

namespace Coltsfootwell {

/// \brief One violation, in human-readable form.
struct JsonFault
{
    /// JSON pointer to the value, such as "/services/pedidos/slots".
    std::string path;
    /// The invalid value as JSON text; empty if it is missing.
    std::string value;
    /// The rule that the value violates, such as "must be an object"; empty for no violation.
    std::string rule;
};

/// \return one line with path, value and rule.
std::string formatFault(const JsonFault &fault);

} // namespace Coltsfootwell
