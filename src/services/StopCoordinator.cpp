#include "services/StopCoordinator.h"

#include "services/MembershipMessages.h"
#include "services/ServiceNames.h"
#include "services/StopMessages.h"
#include "services/TelemetryMessages.h"

#include <array>
#include <utility>

namespace Coltsfootwell {

namespace {

/// Services that are notified of each phase of the stop.
constexpr std::array PhaseSubscribers {ServiceName::Callers, ServiceName::Backend,
                                       ServiceName::DaemonList};

class StopCoordinator final : public Service
{
public:
    StopCoordinator(Kernel &kernel, StopCoordinatorSettings settings)
        : m_kernel(kernel), m_settings(std::move(settings)),
          m_mailbox(kernel.executor(), [this](StopMessage &&message) {
              std::visit([this](auto &&body) { handle(body); }, std::move(message));
          })
    {
        kernel.directory().publish(name(), m_mailbox.address());
    }

    std::string_view name() const override { return ServiceName::Stop; }
    std::error_code start() override { return {}; }
    void stop(Task done) override { done(); }

private:
    void handle(const RequestStop &request)
    {
        if (m_plannedStop.phase() != StopPhase::Running) {
            return;
        }
        m_plannedStop.stopRequested();
        std::error_code ec;
        m_kernel.directory()
            .find<TelemetryMessage>(ServiceName::Telemetry, ec)
            .send(LogEvent {"daemon.stopping", "", "reason=" + request.reason});
        m_kernel.directory()
            .find<MembershipMessage>(ServiceName::Membership, ec)
            .send(AnnounceLeaving {});
        publishPhase();
        m_kernel.executor().scheduleAfter(m_settings.leaveTime, [this] { stopServices(); });
        m_kernel.executor().scheduleAfter(m_settings.maxDuration, [this] { notifyStopped(); });
    }

    void stopServices()
    {
        m_plannedStop.leaveTimeEnded();
        publishPhase();
        // Services stop in reverse order of registration: "callers" is first, and waits until no
        // call is in flight.
        m_kernel.stop([this] {
            m_plannedStop.allCallsEnded();
            notifyStopped();
        });
    }

    void notifyStopped()
    {
        if (const Task onStopped = std::exchange(m_settings.onStopped, nullptr)) {
            onStopped();
        }
    }

    void publishPhase()
    {
        for (const std::string_view service : PhaseSubscribers) {
            std::error_code ec;
            m_kernel.directory()
                .find<StopPhaseChanged>(ServiceName::stopping(service), ec)
                .send(StopPhaseChanged {m_plannedStop.phase()});
        }
    }

    Kernel &m_kernel;
    StopCoordinatorSettings m_settings;
    PlannedStop m_plannedStop;
    Mailbox<StopMessage> m_mailbox;
};

} // namespace

std::unique_ptr<Service> makeStopCoordinator(Kernel &kernel, StopCoordinatorSettings settings)
{
    return std::make_unique<StopCoordinator>(kernel, std::move(settings));
}

} // namespace Coltsfootwell
