#include "services/StopCoordinator.h"

#include "services/MembershipMessages.h"
#include "services/ServiceNames.h"
#include "services/StopMessages.h"
#include "services/TelemetryMessages.h"

#include <array>
#include <utility>

namespace Coltsfootwell {

namespace {

constexpr std::array ListeningServices {ServiceName::Callers, ServiceName::Backend,
                                        ServiceName::DaemonList};

class Stop final : public Service
{
public:
    Stop(Kernel &kernel, StopCoordinatorSettings settings)
        : m_kernel(kernel), m_settings(std::move(settings)),
          m_mailbox(kernel.executor(), [this](StopMessage message) {
              std::visit([this](auto &&body) { handle(body); }, std::move(message));
          })
    {
        kernel.directory().publish(name(), m_mailbox.address());
    }

    std::string_view name() const override { return ServiceName::Stop; }
    std::error_code start() override { return {}; }
    void stop(Task done) override { done(); }

private:
    void handle(const RequestStop &ask)
    {
        if (m_decision.phase() != StopPhase::Running) {
            return;
        }
        m_decision.stopRequested();
        std::error_code ec;
        m_kernel.directory()
            .find<TelemetryMessage>(ServiceName::Telemetry, ec)
            .send(LogEvent {"daemon.stopping", "", "reason=" + ask.reason});
        m_kernel.directory()
            .find<MembershipMessage>(ServiceName::Membership, ec)
            .send(AnnounceLeaving {});
        tellPhase();
        m_kernel.executor().scheduleAfter(m_settings.leaveTime, [this] { finish(); });
        m_kernel.executor().scheduleAfter(m_settings.longest, [this] { end(); });
    }

    void finish()
    {
        m_decision.gracePeriodEnded();
        tellPhase();
        // The services stop in reverse order of registration: "callers" first, which waits for the
        // calls in progress.
        m_kernel.stop([this] {
            m_decision.allCallsEnded();
            end();
        });
    }

    void end()
    {
        if (const Task left = std::exchange(m_settings.left, nullptr)) {
            left();
        }
    }

    void tellPhase()
    {
        for (const std::string_view service : ListeningServices) {
            std::error_code ec;
            m_kernel.directory()
                .find<StopPhaseChanged>(ServiceName::stopping(service), ec)
                .send(StopPhaseChanged {m_decision.phase()});
        }
    }

    Kernel &m_kernel;
    StopCoordinatorSettings m_settings;
    PlannedStop m_decision;
    Mailbox<StopMessage> m_mailbox;
};

} // namespace

std::unique_ptr<Service> makeStopCoordinator(Kernel &kernel, StopCoordinatorSettings settings)
{
    return std::make_unique<Stop>(kernel, std::move(settings));
}

} // namespace Coltsfootwell
