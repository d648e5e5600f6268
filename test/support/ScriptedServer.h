// A server on loopback whose answers are chosen by a test, for tests of connections to backend
// servers.
#pragma once

#include "decisions/Member.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <limits>
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

    /// \brief Sends answers in pieces of this size, with a pause behind each.
    void setPieceBytes(std::size_t bytes) { m_pieceBytes = bytes; }

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
            co_await send(socket, *answer);
        }
    }

    boost::asio::awaitable<void> send(Socket &socket, const std::string &answer)
    {
        boost::system::error_code ec;
        boost::asio::steady_timer timer(m_context);
        for (std::size_t n = 0; n < answer.size(); n += m_pieceBytes) {
            const std::size_t bytes = std::min(answer.size() - n, m_pieceBytes);
            co_await boost::asio::async_write(
                socket, boost::asio::buffer(answer.data() + n, bytes),
                boost::asio::redirect_error(boost::asio::use_awaitable, ec));
            if (n + bytes < answer.size()) {
                timer.expires_after(PiecePause);
                co_await timer.async_wait(
                    boost::asio::redirect_error(boost::asio::use_awaitable, ec));
            }
        }
    }

    static constexpr std::chrono::milliseconds PiecePause {2};

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    Endpoint m_endpoint;
    Script m_script;
    /// Unlimited by default; half of the range, so that sums do not overflow.
    std::size_t m_pieceBytes = std::numeric_limits<std::size_t>::max() / 2;
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
