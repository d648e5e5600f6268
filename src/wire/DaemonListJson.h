// The list of daemons for callers, as JSON.
#pragma once

#include "decisions/Configuration.h"
#include "decisions/Member.h"

#include <span>
#include <string>

namespace Coltsfootwell {

/// Time in seconds for which a caller may use a list.
constexpr unsigned DaemonListMaxAgeSeconds = 30;

/// \brief Lists the daemons that take calls: alive, not leaving, in a data centre that is in
/// service. \param members all known daemons. \param configuration version in force, or null when
/// none is known. \return {"maxAgeSeconds": ..., "daemons": [{"address": "IP:port", "dataCentre":
/// ..., "region": ...}]}.
std::string encodeDaemonList(std::span<const Member> members, const Configuration *configuration);

} // namespace Coltsfootwell
