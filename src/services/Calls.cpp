#include "services/Calls.h"

#include "decisions/AnswerTimes.h"
#include "decisions/CallFlow.h"
#include "decisions/RetryBudget.h"
#include "services/CallRules.h"
#include "services/CallsMessage.h"
#include "services/KeyedCalls.h"
#include "services/RegionLink.h"
#include "services/ServiceError.h"
#include "services/ServiceNames.h"
#include "services/TelemetryMessages.h"
#include "wire/MintedKey.h"

#include <algorithm>
#include <unordered_map>

namespace Coltsfootwell {

namespace {

constexpr std::chrono::seconds KeyExpiryPeriod {10};

/// Kept beside the call, which may have ended before an attempt does.
struct SentAttempt
{
    Target target;
    TimePoint began;
    std::string service;
};

struct AttemptState
{
    Target target;
    std::optional<AttemptAnswered> answer;
};

/// One call in progress.
struct CallState
{
    SubmitCall submitted;
    CallFacts facts;
    std::unique_ptr<CallFlow> flow;
    std::unordered_map<AttemptId, AttemptState> attempts;
    TimerId timer = 0;
};

class Calls final : public Service
{
public:
    Calls(Kernel &kernel, Place place, const Guards &guards)
        : m_kernel(kernel), m_place(std::move(place)), m_guards(guards),
          m_routing(m_place, kernel.random()),
          m_regionLink(std::make_shared<RegionLink>(kernel.executor(), m_place)),
          m_keyed(
              kernel, m_place, guards,
              [this](SubmitCall call, CallFacts facts) { run(std::move(call), std::move(facts)); }),
          m_mailbox(kernel.executor(),
                    [this](CallsMessage message) {
                        std::visit([this](auto &&body) { handle(std::move(body)); },
                                   std::move(message));
                    }),
          m_configurationMailbox(kernel.executor(),
                                 [this](ConfigurationChanged news) { changed(std::move(news)); }),
          m_membersMailbox(kernel.executor(),
                           [this](MembersChanged news) {
                               m_routing.membersChanged(*news.members);
                               m_keyed.membersChanged(*news.members);
                               m_regionLink->membersChanged(*news.members);
                           }),
          m_keysMailbox(kernel.executor(), [this](ControlRequest request) {
              request.reply(request.method == "POST"
                                ? ControlAnswer {200, "application/json",
                                                 mintedKeyJson(m_keyed.mint(), MintedKeyLifetime)}
                                : ControlAnswer {405, "application/json",
                                                 R"({"error":"keys are minted by POST"})"});
          })
    {
        m_routing.limitRegionsBy(*m_regionLink);
        kernel.directory().publish(ServiceName::control("keys"), m_keysMailbox.address());
        kernel.directory().publish(name(), m_mailbox.address());
    }

    std::string_view name() const override { return ServiceName::Calls; }

    std::error_code start() override
    {
        std::error_code ec;
        const Directory &directory = m_kernel.directory();
        m_peers = directory.find<PeersMessage>(ServiceName::Peers, ec);
        if (!ec) {
            m_backend = directory.find<BackendMessage>(ServiceName::Backend, ec);
        }
        if (!ec) {
            m_telemetry = directory.find<TelemetryMessage>(ServiceName::Telemetry, ec);
        }
        if (!ec) {
            m_configurationService
                = directory.find<ConfigurationMessage>(ServiceName::Configuration, ec);
            m_configurationService.send(SubscribeConfiguration {m_configurationMailbox.address()});
        }
        if (!ec) {
            const auto membership = directory.find<MembershipMessage>(ServiceName::Membership, ec);
            membership.send(SubscribeMembers {m_membersMailbox.address()});
            m_regionLink->tell(membership);
        }
        if (!ec) {
            ec = m_keyed.start();
        }
        expireKeys();
        return ec ? make_error_code(ServiceError::MissingService) : std::error_code();
    }

