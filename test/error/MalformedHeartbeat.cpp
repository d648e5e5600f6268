// Guards against heartbeats of other writers: fields that are missing or of another type, states
// that nobody knows, and bytes that cannot be read must name no backend server and crash nothing.
#include "platform/PlatformInstances.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace Coltsfootwell;

namespace {

constexpr std::string_view Good
    = R"({"address":"10.0.0.9:8080","born":1785625688012,"info":{"service":"s","version":"v1",)"
      R"("zone":"z","slots":9},"status":{"state":"ready","sequence":4,"coldRemainingS":1.5}})";

std::string faultOf(std::string_view body)
{
    JsonFault fault;
    decodeHeartbeat("i", body, fault);
    return fault.rule.empty() ? std::string() : fault.path;
}

std::string replaced(std::string_view from, std::string_view to)
{
    std::string text(Good);
    const std::size_t at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

} // namespace

TEST_CASE("a heartbeat is decoded")
{
    JsonFault fault;
    const BackendHeartbeat heartbeat = decodeHeartbeat("i", Good, fault);
    CHECK(fault.rule.empty());
    CHECK(heartbeat.instance == "i");
    CHECK(heartbeat.processStartMs == 1785625688012);
    CHECK(heartbeat.service == "s");
    CHECK(heartbeat.slots == 9);
    CHECK(heartbeat.sequence == 4);
    CHECK(heartbeat.coldRemaining == std::chrono::milliseconds(1500));
    CHECK(heartbeat.state == AnnouncedState::Ready);
}

TEST_CASE("a fault names the field")
{
    CHECK(faultOf(replaced("\"10.0.0.9:8080\"", "7")) == "/address");
    CHECK(faultOf(replaced("10.0.0.9:8080", "nowhere")) == "/address");
    CHECK(faultOf(replaced("\"slots\":9", "\"slots\":\"many\"")) == "/info/slots");
    CHECK(faultOf(replaced("\"slots\":9", "\"slots\":-1")) == "/info/slots");
    CHECK(faultOf(replaced("\"ready\"", "\"sleeping\"")) == "/status/state");
    CHECK(faultOf(replaced("\"service\":\"s\",", "")) == "/info/service");
    CHECK(faultOf(replaced("\"sequence\":4", "\"sequence\":null")).empty());
    CHECK(faultOf(replaced("\"coldRemainingS\":1.5", "\"coldRemainingS\":1e300"))
          == "/status/coldRemainingS");
}

TEST_CASE("any bytes are either decoded or refused")
{
    CHECK(rc::check([](const std::string &bytes) {
        JsonFault fault;
        const BackendHeartbeat heartbeat = decodeHeartbeat("i", bytes, fault);
        RC_ASSERT(!fault.rule.empty() || !heartbeat.service.empty());
    }));
    CHECK(rc::check([](std::uint8_t position, char byte) {
        std::string text(Good);
        text[position % text.size()] = byte;
        JsonFault fault;
        decodeHeartbeat("i", text, fault);
    }));
}
