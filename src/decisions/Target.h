// Target of an attempt.
#pragma once

#include "decisions/Member.h"

#include <string>

namespace Coltsfootwell {

/// \brief The serving daemon chosen for an attempt.
struct Target
{
    DaemonId daemon;
    Endpoint endpoint;
    std::string region;
};

} // namespace Coltsfootwell
