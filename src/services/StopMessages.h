// Messages of the service "stop".
#pragma once

#include "decisions/PlannedStop.h"

#include <string>
#include <string_view>
#include <variant>

namespace Coltsfootwell {

/// \brief To "stop": starts the planned stop.
struct RequestStop
{
    /// Reason for the log, such as "signal-15".
    std::string reason;
};

using StopMessage = std::variant<RequestStop>;

/// \brief A new phase of the planned stop has started. Sent to each service with a mailbox under
/// ServiceName::stopping().
struct StopPhaseChanged
{
    StopPhase phase = StopPhase::Running;
};

} // namespace Coltsfootwell
