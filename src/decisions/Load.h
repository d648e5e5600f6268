// Load of a backend server as the daemon beside it reports it.
#pragma once

#include "decisions/Member.h"

#include <cstdint>

namespace Coltsfootwell {

/// \brief Counted by the serving daemon, stale as soon as it is sent.
struct LoadReport
{
    std::uint32_t inUse = 0;
    std::uint32_t waiting = 0;
    std::uint32_t limit = 0;
    BackendState state = BackendState::Absent;
};

} // namespace Coltsfootwell
