#include "decisions/AttemptLifecycle.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <array>

namespace Coltsfootwell {

namespace {

namespace msm = boost::msm;
using msm::front::Row;

template <AttemptEvent>
struct EventTag
{
};

template <AttemptState>
struct StateTag : msm::front::state<>
{
};

template <AttemptState From, AttemptEvent Event, AttemptState To>
using Transition = Row<StateTag<From>, EventTag<Event>, StateTag<To>>;

using S = AttemptState;
using E = AttemptEvent;

struct Front : msm::front::state_machine_def<Front>
{
    using initial_state
        = StateTag<S::Unsent>; // NOLINT(readability-identifier-naming): name set by MSM

    // clang-format off
    struct transition_table : boost::mpl::vector< // NOLINT(readability-identifier-naming)
        Transition<S::Unsent, E::Sent, S::Sent>,
        Transition<S::Unsent, E::Refused, S::NotRun>,
        Transition<S::Sent, E::Refused, S::NotRun>,
        Transition<S::Sent, E::Answered, S::Answered>,
        Transition<S::Sent, E::Abandoned, S::Unknown>
    > { };
    // clang-format on

    template <class Machine, class Event>
    void no_transition(const Event &, Machine &, int)
    {
    }
};

/// States in the order in which MSM numbers them: sources of transitions first, then pure targets.
constexpr std::array StateOrder {S::Unsent, S::Sent, S::NotRun, S::Answered, S::Unknown};

} // namespace

struct AttemptLifecycle::Machine : msm::back::state_machine<Front>
{
    template <AttemptEvent Event>
    void dispatch()
    {
        process_event(EventTag<Event> {});
    }
};

AttemptLifecycle::AttemptLifecycle() : m_machine(std::make_unique<Machine>())
{
    m_machine->start();
}

AttemptLifecycle::~AttemptLifecycle() = default;
AttemptLifecycle::AttemptLifecycle(AttemptLifecycle &&) noexcept = default;
AttemptLifecycle &AttemptLifecycle::operator=(AttemptLifecycle &&) noexcept = default;

void AttemptLifecycle::process(AttemptEvent event)
{
    static constexpr std::array Dispatchers {
        &Machine::dispatch<E::Sent>,
        &Machine::dispatch<E::Refused>,
        &Machine::dispatch<E::Answered>,
        &Machine::dispatch<E::Abandoned>,
    };
    (m_machine.get()->*Dispatchers[static_cast<std::size_t>(event)])();
}

AttemptState AttemptLifecycle::state() const
{
    return StateOrder[static_cast<std::size_t>(m_machine->current_state()[0])];
}

bool AttemptLifecycle::inFlight() const
{
    return state() == S::Sent;
}

} // namespace Coltsfootwell
