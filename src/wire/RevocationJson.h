// Request and answer of a revocation between daemons, as JSON.
#pragma once

#include "decisions/Ids.h"
#include "decisions/RunLedger.h"

#include <optional>
#include <string>
#include <string_view>

namespace Coltsfootwell {

/// \brief Names the attempt that must never start.
struct RevocationRequest
{
    AttemptId attempt;
    /// Incarnation that was to run it.
    DaemonId target;
};

/// \param request any request.
/// \return its JSON text.
std::string encodeRevocation(const RevocationRequest &request);

/// \param text JSON text.
/// \return the request, or nothing for malformed text.
std::optional<RevocationRequest> decodeRevocation(std::string_view text);

/// \param verdict any verdict.
/// \return its JSON text.
std::string encodeVerdict(RevokeVerdict verdict);

/// \param text JSON text.
/// \return the verdict, or nothing for malformed text.
std::optional<RevokeVerdict> decodeVerdict(std::string_view text);

} // namespace Coltsfootwell
