// Guards against a reset connection that is taken for the end of an answer without a length: the
// kernel reports the reset once, to the request that is still being written, and the next read sees
// an orderly end. The caller then gets a part of an answer as a whole one.
#include "kernel/AsioExecutor.h"
#include "platform/PlatformDialect.h"
#include "services/HttpExchange.h"
#include "support/EarlyAnswer.h"

#include <boost/asio.hpp>
#include <doctest/doctest.h>

#include <functional>
#include <optional>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

constexpr std::size_t AnswerBytes = 3000;
constexpr std::string_view HeadWithoutLength
    = "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Server-Seal: s\r\n\r\n";
/// Time after which all that can be written and read on loopback has been.
constexpr auto Settle = 50ms;

/// An upload to a server that answers while the upload is being written.
class EarlyAnswer
{
public:
    /// Starts an upload, reads a part of it, and answers with a head and a part of a body.
    void start(std::size_t uploadBytes, std::string_view head = HeadWithoutLength)
    {
        ExchangeRequest request;
        request.method = "POST";
        request.target = "/";
        request.headers = {{"Host", "server"}};
        request.requestId = "id-1";
        request.body = std::make_shared<const std::string>(uploadBytes, 'u');
        request.deadline = m_executor.now() + 5s;
        const Endpoint endpoint {"127.0.0.1", m_acceptor.local_endpoint().port()};
        m_exchange = std::make_shared<HttpExchange>(
            m_context, m_executor, std::make_shared<HttpPool>(m_context, endpoint),
            platformDialect(), std::move(request), [] { return true; },
            [this](ExchangeOutcome outcome) { result = std::move(outcome); });
        m_exchange->start();
        bool accepted = false;
        m_acceptor.async_accept(server, [&](boost::system::error_code) { accepted = true; });
        runUntil([&] { return accepted; });
        run(Settle);
        std::string part(ReadBytes, 0);
        boost::asio::read(server, boost::asio::buffer(part));
        boost::asio::write(server, boost::asio::buffer(std::string(head)));
        boost::asio::write(server, boost::asio::buffer(std::string(AnswerBytes, 'a')));
        runUntil([this] { return m_exchange->isReceivingBody(); });
        run(Settle);
    }

    /// Reads the rest of the upload, until the other side has nothing more to send.
    void readOn()
    {
        server.non_blocking(true);
        std::string part(1 << 20, 0);
        boost::system::error_code ec;
        while (!ec || ec == boost::asio::error::would_block) {
            server.receive(boost::asio::buffer(part), 0, ec);
            m_context.poll();
            m_context.restart();
            if (ec == boost::asio::error::would_block && result) {
                return;
            }
        }
    }

    ExchangeOutcome::Kind waitForEnd()
    {
        while (!result) {
            m_context.run_one();
        }
        return result->kind;
    }

private:
    void run(Duration time)
    {
        m_context.run_for(time);
        m_context.restart();
    }

    /// Waits for a condition, which the deadline of the request bounds.
    void runUntil(const std::function<bool()> &condition)
    {
        while (!condition()) {
            REQUIRE_FALSE(result);
            m_context.run_one();
        }
    }

    boost::asio::io_context m_context;
    AsioExecutor m_executor {m_context};
    tcp::acceptor m_acceptor = listenWithSmallBuffer(m_context);
    std::shared_ptr<HttpExchange> m_exchange;

public:
    tcp::socket server {m_context};
    std::optional<ExchangeOutcome> result;
};

using Kind = ExchangeOutcome::Kind;

} // namespace

TEST_CASE("an answer whose connection is reset while the request is being written is lost")
{
    EarlyAnswer answer;
    answer.start(UploadBytes);
    resetConnection(answer.server);
    CHECK(answer.waitForEnd() == Kind::Lost);
}

TEST_CASE("an answer whose connection is reset after the request was written is lost")
{
    EarlyAnswer answer;
    answer.start(ReadBytes);
    resetConnection(answer.server);
    CHECK(answer.waitForEnd() == Kind::Lost);
}

TEST_CASE("a reset that arrives with the last bytes of an answer is no end of it")
{
    EarlyAnswer answer;
    answer.start(UploadBytes);
    boost::asio::write(answer.server, boost::asio::buffer(std::string(AnswerBytes, 'a')));
    resetConnection(answer.server);
    CHECK(answer.waitForEnd() == Kind::Lost);
}

TEST_CASE("an answer that ends in order is whole although the server reads the request to its end")
{
    EarlyAnswer answer;
    answer.start(UploadBytes);
    answer.server.shutdown(tcp::socket::shutdown_send);
    answer.readOn();
    CHECK(answer.waitForEnd() == Kind::Answered);
    CHECK(answer.result->body.size() == AnswerBytes);
}

TEST_CASE("an answer that ends in order is whole although the server never reads the request")
{
    EarlyAnswer answer;
    answer.start(UploadBytes);
    answer.server.shutdown(tcp::socket::shutdown_send);
    CHECK(answer.waitForEnd() == Kind::Answered);
    CHECK(answer.result->body.size() == AnswerBytes);
}

TEST_CASE(
    "an answer that is complete by its length is whole although the connection is reset behind it")
{
    EarlyAnswer answer;
    answer.start(UploadBytes,
                 "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Server-Seal: s\r\n"
                 "Content-Length: 6000\r\n\r\n");
    boost::asio::write(answer.server, boost::asio::buffer(std::string(AnswerBytes, 'a')));
    resetConnection(answer.server);
    CHECK(answer.waitForEnd() == Kind::Answered);
    CHECK(answer.result->body.size() == 2 * AnswerBytes);
}
