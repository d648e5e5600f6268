#include "services/Backend.h"

#include "decisions/ProbePlan.h"
#include "decisions/RunLedger.h"
#include "decisions/SlotQueue.h"
#include "services/BackendMessages.h"
#include "services/BackendState.h"
#include "services/ConfigurationMessages.h"
#include "services/HttpExchange.h"
#include "services/MembershipMessages.h"
#include "services/ServiceError.h"
#include "services/ServiceNames.h"
#include "services/StopMessages.h"
#include "services/TelemetryMessages.h"
#include "wire/EndpointText.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <unordered_map>

namespace Coltsfootwell {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds LedgerTick {1};
constexpr milliseconds ProbeTimeout {400};
/// How often the need for a probe is looked at.
constexpr milliseconds ProbeCheck {20};
constexpr milliseconds IdleProbeCheck {100};
constexpr milliseconds StopCheck {20};
/// Longest idle time of a connection for calls that may be sent again.
constexpr Duration MaxIdleIdempotent = seconds(10);
/// A server may forget an idle connection without notice, and what is sent then is lost.
constexpr Duration MaxIdleOther = milliseconds(150);
constexpr unsigned FirstServerError = 500;
constexpr unsigned GatewayTimeout = 504;
constexpr unsigned FirstFailure = 300;
/// Slowness above which a server counts as slow, in percent.
constexpr std::uint32_t SlowPercent = 180;

/// A run that waits or works.
struct Run
{
    RunAttempt attempt;
    std::shared_ptr<HttpExchange> exchange;
    TimePoint began;
    bool hasSlot = false;
    bool cancelled = false;
    std::optional<Reason> stopped;
};

class Backend final : public Service
{
public:
    Backend(Kernel &kernel, boost::asio::io_context &context, BackendSettings settings)
        : m_kernel(kernel), m_context(context), m_settings(std::move(settings)),
          m_state(m_settings.place, m_settings.drainTime),
          m_ledger(m_settings.place.self.incarnation, *m_settings.guards),
          m_mailbox(kernel.executor(),
                    [this](BackendMessage message) {
                        std::visit([this](auto &&body) { handle(std::move(body)); },
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
        if (!m_runs.empty()) {
            // Runs of other daemons' callers end first.
            m_kernel.executor().after(StopCheck, [this, done = std::move(done)] { stop(done); });
            return;
        }
        for (const TimerId timer : {m_tickTimer, m_queueTimer, m_probeTimer}) {
            m_kernel.executor().cancel(timer);
        }
        done();
    }

private:
    TimePoint now() const { return m_kernel.executor().now(); }

    void tick()
    {
        m_ledger.tick();
        if (m_pool) {
            m_pool->expire(now());
        }
        measure();
        report();
        m_tickTimer = m_kernel.executor().after(LedgerTick, [this] { tick(); });
    }

    void measure()
    {
        const LoadReport load = loadReport();
        const std::string service = m_state.service();
        m_telemetry.send(SetGauge {"backend_slots_in_use", service, double(load.inUse)});
        m_telemetry.send(SetGauge {"backend_calls_waiting", service, double(load.waiting)});
        m_telemetry.send(SetGauge {"backend_limit", service, double(load.limit)});
        m_telemetry.send(SetGauge {"backend_slowness_percent", service, double(load.slowness)});
        m_telemetry.send(SetGauge {"backend_failure_percent", service, double(load.failures)});
    }

    void changed(ConfigurationChanged news)
    {
        if (m_state.configurationChanged(std::move(news.configuration))) {
            // The server may have turned cold meanwhile; a probe tells for how long.
            const ServiceRules *rules = m_state.rules();
            m_state.reportedCold(rules ? rules->coldStart.lasts : milliseconds(0), now());
            m_probeSoon = true;
        }
        applyRules();
        decide();
    }

    /// Takes over what the configuration says of the server's service.
    void applyRules()
    {
        if (const ServiceRules *rules = m_state.rules()) {
            m_probePlan.limitChanged(rules->probesPerSecond);
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
        m_slots.slotsChanged(few ? std::min(heartbeat->slots, rules->coldStart.initialSlots)
                                 : heartbeat->slots);
    }

    // Registration.

    void handle(HeartbeatReceived message)
    {
        const BackendHeartbeat &heartbeat = message.heartbeat;
        const RegistrationChange change = m_state.registration.heard(heartbeat, now());
        if (change == RegistrationChange::Replaced) {
            adopt(heartbeat);
        } else if (change == RegistrationChange::Renewed && !m_state.registration.leavingSince()) {
            if (heartbeat.cold.count() > 0) {
                m_state.reportedCold(heartbeat.cold, now());
            }
            applyRules();
        }
        logRegistration(change, heartbeat);
        if (change == RegistrationChange::Leaving && !m_pool) {
            adopt(heartbeat);
        }
        message.acknowledged(true);
        report();
        decide();
    }

    void handle(FarewellReceived message)
    {
        const RegistrationChange change = m_state.registration.left(message.instance, now());
        m_telemetry.send(LogEvent {"backend.left", "",
                                   "instance=" + message.instance
                                       + " change=" + std::string(changeName(change))});
        message.acknowledged(true);
        report();
        decide();
    }

    void adopt(const BackendHeartbeat &heartbeat)
    {
        const auto endpoint = endpointFromText(heartbeat.address);
        if (!endpoint) {
            return;
        }
        m_pool = std::make_shared<HttpPool>(m_context, *endpoint);
        m_state.replaced(now());
        applyRules();
        m_probeSoon = true;
    }

    void logRegistration(RegistrationChange change, const BackendHeartbeat &heartbeat)
    {
        if (change == RegistrationChange::Renewed) {
            return;
        }
        m_telemetry.send(
            LogEvent {"backend.heartbeat", "",
                      "instance=" + heartbeat.instance + " service=" + heartbeat.service
                          + " sequence=" + std::to_string(heartbeat.sequence) + " state="
                          + (heartbeat.state == AnnouncedState::Ready ? "ready" : "draining")
                          + " slots=" + std::to_string(heartbeat.slots)
                          + " coldMs=" + std::to_string(heartbeat.cold.count())
                          + " change=" + std::string(changeName(change))});
    }

    static std::string_view changeName(RegistrationChange change)
    {
        constexpr std::array<std::string_view, 4> Names {"renewed", "replaced", "leaving",
                                                         "outdated"};
        return Names[static_cast<std::size_t>(change)];
    }

    // Load.

    LoadReport loadReport() const
    {
        const TimePoint at = now();
        const bool open = !m_state.closed(at) && m_phase == StopPhase::Running
            && !m_state.registration.leavingSince();
        LoadReport load;
        load.inUse = m_slots.inUse();
        load.waiting = static_cast<std::uint32_t>(m_slots.waiting());
        load.limit = open ? m_slots.slots() : 0;
        load.state = m_state.state(at);
        load.slowness = m_state.health.slowness(at);
        load.failures = m_state.health.failurePercent(at);
        load.answerMicros = static_cast<std::uint32_t>(
            std::chrono::duration_cast<std::chrono::microseconds>(m_state.health.usualAnswer())
                .count());
        return load;
    }

    /// Tells others of changes that alter where calls are best placed.
    void report()
    {
        const LoadReport load = loadReport();
        const auto announced = std::tuple(m_state.service(), publicState(load), m_slots.slots());
        if (std::exchange(m_announced, announced) != announced) {
            std::apply([this](auto... parts) { m_membership.send(BackendChanged {parts...}); },
                       announced);
        }
        const bool crossedSlow = (load.slowness > SlowPercent) != (m_told.slowness > SlowPercent);
        const bool crossedFull = isFull(load) != isFull(m_told);
        if (load.state != m_told.state || load.limit != m_told.limit || crossedSlow
            || crossedFull) {
            if (load.state != m_told.state) {
                m_telemetry.send(LogEvent {"backend.state", "",
                                           "service=" + m_state.service()
                                               + " state=" + stateName(load.state)
                                               + " limit=" + std::to_string(load.limit)});
            }
            m_told = load;
            m_links.send(LoadChanged {load});
            m_calls.send(LoadLearned {m_settings.place.self, load});
        }
    }

    static bool isFull(const LoadReport &load) { return load.inUse + load.waiting >= load.limit; }

    BackendState publicState(const LoadReport &load) const
    {
        return m_phase == StopPhase::Running ? load.state : BackendState::Draining;
    }

    static std::string stateName(BackendState state)
    {
        constexpr std::array<std::string_view, 5> Names {"absent", "cold", "warm", "draining",
                                                         "gone"};
        return std::string(Names[static_cast<std::size_t>(state)]);
    }

    // Runs.

    void handle(RunAttempt run)
    {
        const AttemptId id = run.attempt;
        const RunVerdict verdict = m_ledger.run(id);
        if (verdict != RunVerdict::Start) {
            verdict == RunVerdict::AlreadyStarted
                ? run.reply(AttemptLost {loadReport()})
                : run.reply(AttemptRefused {Reason::Cancelled, loadReport(), false});
            return;
        }
        auto reason = m_state.refusalOf(run, now());
        if (!reason && m_phase == StopPhase::Finishing && !run.nested) {
            reason = Reason::Stopping;
        }
        if (reason) {
            refuse(run, *reason);
            return;
        }
        const SlotVerdict slot = m_slots.offer({id, run.startBy, run.priority, run.nested}, now());
        if (slot == SlotVerdict::Refuse) {
            refuse(run, Reason::Overloaded);
            return;
        }
        Run &added = m_runs[id];
        added.attempt = std::move(run);
        if (slot == SlotVerdict::Start) {
            added.hasSlot = true;
            if (!m_state.pacer.mayStart(now())) {
                m_slots.released();
                added.hasSlot = false;
                refuse(added.attempt, Reason::Cold);
                m_runs.erase(id);
                return;
            }
            startRun(added);
        } else {
            armQueueTimer();
        }
        report();
    }

    void refuse(const RunAttempt &run, Reason reason, bool byServer = false)
    {
        m_ledger.refused(run.attempt);
        m_telemetry.send(CountEvent {"runs_refused_total", std::string(reasonName(reason))});
        m_telemetry.send(LogEvent {"run.refused", run.call.requestId,
                                   "reason=" + std::string(reasonName(reason))
                                       + " byServer=" + (byServer ? "yes" : "no") + loadText()});
        run.reply(AttemptRefused {reason, loadReport(), byServer});
    }

    std::string loadText() const
    {
        const LoadReport load = loadReport();
        return " inUse=" + std::to_string(load.inUse) + " waiting=" + std::to_string(load.waiting)
            + " limit=" + std::to_string(load.limit) + " slowness=" + std::to_string(load.slowness)
            + " failures=" + std::to_string(load.failures) + " state=" + stateName(load.state)
            + " configuration="
            + (m_state.configuration() ? std::to_string(m_state.configuration()->version) : "none");
    }

    /// The run holds a slot; its body may still be at the entry daemon.
    void startRun(Run &run)
    {
        m_state.pacer.started(now());
        if (run.attempt.laterBytes > 0) {
            run.attempt.proceed();
            return;
        }
        begin(run);
    }

    void handle(BodyArrived message)
    {
        const auto it = m_runs.find(message.attempt);
        if (it == m_runs.end() || it->second.exchange || !it->second.hasSlot) {
            return;
        }
        it->second.attempt.body = std::move(message.body);
        begin(it->second);
    }

    void begin(Run &run)
    {
        const RunAttempt &attempt = run.attempt;
        run.began = now();
        if (attempt.repeat) {
            m_calls.send(RepeatStarted {attempt.call.requestId});
        }
        ExchangeRequest request;
        request.method = attempt.head->method;
        request.target = attempt.head->target;
        request.headers = attempt.head->headers;
        request.body = attempt.body;
        request.requestId = attempt.call.requestId;
        request.maxIdle = attempt.idempotent ? MaxIdleIdempotent : MaxIdleOther;
        request.deadline = attempt.deadline;
        launch(run, std::move(request));
    }

    void launch(Run &run, ExchangeRequest request)
    {
        const AttemptId id = run.attempt.attempt;
        RunEnvelope envelope;
        envelope.call = run.attempt.call;
        envelope.left = std::chrono::duration_cast<milliseconds>(run.attempt.deadline - now());
        envelope.instance = m_state.registration.current()->instance;
        envelope.callerService = run.attempt.callerService;
        m_settings.dialect->encodeRun(envelope, request.headers);
        run.exchange = std::make_shared<HttpExchange>(
            m_context, m_kernel.executor(), m_pool, *m_settings.dialect, std::move(request),
            [this, id, pool = m_pool] { return mayBegin(id, pool); },
            [this, id, pool = m_pool](ExchangeOutcome outcome) {
                ended(id, std::move(outcome), pool);
            });
        run.exchange->start();
    }

    bool mayBegin(const AttemptId &id, const std::shared_ptr<HttpPool> &pool)
    {
        const auto it = m_runs.find(id);
        if (it == m_runs.end()) {
            return false;
        }
        Run &run = it->second;
        run.stopped
            = pool == m_pool ? m_state.refusalOf(run.attempt, now()) : Reason::NoBackendServer;
        if (!run.stopped) {
            m_telemetry.send(CountEvent {"runs_started_total", run.attempt.service});
        }
        return !run.stopped;
    }

    void ended(const AttemptId &id, ExchangeOutcome outcome, const std::shared_ptr<HttpPool> &pool)
    {
        const auto it = m_runs.find(id);
        if (it == m_runs.end()) {
            return;
        }
        Run &run = it->second;
        if (outcome.kind == ExchangeOutcome::Kind::StaleConnection && run.attempt.idempotent
            && !run.cancelled && pool == m_pool && now() < run.attempt.deadline) {
            ExchangeRequest request;
            request.method = run.attempt.head->method;
            request.target = run.attempt.head->target;
            request.headers = run.attempt.head->headers;
            request.body = run.attempt.body;
            request.requestId = run.attempt.call.requestId;
            request.deadline = run.attempt.deadline;
            launch(run, std::move(request));
            return;
        }
        const Run finished = std::move(run);
        m_runs.erase(it);
        m_slots.released();
        if (pool == m_pool) {
            learn(finished, outcome);
        }
        answer(finished, std::move(outcome));
        report();
        decide();
    }

    void learn(const Run &run, const ExchangeOutcome &outcome)
    {
        if (const auto &load = outcome.marks.load) {
            m_state.health.reportedSlowness(load->slowness, now());
        }
        m_state.health.ended(judge(run, outcome), now() - run.began, now());
        if (outcome.marks.otherInstance) {
            // Another process has the address; its own heartbeat will say what it is.
            m_state.health.ended(RunEnd::Unreachable, {}, now());
        }
        m_slots.runTimeChanged(m_state.health.usualAnswer()
                               * std::min(m_state.health.slowness(now()), MaxQueueSlowness) / 100);
    }

    static RunEnd judge(const Run &run, const ExchangeOutcome &outcome)
    {
        using Kind = ExchangeOutcome::Kind;
        switch (outcome.kind) {
        case Kind::Answered:
            if (outcome.marks.notRun || outcome.marks.otherInstance) {
                return RunEnd::Shed;
            }
            if (outcome.status == GatewayTimeout) {
                return RunEnd::Unjudged;
            }
            return outcome.status >= FirstServerError || !outcome.marks.trusted ? RunEnd::Bad
                                                                                : RunEnd::Good;
        case Kind::Unreachable:
            return RunEnd::Unreachable;
        case Kind::Lost:
            return run.cancelled ? RunEnd::Unjudged : RunEnd::Lost;
        case Kind::Unsent:
        case Kind::StaleConnection:
            break;
        }
        return RunEnd::Unjudged;
    }

    void answer(const Run &run, ExchangeOutcome outcome)
    {
        using Kind = ExchangeOutcome::Kind;
        const RunAttempt &attempt = run.attempt;
        switch (outcome.kind) {
        case Kind::Unsent:
            refuse(attempt, run.stopped.value_or(Reason::Cancelled));
            return;
        case Kind::Unreachable:
            refuse(attempt, Reason::NoBackendServer);
            return;
        case Kind::Lost:
        case Kind::StaleConnection:
            lose(run, "lost");
            return;
        case Kind::Answered:
            break;
        }
        if (outcome.marks.notRun || outcome.marks.otherInstance) {
            refuse(attempt,
                   outcome.marks.otherInstance ? Reason::WrongInstance : Reason::Overloaded, true);
            return;
        }
        if (!outcome.marks.trusted) {
            lose(run, "unsigned");
            return;
        }
        const bool failure = outcome.status >= FirstServerError;
        m_telemetry.send(CountEvent {"runs_ended_total", failure ? "failed" : "answered"});
        m_telemetry.send(LogEvent {"run.answered", attempt.call.requestId,
                                   "status=" + std::to_string(outcome.status) + runText(run)});
        attempt.reply(AttemptAnswered {outcome.status, std::move(outcome.headers),
                                       std::make_shared<const std::string>(std::move(outcome.body)),
                                       failure, loadReport()});
    }

    void lose(const Run &run, std::string_view how)
    {
        m_telemetry.send(CountEvent {"runs_ended_total", std::string(how)});
        m_telemetry.send(LogEvent {"run.lost", run.attempt.call.requestId,
                                   "how=" + std::string(how) + " cancelled="
                                       + (run.cancelled ? "yes" : "no") + runText(run)});
        run.attempt.reply(AttemptLost {loadReport()});
    }

    std::string runText(const Run &run) const
    {
        const auto micros
            = std::chrono::duration_cast<std::chrono::microseconds>(now() - run.began).count();
        return " service=" + run.attempt.service + " elapsedUs=" + std::to_string(micros)
            + loadText();
    }

    void handle(CancelAttempt cancel)
    {
        const auto it = m_runs.find(cancel.attempt);
        if (it == m_runs.end()) {
            return;
        }
        Run &run = it->second;
        run.cancelled = true;
        if (run.exchange) {
            run.exchange->cancel();
            return;
        }
        run.hasSlot ? m_slots.released() : static_cast<void>(m_slots.withdraw(cancel.attempt));
        const Run finished = std::move(run);
        m_runs.erase(it);
        refuse(finished.attempt, Reason::Cancelled);
        decide();
    }

    void handle(RevokeAttempt revoke)
    {
        const RevokeVerdict verdict = m_ledger.revoke(revoke.attempt, revoke.sentTo);
        revoke.reply(verdict == RevokeVerdict::NeverStarts);
    }

    /// Starts and refuses what waits.
    void decide()
    {
        bool again = true;
        while (again) {
            again = false;
            const auto closed = m_state.closed(now());
            const SlotQueue::Decisions decisions = closed
                ? m_slots.refuseAll()
                : m_slots.decide(now(), m_state.pacer.mayStart(now()));
            for (const SlotDecision &decision : std::vector(decisions.begin(), decisions.end())) {
                again = again || decision.start;
                carryOut(decision, closed.value_or(Reason::Overloaded));
            }
        }
        armQueueTimer();
    }

    void carryOut(const SlotDecision &decision, Reason reason)
    {
        const auto it = m_runs.find(decision.attempt);
        if (it == m_runs.end()) {
            return;
        }
        if (decision.start) {
            it->second.hasSlot = true;
            startRun(it->second);
            return;
        }
        const Run refused = std::move(it->second);
        m_runs.erase(it);
        refuse(refused.attempt, reason);
    }

    void armQueueTimer()
    {
        auto next = m_slots.nextDeadline();
        if (next) {
            if (const auto cold = m_state.pacer.nextStart(now())) {
                next = std::min(*next, *cold);
            }
        }
        if (next == m_queueTick) {
            return;
        }
        m_kernel.executor().cancel(m_queueTimer);
        m_queueTick = next;
        if (next) {
            m_queueTimer = m_kernel.executor().after(*next - now(), [this] {
                m_queueTick.reset();
                decide();
            });
        }
    }

    // Probes.

    void checkProbe()
    {
        const bool active = m_slots.inUse() > 0 || m_probeSoon || m_state.health.isDown()
            || m_state.health.slowness(now()) > SlowPercent;
        m_probeTimer = m_kernel.executor().after(active ? ProbeCheck : IdleProbeCheck,
                                                 [this] { checkProbe(); });
        limitSlots();
        report();
        if (!m_pool || m_probing || !m_state.configuration()) {
            return;
        }
        ProbeNeed need;
        need.down = m_state.health.isDown();
        need.busy = m_slots.inUse() > 0;
        need.slow = m_state.health.slowness(now()) > SlowPercent;
        need.cold = m_state.pacer.isCold(now());
        need.speedKnownAt = m_state.health.speedKnownAt();
        if (m_probeSoon || now() >= m_probePlan.next(need)) {
            probe();
        }
    }

    void probe()
    {
        m_probeSoon = false;
        m_probing = true;
        m_probePlan.sent(now());
        m_telemetry.send(CountEvent {"probes_total", "sent"});
        const ServiceRules *rules = m_state.rules();
        ExchangeRequest request;
        request.method = "GET";
        request.target = rules ? rules->healthPath : ServiceRules().healthPath;
        request.headers.push_back({"Host", endpointText(m_pool->endpoint())});
        request.maxIdle = MaxIdleIdempotent;
        request.deadline = now() + ProbeTimeout;
        std::make_shared<HttpExchange>(
            m_context, m_kernel.executor(), m_pool, *m_settings.dialect, std::move(request),
            [] { return true; },
            [this, pool = m_pool](const ExchangeOutcome &outcome) {
                m_probing = false;
                if (pool == m_pool) {
                    probed(outcome);
                }
            })
            ->start();
    }

    void probed(const ExchangeOutcome &outcome)
    {
        const bool wasDown = m_state.health.isDown();
        if (outcome.kind == ExchangeOutcome::Kind::Answered) {
            const ProbeReport probe
                = m_settings.dialect->decodeProbe(outcome.status, outcome.headers, outcome.body);
            if (probe.load) {
                m_state.health.reportedSlowness(probe.load->slowness, now());
            }
            if (probe.cold) {
                m_state.reportedCold(*probe.cold, now());
            } else if (probe.healthy) {
                m_state.reportedCold(milliseconds(0), now());
            }
            // A health check may fail falsely while calls are answered, so it only counts when
            // nothing is known of calls.
            probe.healthy || outcome.status < FirstFailure
                ? m_state.health.probeAnswered(now())
                : m_state.health.probeFailed(false, now());
            m_telemetry.send(CountEvent {"probes_total", probe.healthy ? "healthy" : "unhealthy"});
        } else {
            const bool refused = outcome.kind == ExchangeOutcome::Kind::Unreachable;
            m_state.health.probeFailed(refused, now());
            m_telemetry.send(CountEvent {"probes_total", refused ? "refused" : "lost"});
        }
        if (wasDown != m_state.health.isDown()) {
            m_telemetry.send(
                LogEvent {"backend.health", "",
                          "service=" + m_state.service() + (wasDown ? " down=no" : " down=yes")});
        }
        report();
        decide();
    }

    /// Queued runs of a server that is slower than this are refused early anyway.
    static constexpr std::uint32_t MaxQueueSlowness = 1000;

    Kernel &m_kernel;
    boost::asio::io_context &m_context;
    BackendSettings m_settings;
    BackendStateView m_state;
    RunLedger m_ledger;
    SlotQueue m_slots;
    ProbePlan m_probePlan;
    std::shared_ptr<HttpPool> m_pool;
    std::unordered_map<AttemptId, Run> m_runs;
    /// Load as told last.
    LoadReport m_told;
    /// Service, state and slots as the other daemons know them.
    std::tuple<std::string, BackendState, std::uint32_t> m_announced {};
    std::optional<TimePoint> m_queueTick;
    TimerId m_tickTimer = 0;
    TimerId m_queueTimer = 0;
    TimerId m_probeTimer = 0;
    bool m_probing = false;
    bool m_probeSoon = false;
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
