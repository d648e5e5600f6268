#include "services/Backend.h"

#include "decisions/Admission.h"
#include "decisions/RunLedger.h"
#include "services/BackendMonitor.h"
#include "services/BackendRun.h"
#include "services/CallsMessage.h"
#include "services/ServiceError.h"
#include "services/ServiceNames.h"
#include "services/StopMessages.h"
#include "services/TelemetryMessages.h"
#include "wire/AnnouncementJson.h"
#include "wire/RevocationJson.h"

#include <algorithm>
#include <unordered_map>
#include <vector>

namespace Coltsfootwell {

namespace {

constexpr std::chrono::seconds LedgerTick {1};
constexpr std::chrono::seconds MaxIdle {30};

class Backend final : public Service
{
public:
    Backend(Kernel &kernel, boost::asio::io_context &context, Place place, const Guards &guards)
        : m_kernel(kernel), m_context(context), m_place(std::move(place)),
          m_ledger(m_place.self, guards),
          m_monitor(kernel, context, [this](const ProbeResult &result) { probed(result); }),
          m_mailbox(kernel.executor(),
                    [this](BackendMessage message) {
                        std::visit([this](auto &&body) { handle(std::move(body)); },
                                   std::move(message));
                    }),
          m_announceMailbox(kernel.executor(),
                            [this](ControlRequest request) { announced(std::move(request)); }),
          m_revokeMailbox(kernel.executor(),
                          [this](ControlRequest request) { revoked(std::move(request)); }),
          m_configurationMailbox(kernel.executor(),
                                 [this](ConfigurationChanged news) { changed(std::move(news)); }),
          m_stopMailbox(kernel.executor(), [this](StopPhaseChanged news) {
              m_stopping = news.phase != StopPhase::Running;
          })
    {
        m_admission.useReports();
        kernel.directory().publish(name(), m_mailbox.address());
        kernel.directory().publish(ServiceName::control("announce"), m_announceMailbox.address());
        kernel.directory().publish(ServiceName::control("revoke"), m_revokeMailbox.address());
        kernel.directory().publish(ServiceName::stopping(name()), m_stopMailbox.address());
    }

    std::string_view name() const override { return ServiceName::Backend; }

    std::error_code start() override
    {
        std::error_code ec;
        const Directory &directory = m_kernel.directory();
        const auto membership = directory.find<MembershipMessage>(ServiceName::Membership, ec);
        if (!ec) {
            m_telemetry = directory.find<TelemetryMessage>(ServiceName::Telemetry, ec);
        }
        if (!ec) {
            directory.find<ConfigurationMessage>(ServiceName::Configuration, ec)
                .send(SubscribeConfiguration {m_configurationMailbox.address()});
        }
        m_monitor.start(membership, m_telemetry);
        tick();
        return ec ? make_error_code(ServiceError::MissingService) : std::error_code();
    }

    void stop(Task done) override
    {
        m_monitor.stop();
        m_kernel.executor().cancel(m_timer);
        m_kernel.executor().cancel(m_queueTimer);
        done();
    }

private:
    void tick()
    {
        m_ledger.tick();
        if (m_pool) {
            m_pool->expire(MaxIdle, now());
        }
        m_monitor.measure(m_admission.report());
        m_timer = m_kernel.executor().after(LedgerTick, [this] { tick(); });
    }

    void changed(ConfigurationChanged news)
    {
        const bool wasOut = m_configuration && outOfService();
        m_configuration = std::move(news.configuration);
        m_freshUntil = news.fresh ? news.freshUntil : TimePoint::min();
        applyRules();
        if (wasOut && m_configuration && !outOfService()) {
            perform(m_admission.warmAgain(now()));
        }
    }

    bool outOfService() const
    {
        return !m_configuration->inService(m_place.dataCentre)
            || m_configuration->drained.contains(m_place.self.name);
    }

    const ServiceRules *rules() const
    {
        if (!m_configuration) {
            return nullptr;
        }
        const auto it = m_configuration->services.find(m_service);
        return it == m_configuration->services.end() ? nullptr : &it->second;
    }

    void applyRules()
    {
        if (const ServiceRules *found = rules()) {
            m_admission.rulesChanged(*found);
            m_monitor.limitsChanged(found->probesPerSecond, m_admission.slots());
        }
    }

    void announced(ControlRequest request)
    {
        JsonFault fault;
        std::error_code ec;
        const BackendAnnouncement announcement = decodeAnnouncement(request.body, fault, ec);
        if (ec) {
            request.reply(ControlAnswer {400, "application/json", faultText(fault)});
            return;
        }
        if (announcement.state == AnnouncedState::Ready) {
            takeIn(announcement, request.peerAddress);
        } else {
            perform(m_admission.drainAnnounced(now()));
        }
        request.reply(ControlAnswer {});
    }

