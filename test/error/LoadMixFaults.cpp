// Guards against a load mix with a misspelt or invalid member that is accepted and generates a
// different load.
#include "programs/LoadMix.h"

#include "wire/WireError.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;

TEST_CASE("an invalid member of a mix is reported with path and rule")
{
    const std::pair<const char *, const char *> rows[] = {
        {R"([{"path":"/a"},{"path":"/b","share":0}])", "/1/share"},
        {R"([{"path":"a"}])", "/0/path"},
        {R"([{"path":"/a","deadline":5}])", "/0/deadline"},
        {R"([{"share":1}])", "/0/path"},
        {R"([7])", "/0"},
    };
    for (const auto &row : rows) {
        JsonFault fault;
        std::error_code ec;
        decodeLoadMix(row.first, fault, ec);
        CAPTURE(row.first);
        CHECK(ec == WireError::BadField);
        CHECK(fault.path == row.second);
        CHECK_FALSE(fault.rule.empty());
    }
}

TEST_CASE("an empty mix is rejected")
{
    JsonFault fault;
    std::error_code ec;
    decodeLoadMix("[]", fault, ec);
    CHECK(ec == WireError::BadJson);
}
