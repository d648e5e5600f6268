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
struct On
{
};

template <AttemptState>
struct In : msm::front::state<>
{
};

template <AttemptState From, AttemptEvent Event, AttemptState To>
using Move = Row<In<From>, On<Event>, In<To>>;

using S = AttemptState;
using E = AttemptEvent;

struct Front : msm::front::state_machine_def<Front>
{
    using initial_state = In<S::Unsent>; // NOLINT(readability-identifier-naming): name set by MSM

    // clang-format off
    struct transition_table : boost::mpl::vector< // NOLINT(readability-identifier-naming)
        Move<S::Unsent, E::Sent, S::Sent>,
        Move<S::Unsent, E::Refused, S::NotRun>,
        Move<S::Sent, E::Refused, S::NotRun>,
        Move<S::Sent, E::Answered, S::Answered>,
        Move<S::Sent, E::GivenUp, S::Unknown>
    > { };
    // clang-format on

    template <class Machine, class Event>
    void no_transition(const Event &, Machine &, int)
    {
    }
};

/// In the order in which MSM numbers the states: sources first, then targets that are no source.
constexpr std::array StateOrder {S::Unsent, S::Sent, S::NotRun, S::Answered, S::Unknown};

} // namespace

struct AttemptLifecycle::Machine : msm::back::state_machine<Front>
{
    template <AttemptEvent Event>
    void take()
    {
        process_event(On<Event> {});
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
    static constexpr std::array Takers {
        &Machine::take<E::Sent>,
        &Machine::take<E::Refused>,
        &Machine::take<E::Answered>,
        &Machine::take<E::GivenUp>,
    };
    (m_machine.get()->*Takers[static_cast<std::size_t>(event)])();
}

AttemptState AttemptLifecycle::state() const
{
    return StateOrder[static_cast<std::size_t>(m_machine->current_state()[0])];
}

bool AttemptLifecycle::open() const
{
    return state() == S::Sent;
}

} // namespace Coltsfootwell