    void stop(Task done) override
    {
        m_regionLink->stop();
        m_kernel.executor().cancel(m_expiry);
        done();
    }

private:
    void changed(ConfigurationChanged news)
    {
        m_configuration = news.configuration;
        m_freshUntil = news.fresh ? news.freshUntil : TimePoint::min();
        if (!m_configuration) {
            return;
        }
        m_regionLink->configurationChanged(*m_configuration);
        m_budget.shareChanged(m_configuration->limits.retryShare);
        m_routing.configurationChanged(std::move(news.configuration));
    }

    void handle(SubmitCall call)
    {
        if (!m_configuration) {
            refuse(call, {Outcome::NotRun, Reason::StaleConfiguration});
            return;
        }
        auto facts = call.refusal
            ? std::variant<CallFacts, CallRefused>(CallRefused {Outcome::NotRun, *call.refusal})
            : factsOf(call, *m_configuration, m_freshUntil, m_place, now());
        if (const auto *refused = std::get_if<CallRefused>(&facts)) {
            refuse(call, *refused);
            return;
        }
        if (const BodyPipePtr &stream = call.body.stream) {
            const std::string &service = std::get<CallFacts>(facts).service;
            stream->limitTo(m_configuration->services.find(service)->second.maxBodyBytes);
        }
        if (call.envelope.key.empty()) {
            run(std::move(call), std::get<CallFacts>(std::move(facts)));
        } else {
            m_keyed.submit(std::move(call), std::get<CallFacts>(std::move(facts)),
                           *m_configuration);
        }
    }

    /// A repeat is not told "not run" while an earlier call with its key may have run.
    void refuse(const SubmitCall &call, CallRefused refused)
    {
        if (!call.envelope.key.empty() && !m_keyed.provesNotRun(call.envelope)) {
            refused.outcome = Outcome::Unknown;
        }
        countRefusal(refused);
        call.reply(refused);
    }

    /// Outside the home regions of a call even a counter would tell of it.
    void countRefusal(const CallRefused &refused)
    {
        if (refused.reason != Reason::OutsideHomeRegions) {
            m_telemetry.send(CountEvent {"calls_total", std::string(outcomeName(refused.outcome))});
            m_telemetry.send(
                CountEvent {"refusals_total", std::string(reasonName(refused.reason))});
        }
    }

    void run(SubmitCall call, CallFacts facts)
    {
        const std::uint64_t number = call.number;
        CallState &state = m_calls[number];
        state.submitted = std::move(call);
        state.facts = std::move(facts);
        state.flow = std::make_unique<CallFlow>(
            state.facts,
            CallFlowParts {m_routing, m_kernel.random(), m_budget,
                           m_answerTimes[state.facts.service].p95(), m_guards});
        perform(number, state.flow->begin(now()));
    }

    void expireKeys()
    {
        m_keyed.expire();
        m_expiry = m_kernel.executor().after(KeyExpiryPeriod, [this] { expireKeys(); });
    }

    void handle(CancelCall cancel)
    {
        if (const auto it = m_calls.find(cancel.number); it != m_calls.end()) {
            perform(cancel.number, it->second.flow->cancelled(now()));
        }
    }

    void perform(std::uint64_t number, std::span<const CallAction> actions)
    {
        // An action may lead to the next input, so the list is copied first.
        for (const CallAction &action : std::vector(actions.begin(), actions.end())) {
            if (const auto it = m_calls.find(number); it != m_calls.end()) {
                std::visit([&](const auto &body) { act(number, it->second, body); }, action);
            }
        }
        endIfFinished(number);
    }

