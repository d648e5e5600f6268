#include "services/Calls.h"

#include "decisions/CallFlow.h"
#include "decisions/Placement.h"
#include "decisions/RepeatedRuns.h"
#include "decisions/RetryAfter.h"
#include "decisions/WeightedSplit.h"
#include "services/CallMessages.h"
#include "services/CallRouting.h"
#include "services/CallTimeline.h"
#include "services/ConfigurationMessages.h"
#include "services/MembershipMessages.h"
#include "services/ServiceError.h"
#include "services/ServiceNames.h"
#include "services/TelemetryMessages.h"

#include <algorithm>
#include <set>
#include <string>
#include <unordered_map>

namespace Coltsfootwell {

namespace {

/// Interval between reports of what is left of the retry budget.
constexpr std::chrono::seconds BudgetReportInterval {1};

/// An attempt of a call in progress, and its answer once it has arrived.
struct PendingAttempt
{
    Target target;
    TimePoint sentAt;
    std::optional<AttemptAnswered> answer;
};

/// A call in progress.
struct CallState
{
    SubmitCall submitted;
    CallAttributes attributes;
    std::unique_ptr<CallFlow> flow;
    std::unordered_map<AttemptId, PendingAttempt> attempts;
    CallTimeline timeline;
    TimerId timer = 0;
};

AnswerKind answerKind(const AttemptAnswered &answer)
{
    if (answer.failure) {
        return AnswerKind::ServerFailure;
    }
    return answer.status >= FirstServerErrorStatus ? AnswerKind::SharedFailure
                                                   : AnswerKind::Success;
}

class Calls final : public Service
{
public:
    Calls(Kernel &kernel, CallsSettings settings)
        : m_kernel(kernel), m_settings(std::move(settings)),
          m_placement(m_settings.locality, kernel.random()),
          m_retryBudget(kernel.random(), m_settings.retries),
          m_mailbox(kernel.executor(),
                    [this](CallsMessage &&message) {
                        std::visit([this](auto &&body) { handle(std::move(body)); },
                                   std::move(message));
                    }),
          m_configurationMailbox(
              kernel.executor(),
              [this](ConfigurationChanged message) { configurationChanged(std::move(message)); }),
          m_membersMailbox(kernel.executor(), [this](const MembersChanged &message) {
              membersChanged(*message.members);
          })
    {
        kernel.directory().publish(name(), m_mailbox.address());
    }

    std::string_view name() const override { return ServiceName::Calls; }

    std::error_code start() override
    {
        std::error_code ec;
        const Directory &directory = m_kernel.directory();
        m_links = directory.find<LinksMessage>(ServiceName::Links, ec);
        if (!ec) {
            m_backend = directory.find<BackendMessage>(ServiceName::Backend, ec);
        }
        if (!ec) {
            m_telemetry = directory.find<TelemetryMessage>(ServiceName::Telemetry, ec);
        }
        if (!ec) {
            directory.find<ConfigurationMessage>(ServiceName::Configuration, ec)
                .send(SubscribeConfiguration {m_configurationMailbox.address()});
        }
        if (!ec) {
            directory.find<MembershipMessage>(ServiceName::Membership, ec)
                .send(SubscribeMembers {m_membersMailbox.address()});
        }
        if (ec) {
            return ServiceError::MissingService;
        }
        reportRetryBudget();
        return {};
    }

    void stop(Task done) override
    {
        m_kernel.executor().cancel(m_budgetReportTimer);
        done();
    }

private:
    TimePoint now() const { return m_kernel.executor().now(); }

    /// Reports the services that this daemon has called.
    void reportRetryBudget()
    {
        m_budgetReportTimer = m_kernel.executor().scheduleAfter(BudgetReportInterval,
                                                                [this] { reportRetryBudget(); });
        for (const std::string &service : m_calledServices) {
            m_telemetry.send(
                SetGauge {"retry_budget_left", service, m_retryBudget.remaining(service, now())});
        }
    }

