#include "services/BackendRuns.h"

#include "decisions/FailureAttribution.h"
#include "decisions/RunLedger.h"
#include "services/BackendLimits.h"
#include "services/BackendLog.h"
#include "services/RunFeedback.h"

#include <algorithm>
#include <unordered_map>

namespace Coltsfootwell {

namespace {

using std::chrono::milliseconds;

/// Maximum time for which a connection may have been idle before it is reused for a request that is
/// not idempotent. A server may drop an idle connection without closing it, and a request sent over
/// it is then lost.
constexpr Duration NonIdempotentMaxIdleTime = milliseconds(150);
/// Maximum slowness that is passed to the queue, in percent. Above it, queued runs are refused
/// early in any case.
constexpr std::uint32_t MaxQueueSlownessPercent = 1000;

/// A run that is queued or in progress.
struct Run
{
    RunAttempt attempt;
    std::shared_ptr<HttpExchange> exchange;
    RunStartConditions startConditions;
    bool hasSlot = false;
    bool cancelled = false;
    TimePoint receivedAt {};
    /// True if the run was sent over a connection that failed before an answer, and is sent again.
    bool sentBefore = false;
    FailureAttribution failureAttribution;
    /// Set if the run was refused right before its first byte was sent.
    std::optional<Reason> refusalReason;
};

class Runs final : public BackendRuns
{
public:
    explicit Runs(BackendRunsDependencies dependencies)
        : m_dependencies(std::move(dependencies)), m_tracker(m_dependencies.tracker),
          m_telemetry(m_dependencies.telemetry), m_calls(m_dependencies.calls),
          m_ledger(m_dependencies.settings.locality.self.incarnation,
                   *m_dependencies.settings.guards)
    {
    }

    void instanceReplaced(std::shared_ptr<HttpPool> pool) override { m_pool = std::move(pool); }
    void slotsChanged(std::uint32_t slots) override { m_slots.slotsChanged(slots); }
    void acceptOnlyNestedCalls() override { m_onlyNestedCalls = true; }

    void tick() override
    {
        m_ledger.tick();
        if (m_pool) {
            m_pool->closeExpired(now());
        }
    }

    void stop() override { m_dependencies.kernel.executor().cancel(m_queueTimer); }

    bool empty() const override { return m_runs.empty(); }
    const SlotQueue &slots() const override { return m_slots; }
    std::size_t heldAnswerBytes() const override { return m_pool ? m_pool->heldAnswerBytes() : 0; }

    void handle(RunAttempt run) override
    {
        const AttemptId id = run.attempt;
        const RunVerdict verdict = m_ledger.tryStart(id);
        if (verdict != RunVerdict::Start) {
            verdict == RunVerdict::AlreadyStarted
                ? run.reply(AttemptLost {m_dependencies.currentLoad()})
                : run.reply(
                    AttemptRefused {Reason::Cancelled, m_dependencies.currentLoad(), false});
            return;
        }
        auto reason = m_tracker.refusalReason(run, now());
        if (!reason && m_onlyNestedCalls && !run.nested) {
            reason = Reason::Stopping;
        }
        if (reason) {
            refuse(run, *reason);
            return;
        }
        updateQueueLimits();
        const SlotVerdict slot
            = m_slots.offer({id, run.startBy, run.priority, run.nested, run.pendingBodyBytes > 0,
                             run.objective, run.deadline},
                            now());
        if (slot == SlotVerdict::Refuse) {
            refuse(run, Reason::Overloaded);
            return;
        }
        Run &added = m_runs[id];
        added.attempt = std::move(run);
        added.receivedAt = now();
        if (slot == SlotVerdict::Start) {
            added.hasSlot = true;
            if (!m_tracker.coldRateLimiter.mayStart(now())) {
                m_slots.slotReleased();
                added.hasSlot = false;
                refuse(added.attempt, Reason::Cold);
                m_runs.erase(id);
                return;
            }
            startRun(added);
        } else {
            dispatchQueue();
        }
        m_dependencies.onLoadChanged();
    }

    void handle(BodyArrived message) override
    {
        const auto it = m_runs.find(message.attempt);
        if (it == m_runs.end() || it->second.hasSlot) {
            return;
        }
        it->second.attempt.body = std::move(message.body);
        m_slots.bodyArrived(message.attempt);
        dispatchQueue();
    }

