#include "decisions/RoutingStrategy.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace Coltsfootwell {

namespace {

/// Weight of one answer in the moving average is 1 / AnswerSpan.
constexpr int AnswerSpan = 8;
/// Calls in flight are compared as if every server had this many slots.
constexpr double ReferenceSlots = 8;
/// One recent failure counts like this many calls in flight.
constexpr double CallsPerFailure = 4;

double loadOf(const RoutingCandidate &candidate, TimePoint now)
{
    const LoadObservation &seen = *candidate.observation;
    return 1 + seen.inFlight * ReferenceSlots / candidate.capacity
        + CallsPerFailure * seen.failuresNow(now);
}

double reportedLoad(const RoutingCandidate &candidate)
{
    const LoadReport &report = candidate.observation->report;
    return static_cast<double>(report.inUse + report.waiting) / std::max(1U, report.limit);
}

class TwoChoices final : public RoutingStrategy
{
public:
    std::size_t choose(std::span<const RoutingCandidate *const> candidates, Random &random,
                       TimePoint now) override
    {
        if (candidates.size() == 1) {
            return 0;
        }
        const std::size_t first = random.below(candidates.size());
        const std::size_t other = random.below(candidates.size() - 1);
        const std::size_t second = other + (other >= first ? 1 : 0);
        return isBetter(*candidates[second], *candidates[first], now) ? second : first;
    }

private:
    static bool isBetter(const RoutingCandidate &left, const RoutingCandidate &right, TimePoint now)
    {
        double leftCost = loadOf(left, now);
        double rightCost = loadOf(right, now);
        // Without an answer time of its own a daemon is taken to be as fast as the other.
        if (left.observation->knowsAnswerTime(now) && right.observation->knowsAnswerTime(now)) {
            leftCost *= static_cast<double>(left.observation->answerTime.count());
            rightCost *= static_cast<double>(right.observation->answerTime.count());
        }
        return leftCost < rightCost
            || (leftCost == rightCost && reportedLoad(left) < reportedLoad(right));
    }
};

class RoundRobin final : public RoutingStrategy
{
public:
    std::size_t choose(std::span<const RoutingCandidate *const> candidates, Random &,
                       TimePoint) override
    {
        return m_next++ % candidates.size();
    }

private:
    std::size_t m_next = 0;
};

class RandomChoice final : public RoutingStrategy
{
public:
    std::size_t choose(std::span<const RoutingCandidate *const> candidates, Random &random,
                       TimePoint) override
    {
        return random.below(candidates.size());
    }
};

class LeastReportedLoad final : public RoutingStrategy
{
public:
    std::size_t choose(std::span<const RoutingCandidate *const> candidates, Random &,
                       TimePoint) override
    {
        const auto it = std::ranges::min_element(
            candidates, {}, [](const RoutingCandidate *item) { return reportedLoad(*item); });
        return static_cast<std::size_t>(it - candidates.begin());
    }
};

template <typename Strategy>
std::unique_ptr<RoutingStrategy> make()
{
    return std::make_unique<Strategy>();
}

struct StrategyRow
{
    std::string_view name;
    std::unique_ptr<RoutingStrategy> (*make)();
};

constexpr std::array Strategies {
    StrategyRow {"two-choices", make<TwoChoices>},
    StrategyRow {"round-robin", make<RoundRobin>},
    StrategyRow {"random", make<RandomChoice>},
    StrategyRow {"least-reported-load", make<LeastReportedLoad>},
};

} // namespace

bool LoadObservation::knowsAnswerTime(TimePoint now) const
{
    return answerTime > Duration() && now - answerTimeAt < AnswerTimeLifetime;
}

double LoadObservation::failuresNow(TimePoint now) const
{
    if (failures == 0) {
        return 0;
    }
    const std::chrono::duration<double> age = now - failuresAt;
    const std::chrono::duration<double> decay = FailureDecay;
    return failures * std::exp(-age / decay);
}

void LoadObservation::learnAnswer(Duration elapsed, TimePoint now)
{
    answerTime = knowsAnswerTime(now) ? answerTime + (elapsed - answerTime) / AnswerSpan : elapsed;
    answerTimeAt = now;
}

void LoadObservation::learnFailure(double weight, TimePoint now)
{
    failures = failuresNow(now) + weight;
    failuresAt = now;
}

std::unique_ptr<RoutingStrategy> makeRoutingStrategy(std::string_view name)
{
    const auto *it = std::ranges::find(Strategies, name, &StrategyRow::name);
    return it == Strategies.end() ? nullptr : it->make();
}

} // namespace Coltsfootwell
