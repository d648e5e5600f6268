#include "services/Callers.h"

#include "services/Acceptor.h"
#include "services/CallerSession.h"
#include "services/ConfigurationMessages.h"
#include "services/HeldMemoryReports.h"
#include "services/HttpIo.h"
#include "services/ServiceError.h"
#include "services/ServiceNames.h"
#include "services/StopMessages.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <iterator>
#include <vector>

namespace Coltsfootwell {

namespace {

using namespace Internal;
namespace asio = boost::asio;
using asio::ip::tcp;

class Callers final : public Service
{
public:
    Callers(Kernel &kernel, asio::io_context &context, CallersSettings settings)
        : m_kernel(kernel), m_settings(std::move(settings)),
          m_acceptor(kernel, context, std::string(ServiceName::Callers),
                     {[this](tcp::socket socket) { serve(std::move(socket)); },
                      [this] { return makeRoom(); }}),
          m_connectionLimit(m_settings.maxConnections),
          m_context(std::make_shared<SessionContext>(kernel, *m_settings.dialect, m_settings.self,
                                                     m_settings.maxRequestBytes)),
          m_configurationMailbox(kernel.executor(),
                                 [this](const ConfigurationChanged &message) {
                                     if (message.configuration) {
                                         m_context->limits = message.configuration->requestLimits;
                                     }
                                 }),
          m_stopMailbox(kernel.executor(),
                        [this](StopPhaseChanged message) { phaseChanged(message.phase); }),
          m_answerReadersMailbox(kernel.executor(), [this](const AnswerMemoryShort &message) {
              m_context->answerReaders.memoryShort(message, m_context->telemetry);
          })
    {
        kernel.directory().publish(ServiceName::AnswerReaders, m_answerReadersMailbox.address());
        m_context->servesControl = m_settings.servesControl;
        kernel.directory().publish(ServiceName::stopping(name()), m_stopMailbox.address());
    }

    ~Callers() override { m_context->onSessionEnded = nullptr; }

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
        if (const std::error_code failed = m_acceptor.listen(m_settings.listen)) {
            return failed;
        }
        m_heldMemory.start();
        return {};
    }

    void stop(Task done) override
    {
        m_context->draining = true;
        // Serves the connections in the accept queue as well: closing the listening socket would
        // reset them.
        m_acceptor.acceptPending();
        m_acceptor.close();
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

    /// Closes connections that have long been idle if there are too many of them.
    /// \return false if there are still too many.
    bool makeRoom()
    {
        if (m_connectionLimit.hasRoom(m_context->sessions.size())) {
            return true;
        }
        const std::vector<SessionHandle *> sessions(m_context->sessions.begin(),
                                                    m_context->sessions.end());
        std::vector<ConnectionState> states;
        std::ranges::transform(sessions, std::back_inserter(states), &SessionHandle::state);
        for (const std::size_t n : m_connectionLimit.connectionsToClose(states)) {
            if (sessions[n]->closeIfIdle()) {
                logClosedForRoom(*states[n].idleSince);
            }
        }
        m_context->onSessionEnded = [this] { m_acceptor.resume(); };
        return false;
    }

    void logClosedForRoom(TimePoint idleSince) const
    {
        const auto idle = std::chrono::duration_cast<std::chrono::milliseconds>(
            m_kernel.executor().now() - idleSince);
        m_context->telemetry.send(
            LogEvent {"connection.closedForRoom", "", "idleMs=" + std::to_string(idle.count())});
    }

    void serve(tcp::socket socket)
    {
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        limitUnsentBytes(socket);
        startSession(std::move(socket), m_context);
    }

    Kernel &m_kernel;
    CallersSettings m_settings;
    Acceptor m_acceptor;
    ConnectionLimit m_connectionLimit;
    std::shared_ptr<SessionContext> m_context;
    HeldMemoryReports m_heldMemory {
        m_kernel, {{"caller-bodies", [this] { return m_context->requestMemory->reserved(); }}}};
    Mailbox<ConfigurationChanged> m_configurationMailbox;
    Mailbox<StopPhaseChanged> m_stopMailbox;
    Mailbox<AnswerMemoryShort> m_answerReadersMailbox;
};

} // namespace

std::unique_ptr<Service> makeCallers(Kernel &kernel, asio::io_context &context,
                                     CallersSettings settings)
{
    return std::make_unique<Callers>(kernel, context, std::move(settings));
}

} // namespace Coltsfootwell
