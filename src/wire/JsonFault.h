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

} // namespace Coltsfootwell
