// Messages of the service "claims".
#pragma once

#include "decisions/Ids.h"
#include "kernel/Mailbox.h"

#include <optional>
#include <string>

namespace Coltsfootwell {

/// \brief Answer to ClaimKey.
struct KeyClaimed
{
    /// Nothing when the log cannot be reached, so that the owner is not known.
    std::optional<DaemonId> owner;
};

/// \brief Claims a caller-minted key for this daemon and finds out who owns it.
struct ClaimKey
{
    /// Key with its tenant.
    std::string key;
    Reply<KeyClaimed> reply;
};

} // namespace Coltsfootwell
