// Ways to choose among the candidates of a call, selected by name.
#pragma once

#include "decisions/Load.h"
#include "decisions/Target.h"
#include "kernel/Random.h"
#include "kernel/Time.h"

#include <memory>
#include <span>
#include <string_view>

namespace Coltsfootwell {

/// \brief What this daemon has seen of a serving daemon.
struct LoadObservation
{
    /// Decay time of failures.
    static constexpr std::chrono::seconds FailureDecay {2};
    /// An answer time this old says nothing; the daemon is tried again as if it were new.
    static constexpr std::chrono::seconds AnswerTimeLifetime {5};

    /// A refusal counts as this part of a failure.
    static constexpr double RefusalWeight = 0.1;

    unsigned inFlight = 0;
    /// Moving average of good answers; zero when unknown.
    Duration answerTime {};
    TimePoint answerTimeAt {};
    double failures = 0;
    TimePoint failuresAt {};
    LoadReport report;

    /// \return true when the answer time is known and recent.
    bool knowsAnswerTime(TimePoint now) const;

    /// \return failures seen, each of which fades with time.
    double failuresNow(TimePoint now) const;

    void learnAnswer(Duration elapsed, TimePoint now);
    /// \param weight 1 for a failure.
    void learnFailure(double weight, TimePoint now);
};

/// \brief One daemon that may serve a call.
struct RoutingCandidate
{
    Target target;
    /// Slots that the server can use now.
    unsigned capacity = 1;
    LoadObservation *observation = nullptr;
};

/// \brief Chooses one of several candidates.
class RoutingStrategy
{
public:
    virtual ~RoutingStrategy() = default;

    /// \param candidates at least one.
    /// \param random source of random choices.
    /// \return index of the choice.
    virtual std::size_t choose(std::span<const RoutingCandidate *const> candidates, Random &random,
                               TimePoint now)
        = 0;
};

/// \param name "two-choices", "round-robin", "random" or "least-reported-load".
/// \return the strategy, or null for another name.
std::unique_ptr<RoutingStrategy> makeRoutingStrategy(std::string_view name);

} // namespace Coltsfootwell
