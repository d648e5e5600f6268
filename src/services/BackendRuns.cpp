#include "services/BackendRuns.h"

#include "decisions/RunLedger.h"
#include "services/BackendLimits.h"
#include "services/BackendLog.h"
#include "services/RunFeedback.h"

#include <algorithm>
#include <unordered_map>

namespace Coltsfootwell {

namespace {

using std::chrono::milliseconds;

/// A server may forget an idle connection without notice, and what is sent then is lost.
constexpr Duration MaxIdleOther = milliseconds(150);
constexpr Duration NewConnectionOnly {};
/// Queued runs of a server that is slower than this are refused early anyway, in percent.
constexpr std::uint32_t MaxQueueSlowness = 1000;

/// A run that waits or works.
struct Run
{
    RunAttempt attempt;
    std::shared_ptr<HttpExchange> exchange;
    RunStartConditions start;
    bool hasSlot = false;
    bool cancelled = false;
    std::optional<Reason> stopped;
};

class Runs final : public BackendRuns
{
public:
    explicit Runs(BackendRunsDependencies parts)
        : m_parts(std::move(parts)), m_state(m_parts.state), m_telemetry(m_parts.telemetry),
          m_calls(m_parts.calls),
          m_ledger(m_parts.settings.place.self.incarnation, *m_parts.settings.guards)
    {
    }

    void replaced(std::shared_ptr<HttpPool> pool) override { m_pool = std::move(pool); }
    void slotsChanged(std::uint32_t slots) override { m_slots.slotsChanged(slots); }
    void finish() override { m_finishing = true; }

    void tick() override
    {
        m_ledger.tick();
        if (m_pool) {
            m_pool->expire(now());
        }
    }

    void stop() override { m_parts.kernel.executor().cancel(m_queueTimer); }

    bool empty() const override { return m_runs.empty(); }
    const SlotQueue &slots() const override { return m_slots; }

    void handle(RunAttempt run) override
    {
        const AttemptId id = run.attempt;
        const RunVerdict verdict = m_ledger.tryStart(id);
        if (verdict != RunVerdict::Start) {
            verdict == RunVerdict::AlreadyStarted
                ? run.reply(AttemptLost {m_parts.load()})
                : run.reply(AttemptRefused {Reason::Cancelled, m_parts.load(), false});
            return;
        }
        auto reason = m_state.refusalOf(run, now());
        if (!reason && m_finishing && !run.nested) {
            reason = Reason::Stopping;
        }
        if (reason) {
            refuse(run, *reason);
            return;
        }
        updateSpeed();
        const SlotVerdict slot = m_slots.offer({id, run.startBy, run.priority, run.nested,
                                                run.laterBytes > 0, run.objective, run.deadline},
                                               now());
        if (slot == SlotVerdict::Refuse) {
            refuse(run, Reason::Overloaded);
            return;
        }
        Run &added = m_runs[id];
        added.attempt = std::move(run);
        if (slot == SlotVerdict::Start) {
            added.hasSlot = true;
            if (!m_state.pacer.mayStart(now())) {
                m_slots.slotReleased();
                added.hasSlot = false;
                refuse(added.attempt, Reason::Cold);
                m_runs.erase(id);
                return;
            }
            begin(added);
        } else {
            decide();
        }
        m_parts.changed();
    }

    void handle(BodyArrived message) override
    {
        const auto it = m_runs.find(message.attempt);
        if (it == m_runs.end() || it->second.hasSlot) {
            return;
        }
        it->second.attempt.body = std::move(message.body);
        m_slots.bodyArrived(message.attempt);
        decide();
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
        decide();
    }

    void handle(const NestedCallMade &made) override
    {
        const auto it = std::ranges::find(m_runs, made.requestId, [](const auto &item) {
            return item.second.attempt.call.requestId;
        });
        if (it != m_runs.end()) {
            it->second.start.comparable = false;
        }
    }

    void handle(RevokeAttempt revoke) override
    {
        const RevokeVerdict verdict = m_ledger.revoke(revoke.attempt, revoke.sentTo);
        revoke.reply(verdict == RevokeVerdict::NeverStarts);
    }

    /// Starts and refuses what waits.
    void decide() override
    {
        updateSpeed();
        bool again = true;
        while (again) {
            again = false;
            const auto closed = m_state.closed(now());
            const SlotQueue::Decisions decisions = closed
                ? m_slots.refuseAll()
                : m_slots.decide(now(), m_state.pacer.mayStart(now()));
            for (const SlotDecision &decision : std::vector(decisions.begin(), decisions.end())) {
                again = again || decision.action == SlotAction::Start;
                carryOut(decision, closed.value_or(Reason::Overloaded));
            }
        }
        armQueueTimer();
    }

private:
    TimePoint now() const { return m_parts.kernel.executor().now(); }

    void refuse(const RunAttempt &run, Reason reason, bool byServer = false)
    {
        m_ledger.retractStart(run.attempt);
        m_telemetry.send(IncrementCounter {"runs_refused_total", std::string(reasonName(reason))});
        m_telemetry.send(LogEvent {"run.refused", run.call.requestId,
                                   "reason=" + std::string(reasonName(reason))
                                       + " byServer=" + (byServer ? "yes" : "no") + loadFields()});
        run.reply(AttemptRefused {reason, m_parts.load(), byServer});
    }