    void configurationChanged(ConfigurationChanged message)
    {
        m_configuration = message.configuration;
        if (m_configuration) {
            m_split.clear();
            m_placement.configurationChanged(std::move(message.configuration));
        }
    }

    void membersChanged(std::span<const Member> members)
    {
        m_placement.membersChanged(members);
        m_retryBudget.daemonCountChanged(
            static_cast<std::size_t>(std::ranges::count_if(members, [](const Member &member) {
                return member.state == MemberState::Alive || member.state == MemberState::Suspect;
            })));
    }

    void handle(SubmitCall call)
    {
        if (!m_configuration) {
            refuseWithoutAttempt(call, {Outcome::NotRun, Reason::StaleConfiguration, {}});
            return;
        }
        auto attributes = routeCall(call, *m_configuration, m_split);
        if (const auto *refused = std::get_if<CallRefused>(&attributes)) {
            refuseWithoutAttempt(call, *refused);
            return;
        }
        if (!call.call.parentId.empty()) {
            m_backend.send(NestedCallMade {call.call.parentId});
        }
        const std::uint64_t number = call.number;
        CallState &state = m_calls[number];
        state.submitted = std::move(call);
        state.attributes = std::get<CallAttributes>(std::move(attributes));
        state.attributes.fromRepeatedRun
            = m_repeatedRuns.contains(state.submitted.call.parentId, now());
        state.submitted.call.homeRegions = state.attributes.homeRegions;
        state.timeline.start(state.attributes, m_configuration->version, now());
        state.flow
            = std::make_unique<CallFlow>(state.attributes,
                                         CallFlowDependencies {m_placement, m_kernel.random(),
                                                               m_retryBudget, *m_settings.guards});
        m_calledServices.insert(state.attributes.service);
        runStep(number, [&] { performActions(number, state.flow->start(now())); });
    }

    /// Runs a step of a call. If an exception leaves it, nothing else would end the call: it ends
    /// here, with an unknown outcome, since an attempt may have been sent.
    template <typename Step>
    void runStep(std::uint64_t number, Step step)
    {
        try {
            step();
        } catch (...) {
            removeCall(number);
            throw;
        }
    }

    void removeCall(std::uint64_t number)
    {
        if (const auto it = m_calls.find(number); it != m_calls.end()) {
            m_kernel.executor().cancel(it->second.timer);
            m_calls.erase(it);
        }
    }

    void refuseWithoutAttempt(const SubmitCall &call, CallRefused refused)
    {
        countRefusal(refused);
        m_telemetry.send(
            LogEvent {"call.refused", call.call.requestId,
                      "reason=" + std::string(reasonName(refused.reason))
                          + " target=" + call.head->target + " configuration="
                          + (m_configuration ? std::to_string(m_configuration->version) : "none")});
        if (refused.reason == Reason::StaleConfiguration && call.call.deadline) {
            refused.retryAfter = retryAfter(*call.call.deadline, m_kernel.random());
        }
        call.reply(refused);
    }

    void countRefusal(const CallRefused &refused)
    {
        m_telemetry.send(
            IncrementCounter {"calls_total", std::string(outcomeName(refused.outcome))});
        m_telemetry.send(
            IncrementCounter {"refusals_total", std::string(reasonName(refused.reason))});
    }

    void handle(CancelCall cancel)
    {
        if (const auto it = m_calls.find(cancel.number); it != m_calls.end()) {
            runStep(cancel.number,
                    [&] { performActions(cancel.number, it->second.flow->callCancelled(now())); });
        }
    }

    void handle(const LoadReportReceived &message)
    {
        m_placement.loadReported(message.daemon, message.load, now());
    }

    void handle(const DaemonUnreachable &message)
    {
        m_placement.daemonUnreachable(message.daemon, now());
        m_telemetry.send(LogEvent {"daemon.unreachable", "", "daemon=" + message.daemon.name});
    }

    void handle(RepeatedRunStarted started)
    {
        m_repeatedRuns.add(std::move(started.requestId), now());
    }

    void handle(CallSettingsChanged message)
    {
        m_settings.ownService = std::move(message.ownService);
        m_retryBudget.limitsChanged(message.retries);
    }

