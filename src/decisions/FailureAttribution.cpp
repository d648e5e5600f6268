#include "decisions/FailureAttribution.h"

namespace Coltsfootwell {

void FailureAttribution::nestedCallRefused(Reason reason)
{
    // After other refusals, such as for an unreachable server, a repeat of the run on another host
    // can succeed.
    m_calledServiceOverloaded = m_calledServiceOverloaded || reason == Reason::Overloaded
        || reason == Reason::RetryBudget;
}

} // namespace Coltsfootwell
