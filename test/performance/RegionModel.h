// Model of daemons that send to another region while their own has too little capacity.
#pragma once

#include <cstdint>

namespace Coltsfootwell::Testing {

/// \brief One case to measure.
struct RegionCase
{
    unsigned senders = 4;
    /// Share of the calls that every candidate of the own region refuses.
    double shortage = 0.5;
    /// All senders together, as bytes of calls in each second against the capacity of the link.
    double offeredOfLink = 6;
    std::uint64_t seed = 1;
};

/// \brief What the link carried in one direction.
struct RegionResult
{
    std::uint64_t calls = 0;
    std::uint64_t sentAway = 0;
    std::uint64_t refused = 0;
    double bytesPerSecond = 0;
    /// In the second that carried most.
    double peakBytesPerSecond = 0;
};

constexpr std::uint64_t ModelLinkBytesPerSecond = 3'000'000;

/// \param regionCase the case.
/// \return the same for the same case.
RegionResult runRegionCase(const RegionCase &regionCase);

} // namespace Coltsfootwell::Testing
