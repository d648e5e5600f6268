#include "decisions/BackendLifecycle.h"

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace Coltsfootwell {

namespace {

namespace msm = boost::msm;
using msm::front::none;

struct Announced
{
};
struct Warmed
{
};
struct TurnedCold
{
};
struct DrainBegan
{
};
struct DrainEnded
{
};
struct ProbeAnswered
{
};
struct LostForGood
{
};

struct Rules : msm::front::state_machine_def<Rules>
{
    /// A state that records itself when it is entered.
    template <BackendState Value>
    struct Recorded : msm::front::state<>
    {
        template <typename Event, typename Machine>
        void on_entry(const Event &, Machine &machine)
        {
            machine.current = Value;
        }
    };

    using Absent = Recorded<BackendState::Absent>;
    using Cold = Recorded<BackendState::Cold>;
    using Warm = Recorded<BackendState::Warm>;
    using Draining = Recorded<BackendState::Draining>;
    using Gone = Recorded<BackendState::Gone>;

    BackendState current = BackendState::Absent;

    using initial_state = Absent;

    template <typename From, typename Event, typename To>
    using Row = msm::front::Row<From, Event, To, none, none>;

    // An absent server ignores all but its announcement.
    using transition_table
        = boost::mpl::vector<Row<Absent, Announced, Cold>, Row<Cold, Announced, Cold>,
                             Row<Warm, Announced, Cold>, Row<Draining, Announced, Cold>,
                             Row<Gone, Announced, Cold>, Row<Cold, Warmed, Warm>,
                             Row<Warm, TurnedCold, Cold>, Row<Cold, DrainBegan, Draining>,
                             Row<Warm, DrainBegan, Draining>, Row<Gone, DrainBegan, Draining>,
                             Row<Draining, DrainEnded, Cold>, Row<Gone, ProbeAnswered, Cold>,
                             Row<Cold, LostForGood, Gone>, Row<Warm, LostForGood, Gone>,
                             Row<Draining, LostForGood, Gone>>;

    /// Events without a row change nothing.
    template <typename Machine, typename Event>
    void no_transition(const Event &, Machine &, int)
    {
    }
};

bool showsLife(BackendEvent event)
{
    return event == BackendEvent::Announced || event == BackendEvent::Answered
        || event == BackendEvent::ProbeAnswered;
}

} // namespace

struct BackendLifecycle::Machine : msm::back::state_machine<Rules>
{
    unsigned losses = 0;
};

BackendLifecycle::BackendLifecycle() : m_machine(std::make_unique<Machine>())
{
    m_machine->start();
}

BackendLifecycle::~BackendLifecycle() = default;

BackendLifecycle::BackendLifecycle(BackendLifecycle &&) noexcept = default;

BackendLifecycle &BackendLifecycle::operator=(BackendLifecycle &&) noexcept = default;

bool BackendLifecycle::handle(BackendEvent event)
{
    Machine &machine = *m_machine;
    const BackendState before = state();
    if (event == BackendEvent::Lost) {
        ++machine.losses;
    } else if (showsLife(event)) {
        machine.losses = 0;
    }
    switch (event) {
    case BackendEvent::Announced:
        machine.process_event(Announced {});
        return true;
    case BackendEvent::Answered:
        break;
    case BackendEvent::Lost:
        if (machine.losses >= LossesUntilGone) {
            machine.process_event(LostForGood {});
        }
        break;
    case BackendEvent::Warmed:
        machine.process_event(Warmed {});
        break;
    case BackendEvent::TurnedCold:
        machine.process_event(TurnedCold {});
        break;
    case BackendEvent::Draining:
        machine.process_event(DrainBegan {});
        break;
    case BackendEvent::DrainEnded:
        machine.process_event(DrainEnded {});
        break;
    case BackendEvent::ProbeAnswered:
        machine.process_event(ProbeAnswered {});
        break;
    }
    return state() != before;
}

BackendState BackendLifecycle::state() const
{
    return m_machine->current;
}

} // namespace Coltsfootwell
