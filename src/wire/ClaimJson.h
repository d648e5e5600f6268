// Claims of caller-minted keys as log records, in JSON.
#pragma once

#include "decisions/ClaimFold.h"

#include <optional>
#include <string>
#include <string_view>

namespace Coltsfootwell {

/// \param claim any claim.
/// \return its JSON text.
std::string encodeClaim(const Claim &claim);

/// \param text JSON text.
/// \return the claim, or nothing for a malformed record.
std::optional<Claim> decodeClaim(std::string_view text);

} // namespace Coltsfootwell
