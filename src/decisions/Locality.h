// Where a daemon stands.
#pragma once

#include "decisions/Ids.h"

#include <string>

namespace Coltsfootwell {

/// \brief Place of the daemon that chooses.
struct Locality
{
    DaemonId self;
    std::string region;
    std::string dataCentre;
};

} // namespace Coltsfootwell