    void performActions(std::uint64_t number, std::span<const CallAction> actions)
    {
        // An action can trigger the next input, which invalidates the span, so the actions are
        // copied first.
        for (const CallAction &action : std::vector(actions.begin(), actions.end())) {
            if (const auto it = m_calls.find(number); it != m_calls.end()) {
                std::visit([&](const auto &body) { performAction(number, it->second, body); },
                           action);
            }
        }
        endIfFinished(number);
    }

    void performAction(std::uint64_t number, CallState &state, const SendAttempt &action)
    {
        const Target &target = action.placed.target;
        state.attempts[action.attempt] = {target, now(), std::nullopt};
        state.timeline.attemptSent(action, now());
        m_placement.attemptSent(target.daemon);
        m_telemetry.send(IncrementCounter {"attempts_total", state.attributes.service});
        if (action.cause != AttemptCause::First) {
            m_telemetry.send(
                IncrementCounter {"attempts_again_total", std::string(causeName(action.cause))});
        }
        RunAttempt run;
        run.attempt = action.attempt;
        run.target = target;
        run.head = state.submitted.head;
        run.call = state.submitted.call;
        run.service = state.attributes.service;
        run.callerService = m_settings.ownService;
        run.body = state.submitted.body;
        run.deadline = state.attributes.deadline;
        run.objective = state.attributes.objective;
        run.startBy = action.placed.startBy;
        run.priority = state.attributes.priority;
        run.nested = state.attributes.nested;
        run.idempotent = state.attributes.idempotent;
        run.repeat = action.repeat;
        run.reply = Reply<AttemptResult>(
            m_kernel.executor(),
            [this, number, attempt = action.attempt,
             daemon = target.daemon](std::optional<AttemptResult> result) {
                AttemptResult ended = result ? std::move(*result) : AttemptResult(AttemptLost {});
                recordResult(daemon, ended);
                runStep(number, [&] { attemptEnded(number, attempt, std::move(ended)); });
            });
        const bool local = target.daemon == m_settings.locality.self;
        local ? m_backend.send(std::move(run)) : m_links.send(std::move(run));
    }

    void performAction(std::uint64_t, CallState &state, const AttemptWithheld &action)
    {
        state.timeline.attemptWithheld(action, now());
        m_telemetry.send(
            IncrementCounter {"attempts_withheld_total", std::string(reasonName(action.reason))});
    }

    void performAction(std::uint64_t, CallState &state, const AbandonAttempt &action)
    {
        if (const auto it = state.attempts.find(action.attempt); it != state.attempts.end()) {
            const bool local = it->second.target.daemon == m_settings.locality.self;
            local ? m_backend.send(CancelAttempt {action.attempt})
                  : m_links.send(CancelAttempt {action.attempt});
        }
    }

    void performAction(std::uint64_t, CallState &state, const DeliverAnswer &action)
    {
        PendingAttempt &attempt = state.attempts[action.attempt];
        const bool late = now() > state.attributes.objective;
        const bool failed = answerKind(*attempt.answer) != AnswerKind::Success;
        m_telemetry.send(IncrementCounter {"calls_total",
                                           failed     ? "failed"
                                               : late ? "late"
                                                      : "run"});
        m_telemetry.send(ObserveDuration {"call_seconds", state.attributes.service,
                                          now() - state.submitted.received});
        logCallEnded(state,
                     failed     ? "answer-failed"
                         : late ? "answer-late"
                                : "answer",
                     failed || late);
        state.submitted.reply(CallAnswered {attempt.answer->status,
                                            std::move(attempt.answer->headers),
                                            attempt.answer->body, attempt.target.daemon});
    }

