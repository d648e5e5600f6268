// Routing of calls, and the refusals that are decided before placement.
#pragma once

#include "decisions/CallAttributes.h"
#include "decisions/Configuration.h"
#include "decisions/Locality.h"
#include "decisions/WeightedSplit.h"
#include "services/CallMessages.h"

#include <variant>

namespace Coltsfootwell {

/// \brief Finds the route of a call and checks its depth and home regions.
/// \param call call received from a caller.
/// \param configuration active configuration.
/// \param split distributes the calls of a route among its services by weight.
/// \return the attributes of the call, or its refusal.
std::variant<CallAttributes, CallRefused> routeCall(const SubmitCall &call,
                                                    const Configuration &configuration,
                                                    WeightedSplit &split);

} // namespace Coltsfootwell
