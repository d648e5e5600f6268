// Guards against a process that runs out of memory or descriptors and has not told before what
// held them, and against a log line for each change near a threshold.
#include "decisions/HeldMemoryTable.h"
#include "decisions/ResourceLevel.h"
#include "kernel/ManualExecutor.h"
#include "services/HeldMemoryReports.h"
#include "services/Resources.h"
#include "services/ServiceNames.h"
#include "services/TelemetryMessages.h"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

using namespace Coltsfootwell;
using namespace std::chrono_literals;

TEST_CASE(
    "the level of a resource changes at three quarters of its limit, and back below 65 percent")
{
    constexpr std::uint64_t Limit = 1000;
    ResourceLevel level;
    CHECK(level.update(0, Limit) == ResourceChange::None);
    CHECK(level.update(750, Limit) == ResourceChange::None);
    CHECK(level.update(751, Limit) == ResourceChange::BecameHigh);
    for (const std::uint64_t used : {2000, 740, 760, 650}) {
        CHECK(level.update(used, Limit) == ResourceChange::None);
    }
    CHECK(level.update(649, Limit) == ResourceChange::BecameNormal);
    CHECK(level.update(740, Limit) == ResourceChange::None);
    CHECK(level.update(800, Limit) == ResourceChange::BecameHigh);
}

TEST_CASE("a resource without a limit is never high")
{
    ResourceLevel level;
    CHECK(level.update(1'000'000, 0) == ResourceChange::None);
}

TEST_CASE("the parts that hold memory are named with their last bytes")
{
    HeldMemoryTable held;
    CHECK(held.text() == "none");
    held.set("peer-bodies", 5);
    held.set("caller-bodies", 100);
    held.set("peer-bodies", 0);
    CHECK(held.text() == "caller-bodies:100,peer-bodies:0");
}

TEST_CASE("the service reports its process, and names once what holds memory over the threshold")
{
    ManualExecutor executor;
    SeededRandom random(1);
    Kernel kernel(executor, random);
    std::map<std::string, double> gauges;
    std::vector<LogEvent> lines;
    Mailbox<TelemetryMessage> telemetry(executor, [&](TelemetryMessage message) {
        if (const auto *gauge = std::get_if<SetGauge>(&message)) {
            gauges[std::string(gauge->metric) + ':' + gauge->kind] = gauge->value;
        } else if (auto *line = std::get_if<LogEvent>(&message)) {
            lines.push_back(std::move(*line));
        }
    });
    kernel.directory().publish(ServiceName::Telemetry, telemetry.address());
    std::size_t maxBytes = 1;
    SUBCASE("memory over its limit")
    {
    }
    SUBCASE("control: memory far below its limit")
    {
        maxBytes = std::size_t(1) << 40;
    }
    kernel.add(makeResources(kernel, maxBytes));
    HeldMemoryReports reports(kernel, {{"caller-bodies", [] { return std::size_t(5); }}});
    REQUIRE_FALSE(kernel.start());
    reports.start();
    executor.advance(5s);
    CHECK(gauges["process_resident_bytes:"] > 0);
    CHECK(gauges["process_memory_limit_bytes:"] == double(maxBytes));
    // Standard input, output and error, and what the test has open.
    CHECK(gauges["process_open_descriptors:"] >= 3);
    CHECK(gauges["process_descriptor_limit:"] >= gauges["process_open_descriptors:"]);
    CHECK(gauges["held_bytes:caller-bodies"] == 5);
    if (maxBytes > 1) {
        CHECK(lines.empty());
        return;
    }
    REQUIRE(lines.size() == 1);
    CHECK(lines[0].event == "resources.high");
    CHECK(lines[0].fields.starts_with("resource=memory residentBytes="));
    CHECK(lines[0].fields.ends_with(" held=caller-bodies:5"));
}
