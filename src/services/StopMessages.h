// Messages of the service "stop".
#pragma once

#include "decisions/PlannedStop.h"

#include <string>
#include <string_view>
#include <variant>

namespace Coltsfootwell {

/// \brief To "stop": begin the planned stop.
struct RequestStop
{
    /// Why, for the log.
    std::string reason;
};

using StopMessage = std::variant<RequestStop>;

/// \brief To services with a mailbox of this type under ServiceName::stopping(): a phase has begun.
struct StopPhaseChanged
{
    StopPhase phase = StopPhase::Running;
};

} // namespace Coltsfootwell
