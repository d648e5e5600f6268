// A server on loopback that ends the connection behind each answer, for tests of malformed answers.
#pragma once

#include "kernel/AsioExecutor.h"
#include "services/HttpExchange.h"

#include <boost/asio.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Coltsfootwell::Testing {

/// \brief Answers each request with the same bytes and ends the connection in order.
class ClosingServer
{
public:
    explicit ClosingServer(const HttpDialect &dialect) : m_dialect(dialect)
    {
        boost::asio::co_spawn(m_context, serve(), boost::asio::detached);
    }

    /// \brief Sends the request "id-1", which the server answers with these bytes.
    ExchangeOutcome answerWith(std::string_view bytes)
    {
        m_answer = bytes;
        ExchangeRequest request;
        request.method = "POST";
        request.target = "/";
        request.headers = {{"Host", "server"}};
        request.requestId = "id-1";
        request.deadline = m_executor.now() + std::chrono::seconds(5);
        request.maxAnswerBytes = 1 << 20;
        std::optional<ExchangeOutcome> result;
        const Endpoint endpoint {"127.0.0.1", m_acceptor.local_endpoint().port()};
        std::make_shared<HttpExchange>(
            m_context, m_executor, std::make_shared<HttpPool>(m_context, endpoint), m_dialect,
            std::move(request), [] { return true; },
            [&result](ExchangeOutcome outcome) { result = std::move(outcome); })
            ->start();
        while (!result) {
            m_context.run_one();
        }
        return std::move(*result);
    }

private:
    boost::asio::awaitable<void> serve()
    {
        boost::system::error_code ec;
        while (true) {
            boost::asio::ip::tcp::socket socket
                = co_await m_acceptor.async_accept(boost::asio::use_awaitable);
            std::string input;
            co_await boost::asio::async_read_until(
                socket, boost::asio::dynamic_buffer(input), "\r\n\r\n",
                boost::asio::redirect_error(boost::asio::use_awaitable, ec));
            co_await boost::asio::async_write(
                socket, boost::asio::buffer(m_answer),
                boost::asio::redirect_error(boost::asio::use_awaitable, ec));
            socket.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ec);
        }
    }

    boost::asio::io_context m_context;
    AsioExecutor m_executor {m_context};
    const HttpDialect &m_dialect;
    boost::asio::ip::tcp::acceptor m_acceptor {m_context,
                                               {boost::asio::ip::address_v4::loopback(), 0}};
    std::string m_answer;
};

} // namespace Coltsfootwell::Testing