    void handle(CancelAttempt cancel) override
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
        run.hasSlot ? m_slots.slotReleased() : static_cast<void>(m_slots.withdraw(cancel.attempt));
        const Run finished = std::move(run);
        m_runs.erase(it);
        refuse(finished.attempt, Reason::Cancelled);
        dispatchQueue();
    }

    void handle(const NestedCallMade &made) override
    {
        if (const auto it = findRun(made.requestId); it != m_runs.end()) {
            it->second.startConditions.comparable = false;
        }
    }

    void handle(const NestedCallRefused &refused) override
    {
        if (const auto it = findRun(refused.requestId); it != m_runs.end()) {
            it->second.failureAttribution.nestedCallRefused(refused.reason);
        }
    }

    void handle(RevokeAttempt revoke) override
    {
        const RevokeVerdict verdict = m_ledger.revoke(revoke.attempt, revoke.sentTo);
        revoke.reply(verdict == RevokeVerdict::NeverStarts);
    }

    void dispatchQueue() override
    {
        updateQueueLimits();
        bool again = true;
        while (again) {
            again = false;
            const auto unavailableReason = m_tracker.unavailableReason();
            const SlotQueue::Decisions decisions = unavailableReason
                ? m_slots.refuseAll()
                : m_slots.decide(now(), m_tracker.coldRateLimiter.mayStart(now()));
            for (const SlotDecision &decision : std::vector(decisions.begin(), decisions.end())) {
                again = again || decision.action == SlotAction::Start;
                applyDecision(decision, unavailableReason.value_or(Reason::Overloaded));
            }
        }
        armQueueTimer();
    }

private:
    TimePoint now() const { return m_dependencies.kernel.executor().now(); }

    std::unordered_map<AttemptId, Run>::iterator findRun(std::string_view requestId)
    {
        return std::ranges::find(m_runs, requestId, [](const auto &item) -> std::string_view {
            return item.second.attempt.call.requestId;
        });
    }

    /// \param exchange exchange with the server that the refusal rests on; null if there was none.
    void refuse(const RunAttempt &run, Reason reason, const ExchangeOutcome *exchange = nullptr)
    {
        const bool byServer = exchange && exchange->kind == ExchangeOutcome::Kind::Answered;
        m_ledger.retractStart(run.attempt);
        m_telemetry.send(IncrementCounter {"runs_refused_total", std::string(reasonName(reason))});
        m_telemetry.send(LogEvent {"run.refused", run.call.requestId,
                                   "reason=" + std::string(reasonName(reason))
                                       + " byServer=" + (byServer ? "yes" : "no")
                                       + (exchange ? exchangeLogFields(*exchange, now()) : "")
                                       + loadAndConfigurationFields()});
        run.reply(AttemptRefused {reason, m_dependencies.currentLoad(), byServer});
    }

    std::string loadAndConfigurationFields() const
    {
        const Configuration *configuration = m_tracker.configuration();
        return loadLogFields(m_dependencies.currentLoad())
            + leavingLogField(m_tracker.registration, now())
            + " configuration=" + (configuration ? std::to_string(configuration->version) : "none");
    }

    /// Starts a run that has a slot. If an exception leaves it, the slot is free again.
    void startRun(Run &run)
    {
        const AttemptId id = run.attempt.attempt;
        try {
            prepareAndStart(run);
        } catch (...) {
            m_runs.erase(id);
            m_slots.slotReleased();
            throw;
        }
    }

    void prepareAndStart(Run &run)
    {
        const RunAttempt &attempt = run.attempt;
        run.startConditions = captureStartConditions(m_tracker, m_slots, attempt.nested, now());
        m_tracker.coldRateLimiter.callStarted(now());
        if (attempt.repeat) {
            m_calls.send(RepeatedRunStarted {attempt.call.requestId});
        }
        startExchange(run, attempt.idempotent ? IdempotentMaxIdleTime : NonIdempotentMaxIdleTime);
    }

    /// \param maxIdleTime maximum time for which a reused connection may have been idle.
    void startExchange(Run &run, Duration maxIdleTime)
    {
        const RunAttempt &attempt = run.attempt;
        const AttemptId id = attempt.attempt;
        ExchangeRequest request;
        request.method = attempt.head->method;
        request.target = attempt.head->target;
        request.headers = attempt.head->headers;
        request.body = attempt.body;
        request.requestId = attempt.call.requestId;
        request.maxIdleTime = maxIdleTime;
        request.deadline = attempt.deadline;
        request.run = RunEnvelope {
            attempt.call, {}, m_tracker.registration.current()->instance, attempt.callerService};
        run.exchange = std::make_shared<HttpExchange>(
            m_dependencies.context, m_dependencies.kernel.executor(), m_pool,
            *m_dependencies.settings.dialect, std::move(request),
            [this, id, pool = m_pool] { return mayStart(id, pool); },
            [this, id, pool = m_pool](ExchangeOutcome outcome) {
                exchangeEnded(id, std::move(outcome), pool);
            });
        // Messages that have arrived with the run, such as its cancellation after a pause of this
        // process, are handled before it is sent.
        m_dependencies.kernel.executor().post([exchange = run.exchange] { exchange->start(); });
    }

