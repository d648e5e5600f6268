// The service "callers" on a real socket, for tests of caller connections.
#pragma once

#include "kernel/AsioExecutor.h"
#include "services/CallMessages.h"
#include "services/Callers.h"
#include "services/ConfigurationMessages.h"
#include "services/ControlMessages.h"
#include "services/ServiceNames.h"
#include "services/TelemetryMessages.h"
#include "wire/OwnDialect.h"

#include <boost/asio.hpp>
#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace Coltsfootwell::Testing {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

/// Maximum time for which a stop discards unread input of a connection after its last answer, plus
/// a margin.
constexpr std::chrono::seconds MaxLingerTime {2};

class ZeroRandom final : public Random
{
public:
    std::uint64_t next() override { return 0; }
};

inline tcp::endpoint unusedEndpoint()
{
    boost::asio::io_context context;
    return tcp::acceptor(context, {boost::asio::ip::address_v4::loopback(), 0}).local_endpoint();
}

/// The service "callers" between real connections and a fake service "calls" that answers every
/// call.
class CallersFixture
{
public:
    /// \param dialect must outlive the fixture.
    explicit CallersFixture(std::size_t maxRequestBytes = CallersSettings().maxRequestBytes,
                            const HttpDialect &dialect = ownDialect(),
                            std::size_t maxConnections = CallersSettings().maxConnections)
        : m_kernel(m_executor, m_random),
          m_calls(m_executor,
                  [this](CallsMessage message) {
                      if (auto *call = std::get_if<SubmitCall>(&message)) {
                          ++answered;
                          if (holdAnswers) {
                              // A reply that is destroyed would answer its call.
                              m_unanswered.emplace_back(held, heldBody);
                          }
                          held = call->reply;
                          heldBody = call->body;
                          if (!holdAnswers) {
                              answerHeld();
                          }
                      } else if (std::holds_alternative<CancelCall>(message)) {
                          ++cancelled;
                      }
                  }),
          m_announcements(m_executor, [this](const ControlRequest &) { ++announced; }),
          m_telemetry(m_executor,
                      [this](TelemetryMessage message) {
                          if (const auto *event = std::get_if<LogEvent>(&message)) {
                              logged.push_back(std::string(event->event) + ' ' + event->fields);
                          }
                          telemetry.push_back(std::move(message));
                      }),
          m_configuration(m_executor, [this](ConfigurationMessage message) {
              if (auto *subscribe = std::get_if<SubscribeConfiguration>(&message)) {
                  m_subscriber = subscribe->subscriber;
              }
          })
    {
        Directory &directory = m_kernel.directory();
        directory.publish(ServiceName::Calls, m_calls.address());
        directory.publish(ServiceName::control("announce"), m_announcements.address());
        directory.publish(ServiceName::Telemetry, m_telemetry.address());
        directory.publish(ServiceName::Configuration, m_configuration.address());
        CallersSettings settings;
        settings.listen = {"127.0.0.1", m_endpoint.port()};
        settings.dialect = &dialect;
        settings.maxRequestBytes = maxRequestBytes;
        settings.maxConnections = maxConnections;
        m_kernel.add(makeCallers(m_kernel, m_context, std::move(settings)));
        REQUIRE_FALSE(m_kernel.start());
    }

    ~CallersFixture()
    {
        // Replies that are destroyed answer their calls by the executor.
        held = {};
        m_unanswered.clear();
        runFor(1ms);
        m_executor.close();
    }

    /// Runs the service for some time.
    void runFor(Duration time)
    {
        m_context.restart();
        handlers += m_context.run_for(time);
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

    const tcp::endpoint &endpoint() const { return m_endpoint; }

    /// Answers the last call, with `sharedBody` or a copy of `body`.
    void answerHeld()
    {
        const BodyPtr answer = sharedBody ? sharedBody : std::make_shared<const std::string>(body);
        held(CallAnswered {200, {}, answer, DaemonId {}});
        heldBody.reset();
    }

    /// Changes the limits of requests.
    void setLimits(const RequestLimits &limits)
    {
        // The service subscribes when it runs for the first time.
        runFor(50ms);
        auto configuration = std::make_shared<Configuration>();
        configuration->requestLimits = limits;
        m_subscriber.send(ConfigurationChanged {std::move(configuration)});
        runFor(50ms);
    }

    /// Body of the answers.
    std::string body = "done";
    /// Body that answers share; null if each has its own.
    BodyPtr sharedBody;
    /// True if calls wait for answerHeld().
    bool holdAnswers = false;
    Reply<CallResult> held;
    /// Body of the last call until it is answered.
    BodyPtr heldBody;
    /// Number of calls.
    unsigned answered = 0;
    unsigned cancelled = 0;
    /// Number of requests on the control path "announce".
    unsigned announced = 0;
    bool stopped = false;
    /// Number of handlers that have run.
    std::size_t handlers = 0;

    /// Log lines and metrics of the service.
    std::vector<TelemetryMessage> telemetry;
    /// Events and fields of all log lines.
    std::vector<std::string> logged;

private:
    /// Before the context, since the connections in its handlers use the executor to their end.
    AsioExecutor m_executor {m_context};
    boost::asio::io_context m_context;
    boost::asio::io_context m_callerContext;
    ZeroRandom m_random;
    tcp::endpoint m_endpoint = unusedEndpoint();
    Kernel m_kernel;
    Mailbox<CallsMessage> m_calls;
    Mailbox<ControlRequest> m_announcements;
    Mailbox<TelemetryMessage> m_telemetry;
    Mailbox<ConfigurationMessage> m_configuration;
    Address<ConfigurationChanged> m_subscriber;
    /// Calls before the last one, and their bodies.
    std::vector<std::pair<Reply<CallResult>, BodyPtr>> m_unanswered;
};

} // namespace Coltsfootwell::Testing
