// Shares the link between regions among the daemons that use it.
#pragma once

#include "kernel/Time.h"

#include <cstdint>

namespace Coltsfootwell {

/// \brief Says whether another call may go to another region.
class RegionGate
{
public:
    virtual ~RegionGate() = default;

    virtual bool allows(TimePoint now) = 0;
};

/// \brief Token bucket of one direction of the link. Lengths are known only after sending, so the
/// bucket may go into debt, and the next call waits until the debt is paid.
class RegionBudget final : public RegionGate
{
public:
    /// Share of the link that calls may take; the rest is for control traffic.
    static constexpr double LinkShare = 0.8;
    /// The bucket holds what flows in this time.
    static constexpr std::chrono::milliseconds Burst {250};

    /// \param linkBytesPerSecond what the link carries in one direction.
    /// \param senders daemons of this region that send to other regions, this one included.
    void limitsChanged(std::uint64_t linkBytesPerSecond, unsigned senders, TimePoint now);

    bool allows(TimePoint now) override;

    /// \brief Takes bytes that were sent or received.
    void spend(std::uint64_t bytes, TimePoint now);

    /// \return share of this daemon in bytes per second.
    double rate() const { return m_rate; }

private:
    void refill(TimePoint now);

    double m_rate = 0;
    double m_tokens = 0;
    TimePoint m_refilled {};
    bool m_started = false;
};

} // namespace Coltsfootwell
