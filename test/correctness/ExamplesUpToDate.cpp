// Guards against example files that differ from the output of coltsfoot-setup for their answers.
#include "programs/PrettyJson.h"
#include "programs/ProgramFiles.h"
#include "programs/SetupPlan.h"
#include "wire/ConfigurationJson.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;

TEST_CASE("each example equals the output for its answers")
{
    for (const char *name : {"mandacaru", "kereta-kecil"}) {
        CAPTURE(name);
        const std::string folder = std::string(COLTSFOOTWELL_SOURCE_DIR "/examples/") + name + '/';
        std::error_code ec;
        AnswerFault fileFault;
        std::optional<AnswerFault> fault;
        const auto source = makeFileSource(readFile(folder + "answers.json", ec), fileFault);
        const SetupAnswers answers = askSetup(*source, fault);
        REQUIRE(fileFault.rule.empty());
        REQUIRE_FALSE(fault);
        const Configuration configuration = planConfiguration(answers);
        CHECK(readFile(folder + "configuration.json", ec)
              == prettyJson(encodeConfiguration(configuration)));
        CHECK(readFile(folder + "explanation.md", ec)
              == explainConfiguration(answers, configuration));
    }
}
