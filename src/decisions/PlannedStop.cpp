#include "decisions/PlannedStop.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <array>

namespace Coltsfootwell {

namespace {

namespace msm = boost::msm;
namespace mpl = boost::mpl;
using msm::front::none;
using msm::front::Row;

struct StopRequested
{
};

struct LeaveTimeEnded
{
};

struct AllCallsEnded
{
};

struct StopDefinition : public msm::front::state_machine_def<StopDefinition>
{
    struct Running : public msm::front::state<>
    {
    };

    struct RefusingRuns : public msm::front::state<>
    {
    };

    struct Finishing : public msm::front::state<>
    {
    };

    struct Left : public msm::front::state<>
    {
    };

    using initial_state = Running;

    // clang-format off
    struct transition_table : public mpl::vector<
        Row<Running,      StopRequested,  RefusingRuns, none, none>,
        Row<RefusingRuns, LeaveTimeEnded, Finishing,    none, none>,
        Row<Finishing,    AllCallsEnded,  Left,         none, none>
    >
    {
    };
    // clang-format on

    template <typename Machine, typename Event>
    void no_transition(const Event &, Machine &, int)
    {
    }
};

} // namespace

struct PlannedStop::Machine : public msm::back::state_machine<StopDefinition>
{
};

PlannedStop::PlannedStop() : m_machine(std::make_unique<Machine>())
{
    m_machine->start();
}

PlannedStop::~PlannedStop() = default;

void PlannedStop::stopRequested()
{
    m_machine->process_event(StopRequested());
}

void PlannedStop::leaveTimeEnded()
{
    m_machine->process_event(LeaveTimeEnded());
}

void PlannedStop::allCallsEnded()
{
    m_machine->process_event(AllCallsEnded());
}

StopPhase PlannedStop::phase() const
{
    // Boost.MSM numbers the states in the order of the transition table.
    constexpr std::array Phases {StopPhase::Running, StopPhase::RefusingRuns, StopPhase::Finishing,
                                 StopPhase::Left};
    return Phases.at(static_cast<std::size_t>(m_machine->current_state()[0]));
}

} // namespace Coltsfootwell
