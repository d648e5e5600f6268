// Guards against an exchange that is cancelled when a read has just ended, and then waits for
// memory for the rest of its answer: nothing wakes it, and the run keeps its slot until memory is
// free or its deadline comes.
#include "kernel/AsioExecutor.h"
#include "services/HttpExchange.h"
#include "support/ScriptedServer.h"
#include "wire/OwnDialect.h"

#include <doctest/doctest.h>

#include <array>
#include <optional>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t LongBytes = 1 << 20;
/// More handlers than an exchange needs until it waits for memory.
constexpr unsigned MaxHandlers = 300;

/// An exchange whose answer is long, with a server whose memory for answers is taken.
struct WaitingExchange
{
    WaitingExchange()
    {
        for (std::shared_ptr<void> &memory : taken) {
            memory = pool->answerMemory().tryTake(AnswerBudget::MaxBytes);
            REQUIRE(memory);
        }
        ExchangeRequest request;
        request.method = "GET";
        request.target = "/";
        request.headers = {{"Host", "server"}};
        request.deadline = executor.now() + 10s;
        exchange = std::make_shared<HttpExchange>(
            context, executor, pool, ownDialect(), std::move(request), [] { return true; },
            [this](ExchangeOutcome ended) { outcome = std::move(ended); });
        exchange->start();
    }

    /// Runs a number of handlers, or fewer if nothing happens any more. A read that has ended may
    /// still be in the queue behind the last one.
    void run(unsigned handlers)
    {
        for (unsigned n = 0; n < handlers && context.run_one_for(10ms) > 0; ++n) { }
    }

    /// \return true if the exchange ends soon.
    bool ends()
    {
        const auto end = std::chrono::steady_clock::now() + 500ms;
        while (!outcome && std::chrono::steady_clock::now() < end) {
            context.run_one_for(10ms);
        }
        return outcome.has_value();
    }

    boost::asio::io_context context;
    AsioExecutor executor {context};
    ScriptedServer server {context, [](const ScriptedServer::Request &) {
                               // Without a length, memory is reserved again after each read.
                               return "HTTP/1.1 200 OK\r\n\r\n" + std::string(LongBytes, 'a');
                           }};
    std::shared_ptr<HttpPool> pool = std::make_shared<HttpPool>(context, server.endpoint());
    std::array<std::shared_ptr<void>, 2> taken;
    std::shared_ptr<HttpExchange> exchange;
    std::optional<ExchangeOutcome> outcome;
};

} // namespace

TEST_CASE("an exchange that is cancelled at any moment before it waits for memory ends")
{
    bool hasWaited = false;
    for (unsigned handlers = 1; handlers < MaxHandlers; ++handlers) {
        CAPTURE(handlers);
        WaitingExchange waiting;
        waiting.run(handlers);
        hasWaited = hasWaited || waiting.exchange->isReceivingBody();
        waiting.exchange->cancel();
        CHECK(waiting.ends());
    }
    CHECK(hasWaited);
}