    void act(std::uint64_t number, CallState &state, const SendAttempt &action)
    {
        state.attempts[action.attempt] = {action.target, std::nullopt};
        m_routing.sent(action.target.daemon, now());
        const bool again = state.attempts.size() > 1;
        m_telemetry.send(CountEvent {"attempts_total", state.facts.service});
        if (again) {
            m_telemetry.send(CountEvent {"attempts_again_total", state.facts.service});
        }
        RunAttempt run;
        run.target = action.target;
        run.head = state.submitted.head;
        run.envelope = state.submitted.envelope;
        run.envelope.homeRegions = state.facts.homeRegions;
        run.envelope.attempt = AttemptEnvelope {action.attempt, action.target.daemon,
                                                m_configuration->version, state.facts.service};
        run.body = state.submitted.body;
        run.deadline = state.facts.deadline;
        run.reply = Reply<AttemptResult>(
            m_kernel.executor(),
            [this, number, attempt = action.attempt,
             sent = SentAttempt {action.target, now(), state.facts.service}](
                std::optional<AttemptResult> result) {
                AttemptResult ended = result ? std::move(*result) : AttemptResult(AttemptLost {});
                learn(sent, ended);
                attemptEnded(number, attempt, std::move(ended));
            });
        m_regionLink->sending(run);
        const bool local = action.target.daemon == m_place.self;
        local ? m_backend.send(std::move(run)) : m_peers.send(std::move(run));
    }

    void act(std::uint64_t number, CallState &, const SendRevocation &action)
    {
        RevokeAttempt revoke {action.attempt, action.target, {}};
        revoke.reply = Reply<RevokeVerdict>(
            m_kernel.executor(),
            [this, number, attempt = action.attempt](std::optional<RevokeVerdict> verdict) {
                countVerdict(verdict);
                if (const auto it = m_calls.find(number); it != m_calls.end()) {
                    perform(number, it->second.flow->revocationEnded(attempt, verdict, now()));
                }
            });
        const bool local = action.target.daemon == m_place.self;
        local ? m_backend.send(std::move(revoke)) : m_peers.send(std::move(revoke));
    }

    void countVerdict(std::optional<RevokeVerdict> verdict)
    {
        const bool confirmed = verdict == RevokeVerdict::NeverStarts;
        m_telemetry.send(CountEvent {"revocations_total",
                                     confirmed     ? "confirmed"
                                         : verdict ? "denied"
                                                   : "unanswered"});
    }

    void act(std::uint64_t, CallState &state, const StopAttempt &action)
    {
        if (const auto it = state.attempts.find(action.attempt); it != state.attempts.end()) {
            const bool local = it->second.target.daemon == m_place.self;
            local ? m_backend.send(CancelAttempt {action.attempt})
                  : m_peers.send(CancelAttempt {action.attempt});
        }
    }

    void act(std::uint64_t, CallState &state, const DeliverAnswer &action)
    {
        AttemptState &attempt = state.attempts[action.attempt];
        m_telemetry.send(CountEvent {"calls_total", "run"});
        state.submitted.reply(CallAnswered {std::move(attempt.answer->head), attempt.answer->body,
                                            attempt.target.daemon});
    }

    void act(std::uint64_t, CallState &state, const RefuseCall &action)
    {
        const BodyPipePtr &stream = state.submitted.body.stream;
        const bool tooLarge = stream && stream->overLimit();
        const CallRefused refused {action.outcome, tooLarge ? Reason::BodyTooLarge : action.reason};
        countRefusal(refused);
        state.submitted.reply(refused);
    }

    void act(std::uint64_t number, CallState &state, const SetTimer &action)
    {
        m_kernel.executor().cancel(state.timer);
        state.timer = m_kernel.executor().after(action.at - now(), [this, number] {
            if (const auto it = m_calls.find(number); it != m_calls.end()) {
                perform(number, it->second.flow->timeout(now()));
            }
        });
    }