    bool mayStart(const AttemptId &id, const std::shared_ptr<HttpPool> &pool)
    {
        const auto it = m_runs.find(id);
        if (it == m_runs.end()) {
            return false;
        }
        Run &run = it->second;
        run.refusalReason = pool == m_pool ? m_tracker.refusalReason(run.attempt, now())
                                           : Reason::NoBackendServer;
        if (!run.refusalReason) {
            m_telemetry.send(IncrementCounter {"runs_started_total", run.attempt.service});
        }
        return !run.refusalReason;
    }

    void exchangeEnded(const AttemptId &id, ExchangeOutcome outcome,
                       const std::shared_ptr<HttpPool> &pool)
    {
        const auto it = m_runs.find(id);
        if (it == m_runs.end()) {
            return;
        }
        Run &run = it->second;
        if (outcome.sentAt && !outcome.reusedConnection) {
            m_telemetry.send(IncrementCounter {"backend_connections_total", "made"});
        } else if (outcome.kind == ExchangeOutcome::Kind::Unreachable) {
            m_telemetry.send(IncrementCounter {"backend_connections_total", "failed"});
        }
        if (outcome.kind == ExchangeOutcome::Kind::StaleConnection && run.attempt.idempotent
            && !run.cancelled && pool == m_pool && !m_tracker.refusalReason(run.attempt, now())) {
            run.sentBefore = true;
            startExchange(run, NewConnectionOnly);
            return;
        }
        const Run finished = std::move(run);
        m_runs.erase(it);
        m_slots.slotReleased();
        if (pool == m_pool) {
            recordRun(m_tracker, m_slots, finished.startConditions, finished.cancelled,
                      finished.failureAttribution, outcome, now());
        }
        logMemoryWait(finished, outcome);
        replyTo(finished, std::move(outcome));
        m_dependencies.onLoadChanged();
        dispatchQueue();
    }

    void logMemoryWait(const Run &run, const ExchangeOutcome &outcome)
    {
        if (outcome.memoryWaitTime > Duration()) {
            const auto waited
                = std::chrono::duration_cast<milliseconds>(outcome.memoryWaitTime).count();
            m_telemetry.send(LogEvent {"answer.waited", run.attempt.call.requestId,
                                       "from=server waitedMs=" + std::to_string(waited)});
        }
    }

    void updateQueueLimits()
    {
        m_slots.setCallerLimit(m_tracker.concurrencyLimit.limit(m_slots.slots(), now()));
        const BackendHealth &health = m_tracker.health;
        const std::uint32_t percent = std::min(health.slowness(now()), MaxQueueSlownessPercent);
        m_slots.speedChanged({health.typicalAnswerTime(CallOrigin::Caller),
                              health.typicalAnswerTime(CallOrigin::BackendServer), percent / 100.0,
                              health.inTransientSlowdown(now())});
    }

    /// \return true if the request has not run in this exchange.
    static bool provesNotRun(const ExchangeOutcome &outcome)
    {
        using Kind = ExchangeOutcome::Kind;
        return outcome.kind == Kind::Unsent || outcome.kind == Kind::Unreachable
            || outcome.envelope.notRun || outcome.envelope.wrongInstance;
    }

