// The list of daemons that callers use for discovery, as JSON.
#pragma once

#include "decisions/Configuration.h"
#include "decisions/Member.h"

#include <span>
#include <string>

namespace Coltsfootwell {

/// Time in seconds for which a caller may use a list before it requests a new one.
constexpr unsigned DaemonListMaxAgeSeconds = 30;

/// \brief Lists the members that accept calls: alive, not leaving, in a data centre in service.
/// \param members all members.
/// \param configuration active configuration; null if there is none.
/// \return JSON text of {"maxAgeSeconds": N, "daemons": [D, ...]}, where D is an object with the
/// members "address" ("IP:port"), "dataCentre" and "region".
std::string encodeDaemonList(std::span<const Member> members, const Configuration *configuration);

} // namespace Coltsfootwell