    void attemptEnded(std::uint64_t number, const AttemptId &id, AttemptResult ended)
    {
        const auto it = m_calls.find(number);
        auto *answered = std::get_if<AttemptAnswered>(&ended);
        if (it == m_calls.end()) {
            if (answered) {
                answered->body->abandon();
            }
            return;
        }
        CallState &state = it->second;
        if (const BodyPipePtr &stream = state.submitted.body.stream; stream && stream->wasRead()) {
            state.flow->bodyTaken();
        }
        if (answered) {
            m_regionLink->receiving(state.attempts.at(id).target, *answered);
            awaitFirstChunk(number, id, std::move(*answered));
        } else if (const auto *refused = std::get_if<AttemptRefused>(&ended)) {
            perform(number, state.flow->refused(id, refused->reason, now()));
        } else {
            const auto &lost = std::get<AttemptLost>(ended);
            perform(number,
                    state.flow->lost(id, lost.sent ? AttemptLoss::Sent : AttemptLoss::Unsent,
                                     lost.bodyTaken, now()));
        }
    }

    /// An answer that is cut short before its first byte reached the caller is not an answer.
    void awaitFirstChunk(std::uint64_t number, const AttemptId &id, AttemptAnswered answered)
    {
        BodyPipe &pipe = *answered.body;
        auto held = std::make_shared<AttemptAnswered>(std::move(answered));
        pipe.read([this, number, id, held](BodyChunk chunk) {
            const auto it = m_calls.find(number);
            if (it == m_calls.end()) {
                held->body->abandon();
                return;
            }
            CallFlow &flow = *it->second.flow;
            if (chunk.kind == BodyChunk::Kind::Cut) {
                perform(number, flow.lost(id, AttemptLoss::Sent, true, now()));
                return;
            }
            held->body->putBack(std::move(chunk));
            it->second.attempts[id].answer = std::move(*held);
            perform(number, flow.answered(id, now()));
        });
    }

    void learn(const SentAttempt &attempt, const AttemptResult &result)
    {
        constexpr unsigned FirstServerError = 500;
        std::optional<LoadReport> load;
        AttemptFeedback feedback {false, now() - attempt.began};
        if (const auto *answered = std::get_if<AttemptAnswered>(&result)) {
            feedback.good = answered->head.status < FirstServerError;
            load = answered->load;
            m_answerTimes[attempt.service].add(feedback.elapsed);
        } else if (const auto *refused = std::get_if<AttemptRefused>(&result)) {
            load = refused->load;
            feedback.refused = true;
            if (refused->version > m_configuration->version) {
                m_configurationService.send(VersionSeen {refused->version,
                                                         attempt.target.endpoint.address,
                                                         attempt.target.endpoint.port});
            }
        }
        if (load) {
            m_routing.reported(attempt.target.daemon, *load, now());
        }
        m_routing.finished(attempt.target.daemon, feedback, now());
    }

    void endIfFinished(std::uint64_t number)
    {
        if (const auto it = m_calls.find(number);
            it != m_calls.end() && it->second.flow->finished()) {
            m_kernel.executor().cancel(it->second.timer);
            m_calls.erase(it);
        }
    }

    TimePoint now() const { return m_kernel.executor().now(); }

    Kernel &m_kernel;
    Place m_place;
    const Guards &m_guards;
    Routing m_routing;
    std::shared_ptr<RegionLink> m_regionLink;
    RetryBudget m_budget;
    std::unordered_map<std::string, AnswerTimes> m_answerTimes;
    KeyedCalls m_keyed;
    TimerId m_expiry = 0;
    ConfigurationPtr m_configuration;
    /// Compared with the time of each call; see ConfigurationChanged.
    TimePoint m_freshUntil = TimePoint::min();
    std::unordered_map<std::uint64_t, CallState> m_calls;
    Address<PeersMessage> m_peers;
    Address<BackendMessage> m_backend;
    Address<TelemetryMessage> m_telemetry;
    Address<ConfigurationMessage> m_configurationService;
    Mailbox<CallsMessage> m_mailbox;
    Mailbox<ConfigurationChanged> m_configurationMailbox;
    Mailbox<MembersChanged> m_membersMailbox;
    Mailbox<ControlRequest> m_keysMailbox;
};

} // namespace

std::unique_ptr<Service> makeCalls(Kernel &kernel, Place place, const Guards &guards)
{
    return std::make_unique<Calls>(kernel, std::move(place), guards);
}

} // namespace Coltsfootwell
