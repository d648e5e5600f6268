#include "services/Backend.h"

#include "decisions/Admission.h"
#include "decisions/RunLedger.h"
#include "services/CallsMessage.h"
#include "services/HttpExchange.h"
#include "services/ServiceError.h"
#include "services/ServiceNames.h"
#include "services/TelemetryMessages.h"
#include "wire/AnnouncementJson.h"
#include "wire/RevocationJson.h"

#include <algorithm>
#include <unordered_map>

namespace Coltsfootwell {

namespace {

constexpr std::chrono::milliseconds ConnectTimeout {100};
constexpr std::chrono::seconds MaxIdle {10};
constexpr std::chrono::seconds LedgerTick {1};
constexpr unsigned FirstServerError = 500;

class Backend final : public Service
{
public:
    Backend(Kernel &kernel, boost::asio::io_context &context, Place place)
        : m_kernel(kernel), m_context(context), m_place(std::move(place)), m_ledger(m_place.self),
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
                                 [this](ConfigurationChanged news) { changed(std::move(news)); })
    {
        kernel.directory().publish(name(), m_mailbox.address());
        kernel.directory().publish(ServiceName::control("announce"), m_announceMailbox.address());
        kernel.directory().publish(ServiceName::control("revoke"), m_revokeMailbox.address());
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
            directory.find<ConfigurationMessage>(ServiceName::Configuration, ec)
                .send(SubscribeConfiguration {m_configurationMailbox.address()});
        }
        tick();
        return ec ? make_error_code(ServiceError::MissingService) : std::error_code();
    }

    void stop(Task done) override
    {
        m_kernel.executor().cancel(m_timer);
        done();
    }

private:
    void tick()
    {
        m_ledger.tick();
        m_timer = m_kernel.executor().after(LedgerTick, [this] { tick(); });
    }

    void changed(ConfigurationChanged news)
    {
        m_configuration = std::move(news.configuration);
        m_fresh = news.fresh;
        applyRules();
    }

    void applyRules()
    {
        if (const auto it = m_configuration->services.find(m_service);
            it != m_configuration->services.end()) {
            m_admission.rulesChanged(it->second);
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
            m_admission.withdrawn(BackendState::Draining);
        }
        reportState();
        request.reply(ControlAnswer {});
    }

    void takeIn(const BackendAnnouncement &announcement, std::string_view address)
    {
        m_service = announcement.service;
        m_pool = std::make_shared<HttpPool>(m_context,
                                            Endpoint {std::string(address), announcement.port});
        if (m_configuration) {
            applyRules();
        }
        m_admission.announced(announcement.slots, now());
    }

    void reportState()
    {
        const LoadReport report = m_admission.report();
        m_membership.send(BackendChanged {m_service, report.state, report.limit});
    }

    /// Everything that can refuse a run, in one place, right before the run.
    std::optional<Reason> refusalOf(const RunAttempt &run) const
    {
        const AttemptEnvelope &attempt = *run.envelope.attempt;
        const auto &homes = run.envelope.homeRegions;
        if (!homes.empty() && std::ranges::find(homes, m_place.region) == homes.end()) {
            return Reason::OutsideHomeRegions;
        }
        if (!m_configuration || attempt.version > m_configuration->version || !m_fresh) {
            return Reason::StaleConfiguration;
        }
        if (!m_configuration->inService(m_place.dataCentre)) {
            return Reason::DataCentreOut;
        }
        if (m_configuration->drained.contains(m_place.self.name)) {
            return Reason::Draining;
        }
        if (attempt.service != m_service || !m_pool) {
            return Reason::NoBackendServer;
        }
        if (now() >= run.deadline) {
            return Reason::Deadline;
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
        std::optional<Reason> reason = refusalOf(run);
        if (!reason) {
            reason = m_admission.admit(now());
        }
        if (reason) {
            m_ledger.refused(id);
            refuse(run, *reason);
            return;
        }
        begin(std::move(run));
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
        m_telemetry.send(CountEvent {"runs_started_total", m_service});
        const TimePoint began = now();
        ExchangeRequest request;
        request.head = run.head;
        request.headers = run.head->headers;
        CallEnvelope envelope = run.envelope;
        envelope.attempt.reset();
        envelope.depth += 1;
        envelope.deadline
            = std::chrono::duration_cast<std::chrono::milliseconds>(run.deadline - began);
        encodeEnvelope(envelope, request.headers);
        request.body = run.body;
        request.connectTimeout = ConnectTimeout;
        request.progressTimeout = run.deadline - began;
        request.maxIdle = MaxIdle;
        ExchangeHandlers handlers;
        auto status = std::make_shared<unsigned>(0);
        handlers.mayBegin = [] { return true; };
        handlers.answered = [this, reply = run.reply, status](AnswerHead head, BodyPipePtr body) {
            *status = head.status;
            reply(AttemptAnswered {std::move(head), std::move(body), m_admission.report()});
        };
        handlers.lost = [this, id, reply = run.reply](AttemptLost lost) {
            if (lost.sent) {
                reply(lost);
                return;
            }
            m_ledger.refused(id);
            reply(AttemptRefused {Reason::NoBackendServer, m_admission.report()});
        };
        handlers.ended = [this, id, status, began](bool whole) {
            m_exchanges.erase(id);
            const BackendState before = m_admission.report().state;
            m_admission.finished(whole && *status < FirstServerError, now() - began, now());
            if (m_admission.report().state != before) {
                reportState();
            }
        };
        auto exchange = std::make_shared<HttpExchange>(m_context, m_kernel.executor(), m_pool,
                                                       std::move(request), std::move(handlers));
        m_exchanges[id] = exchange;
        exchange->start();
    }

    void handle(CancelAttempt cancel)
    {
        if (const auto it = m_exchanges.find(cancel.attempt); it != m_exchanges.end()) {
            it->second->cancel();
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
    ConfigurationPtr m_configuration;
    bool m_fresh = false;
    std::string m_service;
    std::shared_ptr<HttpPool> m_pool;
    std::unordered_map<AttemptId, std::shared_ptr<HttpExchange>> m_exchanges;
    TimerId m_timer = 0;
    Address<MembershipMessage> m_membership;
    Address<TelemetryMessage> m_telemetry;
    Mailbox<BackendMessage> m_mailbox;
    Mailbox<ControlRequest> m_announceMailbox;
    Mailbox<ControlRequest> m_revokeMailbox;
    Mailbox<ConfigurationChanged> m_configurationMailbox;
};

} // namespace

std::unique_ptr<Service> makeBackend(Kernel &kernel, boost::asio::io_context &context, Place place)
{
    return std::make_unique<Backend>(kernel, context, std::move(place));
}

} // namespace Coltsfootwell
