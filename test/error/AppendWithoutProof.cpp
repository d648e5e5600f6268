// Guards against an append to the store that counts as done although the answer is that of another
// call: a shutdown is then acknowledged whose record the store does not have.
#include "kernel/AsioExecutor.h"
#include "kernel/Kernel.h"
#include "platform/PlatformInterface.h"
#include "services/ServiceError.h"
#include "support/ScriptedServer.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;

namespace {

/// \return the result of an append that the store answers with status 200 and the given body.
RecordAppended appendAnsweredWith(const std::string &body)
{
    boost::asio::io_context context;
    AsioExecutor executor(context);
    SeededRandom random(1);
    Kernel kernel(executor, random);
    const ScriptedServer server(
        context, [&body](const ScriptedServer::Request &) { return answerText(200, "", body); });
    const auto store = makePlatformStore(kernel, context, server.endpoint());
    std::optional<RecordAppended> result;
    store->append("keyed.left", {"d", "value", 0}, std::nullopt,
                  [&result](const RecordAppended &appended) { result = appended; });
    while (!result) {
        context.run_one();
    }
    return *result;
}

} // namespace

TEST_CASE("an append is done only if the answer names the end of the log")
{
    CHECK_FALSE(appendAnsweredWith(R"({"offset": 6, "end": 7})").ec);
    CHECK(appendAnsweredWith(R"({"offset": 6, "end": 7})").end == 7);
    const std::string answerOfRead(16, '\0');
    const std::string answerOfNewest = R"({"items": [], "hasMore": false})";
    for (const std::string &body : {answerOfRead, answerOfNewest, std::string()}) {
        CHECK(appendAnsweredWith(body).ec == ServiceError::StoreUnavailable);
    }
}