    std::string loadFields() const
    {
        const Configuration *configuration = m_state.configuration();
        return loadText(m_parts.load())
            + " configuration=" + (configuration ? std::to_string(configuration->version) : "none");
    }

    void begin(Run &run)
    {
        const RunAttempt &attempt = run.attempt;
        run.start = captureStartConditions(m_state, m_slots, attempt.nested, now());
        m_state.pacer.callStarted(now());
        if (attempt.repeat) {
            m_calls.send(RepeatedRunStarted {attempt.call.requestId});
        }
        launch(run, attempt.idempotent ? MaxIdleIdempotent : MaxIdleOther);
    }

    /// \param maxIdleTime longest idle time of the connection.
    void launch(Run &run, Duration maxIdleTime)
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
        RunEnvelope envelope;
        envelope.call = attempt.call;
        envelope.remaining = std::chrono::duration_cast<milliseconds>(attempt.deadline - now());
        envelope.instance = m_state.registration.current()->instance;
        envelope.callerService = attempt.callerService;
        m_parts.settings.dialect->encodeRun(envelope, request.headers);
        run.exchange = std::make_shared<HttpExchange>(
            m_parts.context, m_parts.kernel.executor(), m_pool, *m_parts.settings.dialect,
            std::move(request), [this, id, pool = m_pool] { return mayBegin(id, pool); },
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
            m_telemetry.send(IncrementCounter {"runs_started_total", run.attempt.service});
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
            launch(run, NewConnectionOnly);
            return;
        }
        const Run finished = std::move(run);
        m_runs.erase(it);
        m_slots.slotReleased();
        if (pool == m_pool) {
            recordRun(m_state, m_slots, finished.start, finished.cancelled, outcome, now());
        }
        answer(finished, std::move(outcome));
        m_parts.changed();
        decide();
    }

    void updateSpeed()
    {
        m_slots.setCallerLimit(m_state.crowding.limit(m_slots.slots(), now()));
        const BackendHealth &health = m_state.health;
        const std::uint32_t percent = std::min(health.slowness(now()), MaxQueueSlowness);
        m_slots.speedChanged({health.typicalAnswerTime(CallOrigin::Caller),
                              health.typicalAnswerTime(CallOrigin::BackendServer), percent / 100.0,
                              health.inTransientSlowdown(now())});
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
        if (outcome.marks.notRun || outcome.marks.wrongInstance) {
            refuse(attempt,
                   outcome.marks.wrongInstance ? Reason::WrongInstance : Reason::Overloaded, true);
            return;
        }
        if (!outcome.marks.trusted) {
            lose(run, "unsigned");
            return;
        }
        const bool failure = outcome.status >= FirstServerError;
        m_telemetry.send(IncrementCounter {"runs_ended_total", failure ? "failed" : "answered"});
        m_telemetry.send(LogEvent {"run.answered", attempt.call.requestId,
                                   "status=" + std::to_string(outcome.status) + runText(run)});
        attempt.reply(AttemptAnswered {outcome.status, std::move(outcome.headers),
                                       std::make_shared<const std::string>(std::move(outcome.body)),
                                       failure, m_parts.load()});
    }

    void lose(const Run &run, std::string_view how)
    {
        m_telemetry.send(IncrementCounter {"runs_ended_total", std::string(how)});
        m_telemetry.send(LogEvent {"run.lost", run.attempt.call.requestId,
                                   "how=" + std::string(how) + " cancelled="
                                       + (run.cancelled ? "yes" : "no") + runText(run)});
        run.attempt.reply(AttemptLost {m_parts.load()});
    }

    std::string runText(const Run &run) const
    {
        const auto micros
            = std::chrono::duration_cast<std::chrono::microseconds>(now() - run.start.at).count();
        return " service=" + run.attempt.service + " elapsedUs=" + std::to_string(micros)
            + loadFields();
    }

    void carryOut(const SlotDecision &decision, Reason reason)
    {
        const auto it = m_runs.find(decision.attempt);
        if (it == m_runs.end()) {
            return;
        }
        switch (decision.action) {
        case SlotAction::Start:
            it->second.hasSlot = true;
            begin(it->second);
            return;
        case SlotAction::FetchBody:
            it->second.attempt.requestBody();
            return;
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
            if (const auto cold = m_state.pacer.nextStart(now())) {
                next = std::min(*next, *cold);
            }
        }
        if (next == m_queueTick) {
            return;
        }
        m_parts.kernel.executor().cancel(m_queueTimer);
        m_queueTick = next;
        if (next) {
            m_queueTimer = m_parts.kernel.executor().scheduleAfter(*next - now(), [this] {
                m_queueTick.reset();
                decide();
            });
        }
    }

    BackendRunsDependencies m_parts;
    BackendTracker &m_state;
    const Address<TelemetryMessage> &m_telemetry;
    const Address<CallsMessage> &m_calls;
    RunLedger m_ledger;
    SlotQueue m_slots;
    std::shared_ptr<HttpPool> m_pool;
    std::unordered_map<AttemptId, Run> m_runs;
    std::optional<TimePoint> m_queueTick;
    TimerId m_queueTimer = 0;
    bool m_finishing = false;
};

} // namespace

std::unique_ptr<BackendRuns> makeBackendRuns(BackendRunsDependencies parts)
{
    return std::make_unique<Runs>(std::move(parts));
}

} // namespace Coltsfootwell
