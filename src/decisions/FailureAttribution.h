// Decides whether the failure of a run is a failure of its backend server.
#pragma once

#include "decisions/Outcome.h"

namespace Coltsfootwell {

/// \brief Attributes the failure answer of one run to its backend server or to a refused nested
/// call.
///
/// Handles a service that refuses a part of its calls until the retry budget is used up, so that
/// runs of other services which call it fail. Such a run is not repeated: the repeat would make all
/// of its nested calls again, charged to the budget that a refused nested call needs to be sent to
/// another server. Nor does it count against the health of its server, because calls would be sent
/// to distant servers although the near ones work.
class FailureAttribution
{
public:
    /// \brief Records that a nested call of the run was refused and has not run.
    void nestedCallRefused(Reason reason);

    /// \param failed true if the answer of the run is a failure.
    /// \return true if the answer is a failure of the server.
    bool isServerFailure(bool failed) const { return failed && !m_calledServiceOverloaded; }

private:
    bool m_calledServiceOverloaded = false;
};

} // namespace Coltsfootwell
