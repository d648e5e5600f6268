// Facts of a call and the refusals that need neither a target nor a key.
#pragma once

#include "decisions/Routing.h"
#include "services/CallMessages.h"

#include <variant>

namespace Coltsfootwell {

/// \brief Finds the route of a call and checks depth, home regions, freshness and body length.
/// \param call received from a caller.
/// \param configuration in force.
/// \param fresh false when a newer version may exist.
/// \param place this daemon.
/// \return the facts, or why the call is refused.
std::variant<CallFacts, CallRefused> factsOf(const SubmitCall &call,
                                             const Configuration &configuration, bool fresh,
                                             const Place &place);

} // namespace Coltsfootwell
