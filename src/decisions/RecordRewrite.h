// Decides when a daemon appends its record in a topic of the store again, because the store has
// come back from an older copy that may not have it.
#pragma once

#include "decisions/StorePosition.h"
#include "kernel/Random.h"
#include "kernel/Time.h"

#include <cstddef>
#include <optional>

namespace Coltsfootwell {

/// \brief Epochs of the store that concern one record of a daemon.
class RecordRewrite
{
public:
    /// Mean rate at which all daemons together append their records of one topic again. The store
    /// accepts 400 writes a second; the daemons have records in two topics, and a second return
    /// adds appends to those that are left of the first one.
    static constexpr unsigned MaxAppendsPerSecond = 100;
    /// Minimum time over which the daemons spread their appends.
    static constexpr std::chrono::milliseconds MinSpread {2'000};

    /// \brief Records an epoch that the store or another daemon has named.
    void epochSeen(std::optional<StoreEpoch> epoch);

    /// \brief Records that the store had the record in an epoch.
    void stored(StoreEpoch epoch) { m_storedIn = epoch; }

    /// \return latest epoch that is known; 0 if the store names none.
    StoreEpoch epoch() const { return m_epoch; }

    /// \return true if the store had the record in an earlier epoch and may have lost it since.
    bool isDue() const { return m_storedIn && *m_storedIn < m_epoch; }

    /// \param daemons number of daemons that append their records again.
    /// \return a random delay before the append, which keeps them within MaxAppendsPerSecond.
    static Duration randomDelay(std::size_t daemons, Random &random);

private:
    StoreEpoch m_epoch = 0;
    /// Epoch in which the store had the record; std::nullopt if it is not known to have had one.
    std::optional<StoreEpoch> m_storedIn;
};

} // namespace Coltsfootwell
