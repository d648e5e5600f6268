// Location of a daemon.
#pragma once

#include "decisions/Ids.h"

#include <string>

namespace Coltsfootwell {

/// \brief Identity, region and data centre of the local daemon.
struct Locality
{
    DaemonId self;
    std::string region;
    std::string dataCentre;
};

} // namespace Coltsfootwell
