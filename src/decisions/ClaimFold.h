// Finds the owner of a caller-minted key among the claims of one log partition.
#pragma once

#include "decisions/Ids.h"

#include <optional>
#include <string>

namespace Coltsfootwell {

/// \brief One record of a claims stream.
struct Claim
{
    /// Unique for each append, so that a daemon finds its own claim.
    std::string id;
    std::string keyHash;
    DaemonId daemon;
};

/// \brief Folds claims in offset order, from the first that the log holds and without gaps. The log
/// only grows at its end, so the first claim for a key stays the first.
class ClaimFold
{
public:
    /// \param keyHash the key.
    explicit ClaimFold(std::string keyHash);

    /// \param claim the next record of the partition.
    void add(const Claim &claim);

    /// \return the first claimant of the key, or nothing while no claim for it was read.
    const std::optional<DaemonId> &winner() const { return m_winner; }

private:
    std::string m_keyHash;
    std::optional<DaemonId> m_winner;
};

} // namespace Coltsfootwell
