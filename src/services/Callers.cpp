#include "services/Callers.h"

#include "services/CallerSession.h"
#include "services/ConfigurationMessages.h"
#include "services/Listen.h"
#include "services/ServiceError.h"
#include "services/ServiceNames.h"
#include "services/StopMessages.h"

#include <boost/asio/io_context.hpp>

namespace Coltsfootwell {

namespace {

using namespace Internal;
namespace asio = boost::asio;
using asio::ip::tcp;

class Callers final : public Service
{
public:
    Callers(Kernel &kernel, asio::io_context &context, CallersSettings settings)
        : m_kernel(kernel), m_settings(std::move(settings)), m_acceptor(context),
          m_context(std::make_shared<SessionContext>(kernel, *m_settings.dialect, m_settings.self,
                                                     m_settings.maxRequestBytes)),
          m_configurationMailbox(kernel.executor(),
                                 [this](const ConfigurationChanged &message) {
                                     if (message.configuration) {
                                         m_context->limits = message.configuration->requestLimits;
                                     }
                                 }),
          m_stopMailbox(kernel.executor(),
                        [this](StopPhaseChanged message) { phaseChanged(message.phase); })
    {
        m_context->servesControl = m_settings.servesControl;
        kernel.directory().publish(ServiceName::stopping(name()), m_stopMailbox.address());
    }

    std::string_view name() const override { return ServiceName::Callers; }

    std::error_code start() override
    {
        std::error_code ec;
        const Directory &directory = m_kernel.directory();
        m_context->calls = directory.find<CallsMessage>(ServiceName::Calls, ec);
        if (!ec) {
            m_context->telemetry = directory.find<TelemetryMessage>(ServiceName::Telemetry, ec);
        }
        if (!ec) {
            directory.find<ConfigurationMessage>(ServiceName::Configuration, ec)
                .send(SubscribeConfiguration {m_configurationMailbox.address()});
        }
        if (ec) {
            return ServiceError::MissingService;
        }
        if (const std::error_code failed = listenOn(m_acceptor, m_settings.listen)) {
            return failed;
        }
        accept();
        return {};
    }

    void stop(Task done) override
    {
        m_context->draining = true;
        // Serves the connections in the accept queue as well: closing the listening socket would
        // reset them.
        acceptPending();
        boost::system::error_code ec;
        m_acceptor.close(ec);
        for (SessionHandle *session : std::set(m_context->sessions)) {
            session->close();
        }
        if (m_context->sessions.empty()) {
            done();
        } else {
            m_context->onAllSessionsEnded = std::move(done);
        }
    }

private:
    void phaseChanged(StopPhase phase) { m_context->draining = phase != StopPhase::Running; }

    void acceptPending()
    {
        boost::system::error_code ec;
        m_acceptor.non_blocking(true, ec);
        while (!ec) {
            tcp::socket socket(m_acceptor.get_executor());
            m_acceptor.accept(socket, ec);
            if (!ec) {
                serve(std::move(socket));
            }
        }
    }

    void serve(tcp::socket socket)
    {
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        startSession(std::move(socket), m_context);
    }

    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code ec, tcp::socket socket) {
            if (ec == asio::error::operation_aborted) {
                return;
            }
            if (!ec) {
                serve(std::move(socket));
            }
            accept();
        });
    }

    Kernel &m_kernel;
    CallersSettings m_settings;
    tcp::acceptor m_acceptor;
    std::shared_ptr<SessionContext> m_context;
    Mailbox<ConfigurationChanged> m_configurationMailbox;
    Mailbox<StopPhaseChanged> m_stopMailbox;
};

} // namespace

std::unique_ptr<Service> makeCallers(Kernel &kernel, asio::io_context &context,
                                     CallersSettings settings)
{
    return std::make_unique<Callers>(kernel, context, std::move(settings));
}

} // namespace Coltsfootwell
