// Facts of a call and the refusals that need no target.
#pragma once

#include "decisions/CallAttributes.h"
#include "decisions/Configuration.h"
#include "decisions/Locality.h"
#include "decisions/WeightedSplit.h"
#include "services/CallMessages.h"

#include <variant>

namespace Coltsfootwell {

/// \brief Finds the route of a call and checks depth and home regions.
/// \param call received from a caller.
/// \param configuration in force.
/// \param split divides calls among the services of a route.
/// \return the facts, or why the call is refused.
std::variant<CallAttributes, CallRefused> routeCall(const SubmitCall &call,
                                                    const Configuration &configuration,
                                                    WeightedSplit &split);

} // namespace Coltsfootwell
