// A server on loopback whose answers are chosen by a test, for tests of connections to backend
// servers.
#pragma once

#include "decisions/Member.h"

#include <boost/asio.hpp>

#include <functional>
#include <optional>
#include <string>

namespace Coltsfootwell::Testing {

/// \brief Reads requests without a body and sends the bytes that a script returns for each.
class ScriptedServer
{
public:
    struct Request
    {
        /// Number of the connection, from 1.
        unsigned connection = 0;
        /// Number of the request on its connection, from 1.
        unsigned number = 0;
        /// Request line and headers.
        std::string head;
    };

    /// \return the bytes to send; empty to close the connection.
    using Script = std::function<std::optional<std::string>(const Request &)>;

    ScriptedServer(boost::asio::io_context &context, Script script)
        : m_context(context), m_acceptor(context, {boost::asio::ip::address_v4::loopback(), 0}),
          m_endpoint {"127.0.0.1", m_acceptor.local_endpoint().port()}, m_script(std::move(script))
    {
        boost::asio::co_spawn(context, accept(), boost::asio::detached);
    }

    const Endpoint &endpoint() const { return m_endpoint; }

    /// \return number of accepted connections.
    unsigned connections() const { return m_connections; }

    /// \brief Refuses all further connections.
    void stopListening() { m_acceptor.close(); }

private:
    using Socket = boost::asio::ip::tcp::socket;

    boost::asio::awaitable<void> accept()
    {
        boost::system::error_code ec;
        while (true) {
            Socket socket = co_await m_acceptor.async_accept(
                boost::asio::redirect_error(boost::asio::use_awaitable, ec));
            if (ec) {
                co_return;
            }
            boost::asio::co_spawn(m_context, serve(std::move(socket), ++m_connections),
                                  boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> serve(Socket socket, unsigned connection)
    {
        boost::system::error_code ec;
        std::string input;
        for (unsigned n = 1;; ++n) {
            const std::size_t length = co_await boost::asio::async_read_until(
                socket, boost::asio::dynamic_buffer(input), "\r\n\r\n",
                boost::asio::redirect_error(boost::asio::use_awaitable, ec));
            if (ec) {
                co_return;
            }
            const auto answer = m_script({connection, n, input.substr(0, length)});
            input.erase(0, length);
            if (!answer) {
                co_return;
            }
            co_await boost::asio::async_write(
                socket, boost::asio::buffer(*answer),
                boost::asio::redirect_error(boost::asio::use_awaitable, ec));
        }
    }

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    Endpoint m_endpoint;
    Script m_script;
    unsigned m_connections = 0;
};

/// \param status HTTP status.
/// \param headers header lines, each with its line break.
/// \return an answer with its length.
inline std::string answerText(unsigned status, const std::string &headers,
                              const std::string &body = "")
{
    return "HTTP/1.1 " + std::to_string(status) + " x\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace Coltsfootwell::Testing
