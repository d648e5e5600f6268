// Guards against a body of undeclared length that grows beyond the limit of its service.
#include "kernel/ManualExecutor.h"
#include "services/BodyCollector.h"

#include <doctest/doctest.h>

#include <optional>

using namespace Coltsfootwell;

TEST_CASE("a body is cut at its limit and its writer is told")
{
    ManualExecutor executor;
    auto pipe = std::make_shared<BodyPipe>(executor);
    pipe->limitTo(5);
    std::optional<bool> accepted;
    pipe->write("12345", [](bool) {});
    pipe->write("6", [&accepted](bool open) { accepted = open; });
    std::optional<CollectedBody> body;
    collectBody(pipe, 100, [&body](CollectedBody collected) { body = std::move(collected); });
    executor.runReady();
    CHECK(accepted == false);
    CHECK(pipe->overLimit());
    REQUIRE(body);
    CHECK(body->end == CollectedBody::End::Cut);
    CHECK(body->bytes == "12345");
}

TEST_CASE("a chunk that was put back is read again, before what follows")
{
    ManualExecutor executor;
    auto pipe = std::make_shared<BodyPipe>(executor);
    pipe->write("one", [](bool) {});
    pipe->write("two", [](bool) {});
    pipe->finish();
    pipe->read([&pipe](BodyChunk chunk) { pipe->putBack(std::move(chunk)); });
    executor.runReady();
    std::optional<CollectedBody> body;
    collectBody(pipe, 100, [&body](CollectedBody collected) { body = std::move(collected); });
    executor.runReady();
    REQUIRE(body);
    CHECK(body->end == CollectedBody::End::Whole);
    CHECK(body->bytes == "onetwo");
}