    void replyTo(const Run &run, ExchangeOutcome outcome)
    {
        using Kind = ExchangeOutcome::Kind;
        const RunAttempt &attempt = run.attempt;
        if (run.sentBefore && provesNotRun(outcome)) {
            // The server may have run the request when it was sent before.
            reportLost(run, "lost", outcome);
            return;
        }
        switch (outcome.kind) {
        case Kind::Unsent:
            refuse(attempt,
                   outcome.lackedResources ? Reason::Overloaded
                                           : run.refusalReason.value_or(Reason::Cancelled),
                   &outcome);
            return;
        case Kind::Unreachable:
            refuse(attempt, Reason::NoBackendServer, &outcome);
            return;
        case Kind::Lost:
        case Kind::StaleConnection:
            reportLost(run, "lost", outcome);
            return;
        case Kind::Answered:
            break;
        }
        if (provesNotRun(outcome)) {
            refuse(attempt,
                   outcome.envelope.wrongInstance ? Reason::WrongInstance : Reason::Overloaded,
                   &outcome);
            return;
        }
        if (!outcome.envelope.trusted) {
            reportLost(run, "unsigned", outcome);
            return;
        }
        const bool failure
            = run.failureAttribution.isServerFailure(outcome.status >= FirstServerErrorStatus);
        m_telemetry.send(IncrementCounter {"runs_ended_total", failure ? "failed" : "answered"});
        m_telemetry.send(LogEvent {
            "run.answered", attempt.call.requestId,
            "status=" + std::to_string(outcome.status) + runLogFields(run, outcome),
            failure || now() > attempt.objective ? LogWeight::Important : LogWeight::Routine});
        attempt.reply(
            AttemptAnswered {outcome.status, std::move(outcome.headers),
                             makeHeldBody(std::move(outcome.body), std::move(outcome.bodyMemory)),
                             failure, m_dependencies.currentLoad()});
    }

    void reportLost(const Run &run, std::string_view how, const ExchangeOutcome &outcome)
    {
        m_telemetry.send(IncrementCounter {"runs_ended_total", std::string(how)});
        m_telemetry.send(LogEvent {"run.lost", run.attempt.call.requestId,
                                   "how=" + std::string(how)
                                       + " cancelled=" + (run.cancelled ? "yes" : "no")
                                       + runLogFields(run, outcome)});
        run.attempt.reply(AttemptLost {m_dependencies.currentLoad()});
    }

    std::string runLogFields(const Run &run, const ExchangeOutcome &outcome) const
    {
        const auto micros
            = std::chrono::duration_cast<std::chrono::microseconds>(now() - run.startConditions.at)
                  .count();
        return " service=" + run.attempt.service + " elapsedUs=" + std::to_string(micros)
            + exchangeLogFields(outcome, now()) + loadAndConfigurationFields();
    }

    void applyDecision(const SlotDecision &decision, Reason reason)
    {
        const auto it = m_runs.find(decision.attempt);
        if (it == m_runs.end()) {
            return;
        }
        switch (decision.action) {
        case SlotAction::Start:
            it->second.hasSlot = true;
            m_telemetry.send(ObserveDuration {"queue_wait_seconds", it->second.attempt.service,
                                              now() - it->second.receivedAt});
            startRun(it->second);
            return;
        case SlotAction::FetchBody:
            if (it->second.attempt.requestBody()) {
                return;
            }
            // Another server may have memory for the body.
            m_slots.withdraw(decision.attempt);
            reason = Reason::Overloaded;
            break;
        case SlotAction::Refuse:
            break;
        }
        const Run refused = std::move(it->second);
        m_runs.erase(it);
        refuse(refused.attempt, reason);
    }

    void armQueueTimer()
    {
        auto next = m_slots.nextDeadline();
        if (next) {
            if (const auto cold = m_tracker.coldRateLimiter.nextStart(now())) {
                next = std::min(*next, *cold);
            }
        }
        if (next == m_queueTimerAt) {
            return;
        }
        m_dependencies.kernel.executor().cancel(m_queueTimer);
        m_queueTimerAt = next;
        if (next) {
            m_queueTimer = m_dependencies.kernel.executor().scheduleAfter(*next - now(), [this] {
                m_queueTimerAt.reset();
                dispatchQueue();
            });
        }
    }

    BackendRunsDependencies m_dependencies;
    BackendTracker &m_tracker;
    const Address<TelemetryMessage> &m_telemetry;
    const Address<CallsMessage> &m_calls;
    RunLedger m_ledger;
    SlotQueue m_slots;
    std::shared_ptr<HttpPool> m_pool;
    std::unordered_map<AttemptId, Run> m_runs;
    /// Time for which the queue timer is set; empty if it is not set.
    std::optional<TimePoint> m_queueTimerAt;
    TimerId m_queueTimer = 0;
    bool m_onlyNestedCalls = false;
};

} // namespace

std::unique_ptr<BackendRuns> makeBackendRuns(BackendRunsDependencies dependencies)
{
    return std::make_unique<Runs>(std::move(dependencies));
}

} // namespace Coltsfootwell