    void takeIn(const BackendAnnouncement &announcement, std::string_view address)
    {
        m_service = announcement.service;
        m_pool = std::make_shared<HttpPool>(m_context,
                                            Endpoint {std::string(address), announcement.port});
        // Each call in progress has one connection, and one is kept for probes.
        unsigned slots = announcement.slots;
        if (announcement.connections > 0) {
            slots = std::min(slots, std::max(1U, announcement.connections - 1));
        }
        m_monitor.watch(m_service, m_pool);
        applyRules();
        perform(m_admission.announced(slots, now()));
        applyRules();
    }

    /// Follows an input to the admission: a changed state is told, queued calls are decided.
    void perform(Admission::Outputs outputs)
    {
        // The next input to the admission ends the validity of its outputs.
        const std::vector<QueuedCallDecided> decided(outputs.begin(), outputs.end());
        m_monitor.report(m_admission.report(), m_admission.slots());
        for (const QueuedCallDecided &output : decided) {
            auto node = m_waiting.extract(output.call);
            if (node.empty()) {
                continue;
            }
            RunAttempt run = std::move(node.mapped());
            if (output.refusal) {
                m_ledger.refused(output.call);
                refuse(run, *output.refusal);
            } else if (const auto reason = refusalOf(run)) {
                m_ledger.refused(output.call);
                refuse(run, *reason);
                perform(m_admission.finished(RunEnd::Unjudged, {}, now()));
            } else {
                begin(std::move(run));
            }
        }
        armQueueTimer();
    }

    void armQueueTimer()
    {
        const auto next = m_admission.nextTick();
        if (next == m_queueTick) {
            return;
        }
        m_kernel.executor().cancel(m_queueTimer);
        m_queueTick = next;
        if (next) {
            m_queueTimer = m_kernel.executor().after(*next - now(), [this] {
                m_queueTick.reset();
                perform(m_admission.tick(now()));
            });
        }
    }

    void probed(const ProbeResult &result)
    {
        if (!result.alive) {
            perform(m_admission.probeLost(now()));
            return;
        }
        // A server without a load endpoint reports nothing special.
        const BackendState state = result.load ? result.load->state : BackendState::Warm;
        perform(m_admission.serverReported(state, now()));
    }

    /// Everything that can refuse a run, but for the slots. Asked when the run arrives and again
    /// right before its first byte, since a queue or a connection may have taken time.
    std::optional<Reason> refusalOf(const RunAttempt &run) const
    {
        if (const auto reason
            = refusalByRules(run, m_place, m_configuration.get(), m_freshUntil, now())) {
            return reason;
        }
        if (run.envelope.attempt->service != m_service || !m_pool
            || m_admission.state() == BackendState::Gone) {
            return Reason::NoBackendServer;
        }
        if (m_admission.state() == BackendState::Draining) {
            return Reason::Draining;
        }
        return std::nullopt;
    }

    void handle(RunAttempt run)
    {
        const AttemptId id = run.envelope.attempt->attempt;
        const RunVerdict verdict = m_ledger.run(id, run.envelope.attempt->target);
        if (verdict == RunVerdict::AlreadyStarted) {
            run.reply(AttemptLost {true, true});
            return;
        }
        if (verdict != RunVerdict::Start) {
            refuse(run,
                   verdict == RunVerdict::WrongIncarnation ? Reason::WrongIncarnation
                                                           : Reason::Revoked);
            return;
        }
        const auto reason = m_stopping ? std::optional(Reason::Stopping) : refusalOf(run);
        if (reason) {
            m_ledger.refused(id);
            refuse(run, *reason);
            return;
        }
        admit(std::move(run));
    }

    void admit(RunAttempt run)
    {
        const AttemptId id = run.envelope.attempt->attempt;
        Reason reason = Reason::Overloaded;
        switch (m_admission.admit(id, run.deadline, now(), reason)) {
        case AdmissionVerdict::Admitted:
            begin(std::move(run));
            break;
        case AdmissionVerdict::Queued:
            m_waiting.emplace(id, std::move(run));
            armQueueTimer();
            break;
        case AdmissionVerdict::Refused:
            m_ledger.refused(id);
            refuse(run, reason);
            break;
        }
    }

    void refuse(const RunAttempt &run, Reason reason)
    {
        m_telemetry.send(CountEvent {"runs_refused_total", std::string(reasonName(reason))});
        run.reply(AttemptRefused {reason, m_admission.report(),
                                  m_configuration ? m_configuration->version : 0});
    }

    void begin(RunAttempt run)
    {
        const AttemptId id = run.envelope.attempt->attempt;
        auto record = std::make_shared<RunRecord>();
        record->began = now();
        record->deadline = run.deadline;
        ExchangeRequest request
            = backendRequest(run, isIdempotent(*run.head, *m_configuration), now());
        auto held = std::make_shared<const RunAttempt>(std::move(run));
        auto exchange = std::make_shared<HttpExchange>(
            m_context, m_kernel.executor(), m_pool, std::move(request),
            ExchangeHandlers {
                [this, record, held, pool = m_pool] { return mayBegin(*record, *held, pool); },
                [this, record, held](AnswerHead head, BodyPipePtr body) {
                    answered(*record, *held, std::move(head), std::move(body));
                },
                [this, record, held](AttemptLost lost) { runLost(*record, *held, lost); },
                [this, record, id, pool = m_pool](bool whole) {
                    ended(*record, id, whole, pool);
                }});
        m_runs[id] = {exchange, record};
        exchange->start();
    }

