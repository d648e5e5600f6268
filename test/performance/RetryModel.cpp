#include "performance/RetryModel.h"

#include "RoutingWorld.h"
#include "decisions/CallFlow.h"
#include "decisions/RetryBudget.h"

#include <memory>

namespace Coltsfootwell::Testing {

namespace {

using std::chrono::milliseconds;

constexpr unsigned ServersPerLevel = 8;
constexpr milliseconds BetweenCalls {10};
constexpr milliseconds Deadline {1000};

/// Baseline for measurements: only the limit of attempts in CallFlow holds.
class AlwaysRetry final : public RetryStrategy
{
public:
    void firstAttempt(std::string_view, std::string_view) override { }
    bool take(std::string_view, std::string_view) override { return true; }
};

std::unique_ptr<RetryStrategy> makeRetryStrategy(std::string_view name)
{
    if (name == "budget") {
        return std::make_unique<RetryBudget>();
    }
    return std::make_unique<AlwaysRetry>();
}

/// All entry daemons of one service are taken for one.
struct Level
{
    Level(unsigned number, Random &random, std::string_view strategy)
        : service("s" + std::to_string(number)), routing({{"entry", 1}, "a", "a1"}, random),
          retries(makeRetryStrategy(strategy))
    {
        std::vector<Member> members;
        addMembers(members, "a", "a1", service, ServersPerLevel);
        routing.membersChanged(members);
        routing.configurationChanged(configurationFor(members));
    }

    std::string service;
    Routing routing;
    std::unique_ptr<RetryStrategy> retries;
};

class Model
{
public:
    explicit Model(const RetryCase &retryCase) : m_case(retryCase), m_random(retryCase.seed)
    {
        for (unsigned i = 0; i < retryCase.levels; ++i) {
            m_levels.push_back(std::make_unique<Level>(i, m_random, retryCase.strategy));
        }
    }

    RetryResult run()
    {
        for (unsigned i = 0; i < m_case.calls; ++i) {
            m_now += BetweenCalls;
            ++m_result.calls;
            m_result.answered += call(0) ? 1 : 0;
        }
        return m_result;
    }

private:
    bool isDeepest(unsigned level) const { return level + 1 == m_levels.size(); }

    bool call(unsigned number)
    {
        Level &level = *m_levels[number];
        m_result.deepestCalls += isDeepest(number) ? 1 : 0;
        CallFacts facts = factsFor(level.service);
        facts.idempotent = true;
        facts.deadline = m_now + Deadline;
        CallFlow flow(facts, CallFlowParts {level.routing, m_random, *level.retries, std::nullopt});
        std::optional<SendAttempt> next = attemptIn(flow.begin(m_now));
        while (next) {
            const SendAttempt attempt = *next;
            level.routing.sent(attempt.target.daemon, m_now);
            const bool good = serve(number);
            const bool refused = !good && (isDeepest(number) || m_case.passRefusalsOn);
            level.routing.finished(attempt.target.daemon, {good, milliseconds(1), refused}, m_now);
            if (!refused) {
                flow.answered(attempt.attempt, m_now);
                return good;
            }
            next = attemptIn(flow.refused(attempt.attempt, Reason::Overloaded, m_now));
        }
        return false;
    }

    /// \return true when the server answers well.
    bool serve(unsigned number)
    {
        if (!isDeepest(number)) {
            return call(number + 1);
        }
        ++m_result.deepestAttempts;
        return m_random.unit() >= m_case.outage;
    }

    static std::optional<SendAttempt> attemptIn(std::span<const CallAction> actions)
    {
        for (const CallAction &action : actions) {
            if (const auto *send = std::get_if<SendAttempt>(&action)) {
                return *send;
            }
        }
        return std::nullopt;
    }

    RetryCase m_case;
    SeededRandom m_random;
    std::vector<std::unique_ptr<Level>> m_levels;
    RetryResult m_result;
    TimePoint m_now {};
};

} // namespace

RetryResult runRetryCase(const RetryCase &retryCase)
{
    return Model(retryCase).run();
}

} // namespace Coltsfootwell::Testing
