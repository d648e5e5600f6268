// What a daemon tells others about its control state, with each ping and its reply.
#pragma once

#include "decisions/Configuration.h"

#include <cstdint>

namespace Coltsfootwell {

/// \brief Summary of the control state of one daemon.
struct ControlStateSummary
{
    /// Offset up to which the operators' records are applied; see ControlState::position().
    std::uint64_t position = 0;
    /// Version of the active configuration; 0 if there is none.
    ConfigurationVersion version = 0;

    bool operator==(const ControlStateSummary &) const = default;
};

} // namespace Coltsfootwell
