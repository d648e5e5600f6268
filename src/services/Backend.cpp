#include "services/Backend.h"

#include "services/BackendLimits.h"
#include "services/BackendLog.h"
#include "services/BackendMessages.h"
#include "services/BackendProbe.h"
#include "services/BackendRuns.h"
#include "services/BackendTracker.h"
#include "services/ConfigurationMessages.h"
#include "services/HttpExchange.h"
#include "services/MembershipMessages.h"
#include "services/ServiceError.h"
#include "services/ServiceNames.h"
#include "services/StopMessages.h"
#include "services/TelemetryMessages.h"
#include "wire/EndpointText.h"

#include <algorithm>
#include <tuple>

namespace Coltsfootwell {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds StopCheck {20};

class Backend final : public Service
{
public:
    Backend(Kernel &kernel, boost::asio::io_context &context, BackendSettings settings)
        : m_kernel(kernel), m_context(context), m_settings(std::move(settings)),
          m_state(m_settings.place, m_settings.drainTime, m_settings.coldSlack),
          m_runs(makeBackendRuns({kernel, context, m_settings, m_state, m_telemetry, m_calls,
                                  [this] { return loadReport(); }, [this] { report(); }})),
          m_probe({kernel, context, *m_settings.dialect, m_state, m_telemetry,
                   [this] {
                       report();
                       m_runs->decide();
                   }}),
          m_mailbox(kernel.executor(),
                    [this](BackendMessage message) {
                        std::visit([this](auto &&body) { m_runs->handle(std::move(body)); },
                                   std::move(message));
                    }),
          m_registrationMailbox(kernel.executor(),
                                [this](RegistrationMessage message) {
                                    std::visit([this](auto &&body) { handle(std::move(body)); },
                                               std::move(message));
                                }),
          m_configurationMailbox(kernel.executor(),
                                 [this](ConfigurationChanged news) { changed(std::move(news)); }),
          m_stopMailbox(kernel.executor(), [this](StopPhaseChanged news) {
              m_phase = news.phase;
              if (m_phase == StopPhase::Finishing) {
                  m_runs->finish();
              }
              report();
          })
    {
        kernel.directory().publish(name(), m_mailbox.address());
        kernel.directory().publish(ServiceName::Registration, m_registrationMailbox.address());
        kernel.directory().publish(ServiceName::stopping(name()), m_stopMailbox.address());
    }

    std::string_view name() const override { return ServiceName::Backend; }

    std::error_code start() override
    {
        std::error_code ec;
        const Directory &directory = m_kernel.directory();
        m_membership = directory.find<MembershipMessage>(ServiceName::Membership, ec);
        if (!ec) {
            m_telemetry = directory.find<TelemetryMessage>(ServiceName::Telemetry, ec);
        }
        if (!ec) {
            m_links = directory.find<LinksMessage>(ServiceName::Links, ec);
        }
        if (!ec) {
            m_calls = directory.find<CallsMessage>(ServiceName::Calls, ec);
        }
        if (!ec) {
            directory.find<ConfigurationMessage>(ServiceName::Configuration, ec)
                .send(SubscribeConfiguration {m_configurationMailbox.address()});
        }
        tick();
        checkProbe();
        return ec ? make_error_code(ServiceError::MissingService) : std::error_code();
    }

    void stop(Task done) override
    {
        if (!m_runs->empty()) {
            // Runs of other daemons' callers end first.
            m_kernel.executor().scheduleAfter(StopCheck,
                                              [this, done = std::move(done)] { stop(done); });
            return;
        }
        m_runs->stop();
        for (const TimerId timer : {m_tickTimer, m_probeTimer}) {
            m_kernel.executor().cancel(timer);
        }
        done();
    }

private:
    TimePoint now() const { return m_kernel.executor().now(); }

    void tick()
    {
        m_runs->tick();
        sendLoadGauges(m_telemetry, m_state.service(), loadReport());
        report();
        m_tickTimer
            = m_kernel.executor().scheduleAfter(BackendRuns::LedgerTick, [this] { tick(); });
    }

    void changed(ConfigurationChanged news)
    {
        if (m_state.configurationChanged(std::move(news.configuration))) {
            // The server may have turned cold meanwhile; a probe tells for how long.
            const ServiceRules *rules = m_state.rules();
            m_state.reportedCold(rules ? rules->coldStart.duration : milliseconds(0), now());
            m_probe.soon();
        }
        applyRules();
        m_runs->decide();
    }

    /// Takes over what the configuration says of the server's service.
    void applyRules()
    {
        if (const ServiceRules *rules = m_state.rules()) {
            m_probe.limitChanged(rules->probesPerSecond);
        }
        limitSlots();
    }

    /// A cold server of a service that names no rate gets few calls at a time.
    void limitSlots()
    {
        const auto &heartbeat = m_state.registration.current();
        if (!heartbeat) {
            return;
        }
        const ServiceRules *rules = m_state.rules();
        const bool few
            = rules && rules->coldStart.callsPerSecond <= 0 && m_state.pacer.isCold(now());
        m_runs->slotsChanged(few ? std::min(heartbeat->slots, rules->coldStart.initialSlots)
                                 : heartbeat->slots);
    }

    // Registration.

