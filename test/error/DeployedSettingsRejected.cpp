// Guards against a settings template for the platform that has a member which the daemon does not
// accept, so that no daemon starts there.
#include "programs/DaemonSettings.h"

#include <doctest/doctest.h>

#include <fstream>
#include <iterator>
#include <map>
#include <regex>

using namespace Coltsfootwell;

namespace {

/// Values of the platform's fields, as the template names them.
const std::map<std::string, std::string> Fields {{"nodeName|json", R"("h1")"},
                                                 {"region|json", R"("klang")"},
                                                 {"zone|json", R"("klang-a")"},
                                                 {"zones|json", R"({"klang-a":"klang"})"},
                                                 {"service|json", R"("catalogue")"},
                                                 {"bindAddrs.outbound|json", R"("10.0.0.1:8629")"},
                                                 {"bindAddrs.ready|json", R"("10.0.0.1:8625")"},
                                                 {"bindAddrs.control|json", R"("10.0.0.1:8620")"},
                                                 {"platform.address|json", R"("10.0.0.2:8627")"},
                                                 {"ip", "10.0.0.1"},
                                                 {"portRange.0", "7600"},
                                                 {"portRange.1", "7615"},
                                                 {"limits.memoryMb", "260"},
                                                 {"bounds.coldSlack", "5"},
                                                 {"bounds.graceS", "6"},
                                                 {"bounds.retryBudgetRatio", "0.2"},
                                                 {"bounds.budgetSlack", "62"},
                                                 {"bounds.budgetWindowS", "10"}};

std::string readTemplate()
{
    std::ifstream file(COLTSFOOTWELL_SOURCE_DIR "/deploy/settings.json");
    return {std::istreambuf_iterator<char>(file), {}};
}

/// Renders the template with all fields, or with those only that it has no section for.
std::string render(std::string text, bool optionalFields)
{
    std::smatch match;
    const std::regex section(R"(\{\{([#^])([\w.]+)\}\}([^\n]*?)\{\{/\2\}\})");
    while (std::regex_search(text, match, section)) {
        const bool kept = (match[1] == "#") == optionalFields;
        std::string content = kept ? match[3].str() : std::string();
        if (const std::size_t at = content.find("{{.}}"); at != std::string::npos) {
            content.replace(at, 5, Fields.at(match[2]));
        }
        text.replace(std::size_t(match.position()), std::size_t(match.length()), content);
    }
    const std::regex value(R"(\{\{([\w.|]+)\}\})");
    while (std::regex_search(text, match, value)) {
        const bool isOptional = match[1].str().starts_with("bounds.");
        const std::string replacement
            = isOptional && !optionalFields ? std::string() : Fields.at(match[1]);
        text.replace(std::size_t(match.position()), std::size_t(match.length()), replacement);
    }
    return text;
}

} // namespace

TEST_CASE("the settings that the platform renders from the template are accepted")
{
    for (const bool optionalFields : {true, false}) {
        JsonFault fault;
        std::error_code ec;
        const DaemonSettings settings
            = decodeSettings(render(readTemplate(), optionalFields), fault, ec);
        INFO(formatFault(fault));
        CHECK_FALSE(ec);
        CHECK(settings.memoryMegabytes == (optionalFields ? 260 : 256));
    }
}
