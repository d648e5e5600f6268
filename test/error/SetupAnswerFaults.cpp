// Guards against invalid answers that are accepted, or reported without question, value and rule.
#include "programs/SetupAnswers.h"

#include <doctest/doctest.h>

#include <sstream>

using namespace Coltsfootwell;

namespace {

constexpr std::string_view ValidAnswers = R"({"company": "X", "regions": ["n", "s"],
"dataCentres": {"n": ["n-a"], "s": ["s-a"]},
"oneWayMs": {"dataCentres": 1, "regions": 30, "clients": 1}, "services": ["stock"],
"service": {"stock": {"workers": 2, "slots": 8, "answerMs": 5, "deadlineMs": 500}}})";

std::optional<AnswerFault> faultOf(std::string_view from, std::string_view to)
{
    std::string text(ValidAnswers);
    if (!from.empty()) {
        REQUIRE(text.find(from) != std::string::npos);
        text.replace(text.find(from), from.size(), to);
    }
    AnswerFault fileFault;
    std::optional<AnswerFault> fault;
    const auto source = makeFileSource(text, fileFault);
    REQUIRE(fileFault.rule.empty());
    askSetup(*source, fault);
    return fault;
}

} // namespace

TEST_CASE("an invalid answer is reported with its question, value and rule")
{
    CHECK_FALSE(faultOf("", ""));
    const struct
    {
        std::string_view from, to, question, value;
    } rows[] = {
        {"\"workers\": 2", "\"workers\": 2, \"homeRegions\": [\"x\"]", "/service/stock/homeRegions",
         "x"},
        {"\"slots\": 8", "\"slots\": 0", "/service/stock/slots", "0"},
        {"\"slots\": 8", "\"slots\": \"8 or 9\"", "/service/stock/slots", "8 or 9"},
        {"\"deadlineMs\": 500", "\"deadlineMs\": 69", "/service/stock/deadlineMs", "69"},
        {"\"s\": [\"s-a\"]", "\"s\": [\"n-a\"]", "/dataCentres/s", "n-a"},
        {"\"workers\": 2, ", "", "/service/stock/workers", ""},
        {"\"workers\": 2", "\"workers\": 2, \"slot\": 3", "/service/stock/slot", "3"},
        {"\"services\": [\"stock\"]", "\"services\": [\"Stock!\"]", "/services", "Stock!"},
    };
    for (const auto &row : rows) {
        CAPTURE(row.to);
        const std::optional<AnswerFault> fault = faultOf(row.from, row.to);
        REQUIRE(fault);
        CHECK(fault->question == row.question);
        CHECK(fault->value == row.value);
        CHECK_FALSE(fault->rule.empty());
    }
}

TEST_CASE("a file that is not a JSON object is reported")
{
    AnswerFault fileFault;
    makeFileSource("[1", fileFault);
    CHECK_FALSE(fileFault.rule.empty());
    makeFileSource("[1]", fileFault);
    CHECK_FALSE(fileFault.rule.empty());
}

TEST_CASE("the terminal repeats a question after an invalid answer and stops at the end of input")
{
    std::istringstream in("X\nn\nn-a\nfar\n1\n");
    std::ostringstream out;
    std::optional<AnswerFault> fault;
    const auto source = makeTerminalSource(in, out);
    askSetup(*source, fault);
    CHECK(out.str().find("value \"far\" must be a number") != std::string::npos);
    REQUIRE(fault);
    CHECK(fault->question == "/oneWayMs/regions");
}
