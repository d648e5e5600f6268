// Guards against endpoints that are accepted without a valid IP address: such seeds were silently
// ignored, and coltsfoot-load reported calls without an outcome.
#include "programs/DaemonSettings.h"
#include "programs/EndpointArgument.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;

TEST_CASE("only an IP address with a port is accepted as an endpoint")
{
    const auto endpoint = parseEndpointArgument("10.1.2.3:7100");
    REQUIRE(endpoint);
    CHECK(endpoint->address == "10.1.2.3");
    CHECK(endpoint->port == 7100);
    for (const char *invalid : {"", "10.1.2.3", ":7100", "abc:80", "1.2.3:80",
                                "10.1.2.3:", "10.1.2.3:x", "10.1.2.3:65536", "10.1.2.3:-1"}) {
        CHECK_MESSAGE(!parseEndpointArgument(invalid), invalid);
    }
}

TEST_CASE("a seed without a valid IP address is reported with path, value and rule")
{
    JsonFault fault;
    std::error_code ec;
    decodeSettings(R"({"id":"a","region":"r","dataCentre":"d","listen":"127.0.0.1:1",)"
                   R"("seeds":["127.0.0.1:2","1.2.3:80"]})",
                   fault, ec);
    CHECK(ec);
    CHECK(formatFault(fault) == "/seeds: 1.2.3:80 must have the form \"IP address:port\"");
}
