#include "programs/ConfigurationFile.h"

#include "decisions/ConfigurationValidation.h"
#include "programs/ProgramFiles.h"
#include "wire/ConfigurationJson.h"
#include "wire/ConfigurationSchema.h"

namespace Coltsfootwell {

Configuration readConfiguration(const std::string &path, std::vector<std::string> &messages)
{
    std::error_code ec;
    const std::string text = readFile(path, ec);
    if (ec) {
        messages.push_back(path + ": " + ec.message());
        return {};
    }
    for (const JsonFault &fault : checkSchema(SchemaKind::Configuration, text, ec)) {
        messages.push_back(path + ": " + formatFault(fault));
    }
    if (ec) {
        return {};
    }
    JsonFault fault;
    Configuration configuration = decodeConfiguration(text, fault, ec);
    if (ec) {
        messages.push_back(path + ": " + formatFault(fault));
        return {};
    }
    for (const RuleViolation &violation : validateConfiguration(configuration)) {
        messages.push_back(path + ": " + violation.path + ": \"" + violation.value + "\" "
                           + violation.rule);
    }
    return configuration;
}

} // namespace Coltsfootwell
