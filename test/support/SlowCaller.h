// A caller that reads its answers slowly, for tests of caller connections.
#pragma once

#include "support/CallersFixture.h"

#include <algorithm>

namespace Coltsfootwell::Testing {

/// More than the buffers of both sockets hold.
constexpr std::size_t LongBodyBytes = 16'000'000;
constexpr std::string_view Request = "GET /bookings/x HTTP/1.1\r\nHost: bookings\r\n\r\n";
/// A caller that reads only when it is told to, through a small window.
struct SlowCaller
{
    explicit SlowCaller(CallersFixture &callers) : fixture(callers)
    {
        socket.open(tcp::v4());
        socket.set_option(tcp::socket::receive_buffer_size(16'384));
        socket.connect(fixture.endpoint());
        socket.non_blocking(true);
        fixture.runFor(50ms);
    }

    void send(std::string_view text)
    {
        boost::asio::write(socket, boost::asio::buffer(text));
        fixture.runFor(50ms);
    }

    /// Sends a text while the daemon reads it, for some time at most.
    void sendAll(std::string_view text, Duration time = 5s)
    {
        boost::system::error_code ec;
        const auto end = std::chrono::steady_clock::now() + time;
        while (!text.empty() && (!ec || ec == boost::asio::error::would_block)
               && std::chrono::steady_clock::now() < end) {
            text.remove_prefix(socket.write_some(boost::asio::buffer(text), ec));
            fixture.runFor(1ms);
        }
    }

    /// Reads until the time is over, the connection has ended or the received bytes end with a
    /// text.
    void readFor(Duration time, std::string_view last = "\n\n")
    {
        const auto end = std::chrono::steady_clock::now() + time;
        std::string buf(1 << 20, '\0');
        while (!ended && !received.ends_with(last) && std::chrono::steady_clock::now() < end) {
            boost::system::error_code ec;
            const std::size_t n = socket.read_some(boost::asio::buffer(buf), ec);
            received.append(buf, 0, n);
            ended = ec && ec != boost::asio::error::would_block;
            fixture.runFor(1ms);
        }
    }

    /// Reads until a long answer is complete, the connection has ended, or the time is over.
    void readLongAnswer()
    {
        const auto end = std::chrono::steady_clock::now() + 10s;
        while (!ended && wholeBodyBytes() < LongBodyBytes
               && std::chrono::steady_clock::now() < end) {
            readFor(20ms);
        }
    }

    /// \return the number of bytes after the first head, if all of them are bytes of the body.
    std::size_t wholeBodyBytes() const
    {
        const std::size_t headEnd = received.find("\r\n\r\n");
        if (headEnd == std::string::npos) {
            return 0;
        }
        const std::size_t start = headEnd + 4;
        const auto bodyEnd = received.find_first_not_of('b', start);
        return std::min(bodyEnd, received.size()) - start;
    }

    CallersFixture &fixture;
    boost::asio::io_context context;
    tcp::socket socket {context};
    std::string received;
    bool ended = false;
};

/// Answers with bodies that are still being written while the caller reads.
struct LongAnswersFixture : CallersFixture
{
    LongAnswersFixture() { body.assign(LongBodyBytes, 'b'); }
};

} // namespace Coltsfootwell::Testing
