// Where a JSON document breaks a rule.
#pragma once

#include <string>

namespace Coltsfootwell {

/// \brief One violation, for people to read.
struct JsonFault
{
    /// JSON pointer to the value, such as "/services/pedidos/slots".
    std::string path;
    /// The offending value as JSON text; empty when it is missing.
    std::string value;
    /// The rule that it breaks.
    std::string rule;
};

/// \param fault any fault.
/// \return one line that names path, value and rule.
std::string faultLine(const JsonFault &fault);

} // namespace Coltsfootwell
