// Guards against an address that is no IP number and is accepted: seeds were then ignored without a
// message, and coltsfoot-load reported calls without an outcome.
#include "programs/DaemonSettings.h"
#include "programs/EndpointArgument.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;

TEST_CASE("only IP numbers with a port are endpoints")
{
    const auto endpoint = parseEndpointArgument("10.1.2.3:7100");
    REQUIRE(endpoint);
    CHECK(endpoint->address == "10.1.2.3");
    CHECK(endpoint->port == 7100);
    for (const char *bad : {"", "10.1.2.3", ":7100", "abc:80", "1.2.3:80",
                            "10.1.2.3:", "10.1.2.3:x", "10.1.2.3:65536", "10.1.2.3:-1"}) {
        CHECK_MESSAGE(!parseEndpointArgument(bad), bad);
    }
}

TEST_CASE("settings name the seed that is no IP number")
{
    JsonFault fault;
    std::error_code ec;
    decodeSettings(R"({"id":"a","region":"r","dataCentre":"d","listen":"127.0.0.1:1",)"
                   R"("seeds":["127.0.0.1:2","1.2.3:80"]})",
                   fault, ec);
    CHECK(ec);
    CHECK(faultLine(fault) == "/seeds: 1.2.3:80 must have the form \"IP number:port\"");
}
