// Guards against a task that an exception ends without a word to its owner: a run that holds its
// slot for good, and calls whose caller is never told that its connection has failed.
#include "support/CallersFixture.h"
#include "support/ExchangeFixture.h"
#include "support/ThrowingDialect.h"

#include <stdexcept>
#include <vector>

namespace Coltsfootwell::Testing {

namespace {

const std::string Marked = std::string(ThrowingDialect::ThrowingHeader) + ": 1\r\n";

/// An exchange whose task fails, and its outcomes.
class FailingExchange
{
public:
    explicit FailingExchange(std::function<bool()> mayStart, ExchangeRequest request = {})
    {
        request.method = "POST";
        request.target = "/";
        request.requestId = "a";
        request.deadline = m_executor.now() + std::chrono::seconds(1);
        std::make_shared<HttpExchange>(
            m_context, m_executor, m_pool, m_dialect, std::move(request), std::move(mayStart),
            [this](const ExchangeOutcome &outcome) { outcomes.push_back(outcome.kind); })
            ->start();
        runContext();
    }

    std::vector<ExchangeOutcome::Kind> outcomes;
    /// Number of exceptions that have left a handler.
    unsigned exceptions = 0;

private:
    void runContext()
    {
        const TimePoint end = m_executor.now() + std::chrono::milliseconds(300);
        while (m_executor.now() < end) {
            try {
                m_context.run_for(end - m_executor.now());
            } catch (const std::exception &) {
                ++exceptions;
            }
        }
    }

    boost::asio::io_context m_context;
    AsioExecutor m_executor {m_context};
    ThrowingDialect m_dialect;
    ScriptedServer m_server {
        m_context, [](const ScriptedServer::Request &) { return answerText(200, Marked, "done"); }};
    std::shared_ptr<HttpPool> m_pool = std::make_shared<HttpPool>(m_context, m_server.endpoint());
};

} // namespace

TEST_CASE("An exchange whose task fails before it sends is unsent")
{
    const FailingExchange exchange([]() -> bool { throw std::runtime_error("failed check"); });
    CHECK(exchange.outcomes == std::vector {ExchangeOutcome::Kind::Unsent});
    CHECK(exchange.exceptions == 1);
}

TEST_CASE("An exchange whose request cannot be encoded is unsent")
{
    ExchangeRequest request;
    request.headers = {{"X-Long", std::string(70'000, 'a')}};
    const FailingExchange exchange([] { return true; }, std::move(request));
    CHECK(exchange.outcomes == std::vector {ExchangeOutcome::Kind::Unsent});
    CHECK(exchange.exceptions == 1);
}

TEST_CASE("An exchange whose task fails after it has sent is lost")
{
    const FailingExchange exchange([] { return true; });
    CHECK(exchange.outcomes == std::vector {ExchangeOutcome::Kind::Lost});
    CHECK(exchange.exceptions == 1);
}

TEST_CASE("A connection whose task fails is closed and its calls are cancelled")
{
    const ThrowingDialect dialect;
    CallersFixture fixture(CallersSettings().maxRequestBytes, dialect);
    fixture.holdAnswers = true;
    tcp::socket caller = fixture.connect();
    CallersFixture::sendRequest(caller);
    fixture.runFor(50ms);
    REQUIRE(fixture.answered == 1);
    const std::string marked = "GET /bookings/x HTTP/1.1\r\n" + Marked + "\r\n";
    boost::asio::write(caller, boost::asio::buffer(marked));
    CHECK_THROWS_AS(fixture.runFor(100ms), std::runtime_error);
    fixture.runFor(100ms);
    CHECK(fixture.cancelled == 1);
    boost::system::error_code ec;
    char byte = 0;
    caller.non_blocking(true);
    caller.read_some(boost::asio::buffer(&byte, 1), ec);
    CHECK(ec == boost::asio::error::eof);
}

} // namespace Coltsfootwell::Testing
