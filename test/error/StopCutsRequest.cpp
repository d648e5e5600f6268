// Guards against a planned stop that closes a connection whose request has arrived or is about to:
// a caller that has just connected is cut off, also when its call runs all the same.
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

/// A caller is allowed this time to send its first request, as for establishing its connection.
constexpr std::chrono::seconds FirstRequestTime {1};
/// How long the rest of a stop may take: the time that unread bytes are read, and some more.
constexpr std::chrono::seconds StopTime {2};

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

/// The service "callers" between real connections and a service "calls" that answers every call.
class Entry
{
public:
    Entry()
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

    ~Entry() { m_context.restart(); }

    /// Lets the service work.
    void work(Duration time)
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
        work(50ms);
        return socket;
    }

    static void request(tcp::socket &socket)
    {
        const std::string text = "POST /bookings/x HTTP/1.1\r\nHost: bookings\r\n"
                                 "Content-Length: 5\r\n\r\norder";
        boost::asio::write(socket, boost::asio::buffer(text));
    }

    /// \return what has arrived, up to the end of the connection or of the present bytes.
    std::string received(tcp::socket &socket)
    {
        work(200ms);
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

TEST_CASE("a stop answers a request whose bytes have arrived on an idle connection")
{
    Entry entry;
    tcp::socket caller = entry.connect();
    Entry::request(caller);
    entry.stop();
    CHECK(entry.received(caller).starts_with("HTTP/1.1 200"));
    CHECK(entry.answered == 1);
    entry.work(StopTime);
    CHECK(entry.stopped);
}

TEST_CASE("a stop answers a second request whose bytes have arrived")
{
    Entry entry;
    tcp::socket caller = entry.connect();
    Entry::request(caller);
    CHECK(entry.received(caller).starts_with("HTTP/1.1 200"));
    Entry::request(caller);
    entry.stop();
    CHECK(entry.received(caller).starts_with("HTTP/1.1 200"));
    CHECK(entry.answered == 2);
}

TEST_CASE("a stop waits for the first request of a connection that has just opened")
{
    Entry entry;
    tcp::socket caller = entry.connect();
    entry.stop();
    entry.work(100ms);
    Entry::request(caller);
    const std::string answer = entry.received(caller);
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(answer.find("Connection: close") != std::string::npos);
    entry.work(StopTime);
    CHECK(entry.stopped);
}

TEST_CASE("a stop does not wait for a connection that never sends a request")
{
    Entry entry;
    const tcp::socket silent = entry.connect();
    tcp::socket used = entry.connect();
    Entry::request(used);
    CHECK(entry.received(used).starts_with("HTTP/1.1 200"));
    entry.stop();
    entry.work(FirstRequestTime + StopTime);
    CHECK(entry.stopped);
}