    void performAction(std::uint64_t, CallState &state, const RefuseCall &action)
    {
        CallRefused refused {action.outcome, action.reason, {}};
        if (action.outcome == Outcome::NotRun) {
            refused.retryAfter = retryAfter(callerTimeRemaining(state), m_kernel.random());
        }
        countRefusal(refused);
        const std::string &parentId = state.submitted.call.parentId;
        if (!parentId.empty() && action.outcome == Outcome::NotRun) {
            m_backend.send(NestedCallRefused {parentId, action.reason});
        }
        logCallEnded(state,
                     std::string(outcomeName(action.outcome)) + "-"
                         + std::string(reasonName(action.reason)),
                     action.reason != Reason::Cancelled || !state.attributes.nested);
        state.submitted.reply(refused);
    }

    /// \return remaining time until the caller's own deadline, which may be later than the route's
    /// timeout; zero if the caller has not set one.
    Duration callerTimeRemaining(const CallState &state) const
    {
        const auto &deadline = state.submitted.call.deadline;
        return deadline ? state.submitted.received + *deadline - now() : Duration();
    }

    void logCallEnded(CallState &state, std::string_view outcome, bool important)
    {
        m_telemetry.send(LogEvent {"call.ended", state.submitted.call.requestId,
                                   state.timeline.logFields(outcome, now()),
                                   important ? LogWeight::Important : LogWeight::Routine});
    }

    void performAction(std::uint64_t number, CallState &state, const SetTimer &action)
    {
        m_kernel.executor().cancel(state.timer);
        state.timer = m_kernel.executor().scheduleAfter(action.at - now(), [this, number] {
            if (const auto it = m_calls.find(number); it != m_calls.end()) {
                runStep(number,
                        [&] { performActions(number, it->second.flow->timerExpired(now())); });
            }
        });
    }

    void recordResult(const DaemonId &daemon, const AttemptResult &result)
    {
        m_placement.attemptEnded(daemon, std::holds_alternative<AttemptAnswered>(result), now());
        std::visit(
            [&](const auto &ended) {
                if (ended.load) {
                    m_placement.loadReported(daemon, *ended.load, now());
                }
            },
            result);
    }

    void attemptEnded(std::uint64_t number, const AttemptId &id, AttemptResult ended)
    {
        const auto it = m_calls.find(number);
        if (it == m_calls.end()) {
            return;
        }
        CallState &state = it->second;
        state.timeline.attemptEnded(id, ended, now());
        if (auto *answered = std::get_if<AttemptAnswered>(&ended)) {
            const AnswerKind kind = answerKind(*answered);
            state.attempts[id].answer = std::move(*answered);
            performActions(number, state.flow->attemptAnswered(id, kind, now()));
        } else if (const auto *refused = std::get_if<AttemptRefused>(&ended)) {
            if (refused->reason == Reason::Unreachable) {
                m_placement.daemonUnreachable(state.attempts[id].target.daemon, now());
            }
            performActions(
                number, state.flow->attemptRefused(id, refused->reason, refused->byServer, now()));
        } else {
            performActions(number, state.flow->attemptLost(id, now()));
        }
    }

    void endIfFinished(std::uint64_t number)
    {
        if (const auto it = m_calls.find(number);
            it != m_calls.end() && it->second.flow->finished()) {
            removeCall(number);
        }
    }

    Kernel &m_kernel;
    CallsSettings m_settings;
    Placement m_placement;
    RetryBudget m_retryBudget;
    /// Services of which calls were received.
    std::set<std::string> m_calledServices;
    TimerId m_budgetReportTimer = 0;
    RepeatedRuns m_repeatedRuns;
    WeightedSplit m_split {m_kernel.random()};
    ConfigurationPtr m_configuration;
    std::unordered_map<std::uint64_t, CallState> m_calls;
    Address<LinksMessage> m_links;
    Address<BackendMessage> m_backend;
    Address<TelemetryMessage> m_telemetry;
    Mailbox<CallsMessage> m_mailbox;
    Mailbox<ConfigurationChanged> m_configurationMailbox;
    Mailbox<MembersChanged> m_membersMailbox;
};

} // namespace

std::unique_ptr<Service> makeCalls(Kernel &kernel, CallsSettings settings)
{
    return std::make_unique<Calls>(kernel, std::move(settings));
}

} // namespace Coltsfootwell
