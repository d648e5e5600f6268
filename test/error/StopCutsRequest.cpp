// Guards against a planned stop that closes a connection although a request on it has arrived or is
// about to arrive: a caller that has just connected loses its connection, even if its call runs.
#include "kernel/AsioExecutor.h"
#include "services/CallMessages.h"
#include "services/Callers.h"
#include "services/ConfigurationMessages.h"
#include "services/ServiceNames.h"
#include "services/TelemetryMessages.h"
#include "wire/OwnDialect.h"

#include <boost/asio.hpp>
#include <doctest/doctest.h>

#include <string>

using namespace Coltsfootwell;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

/// Time within which a caller that has connected must send its first request; the same as for
/// establishing the connection.
constexpr std::chrono::seconds FirstRequestTimeout {1};
/// Maximum time of the rest of a stop: the time for which unread input is discarded, plus a margin.
constexpr std::chrono::seconds MaxStopTime {2};

class ZeroRandom final : public Random
{
public:
    std::uint64_t next() override { return 0; }
};

tcp::endpoint unusedEndpoint()
{
    boost::asio::io_context context;
    return tcp::acceptor(context, {boost::asio::ip::address_v4::loopback(), 0}).local_endpoint();
}

/// The service "callers" between real connections and a fake service "calls" that answers every
/// call.
class CallersFixture
{
public:
    CallersFixture()
        : m_kernel(m_executor, m_random),
          m_calls(m_executor,
                  [this](CallsMessage message) {
                      if (auto *call = std::get_if<SubmitCall>(&message)) {
                          ++answered;
                          const auto body = std::make_shared<const std::string>("done");
                          call->reply(CallAnswered {200, {}, body, DaemonId {}});
                      }
                  }),
          m_telemetry(m_executor, [](const TelemetryMessage &) {}),
          m_configuration(m_executor, [](const ConfigurationMessage &) {})
    {
        Directory &directory = m_kernel.directory();
        directory.publish(ServiceName::Calls, m_calls.address());
        directory.publish(ServiceName::Telemetry, m_telemetry.address());
        directory.publish(ServiceName::Configuration, m_configuration.address());
        CallersSettings settings;
        settings.listen = {"127.0.0.1", m_endpoint.port()};
        settings.dialect = &ownDialect();
        m_kernel.add(makeCallers(m_kernel, m_context, std::move(settings)));
        REQUIRE_FALSE(m_kernel.start());
    }

    ~CallersFixture() { m_context.restart(); }

    /// Runs the service for some time.
    void runFor(Duration time)
    {
        m_context.restart();
        m_context.run_for(time);
    }

    void stop()
    {
        m_kernel.stop([this] { stopped = true; });
    }

    /// \return a connection that the service has accepted.
    tcp::socket connect()
    {
        tcp::socket socket(m_callerContext);
        socket.connect(m_endpoint);
        runFor(50ms);
        return socket;
    }

    static void sendRequest(tcp::socket &socket)
    {
        const std::string text = "POST /bookings/x HTTP/1.1\r\nHost: bookings\r\n"
                                 "Content-Length: 5\r\n\r\norder";
        boost::asio::write(socket, boost::asio::buffer(text));
    }

    /// \return the bytes received so far, at most 4096; empty if there are none.
    std::string received(tcp::socket &socket)
    {
        runFor(200ms);
        std::string text(4096, '\0');
        boost::system::error_code ec;
        socket.non_blocking(true);
        text.resize(socket.read_some(boost::asio::buffer(text), ec));
        return text;
    }

    unsigned answered = 0;
    bool stopped = false;

private:
    boost::asio::io_context m_context;
    boost::asio::io_context m_callerContext;
    AsioExecutor m_executor {m_context};
    ZeroRandom m_random;
    tcp::endpoint m_endpoint = unusedEndpoint();
    Kernel m_kernel;
    Mailbox<CallsMessage> m_calls;
    Mailbox<TelemetryMessage> m_telemetry;
    Mailbox<ConfigurationMessage> m_configuration;
};

} // namespace

TEST_CASE("a stop answers a request that has arrived unread on an idle connection")
{
    CallersFixture fixture;
    tcp::socket caller = fixture.connect();
    CallersFixture::sendRequest(caller);
    fixture.stop();
    CHECK(fixture.received(caller).starts_with("HTTP/1.1 200"));
    CHECK(fixture.answered == 1);
    fixture.runFor(MaxStopTime);
    CHECK(fixture.stopped);
}

TEST_CASE("a stop answers a second request that has arrived unread")
{
    CallersFixture fixture;
    tcp::socket caller = fixture.connect();
    CallersFixture::sendRequest(caller);
    CHECK(fixture.received(caller).starts_with("HTTP/1.1 200"));
    CallersFixture::sendRequest(caller);
    fixture.stop();
    CHECK(fixture.received(caller).starts_with("HTTP/1.1 200"));
    CHECK(fixture.answered == 2);
}

TEST_CASE("a stop waits for the first request of a new connection")
{
    CallersFixture fixture;
    tcp::socket caller = fixture.connect();
    fixture.stop();
    fixture.runFor(100ms);
    CallersFixture::sendRequest(caller);
    const std::string answer = fixture.received(caller);
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(answer.find("Connection: close") != std::string::npos);
    fixture.runFor(MaxStopTime);
    CHECK(fixture.stopped);
}

TEST_CASE("a stop does not wait for a connection that never sends a request")
{
    CallersFixture fixture;
    const tcp::socket idle = fixture.connect();
    tcp::socket active = fixture.connect();
    CallersFixture::sendRequest(active);
    CHECK(fixture.received(active).starts_with("HTTP/1.1 200"));
    fixture.stop();
    fixture.runFor(FirstRequestTimeout + MaxStopTime);
    CHECK(fixture.stopped);
}