    bool mayBegin(RunRecord &record, const RunAttempt &run, const std::shared_ptr<HttpPool> &pool)
    {
        record.stopped = pool == m_pool ? refusalOf(run) : Reason::NoBackendServer;
        if (!record.stopped) {
            record.began = now();
            m_telemetry.send(CountEvent {"runs_started_total", m_service});
        }
        return !record.stopped;
    }

    void answered(RunRecord &record, const RunAttempt &run, AnswerHead head, BodyPipePtr body)
    {
        record.answered = now();
        record.status = head.status;
        record.shed = takeShedMark(head);
        record.body = body;
        m_monitor.answered();
        // A streamed body has been read and cannot be sent again, so its caller gets the answer.
        if (record.shed && !run.body.stream) {
            body->abandon();
            m_ledger.refused(run.envelope.attempt->attempt);
            m_telemetry.send(CountEvent {"runs_shed_total", m_service});
            run.reply(AttemptRefused {Reason::Overloaded, m_admission.report()});
            return;
        }
        run.reply(AttemptAnswered {std::move(head), std::move(body), m_admission.report()});
    }

    void runLost(RunRecord &record, const RunAttempt &run, const AttemptLost &lost)
    {
        record.sent = lost.sent;
        if (lost.sent) {
            run.reply(lost);
            return;
        }
        m_ledger.refused(run.envelope.attempt->attempt);
        const Reason unsent = record.cancelled ? Reason::Cancelled : Reason::NoBackendServer;
        refuse(run, record.stopped.value_or(unsent));
    }

    void ended(RunRecord &record, const AttemptId &id, bool whole,
               const std::shared_ptr<HttpPool> &pool)
    {
        m_runs.erase(id);
        // A run on an earlier process of the server says nothing about the present one.
        const RunEnd end = pool == m_pool
            ? judgeRun(record, whole, m_admission.averageAnswer(), now())
            : RunEnd::Unjudged;
        perform(m_admission.finished(end, record.answered.value_or(now()) - record.began, now()));
    }

    void handle(CancelAttempt cancel)
    {
        if (const auto it = m_runs.find(cancel.attempt); it != m_runs.end()) {
            it->second.record->cancelled = true;
            it->second.exchange->cancel();
        } else if (m_admission.withdraw(cancel.attempt)) {
            m_ledger.refused(cancel.attempt);
            refuse(m_waiting.extract(cancel.attempt).mapped(), Reason::Cancelled);
            armQueueTimer();
        }
    }

    void handle(RevokeAttempt revoke)
    {
        revoke.reply(m_ledger.revoke(revoke.attempt, revoke.target.daemon));
    }

    void revoked(ControlRequest request)
    {
        const auto revocation = decodeRevocation(request.body);
        if (!revocation) {
            request.reply(ControlAnswer {400, "application/json", "{}"});
            return;
        }
        const RevokeVerdict verdict = m_ledger.revoke(revocation->attempt, revocation->target);
        request.reply(ControlAnswer {200, "application/json", encodeVerdict(verdict)});
    }

    TimePoint now() const { return m_kernel.executor().now(); }

    Kernel &m_kernel;
    boost::asio::io_context &m_context;
    Place m_place;
    RunLedger m_ledger;
    Admission m_admission;
    BackendMonitor m_monitor;
    ConfigurationPtr m_configuration;
    /// Compared with the time of each call; see ConfigurationChanged.
    TimePoint m_freshUntil = TimePoint::min();
    std::string m_service;
    std::shared_ptr<HttpPool> m_pool;
    struct Run
    {
        std::shared_ptr<HttpExchange> exchange;
        std::shared_ptr<RunRecord> record;
    };

    std::unordered_map<AttemptId, Run> m_runs;
    /// Runs in the queue of the admission.
    std::unordered_map<AttemptId, RunAttempt> m_waiting;
    std::optional<TimePoint> m_queueTick;
    TimerId m_timer = 0;
    TimerId m_queueTimer = 0;
    Address<TelemetryMessage> m_telemetry;
    Mailbox<BackendMessage> m_mailbox;
    Mailbox<ControlRequest> m_announceMailbox;
    Mailbox<ControlRequest> m_revokeMailbox;
    Mailbox<ConfigurationChanged> m_configurationMailbox;
    Mailbox<StopPhaseChanged> m_stopMailbox;
    /// True once a planned stop has begun: what runs ends, nothing new begins.
    bool m_stopping = false;
};

} // namespace

std::unique_ptr<Service> makeBackend(Kernel &kernel, boost::asio::io_context &context, Place place,
                                     const Guards &guards)
{
    return std::make_unique<Backend>(kernel, context, std::move(place), guards);
}

} // namespace Coltsfootwell