    void handle(HeartbeatReceived message)
    {
        const BackendHeartbeat &heartbeat = message.heartbeat;
        const RegistrationChange change = m_state.registration.heartbeatReceived(heartbeat, now());
        if (change == RegistrationChange::Replaced) {
            adopt(heartbeat);
        } else if (change == RegistrationChange::Renewed && !m_state.registration.leavingSince()) {
            if (heartbeat.coldRemaining.count() > 0) {
                m_state.reportedCold(heartbeat.coldRemaining, now());
            }
            applyRules();
        }
        if (change != RegistrationChange::Renewed) {
            m_telemetry.send(heartbeatEvent(heartbeat, change));
        }
        if (change == RegistrationChange::Leaving && !m_known) {
            adopt(heartbeat);
        }
        message.acknowledged(true);
        report();
        m_runs->decide();
    }

    void handle(DeregistrationReceived message)
    {
        const RegistrationChange change = m_state.registration.processLeft(message.instance, now());
        m_telemetry.send(LogEvent {"backend.left", "",
                                   "instance=" + message.instance
                                       + " change=" + std::string(changeName(change))});
        message.acknowledged(true);
        report();
        m_runs->decide();
    }

    void adopt(const BackendHeartbeat &heartbeat)
    {
        const auto endpoint = parseEndpoint(heartbeat.address);
        if (!endpoint) {
            return;
        }
        const auto pool = std::make_shared<HttpPool>(m_context, *endpoint);
        m_known = true;
        m_state.replaced(now());
        m_runs->replaced(pool);
        m_probe.replaced(pool);
        applyRules();
    }

    // Load.

    LoadReport loadReport() const
    {
        const TimePoint at = now();
        const bool open = !m_state.closed(at) && m_phase == StopPhase::Running
            && !m_state.registration.leavingSince();
        LoadReport load;
        load.inUse = m_runs->slots().inUse();
        load.waiting = static_cast<std::uint32_t>(m_runs->slots().waiting());
        load.limit = open ? m_runs->slots().slots() : 0;
        load.state = m_state.state(at);
        load.slownessPercent = m_state.health.slowness(at);
        load.failurePercent = m_state.health.failurePercent(at);
        load.answerMicros = microsOf(m_state.health.typicalAnswerTime(CallOrigin::Caller));
        load.nestedMicros = microsOf(m_state.health.typicalAnswerTime(CallOrigin::BackendServer));
        load.reserved = m_runs->slots().reserved(at);
        return load;
    }

    /// Tells others of changes that alter where calls are best placed.
    void report()
    {
        const LoadReport load = loadReport();
        const auto announced
            = std::tuple(m_state.service(), publicState(load), m_runs->slots().slots());
        if (std::exchange(m_announced, announced) != announced) {
            std::apply([this](auto... parts) { m_membership.send(BackendStateChanged {parts...}); },
                       announced);
        }
        const bool crossedSlow = (load.slownessPercent > SlowThresholdPercent)
            != (m_told.slownessPercent > SlowThresholdPercent);
        const bool crossedFull = isFull(load) != isFull(m_told);
        if (load.state != m_told.state || load.limit != m_told.limit || crossedSlow
            || crossedFull) {
            if (load.state != m_told.state) {
                m_telemetry.send(LogEvent {"backend.state", "",
                                           "service=" + m_state.service()
                                               + " state=" + std::string(stateName(load.state))
                                               + " limit=" + std::to_string(load.limit)});
            }
            m_told = load;
            m_links.send(LoadChanged {load});
            m_calls.send(LoadReportReceived {m_settings.place.self, load});
        }
    }

    static std::uint32_t microsOf(Duration duration)
    {
        return static_cast<std::uint32_t>(
            std::chrono::duration_cast<std::chrono::microseconds>(duration).count());
    }

    static bool isFull(const LoadReport &load)
    {
        return load.inUse + load.waiting + load.reserved >= load.limit;
    }

    BackendState publicState(const LoadReport &load) const
    {
        return m_phase == StopPhase::Running ? load.state : BackendState::Draining;
    }

    // Probes.

    void checkProbe()
    {
        const bool busy = m_runs->slots().inUse() > 0;
        m_probeTimer
            = m_kernel.executor().scheduleAfter(m_probe.period(busy), [this] { checkProbe(); });
        limitSlots();
        if (m_runs->slots().waiting() > 0) {
            // What waits for the end of a slow spell starts when it is over, with or without news.
            m_runs->decide();
        }
        report();
        m_probe.check(busy);
    }

    Kernel &m_kernel;
    boost::asio::io_context &m_context;
    BackendSettings m_settings;
    BackendTracker m_state;
    std::unique_ptr<BackendRuns> m_runs;
    BackendProbe m_probe;
    /// True once a process of the backend server has announced itself.
    bool m_known = false;
    /// Load as told last.
    LoadReport m_told;
    /// Service, state and slots as the other daemons know them.
    std::tuple<std::string, BackendState, std::uint32_t> m_announced {};
    TimerId m_tickTimer = 0;
    TimerId m_probeTimer = 0;
    StopPhase m_phase = StopPhase::Running;
    Address<MembershipMessage> m_membership;
    Address<TelemetryMessage> m_telemetry;
    Address<LinksMessage> m_links;
    Address<CallsMessage> m_calls;
    Mailbox<BackendMessage> m_mailbox;
    Mailbox<RegistrationMessage> m_registrationMailbox;
    Mailbox<ConfigurationChanged> m_configurationMailbox;
    Mailbox<StopPhaseChanged> m_stopMailbox;
};

} // namespace

std::unique_ptr<Service> makeBackend(Kernel &kernel, boost::asio::io_context &context,
                                     BackendSettings settings)
{
    return std::make_unique<Backend>(kernel, context, std::move(settings));
}

} // namespace Coltsfootwell
