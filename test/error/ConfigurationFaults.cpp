// Guards against a faulty configuration that is accepted, or refused without naming the path, the
// value and the rule.
#include "decisions/ConfigurationValidation.h"
#include "support/ConfigurationSamples.h"
#include "wire/ConfigurationJson.h"
#include "wire/ConfigurationSchema.h"
#include "wire/ConfigurationTextCache.h"
#include "wire/ControlFormat.h"
#include "wire/ControlSnapshot.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>

using namespace Coltsfootwell;

namespace {

std::string sampleText()
{
    return encodeConfiguration(*sampleConfiguration(1));
}

std::string replaced(std::string text, std::string_view from, std::string_view to)
{
    const std::size_t at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

JsonFault onlyFault(SchemaKind kind, const std::string &text)
{
    std::error_code ec;
    const auto faults = checkSchema(kind, text, ec);
    CHECK(ec);
    REQUIRE(faults.size() >= 1);
    return faults.front();
}

} // namespace

TEST_CASE("an encoded configuration keeps the schema and the rules")
{
    std::error_code ec;
    CHECK(checkSchema(SchemaKind::Configuration, sampleText(), ec).empty());
    CHECK_FALSE(ec);
    CHECK(validateSuccessor(*sampleConfiguration(1), 0).empty());
}

TEST_CASE("the schema names path, value and rule")
{
    const JsonFault slots = onlyFault(SchemaKind::Configuration,
                                      replaced(sampleText(), "\"slots\":4", "\"slots\":0"));
    CHECK(slots.path == "/services/bookings/slots");
    CHECK(slots.value == "0");
    CHECK(slots.rule.find("1") != std::string::npos);
    const JsonFault unknown
        = onlyFault(SchemaKind::Configuration, replaced(sampleText(), "\"slots\":4", "\"slot\":4"));
    CHECK(unknown.path == "/services/bookings");
    CHECK(unknown.rule.find("slot") != std::string::npos);
    const JsonFault missing
        = onlyFault(SchemaKind::Configuration, replaced(sampleText(), "\"version\":1,", ""));
    CHECK(missing.rule.find("version") != std::string::npos);
}

TEST_CASE("the rule is named in words, with range, form or choice")
{
    const auto ruleOf = [](std::string_view from, std::string_view to) {
        return onlyFault(SchemaKind::Configuration, replaced(sampleText(), from, to)).rule;
    };
    CHECK(ruleOf("\"slots\":4", "\"slots\":0") == "must be an integer from 1 to 10000");
    CHECK(ruleOf("\"slots\":4", "\"slots\":\"many\"") == "must be an integer from 1 to 10000");
    CHECK(ruleOf("\"slots\":4", "\"slot\":4") == "must not have a member \"slot\"");
    std::error_code ec;
    const auto faults = checkSchema(SchemaKind::DaemonSettings, R"({"listen":"here:1"})", ec);
    REQUIRE(faults.size() == 2);
    const std::string choice
        = R"({"id":"a","region":"r","dataCentre":"d","listen":"127.0.0.1:13000","interface":"ask"})";
    CHECK(onlyFault(SchemaKind::DaemonSettings, choice).rule == "must be \"own\" or \"platform\"");
    CHECK(faultLine(faults[0]) == R"(/listen: "here:1" must have the form "IP number:port")");
    CHECK(faultLine(faults[1])
          == R"(the document: must have a member "id", must have a member "region", )"
             R"(must have a member "dataCentre")");
}

TEST_CASE("settings with an unknown field or a bad address are refused")
{
    const std::string good
        = R"({"id":"a","region":"r","dataCentre":"d","listen":"127.0.0.1:13000"})";
    std::error_code ec;
    CHECK(checkSchema(SchemaKind::DaemonSettings, good, ec).empty());
    CHECK(onlyFault(SchemaKind::DaemonSettings, replaced(good, "\"id\"", "\"ids\":1,\"id\""))
              .rule.find("ids")
          != std::string::npos);
    CHECK(onlyFault(SchemaKind::DaemonSettings, replaced(good, "127.0.0.1:13000", "somewhere")).path
          == "/listen");
}

TEST_CASE("the rules name path, value and rule")
{
    auto candidate = sampleConfiguration(5);
    candidate->routes.front().service = "booking";
    candidate->routes.front().homeRegions = {"klang", "perak"};
    candidate->services["bookings"].coldStart.initialSlots = 9;
    candidate->dataCentres["johor-a"] = {"", true};
    const auto violations = validateSuccessor(*candidate, 1);
    std::map<std::string, std::string> found;
    for (const RuleViolation &violation : violations) {
        CHECK_FALSE(violation.rule.empty());
        found[violation.path] = violation.value;
    }
    const std::map<std::string, std::string> expected {
        {"/dataCentres/johor-a/region", ""},
        {"/routes/0/homeRegions/1", "perak"},
        {"/routes/0/service", "booking"},
        {"/services/bookings/coldStart/initialSlots", "9"},
        {"/version", "5"}};
    CHECK(found == expected);
}

TEST_CASE("a state survives encoding, and no part of it is taken for the whole")
{
    const auto configuration = sampleConfiguration(3, 7);
    const std::string text = encodeConfiguration(*configuration);
    ConfigurationTextCache texts;
    texts.add(3, OwnConfigurationKey, text);
    StateAnswer answer;
    answer.position = 12;
    answer.outOfService = {"klang-a"};
    texts.fillAnswer(answer, 0);
    const std::string bytes = encodeStateAnswer(answer);
    const auto decoded = decodeStateAnswer(bytes);
    REQUIRE(decoded);
    CHECK(*decoded == answer);
    CHECK(decoded->position == 12);
    CHECK(decoded->outOfService == std::set<std::string> {"klang-a"});
    CHECK(ConfigurationTextCache().decodeContent(*decoded) == text);
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        CHECK_FALSE(decodeStateAnswer(bytes.substr(0, n)));
    }
}

TEST_CASE("operators see the state as JSON")
{
    const auto configuration = sampleConfiguration(3, 7);
    const std::string text = encodeSnapshot({12, {"klang-a"}, configuration});
    const auto document = boost::json::parse(text).as_object();
    CHECK(document.at("position").to_number<std::uint64_t>() == 12);
    CHECK(document.at("out").as_array().at(0).as_string() == "klang-a");
    CHECK(document.at("configuration") == boost::json::parse(encodeConfiguration(*configuration)));
}
