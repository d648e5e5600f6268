// What a daemon tells others about its control state, with each ping and its reply, and the
// decision whether another daemon knows something that it does not.
#pragma once

#include "decisions/Configuration.h"
#include "decisions/StorePosition.h"

namespace Coltsfootwell {

/// \brief Summary of the control state of one daemon.
struct ControlStateSummary
{
    /// Position of the next record to apply; the default value if there is no state.
    StorePosition position;
    /// Version of the active configuration; 0 if there is none.
    ConfigurationVersion version = 0;
    /// Epoch in which the state was first read from the store; see AvailabilityState::origin.
    StoreEpoch originEpoch = 0;
    /// See AvailabilityState::digest().
    std::uint64_t availabilityDigest = 0;

    bool operator==(const ControlStateSummary &) const = default;
};

/// \brief Decides whether a daemon should fetch the control state of another one.
///
/// The version and the decisions on data centres count besides the position, since two daemons may
/// hold different ones up to the same position: what one of them has read may be lost in the store.
/// A peer without a version is not asked: it has none, or it is of a build that does not tell it.
/// \return true if a peer may hold something that is missing in the own state.
bool isAhead(const ControlStateSummary &peer, const ControlStateSummary &own);

} // namespace Coltsfootwell
