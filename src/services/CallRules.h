// Facts of a call and the refusals that need neither a target nor a key.
#pragma once

#include "decisions/Routing.h"
#include "services/CallMessages.h"

#include <variant>

namespace Coltsfootwell {

/// \brief Finds the route of a call and checks depth, home regions, freshness and body length.
/// \param call received from a caller.
/// \param configuration in force.
/// \param freshUntil last instant at which the version is known to be the newest.
/// \param place this daemon.
/// \param now the present time.
/// \return the facts, or why the call is refused.
std::variant<CallFacts, CallRefused> factsOf(const SubmitCall &call,
                                             const Configuration &configuration,
                                             TimePoint freshUntil, const Place &place,
                                             TimePoint now);

} // namespace Coltsfootwell
