// Guards against calls that stay at work, or are sent on, after their caller has left, because
// nothing reads from its connection at that moment.
#include "support/SlowCaller.h"

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;

namespace {

/// Time within which a caller that has left must be noticed; less than the half second after which
/// its requests must not be sent on.
constexpr auto NoticeTime = 250ms;
constexpr std::size_t BodyBytes = 1 << 20;

/// A service whose calls are not answered, and one caller.
struct LeavingCaller
{
    explicit LeavingCaller(std::size_t maxBodyBytes = CallersSettings().maxRequestBytes)
        : fixture(maxBodyBytes)
    {
        fixture.holdAnswers = true;
        socket.emplace(fixture.connect());
    }

    void send(std::string_view text)
    {
        boost::asio::write(*socket, boost::asio::buffer(text));
        fixture.runFor(50ms);
    }

    /// \return the number of calls that are cancelled when the caller leaves.
    unsigned cancelledByLeaving()
    {
        socket->close();
        fixture.runFor(NoticeTime);
        return fixture.cancelled;
    }

    CallersFixture fixture;
    std::optional<tcp::socket> socket;
};

std::string uploadHead(std::size_t bytes)
{
    return "POST /bookings/x HTTP/1.1\r\nHost: bookings\r\nContent-Length: " + std::to_string(bytes)
        + "\r\n\r\n";
}

} // namespace

TEST_CASE("a caller leaves after a stop has dropped its second request")
{
    LeavingCaller caller;
    caller.send(Request);
    caller.fixture.stop();
    caller.send(Request);
    CHECK(caller.fixture.answered == 1);
    CHECK(caller.cancelledByLeaving() == 1);
}

TEST_CASE("a caller leaves after its second request was refused")
{
    LeavingCaller caller;
    caller.send(Request);
    caller.send("no request\r\n\r\n");
    CHECK(caller.fixture.answered == 1);
    CHECK(caller.cancelledByLeaving() == 1);
}

TEST_CASE("a caller leaves while it sends a body that was refused for its length")
{
    LeavingCaller caller;
    RequestLimits limits;
    limits.bodyBytes = 1000;
    caller.fixture.setLimits(limits);
    caller.send(Request);
    caller.send(uploadHead(BodyBytes) + std::string(10'000, 'b'));
    CHECK(caller.fixture.answered == 1);
    CHECK(caller.cancelledByLeaving() == 1);
}

TEST_CASE("a caller leaves that has as many requests at work as one connection may have")
{
    constexpr unsigned MaxRequests = 64;
    LeavingCaller caller;
    for (unsigned n = 0; n < MaxRequests + 2; ++n) {
        boost::asio::write(*caller.socket, boost::asio::buffer(Request));
    }
    caller.fixture.runFor(100ms);
    CHECK(caller.fixture.answered == MaxRequests);
    CHECK(caller.cancelledByLeaving() == MaxRequests);
}

TEST_CASE("a caller leaves while its second request waits for memory")
{
    LeavingCaller caller(BodyBytes + BodyBytes / 2);
    CallersFixture &fixture = caller.fixture;
    tcp::socket other = fixture.connect();
    const std::string upload = uploadHead(BodyBytes) + std::string(BodyBytes, 'b');
    std::size_t sent = 0;
    other.non_blocking(true);
    while (sent < upload.size()) {
        boost::system::error_code ec;
        sent += other.write_some(boost::asio::buffer(upload.data() + sent, upload.size() - sent),
                                 ec);
        fixture.runFor(1ms);
    }
    fixture.runFor(50ms);
    REQUIRE(fixture.answered == 1);
    const BodyPtr body = fixture.heldBody;
    caller.send(Request);
    caller.send(uploadHead(BodyBytes));
    CHECK(fixture.answered == 2);
    CHECK(caller.cancelledByLeaving() == 1);
}

TEST_CASE("a caller leaves while its second request arrives")
{
    LeavingCaller caller;
    caller.send(Request);
    SUBCASE("in the header")
    {
        caller.send(Request.substr(0, Request.size() / 2));
    }
    SUBCASE("in the body")
    {
        caller.send(uploadHead(BodyBytes) + "part");
    }
    CHECK(caller.cancelledByLeaving() == 1);
}

TEST_CASE("a caller that ends its sending side while its call is at work has left")
{
    LeavingCaller caller;
    caller.send(Request);
    caller.socket->shutdown(tcp::socket::shutdown_send);
    caller.fixture.runFor(NoticeTime);
    CHECK(caller.fixture.cancelled == 1);
}

TEST_CASE("a request whose caller left before it was read is not sent on")
{
    LeavingCaller caller;
    boost::asio::write(*caller.socket, boost::asio::buffer(Request));
    caller.socket->close();
    caller.fixture.runFor(NoticeTime);
    CHECK(caller.fixture.answered == 0);
}

TEST_CASE("an announcement whose sender left before it was read counts")
{
    LeavingCaller caller;
    boost::asio::write(*caller.socket,
                       boost::asio::buffer(std::string("POST /coltsfootwell/announce HTTP/1.1\r\n"
                                                       "Content-Length: 2\r\n\r\n{}")));
    caller.socket->close();
    caller.fixture.runFor(NoticeTime);
    CHECK(caller.fixture.announced == 1);
}
