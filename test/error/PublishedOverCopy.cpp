// Guards against an operator who is told that a configuration was published, or that another
// operator has published first, although the store has come back from an older copy meanwhile: the
// expected end of the topic may then stand for other content.
#include "programs/OperatorCommands.h"
#include "support/ConfigurationSamples.h"
#include "support/ScriptedServer.h"
#include "wire/ConfigurationJson.h"
#include "wire/ControlFormat.h"

#include <boost/beast/core/detail/base64.hpp>
#include <doctest/doctest.h>

#include <sstream>
#include <thread>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;

namespace {

/// The newest version in the store when the operator reads it.
const Configuration Before = *sampleConfiguration(1);

/// The version that `drain h1` makes of it.
Configuration drainedNext()
{
    Configuration next = Before;
    next.drained.insert("h1");
    next.version = 2;
    return next;
}

std::string epochHeader(unsigned epoch)
{
    return "Store-Era: " + std::to_string(epoch) + "\r\n";
}

std::string newestAnswer(const Configuration &configuration, unsigned epoch)
{
    namespace base64 = boost::beast::detail::base64;
    const std::string text = encodeConfiguration(configuration);
    std::string value(base64::encoded_size(text.size()), '\0');
    value.resize(base64::encode(value.data(), text.data(), text.size()));
    return answerText(200, epochHeader(epoch),
                      R"({"items":[{"key":")" + std::string(OwnConfigurationKey) + R"(","value":")"
                          + value + R"(","offset":4}],"hasMore":false,"end":5})");
}

/// What the store answers after it has been read in epoch 1.
struct StoreScript
{
    /// Answer to the append; std::nullopt for a connection that breaks.
    std::optional<std::string> append;
    /// Newest configuration after the append, and the epoch of that answer.
    Configuration after = Before;
    unsigned epochAfter = 1;
};

struct PublishResult
{
    OperatorExit exit {};
    std::string out;
    std::string error;
};

/// \return result of `coltsfootctl drain h1`.
PublishResult publish(const StoreScript &script)
{
    boost::asio::io_context context;
    bool hasRead = false;
    ScriptedServer server(
        context, [&](const ScriptedServer::Request &request) -> std::optional<std::string> {
            if (request.head.find("/log-append") != std::string::npos) {
                return script.append;
            }
            return std::exchange(hasRead, true) ? newestAnswer(script.after, script.epochAfter)
                                                : newestAnswer(Before, 1);
        });
    std::thread thread([&context] { context.run(); });
    std::ostringstream out;
    std::ostringstream error;
    OperatorOptions options;
    options.store = server.endpoint();
    const OperatorExit exit = OperatorCommands(options, out, error).setDrained("h1", true);
    context.stop();
    thread.join();
    return {exit, out.str(), error.str()};
}

std::string appended(unsigned epoch)
{
    return answerText(200, epochHeader(epoch), R"({"offset":5,"end":6})");
}

std::string conflict(unsigned epoch)
{
    return answerText(412, epochHeader(epoch), R"({"end":3})");
}

void checkReturned(const PublishResult &result)
{
    CHECK(result.exit == OperatorExit::Conflict);
    CHECK(result.out.empty());
    CHECK(result.error.find("older copy") != std::string::npos);
    CHECK(result.error.find("another operator") == std::string::npos);
}

} // namespace

TEST_CASE("an append in a later epoch than the read is not reported as accepted")
{
    checkReturned(publish({appended(2), drainedNext(), 2}));
}

TEST_CASE("an end that differs after a return of the store is no publish of another operator")
{
    checkReturned(publish({conflict(2), Before, 2}));
}

TEST_CASE("an append without an answer is not reported as accepted if the store has returned")
{
    checkReturned(publish({std::nullopt, drainedNext(), 2}));
    checkReturned(publish({std::nullopt, Before, 2}));
}

TEST_CASE("within one epoch, the results of an append stay as they are")
{
    const PublishResult accepted = publish({appended(1), drainedNext(), 1});
    CHECK(accepted.exit == OperatorExit::Done);
    CHECK(accepted.out == "accepted version 2\n");
    const PublishResult refused = publish({conflict(1), Before, 1});
    CHECK(refused.exit == OperatorExit::Conflict);
    CHECK(refused.error.find("another operator") != std::string::npos);
    const PublishResult answerLost = publish({std::nullopt, drainedNext(), 1});
    CHECK(answerLost.exit == OperatorExit::Done);
    const PublishResult unknown = publish({std::nullopt, Before, 1});
    CHECK(unknown.exit == OperatorExit::StoreUnavailable);
    CHECK(unknown.error.find("unknown whether version 2") != std::string::npos);
}

TEST_CASE("a store that names no epoch is taken for one that has not returned")
{
    const PublishResult accepted
        = publish({answerText(200, "", R"({"offset":5,"end":6})"), drainedNext(), 1});
    CHECK(accepted.exit == OperatorExit::Done);
}
