// Subset of daemons to which one daemon sends the calls of a service.
#pragma once

#include "decisions/Configuration.h"
#include "decisions/Locality.h"
#include "decisions/Member.h"

#include <span>
#include <string>
#include <vector>

namespace Coltsfootwell {

/// Number of daemons in a subset from the local data centre.
constexpr std::size_t SubsetInDataCentre = 4;
/// Number of daemons from other data centres of the local region.
constexpr std::size_t SubsetInRegion = 2;
/// Number of daemons from other regions.
constexpr std::size_t SubsetInOtherRegions = 2;

/// \brief Chooses a subset by rendezvous hashing. If a locality tier has too few candidates, its
/// places are filled from the next more distant tier, or from nearer tiers if there is none.
/// \param locality location of the daemon that chooses.
/// \param service name of the service.
/// \param homeRegions regions that may serve the call; empty if all may.
/// \param members all members.
/// \param configuration active version.
/// \return members that may serve the call, nearest tier first.
std::vector<const Member *> chooseSubset(const Locality &locality, std::string_view service,
                                         std::span<const std::string> homeRegions,
                                         std::span<const Member> members,
                                         const Configuration &configuration);

} // namespace Coltsfootwell
