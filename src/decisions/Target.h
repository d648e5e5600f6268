// A serving daemon that was chosen for one attempt.
#pragma once

#include "decisions/Member.h"

#include <string>

namespace Coltsfootwell {

/// \brief Where an attempt goes.
struct Target
{
    DaemonId daemon;
    Endpoint endpoint;
    std::string region;
};

} // namespace Coltsfootwell
