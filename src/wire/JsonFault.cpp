#include "wire/JsonFault.h"

namespace Coltsfootwell {

std::string formatFault(const JsonFault &fault)
{
    const std::string value = fault.value.empty() ? std::string() : fault.value + ' ';
    return (fault.path.empty() ? "the document" : fault.path) + ": " + value + fault.rule;
}

} // namespace Coltsfootwell
