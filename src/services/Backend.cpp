#include "services/Backend.h"

#include "services/AnswerMessages.h"
#include "services/BackendLimits.h"
#include "services/BackendLog.h"
#include "services/BackendMessages.h"
#include "services/BackendProbe.h"
#include "services/BackendRuns.h"
#include "services/BackendTracker.h"
#include "services/ConfigurationMessages.h"
#include "services/HeldMemoryReports.h"
#include "services/HttpExchange.h"
#include "services/MembershipMessages.h"
#include "services/ServiceError.h"
#include "services/ServiceNames.h"
#include "services/StopMessages.h"
#include "services/TelemetryMessages.h"
#include "services/UnixTime.h"
#include "wire/EndpointText.h"

#include <algorithm>
#include <tuple>

namespace Coltsfootwell {

namespace {

using std::chrono::milliseconds;

/// Interval at which stop() checks whether all runs have ended.
constexpr milliseconds StopPollInterval {20};

class Backend final : public Service
{
public:
    Backend(Kernel &kernel, boost::asio::io_context &context, BackendSettings settings)
        : m_kernel(kernel), m_context(context), m_settings(std::move(settings)),
          m_tracker(m_settings.locality, m_settings.coldSlack),
          m_runs(
              makeBackendRuns({kernel, context, m_settings, m_tracker, m_telemetry, m_calls,
                               [this] { return loadReport(); }, [this] { publishLoadChanges(); }})),
          m_probe({kernel, context, *m_settings.dialect, m_tracker, m_telemetry,
                   [this] {
                       recordReturn();
                       publishLoadChanges();
                       m_runs->dispatchQueue();
                   }}),
          m_mailbox(kernel.executor(),
                    [this](BackendMessage &&message) {
                        std::visit([this](auto &&body) { m_runs->handle(std::move(body)); },
                                   std::move(message));
                    }),
          m_registrationMailbox(kernel.executor(),
                                [this](RegistrationMessage &&message) {
                                    std::visit([this](auto &&body) { handle(std::move(body)); },
                                               std::move(message));
                                }),
          m_configurationMailbox(
              kernel.executor(),
              [this](ConfigurationChanged message) { configurationChanged(std::move(message)); }),
          m_stopMailbox(kernel.executor(), [this](StopPhaseChanged message) {
              m_phase = message.phase;
              if (m_phase == StopPhase::Finishing) {
                  m_runs->acceptOnlyNestedCalls();
              }
              publishLoadChanges();
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
        std::error_code withoutRecords;
        m_leftProcesses
            = directory.find<RecordLeftProcesses>(ServiceName::LeftProcesses, withoutRecords);
        m_recordsLeft = !withoutRecords;
        if (m_recordsLeft) {
            m_tracker.registration.expectPredecessor();
        }
        std::error_code withoutCallers;
        m_answerMemory->reportShortage(
            [readers = directory.find<AnswerMemoryShort>(
                 ServiceName::AnswerReaders, withoutCallers)](AnswerSize size, std::size_t bytes) {
                readers.send({AnswerSource::Server, size, bytes});
            });
        tick();
        checkProbe();
        m_heldMemory.start();
        return ec ? make_error_code(ServiceError::MissingService) : std::error_code();
    }

    void stop(Task done) override
    {
        if (!m_runs->empty()) {
            // Runs for callers of other daemons must end before the service stops.
            m_kernel.executor().scheduleAfter(StopPollInterval,
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
        m_tickTimer
            = m_kernel.executor().scheduleAfter(BackendRuns::TickInterval, [this] { tick(); });
        m_runs->tick();
        sendLoadGauges(m_telemetry, m_tracker.service(), loadReport());
        publishLoadChanges();
    }

    void configurationChanged(ConfigurationChanged message)
    {
        if (m_tracker.configurationChanged(std::move(message.configuration))) {
            // The server may have become cold while its data centre was out of service; a probe
            // reports the remaining time.
            const ServiceRules *rules = m_tracker.rules();
            m_tracker.coldRemainingReported(rules ? rules->coldStart.duration : milliseconds(0),
                                            now());
            m_probe.forceNextProbe();
        }
        applyRules();
        m_runs->dispatchQueue();
    }

    /// Applies the configured rules of the server's service.
    void applyRules()
    {
        if (const ServiceRules *rules = m_tracker.rules()) {
            m_probe.rateLimitChanged(rules->probesPerSecond);
        }
        limitSlots();
    }

    /// Limits the concurrent calls of a cold server whose service configures no cold-start rate.
    void limitSlots()
    {
        const auto &heartbeat = m_tracker.registration.current();
        if (!heartbeat) {
            return;
        }
        const ServiceRules *rules = m_tracker.rules();
        const bool limited = rules && rules->coldStart.callsPerSecond <= 0
            && m_tracker.coldRateLimiter.isCold(now());
        m_runs->slotsChanged(limited ? std::min(heartbeat->slots, rules->coldStart.initialSlots)
                                     : heartbeat->slots);
    }

    // Registration.

    void handle(HeartbeatReceived message)
    {
        const BackendHeartbeat &heartbeat = message.heartbeat;
        const bool wasConfirmed = m_tracker.registration.isConfirmed();
        const RegistrationChange change = m_tracker.heartbeatReceived(heartbeat, now(), unixMs());
        if (change == RegistrationChange::Replaced) {
            adoptInstance(heartbeat);
        } else if (change == RegistrationChange::Renewed
                   && !m_tracker.registration.leavingSince()) {
            if (heartbeat.coldRemaining.count() > 0) {
                m_tracker.coldRemainingReported(heartbeat.coldRemaining, now());
            }
            applyRules();
        }
        if (change != RegistrationChange::Renewed) {
            m_telemetry.send(heartbeatEvent(heartbeat, change));
        }
        if (change == RegistrationChange::Leaving && !m_hasInstance) {
            adoptInstance(heartbeat);
        }
        if (!wasConfirmed && m_tracker.registration.isConfirmed()) {
            m_telemetry.send(LogEvent {"backend.confirmed", "",
                                       "instance=" + heartbeat.instance + " by=heartbeats"});
        }
        recordReturn();
        heartbeat.state == AnnouncedState::Draining
            ? acknowledgeRecorded(heartbeat.instance, std::move(message.acknowledged))
            : message.acknowledged(true);
        publishLoadChanges();
        m_runs->dispatchQueue();
    }

    void handle(DeregistrationReceived message)
    {
        const RegistrationChange change
            = m_tracker.registration.processLeft(message.instance, now(), unixMs());
        m_telemetry.send(
            deregistrationEvent(message.instance, m_tracker.registration.current(), change));
        acknowledgeRecorded(message.instance, std::move(message.acknowledged));
        publishLoadChanges();
        m_runs->dispatchQueue();
    }

    void handle(PredecessorRecordRead message)
    {
        BackendRegistration &registration = m_tracker.registration;
        const bool ownAnnouncements = !registration.leftProcesses().empty();
        m_recordedLeft = message.processes;
        if (registration.predecessorKnew(message.processes, now(), unixMs())) {
            m_telemetry.send(heartbeatEvent(*registration.current(), RegistrationChange::Leaving));
        }
        if (ownAnnouncements) {
            // The record must have the processes of both.
            recordLeftProcesses({});
        }
        publishLoadChanges();
        m_runs->dispatchQueue();
    }

    /// Acknowledges that the server leaves once the store has a record of it, so that a restarted
    /// daemon knows of it, too. Without an answer of the store, the acknowledgement is given all
    /// the same: it counts for this process, and the record is repeated.
    void acknowledgeRecorded(const std::string &instance, Reply<bool> acknowledged)
    {
        if (!m_recordsLeft) {
            acknowledgeLeaving(instance, "none", acknowledged);
            return;
        }
        auto reply = Reply<bool>(
            m_kernel.executor(),
            [this, instance, acknowledged = std::move(acknowledged)](std::optional<bool> recorded) {
                if (!recorded.value_or(false)) {
                    m_telemetry.send(LogEvent {"backend.leftUnrecorded", "", ""});
                }
                acknowledgeLeaving(instance, recorded.value_or(false) ? "yes" : "no", acknowledged);
            });
        recordLeftProcesses(std::move(reply));
    }

    void acknowledgeLeaving(const std::string &instance, std::string_view recorded,
                            const Reply<bool> &acknowledged)
    {
        m_telemetry.send(LogEvent {"backend.leavingAcknowledged", "",
                                   "instance=" + instance + " recorded=" + std::string(recorded)
                                       + leavingLogField(m_tracker.registration, now())});
        acknowledged(true);
    }

    void recordLeftProcesses(Reply<bool> reply)
    {
        m_recordedLeft = m_tracker.registration.leftProcesses();
        m_leftProcesses.send(RecordLeftProcesses {m_recordedLeft, std::move(reply)});
    }

    /// Changes the record if a process that was taken for one that left has returned to service.
    void recordReturn()
    {
        if (m_tracker.registration.leftProcesses().size() < m_recordedLeft.size()) {
            recordLeftProcesses({});
        }
    }

    void adoptInstance(const BackendHeartbeat &heartbeat)
    {
        const auto endpoint = parseEndpoint(heartbeat.address);
        if (!endpoint) {
            return;
        }
        m_hasInstance = true;
        m_tracker.instanceReplaced(now());
        m_runs->instanceReplaced(std::make_shared<HttpPool>(m_context, *endpoint, m_answerMemory));
        m_probe.instanceReplaced(std::make_shared<HttpPool>(m_context, *endpoint));
        applyRules();
        if (!m_tracker.registration.isConfirmed()) {
            m_probe.sendIfDue(false);
        }
    }

    // Load.

    LoadReport loadReport() const
    {
        const TimePoint at = now();
        const bool open = !m_tracker.unavailableReason() && m_phase == StopPhase::Running;
        LoadReport load;
        load.inUse = m_runs->slots().inUse();
        load.waiting = static_cast<std::uint32_t>(m_runs->slots().waiting());
        load.limit = open ? m_runs->slots().slots() : 0;
        load.state = m_tracker.state(at);
        load.slownessPercent = m_tracker.health.slowness(at);
        load.failurePercent = m_tracker.health.failurePercent(at);
        load.answerMicros = toMicros(m_tracker.health.typicalAnswerTime(CallOrigin::Caller));
        load.nestedMicros = toMicros(m_tracker.health.typicalAnswerTime(CallOrigin::BackendServer));
        load.reserved = m_runs->slots().reserved(at);
        return load;
    }

    /// Publishes load changes that affect the placement of calls.
    void publishLoadChanges()
    {
        const LoadReport load = loadReport();
        const auto advertised
            = std::tuple(m_tracker.service(), advertisedState(load), m_runs->slots().slots());
        if (std::exchange(m_advertised, advertised) != advertised) {
            std::apply([this](auto... parts) { m_membership.send(BackendStateChanged {parts...}); },
                       advertised);
        }
        const bool slowChanged = (load.slownessPercent > SlowThresholdPercent)
            != (m_reportedLoad.slownessPercent > SlowThresholdPercent);
        const bool fullChanged = isFull(load) != isFull(m_reportedLoad);
        if (load.state != m_reportedLoad.state || load.limit != m_reportedLoad.limit || slowChanged
            || fullChanged) {
            if (load.state != m_reportedLoad.state) {
                m_telemetry.send(LogEvent {"backend.state", "",
                                           "service=" + m_tracker.service() + " state="
                                               + std::string(backendStateName(load.state))
                                               + " limit=" + std::to_string(load.limit)});
            }
            m_reportedLoad = load;
            m_links.send(LoadChanged {load});
            m_calls.send(LoadReportReceived {m_settings.locality.self, load});
        }
    }

    static std::uint32_t toMicros(Duration duration)
    {
        return static_cast<std::uint32_t>(
            std::chrono::duration_cast<std::chrono::microseconds>(duration).count());
    }

    static bool isFull(const LoadReport &load)
    {
        return load.inUse + load.waiting + load.reserved >= load.limit;
    }

    BackendState advertisedState(const LoadReport &load) const
    {
        return m_phase == StopPhase::Running ? load.state : BackendState::Draining;
    }

    // Probes.

    void checkProbe()
    {
        const bool busy = m_runs->slots().inUse() > 0;
        m_probeTimer = m_kernel.executor().scheduleAfter(m_probe.checkInterval(busy),
                                                         [this] { checkProbe(); });
        limitSlots();
        if (m_runs->slots().waiting() > 0) {
            // Runs that are queued until a transient slowdown ends must start even if no report
            // announces its end.
            m_runs->dispatchQueue();
        }
        publishLoadChanges();
        m_probe.sendIfDue(busy);
    }

    Kernel &m_kernel;
    boost::asio::io_context &m_context;
    BackendSettings m_settings;
    BackendTracker m_tracker;
    /// Shared by the connections to all processes of the backend server.
    const std::shared_ptr<AnswerMemory> m_answerMemory
        = std::make_shared<AnswerMemory>(m_context, m_settings.answerLimits);
    std::unique_ptr<BackendRuns> m_runs;
    BackendProbe m_probe;
    HeldMemoryReports m_heldMemory {
        m_kernel, {{"server-answers", [this] { return m_runs->heldAnswerBytes(); }}}};
    /// True once a process of the backend server has registered.
    bool m_hasInstance = false;
    /// Load of the last LoadChanged message.
    LoadReport m_reportedLoad;
    /// Service, state and slots of the last BackendStateChanged message.
    std::tuple<std::string, BackendState, std::uint32_t> m_advertised {};
    TimerId m_tickTimer = 0;
    TimerId m_probeTimer = 0;
    StopPhase m_phase = StopPhase::Running;
    Address<MembershipMessage> m_membership;
    Address<TelemetryMessage> m_telemetry;
    Address<LinksMessage> m_links;
    Address<CallsMessage> m_calls;
    Address<RecordLeftProcesses> m_leftProcesses;
    /// True if shutdowns of the server are recorded in the store.
    bool m_recordsLeft = false;
    /// Processes of the last RecordLeftProcesses message, or of the record that was read.
    std::vector<LeftProcess> m_recordedLeft;
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
